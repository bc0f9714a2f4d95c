"""Test the HTTP server with callers that send too much or read nothing."""

import random
import types
import typing

import pytest
from twisted.internet import error
from twisted.internet import task as twisted_task
from twisted.internet import testing
from twisted.python import failure
from twisted.web import resource

from kcr_core import caller_budget
from kcr_runtime import http_channel
from kcr_runtime import http_server
from kcr_runtime import metrics
from kcr_runtime import task

LIMITS = caller_budget.Limits(1000, 5000, 3.0, 15.0)
HEAD = b'POST / HTTP/1.1\r\nHost: h\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'


class Page(resource.Resource):
    """Return the length of the body."""

    isLeaf = True  # noqa: N815

    def __init__(self) -> None:
        resource.Resource.__init__(self)
        self.served: list[int] = []

    def render_POST(self, req: typing.Any) -> bytes:  # noqa: N802
        """Return the length of the body."""
        self.served.append(len(http_channel.take_body(req)))
        return b'%d' % self.served[-1]


class Transport(testing.StringTransport):
    """Record what is written and how the connection is closed."""

    half_closed = aborted = unread = False

    def write(self, data: bytes) -> None:
        """Tell the channel to pause if nobody reads."""
        testing.StringTransport.write(self, data)
        if self.unread:
            typing.cast(typing.Any, self.producer).pauseProducing()

    def text(self) -> bytes:
        """Return what was written."""
        return bytes(testing.StringTransport.value(self))

    def loseWriteConnection(self) -> None:  # noqa: N802
        """Record the end of what is written."""
        self.half_closed = True

    def abortConnection(self) -> None:  # noqa: N802
        """Record the end."""
        self.aborted = True


class World:
    """Serve a page without a network."""

    def __init__(self, memory_mb: float = 100.0) -> None:
        self.clock = twisted_task.Clock()
        self.metrics = metrics.Metrics('test')
        ctx = task.Context(
            reactor=self.clock,
            directory=task.Directory(),
            rng=random.Random(1),
            cfg=types.SimpleNamespace(process_mb=memory_mb, max_fds=1000),
            metrics=self.metrics,
            incarnation='i',
        )
        self.page = Page()
        self.server = http_server.Server(ctx, 'test', self.page, 0.5, LIMITS)

    def connect(self) -> tuple[typing.Any, Transport]:
        """Return a new connection and its transport."""
        server: typing.Any = self.server
        channel = server.buildProtocol(None)
        kind: typing.Any = Transport
        transport = kind()
        channel.makeConnection(transport)
        return channel, transport

    def iterate(self) -> None:
        """Run what is due, but not what that schedules, as a reactor does."""
        calls: typing.Any = self.clock.getDelayedCalls()
        for call in [c for c in calls if c.getTime() <= self.clock.seconds()]:
            func, args = call.func, call.args
            call.cancel()
            func(*args)


@pytest.mark.parametrize(
    ('data', 'status'),
    [
        (HEAD + b'Content-Length: 5001\r\n\r\n', 413),
        (CHUNKED + b'ffffff\r\n' + b'x' * 5001, 413),
        (CHUNKED + b'1\r\nx\r\n' * 5001, 413),
        (CHUNKED + (b'1;a=' + b'x' * 900 + b'\r\nx\r\n') * 50, 413),
        (CHUNKED + b'0\r\n' + b'a: b\r\n' * 9000, 413),
        (HEAD + b'a: ' + b'x' * 1000, 431),
        (HEAD + b'a: b\r\n' * 200, 431),
        (HEAD + b'a: ' + b'x' * 900 + b'\r\nb: ' + b'x' * 900, 431),
    ],
)
def test_request_above_a_limit_is_refused_before_its_end(
    data: bytes, status: int
) -> None:
    """Guard against limits that are checked only after the last byte."""
    world = World()
    channel, transport = world.connect()
    for start in range(0, len(data), 4096):
        channel.dataReceived(data[start : start + 4096])
    assert transport.text().startswith(b'HTTP/1.1 %d ' % status)
    assert transport.text().count(b'HTTP/1.1') == 1
    assert (world.page.served, transport.half_closed) == ([], True)
    assert world.server.budget.total == 0
    world.clock.pump([0.25] * 8)
    assert transport.aborted


@pytest.mark.parametrize(
    'body',
    [
        b'1388\r\n' + b'x' * 5000 + b'\r\n0\r\n\r\n',
        b'1\r\nx\r\n' * 5000 + b'0\r\n\r\n',
    ],
)
def test_largest_body_is_served_in_any_chunks(body: bytes) -> None:
    """Guard against refusing a request that is within the limits."""
    world = World()
    channel, transport = world.connect()
    data = (CHUNKED + body) * 3
    for start in range(0, len(data), 1000):
        channel.dataReceived(data[start : start + 1000])
    assert world.page.served == [5000] * 3
    assert transport.text().count(b'HTTP/1.1 200 OK') == 3
    assert world.server.budget.total == 0


def test_requests_wait_while_a_response_is_unread() -> None:
    """Guard against responses that pile up for a caller that reads none."""
    world = World()
    channel, transport = world.connect()
    transport.unread = True
    request = HEAD + b'Content-Length: 1\r\n\r\nx'
    channel.dataReceived(request * 20)
    assert len(world.page.served) == 1
    assert world.server.budget.total >= 19 * len(request)
    transport.unread = False
    channel.resumeProducing()
    assert len(world.page.served) == 20
    transport.unread = True
    channel.dataReceived(request)
    world.clock.pump([0.25] * 61)
    assert transport.aborted


def test_incomplete_head_ends_with_its_timeout() -> None:
    """Guard against heads whose bytes extend the timeout."""
    world = World()
    channel, transport = world.connect()
    for byte in HEAD[:13]:
        channel.dataReceived(bytes([byte]))
        world.clock.pump([0.25])
    assert transport.text().startswith(b'HTTP/1.1 408 ')


def test_body_that_waited_longest_is_refused_for_another() -> None:
    """Guard against open bodies that fill the memory."""
    world = World(memory_mb=0.13)
    opened = [world.connect() for _ in range(4)]
    for channel, _ in opened:
        channel.dataReceived(CHUNKED + b'f00\r\n' + b'x' * 3839)
    refused = [transport.text() for _, transport in opened]
    assert refused[0].startswith(b'HTTP/1.1 503 ')
    assert b'Retry-After: 1\r\n' in refused[0]
    assert refused[1:] == [b''] * 3
    name = 'kcr.caller_closed{listener=test,reason=memory}'
    assert world.metrics.read()[name] == 1
    channel, transport = opened[1]
    channel.dataReceived(b'x\r\n0\r\n\r\n')
    assert b'200 OK' in transport.text()


def test_pipelined_requests_are_handled_in_turns() -> None:
    """Guard against one connection that holds up the others."""
    world = World()
    request = HEAD + b'Content-Length: 1\r\n\r\nx'
    count = 5 * caller_budget.TURN_REQUESTS
    opened = [world.connect() for _ in range(3)]
    for number, (channel, _) in enumerate(opened, 1):
        channel.dataReceived(request * count)
        assert len(world.page.served) == number * caller_budget.TURN_REQUESTS
    assert {transport.producerState for _, transport in opened} == {'paused'}
    # Another caller is not behind those that wait for a turn.
    channel, transport = world.connect()
    channel.dataReceived(request)
    assert b'200 OK' in transport.text()
    # One connection has its turn each time, and each in its order.
    answers = []
    for _ in range(3):
        served = len(world.page.served)
        world.iterate()
        assert len(world.page.served) == served + caller_budget.TURN_REQUESTS
        answers.append([t.text().count(b'200 OK') for _, t in opened])
    turn = caller_budget.TURN_REQUESTS
    assert answers == [
        [2 * turn, turn, turn],
        [2 * turn, 2 * turn, turn],
        [2 * turn] * 3,
    ]
    world.clock.advance(0)
    for _, transport in opened:
        assert transport.text().count(b'200 OK') == count
        assert transport.producerState == 'producing'
    assert world.server.budget.total == 0


def test_turn_of_a_lost_connection_is_skipped() -> None:
    """Guard against a turn that a closed connection keeps from others."""
    world = World()
    request = HEAD + b'Content-Length: 1\r\n\r\nx'
    turn = caller_budget.TURN_REQUESTS
    opened = [world.connect() for _ in range(2)]
    for channel, _ in opened:
        channel.dataReceived(request * 2 * turn)
    opened[0][0].connectionLost(failure.Failure(error.ConnectionDone()))
    world.iterate()
    assert opened[1][1].text().count(b'200 OK') == 2 * turn
    assert len(world.page.served) == 3 * turn

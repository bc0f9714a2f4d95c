"""Test connections and sessions, mainly with peers that misbehave."""

import dataclasses
import random
import socket
import typing

import pytest
from twisted.internet import task as twisted_task

from kcr_core import message_base
from kcr_core import messages
from kcr_core import types
from kcr_runtime import metrics
from kcr_runtime import task
from kcr_runtime.wire import connection
from kcr_runtime.wire import session

PLACE = types.Place('r', 'z', 'k', 'i')
HELLO = message_base.Hello(
    message_base.PROTOCOL_VERSION, 'sidecar', 's1', 'inc-1', PLACE
)


class Recorder(task.Task):
    """Record the messages that the session sends to its subscribers."""

    def __init__(self, ctx: task.Context, address: str) -> None:
        super().__init__(ctx, address)
        self.recorded: list[typing.Any] = []

    @task.handles(session.Opened)
    @task.handles(session.Closed)
    @task.handles(session.Received)
    @task.handles(session.SendRefused)
    @task.handles(session.DialFailed)
    def _on_any(self, msg: typing.Any) -> None:
        self.recorded.append(msg)


class FakeTransport:
    """Record the bytes that a connection writes."""

    def __init__(self) -> None:
        self.written = b''
        self.aborted = False
        self.options: dict[int, int] = {}

    def write(self, data: bytes) -> None:
        """Record the bytes."""
        self.written += data

    def take(self) -> bytes:
        """Return and clear the recorded bytes."""
        data, self.written = self.written, b''
        return data

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        """Ignore the option."""

    def setTcpKeepAlive(self, enabled: bool) -> None:  # noqa: N802
        """Record the option."""
        self.options[socket.SO_KEEPALIVE] = int(enabled)

    def getHandle(self) -> 'FakeTransport':  # noqa: N802
        """Return the socket, for its options."""
        return self

    def setsockopt(self, level: int, option: int, value: int) -> None:
        """Record an option of the socket."""
        self.options[option] = value

    def registerProducer(  # noqa: N802
        self, producer: typing.Any, streaming: bool
    ) -> None:
        """Ignore the producer."""

    def loseConnection(self) -> None:  # noqa: N802
        """Ignore the end of the connection."""

    def abortConnection(self) -> None:  # noqa: N802
        """Record that the connection was aborted."""
        self.aborted = True


class Pair:
    """Connect a session under test to a connection without a session."""

    def __init__(self, revision: int = 0) -> None:
        self.clock = twisted_task.Clock()
        ctx = task.Context(
            reactor=self.clock,
            directory=task.Directory(),
            rng=random.Random(1),
            cfg=None,
            metrics=metrics.Metrics('test'),
            incarnation='inc-0',
        )
        self.recorder = Recorder(ctx, 'recorder')
        self.recorder.begin()
        routes = session.Routes(
            {messages.Heartbeat: 'recorder'},
            ('recorder',),
            lambda: dataclasses.replace(HELLO, role='entry'),
        )
        self.session = session.Session(ctx, 'session', routes)
        self.session.begin()
        self.session.post(session.SetRevision(revision))
        self.server = self.session.build_connection()
        self.received: list[typing.Any] = []
        self.client = connection.Connection(
            '127.0.0.1:1',
            on_open=lambda conn: None,
            on_message=self.received.append,
            on_close=lambda reason: None,
        )
        self.ends = (
            (self.client, FakeTransport()),
            (self.server, FakeTransport()),
        )
        for conn, transport in self.ends:
            conn.transport = typing.cast(typing.Any, transport)
            conn.connectionMade()
        self.pump()

    def pump(self) -> None:
        """Deliver bytes in both directions until none are left."""
        moved = True
        while moved:
            self.clock.advance(0)
            moved = False
            for (_, source), (sink, _) in (self.ends, self.ends[::-1]):
                data = source.take()
                if data:
                    moved = True
                    sink.dataReceived(data)

    def send(self, msg: typing.Any) -> None:
        """Send a message from the peer's connection."""
        self.client.send(msg)
        self.pump()

    def goodbyes(self) -> list[str]:
        """Return the reasons of the goodbyes that the peer received."""
        return [
            m.reason
            for m in self.received
            if isinstance(m, message_base.Goodbye)
        ]


def make_heartbeat() -> messages.Heartbeat:
    """Return a heartbeat with arbitrary values."""
    return messages.Heartbeat(1, 0, 0, 0, types.Demand())


def test_hello_carries_the_revision() -> None:
    """Guard against a hello that reports an old revision to the peer."""
    pair = Pair(revision=7)
    hellos = [m for m in pair.received if isinstance(m, message_base.Hello)]
    assert [hello.revision for hello in hellos] == [7]


def test_messages_reach_their_task_with_the_hello() -> None:
    """Guard against a message that is routed without its sender's hello."""
    pair = Pair()
    pair.send(HELLO)
    pair.send(make_heartbeat())
    opened, received = pair.recorder.recorded
    assert opened == session.Opened('session', HELLO)
    assert received == session.Received('session', HELLO, make_heartbeat())


def test_wrong_version_is_refused_with_both_versions() -> None:
    """Guard against a session with a process of another protocol version."""
    pair = Pair()
    pair.send(dataclasses.replace(HELLO, version=99))
    assert 'version 99 is not supported' in pair.goodbyes()[0]
    assert pair.recorder.recorded == []


def test_message_before_hello_is_refused() -> None:
    """Guard against handling messages of a peer that is not identified."""
    pair = Pair()
    pair.send(make_heartbeat())
    assert pair.goodbyes() == ['the first message must be hello']


def test_message_without_route_is_refused() -> None:
    """Guard against handling messages that the role does not accept."""
    pair = Pair()
    pair.send(HELLO)
    pair.send(messages.Leaving('x'))
    assert pair.goodbyes() == ['leaving is not accepted here']


def test_peer_without_hello_is_closed_after_the_timeout() -> None:
    """Guard against connections that stay open without a hello."""
    pair = Pair()
    pair.clock.advance(session.HELLO_TIMEOUT_S)
    pair.pump()
    assert pair.goodbyes() == ['no hello in time']


def test_send_on_a_closed_session_is_reported() -> None:
    """Guard against a message that is dropped without notice."""
    pair = Pair()
    pair.session.post(session.Send(make_heartbeat()))
    pair.pump()
    assert pair.recorder.recorded == [
        session.SendRefused('session', make_heartbeat())
    ]


def test_slow_reader_does_not_grow_the_queue() -> None:
    """Guard against an unbounded queue towards a slow peer."""
    pair = Pair()
    pair.send(HELLO)
    pair.server.pauseProducing()
    results = [
        pair.server.send(make_heartbeat())
        for _ in range(connection.MAX_QUEUED_MESSAGES + 3)
    ]
    assert results.count(False) == 3


def test_large_messages_do_not_grow_the_queue() -> None:
    """Guard against a queue that is bounded in messages but not in bytes."""
    pair = Pair()
    pair.send(HELLO)
    pair.server.pauseProducing()
    count = connection.MAX_QUEUED_BYTES // 1_000_000
    msg = messages.Leaving('x' * 1_000_000)
    results = [pair.server.send(msg) for _ in range(count + 3)]
    assert results == [True] * count + [False] * 3


def test_peer_that_sends_much_before_its_hello_is_closed() -> None:
    """Guard against open frames of peers that are not identified."""
    pair = Pair()
    server, transport = pair.ends[1]
    size = (2**20).to_bytes(8, 'big')
    server.dataReceived(b'\x82\xff' + size + bytes(4))
    assert not transport.aborted
    server.dataReceived(b'x' * connection.MAX_GREETING_BYTES)
    assert transport.aborted


def test_peer_that_reads_no_pongs_is_closed() -> None:
    """Guard against responses to pings that nobody reads."""
    pair = Pair()
    pair.send(HELLO)
    server, transport = pair.ends[1]
    server.pauseProducing()
    ping = b'\x89\xfd' + bytes(4) + b'x' * 125
    server.dataReceived(ping * 500)
    assert not transport.aborted
    server.dataReceived(ping * 50)
    assert transport.aborted


def test_peer_without_a_handshake_is_closed() -> None:
    """Guard against connections that never begin."""
    pair = Pair()
    conn = pair.session.build_connection()
    transport = FakeTransport()
    conn.transport = typing.cast(typing.Any, transport)
    conn.connectionMade()
    pair.clock.advance(session.GREETING_TIMEOUT_S)
    pair.clock.advance(0)
    assert transport.aborted


@pytest.mark.parametrize('handshake', [False, True])
def test_dialed_connection_that_falls_silent_is_replaced(
    handshake: bool,
) -> None:
    """Guard against a process that waits for a peer on a silent connection.

    It stayed without an owner for up to 10 s, and runs that it should have
    stopped went on.
    """
    pair = Pair()
    made = session.Session(pair.session.ctx, 'dialing', pair.session.routes)
    made.begin()
    made.target = '127.0.0.1:1'
    conn = made.build_connection()
    peer = connection.Connection(
        None,
        on_open=lambda conn: None,
        on_message=lambda msg: None,
        on_close=lambda reason: None,
    )
    pair.ends = ((conn, FakeTransport()), (peer, FakeTransport()))
    for end, transport in pair.ends:
        end.transport = typing.cast(typing.Any, transport)
        end.connectionMade()
    if handshake:
        pair.pump()
        assert peer.greeted
    pair.clock.advance(session.DIAL_TIMEOUT_S)
    pair.clock.advance(0)
    assert pair.ends[0][1].aborted


def test_connection_that_only_receives_is_probed() -> None:
    """Guard against a silent connection that an accepting side never ends."""
    pair = Pair()
    for _, transport in pair.ends:
        assert transport.options[socket.SO_KEEPALIVE] == 1
        bound_s = (
            transport.options[socket.TCP_KEEPIDLE]
            + transport.options[socket.TCP_KEEPINTVL]
            * transport.options[socket.TCP_KEEPCNT]
        )
        # A cut of half a minute ends no session.
        assert 30 <= bound_s <= 60


@pytest.mark.parametrize('end', ['silent', 'closed'])
def test_connection_without_a_hello_is_a_failed_dial(end: str) -> None:
    """Guard against an address that is dialed for ever and tells nobody.

    Sessions to such addresses took all places of an agent, which never found
    the owner of the jobs.
    """
    pair = Pair()
    made = session.Session(pair.session.ctx, 'dialing', pair.session.routes)
    made.begin()
    made.target = '127.0.0.1:1'
    conn = made.build_connection()
    transport = FakeTransport()
    conn.transport = typing.cast(typing.Any, transport)
    conn.connectionMade()
    if end == 'silent':
        pair.clock.advance(session.DIAL_TIMEOUT_S)
        pair.clock.advance(0)
        assert transport.aborted
    conn.connectionLost()
    pair.clock.advance(0)
    failed = [
        msg
        for msg in pair.recorder.recorded
        if isinstance(msg, session.DialFailed)
    ]
    assert failed == [session.DialFailed('127.0.0.1:1', False)]

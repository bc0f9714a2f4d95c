"""Test the client of the store over real HTTP connections."""

import contextlib
import socket
import time
import typing

import platform_fakes
import proxy
import pytest
import reactor_thread as reactor_thread_calls
from twisted.internet import defer
from twisted.internet import reactor as twisted_reactor
from twisted.internet import tcp

from kcr_platform import log_store
from kcr_runtime import http_client
from kcr_runtime import metrics
from kcr_runtime import store

# Time to wait for an outcome, in seconds.
WAIT_S = reactor_thread_calls.WAIT_S
run = reactor_thread_calls.run
# Timeout of requests on connections that have become silent, in seconds.
SILENT_TIMEOUT_S = 1.0


class CutStore(platform_fakes.LogStore):
    """Return pages that are cut at the requested size, within a record."""

    def _read(self, partition: list[bytes], fields: dict[str, str]) -> bytes:
        whole = super()._read(partition, {**fields, 'MaxKb': '100000'})
        return whole[: int(fields['MaxKb']) * 1024]


class Config:
    """Store the options that the client reads."""

    link_mbps = 2.0
    store_address = ''


class Context:
    """Provide what the client reads of the context of a process."""

    reactor: typing.Any = twisted_reactor
    cfg = Config()
    metrics = metrics.Metrics('test')


@pytest.fixture(scope='module')
def reactor_thread() -> typing.Iterator[None]:
    """Run the reactor in a thread."""
    reactor_thread_calls.start()
    yield


def is_connected(address: str) -> bool:
    """Return whether the reactor has a connection to an address."""
    reactor: typing.Any = twisted_reactor
    port = int(address.rpartition(':')[2])

    def is_found() -> bool:
        return any(
            getattr(reader, 'addr', ('', 0))[1] == port
            for reader in reactor.getReaders()
            if isinstance(reader, tcp.Client)
        )

    # Only the reactor's thread may walk the readers: it changes them.
    found = run(lambda: defer.maybeDeferred(is_found))
    assert isinstance(found, bool), found
    return found


def make_client(address: str) -> log_store.LogStore:
    """Return a client of the store at an address."""
    ctx: typing.Any = Context()
    ctx.cfg.store_address = address
    return log_store.LogStore(ctx)


def test_record_larger_than_a_page_is_read(reactor_thread: None) -> None:
    """Guard against a large configuration that a narrow link never reads."""
    fake = CutStore()
    fake.topics['keyed.op'] += [b'\x01k' + b'x' * 200_000, b'\x01ky']
    client = make_client(fake.address)
    got = run(lambda: client.read('keyed.op', 0, 0.0))
    assert isinstance(got, store.Page)
    assert [len(data) for data in got.records][0] == 200_002
    fake.close()


def test_slow_page_is_read_while_it_makes_progress(
    reactor_thread: None,
) -> None:
    """Guard against a timeout that ends a page because of its size."""
    fake = platform_fakes.LogStore()
    fake.topics['jobs'] += [b'x' * 50_000] * 4
    network = proxy.Network()
    link = network.connect(fake.address)
    link.rate = 25_000
    client = make_client(link.address)
    got = run(lambda: client.read('jobs', 0, 0.0))
    assert isinstance(got, store.Page)
    assert len(got.records) >= 1
    network.close()
    fake.close()


def test_stalled_page_keeps_the_records_that_came(
    reactor_thread: None,
) -> None:
    """Guard against records that are read again after each lost connection."""
    fake = platform_fakes.LogStore()
    fake.topics['jobs'] += [b'x' * 9000] * 40
    network = proxy.Network()
    link = network.connect(fake.address)
    link.rate = 25_000
    client = make_client(link.address)
    # One record and a part of the next; after a time, which a busy machine
    # stretches, it may be less.
    link.cut_after = 16_000
    got = run(lambda: client.read('jobs', 0, 0.0))
    assert isinstance(got, store.Page)
    # A page of 32 KiB would hold three records.
    assert 0 < len(got.records) < 3
    # The connection is closed, not left open until the store closes it.
    end = time.monotonic() + WAIT_S
    while is_connected(link.address) and time.monotonic() < end:
        time.sleep(0.02)
    assert not is_connected(link.address)
    network.close()
    fake.close()


class EndlessStore(platform_fakes.LogStore):
    """Report more values after an empty page, or after the same page."""

    def __init__(self, items: list[dict[str, typing.Any]]) -> None:
        super().__init__()
        self._items = items

    def _newest(self, partition: list[bytes]) -> typing.Any:
        return {'items': self._items, 'HasMore': True, 'EndOffset': 5}


@pytest.mark.parametrize('items', [[], [{'Key': 'k', 'Offset': 1}]])
def test_page_that_does_not_advance_is_not_complete(
    reactor_thread: None, items: list[dict[str, typing.Any]]
) -> None:
    """Guard against a part of the keys that counts as all of them."""
    fake = EndlessStore(items)
    client = make_client(fake.address)
    got = run(lambda: client.newest('keyed.op'))
    assert isinstance(got, store.NoAnswer), got
    fake.close()


def test_silent_connections_cost_two_timeouts_at_most(
    reactor_thread: None,
) -> None:
    """Guard against a client that tries its silent connections in turn.

    An agent with twelve of them extended no lease for so long that the runner
    ended everything (review/4).
    """
    fake = platform_fakes.LogStore()
    network = proxy.Network()
    link = network.connect(fake.address)
    made = http_client.HttpClient(twisted_reactor, link.address, 12)
    path = '/-/log-newest?Topic=t&part=0'

    def request() -> defer.Deferred[http_client.HttpOutcome]:
        return made.request('GET', path, timeout_s=SILENT_TIMEOUT_S)

    def open_connections() -> defer.Deferred[typing.Any]:
        return defer.gatherResults([request() for _ in range(12)])

    fake.call_delay_s = 0.1
    first = run(open_connections)
    assert all(isinstance(got, http_client.Reply) for got in first), first
    link.silence()
    outcomes = [run(request) for _ in range(3)]
    assert isinstance(outcomes[-1], http_client.Reply), outcomes
    run(made.close)
    network.close()
    fake.close()


def test_unanswered_request_closes_no_newer_connection(
    reactor_thread: None,
) -> None:
    """Guard against new connections for each answer that is lost."""
    fake = platform_fakes.LogStore()
    made = http_client.HttpClient(twisted_reactor, fake.address, 12)
    path = '/-/log-newest?Topic=t&part=0'
    wait = '/-/log-read?Topic=t&part=0&From=0&WaitMs=3000'

    def read_beside_a_wait() -> defer.Deferred[typing.Any]:
        waiting = made.request('GET', wait, timeout_s=0.5)
        reads = made.request('GET', path).addCallback(
            lambda _: made.request('GET', path)
        )
        return defer.gatherResults([waiting, reads])

    waited, _ = run(read_beside_a_wait)
    assert isinstance(waited, http_client.NoAnswer)
    before = fake.connections
    assert isinstance(
        run(lambda: made.request('GET', path)), http_client.Reply
    )
    assert fake.connections == before
    run(made.close)
    fake.close()


def test_connection_that_is_not_made_is_not_sent(
    reactor_thread: None,
) -> None:
    """Guard against a call that counts as sent though nobody accepted it."""
    made = http_client.HttpClient(twisted_reactor, '127.0.0.1:9', 1)
    got = run(lambda: made.request('GET', '/', timeout_s=1.0))
    assert isinstance(got, http_client.NotSent)
    with socket.socket() as full:
        # A full queue of a listener leaves later connections unanswered.
        full.bind(('127.0.0.1', 0))
        full.listen(0)
        address = f'127.0.0.1:{full.getsockname()[1]}'
        with contextlib.ExitStack() as stack:
            for _ in range(3):
                item = stack.enter_context(socket.socket())
                item.setblocking(False)
                item.connect_ex(full.getsockname())
            made = http_client.HttpClient(twisted_reactor, address, 1)
            got = run(lambda: made.request('GET', '/', timeout_s=0.3))
    assert isinstance(got, http_client.NotSent), got


def test_body_that_trickles_ends(reactor_thread: None) -> None:
    """Guard against a peer that keeps a call open with a byte at a time."""
    clock: typing.Any = twisted_reactor
    reader = http_client._BodyReader(clock, 0.3, 0.5)
    run(lambda: _trickle(reader))
    assert reader.done.called


def _trickle(reader: http_client._BodyReader) -> defer.Deferred[typing.Any]:
    reactor: typing.Any = twisted_reactor
    ended: defer.Deferred[typing.Any] = defer.Deferred()

    def send() -> None:
        if reader.done.called:
            ended.callback(None)
            return
        reader.dataReceived(b'x')
        reactor.callLater(0.05, send)

    send()
    return ended


class OddStore(platform_fakes.LogStore):
    """Return the newest values of a topic as another writer left them."""

    values: tuple[typing.Any, ...] = ('e30=', None, 7, '%', '')

    def _newest(self, partition: list[bytes]) -> typing.Any:
        rows = [
            {'Key': f'evacuate/z{number}', 'Value': value, 'Offset': number}
            for number, value in enumerate(self.values)
        ]
        return {'items': rows, 'HasMore': False, 'EndOffset': 5}


def test_value_that_can_not_be_decoded_keeps_its_key(
    reactor_thread: None,
) -> None:
    """Guard against an evacuation that is hidden by its value."""
    fake = OddStore()
    client = make_client(fake.address)
    got = run(lambda: client.newest('keyed.op'))
    assert isinstance(got, store.Items)
    found = [(item.value, item.malformed) for item in got.items]
    assert found == [
        (b'{}', False), (b'', False), (b'', True), (b'', True), (b'', False),
    ]  # fmt: skip
    fake.close()


def test_topic_with_a_lower_end_is_read_anew(reactor_thread: None) -> None:
    """Guard against reads that wait at an offset of a deleted topic."""
    fake = platform_fakes.LogStore()
    fake.topics['keyed.op'] += [b'\x01kx']
    client = make_client(fake.address)
    got = run(lambda: client.read_keyed('keyed.op', 5, 0.0))
    assert got == store.Trimmed(1)
    fake.close()

"""Test the client of the store over real HTTP connections."""

import threading
import time
import typing

import platform_fakes
import proxy
import pytest
from twisted.internet import defer
from twisted.internet import reactor as twisted_reactor
from twisted.internet import tcp

from kcr_platform import log_store
from kcr_runtime import http_client
from kcr_runtime import metrics
from kcr_runtime import store

# Time to wait for an outcome, in seconds.
WAIT_S = 30.0


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
    reactor: typing.Any = twisted_reactor
    thread = threading.Thread(
        target=reactor.run, kwargs={'installSignalHandlers': False}
    )
    thread.daemon = True
    thread.start()
    yield


def run(call: typing.Callable[[], defer.Deferred[typing.Any]]) -> typing.Any:
    """Run a call in the thread of the reactor; return its outcome."""
    done = threading.Event()
    found: list[typing.Any] = []

    def begin() -> None:
        call().addBoth(found.append).addBoth(lambda _: done.set())

    reactor: typing.Any = twisted_reactor
    reactor.callFromThread(begin)
    assert done.wait(WAIT_S)
    return found[0]


def is_connected(address: str) -> bool:
    """Return whether the reactor has a connection to an address."""
    reactor: typing.Any = twisted_reactor
    port = int(address.rpartition(':')[2])
    return any(
        getattr(reader, 'addr', ('', 0))[1] == port
        for reader in reactor.getReaders()
        if isinstance(reader, tcp.Client)
    )


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
    threading.Timer(0.7, link.set_faults, [('down',)]).start()
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

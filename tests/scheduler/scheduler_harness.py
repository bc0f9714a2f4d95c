"""Run tasks of a scheduler with a fake clock, a fake store and recorders."""

import collections
from collections import abc
import random
import typing

import recorder
from twisted.internet import defer
from twisted.internet import task as twisted_task

from kcr_runtime import metrics
from kcr_runtime import store
from kcr_runtime import task


class Config:
    """Store the options that the tasks read."""

    process = 'me'
    region = zone = rack = 'x'
    listen = address = '127.0.0.1:1'
    seeds = ('127.0.0.1:1', '127.0.0.1:2')
    store = 'model'
    config = 'model'
    advice = 'none'
    cores = 1.0
    link_mbps = 1000.0
    memory_mb = 300.0
    max_record_bytes = 262_144
    max_call_bytes = 2_097_152
    keep_s = 300.0
    lease_s = 6.0
    cold_overrun, cold_slack = 1.5, 5.0
    zone_regions: tuple[str, ...] = ()
    remote_factor = 1.0
    overload = False
    preempt = False
    move_stragglers = False


class FakeStore:
    """Store partitions in memory, with the faults that a test sets."""

    def __init__(self) -> None:
        self.partitions: dict[str, list[bytes]] = collections.defaultdict(list)
        self.keyed: dict[str, dict[str, bytes]] = collections.defaultdict(dict)
        self.appends = 0
        # Offset of the first stored record of each partition.
        self.first: dict[str, int] = collections.defaultdict(int)
        # Faults of the next appends: `lost` takes effect without an answer,
        # `refused` is rejected without an effect, `late` has no answer and
        # takes effect in apply_late_appends().
        self.faults: collections.deque[str] = collections.deque()
        self.late: list[tuple[str, list[bytes], int]] = []

    def append(
        self, topic: str, items: abc.Sequence[bytes], at: int, timeout_s: float
    ) -> defer.Deferred[store.AppendResult]:
        """Append if the partition ends at an offset."""
        self.appends += 1
        fault = self.faults.popleft() if self.faults else ''
        if fault == 'refused':
            return defer.succeed(store.Rejected('busy'))
        if fault == 'late':
            self.late.append((topic, list(items), at))
            return defer.succeed(store.NoAnswer('late'))
        done = self._apply(topic, list(items), at)
        if fault == 'lost':
            return defer.succeed(store.NoAnswer('lost'))
        return defer.succeed(done)

    def _apply(
        self, topic: str, items: list[bytes], at: int
    ) -> store.AppendResult:
        partition = self.partitions[topic]
        if len(partition) != at:
            return store.Conflict(len(partition))
        partition += items
        return store.Appended(len(partition))

    def apply_late_appends(self) -> None:
        """Carry out the late appends."""
        for topic, items, at in self.late:
            self._apply(topic, items, at)
        self.late.clear()

    def read(
        self, topic: str, start: int, wait_s: float
    ) -> defer.Deferred[store.ReadResult]:
        """Read from an offset on."""
        partition = self.partitions[topic]
        if start < self.first[topic]:
            return defer.succeed(store.Trimmed(self.first[topic]))
        found = tuple(partition[start:])
        return defer.succeed(store.Page(len(partition), start, found))

    def trim(
        self, topic: str, before: int
    ) -> defer.Deferred[store.TrimResult]:
        """Delete the records before an offset."""
        self.first[topic] = max(self.first[topic], before)
        return defer.succeed(store.Trimmed(before))

    def put(
        self, topic: str, key: str, value: bytes
    ) -> defer.Deferred[store.AppendResult]:
        """Set a key."""
        self.keyed[topic][key] = value
        return defer.succeed(store.Appended(1))

    def newest(self, topic: str) -> defer.Deferred[store.ItemsResult]:
        """Read all keys."""
        items = tuple(
            store.Item(key, value, 0)
            for key, value in self.keyed[topic].items()
        )
        return defer.succeed(store.Items(items, 1))

    def read_keyed(
        self, topic: str, start: int, wait_s: float
    ) -> defer.Deferred[store.ItemsResult | store.Trimmed]:
        """Return a result that never fires."""
        return defer.Deferred()


FAKE_STORES: list[FakeStore] = []


@store.STORES.register('model')
def find_store(ctx: task.Context) -> FakeStore:
    """Return the store of the running test."""
    return FAKE_STORES[-1]


class Harness:
    """Connect a fake clock, a fake store, a directory and recorders."""

    def __init__(
        self, *recorded: str, shared: FakeStore | None = None
    ) -> None:
        self.store = shared or FakeStore()
        FAKE_STORES.append(self.store)
        self.clock = twisted_task.Clock()
        self.ctx = task.Context(
            reactor=self.clock,
            directory=task.Directory(),
            rng=random.Random(1),
            cfg=Config(),
            metrics=metrics.Metrics('test'),
            incarnation=f'me-{len(FAKE_STORES)}',
        )
        self.recorders = {address: recorder.Recorder() for address in recorded}
        for address, recorded_task in self.recorders.items():
            self.ctx.directory.add(address, recorded_task)

    def post(self, address: str, msg: typing.Any) -> None:
        """Post a message and let it be handled."""
        assert self.ctx.directory.send(address, msg)
        self.advance(0.0)

    def advance(self, seconds: float) -> None:
        """Advance the clock in small steps."""
        for _ in range(max(1, round(seconds / 0.01))):
            self.clock.advance(0.01 if seconds else 0.0)
            self.clock.advance(0.0)
            self.clock.advance(0.0)

"""Test reading of and appending to the job log over links of any rate."""

from collections import abc
import struct
import typing

import pytest
import scheduler_harness
from twisted.internet import defer

from kcr_jobs import records
from kcr_jobs import types
from kcr_runtime import link_rate
from kcr_runtime import store
from kcr_scheduler import addresses
from kcr_scheduler import events
from kcr_scheduler.work import codec
from kcr_scheduler.work import job_log
from kcr_scheduler.work import owner

QUEUE = types.Queue('q', 'svc')
STEP = types.Step(1, types.Demand(10, 10))


class LinkedStore(scheduler_harness.FakeStore):
    """Answer calls after the time that a link of some rate takes."""

    def __init__(self, rate: float) -> None:
        super().__init__()
        self.rate = rate
        self.clock: typing.Any = None
        self.pages = 0
        self.append_sizes: list[int] = []
        self.page_bytes = 64 * 1024
        self.latency_s = 0.0

    def read(
        self, topic: str, start: int, wait_s: float
    ) -> defer.Deferred[store.ReadResult]:
        """Read one page of a bounded size."""
        partition = self.partitions[topic]
        found: list[bytes] = []
        size = 0
        for data in partition[start:]:
            if found and size + len(data) > self.page_bytes:
                break
            found.append(data)
            size += len(data)
        self.pages += 1
        page = store.Page(len(partition), start, tuple(found))
        return self._later(size, page)

    def append(
        self, topic: str, items: abc.Sequence[bytes], at: int, timeout_s: float
    ) -> defer.Deferred[store.AppendResult]:
        """Append; time out if the link takes longer than the timeout."""
        size = sum(map(len, items))
        self.append_sizes.append(min(size, int(timeout_s * self.rate)))
        if size / self.rate > timeout_s:
            # The rest of the request is not sent after the timeout.
            return self._later(timeout_s * self.rate, store.NoAnswer('late'))
        return self._later(size, self._apply(topic, list(items), at))

    def _later(
        self, size: float, result: typing.Any
    ) -> defer.Deferred[typing.Any]:
        fut: defer.Deferred[typing.Any] = defer.Deferred()
        took_s = self.latency_s + size / self.rate
        self.clock.callLater(took_s, fut.callback, result)
        return fut


def make_log(
    rate: float,
) -> tuple[scheduler_harness.Harness, LinkedStore, job_log.JobLog]:
    """Return a job log behind a link."""
    linked = LinkedStore(rate)
    harness = scheduler_harness.Harness(
        addresses.MESH, addresses.CALLS, shared=linked
    )
    linked.clock = harness.clock
    log = job_log.JobLog(harness.ctx, typing.cast(typing.Any, linked))
    return harness, linked, log


def accepted(number: int, size: int = 100) -> records.Accepted:
    """Return the acceptance of a job with a payload that does not compress."""
    text = ''.join(
        chr(0x4E00 + (number * 7919 + index * 104729) % 20000)
        for index in range(size // 3)
    )
    return records.Accepted(
        types.JobSpec(f'{number:016x}', QUEUE, text, (STEP,)), 1
    )


def test_two_reads_at_once_apply_each_record_once() -> None:
    """Guard against a page that is applied twice by a look-up and a claim."""
    harness, linked, log = make_log(250_000.0)
    for number in range(20):
        batch = codec.encode(str(number), [accepted(number)])
        linked.partitions[job_log.TOPIC].append(batch)
    futs = [defer.ensureDeferred(log.catch_up()) for _ in range(3)]
    harness.advance(1.0)
    assert all(fut.called for fut in futs)
    assert log.end == 20 and len(log.table.jobs) == 20


@pytest.mark.parametrize('rate', [250_000.0, 25_000_000.0])
def test_large_batch_is_appended_in_parts(rate: float) -> None:
    """Guard against an append that times out and is sent again in full."""
    harness, linked, log = make_log(rate)
    batch = [accepted(number, 6000) for number in range(200)]
    fut = defer.ensureDeferred(log.append(batch))
    harness.advance(60.0)
    assert fut.called
    sent = sum(linked.append_sizes)
    stored = linked.partitions[job_log.TOPIC]
    assert log.end == len(stored)
    # What is sent in vain while the rate is learnt is bounded.
    assert sent <= 2 * sum(map(len, stored)) + 1_000_000
    found = [
        rec.spec.job_id
        for data in stored
        for rec in codec.decode(data)[1]
        if isinstance(rec, records.Accepted)
    ]
    assert found == [rec.spec.job_id for rec in batch]


def test_late_answer_of_an_old_append_does_not_move_the_log() -> None:
    """Guard against jobs that a former owner skips when it claims again.

    Its append was answered after it had stepped down; the end of the log that
    it had just reset was moved past the first records.
    """
    linked = LinkedStore(25_000_000.0)
    linked.latency_s = 0.1
    harness = scheduler_harness.Harness(
        addresses.MESH, addresses.CALLS, shared=linked
    )
    linked.clock = harness.clock
    made = owner.Owner(harness.ctx, addresses.OWNER)
    made.begin()
    harness.post(addresses.OWNER, events.Campaign(0))
    harness.advance(2.0)
    assert made.phase == 'leading'
    assert made.controller is not None
    spec = accepted(1).spec
    while made._append_since is not None:
        harness.advance(0.01)
    made.controller.submit(('', 't'), spec, made.now(), 0.0)
    made._flush()
    harness.post(addresses.OWNER, events.StepDown())
    harness.advance(2.0)
    assert made.phase == 'idle'
    harness.post(addresses.OWNER, events.Campaign(1))
    harness.advance(5.0)
    assert made.controller is not None
    assert list(made.controller.table.jobs) == [spec.job_id]
    assert made.controller.epoch == 2


def test_former_owner_does_not_repeat_its_append() -> None:
    """Guard against calls for nothing by a process that has stepped down."""
    harness, made = (
        scheduler_harness.Harness(addresses.MESH, addresses.CALLS),
        None,
    )
    made = owner.Owner(harness.ctx, addresses.OWNER)
    made.begin()
    harness.post(addresses.OWNER, events.Campaign(0))
    harness.store.faults.extend(['refused'] * 1000)
    assert made.controller is not None
    made.controller.submit(('', 't'), accepted(1).spec, made.now(), 0.0)
    made._flush()
    harness.advance(0.5)
    harness.post(addresses.OWNER, events.StepDown())
    before = harness.store.appends
    harness.advance(5.0)
    assert harness.store.appends <= before + 1


def test_successor_reads_the_log_before_it_claims() -> None:
    """Guard against a takeover whose time grows with the log."""
    harness, linked, _ = make_log(250_000.0)
    for number in range(100):
        batch = codec.encode(str(number), [accepted(number, 9000)])
        linked.partitions[job_log.TOPIC].append(batch)
    made = owner.Owner(harness.ctx, addresses.OWNER)
    made.begin()
    harness.post(addresses.OWNER, events.Follow(True))
    harness.advance(10.0)
    linked.pages = 0
    harness.post(addresses.OWNER, events.Campaign(0))
    harness.advance(0.3)
    assert made.phase == 'leading'
    assert linked.pages <= 1


def test_record_of_another_writer_is_skipped() -> None:
    """Guard against a record that ends every process that reads the log."""
    harness, linked, log = make_log(25_000_000.0)
    odd = [
        b'', b'\x00', b'\x83', b'\x02', b'\x83' * 5000, b'\x02' + b'\xff' * 90,
        b'\x81' * 100_000 + b'\x00', struct.pack('>I', 7) * 9,
    ]  # fmt: skip
    linked.partitions[job_log.TOPIC] += [
        *odd,
        codec.encode('x', [accepted(1)]),
    ]
    fut = defer.ensureDeferred(log.catch_up())
    harness.advance(1.0)
    assert fut.called
    assert len(log.table.jobs) == 1


def test_transfers_are_sized_by_the_rate() -> None:
    """Guard against a page that occupies a narrow link for seconds."""
    link = link_rate.LinkRate(1000.0)
    assert link.infer_transfer_bytes() == link_rate.MAX_TRANSFER_BYTES
    for _ in range(12):
        link.record(
            link.infer_transfer_bytes(), link.infer_transfer_bytes() / 250_000
        )
    assert link.infer_transfer_bytes() <= 80_000
    for _ in range(12):
        link.record(link.infer_transfer_bytes(), 0.0)
    assert link.infer_transfer_bytes() == link_rate.MAX_TRANSFER_BYTES

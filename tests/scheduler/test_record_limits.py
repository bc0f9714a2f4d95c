"""Test that no record or call exceeds the limits of the store."""

from collections import abc
import random
import typing

import pytest
import scheduler_harness
from twisted.internet import defer

from kcr_jobs import job_table
from kcr_jobs import messages
from kcr_jobs import records
from kcr_jobs import snapshots
from kcr_jobs import types
from kcr_runtime import store
from kcr_scheduler import addresses
from kcr_scheduler import events
from kcr_scheduler.work import codec
from kcr_scheduler.work import job_log
from kcr_scheduler.work import owner
from kcr_scheduler.work import record_limits

QUEUE = types.Queue('q', 'svc', max_attempts=9)
STEP = types.Step(10_000, types.Demand(10, 10), checkpointing=True)
JOB_ID = 'f' * 16


class LimitedStore(scheduler_harness.FakeStore):
    """Refuse records and calls that are too large, as the platform does."""

    def __init__(self) -> None:
        super().__init__()
        self.max_record = 262_144
        self.max_call = 2_097_152
        self.refused = 0

    def append(
        self, topic: str, items: abc.Sequence[bytes], at: int, timeout_s: float
    ) -> defer.Deferred[store.AppendResult]:
        """Append within the limits."""
        size = sum(4 + len(item) for item in items)
        if size > self.max_call or max(map(len, items)) > self.max_record:
            self.refused += 1
            return defer.succeed(store.Rejected('status 400', True))
        return super().append(topic, items, at, timeout_s)


def make_harness() -> tuple[scheduler_harness.Harness, LimitedStore]:
    """Return a harness with a store that has limits."""
    limited = LimitedStore()
    harness = scheduler_harness.Harness(
        addresses.MESH, addresses.CALLS, shared=limited
    )
    return harness, limited


def make_spec(*steps: types.Step, **fields: typing.Any) -> types.JobSpec:
    """Return a job."""
    payload = fields.pop('payload', 'p')
    return types.JobSpec(JOB_ID, QUEUE, payload, steps, **fields)


def make_table(spec: types.JobSpec) -> job_table.JobTable:
    """Return a table with a job all of whose tasks have checkpoints."""
    rng = random.Random(1)
    table = job_table.JobTable()
    table.apply(records.Accepted(spec, 1))
    for number in range(max(1, spec.repeat)):
        for index in range(spec.steps[0].count):
            name = f'{JOB_ID}.{number}.0.{index}'
            saved = f'{rng.getrandbits(256):064x}'
            how = 'done' if rng.random() < 0.1 else 'failed'
            row = records.EndedRow(name, 1, how, saved)
            table.apply(records.Ended((row,)))
    return table


def take_snapshot(table: job_table.JobTable) -> list[records.Record]:
    """Return the records of a snapshot as one batch."""
    chosen = snapshots.Snapshots(snapshots.MIN_GROWTH_BYTES, 0.0)
    out: list[records.Record] = []
    while not out or not isinstance(out[-1], records.SnapshotEnded):
        out += chosen.choose_records(table, 0.05)
    return out


def read_table(limited: LimitedStore) -> job_table.JobTable:
    """Return the table that results from the stored records."""
    table = job_table.JobTable()
    for data in limited.partitions[job_log.TOPIC]:
        job_table.fold(codec.decode(data)[1], table)
    return table


@pytest.mark.parametrize('limits', [(262_144, 2_097_152), (16_384, 40_000)])
@pytest.mark.parametrize(
    'spec',
    [
        make_spec(STEP),
        make_spec(types.Step(1), repeat=20_000, interval_ms=1.0),
    ],
)
def test_large_job_is_restated(
    spec: types.JobSpec, limits: tuple[int, int]
) -> None:
    """Guard against a restatement that the store refuses for ever."""
    harness, limited = make_harness()
    limited.max_record, limited.max_call = limits
    harness.ctx.cfg.max_record_bytes, harness.ctx.cfg.max_call_bytes = limits
    log = job_log.JobLog(harness.ctx, typing.cast(typing.Any, limited))
    table = make_table(spec)
    batch = take_snapshot(table)
    # In one record as well, which an owner of an earlier build may write.
    batch.insert(1, job_table.restate(table.jobs[JOB_ID]))
    fut = defer.ensureDeferred(log.append(batch))
    harness.advance(5.0)
    assert fut.called and limited.refused == 0
    found = read_table(limited)
    rows = job_table.restate(found.jobs[JOB_ID])
    assert rows == job_table.restate(table.jobs[JOB_ID])


def test_many_starts_and_ends_are_split() -> None:
    """Guard against a plan whose starts do not fit into one record."""
    harness, limited = make_harness()
    log = job_log.JobLog(harness.ctx, typing.cast(typing.Any, limited))
    rng = random.Random(1)
    starts, ends = [], []
    for index in range(20_000):
        name = f'{JOB_ID}.0.0.{index}'
        node, saved = (f'{rng.getrandbits(128):032x}' for _ in range(2))
        starts.append(records.StartRow(name, 1, node, node))
        ends.append(records.EndedRow(name, 1, 'stopped', saved))
    spec = make_spec(types.Step(20_000))
    batch: list[records.Record] = [
        records.Accepted(spec, 1),
        records.Started(tuple(starts)),
        records.Ended(tuple(ends)),
    ]
    fut = defer.ensureDeferred(log.append(batch))
    harness.advance(5.0)
    assert fut.called and limited.refused == 0
    tasks = read_table(limited).jobs[JOB_ID].tasks
    assert [task.checkpoint for task in tasks.values()] == [
        row.saved for row in ends
    ]


def make_owner(harness: scheduler_harness.Harness) -> owner.Owner:
    """Return a process that owns the jobs."""
    made = owner.Owner(harness.ctx, addresses.OWNER)
    made.begin()
    harness.post(addresses.OWNER, events.Campaign(0))
    harness.advance(0.1)
    assert made.phase == 'leading'
    return made


def test_append_refused_as_invalid_is_not_repeated_for_ever() -> None:
    """Guard against an owner that makes no progress and keeps the jobs."""
    harness, limited = make_harness()
    made = make_owner(harness)
    limited.max_record = 10
    harness.advance(10.0)
    assert made.phase == 'idle'
    assert limited.refused <= 3
    limited.max_record = 262_144
    harness.post(addresses.OWNER, events.Campaign(1))
    harness.advance(0.1)
    assert made.phase == 'leading'


def test_record_that_can_not_be_split_is_not_sent() -> None:
    """Guard against a job that the owner appends though it does not fit."""
    harness, limited = make_harness()
    made = make_owner(harness)
    assert made.controller is not None
    spec = make_wide_spec(256)
    made.controller.append(records.Accepted(spec, 1))
    made._flush()
    harness.advance(1.0)
    assert limited.refused == 0
    assert made.phase == 'idle'


def make_wide_spec(steps: int) -> types.JobSpec:
    """Return a job of many texts that compress little."""
    rng = random.Random(1)

    def text() -> str:
        return ''.join(
            chr(rng.randrange(0xE000, 0x110000)) for _ in range(128)
        )

    return make_spec(
        *(
            types.Step(1, label=text(), near_rack=text(), image=text())
            for _ in range(steps)
        )
    )


def test_excess_of_a_job_is_found() -> None:
    """Guard against a job that is accepted and can't be restated."""
    found = set()
    for steps in (1, 60, 150, 200, 210, 220, 230, 240, 250, 256):
        spec = make_wide_spec(steps)
        job = job_table.Job(spec, 1)
        size = len(codec.encode('i' * 60, [job_table.restate(job)]))
        excess = record_limits.find_excess(spec, 262_144)
        found.add(bool(excess))
        assert excess or size <= 262_144
        assert not excess or size > 262_144 - 2048
    assert found == {False, True}


def test_job_that_does_not_fit_is_refused() -> None:
    """Guard against an owner that accepts a job and loses the ownership."""
    harness, limited = make_harness()
    made = make_owner(harness)
    call = messages.JobCall('t', 'submit', 'q', JOB_ID, make_wide_spec(256))
    harness.post(addresses.OWNER, events.LocalCall(call))
    harness.advance(2.0)
    assert made.phase == 'leading'
    (reply,) = harness.recorders[addresses.CALLS].pop_all(messages.JobReply)
    assert reply.outcome == 'refused'
    assert limited.refused == 0


def test_large_snapshot_does_not_cause_the_next() -> None:
    """Guard against snapshots without end of a job with a large record."""
    harness, limited = make_harness()
    made = make_owner(harness)
    assert made.controller is not None
    made.controller.append(records.Accepted(make_wide_spec(180), 1))
    made._flush()
    harness.advance(10.0)
    assert made.controller.snapshots.number <= 2

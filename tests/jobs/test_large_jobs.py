"""Test that a job of many tasks is restated in records that can be applied."""

import random

import job_harness
import pytest

from kcr_jobs import job_table
from kcr_jobs import record_parts
from kcr_jobs import records
from kcr_jobs import snapshots
from kcr_jobs import types

TASKS = 3000
STEP = types.Step(TASKS, types.Demand(500, 10), checkpointing=True)
# Rows of tasks in the parts into which the records are split further.
PART_ROWS = 200


def make_log(spec: types.JobSpec, seed: int = 1) -> list[records.Record]:
    """Return the records of a job with tasks in all states."""
    rng = random.Random(seed)
    names = [
        f'{spec.job_id}.{number}.0.{index}'
        for number in range(max(1, spec.repeat))
        for index in range(spec.steps[0].count)
    ]
    rows = [records.StartRow(name, 1, 'node', 'life') for name in names]
    ends = [
        records.EndedRow(
            name, 1, rng.choice(['done', 'lost', 'failed']),
            f'{rng.getrandbits(64):016x}',
        )
        for name in names if rng.random() < 0.8
    ]  # fmt: skip
    return [
        records.Accepted(spec, 1),
        records.Started(tuple(rows)),
        records.Ended(tuple(ends)),
    ]


def make_table(log: list[records.Record]) -> job_table.JobTable:
    """Return the table that results from records."""
    table = job_table.JobTable()
    job_table.fold(log, table)
    return table


def take_snapshot(table: job_table.JobTable) -> list[records.Record]:
    """Return the records of a snapshot, split into small ones."""
    chosen = snapshots.Snapshots(snapshots.MIN_GROWTH_BYTES, 0.0)
    out: list[records.Record] = []
    while not out or not isinstance(out[-1], records.SnapshotEnded):
        out += chosen.choose_records(table, 0.05)
    parts: list[records.Record] = []
    while out:
        rec = out.pop(0)
        large = isinstance(rec, records.Restated) and (
            len(rec.tasks) > PART_ROWS
        )
        if large:
            out[:0] = record_parts.split(rec)
        else:
            parts.append(rec)
    return parts


def describe(table: job_table.JobTable) -> object:
    """Return the durable state of all jobs."""
    return {
        job_id: (
            job.state, job.failed, job.begun, dict(job.unfinished),
            job_table.restate(job),
        )
        for job_id, job in table.jobs.items()
    }  # fmt: skip


JOBS = [
    job_harness.make_job('j', STEP, queue=types.Queue('q', 's', 0, 99)),
    job_harness.make_job(
        'j', types.Step(1), queue=types.Queue('q', 's', 0, 99),
        repeat=TASKS, interval_ms=1.0,
    ),
]  # fmt: skip


@pytest.mark.parametrize('spec', JOBS)
def test_reader_of_a_snapshot_has_the_whole_job(spec: types.JobSpec) -> None:
    """Guard against tasks that are lost between the parts of a job."""
    table = make_table(make_log(spec))
    parts = take_snapshot(table)
    restated = [rec for rec in parts if isinstance(rec, records.Restated)]
    assert len(restated) >= TASKS // PART_ROWS
    assert sum(bool(rec.spec.steps) for rec in restated) == 1
    assert describe(make_table(parts)) == describe(table)


@pytest.mark.parametrize('spec', JOBS)
def test_job_is_right_after_each_part(spec: types.JobSpec) -> None:
    """Guard against a done task that a new owner starts again.

    The owner may fail between two parts, so that its successor has the log
    up to there.
    """
    log = make_log(spec)
    table = make_table(log)
    expected = describe(table)
    for rec in take_snapshot(table):
        table.apply(rec)
        assert describe(table) == expected


@pytest.mark.parametrize('seed', range(5))
def test_reader_that_starts_within_a_snapshot(seed: int) -> None:
    """Guard against a wrong state from the later parts of a job alone.

    The store drops the oldest records, also in the middle of a snapshot. The
    next one makes the state complete.
    """
    rng = random.Random(seed)
    table = make_table(make_log(rng.choice(JOBS), seed))
    first, second = take_snapshot(table), take_snapshot(table)
    log = first[rng.randrange(1, len(first)) :]
    reader = make_table(log)
    assert all(job.spec.steps for job in reader.jobs.values())
    job_table.fold(second, reader)
    assert describe(reader) == describe(table)


def test_records_between_the_parts_are_kept() -> None:
    """Guard against a part that takes back what was recorded meanwhile."""
    owner = make_table(make_log(JOBS[0]))
    chosen = snapshots.Snapshots(snapshots.MIN_GROWTH_BYTES, 0.0)
    rng = random.Random(3)
    log: list[records.Record] = []
    while not log or not isinstance(log[-1], records.SnapshotEnded):
        log += chosen.choose_records(owner, 0.05)
        if isinstance(log[-1], records.SnapshotEnded):
            break
        waiting = [
            task for task in owner.jobs['j'].tasks.values() if not task.done
        ]
        for task in rng.sample(waiting, 20):
            start = records.StartRow(task.name, task.attempt + 1, 'n', 'l')
            end = records.EndedRow(
                task.name, task.attempt + 1,
                rng.choice(['done', 'failed']), 'c',
            )  # fmt: skip
            for rec in (records.Started((start,)), records.Ended((end,))):
                owner.apply(rec)
                log.append(rec)
    assert describe(make_table(log)) == describe(owner)


def test_job_submitted_again_is_not_merged_with_the_older_one() -> None:
    """Guard against tasks of a forgotten job that count as done."""
    table = make_table(make_log(JOBS[0]))
    later = job_table.Job(JOBS[0], 2)
    later.make_occurrence()
    table.apply(job_table.restate(later))
    assert not any(task.done for task in table.jobs['j'].tasks.values())


def test_part_without_started_tasks_leaves_the_job_open() -> None:
    """Guard against a job that counts as completed by its last parts.

    Only some of its tasks were started when the snapshot was written.
    """
    names = [f'j.0.0.{index}' for index in range(900)]
    table = make_table(
        [
            records.Accepted(JOBS[0], 1),
            records.Started(
                tuple(records.StartRow(name, 1, 'n', 'l') for name in names)
            ),
            records.Ended(
                tuple(records.EndedRow(name, 1, 'done', '') for name in names)
            ),
        ]
    )
    parts = take_snapshot(table)
    for reader in (make_table(parts), table):
        for rec in parts:
            reader.apply(rec)
            assert reader.jobs['j'].state == job_table.RUNNING
            assert reader.jobs['j'].unfinished == {(0, 0): TASKS - 900}


@pytest.mark.parametrize('ended', [0, 900, 1100, 2500, TASKS])
def test_job_that_ends_between_its_parts(ended: int) -> None:
    """Guard against an end that a reader misses, or sees too early.

    The owner drops the tasks of an ended job, so that their parts are not
    written any more.
    """
    rng = random.Random(ended)
    names = [f'j.0.0.{index}' for index in range(TASKS)]
    rng.shuffle(names)
    owner = make_table([records.Accepted(JOBS[0], 1)])
    log: list[records.Record] = []

    def end(some: list[str]) -> None:
        for rec in (
            records.Started(
                tuple(records.StartRow(name, 1, 'n', 'l') for name in some)
            ),
            records.Ended(
                tuple(records.EndedRow(name, 1, 'done', '') for name in some)
            ),
        ):
            owner.apply(rec)
            log.append(rec)

    end(names[:ended])
    log.clear()
    chosen = snapshots.Snapshots(snapshots.MIN_GROWTH_BYTES, 0.0)
    for _ in range(3):
        log += chosen.choose_records(owner, 0.05)
    end(names[ended:])
    job = owner.jobs['j']
    job.finalized = True
    assert job.compact()
    while not isinstance(log[-1], records.SnapshotEnded):
        log += chosen.choose_records(owner, 0.05)
    assert make_table(log).jobs['j'].state == job_table.COMPLETED

"""Test jobs of many occurrences: what is kept, planned and restated."""

import random

import job_harness
import pytest

from kcr_jobs import job_table
from kcr_jobs import occurrences
from kcr_jobs import placement
from kcr_jobs import planning
from kcr_jobs import records
from kcr_jobs import snapshots
from kcr_jobs import types

# A year of occurrences, one each two minutes, all of them overdue.
COUNT = 262_800
INTERVAL_MS = 120_000.0
SMALL = types.Step(1, types.Demand(1000, 100))
IMPOSSIBLE = types.Step(1, types.Demand(100, 10), label='none')


def make_overdue(
    job_id: str, step: types.Step, count: int = COUNT
) -> types.JobSpec:
    """Return a job all of whose occurrences are overdue."""
    return job_harness.make_job(
        job_id, step, repeat=count, interval_ms=INTERVAL_MS,
        start_at_ms=job_harness.WALL_MS - count * INTERVAL_MS,
    )  # fmt: skip


def end_all(runner: job_harness.FakeRunner) -> None:
    """End all runs of a runner as done."""
    for task in list(runner.runs):
        runner.end(task, 'done')


@pytest.mark.parametrize(('jobs', 'overdue'), [(1, COUNT), (10, 1000)])
def test_occurrences_that_can_not_start_cost_little(
    jobs: int, overdue: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against an owner that plans all overdue occurrences at once."""
    rated = 0
    original = placement.find_rejection_reason

    def count(task: job_table.Task, candidate: placement.Candidate) -> str:
        nonlocal rated
        rated += 1
        return original(task, candidate)

    monkeypatch.setattr(placement, 'find_rejection_reason', count)
    harness = job_harness.Harness(job_harness.FakeRunner('a'))
    for number in range(jobs):
        harness.submit(make_overdue(f'p{number}', IMPOSSIBLE, overdue))
    most = jobs * occurrences.MAX_WAITING
    for number in range(1, 11):
        harness.step()
        tasks = sum(len(j.tasks) for j in harness.ctl.table.jobs.values())
        assert tasks <= most
        assert rated <= number * 2 * most
    harness.submit(job_harness.make_job('other', SMALL))
    harness.step()
    assert harness.find_placements('other')
    harness.take_over()
    harness.attach_all()
    harness.step()
    assert sum(len(j.tasks) for j in harness.ctl.table.jobs.values()) <= (
        most + 1
    )


def test_job_of_many_steps_that_can_not_start_costs_little(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against a look at all tasks of a job for each of its steps."""
    looks = 0
    original = planning._is_starved

    def count(job: job_table.Job, now: float) -> bool:
        nonlocal looks
        looks += 1
        return original(job, now)

    monkeypatch.setattr(planning, '_is_starved', count)
    harness = job_harness.Harness(job_harness.FakeRunner('a'))
    harness.submit(job_harness.make_job('j', *[IMPOSSIBLE] * 200))
    looks = 0
    harness.ctl.schedule(harness.now)
    assert looks == 1


def test_all_overdue_occurrences_run_once_in_order() -> None:
    """Guard against an occurrence that is left out, or is run again."""
    runner = job_harness.FakeRunner('a', cpu=64000)
    harness = job_harness.Harness(runner)
    harness.submit(make_overdue('j', SMALL, 300))
    started: list[str] = []
    for number in range(200):
        started += runner.runs
        assert len(harness.ctl.table.jobs['j'].tasks) <= (
            len(runner.runs) + occurrences.MAX_WAITING
        )
        end_all(runner)
        if number % 7 == 3:
            harness.take_over()
            harness.attach_all()
        harness.step(0.1)
        if harness.find_state('j') != 'running' and number > 1:
            break
    assert started == [f'j.{number}.0.0' for number in range(300)]
    assert harness.find_state('j') == job_table.COMPLETED


def test_occurrences_overlap() -> None:
    """Guard against an occurrence that waits for the end of an older one."""
    runner = job_harness.FakeRunner('a', cpu=100_000)
    harness = job_harness.Harness(runner)
    harness.submit(
        job_harness.make_job(
            'j', SMALL, repeat=90, interval_ms=10.0,
            start_at_ms=job_harness.WALL_MS,
        )
    )  # fmt: skip
    for _ in range(8):
        harness.step(0.25)
    assert len(runner.runs) == 90


def test_ended_occurrences_are_not_restated() -> None:
    """Guard against a log that grows with each occurrence of the past."""
    runner = job_harness.FakeRunner('a', cpu=64000)
    harness = job_harness.Harness(runner)
    harness.submit(make_overdue('j', SMALL))
    for _ in range(60):
        end_all(runner)
        harness.step(0.1)
    job = harness.ctl.table.jobs['j']
    assert job.occurrences > 1000
    restated = job_table.restate(job)
    assert len(restated.tasks) <= len(runner.runs) + occurrences.MAX_WAITING
    assert len(restated.live) <= 2
    reader = job_table.JobTable()
    reader.apply(restated)
    assert reader.jobs['j'].occurrences == job.occurrences
    assert set(reader.jobs['j'].tasks) == set(job.tasks)


@pytest.mark.parametrize('seed', range(8))
def test_readers_have_the_same_occurrences(seed: int) -> None:
    """Guard against a reader that starts an ended occurrence again.

    Readers begin at the first record, at a snapshot and between two of its
    records.
    """
    rng = random.Random(seed)
    runner = job_harness.FakeRunner('a', cpu=64000)
    harness = job_harness.Harness(runner)
    steps = (
        types.Step(rng.randint(1, 3), SMALL.demand, checkpointing=True),
        types.Step(2, SMALL.demand, after=(0,), gang=rng.random() < 0.5),
    )
    harness.submit(
        job_harness.make_job(
            'j', *steps, repeat=400, interval_ms=20.0,
            queue=types.Queue('q', 'svc', 0, 999),
            start_at_ms=job_harness.WALL_MS - 2000,
        )
    )  # fmt: skip
    begun = 0
    for number in range(150):
        for task in list(runner.runs):
            if rng.random() < 0.6:
                runner.end(task, rng.choice(['done', 'done', 'failed']))
        if number % 40 == 10:
            begun = len(harness.log)
            harness.ctl.snapshots.record_growth(10**9)
        harness.step(0.05)
        if number % 11 == 5:
            check_readers(harness, begun)


def check_readers(harness: job_harness.Harness, begun: int) -> None:
    """Compare the tables of readers with that of the owner."""
    owner = harness.ctl.table.jobs['j']
    first = next(
        (
            index
            for index, rec in enumerate(harness.log)
            if index >= begun and isinstance(rec, records.SnapshotBegun)
        ),
        0,
    )
    ended = any(
        isinstance(rec, records.SnapshotEnded) for rec in harness.log[first:]
    )
    for start in (0, first if ended else 0):
        table = job_table.JobTable()
        job_table.fold(harness.log[start:], table)
        job = table.jobs['j']
        assert (job.begun, job.state) == (owner.begun, owner.state)
        # Occurrences of which no record tells are made by the next owner.
        known = {task.name for task in owner.tasks.values() if task.attempt}
        assert known <= set(job.tasks)
        # An ended job has no tasks any more.
        assert not owner.is_open() or set(job.live) <= set(owner.live)
        for name, task in job.tasks.items():
            other = owner.tasks[name]
            assert (task.done, task.attempt, task.failures, task.instance) == (
                other.done, other.attempt, other.failures, other.instance,
            )  # fmt: skip


def test_number_of_open_tasks_is_bounded() -> None:
    """Guard against small requests that fill the memory of the owner."""
    harness = job_harness.Harness(job_harness.FakeRunner('a'))
    wide = types.Step(20_000, types.Demand(100_000, 100))
    for number in range(30):
        harness.submit(job_harness.make_job(f'w{number}', wide))
    assert harness.ctl.count_open_tasks() <= occurrences.MAX_OPEN_TASKS
    assert {r.outcome for r in harness.replies} == {'accepted', 'refused'}
    harness.replies.clear()
    harness.submit(job_harness.make_job('small', SMALL))
    harness.step()
    assert harness.find_placements('small')


def test_snapshot_of_a_job_with_ended_occurrences_alone() -> None:
    """Guard against a snapshot that expects a task of each begun job."""
    runner = job_harness.FakeRunner('a', cpu=64000)
    harness = job_harness.Harness(runner)
    harness.submit(
        job_harness.make_job(
            'j', SMALL, repeat=2, interval_ms=1e9,
            start_at_ms=job_harness.WALL_MS,
        )
    )  # fmt: skip
    harness.step()
    end_all(runner)
    harness.step()
    harness.step()
    assert not harness.ctl.table.jobs['j'].tasks
    harness.ctl.snapshots.record_growth(snapshots.MIN_GROWTH_BYTES)
    first = len(harness.log)
    harness.step()
    harness.step()
    del harness.log[:first]
    harness.take_over()
    assert harness.find_state('j') == 'running'

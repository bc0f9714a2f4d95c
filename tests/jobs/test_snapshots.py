"""Test that the log from a snapshot on contains the state of every job."""

import random

import job_harness
import pytest

from kcr_jobs import effects
from kcr_jobs import job_table
from kcr_jobs import records
from kcr_jobs import snapshots
from kcr_jobs import types

STEP = types.Step(2, types.Demand(500, 10), checkpointing=True)


class LoggedHarness(job_harness.Harness):
    """Record where snapshots begin, and which of them may be trimmed."""

    def __init__(self, *runners: job_harness.FakeRunner) -> None:
        self.begun: dict[int, int] = {}
        self.trims: list[int] = []
        super().__init__(*runners)

    def flush(self) -> None:
        """Append the pending records; count what is appended as growth."""
        before = len(self.log)
        if self.store_available:
            size = 1000 * len(self.ctl.pending_records)
            self.ctl.snapshots.record_growth(size)
        for index, rec in enumerate(self.ctl.pending_records):
            if isinstance(rec, records.SnapshotBegun):
                self.begun[rec.number] = before + index
        super().flush()

    def carry_out(self, effect: effects.Effect) -> None:
        """Carry out one effect; note what may be trimmed."""
        if isinstance(effect, effects.TrimLog):
            self.trims.append(self.begun[effect.number])
        super().carry_out(effect)


def describe(table: job_table.JobTable) -> dict[str, object]:
    """Return the durable state of all jobs, and the tasks of open ones."""
    out: dict[str, object] = {'claim': table.claim}
    for job_id, job in table.jobs.items():
        rows = job_table.restate(job).tasks if job.is_open() else ()
        out[job_id] = (job.state, sorted(rows, key=lambda row: row.task))
    return out


@pytest.mark.parametrize('seed', range(12))
def test_log_from_a_snapshot_on_is_complete(seed: int) -> None:
    """Guard against a job that is lost with the records before a snapshot."""
    rng = random.Random(seed)
    runners = [job_harness.FakeRunner(name) for name in 'abc']
    harness = LoggedHarness(*runners)
    claim = records.Claim(1, 'me', 'i', 'x')
    harness.log.append(claim)
    harness.ctl.table.apply(claim)
    for number in range(400):
        if rng.random() < 0.5:
            harness.submit(job_harness.make_job(f'j{number}', STEP))
        for runner in runners:
            for task in list(runner.runs):
                if rng.random() < 0.4:
                    runner.end(task, rng.choice(['done', 'done', 'failed']))
        harness.step(0.1)
        if rng.random() < 0.05:
            harness.ctl.cancel(('', 'c'), f'j{rng.randrange(number + 1)}', 0.0)
            harness.flush()
    assert len(harness.trims) >= 2
    whole, short = job_table.JobTable(), job_table.JobTable()
    job_table.fold(harness.log, whole)
    job_table.fold(harness.log[harness.trims[-1] :], short)
    assert describe(short) == describe(whole)


def test_nothing_is_trimmed_before_the_snapshot_is_durable() -> None:
    """Guard against records that are deleted before they are restated."""
    harness = LoggedHarness(job_harness.FakeRunner('a'))
    harness.submit(job_harness.make_job('j', STEP))
    harness.step(0.1)
    harness.store_available = False
    harness.ctl.snapshots.record_growth(snapshots.MIN_GROWTH_BYTES)
    for _ in range(20):
        harness.step(0.1)
    assert harness.trims == []
    harness.store_available = True
    harness.step(0.1)
    assert len(harness.trims) == 1


def test_snapshot_of_many_jobs_is_spread() -> None:
    """Guard against one batch that restates all jobs and stalls the owner."""
    table = job_table.JobTable()
    for number in range(1000):
        spec = job_harness.make_job(f'j{number}', STEP)
        table.apply(records.Accepted(spec, 1))
    chosen = snapshots.Snapshots(snapshots.MIN_GROWTH_BYTES, 0.0)
    steps = 0
    restated: list[str] = []
    while not restated or len(restated) < 1000:
        batch = chosen.choose_records(table, 0.05 * steps)
        rows = [r for r in batch if isinstance(r, records.Restated)]
        assert sum(1 + len(r.spec.steps) * 2 for r in rows) <= 300
        restated += [r.spec.job_id for r in rows]
        steps += 1
    assert restated == list(table.jobs)
    assert 10 <= steps <= snapshots.MAX_STEPS


def test_every_job_is_restated_while_nothing_happens() -> None:
    """Guard against a job whose records the store drops after 300 s."""
    chosen = snapshots.Snapshots(0, 0.0)
    table = job_table.JobTable()
    table.apply(records.Accepted(job_harness.make_job('j', STEP), 1))
    times = [
        step
        for step in range(600)
        for rec in chosen.choose_records(table, float(step))
        if isinstance(rec, records.Restated)
    ]
    gaps = [later - before for before, later in zip([0, *times], times)]
    assert max(gaps) <= 150


def test_ended_job_keeps_only_its_state() -> None:
    """Guard against payloads and tasks of ended jobs that a claimant reads."""
    runner = job_harness.FakeRunner('a')
    harness = LoggedHarness(runner)
    harness.submit(job_harness.make_job('j', STEP))
    harness.step()
    for task in list(runner.runs):
        runner.end(task, 'done')
    harness.step()
    harness.step()
    job = harness.ctl.table.jobs['j']
    restated = job_table.restate(job)
    assert restated.spec.payload == '' and restated.tasks == ()
    assert harness.find_state('j') == job_table.COMPLETED
    table = job_table.JobTable()
    table.apply(restated)
    assert table.jobs['j'].state == job_table.COMPLETED


def test_cancelled_job_keeps_the_runs_that_are_being_stopped() -> None:
    """Guard against a run of a cancelled job that a new owner ignores."""
    runner = job_harness.FakeRunner('a')
    harness = LoggedHarness(runner)
    harness.submit(job_harness.make_job('j', STEP))
    harness.step()
    runner.connected = False
    harness.ctl.cancel(('', 'c'), 'j', harness.now)
    harness.flush()
    harness.now += 0.5
    harness.ctl.tick(harness.now, 0.0)
    restated = job_table.restate(harness.ctl.table.jobs['j'])
    assert [row.node for row in restated.tasks] == ['a', 'a']

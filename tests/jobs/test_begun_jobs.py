"""Test which jobs count as begun, for the state and the number that wait."""

import job_harness
import pytest

from kcr_jobs import evacuation
from kcr_jobs import job_table
from kcr_jobs import snapshots
from kcr_jobs import types

STEP = types.Step(1, types.Demand(1000, 100))
JOBS = 10


class DeafRunner(job_harness.FakeRunner):
    """Drop the orders to start, as a runner that refuses them."""

    def handle(self, msg: object) -> None:
        """Carry out a message unless it starts a run."""
        if type(msg).__name__ != 'StartRun':
            super().handle(msg)


def submit_jobs(harness: job_harness.Harness) -> None:
    """Submit jobs of one task."""
    for number in range(JOBS):
        harness.submit(job_harness.make_job(f'j{number}', STEP))


def count_pending(harness: job_harness.Harness) -> int:
    """Return the number of waiting jobs that callers see."""
    harness.ctl.count_pending(('', 'p'), job_harness.QUEUE.name)
    harness.flush()
    return harness.replies.pop().number


def test_job_whose_start_was_refused_is_pending() -> None:
    """Guard against `Pending` of 0 while no runner takes the starts."""
    harness = job_harness.Harness(DeafRunner('a'))
    submit_jobs(harness)
    for _ in range(4):
        harness.step()
        assert count_pending(harness) == JOBS
        assert harness.find_state('j0') == 'queued'


def test_job_whose_start_was_withdrawn_is_pending() -> None:
    """Guard against jobs that count as begun though no start was ordered."""
    runner = job_harness.FakeRunner('a')
    harness = job_harness.Harness(runner)
    submit_jobs(harness)
    harness.store_available = False
    harness.step()
    harness.ctl.set_evacuation(evacuation.View(1, frozenset('z')))
    harness.store_available = True
    harness.flush()
    harness.flush()
    assert not runner.runs
    assert 'start withdrawn' in {e.event for e in harness.log_events}
    assert count_pending(harness) == JOBS


@pytest.mark.parametrize('repeats', [1, 2])
def test_new_owner_counts_jobs_that_never_ran(repeats: int) -> None:
    """Guard against recorded starts that hide waiting jobs after a crash."""
    runner = DeafRunner('a')
    harness = job_harness.Harness(runner)
    submit_jobs(harness)
    harness.step()
    runner.connected = False
    for _ in range(repeats):
        harness.take_over()
        assert count_pending(harness) == JOBS
        for _ in range(20):
            harness.step()
        assert count_pending(harness) == JOBS
        assert harness.find_state('j0') == 'queued'


def test_listed_job_is_not_pending() -> None:
    """Guard against a job that counts as waiting while it runs."""
    harness = job_harness.Harness(job_harness.FakeRunner('a'))
    submit_jobs(harness)
    harness.step()
    harness.step()
    assert count_pending(harness) == 0
    assert harness.find_state('j0') == 'running'


@pytest.mark.parametrize('how', ['done', 'failed', 'stopped', 'lapsed'])
def test_job_whose_run_ended_before_a_list_is_not_pending(how: str) -> None:
    """Guard against a run too short for a list that is not counted."""
    runner = job_harness.FakeRunner('a')
    harness = job_harness.Harness(runner)
    two = types.Step(2, types.Demand(1000, 100))
    harness.submit(job_harness.make_job('j', two))
    harness.ctl.schedule(harness.now)
    harness.flush()
    runner.end('j.0.0.0', how)
    del runner.runs['j.0.0.1']
    harness.report(runner)
    assert count_pending(harness) == 0
    harness.take_over()
    assert count_pending(harness) == 0


@pytest.mark.parametrize('restated', [False, True])
def test_state_does_not_return_to_queued(restated: bool) -> None:
    """Guard against a caller that sees `queued` after `running`.

    The runner and the owner fail together, so that no list shows the run
    again; the log has been shortened to the last snapshot before that.
    """
    runner = job_harness.FakeRunner('a')
    harness = job_harness.Harness(runner)
    harness.submit(job_harness.make_job('j', STEP))
    harness.step()
    harness.step()
    assert harness.find_state('j') == 'running'
    if restated:
        harness.ctl.snapshots.record_growth(snapshots.MIN_GROWTH_BYTES)
        first = len(harness.log)
        for _ in range(4):
            harness.step()
        del harness.log[:first]
    runner.connected = False
    harness.take_over()
    assert harness.find_state('j') == 'running'
    for _ in range(20):
        harness.step()
    assert harness.find_state('j') == 'running'
    assert count_pending(harness) == 0


def test_restated_job_stays_begun_between_two_records() -> None:
    """Guard against a reader that sees a job as queued within a snapshot."""
    harness = job_harness.Harness(job_harness.FakeRunner('a'))
    harness.submit(job_harness.make_job('j', STEP))
    harness.step()
    harness.step()
    table = job_table.JobTable()
    job_table.fold(harness.log, table)
    table.apply(job_table.restate(table.jobs['j']))
    assert table.jobs['j'].state == 'running'

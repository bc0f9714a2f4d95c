"""Test cancels of callers for whose path a scheduler has no route."""

import job_harness
import pytest

from kcr_jobs import job_table
from kcr_jobs import records
from kcr_jobs import types

URL = 'jobs.example/q/'
OTHER_URL = 'jobs.example/other/'
STEP = types.Step(2, types.Demand(500, 10))
JOB = job_harness.make_job('j', STEP, base_url=URL)


def make() -> job_harness.Harness:
    """Return a harness with one runner."""
    return job_harness.Harness(job_harness.FakeRunner('a'))


def cancel(harness: job_harness.Harness, base_url: str = URL) -> str:
    """Cancel the job over a path without a route; return the outcome."""
    harness.ctl.cancel(('', 'c'), 'j', harness.now, base_url)
    harness.flush()
    return harness.replies.pop().outcome


def take_over(harness: job_harness.Harness) -> None:
    """Replace the owner."""
    harness.take_over()
    harness.attach_all()


def trim_log(harness: job_harness.Harness) -> None:
    """Write a snapshot and drop the records before it."""
    harness.ctl.snapshots.record_growth(10**6)
    begun = len(harness.log)
    for _ in range(3):
        harness.step()
    assert any(isinstance(r, records.SnapshotEnded) for r in harness.log)
    del harness.log[:begun]


def submit(harness: job_harness.Harness, spec: types.JobSpec = JOB) -> int:
    """Submit a job; return the number of its runs after some steps."""
    harness.submit(spec)
    for _ in range(3):
        harness.step()
    return len(harness.runners['a'].runs)


def test_job_is_cancelled_by_the_url_of_its_submission() -> None:
    """Guard against a job that runs on after its route was removed."""
    harness = make()
    assert submit(harness) == 2
    assert cancel(harness) == 'cancelled'
    harness.step()
    assert not harness.runners['a'].runs
    assert harness.find_state('j') == 'cancelled'


@pytest.mark.parametrize('trimmed', [False, True])
def test_next_owner_knows_the_url_of_the_submission(trimmed: bool) -> None:
    """Guard against an owner that has not seen the version with the route."""
    harness = make()
    submit(harness)
    if trimmed:
        trim_log(harness)
    take_over(harness)
    assert cancel(harness, OTHER_URL) == 'no_route'
    assert cancel(harness) == 'cancelled'


def test_ended_job_is_known_by_the_url_of_its_submission() -> None:
    """Guard against a cancel that is not confirmed as its job has ended."""
    harness = make()
    submit(harness)
    assert cancel(harness) == 'cancelled'
    for _ in range(20):
        harness.step()
    assert not harness.ctl.table.jobs['j'].tasks
    assert cancel(harness) == 'cancelled'


def test_url_of_another_queue_ends_no_job() -> None:
    """Guard against a job that a call on another path cancels."""
    harness = make()
    assert submit(harness) == 2
    assert cancel(harness, OTHER_URL) == 'no_route'
    harness.step()
    assert len(harness.runners['a'].runs) == 2


def test_job_of_an_earlier_build_is_cancelled_by_its_id() -> None:
    """Guard against jobs that can't be cancelled after an update."""
    harness = make()
    submit(harness, job_harness.make_job('j', STEP))
    assert cancel(harness) == 'cancelled'


@pytest.mark.parametrize('trimmed', [False, True])
def test_submission_after_its_unrouted_cancel_never_runs(
    trimmed: bool,
) -> None:
    """Guard against a late copy of a submission whose route was removed."""
    harness = make()
    assert cancel(harness) == 'no_route'
    if trimmed:
        trim_log(harness)
    take_over(harness)
    assert submit(harness) == 0
    assert harness.find_state('j') == 'cancelled'


@pytest.mark.parametrize('taken_over', [False, True])
def test_submission_to_another_queue_runs(taken_over: bool) -> None:
    """Guard against a job that ends by a call on a path without a queue."""
    harness = make()
    assert cancel(harness, OTHER_URL) == 'no_route'
    if taken_over:
        take_over(harness)
    assert submit(harness) == 2
    take_over(harness)
    assert submit(harness) == 2
    assert harness.find_state('j') == 'running'


def test_cancel_with_a_route_is_not_narrowed_by_one_without() -> None:
    """Guard against a confirmed cancel that a later call makes void."""
    harness = make()
    harness.ctl.cancel(('', 'c'), 'j', harness.now)
    assert cancel(harness, OTHER_URL) == 'no_route'
    take_over(harness)
    assert submit(harness) == 0


def test_unknown_job_is_reported_only_after_an_append() -> None:
    """Guard against a suspended owner that does not know its successor's."""
    harness = make()
    harness.store_available = False
    harness.ctl.cancel(('', 'c'), 'j', harness.now, URL)
    harness.flush()
    assert not harness.replies
    harness.store_available = True
    harness.flush()
    assert harness.replies.pop().outcome == 'no_route'


def test_unrouted_cancels_of_unknown_jobs_are_bounded() -> None:
    """Guard against callers with wrong paths that fill the memory."""
    harness = make()
    for number in range(job_table.MAX_EARLY_CANCELS):
        harness.ctl.cancel(('', 'c'), f'k{number}', harness.now, URL)
    harness.flush()
    assert cancel(harness) == 'no_route'
    assert len(harness.ctl.table.early_cancels) == job_table.MAX_EARLY_CANCELS
    assert submit(harness) == 2


def test_unrouted_cancel_is_forgotten_after_the_retention() -> None:
    """Guard against early cancels that take memory for ever."""
    harness = make()
    cancel(harness)
    harness.step(job_table.ENDED_RETENTION_S + 1.0)
    assert not harness.ctl.table.early_cancels
    assert submit(harness) == 2

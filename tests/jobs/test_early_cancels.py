"""Test that a job never runs whose cancel came before its submission."""

import job_harness

from kcr_jobs import job_table
from kcr_jobs import records
from kcr_jobs import types

STEP = types.Step(2, types.Demand(500, 10))
JOB = job_harness.make_job('j', STEP)


def cancel(harness: job_harness.Harness, job_id: str = 'j') -> str:
    """Cancel a job; return the outcome of the call."""
    harness.ctl.cancel(('', 'c'), job_id, harness.now)
    harness.flush()
    return harness.replies.pop().outcome


def count_starts(harness: job_harness.Harness) -> int:
    """Return the number of starts that are recorded after some steps."""
    for _ in range(3):
        harness.step()
    return sum(isinstance(rec, records.Started) for rec in harness.log)


def test_submission_that_arrives_after_its_cancel_never_runs() -> None:
    """Guard against a copy of a submission that overtakes no cancel.

    The caller has left, and nobody would cancel the job again.
    """
    harness = job_harness.Harness(job_harness.FakeRunner('a'))
    assert cancel(harness) == 'unknown_job'
    assert harness.find_state('j') == 'unknown_job'
    harness.submit(JOB)
    assert harness.replies.pop().outcome == 'accepted'
    assert count_starts(harness) == 0
    assert harness.find_state('j') == 'cancelled'


def test_next_owner_knows_the_early_cancel() -> None:
    """Guard against a submission that the owner after the cancel accepts."""
    harness = job_harness.Harness(job_harness.FakeRunner('a'))
    cancel(harness)
    harness.take_over()
    harness.attach_all()
    harness.submit(JOB)
    assert count_starts(harness) == 0
    harness.take_over()
    harness.attach_all()
    assert count_starts(harness) == 0
    assert harness.find_state('j') == 'cancelled'


def test_early_cancel_is_not_answered_before_it_is_durable() -> None:
    """Guard against a cancel that is confirmed and lost with its owner."""
    harness = job_harness.Harness(job_harness.FakeRunner('a'))
    harness.store_available = False
    harness.ctl.cancel(('', 'c'), 'j', harness.now)
    harness.flush()
    assert not harness.replies
    harness.store_available = True
    harness.flush()
    assert harness.replies.pop().outcome == 'unknown_job'


def test_early_cancel_is_kept_when_its_record_is_trimmed() -> None:
    """Guard against a cancel that is deleted with the records before it."""
    harness = job_harness.Harness(job_harness.FakeRunner('a'))
    cancel(harness)
    harness.ctl.snapshots.record_growth(10**6)
    begun = len(harness.log)
    for _ in range(3):
        harness.step()
    assert any(isinstance(r, records.SnapshotEnded) for r in harness.log)
    del harness.log[:begun]
    harness.take_over()
    harness.attach_all()
    harness.submit(JOB)
    assert count_starts(harness) == 0


def test_id_may_be_used_again_after_the_retention() -> None:
    """Guard against early cancels that take memory for ever."""
    harness = job_harness.Harness(job_harness.FakeRunner('a'))
    cancel(harness)
    harness.step(job_table.ENDED_RETENTION_S + 1.0)
    assert not harness.ctl.table.early_cancels
    harness.submit(JOB)
    assert count_starts(harness) == 1


def test_cancels_of_unknown_jobs_are_bounded() -> None:
    """Guard against a caller that fills the memory with cancels.

    One that is refused is not confirmed, so its job may still run.
    """
    harness = job_harness.Harness(job_harness.FakeRunner('a'))
    for number in range(job_table.MAX_EARLY_CANCELS):
        harness.ctl.cancel(('', 'c'), f'k{number}', harness.now)
    harness.flush()
    harness.replies.clear()
    assert cancel(harness) == 'refused'
    assert cancel(harness, 'k0') == 'unknown_job'
    assert len(harness.ctl.table.early_cancels) == job_table.MAX_EARLY_CANCELS
    harness.submit(JOB)
    assert count_starts(harness) == 1


def test_late_cancel_does_not_change_a_completed_job() -> None:
    """Guard against a completed job that a reader reports as cancelled.

    The owner forgets a job sooner than the readers of the log.
    """
    table = job_table.JobTable()
    end = records.EndedRow('j.0.0.0', 1, 'done', '')
    job_table.fold(
        [
            records.Accepted(job_harness.make_job('j', types.Step(1)), 0),
            records.Ended((end,)),
            records.Cancelled('j'),
        ],
        table,
    )
    assert table.jobs['j'].state == job_table.COMPLETED


def wait_s(harness: job_harness.Harness, seconds: float) -> None:
    """Let time pass; the runners report."""
    for _ in range(int(seconds / 0.5)):
        harness.step()


def test_job_submitted_after_the_retention_runs_on_at_the_next_owner() -> None:
    """Guard against a reader of the log that applies a forgotten cancel.

    The owner forgets it by time, the record stays in the log.
    """
    harness = job_harness.Harness(job_harness.FakeRunner('a'))
    cancel(harness)
    wait_s(harness, job_table.ENDED_RETENTION_S + 2.0)
    harness.submit(JOB)
    wait_s(harness, 1.0)
    harness.take_over()
    harness.attach_all()
    harness.step()
    assert harness.find_state('j') == 'running'


def test_ended_job_may_be_submitted_again_after_the_retention() -> None:
    """Guard against a reader that keeps an ended job, and ends the new one."""
    harness = job_harness.Harness(job_harness.FakeRunner('a'))
    harness.submit(JOB)
    cancel(harness)
    wait_s(harness, job_table.ENDED_RETENTION_S + 5.0)
    harness.submit(JOB)
    wait_s(harness, 1.0)
    follower = job_table.JobTable()
    job_table.fold(harness.log, follower)
    assert follower.jobs['j'].state == job_table.RUNNING


def test_repeated_early_cancel_begins_its_retention_anew() -> None:
    """Guard against a submission that runs soon after a confirmed cancel."""
    harness = job_harness.Harness(job_harness.FakeRunner('a'))
    cancel(harness)
    wait_s(harness, job_table.ENDED_RETENTION_S - 10.0)
    assert cancel(harness) == 'unknown_job'
    wait_s(harness, 20.0)
    harness.submit(JOB)
    assert count_starts(harness) == 0

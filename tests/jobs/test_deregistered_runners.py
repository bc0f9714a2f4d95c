"""Check what the owner does with a runner that may have left."""

import dataclasses

import job_harness

from kcr_jobs import messages
from kcr_jobs import types

SMALL = types.Step(1, types.Demand(500, 100))
LASTS = dataclasses.replace(SMALL, lasts=True, max_unavailable=1)


class FakeRunner(job_harness.FakeRunner):
    """Report whether a deregistration has arrived."""

    deregistered = False

    def report(self) -> messages.RunnerReport:
        """Return a complete report."""
        return dataclasses.replace(
            super().report(), deregistered=self.deregistered
        )


def step_often(harness: job_harness.Harness) -> None:
    """Give the owner the time to take its decisions."""
    for _ in range(4):
        harness.step()


def test_deregistered_runner_keeps_its_runs_and_gets_no_start() -> None:
    """Guard against stops and starts by a deregistration that may be late.

    The runner either serves, as the deregistration was that of an earlier
    incarnation, or has left (review/12).
    """
    runner = FakeRunner('a')
    harness = job_harness.Harness(runner)
    harness.submit(job_harness.make_job('j', LASTS))
    step_often(harness)
    runner.deregistered = True
    harness.step()
    harness.submit(job_harness.make_job('k', SMALL))
    step_often(harness)
    assert set(runner.runs) == {'j.0.0.0'}
    assert runner.stops == []
    runner.deregistered = False
    step_often(harness)
    assert 'k.0.0.0' in runner.runs


def test_start_that_waited_for_the_log_is_not_sent_to_a_deregistered_runner(
) -> None:  # fmt: skip
    """Guard against a start that was chosen before the deregistration."""
    runner = FakeRunner('a')
    harness = job_harness.Harness(runner)
    harness.store_available = False
    harness.submit(job_harness.make_job('j', SMALL))
    harness.step()
    runner.deregistered = True
    harness.step()
    harness.store_available = True
    step_often(harness)
    assert not runner.runs


def test_deregistration_is_not_kept_for_the_next_lease() -> None:
    """Guard against a runner that is out of use after its agent restarts."""
    runner = FakeRunner('a')
    harness = job_harness.Harness(runner)
    runner.deregistered = True
    harness.step()
    runner.deregistered = False
    runner.restart(2)
    harness.attach(runner)
    harness.submit(job_harness.make_job('j', SMALL))
    step_often(harness)
    assert set(runner.runs) == {'j.0.0.0'}

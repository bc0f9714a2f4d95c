"""Test what an owner does when a silent runner has ended all its runs.

A new owner waits a whole lease for the runs of a runner that it has not heard,
unless the agent reports before that the lease has expired (review/11).
"""

import dataclasses

import job_harness
import pytest
import test_random_faults as random_faults

from kcr_jobs import messages
from kcr_jobs import types

STANDING = types.Step(1, types.Demand(500, 10), lasts=True)
JOB = job_harness.make_job('j', STANDING)


class SilentRunner(random_faults.LeasedRunner):
    """Represent a runner that may be silent while its agent is not."""

    silent = False

    def is_reported(self) -> bool:
        """Return whether the agent has something to report."""
        return not self.silent or self.scenario.now > self.lease_expires_at

    def report(self) -> messages.RunnerReport:
        """Return a complete report, or that the older leases have expired."""
        if not self.silent:
            return super().report()
        self.last_report += 1
        return messages.RunnerReport(
            self.token, self.last_report, self.info, False, (), (),
            self.last_order, expired=True,
        )  # fmt: skip


class SilentScenario(random_faults.Scenario):
    """Run a scenario in which runners fall silent and owners are replaced."""

    events = {**random_faults.EVENTS, 'silence': 2, 'answer': 2, 'takeover': 3}
    runner_type = SilentRunner

    def report(self, runner: job_harness.FakeRunner) -> None:
        """Deliver the report of one runner, if its agent makes one."""
        assert isinstance(runner, SilentRunner)
        if runner.is_reported():
            super().report(runner)

    def check_gangs(self) -> None:
        """Check the gangs; a new lease drops a start that is in flight."""
        if any(getattr(r, 'silent', False) for r in self.runners.values()):
            self.disturbed.update(self.gangs)
        super().check_gangs()

    def choose(self) -> SilentRunner:
        """Return any runner."""
        runner = self.runners[self.rng.choice(sorted(self.runners))]
        assert isinstance(runner, SilentRunner)
        return runner

    def do_silence(self) -> None:
        """Let a runner fall silent; its runs go on until its lease ends.

        Its agent asks for a new lease, under which it has no list.
        """
        runner = self.choose()
        runner.silent = True
        if runner.connected:
            self.attach(runner)

    def do_answer(self) -> None:
        """Let a runner answer again."""
        self.choose().silent = False

    def do_restart(self) -> None:
        """Restart a runner, which answers."""
        for runner in self.runners.values():
            assert isinstance(runner, SilentRunner)
            runner.silent = False
        super().do_restart()

    def finish_all(self) -> None:
        """End all faults and finish all work."""
        for runner in self.runners.values():
            assert isinstance(runner, SilentRunner)
            runner.silent = False
        super().finish_all()


@pytest.mark.parametrize('seed', random_faults.SEEDS)
def test_rules_hold_while_runners_fall_silent(seed: int) -> None:
    """Guard against a second run beside one whose lease has not expired."""
    scenario = SilentScenario(seed)
    random_faults.check_rules(scenario)
    expired = [
        event
        for event in scenario.log_events
        if event.fields.get('reason') == 'lease lapsed'
    ]
    assert expired


def make() -> tuple[job_harness.Harness, str]:
    """Return a harness, and the runner of a standing task, which is lost."""
    harness = job_harness.Harness(
        job_harness.FakeRunner('a'), job_harness.FakeRunner('b')
    )
    harness.submit(JOB)
    harness.step()
    (lost,) = harness.find_placements('j').values()
    harness.runners[lost].runs.clear()
    harness.runners[lost].connected = False
    return harness, lost


def replace_owner(harness: job_harness.Harness, lost: str) -> None:
    """Start a new owner; the agent of the lost runner attaches as well."""
    harness.take_over()
    harness.attach_all()
    runner = harness.runners[lost]
    runner.connected = True
    harness.ctl.attach(lost, f's-{lost}', runner.info, harness.now)
    harness.flush()
    runner.connected = False


def report_expiry(harness: job_harness.Harness, lost: str) -> None:
    """Report that the older leases of a silent runner have expired."""
    runner = harness.runners[lost]
    runner.connected = True
    report = dataclasses.replace(
        runner.report(), complete=False, running=(), expired=True
    )
    harness.ctl.report(f's-{lost}', report, harness.now, 6000)
    runner.connected = False
    harness.flush()


def test_new_owner_starts_the_tasks_when_the_old_lease_has_expired() -> None:
    """Guard against a task that waits a whole lease from each take-over."""
    harness, lost = make()
    for _ in range(3):
        replace_owner(harness, lost)
        for _ in range(4):
            harness.step()
            assert harness.find_placements('j') == {}
    report_expiry(harness, lost)
    harness.step()
    assert list(harness.find_placements('j').values()) == [
        'b' if lost == 'a' else 'a'
    ]


def test_expiry_under_an_older_token_moves_no_task() -> None:
    """Guard against a report that a later lease has overtaken."""
    harness, lost = make()
    replace_owner(harness, lost)
    older = harness.runners[lost].token
    harness.runners[lost].connected = True
    harness.ctl.attach(
        lost, f's-{lost}', harness.runners[lost].info, harness.now
    )
    harness.flush()
    harness.runners[lost].token = older
    report_expiry(harness, lost)
    harness.step()
    assert harness.find_placements('j') == {}


def test_expiry_after_a_complete_report_moves_no_task() -> None:
    """Guard against a run that is given up though the runner lists it."""
    harness = job_harness.Harness(
        job_harness.FakeRunner('a'), job_harness.FakeRunner('b')
    )
    harness.submit(JOB)
    harness.step()
    ((_, name),) = harness.find_placements('j').items()
    report_expiry(harness, name)
    harness.runners[name].connected = True
    harness.step()
    assert list(harness.find_placements('j').values()) == [name]

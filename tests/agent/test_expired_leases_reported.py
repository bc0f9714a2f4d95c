"""Check when an agent reports that a silent runner has ended all its runs.

The runs of a runner that is lost for good were started again only a whole
lease after the last change of the owner (review/11).
"""

import test_runner_control as control_harness

from kcr_agent import events
from kcr_agent.runner import client
from kcr_agent.runner import run_lists
from kcr_jobs import messages

LEASE_S = control_harness.Config.lease_s
# Time by which a lease that began at 0 has ended on a slow clock as well.
EXPIRY_S = LEASE_S * 1.03 + 0.3


def fail_lists(runner: control_harness.FakeRunner) -> None:
    """Let the lists that wait get no answer."""
    for call in list(runner.lease_calls):
        if not call.called:
            call.callback(client.NoAnswer('refused'))


class Agent(control_harness.Harness):
    """Run an agent whose owner is replaced while its runner is silent."""

    def __init__(self, age_s: float = 60.0) -> None:
        super().__init__()
        # No lease of an earlier process is left.
        self.clock.rightNow += age_s
        self.token = 7
        self.lease()
        # The runner reads the clock and gets a deadline.
        self.advance(0.3)
        self.runner.answer_all()
        self.listed_at = self.clock.rightNow
        self.confirm_all()
        self.advance(0.6)
        self.owner.pop_all(messages.RunnerReport)

    def confirm_all(self) -> bool:
        """Confirm all reports; return whether one shows the expiry."""
        self.advance(0.0)
        expired = False
        for report in self.owner.pop_all(messages.RunnerReport):
            expired = expired or report.expired
            self.receive(
                messages.RunnerReportAck(self.token, report.seq, 6000, 0)
            )
        return expired

    def replace_owner(self) -> None:
        """Attach the agent to a new owner."""
        self.token += 1
        self.post(events.OwnerSessionChanged(''))
        self.post(events.OwnerSessionChanged('s'))
        self.receive(messages.Lease(self.token, self.token))

    def find_expiry(self, longest_s: float) -> float | None:
        """Return when the expiry is reported, none if not within a time.

        The runner does not answer.
        """
        until = self.clock.rightNow + longest_s
        while self.clock.rightNow < until:
            fail_lists(self.runner)
            self.advance(0.05)
            if self.confirm_all():
                return float(self.clock.rightNow)
        return None


def test_expiry_is_reported_to_the_next_owner() -> None:
    """Guard against an owner that waits a whole lease from its take-over.

    It is neither reported earlier, as the runner may still have runs.
    """
    agent = Agent()
    agent.replace_owner()
    at = agent.find_expiry(2 * LEASE_S)
    assert at is not None
    assert LEASE_S / 0.98 < at - agent.listed_at < EXPIRY_S + 1.0


def test_change_of_the_owner_does_not_put_the_expiry_off() -> None:
    """Guard against restarts in a row that keep tasks from starting."""
    agent = Agent()
    ats = []
    for _ in range(5):
        agent.replace_owner()
        ats.append(agent.find_expiry(2.0))
    found = [at for at in ats if at is not None]
    assert found and found[0] - agent.listed_at < EXPIRY_S + 1.0


def test_no_expiry_is_reported_of_a_runner_that_lists_its_runs() -> None:
    """Guard against runs that are given up though they are listed."""
    agent = Agent()
    agent.replace_owner()
    agent.runner.answer_all()
    agent.advance(0.0)
    agent.runner.answer_all()
    assert agent.find_expiry(3 * LEASE_S) is None


def test_restarted_agent_waits_for_what_its_predecessor_extended() -> None:
    """Guard against a run beside one that the agent before it kept alive."""
    agent = control_harness.Harness()
    agent.post(events.RunnerHeartbeat(control_harness.INFO, 1))
    agent.post(events.OwnerSessionChanged('s'))
    agent.receive(messages.Lease(1, 7))
    fail_lists(agent.runner)
    agent.advance(LEASE_S / 0.98)
    assert agent.owner.pop_all(messages.RunnerReport) == []
    agent.advance(1.0)
    (report,) = agent.owner.pop_all(messages.RunnerReport)
    assert report.expired and not report.complete


def test_runner_may_answer_before_an_ended_lease_is_reported() -> None:
    """Guard against work that is repeated though the runner has done it.

    The agent had no owner for longer than a lease; the runner has ended runs
    that nobody knows, and its first list takes a while.
    """
    agent = Agent()
    agent.post(events.OwnerSessionChanged(''))
    agent.advance(3 * LEASE_S)
    agent.replace_owner()
    assert agent.find_expiry(run_lists.ANSWER_WAIT_S - 0.5) is None
    agent.advance(run_lists.LIST_RETRY_S)
    agent.runner.answer_all()
    agent.advance(0.0)
    reports = agent.owner.pop_all(messages.RunnerReport)
    assert [r.complete for r in reports] == [True]
    assert agent.find_expiry(2 * LEASE_S) is None


def test_list_that_takes_long_is_no_silence() -> None:
    """Guard against a expiry that overtakes the list of a slow runner."""
    agent = Agent()
    agent.post(events.OwnerSessionChanged(''))
    agent.advance(3 * LEASE_S)
    agent.replace_owner()
    agent.advance(2 * run_lists.ANSWER_WAIT_S)
    assert not agent.confirm_all()

"""Check which incarnation of a runner a deregistration takes out of use.

It names the id of the runner only, and may arrive when the next incarnation
under that id is in use (review/12).
"""

import dataclasses

import pytest
import test_runner_control as control_harness

from kcr_agent import events
from kcr_jobs import messages

READY = dataclasses.replace(control_harness.INFO, born_ms=6)
DRAINING = dataclasses.replace(READY, draining=True, remaining_ms=3000)
LEFT = events.RunnerLeft(READY.runner_id)


def make_restarted() -> control_harness.Harness:
    """Return an agent with a lease on the second incarnation of its runner."""
    harness = control_harness.Harness()
    harness.lease()
    harness.runner.born_ms = READY.born_ms
    harness.post(events.RunnerHeartbeat(READY, 1))
    harness.receive(messages.Lease(1, 8))
    answer_list(harness)
    return harness


def answer_list(
    harness: control_harness.Harness,
) -> messages.RunnerReport:
    """Answer lists until a report is complete; confirm and return it."""
    while True:
        harness.advance(0.1)
        harness.runner.answer_all()
        harness.advance(0.0)
        report: messages.RunnerReport
        for report in harness.owner.pop_all(messages.RunnerReport):
            harness.receive(messages.RunnerReportAck(8, report.seq, 6000, 0))
            if report.complete:
                return report


def order_start(harness: control_harness.Harness, number: int) -> None:
    """Order a start on the second incarnation."""
    harness.receive(
        messages.StartRun(8, number, READY.incarnation, 't', number, 'p')
    )


@pytest.mark.parametrize('copies', [1, 2])
def test_late_deregistration_does_not_hold_the_next_incarnation(
    copies: int,
) -> None:
    """Guard against a runner that serves and never gets a start again.

    The deregistration of the first incarnation was held up, and nothing that
    the second one reported took its effect back (LOST).
    """
    harness = make_restarted()
    for copy in range(1, copies + 1):
        harness.post(LEFT)
        order_start(harness, 2 * copy - 1)
        assert harness.runner.count('start') == copy - 1
        harness.post(events.RunnerHeartbeat(READY, 1 + copy))
        assert not answer_list(harness).info.draining
        order_start(harness, 2 * copy)
        assert harness.runner.count('start') == copy


def test_deregistration_without_a_drain_moves_no_task() -> None:
    """Guard against runs that are stopped on a runner that serves.

    The owner moves what runs on a draining runner to others.
    """
    harness = make_restarted()
    harness.post(LEFT)
    first = harness.owner.pop_all(messages.RunnerReport)[-1]
    for report in (first, answer_list(harness)):
        assert report.deregistered and not report.info.draining
    harness.post(events.RunnerHeartbeat(READY, 2))
    assert not harness.owner.pop_all(messages.RunnerReport)[-1].deregistered


@pytest.mark.parametrize('seq', [1, 2])
def test_deregistration_holds_against_a_delayed_heartbeat(seq: int) -> None:
    """Guard against starts on a runner that has left.

    A heartbeat from before its drain is delivered after the deregistration.
    """
    harness = make_restarted()
    harness.post(events.RunnerHeartbeat(DRAINING, 2))
    harness.post(LEFT)
    harness.post(events.RunnerHeartbeat(READY, seq))
    order_start(harness, 1)
    assert harness.runner.count('start') == 0
    info = answer_list(harness).info
    assert info.draining and info.remaining_ms == 0


def test_deregistration_holds_until_the_runner_reports_again() -> None:
    """Guard against starts on a runner that left without a drain."""
    harness = make_restarted()
    harness.post(LEFT)
    for number in range(1, 20):
        order_start(harness, number)
        assert answer_list(harness).deregistered
    assert harness.runner.count('start') == 0


def test_next_incarnation_is_not_deregistered() -> None:
    """Guard against a deregistration that holds after a restart."""
    harness = make_restarted()
    harness.post(events.RunnerHeartbeat(DRAINING, 2))
    harness.post(LEFT)
    harness.runner.born_ms = 9
    restarted = dataclasses.replace(READY, born_ms=9)
    harness.post(events.RunnerHeartbeat(restarted, 1))
    harness.receive(messages.Lease(1, 8))
    report = answer_list(harness)
    assert not report.deregistered and not report.info.draining

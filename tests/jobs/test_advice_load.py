"""Play load on a queue with advice, without sockets."""

import dataclasses

import advice_harness
import pytest

from kcr_jobs import advice_window
from kcr_jobs import tickets
from kcr_jobs import types

STEP = types.Step(6, types.Demand(240, 480), estimate_ms=1200.0)
# Time of the usual traffic before and after the burst, in seconds.
USUAL_S = 8.0
# Time until the first plan, and of a call and a start on their way, in s.
SLACK_S = 0.3


@dataclasses.dataclass(frozen=True)
class Load:
    """Describe a load with a burst, and the adviser that it meets."""

    # Time of a call without and for each runner, and validity of a ticket.
    base_ms: float = 35.0
    runner_ms: float = 15.0
    valid_ms: float = 3000.0
    runners: int = 11
    # Part of the adviser's rate that the usual traffic takes, and factor and
    # length of the burst.
    part: float = 0.7
    factor: float = 2.6
    burst_s: float = 4.0
    latency_s: float = 0.002
    slowdown: float = 1.0
    # Changes by their time: `owner` for a new owner, `runner` for a runner
    # that is restarted under its id.
    events: dict[float, str] = dataclasses.field(default_factory=dict)

    def make_harness(self) -> advice_harness.Harness:
        """Return a harness for the load."""
        adviser = advice_harness.Adviser(
            self.base_ms, self.runner_ms, self.valid_ms, self.latency_s,
            self.slowdown,
        )  # fmt: skip
        return advice_harness.Harness(adviser, self.runners)

    def infer_call_s(self, queue: types.Queue) -> float:
        """Return how long the adviser takes for a call."""
        runners = min(self.runners, tickets.infer_max_runners(queue))
        return self.slowdown * tickets.infer_handling_s(queue, runners)


LOADS = {
    'of the review': Load(),
    'long burst': Load(burst_s=12.0),
    'high burst': Load(factor=6.0),
    'short calls': Load(base_ms=8.0, runner_ms=1.0),
    'long calls': Load(base_ms=400.0, runner_ms=30.0),
    'short validity': Load(valid_ms=700.0),
    'far adviser': Load(latency_s=0.035),
    'slow adviser': Load(slowdown=4.0),
    'many runners': Load(runners=60),
    'calls longer than their validity': Load(runner_ms=300.0),
    'owner replaced in the burst': Load(events={10.0: 'owner'}),
    'runner restarted in the burst': Load(
        events={9.0: 'runner', 13.0: 'runner'}
    ),
}


def play_burst(
    harness: advice_harness.Harness, load: Load, rate: float
) -> float:
    """Submit jobs with a burst in the middle; return the time of its end."""
    events = dict(load.events)
    began = due = harness.now
    burst_end = began + USUAL_S + load.burst_s
    while due < burst_end + USUAL_S:
        harness.play(max(0.0, due - harness.now))
        for at in [at for at in events if harness.now >= began + at]:
            change(harness, events.pop(at))
        harness.submit_job(STEP)
        in_burst = began + USUAL_S <= due < burst_end
        due += 1.0 / (rate * (load.factor if in_burst else 1.0))
    return burst_end


def change(harness: advice_harness.Harness, event: str) -> None:
    """Replace the owner, or restart a runner."""
    if event == 'owner':
        harness.take_over()
        harness.attach_all()
        return
    runner = next(iter(harness.runners.values()))
    runner.restart(runner.info.born_ms + 1)
    harness.attach(runner)


@pytest.mark.parametrize('name', LOADS)
def test_goodput_returns_after_a_burst(name: str) -> None:
    """Guard against tickets that all come too late, for good, after a burst.

    The owner had a call in flight for each waiting step. With more calls in
    flight than the adviser handles within a ticket's validity, no ticket was
    used any more, and the steps were asked for again and again.
    """
    load = LOADS[name]
    harness = load.make_harness()
    call_s = load.infer_call_s(harness.queue)
    burst_end = play_burst(harness, load, load.part / call_s)
    # What the burst leaves is worked off beside the usual traffic.
    backlog_s = load.burst_s * (load.part * load.factor - 1.0)
    recovered_at = burst_end + backlog_s / (1.0 - load.part)
    harness.play(max(0.0, recovered_at + 8.0 - harness.now))
    assert set(harness.done_at) == set(harness.accepted_at)
    assert not harness.rejected
    adviser = harness.adviser
    # Each step is asked for once, but for the calls that an owner or a runner
    # took with it.
    changes = len(load.events)
    assert adviser.handled <= len(harness.accepted_at) + 8 * changes
    assert not adviser.refused
    # The adviser's rate is used while steps wait for it.
    assert harness.queued_busy_s >= 0.9 * harness.queued_s
    for job_id, started_at in harness.started_at.items():
        waited_s = started_at - harness.accepted_at[job_id]
        queue_s = call_s * (harness.ahead[job_id] + 1)
        assert waited_s <= 2.0 * queue_s + SLACK_S, job_id


def test_load_above_the_rate_of_the_adviser_keeps_its_goodput() -> None:
    """Guard against goodput that falls while more is asked for than it can.

    What can't be served in time waits here, so the adviser never works on a
    call whose ticket nobody can use.
    """
    load = Load(part=1.5, factor=1.0)
    harness = load.make_harness()
    call_s = load.infer_call_s(harness.queue)
    play_burst(harness, load, load.part / call_s)
    assert len(harness.started_at) >= 0.9 * harness.now / call_s
    assert not harness.rejected
    assert harness.adviser.handled - len(harness.started_at) <= 3


def test_calls_that_time_out_do_not_pile_up() -> None:
    """Guard against calls that are repeated while the adviser has them."""
    load = Load()
    harness = load.make_harness()
    harness.adviser.done_at = 20.0
    harness.adviser.current = advice_harness.make_foreign_call()
    while harness.now < 20.0:
        harness.submit_job(STEP)
        harness.play(1.0)
        assert len(harness.adviser.waiting) <= 5
    harness.play(8.0)
    assert set(harness.started_at) == set(harness.accepted_at)
    assert not harness.ctl.describe_advice()['congested']


def test_full_adviser_is_not_asked_at_once_again() -> None:
    """Guard against calls that keep an adviser full that had no room.

    After a restart of the scheduler, calls of the ended process may wait.
    """
    harness = Load().make_harness()
    adviser = harness.adviser
    adviser.waiting.extend(
        advice_harness.make_foreign_call()
        for _ in range(advice_harness.MAX_WAITING + 1)
    )
    for _ in range(8):
        harness.submit_job(STEP)
    harness.play(1.0)
    assert 1 <= adviser.refused <= 4
    harness.play(15.0)
    assert set(harness.done_at) == set(harness.accepted_at)


def test_adviser_slower_than_the_validity_is_used_all_the_same() -> None:
    """Guard against steps that never start as their tickets look expired.

    A ticket that came late is tried: only the runner knows whether it holds.
    """
    harness = Load(valid_ms=500.0, slowdown=8.0).make_harness()
    for _ in range(3):
        harness.submit_job(STEP)
    harness.play(12.0)
    assert set(harness.done_at) == set(harness.accepted_at)


def test_steps_that_get_no_ticket_do_not_hold_up_the_others() -> None:
    """Guard against calls for refused steps that take the adviser's time."""
    harness = Load().make_harness()
    # None of them becomes too late to go before newer ones.
    step = dataclasses.replace(STEP, estimate_ms=9000.0)
    refused = {harness.submit_job(step) for _ in range(40)}
    harness.adviser.refused_steps = {f'{job_id}.0.0' for job_id in refused}
    harness.play(8.5)
    for _ in range(20):
        harness.submit_job(step)
        harness.play(0.5)
    harness.play(2.0)
    others = set(harness.accepted_at) - refused
    assert others <= set(harness.started_at)


@pytest.mark.parametrize(('members', 'share'), [(40, 1.0), (24, 0.5)])
def test_gang_gets_the_tickets_of_its_runners(
    members: int, share: float
) -> None:
    """Guard against a gang whose starts are all rejected for want of a ticket.

    Its members take a runner each, more than one call names or grants.
    """
    harness = Load(runners=50, runner_ms=2.0).make_harness()
    harness.adviser.allowed_share = share
    harness.work_s = (9.0, 9.0)
    step = types.Step(members, types.Demand(16000, 480), gang=True)
    job_id = harness.submit_job(step)
    harness.play(1.5)
    assert len(harness.find_placements(job_id)) == members
    assert not harness.rejected
    assert harness.adviser.handled == 2


def test_gang_without_room_asks_for_no_tickets() -> None:
    """Guard against calls for a gang that could not start with any ticket."""
    harness = Load(runners=5).make_harness()
    harness.submit_job(types.Step(6, types.Demand(16000, 480), gang=True))
    harness.play(5.0)
    assert not harness.adviser.handled


def test_gang_that_waits_says_why() -> None:
    """Guard against a gang that waits without a reason in the log."""
    harness = Load(base_ms=2000.0).make_harness()
    step = types.Step(6, types.Demand(9000, 480), gang=True)
    for _ in range(8):
        harness.submit_job(step)
    harness.play(0.5)
    waits = {
        event.fields['step']: event.fields
        for event in harness.log_events
        if event.event == 'step waits'
    }
    assert waits['j0007.0.0']['no_ticket_yet'] == 11
    assert waits['j0007.0.0']['steps_ahead'] >= 5


@pytest.mark.parametrize('gang', [False, True])
def test_start_whose_ticket_expires_in_the_log_is_withdrawn(
    gang: bool,
) -> None:
    """Guard against starts that the runner is known to reject.

    Of a gang the other members would end for want of one.
    """
    harness = Load(valid_ms=1000.0, runners=3).make_harness()
    harness.play(0.5)
    step = types.Step(6, types.Demand(240, 480), gang=gang)
    harness.submit_job(step)
    harness.store_available = False
    harness.play(1.5)
    assert any(r.tasks for r in harness.ctl.runners.values())
    harness.store_available = True
    harness.play(5.0)
    assert set(harness.done_at) == set(harness.accepted_at)
    assert not harness.rejected
    assert all(not r.failure_rate for r in harness.ctl.runners.values())
    assert any(e.fields.get('ticket_expired') for e in harness.log_events)


def test_waiting_step_says_that_it_waits_for_its_turn() -> None:
    """Guard against a step that waits for the adviser without a reason."""
    harness = Load(base_ms=2000.0).make_harness()
    for _ in range(8):
        harness.submit_job(STEP)
    harness.play(0.5)
    waits = {
        event.fields['step']: event.fields
        for event in harness.log_events
        if event.event == 'step waits'
    }
    assert waits['j0007.0.0']['no_ticket_yet'] == 11
    assert waits['j0007.0.0']['steps_ahead'] >= 5
    assert harness.ctl.describe_advice()['steps_waiting'] >= 5


def test_ticket_counts_from_when_it_can_have_been_granted() -> None:
    """Guard against a validity that the wait before the call uses up."""
    window = advice_window.AdviceWindow()
    first = window.send(1.0, now=10.0)
    second = window.send(1.0, now=10.0)
    assert window.record_reply(first, now=11.2) == 11.0
    # The second was handled after the first.
    assert window.record_reply(second, now=12.2) == 12.0
    # A reply that is early shows that the settings name too long a time.
    third = window.send(1.0, now=13.0)
    assert window.record_reply(third, now=13.5) == 13.5


def test_failed_call_is_not_taken_as_handled() -> None:
    """Guard against a validity that counts from a call that never came."""
    window = advice_window.AdviceWindow()
    lost = window.send(1.0, now=10.0)
    second = window.send(1.0, now=10.0)
    window.record_failure(lost, overloaded=True, now=10.1)
    assert window.record_reply(second, now=13.0) == 11.0


def test_reply_to_an_older_call_does_not_end_the_pause() -> None:
    """Guard against calls to an adviser that has just refused one."""
    window = advice_window.AdviceWindow()
    first = window.send(0.01, now=10.0)
    second = window.send(0.01, now=10.0)
    window.record_failure(second, overloaded=True, now=10.1)
    window.record_reply(first, now=10.2)
    assert not window.may_send(now=10.2)
    probe_at = 10.1 + advice_window.RETRY_DELAY_S
    assert window.may_send(now=probe_at)
    window.send(0.01, now=probe_at)
    assert not window.may_send(now=probe_at)

"""Check that an agent starts, lists and reports runs only under a lease."""

import collections
import dataclasses
import random
import typing

import pytest
import recorder
from twisted.internet import defer
from twisted.internet import task as twisted_task

from kcr_agent import addresses
from kcr_agent import events
from kcr_agent.runner import client
from kcr_agent.runner import control
from kcr_core import message_base
from kcr_core import types as core_types
from kcr_jobs import messages
from kcr_jobs import types
from kcr_runtime import metrics
from kcr_runtime import process
from kcr_runtime import task
from kcr_runtime.wire import session

INFO = types.RunnerInfo('i', 5, 'svc', 'z', types.Demand(100, 100))
PLACE = core_types.Place('x', 'x', 'x', 'n')
HELLO = message_base.Hello(1, 'scheduler', 's', 'i', PLACE)


class Config:
    """Store the options that the task reads."""

    process = 'n'
    runner = 'model'
    service = ''
    lease_s = 6.0
    grace_s = 6.0


class FakeRunner:
    """Record orders and return the outcomes that the test sets."""

    def __init__(self) -> None:
        self.calls: list[tuple[typing.Any, ...]] = []
        self.outcomes: collections.deque[client.OrderResult] = (
            collections.deque()
        )
        self.born_ms = 5
        # Id; empty if it is not answered.
        self.runner_id = 'i'
        self.running: tuple[types.ReportedRun, ...] = ()
        self.ended: tuple[types.ReportedEnd, ...] = ()
        self.truncated = False
        self.lease_calls: list[defer.Deferred[typing.Any]] = []

    def _order(self, *call: typing.Any) -> defer.Deferred[typing.Any]:
        self.calls.append(call)
        done = client.Done(1000)
        return defer.succeed(
            self.outcomes.popleft() if self.outcomes else done
        )

    def start(
        self,
        info: types.RunnerInfo,
        token: int,
        task: str,
        attempt: int,
        payload: str,
        deadline_ms: int,
        saved: str,
        ticket: str,
    ) -> defer.Deferred[typing.Any]:
        """Record a start."""
        return self._order('start', token, task, attempt, deadline_ms)

    def stop(
        self, info: types.RunnerInfo, token: int, task: str, attempt: int
    ) -> defer.Deferred[typing.Any]:
        """Record a stop."""
        return self._order('stop', token, task, attempt)

    def throttle(
        self,
        info: types.RunnerInfo,
        token: int,
        task: str,
        attempt: int,
        percent: int,
    ) -> defer.Deferred[typing.Any]:
        """Record a throttle."""
        return self._order('throttle', token, task, attempt, percent)

    def extend_lease(
        self,
        info: types.RunnerInfo,
        token: int,
        cursor: int,
        deadline_ms: int | None,
        wait_ms: int,
    ) -> defer.Deferred[typing.Any]:
        """Record an extension of the lease, which the test answers."""
        self.calls.append(('extend_lease', token, cursor, deadline_ms))
        self.lease_calls.append(defer.Deferred())
        return self.lease_calls[-1]

    def identify(self, info: types.RunnerInfo) -> defer.Deferred[typing.Any]:
        """Return whether the runner has an id."""
        self.calls.append(('identify', info.runner_id))
        return defer.succeed(
            info.runner_id == self.runner_id if self.runner_id else None
        )

    def answer(self) -> None:
        """Answer the last extension of the lease."""
        self.lease_calls[-1].callback(self._list())

    def answer_all(self) -> None:
        """Answer every extension of the lease that waits."""
        for call in list(self.lease_calls):
            if not call.called:
                call.callback(self._list())

    def _list(self) -> client.RunList:
        return client.RunList(
            self.born_ms, 1000, self.running, self.ended, self.truncated
        )

    def count(self, kind: str) -> int:
        """Return the number of calls of a kind."""
        return sum(call[0] == kind for call in self.calls)


FAKES: list[FakeRunner] = []


@client.RUNNERS.register('model')
def find_runner(ctx: task.Context) -> FakeRunner:
    """Return the runner of the running test."""
    return FAKES[-1]


class SessionRecorder(recorder.Recorder):
    """Record the messages that are sent over a session."""

    def post(self, msg: typing.Any) -> bool:
        """Record the message inside a session message."""
        return super().post(getattr(msg, 'msg', msg))


class Harness:
    """Run the control task with a fake runner and a fake owner."""

    def __init__(self) -> None:
        self.runner = FakeRunner()
        FAKES.append(self.runner)
        self.clock = twisted_task.Clock()
        self.ctx = task.Context(
            self.clock, task.Directory(), random.Random(1), Config(),
            metrics.Metrics('test'), 'me',
        )  # fmt: skip
        self.owner, self.link = SessionRecorder(), SessionRecorder()
        self.ctx.directory.add('s', self.owner)
        self.ctx.directory.add(addresses.LINK, self.link)
        self.control = control.Control(self.ctx, addresses.CONTROL)
        self.control.begin()

    def post(self, msg: typing.Any) -> None:
        """Post a message and let it be handled."""
        self.control.post(msg)
        self.advance(0.0)

    def receive(self, msg: typing.Any) -> None:
        """Deliver a message of the owner."""
        self.post(session.Received('s', HELLO, msg))

    def advance(self, seconds: float) -> None:
        """Advance the clock in small steps."""
        for _ in range(max(1, round(seconds / 0.05))):
            self.clock.advance(0.05 if seconds else 0.0)
            self.clock.advance(0.0)

    def lease(self, token: int = 7) -> None:
        """Grant a lease to the agent and confirm its first report."""
        self.post(events.RunnerHeartbeat(INFO, 1))
        self.post(events.OwnerSessionChanged('s'))
        self.receive(messages.Lease(1, token))
        self.runner.answer()
        self.advance(0.0)
        report = self.owner.pop_all(messages.RunnerReport)[-1]
        self.receive(messages.RunnerReportAck(token, report.seq, 6000, 0))

    def list_unanswered(self) -> tuple[str, ...]:
        """Answer lists until a report is complete; return its open starts."""
        self.owner.pop_all(messages.RunnerReport)
        for _ in range(9):
            self.advance(0.1)
            self.runner.answer_all()
            self.advance(0.0)
            for report in self.owner.pop_all(messages.RunnerReport):
                self.receive(
                    messages.RunnerReportAck(report.token, report.seq, 6000, 0)
                )
                if report.complete:
                    return tuple(report.unanswered)
        raise AssertionError('no complete report')

    def order_start(self, task: str = 't', number: int = 1) -> None:
        """Order a start."""
        self.receive(
            messages.StartRun(7, number, INFO.incarnation, task, 1, 'p')
        )


def test_attaches_once_the_runner_is_known() -> None:
    """Guard against a lease on a runner of unknown capacity."""
    harness = Harness()
    harness.post(events.OwnerSessionChanged('s'))
    assert harness.owner.pop_all(messages.Attach) == []
    harness.post(events.RunnerHeartbeat(INFO, 1))
    assert harness.owner.pop_all(messages.Attach)[0].info == INFO


def test_starts_only_under_a_lease() -> None:
    """Guard against a start without the authority of an owner."""
    harness = Harness()
    harness.lease()
    harness.order_start()
    assert ('start', 7, 't', 1, 7000) in harness.runner.calls
    harness.advance(1.0)
    harness.receive(messages.StartRun(6, 2, INFO.incarnation, 'u', 1, 'p'))
    assert harness.runner.count('start') == 1


def test_start_after_the_lease_has_expired_is_not_sent() -> None:
    """Guard against starts by an agent that was frozen past its lease."""
    harness = Harness()
    harness.lease()
    harness.clock.rightNow += 10.0
    harness.order_start()
    assert harness.runner.count('start') == 0


def test_unanswered_start_is_repeated_until_it_is_answered() -> None:
    """Guard against a start that is carried out only seconds later."""
    harness = Harness()
    harness.lease()
    harness.runner.outcomes.extend([client.NoAnswer('x')] * 2)
    harness.order_start()
    for _ in range(4):
        harness.advance(0.1)
        if not harness.runner.lease_calls[-1].called:
            harness.runner.answer()
    harness.advance(0.1)
    assert harness.runner.count('start') == 3


def test_start_is_not_repeated_before_a_list_shows_the_runner() -> None:
    """Guard against a start on a runner that was restarted under its id.

    The new incarnation has seen no token and no attempt, so it would run a
    task whose run has ended with the old one (fault soak, seed 201).
    """
    harness = Harness()
    harness.lease()
    harness.runner.outcomes.append(client.NoAnswer('x'))
    harness.order_start()
    harness.runner.born_ms = 6
    harness.advance(1.0)
    assert harness.runner.count('start') == 1
    harness.runner.answer()
    harness.advance(1.0)
    assert harness.runner.count('start') == 1
    assert harness.control.lease.token == 0


def test_start_whose_run_has_ended_is_not_repeated() -> None:
    """Guard against work that is run again after a lost answer."""
    harness = Harness()
    harness.lease()
    harness.runner.outcomes.extend([client.NoAnswer('x')] * 9)
    harness.order_start()
    harness.runner.ended = (types.ReportedEnd(1, 't', 1, 'done'),)
    harness.advance(0.2)
    harness.runner.answer()
    harness.advance(1.0)
    assert harness.runner.count('start') == 1


def test_refused_repeat_does_not_settle_an_unanswered_start() -> None:
    """Guard against a task that runs twice after a refused repeat.

    The runner refused the repeat as busy and carried out the first order
    seconds later, beside the next attempt on another runner (review/2).
    """
    harness = Harness()
    harness.lease()
    busy = client.Refused('503')
    harness.runner.outcomes.extend(
        [client.NoAnswer('x'), busy, busy, client.NoAnswer('x')]
    )
    harness.runner.outcomes.extend([busy] * 99)
    harness.order_start()
    for _ in range(5):
        assert harness.list_unanswered() == ('t',)
    assert harness.runner.count('start') == 2
    assert harness.runner.count('stop') >= 3
    harness.runner.outcomes.clear()
    harness.advance(0.5)
    # A list that was queried before the stop may not show the run yet.
    harness.list_unanswered()
    assert harness.list_unanswered() == ()
    assert harness.runner.count('start') == 2


def test_unanswered_start_is_not_settled_when_the_lease_expires() -> None:
    """Guard against the same with a lease that is not extended in time."""
    harness = Harness()
    harness.lease()
    harness.runner.outcomes.append(client.NoAnswer('x'))
    harness.order_start()
    harness.clock.rightNow += 10.0
    harness.runner.outcomes.append(client.NoAnswer('x'))
    harness.list_unanswered()
    assert harness.runner.count('start') == 1
    assert harness.runner.count('stop') >= 1
    assert harness.list_unanswered() == ()


def test_repeat_that_the_runner_forbids_settles_the_start() -> None:
    """Guard against stops of an attempt that can't begin any more."""
    harness = Harness()
    harness.lease()
    harness.runner.outcomes.extend(
        [client.NoAnswer('x'), client.Refused('old', True)]
    )
    harness.order_start()
    harness.list_unanswered()
    harness.advance(0.5)
    assert harness.list_unanswered() == ()
    assert harness.runner.count('stop') == 0


def test_given_up_start_that_runs_is_not_stopped_again() -> None:
    """Guard against a stop of a run that the runner lists meanwhile."""
    harness = Harness()
    harness.lease()
    busy = client.Refused('503')
    harness.runner.outcomes.append(client.NoAnswer('x'))
    harness.runner.outcomes.extend([busy] * 10)
    harness.order_start()
    harness.list_unanswered()
    harness.runner.running = (types.ReportedRun('t', 1),)
    harness.list_unanswered()
    stops = harness.runner.count('stop')
    harness.advance(1.0)
    assert harness.list_unanswered() == ()
    assert harness.runner.count('stop') <= stops + 1


def test_complete_report_repeats_ends_that_are_not_confirmed() -> None:
    """Guard against work that is run again after a report was lost.

    A report that listed neither the run nor its end made the owner start the
    task again.
    """
    harness = Harness()
    harness.lease()
    harness.runner.ended = (types.ReportedEnd(1, 't', 1, 'done'),)
    harness.runner.answer()
    harness.advance(0.0)
    assert harness.owner.pop_all(messages.RunnerReport)[0].ended
    for _ in range(3):
        harness.advance(0.2)
        harness.runner.answer()
        harness.advance(0.0)
    reports = harness.owner.pop_all(messages.RunnerReport)
    complete = [report for report in reports if report.complete]
    assert complete and all(report.ended for report in complete)


def test_stop_withdraws_an_unanswered_start() -> None:
    """Guard against repeating a start after its stop."""
    harness = Harness()
    harness.lease()
    harness.runner.outcomes.extend([client.NoAnswer('x'), client.Done(1)])
    harness.order_start()
    harness.receive(messages.StopRun(7, 't', 1))
    harness.advance(0.5)
    assert harness.runner.count('start') == 1
    assert harness.runner.count('stop') == 1


def test_restarted_runner_gets_a_new_lease_before_any_order() -> None:
    """Guard against orders for an incarnation that has ended."""
    harness = Harness()
    harness.lease()
    harness.owner.pop_all(messages.Attach)
    restarted = types.RunnerInfo('i', 6, 'svc', 'z', types.Demand(100, 100))
    harness.post(events.RunnerHeartbeat(restarted, 1))
    assert harness.owner.pop_all(messages.Attach)[0].info == restarted
    harness.order_start()
    assert harness.runner.count('start') == 0
    harness.post(events.RunnerHeartbeat(INFO, 99))
    assert harness.control.info == restarted


def test_list_of_another_incarnation_ends_the_lease() -> None:
    """Guard against a report of a new incarnation under an old lease."""
    harness = Harness()
    harness.lease()
    harness.runner.born_ms = 6
    harness.runner.answer()
    harness.advance(1.0)
    assert harness.owner.pop_all(messages.RunnerReport) == []
    assert harness.control.lease.token == 0


def test_silent_owner_is_given_up() -> None:
    """Guard against an agent that stays connected to a frozen owner."""
    harness = Harness()
    harness.lease()
    for _ in range(6):
        harness.advance(0.5)
        if not harness.runner.lease_calls[-1].called:
            harness.runner.answer()
        harness.advance(0.0)
    assert harness.link.pop_all(events.OwnerSilent)


def test_start_on_a_draining_runner_is_not_sent() -> None:
    """Guard against an order that was sent before the runner drained."""
    harness = Harness()
    harness.lease()
    leaving = dataclasses.replace(INFO, draining=True, remaining_ms=3000)
    harness.post(events.RunnerHeartbeat(leaving, 2))
    harness.order_start()
    assert harness.runner.count('start') == 0


def test_start_at_a_share_is_throttled_once_it_runs() -> None:
    """Guard against a harmful filler that works at full speed at first."""
    harness = Harness()
    harness.lease()
    harness.receive(
        messages.StartRun(
            7, 1, INFO.incarnation, 't', 1, 'p', '', '', percent=30
        )
    )
    kinds = [
        call[0] for call in harness.runner.calls if call[0] != 'extend_lease'
    ]
    assert kinds == ['start', 'throttle']
    assert ('throttle', 7, 't', 1, 30) in harness.runner.calls


def test_unanswered_start_is_given_up_in_an_evacuated_zone() -> None:
    """Guard against starts after an evacuation, and one that stays open."""
    harness = Harness()
    harness.lease()
    harness.runner.outcomes.append(client.NoAnswer('x'))
    harness.order_start()
    harness.receive(messages.RunnerReportAck(7, 0, 0, 0, True))
    harness.runner.outcomes.append(client.NoAnswer('x'))
    assert harness.control.dump()['starts_closed']
    for _ in range(6):
        harness.advance(0.1)
        harness.runner.answer_all()
    harness.order_start('u', 2)
    assert harness.runner.count('start') == 1
    assert harness.runner.count('stop') == 2
    assert 'u' not in harness.control.lease.start_orders
    harness.receive(messages.RunnerReportAck(7, 0, 0, 0))
    harness.order_start('v', 3)
    assert harness.runner.count('start') == 2


def test_restarted_runner_is_not_attached_before_its_heartbeat() -> None:
    """Guard against a lease for an incarnation that has ended."""
    harness = Harness()
    harness.lease()
    harness.runner.born_ms = 6
    harness.runner.answer()
    harness.owner.pop_all(messages.Attach)
    harness.advance(1.0)
    assert harness.owner.pop_all(messages.Attach) == []
    restarted = dataclasses.replace(INFO, born_ms=6)
    harness.post(events.RunnerHeartbeat(restarted, 1))
    assert harness.owner.pop_all(messages.Attach)[0].info == restarted


def test_start_that_was_not_sent_is_sent_without_a_list() -> None:
    """Guard against a list for each start that waits for a connection."""
    harness = Harness()
    harness.lease()
    lists = harness.runner.count('extend_lease')
    harness.runner.outcomes.extend([client.NotSent('full')] * 3)
    harness.order_start()
    harness.advance(0.4)
    assert harness.runner.count('start') == 4
    assert harness.runner.count('extend_lease') <= lists + 1


def make_ends(first: int, last: int) -> tuple[types.ReportedEnd, ...]:
    """Return ends with the numbers from `first` to `last`."""
    return tuple(
        types.ReportedEnd(n, f't{n}', 1, 'done')
        for n in range(first, last + 1)
    )


def test_truncated_list_gives_no_complete_report() -> None:
    """Guard against ends beyond the limit that count as lost (review/1)."""
    harness = Harness()
    harness.lease()
    harness.runner.running = (types.ReportedRun('r', 1),)
    harness.runner.ended, harness.runner.truncated = make_ends(1, 500), True
    for _ in range(12):
        harness.advance(0.1)
        harness.runner.answer_all()
        harness.advance(0.0)
    reports = harness.owner.pop_all(messages.RunnerReport)
    assert not any(report.complete for report in reports)
    whole = [report for report in reports if report.running]
    assert len(whole) >= 2
    assert all(len(report.ended) == 500 for report in whole)
    harness.receive(messages.RunnerReportAck(7, reports[-1].seq, 6000, 500))
    harness.runner.ended, harness.runner.truncated = make_ends(501, 505), False
    harness.list_unanswered()
    assert ('extend_lease', 7, 500) in [
        call[:3] for call in harness.runner.calls
    ]


def test_start_is_not_repeated_while_its_end_may_be_beyond_the_limit() -> None:
    """Guard against a start of a task that is done already."""
    harness = Harness()
    harness.lease()
    harness.runner.outcomes.append(client.NoAnswer('x'))
    harness.runner.ended, harness.runner.truncated = make_ends(1, 500), True
    harness.order_start()
    for _ in range(10):
        harness.advance(0.1)
        harness.runner.answer_all()
    assert harness.runner.count('start') == 1
    harness.runner.truncated = False
    for _ in range(5):
        harness.advance(0.1)
        harness.runner.answer_all()
    assert harness.runner.count('start') == 2


def test_list_that_shows_the_same_ends_is_not_queried_at_once() -> None:
    """Guard against lists without a pause while the store does not answer."""
    harness = Harness()
    harness.lease()
    harness.runner.ended = make_ends(1, 9)
    for _ in range(16):
        harness.runner.answer_all()
        harness.advance(0.0)
        harness.runner.answer_all()
        harness.advance(0.05)
    assert harness.runner.count('extend_lease') <= 12
    queried = harness.runner.count('extend_lease')
    harness.receive(messages.RunnerReportAck(7, 99, 6000, 9))
    assert harness.runner.count('extend_lease') == queried + 1


@pytest.mark.parametrize('configured', ['', 'svc'])
@pytest.mark.parametrize(
    'fields',
    [
        {'service': 'other', 'born_ms': 9},
        {'service': 'other', 'runner_id': 'j', 'born_ms': 9},
        {'runner_id': 'j', 'born_ms': 9},
        {'runner_id': 'j', 'born_ms': 5, 'draining': True},
    ],
)
def test_heartbeat_of_another_runner_changes_nothing(
    fields: dict[str, typing.Any], configured: str
) -> None:
    """Guard against a lease that ends by the heartbeat of a stranger."""
    harness = Harness()
    harness.ctx.cfg.service = configured
    harness.lease()
    harness.owner.pop_all(messages.Attach)
    for seq in (3, 4):
        other = dataclasses.replace(INFO, **fields)
        harness.post(events.RunnerHeartbeat(other, seq))
    assert harness.control.info == INFO
    assert harness.control.lease.token == 7
    assert harness.owner.pop_all(messages.Attach) == []
    harness.order_start()
    assert harness.runner.count('start') == 1


def test_first_heartbeat_of_another_service_is_ignored() -> None:
    """Guard against an agent that reports the runner of another service."""
    harness = Harness()
    harness.ctx.cfg.service = 'svc'
    harness.post(events.OwnerSessionChanged('s'))
    other = dataclasses.replace(INFO, service='other')
    harness.post(events.RunnerHeartbeat(other, 1))
    assert harness.control.info is None
    harness.post(events.RunnerHeartbeat(INFO, 1))
    assert harness.owner.pop_all(messages.Attach)[0].info == INFO


def test_runner_that_was_replaced_is_taken_once_it_has_the_new_id() -> None:
    """Guard against an agent that stays with a runner that is gone.

    The clock of the instance may have been set back, so `born` of the new id
    may be lower.
    """
    harness = Harness()
    harness.lease()
    harness.owner.pop_all(messages.Attach)
    new = dataclasses.replace(INFO, runner_id='j', born_ms=2)
    harness.runner.runner_id = ''
    harness.post(events.RunnerHeartbeat(new, 1))
    assert harness.control.info == INFO
    harness.runner.runner_id = 'j'
    harness.post(events.RunnerHeartbeat(new, 2))
    assert harness.control.info == new
    assert harness.owner.pop_all(messages.Attach)[0].info == new
    harness.runner.runner_id = 'j'
    harness.post(events.RunnerHeartbeat(INFO, 99))
    assert harness.control.info == new


@pytest.mark.parametrize('leaves', [False, True])
def test_unanswered_start_is_not_repeated_once_the_runner_drains(
    leaves: bool,
) -> None:
    """Guard against a start on a runner whose drain is known."""
    harness = Harness()
    harness.lease()
    harness.runner.outcomes.append(client.NoAnswer('x'))
    harness.order_start()
    leaving = dataclasses.replace(INFO, draining=True, remaining_ms=3000)
    if leaves:
        harness.post(events.RunnerLeft('i'))
    else:
        harness.post(events.RunnerHeartbeat(leaving, 2))
    harness.list_unanswered()
    harness.advance(0.5)
    assert harness.runner.count('start') == 1
    assert harness.runner.count('stop') == 1
    assert harness.list_unanswered() == ()


def test_list_that_does_not_fit_is_reported_in_parts() -> None:
    """Guard against a report that is too large to be sent, and is lost."""
    harness = Harness()
    harness.lease()
    harness.runner.running = tuple(
        types.ReportedRun(f'r{n}', 1, 'x' * 4096) for n in range(300)
    )
    harness.runner.ended = make_ends(1, 3)
    harness.list_unanswered()
    harness.advance(0.6)
    harness.runner.answer_all()
    harness.advance(0.0)
    reports = harness.owner.pop_all(messages.RunnerReport)
    assert [report.part for report in reports] == [1, 2, 3]
    assert [report.complete for report in reports] == [False, False, True]
    assert sum(len(report.running) for report in reports) == 300
    assert len(reports[0].ended) == 3


def test_runner_restarted_with_a_clock_that_was_set_back_is_reported() -> None:
    """Guard against a runner that its agent never lists again (UNASKED).

    The agent ignored its heartbeats as those of an older incarnation, and a
    run that began there late was never stopped.
    """
    harness = Harness()
    harness.lease()
    new = dataclasses.replace(INFO, born_ms=3)
    harness.runner.born_ms = 3
    harness.runner.running = (types.ReportedRun('j.0.0.0', 1, '', 0, 0),)
    for number in range(1, 31):
        harness.post(events.RunnerHeartbeat(new, number))
        harness.runner.answer_all()
        harness.advance(0.1)
        if harness.owner.pop_all(messages.Attach):
            harness.receive(messages.Lease(1, 7 + number))
    reports = harness.owner.pop_all(messages.RunnerReport)
    assert any(report.running for report in reports)


def test_delayed_heartbeat_of_an_ended_incarnation_changes_nothing() -> None:
    """Guard against an agent that waits for an incarnation that has ended."""
    harness = Harness()
    harness.lease()
    harness.post(
        events.RunnerHeartbeat(dataclasses.replace(INFO, born_ms=3), 90)
    )
    assert harness.control.info == INFO
    assert harness.control.lease.token == 7


@pytest.mark.parametrize('leaves', [True, False])
def test_agent_of_a_leaving_runner_ends_after_its_runs(leaves: bool) -> None:
    """Guard against runs that nobody can stop until their lease expires.

    The instance is removed, so no other agent takes over its runner.
    """
    harness = Harness()
    rec = recorder.Recorder()
    harness.ctx.directory.add(process.PROCESS_ADDRESS, rec)
    harness.lease()
    info = dataclasses.replace(INFO, draining=leaves, remaining_ms=8000)
    harness.post(events.RunnerHeartbeat(info, 2))
    harness.runner.running = (types.ReportedRun('j.0.0.0', 1, '', 0, 0),)
    harness.runner.answer_all()
    harness.post(events.Drain())
    harness.advance(1.0)
    assert bool(rec.pop_all(process.Drained)) is not leaves
    if leaves:
        harness.receive(messages.StopRun(7, 'j.0.0.0', 1))
        assert harness.runner.count('stop') == 1
        harness.runner.running = ()
        harness.runner.answer_all()
        harness.advance(1.0)
        assert rec.pop_all(process.Drained)


def test_agent_of_a_leaving_runner_ends_within_the_grace_period() -> None:
    """Guard against an agent that is killed as it waits for long runs."""
    harness = Harness()
    rec = recorder.Recorder()
    harness.ctx.directory.add(process.PROCESS_ADDRESS, rec)
    harness.lease()
    info = dataclasses.replace(INFO, draining=True, remaining_ms=8000)
    harness.post(events.RunnerHeartbeat(info, 2))
    harness.runner.running = (types.ReportedRun('j.0.0.0', 1, '', 0, 0),)
    harness.runner.answer_all()
    harness.post(events.Drain())
    harness.advance(Config.grace_s)
    assert rec.pop_all(process.Drained)


def test_stop_that_the_runner_forbids_settles_the_start() -> None:
    """Guard against a start that counts as unanswered for ever.

    The runner rejects the stop as it rejects the start: a later attempt has
    ended there. The task kept its reservation.
    """
    harness = Harness()
    harness.lease()
    harness.runner.outcomes.append(client.NoAnswer('x'))
    harness.order_start()
    harness.runner.outcomes.extend([client.Refused('old', True)] * 9)
    harness.receive(messages.StopRun(7, 't', 1))
    for _ in range(6):
        unanswered = harness.list_unanswered()
    assert unanswered == ()

"""Own the slots of the runner: admit attempts, call the runner, reply.

The sessions with the entries deliver each `Execute` message here. The task
passes it to `kcr_core.slots`, which decides whether the attempt runs, waits or
is refused, sends admitted attempts to the runner task and the outcome to the
entry. It also distributes the free slots to the entries as grants and reports
the use of the slots to the announcer.

Every attempt is refused until the runner has listed the calls of an earlier
incarnation that it still serves; those keep their slots until they end.
"""

import dataclasses
import typing

from kcr_core import grants
from kcr_core import latency_window
from kcr_core import message_base
from kcr_core import messages
from kcr_core import slots
from kcr_runtime import http_client
from kcr_runtime import task
from kcr_runtime.wire import session
from kcr_sidecar import addresses
from kcr_sidecar import events
from kcr_sidecar.platform import runner

# Interval between queries for the calls that the runner serves, in seconds.
STATUS_INTERVAL_S = 0.2
# Time after which a query without a reply is repeated, in seconds. The runner
# task times out after 2 s; the reply is lost when that task is restarted.
STATUS_TIMEOUT_S = 2.5
# Interval between scans for waiting attempts past their deadline, in seconds.
TICK_INTERVAL_S = 0.05
# Weight of a new service time in the moving average.
LATENCY_WEIGHT = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class SlotsLoad:
    """Report the use of the slots; sent to the announcer."""

    # Slots in use.
    active: int
    # Attempts that wait for a slot.
    waiting: int
    # Moving average of the service time in ms.
    latency_ms: float
    # Whether new attempts are refused.
    draining: bool
    # Sessions, each with the number of slots granted to its entry.
    granted: tuple[tuple[str, int], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class DistributeGrants:
    """Request a new distribution of the free slots to the entries."""

    # Open sessions with entries.
    sessions: tuple[str, ...]


class _Tick:
    pass


class _PollStatus:
    pass


@dataclasses.dataclass(slots=True)
class _Attempt:
    msg: messages.Execute
    session: str
    deadline: float
    started: float


class Admission(task.Task):
    """Own the slots of the runner."""

    def __init__(self, ctx: task.Context, address: str) -> None:
        super().__init__(ctx, address)
        cfg = ctx.cfg
        self._slots = slots.Slots(cfg.slots, cfg.connections)
        self._attempts: dict[str, _Attempt] = {}
        self._grants = grants.Grants()
        self._window = latency_window.LatencyWindow(self.now())
        self._ready = False
        # Whether the timer of the next query to the runner is set. All
        # abandoned calls share it; one timer each would multiply the queries.
        self._poll_scheduled = False
        # Time of the query that has no reply yet.
        self._query_sent_at = -STATUS_TIMEOUT_S
        self._latency_ms = 0.0
        self._draining = False

    def started(self) -> None:
        """Query the runner for calls of an earlier incarnation."""
        self.post(_PollStatus())
        self.post(_Tick())

    def dump(self) -> dict[str, typing.Any]:
        """Return the use of the slots."""
        return {
            **super().dump(),
            'ready': self._ready,
            'active': len(self._slots.active),
            'foreign': len(self._slots.orphaned),
            'waiting': len(self._slots.waiting),
            'latency_ms': round(self._latency_ms, 3),
            'draining': self._draining,
            'granted': dict(self._grants.free),
        }

    @task.handles(_PollStatus)
    def _on_poll_status(self, msg: _PollStatus) -> None:
        self._poll_scheduled = False
        if self._ready and not self._slots.orphaned:
            return
        self._schedule_poll()
        if self._query_sent_at + STATUS_TIMEOUT_S > self.now():
            return
        self._query_sent_at = self.now()
        query = runner.StatusQuery(self.address, self._slots.next_query())
        self.send(addresses.RUNNER, query)

    @task.handles(runner.Status)
    def _on_status(self, status: runner.Status) -> None:
        self._query_sent_at = -STATUS_TIMEOUT_S
        if status.attempts is None:
            return
        decisions = self._slots.reconcile(
            set(status.attempts), status.number, self.now()
        )
        if not self._ready:
            self.log.info('slots rebuilt', foreign=len(self._slots.orphaned))
        self._ready = True
        self._schedule_poll()
        self._carry_out(decisions)

    def _schedule_poll(self) -> None:
        if not self._poll_scheduled:
            self._poll_scheduled = True
            self.after(STATUS_INTERVAL_S, _PollStatus())

    @task.handles(session.Received)
    def _on_received(self, event: session.Received) -> None:
        msg = event.msg
        assert isinstance(msg, messages.Execute)
        now = self.now()
        deadline = now + msg.budget_ms / 1000.0
        if msg.service != self.ctx.cfg.service:
            reason = f'service {msg.service!r} is not served here'
            self._reply(event.session, messages.Refused(msg.attempt, reason))
            return
        if not self._ready:
            reason = 'slots are not rebuilt yet'
            self._reply(event.session, messages.Refused(msg.attempt, reason))
            return
        service_s = self._latency_ms / 1000.0
        decision = self._slots.admit(msg.attempt, deadline, now, service_s)
        if isinstance(decision, slots.Repeated):
            self.ctx.metrics.count('attempt_repeated')
            return
        self._attempts[msg.attempt] = _Attempt(
            msg, event.session, deadline, now
        )
        self._grants.count_request(event.session)
        self._carry_out([decision])

    def _carry_out(self, decisions: list[slots.Decision]) -> None:
        for decision in decisions:
            if isinstance(decision, slots.Run):
                self._call_runner(decision.attempt)
            elif isinstance(decision, slots.Refuse):
                self._refuse(decision)
        self._report_load()

    def _call_runner(self, attempt: str) -> None:
        pending = self._attempts[attempt]
        pending.started = self.now()
        self._grants.attempt_started(pending.session, self._free_slots())
        call = runner.Call(
            attempt,
            pending.msg.request,
            max(0.001, pending.deadline - pending.started),
            pending.msg.body,
            self.address,
        )
        sent = self.send(addresses.RUNNER, call)
        assert sent, f'no task at address {addresses.RUNNER!r}'

    def _refuse(self, refusal: slots.Refuse) -> None:
        pending = self._attempts.pop(refusal.attempt)
        self.ctx.metrics.count('attempt_refused')
        self._reply(
            pending.session, messages.Refused(refusal.attempt, refusal.reason)
        )

    @task.handles(runner.CallEnded)
    def _on_call_ended(self, event: runner.CallEnded) -> None:
        pending = self._attempts.pop(event.attempt, None)
        if pending is None:
            # This task was restarted. The slot counts as orphaned until the
            # runner no longer lists the call; the entry ends the attempt as
            # unknown at its deadline.
            self.ctx.metrics.count('call_unknown')
            return
        took_ms = (self.now() - pending.started) * 1000
        self._latency_ms += LATENCY_WEIGHT * (took_ms - self._latency_ms)
        if is_service_time(event.outcome):
            self._window.add(took_ms, self.now())
        self.ctx.metrics.record_ms('service_ms', took_ms)
        self._reply(pending.session, infer_reply(event))
        if isinstance(event.outcome, http_client.NoAnswer):
            self._carry_out(self._slots.abandon(event.attempt, self.now()))
            self._grants.attempt_ended(pending.session, self._free_slots())
            self._schedule_poll()
            return
        self._carry_out(self._slots.finish(event.attempt, self.now()))
        self._grants.attempt_ended(pending.session, self._free_slots())

    def _free_slots(self) -> int:
        """Return the number of slots that no attempt uses or waits for."""
        used = self._slots.used() + len(self._slots.waiting)
        return max(0, self._slots.slots - used)

    @task.handles(DistributeGrants)
    def _on_distribute_grants(self, msg: DistributeGrants) -> None:
        for name in set(self._grants.free) - set(msg.sessions):
            self._grants.remove_entry(name)
        for name in msg.sessions:
            self._grants.add_entry(name)
        offered = self._ready and not self._draining
        self._grants.distribute(self._free_slots() if offered else 0)
        self._report_load()
        self._report_latency()

    def _report_latency(self) -> None:
        """Report the p99 latency of the calls ended since the last report."""
        now, used = self.now(), self._slots.used()
        p99_ms = self._window.quantile_ms(0.99)
        if not used and self._window.is_idle(now):
            p99_ms = 0.0
        if p99_ms is None:
            return
        load = used / self._slots.slots
        measured = events.ServiceMeasured(self._window.since, p99_ms, load)
        self.send(addresses.INTERFERENCE, measured)
        self._window = latency_window.LatencyWindow(now)

    def _reply(self, name: str, msg: message_base.Message) -> None:
        self.send(name, session.Send(msg))

    @task.handles(_Tick)
    def _on_tick(self, msg: _Tick) -> None:
        if self._slots.waiting:
            self._carry_out(self._slots.advance(self.now()))
        self.after(TICK_INTERVAL_S, _Tick())
        if self._draining and not self._attempts:
            self.send(addresses.SHUTDOWN, events.PartDrained(self.address))

    @task.handles(events.BeginDrain)
    def _on_begin_drain(self, msg: events.BeginDrain) -> None:
        self._draining = True
        self._carry_out(self._slots.drain())

    def _report_load(self) -> None:
        self.send(
            addresses.ANNOUNCER,
            SlotsLoad(
                self._slots.used(),
                len(self._slots.waiting),
                self._latency_ms,
                self._draining,
                tuple(
                    (name, self._grants.slots_of(name))
                    for name in self._grants.free
                ),
            ),
        )


def is_service_time(outcome: http_client.HttpOutcome) -> bool:
    """Return whether the duration of a call counts as service latency.

    Failures that the runner returns at once would make it look fast.
    """
    if isinstance(outcome, http_client.Reply):
        return outcome.status < 500
    return isinstance(outcome, http_client.NoAnswer)


def infer_reply(event: runner.CallEnded) -> message_base.Message:
    """Return the message that reports the end of a call to the entry."""
    outcome = event.outcome
    if isinstance(outcome, http_client.Reply):
        if len(outcome.body) > message_base.MAX_BODY_BYTES:
            return messages.Failed(event.attempt, 'answer is too large')
        if outcome.status == 503:
            # A service may send 503 after it has started the request, so it
            # does not prove that the request was not run.
            return messages.Failed(event.attempt, 'runner answered 503')
        return messages.Executed(
            event.attempt, outcome.status, len(outcome.body), outcome.body
        )
    if isinstance(outcome, http_client.NotSent):
        return messages.Refused(event.attempt, outcome.reason, True)
    return messages.Failed(event.attempt, outcome.reason)

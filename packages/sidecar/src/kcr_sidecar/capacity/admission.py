"""Own the slots of the runner: admit attempts, run them, answer them.

Nothing is admitted before the runner has listed the calls of an older
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

# Time between questions about calls of an older incarnation, in seconds.
FOREIGN_POLL_S = 0.2
# Time after which a question without an answer is asked again, in seconds.
# The runner task gives up after 2 s; an answer is lost when it is restarted.
STATUS_LIMIT_S = 2.5
# Time between looks at waiting attempts' deadlines, in seconds.
ADVANCE_S = 0.05
# Share of a new service time in the running mean.
LATENCY_SHARE = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class SlotsLoad:
    """Report the use of the slots to the announcer."""

    # Requests in the runner.
    active: int
    # Requests that wait for a slot.
    waiting: int
    # Running mean of the service time in ms.
    latency_ms: float
    # Whether new requests are refused.
    draining: bool
    # Slots granted to each entry, by session.
    windows: tuple[tuple[str, int], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Divide:
    """Ask for the free slots to be granted anew to the open sessions."""

    # Sessions that lead to entries.
    sessions: tuple[str, ...]


class _Advance:
    pass


class _AskForeign:
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
        # Whether a timer for the next question to the runner is set. One is
        # enough; a timer per abandoned call would multiply the questions.
        self._asking_later = False
        # Time of the question that is not answered yet.
        self._asked_at = -STATUS_LIMIT_S
        self._latency_ms = 0.0
        self._draining = False

    def started(self) -> None:
        """Ask the runner for calls of an older incarnation."""
        self.post(_AskForeign())
        self.post(_Advance())

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

    @task.handles(_AskForeign)
    def _on_ask_foreign(self, msg: _AskForeign) -> None:
        self._asking_later = False
        if self._ready and not self._slots.orphaned:
            return
        self._ask_later()
        if self._asked_at + STATUS_LIMIT_S > self.now():
            return
        self._asked_at = self.now()
        question = runner.AskStatus(self.address, self._slots.next_query())
        self.send(addresses.RUNNER, question)

    @task.handles(runner.Status)
    def _on_status(self, status: runner.Status) -> None:
        self._asked_at = -STATUS_LIMIT_S
        if status.attempts is None:
            return
        decisions = self._slots.reconcile(
            set(status.attempts), status.number, self.now()
        )
        if not self._ready:
            self.log.info('slots rebuilt', foreign=len(self._slots.orphaned))
        self._ready = True
        self._ask_later()
        self._run(decisions)

    def _ask_later(self) -> None:
        if not self._asking_later:
            self._asking_later = True
            self.after(FOREIGN_POLL_S, _AskForeign())

    @task.handles(session.Received)
    def _on_received(self, event: session.Received) -> None:
        msg = event.msg
        assert isinstance(msg, messages.Execute)
        now = self.now()
        deadline = now + msg.budget_ms / 1000.0
        if msg.service != self.ctx.cfg.service:
            reason = f'service {msg.service!r} is not served here'
            self._answer(event.session, messages.Refused(msg.attempt, reason))
            return
        if not self._ready:
            reason = 'slots are not rebuilt yet'
            self._answer(event.session, messages.Refused(msg.attempt, reason))
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
        self._run([decision])

    def _run(self, decisions: list[slots.Decision]) -> None:
        for decision in decisions:
            if isinstance(decision, slots.Run):
                self._call(decision.attempt)
            elif isinstance(decision, slots.Refuse):
                self._refuse(decision)
        self._report()

    def _call(self, attempt: str) -> None:
        held = self._attempts[attempt]
        held.started = self.now()
        self._grants.attempt_started(held.session, self._room())
        call = runner.Call(
            attempt,
            held.msg.request,
            max(0.001, held.deadline - held.started),
            held.msg.body,
            self.address,
        )
        sent = self.send(addresses.RUNNER, call)
        assert sent, 'runner task is not there'

    def _refuse(self, refusal: slots.Refuse) -> None:
        held = self._attempts.pop(refusal.attempt)
        self.ctx.metrics.count('attempt_refused')
        self._answer(
            held.session, messages.Refused(refusal.attempt, refusal.reason)
        )

    @task.handles(runner.CallEnded)
    def _on_call_ended(self, event: runner.CallEnded) -> None:
        held = self._attempts.pop(event.attempt, None)
        if held is None:
            # This task was restarted; the slot is foreign until it is listed
            # as free, and the entry's deadline ends the attempt as unknown.
            self.ctx.metrics.count('call_unknown')
            return
        took_ms = (self.now() - held.started) * 1000
        self._latency_ms += LATENCY_SHARE * (took_ms - self._latency_ms)
        if is_served(event.outcome):
            self._window.add(took_ms, self.now())
        self.ctx.metrics.record_ms('service_ms', took_ms)
        self._answer(held.session, infer_answer(event))
        if isinstance(event.outcome, http_client.NoAnswer):
            self._run(self._slots.abandon(event.attempt, self.now()))
            self._grants.attempt_ended(held.session, self._room())
            self._ask_later()
            return
        self._run(self._slots.finish(event.attempt, self.now()))
        self._grants.attempt_ended(held.session, self._room())

    def _room(self) -> int:
        """Return the slots that neither run nor are waited for."""
        used = self._slots.used() + len(self._slots.waiting)
        return max(0, self._slots.slots - used)

    @task.handles(Divide)
    def _on_divide(self, msg: Divide) -> None:
        for name in set(self._grants.free) - set(msg.sessions):
            self._grants.remove_entry(name)
        for name in msg.sessions:
            self._grants.add_entry(name)
        offered = self._ready and not self._draining
        self._grants.distribute(self._room() if offered else 0)
        self._report()
        self._report_service()

    def _report_service(self) -> None:
        """Report the tail of the calls that ended since the last report."""
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

    def _answer(self, name: str, msg: message_base.Message) -> None:
        self.send(name, session.Send(msg))

    @task.handles(_Advance)
    def _on_advance(self, msg: _Advance) -> None:
        if self._slots.waiting:
            self._run(self._slots.advance(self.now()))
        self.after(ADVANCE_S, _Advance())
        if self._draining and not self._attempts:
            self.send(addresses.SHUTDOWN, events.PartDrained(self.address))

    @task.handles(events.BeginDrain)
    def _on_begin_drain(self, msg: events.BeginDrain) -> None:
        self._draining = True
        self._run(self._slots.drain())

    def _report(self) -> None:
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


def is_served(outcome: http_client.HttpOutcome) -> bool:
    """Tell whether the time of a call is one of the service.

    A runner that refuses at once would otherwise look fast.
    """
    if isinstance(outcome, http_client.Reply):
        return outcome.status < 500
    return isinstance(outcome, http_client.NoAnswer)


def infer_answer(event: runner.CallEnded) -> message_base.Message:
    """Return the message that tells the entry how a call ended."""
    outcome = event.outcome
    if isinstance(outcome, http_client.Reply):
        if len(outcome.body) > message_base.MAX_BODY_BYTES:
            return messages.Failed(event.attempt, 'answer is too large')
        if outcome.status == 503:
            # A service may answer so after it has begun: this is no proof.
            return messages.Failed(event.attempt, 'runner answered 503')
        return messages.Executed(
            event.attempt, outcome.status, len(outcome.body), outcome.body
        )
    if isinstance(outcome, http_client.NotSent):
        return messages.Refused(event.attempt, outcome.reason, True)
    return messages.Failed(event.attempt, outcome.reason)

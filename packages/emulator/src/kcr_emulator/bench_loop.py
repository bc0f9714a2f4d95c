"""Simulate entries, sidecars and runners on an event loop of its own.

`bench_requests` builds them. The fakes pass messages as function calls with a
network delay; every decision is made by the code of `kcr_core`, which gets the
simulated time as `now`.
"""

from collections import abc
import dataclasses
import heapq
import random
import typing

from kcr_core import dispatch
from kcr_core import grants
from kcr_core import membership
from kcr_core import message_base
from kcr_core import messages
from kcr_core import outcomes
from kcr_core import request_state
from kcr_core import retry_budget
from kcr_core import slots
from kcr_core import types

# One-way delay between an entry and a sidecar, in seconds.
NETWORK_S = 0.001
# Mean service time of the runner, in seconds.
SERVICE_S = 0.02
# Deadline of a request after its arrival, in seconds.
DEADLINE_S = 0.4
# Time in which a runner with a fault answers, in seconds.
FAIL_S = 0.0002
# Slots and connections of one runner, as in current deployments.
SLOTS = 8
CONNECTIONS = 64
# Interval between scans for passed deadlines, as in the admission of a
# sidecar, in seconds.
ADVANCE_INTERVAL_S = 0.05
# Weight of a new service time in the moving average of a sidecar.
LATENCY_WEIGHT = 0.2


class EventLoop:
    """Call functions in the order of their simulated time."""

    def __init__(self) -> None:
        # Simulated time in seconds.
        self.now = 0.0
        self._events: list[
            tuple[float, int, abc.Callable[..., None], tuple[typing.Any, ...]]
        ] = []
        self._count = 0

    def after(
        self, delay_s: float, func: abc.Callable[..., None], *args: typing.Any
    ) -> None:
        """Call a function after a delay."""
        self._count += 1
        event = (self.now + delay_s, self._count, func, args)
        heapq.heappush(self._events, event)

    def run(self, until: float) -> None:
        """Run all events that are due by a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, func, args = heapq.heappop(self._events)
            func(*args)
        self.now = until


@dataclasses.dataclass(slots=True)
class RunnerBehavior:
    """Describe the behavior of one emulated runner."""

    # Service time factor.
    slowdown: float = 1.0
    # Fault of every call: answer with an error, or refuse it.
    fault: typing.Literal['none', 'fail', 'refuse'] = 'none'


@dataclasses.dataclass(frozen=True, slots=True)
class EndedRequest:
    """Store the outcome of one request."""

    # Time of arrival, in seconds.
    arrived_at: float
    # Time until the outcome, in seconds.
    took_s: float
    # `done`, `failed`, `not_run` or `unknown`.
    kind: str


class Sidecar:
    """Simulate a sidecar and its runner."""

    def __init__(
        self,
        loop: EventLoop,
        name: str,
        runner: RunnerBehavior,
        rng: random.Random,
    ) -> None:
        # Name of the instance.
        self.name = name
        # Behavior of the runner.
        self.runner = runner
        # Number of attempts that reached the runner.
        self.executed = 0
        # Entries by name.
        self.entries: dict[str, Entry] = {}
        self._loop = loop
        self._rng = rng
        self._slots = slots.Slots(SLOTS, CONNECTIONS)
        self._grants = grants.Grants()
        self._entry_by_attempt: dict[str, str] = {}
        self._latency_ms = 0.0
        self._seq = 0

    def start(self, heartbeat_s: float) -> None:
        """Register the entries and start the timers."""
        for name in self.entries:
            self._grants.add_entry(name)
        self._loop.after(
            self._rng.uniform(0, heartbeat_s), self._send_heartbeat, 1.0
        )
        self._loop.after(ADVANCE_INTERVAL_S, self._advance)

    def execute(self, entry: str, attempt: str, deadline: float) -> None:
        """Admit one attempt from an entry."""
        self._entry_by_attempt[attempt] = entry
        self._grants.count_request(entry)
        service_s = self._latency_ms / 1000.0
        decision = self._slots.admit(
            attempt, deadline, self._loop.now, service_s
        )
        self._apply_decisions([decision])

    def _apply_decisions(self, decisions: list[slots.Decision]) -> None:
        for decision in decisions:
            if isinstance(decision, slots.Run):
                self._call_runner(decision.attempt)
            elif isinstance(decision, slots.Refuse):
                msg = messages.Refused(decision.attempt, decision.reason)
                self._answer(decision.attempt, msg)

    def _call_runner(self, attempt: str) -> None:
        self.executed += 1
        self._grants.attempt_started(
            self._entry_by_attempt[attempt], self._free_slots()
        )
        took_s = FAIL_S
        if self.runner.fault == 'none':
            mean_s = SERVICE_S * self.runner.slowdown
            took_s = self._rng.expovariate(1.0 / mean_s)
        self._loop.after(took_s, self._on_call_ended, attempt, took_s)

    def _on_call_ended(self, attempt: str, took_s: float) -> None:
        entry = self._entry_by_attempt[attempt]
        took_ms = took_s * 1000.0
        self._latency_ms += LATENCY_WEIGHT * (took_ms - self._latency_ms)
        msg: message_base.Message = messages.Executed(attempt, 200, 0, b'')
        if self.runner.fault == 'fail':
            msg = messages.Executed(attempt, 500, 0, b'')
        elif self.runner.fault == 'refuse':
            msg = messages.Refused(attempt, 'connection refused', True)
        self._answer(attempt, msg)
        self._apply_decisions(self._slots.finish(attempt, self._loop.now))
        self._grants.attempt_ended(entry, self._free_slots())

    def _answer(self, attempt: str, msg: message_base.Message) -> None:
        entry = self.entries[self._entry_by_attempt.pop(attempt)]
        self._loop.after(NETWORK_S, entry.on_answer, attempt, msg)

    def _advance(self) -> None:
        if self._slots.waiting:
            self._apply_decisions(self._slots.advance(self._loop.now))
        self._loop.after(ADVANCE_INTERVAL_S, self._advance)

    def _free_slots(self) -> int:
        used = self._slots.used() + len(self._slots.waiting)
        return max(0, SLOTS - used)

    def _send_heartbeat(self, heartbeat_s: float) -> None:
        self._seq += 1
        self._grants.distribute(self._free_slots())
        for name, entry in self.entries.items():
            heartbeat = messages.Heartbeat(
                seq=self._seq,
                revision=0,
                active=self._slots.used(),
                granted=self._grants.slots_of(name),
                free=types.Demand(),
                waiting=len(self._slots.waiting),
                latency_ms=self._latency_ms,
            )
            self._loop.after(
                NETWORK_S, entry.on_heartbeat, self.name, heartbeat
            )
        delay_s = heartbeat_s * self._rng.uniform(0.9, 1.1)
        self._loop.after(delay_s, self._send_heartbeat, heartbeat_s)


@dataclasses.dataclass(slots=True)
class _Active:
    state: request_state.RequestState
    arrived_at: float
    sent_at: dict[str, float] = dataclasses.field(default_factory=dict)
    hedges: set[str] = dataclasses.field(default_factory=set)


class Entry:
    """Simulate the request path of an entry."""

    def __init__(
        self,
        loop: EventLoop,
        name: str,
        sidecars: dict[str, Sidecar],
        settings: types.ControlSettings,
        rng: random.Random,
    ) -> None:
        # Outcomes of the ended requests.
        self.ended: list[EndedRequest] = []
        self._loop = loop
        self._name = name
        self._sidecars = sidecars
        self._settings = settings
        self._view = membership.FleetView(settings.heartbeat_s)
        self._dispatcher = dispatch.RequestDispatcher(self._view, rng)
        self._budget = retry_budget.RetryBudget(settings.retry_budget)
        self._latencies = retry_budget.Latencies()
        self._active: dict[str, _Active] = {}
        self._by_attempt: dict[str, str] = {}
        self._count = 0
        self._scan_scheduled = False
        for sidecar in sidecars.values():
            self._connect(sidecar)

    def _connect(self, sidecar: Sidecar) -> None:
        sidecar.entries[self._name] = self
        place = types.Place('r', 'z', 'k', sidecar.name)
        hello = message_base.Hello(1, 'sidecar', sidecar.name, 'i', place)
        self._view.session_opened(sidecar.name, hello, 0.0)
        capacity = types.Capacity(SLOTS, CONNECTIONS, types.Demand())
        self._view.set_state(
            self._view.endpoints[sidecar.name],
            messages.EndpointState('s', capacity, 1),
        )

    def on_heartbeat(self, name: str, heartbeat: messages.Heartbeat) -> None:
        """Process a heartbeat of a sidecar."""
        endpoint = self._view.endpoints[name]
        endpoint.heartbeat, endpoint.last_message_at = (
            heartbeat,
            self._loop.now,
        )
        self._advance()

    def submit(self) -> None:
        """Accept one request of a caller."""
        now = self._loop.now
        self._count += 1
        key = f'{self._name}/{self._count}'
        state = request_state.RequestState(
            key, True, now + DEADLINE_S, self._settings.max_attempts
        )
        self._active[key] = _Active(state, now)
        self._budget.deposit()
        self._loop.after(DEADLINE_S, self._expire, key)
        delay_s = retry_budget.infer_hedge_delay(
            self._settings.hedge_s,
            self._settings.hedge_quantile,
            self._latencies,
        )
        if delay_s is not None and delay_s < DEADLINE_S:
            self._loop.after(delay_s, self._hedge, key)
        self._attempt(key, frozenset())

    def _attempt(
        self, key: str, avoid: frozenset[str], hedge: bool = False
    ) -> str:
        active = self._active[key]
        attempt = f'{key}:{len(active.state.attempts)}'
        active.state.begin(attempt)
        self._by_attempt[attempt] = key
        deadline = active.state.deadline
        pending = dispatch.PendingAttempt(attempt, 's', deadline, avoid, hedge)
        self._apply_decision(
            self._dispatcher.submit(pending, self._settings, self._loop.now)
        )
        return attempt

    def _apply_decision(self, decision: dispatch.Decision) -> None:
        key = self._by_attempt.get(decision.attempt)
        active = self._active.get(key) if key else None
        if isinstance(decision, dispatch.Queued):
            self._schedule_scan()
            return
        assert active is not None and key is not None
        if isinstance(decision, dispatch.Rejected):
            if decision.attempt in active.hedges:
                self._budget.refund()
            step = active.state.not_sent(decision.attempt, decision.reason)
            self._apply(key, step)
            return
        active.state.placed(decision.attempt, decision.instance)
        active.sent_at[decision.attempt] = self._loop.now
        self._loop.after(
            NETWORK_S,
            self._sidecars[decision.instance].execute,
            self._name,
            decision.attempt,
            active.state.deadline,
        )

    def on_answer(self, attempt: str, msg: message_base.Message) -> None:
        """Process the answer to an attempt."""
        key = self._by_attempt.pop(attempt, None)
        active = self._active.get(key) if key else None
        if active is None or key is None:
            return
        self._release(active, attempt, dispatch.infer_result(msg))
        if isinstance(msg, messages.Refused):
            self._budget.settle(attempt, refused=True)
            now = self._loop.now
            self._apply(key, active.state.refused(attempt, msg.reason, now))
        else:
            self._apply(
                key, active.state.executed(attempt, msg.status, msg.body)
            )

    def _release(
        self, active: _Active, attempt: str, result: dispatch.Result
    ) -> None:
        sent_at = active.sent_at.pop(attempt, None)
        if sent_at is None:
            return
        now = self._loop.now
        if result == 'ok':
            self._latencies.add(now - sent_at)
        instance = active.state.instances[attempt]
        self._dispatcher.attempt_ended(
            instance, active.state.key, result, now - sent_at, now
        )

    def _apply(self, key: str, step: request_state.Step) -> None:
        if isinstance(step, request_state.Wait):
            return
        if not isinstance(step, request_state.Retry):
            self._finish(key, step)
        elif step.on_credit and self._budget.can_lend():
            attempt = self._attempt(key, step.avoid)
            if key in self._active:
                self._budget.lend(attempt)
        elif self._budget.spend():
            self._attempt(key, step.avoid)
        else:
            state = self._active[key].state
            self._apply(key, state.decline_retry('retry budget is used up'))

    def _finish(self, key: str, outcome: outcomes.Outcome) -> None:
        active = self._active.pop(key)
        for attempt in active.state.attempts:
            self._by_attempt.pop(attempt, None)
            self._budget.settle(attempt, refused=False)
            self._dispatcher.withdraw(attempt)
            self._release(active, attempt, 'none')
        kind = infer_kind(outcome)
        took_s = self._loop.now - active.arrived_at
        self.ended.append(EndedRequest(active.arrived_at, took_s, kind))
        self._advance()

    def _hedge(self, key: str) -> None:
        active = self._active.get(key)
        if active is None or not active.state.can_hedge():
            return
        if not active.sent_at or not self._budget.spend():
            return
        number = len(active.state.attempts)
        active.hedges.add(f'{key}:{number}')
        avoid = frozenset(active.state.instances.values())
        self._attempt(key, avoid, hedge=True)

    def _expire(self, key: str) -> None:
        active = self._active.get(key)
        if active is None:
            return
        for attempt in list(active.state.attempts):
            if self._dispatcher.withdraw(attempt):
                step = active.state.not_sent(attempt, 'deadline passed')
                self._apply(key, step)
        if active.state.outcome is None:
            self._apply(key, active.state.expired())

    def _advance(self) -> None:
        if not self._dispatcher.waiting():
            return
        now = self._loop.now
        for _, decision in self._dispatcher.advance(self._settings, now):
            self._apply_decision(decision)

    def _schedule_scan(self) -> None:
        delay_s = self._dispatcher.next_scan_delay(self._loop.now)
        if delay_s is not None and not self._scan_scheduled:
            self._scan_scheduled = True
            self._loop.after(min(delay_s, 0.05), self._scan)

    def _scan(self) -> None:
        self._scan_scheduled = False
        self._advance()
        self._schedule_scan()


def infer_kind(outcome: outcomes.Outcome) -> str:
    """Return the kind of an outcome as in `EndedRequest`."""
    if isinstance(outcome, outcomes.Done):
        return 'done' if outcome.status < 500 else 'failed'
    return 'not_run' if isinstance(outcome, outcomes.NotRun) else 'unknown'

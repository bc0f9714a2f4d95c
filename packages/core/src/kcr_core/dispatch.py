"""Decide when and to which endpoint an entry sends each attempt.

The decision uses the entry's view of the endpoints, their health, the
endpoint policy of the settings and the deadline of the attempt. With a
late-binding policy an attempt is queued, earliest deadline first, until an
endpoint has granted a slot. The membership task of the entry calls this.
"""

from collections import abc
import dataclasses
import heapq
import random
import typing

from kcr_core import endpoint_choice
from kcr_core import health
from kcr_core import membership
from kcr_core import message_base
from kcr_core import messages
from kcr_core import types

# Endpoints that a policy chooses from. The cost of a choice grows with this
# number: 16 doubled it and did not improve p99.
SAMPLE_SIZE = 8
# Attempts that may wait for a grant; further ones are refused.
MAX_WAITING_ATTEMPTS = 1000
# Weight of a new latency in the moving average of an endpoint.
LATENCY_WEIGHT = 0.1
# An attempt without a slot is refused when the time to its deadline is at most
# this multiple of the lowest latency of the candidates.
MIN_LATENCIES_LEFT = 5.0
# An attempt without a slot is refused at the latest this long before its
# deadline, so that the refusal reaches the caller in time.
MIN_TIME_LEFT_S = 0.005
# Mean load of the endpoints above which no hedge is sent: beyond it, the extra
# load of the hedges increases the tail latency.
MAX_HEDGE_LOAD = 0.75

# Result of an attempt at its endpoint; 'none' if there was no answer.
Result = typing.Literal['ok', 'failed', 'refused', 'none']


@dataclasses.dataclass(frozen=True, slots=True)
class PendingAttempt:
    """Describe an attempt to be sent."""

    # Id of the attempt.
    attempt: str
    # Requested service.
    service: str
    # Monotonic time at which the caller stops waiting.
    deadline: float
    # Instances to choose only if there is no other.
    avoid: frozenset[str]
    # Whether it is a hedge; a hedge is never queued.
    hedge: bool = False
    # Whether it may run more than once; only such an attempt may probe a
    # quarantined endpoint.
    idempotent: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Chosen:
    """Represent the choice of an endpoint for an attempt."""

    # Id of the attempt.
    attempt: str
    # Chosen instance.
    instance: str


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """Represent the refusal to send an attempt."""

    # Id of the attempt.
    attempt: str
    # Why it is not sent.
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Queued:
    """Represent an attempt that waits for a grant."""

    # Id of the attempt.
    attempt: str


Decision = Chosen | Rejected | Queued


class RequestDispatcher:
    """Choose endpoints and own the queue of waiting attempts."""

    def __init__(self, view: membership.FleetView, rng: random.Random) -> None:
        # Endpoints that are connected to the entry.
        self.view = view
        # Health of the endpoints.
        self.health = health.Health()
        self._rng = rng
        # Deadline, sequence number and attempt; a heap. Withdrawn attempts
        # stay in it until they reach its top.
        self._queue: list[tuple[float, int, PendingAttempt]] = []
        self._waiting: set[str] = set()
        self._sequence = 0

    def waiting(self) -> int:
        """Return the number of attempts that wait for a grant."""
        return len(self._waiting)

    def withdraw(self, attempt: str) -> bool:
        """Remove a waiting attempt; return False if it is not waiting."""
        if attempt not in self._waiting:
            return False
        self._waiting.remove(attempt)
        return True

    def submit(
        self,
        pending: PendingAttempt,
        settings: types.ControlSettings,
        now: float,
    ) -> Decision:
        """Send, queue or refuse a new attempt."""
        late_binding = settings.endpoint_policy in endpoint_choice.LATE_BINDING
        if late_binding and self._queue and not pending.hedge:
            return self._enqueue(pending)
        decision = self._decide(pending, settings, now)
        if decision is None and pending.hedge:
            return Rejected(pending.attempt, 'no slot for a hedge')
        return self._enqueue(pending) if decision is None else decision

    def advance(
        self, settings: types.ControlSettings, now: float
    ) -> list[tuple[PendingAttempt, Decision]]:
        """Return decisions on waiting attempts, earliest deadline first.

        It stops at the first attempt that has to wait longer.
        """
        decisions: list[tuple[PendingAttempt, Decision]] = []
        while self._queue:
            pending = self._queue[0][2]
            if pending.attempt in self._waiting:
                decision = self._decide(pending, settings, now)
                if decision is None:
                    break
                self._waiting.remove(pending.attempt)
                decisions.append((pending, decision))
            heapq.heappop(self._queue)
        return decisions

    def next_scan_delay(self, now: float) -> float | None:
        """Return the delay until the queue should be scanned again.

        It is half the time to the earliest deadline; none for an empty queue.
        """
        if not self._queue:
            return None
        return max(0.001, (self._queue[0][0] - now) / 2)

    def attempt_ended(
        self,
        instance: str,
        work: str,
        result: Result,
        took_s: float,
        now: float,
    ) -> None:
        """Update the load, health and latency of an endpoint.

        `work` is the key of the request, `took_s` the time from sending the
        attempt to its result, 0 if it was not sent.
        """
        endpoint = self.view.endpoints.get(instance)
        if endpoint is None:
            return
        if endpoint.in_flight > 0:
            endpoint.in_flight -= 1
        if result == 'failed' and endpoint.state is not None:
            # The endpoint has no state right after a reconnection.
            host_count = len(self.view.list_endpoints(endpoint.state.service))
            self.health.record_failure(
                instance, work, 'attempt failed', host_count, now
            )
        elif result == 'ok':
            self.health.record_success(instance, work, now)
        if result in ('ok', 'none') and took_s > 0:
            took_ms = took_s * 1000.0
            mean_ms = endpoint.latency_ms or took_ms
            endpoint.latency_ms = mean_ms + LATENCY_WEIGHT * (
                took_ms - mean_ms
            )

    def _enqueue(self, pending: PendingAttempt) -> Decision:
        if len(self._queue) >= MAX_WAITING_ATTEMPTS:
            return Rejected(pending.attempt, 'entry queue is full')
        self._sequence += 1
        self._waiting.add(pending.attempt)
        heapq.heappush(
            self._queue, (pending.deadline, self._sequence, pending)
        )
        return Queued(pending.attempt)

    def _decide(
        self,
        pending: PendingAttempt,
        settings: types.ControlSettings,
        now: float,
    ) -> Decision | None:
        found = self.view.sample(pending.service, SAMPLE_SIZE, now, self._rng)
        if not found:
            return Rejected(pending.attempt, 'no endpoint serves this now')
        probe, found = self._select_usable(found, pending.idempotent, now)
        if probe is not None:
            self.health.probe_sent(probe.place.instance, now)
            return self._choose(pending, probe)
        untried = [e for e in found if e.place.instance not in pending.avoid]
        candidates = [infer_candidate(e) for e in untried or found]
        if pending.hedge and infer_mean_load(candidates) > MAX_HEDGE_LOAD:
            return Rejected(pending.attempt, 'no room for a hedge')
        budget_s = pending.deadline - now
        in_time = [
            c for c in candidates if endpoint_choice.is_in_time(c, budget_s)
        ]
        policy = endpoint_choice.POLICIES.get(settings.endpoint_policy)
        choice = policy(in_time, self._rng)
        if choice is not None:
            return self._choose(pending, self.view.endpoints[choice.instance])
        if settings.endpoint_policy not in endpoint_choice.LATE_BINDING:
            return Rejected(pending.attempt, 'deadline cannot be met')
        fastest_s = min(c.latency_ms for c in candidates) / 1000.0
        if budget_s <= max(MIN_TIME_LEFT_S, MIN_LATENCIES_LEFT * fastest_s):
            return Rejected(pending.attempt, 'no slot before the deadline')
        return None

    def _select_usable(
        self,
        found: list[membership.Endpoint],
        may_probe: bool,
        now: float,
    ) -> tuple[membership.Endpoint | None, list[membership.Endpoint]]:
        if not self.health.quarantined:
            return None, found
        usable = []
        for endpoint in found:
            access = self.health.access(endpoint.place.instance, now)
            if access == 'probe' and may_probe and not endpoint.in_flight:
                return endpoint, found
            if access == 'open':
                usable.append(endpoint)
        return None, usable or found

    def _choose(
        self, pending: PendingAttempt, endpoint: membership.Endpoint
    ) -> Chosen:
        endpoint.in_flight += 1
        return Chosen(pending.attempt, endpoint.place.instance)


def infer_candidate(
    endpoint: membership.Endpoint,
) -> endpoint_choice.Candidate:
    """Return the inputs of a policy for one endpoint."""
    assert endpoint.state is not None, 'candidate without full state'
    heartbeat = endpoint.heartbeat
    return endpoint_choice.Candidate(
        instance=endpoint.place.instance,
        slots=endpoint.state.capacity.slots,
        active=heartbeat.active if heartbeat else 0,
        in_flight=endpoint.in_flight,
        granted=heartbeat.granted if heartbeat else 0,
        latency_ms=endpoint.latency_ms
        or (heartbeat.latency_ms if heartbeat else 0.0),
    )


def infer_mean_load(
    candidates: abc.Sequence[endpoint_choice.Candidate],
) -> float:
    """Return the mean load of the candidates."""
    loads = [endpoint_choice.infer_load(c) for c in candidates]
    return sum(loads) / max(1, len(loads))


def infer_result(msg: message_base.Message) -> Result:
    """Return the result of an attempt from the answer of its endpoint."""
    if isinstance(msg, messages.Refused):
        return 'failed' if msg.fault else 'refused'
    if isinstance(msg, messages.Failed) or msg.length != len(msg.body):
        return 'failed'
    return 'failed' if msg.status >= 500 else 'ok'

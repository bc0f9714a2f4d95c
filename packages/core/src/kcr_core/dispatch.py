"""Decide when and where each attempt of an entry is sent.

It joins the view of the endpoints, their health and the endpoint policy. With
late binding an attempt waits here, the nearest deadline first, until an
endpoint has granted a slot.
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

# Endpoints that a policy looks at; the cost of a choice grows with it. With 16
# a choice cost twice as much and p99 was no better.
SAMPLE = 8
# Attempts that wait for a grant before new ones are refused.
QUEUE_LIMIT = 1000
# Share of a new latency in the running mean of an endpoint.
LATENCY_SHARE = 0.1
# Usual latencies that are left at the deadline when waiting is given up.
NEAR_LATENCIES = 5.0
# Least time before the deadline at which waiting is given up, so that the
# refusal reaches the caller in time.
NEAR_S = 0.005
# Mean load of the endpoints above which no hedge is sent: the extra load of
# hedges raises the tail from there on.
HEDGE_LOAD = 0.75

Result = typing.Literal['ok', 'failed', 'refused', 'none']


@dataclasses.dataclass(frozen=True, slots=True)
class PendingAttempt:
    """Ask for one attempt to be sent."""

    # Id of the attempt.
    attempt: str
    # Service that is asked for.
    service: str
    # Monotonic time at which the caller stops waiting.
    deadline: float
    # Instances that should not be chosen if another can be.
    avoid: frozenset[str]
    # Whether it is a hedge, which is only sent while there is room.
    hedge: bool = False
    # Whether it may run more than once; only such attempts are probes.
    idempotent: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Chosen:
    """State where an attempt is sent."""

    # Id of the attempt.
    attempt: str
    # Instance that was chosen.
    instance: str


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """State that an attempt is not sent."""

    # Id of the attempt.
    attempt: str
    # Why.
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Queued:
    """State that an attempt waits for a grant."""

    # Id of the attempt.
    attempt: str


Decision = Chosen | Rejected | Queued


class Dispatcher:
    """Own the attempts that wait for an endpoint."""

    def __init__(self, view: membership.FleetView, rng: random.Random) -> None:
        # Endpoints that the entry knows.
        self.view = view
        # Health of the endpoints.
        self.health = health.Health()
        self._rng = rng
        self._queue: list[tuple[float, int, PendingAttempt]] = []
        self._held: set[str] = set()
        self._count = 0

    def waiting(self) -> int:
        """Return the number of attempts that wait for a grant."""
        return len(self._held)

    def withdraw(self, attempt: str) -> bool:
        """Drop a waiting attempt; return False when it does not wait."""
        if attempt not in self._held:
            return False
        self._held.remove(attempt)
        return True

    def submit(
        self,
        offer: PendingAttempt,
        settings: types.ControlSettings,
        now: float,
    ) -> Decision:
        """Decide about a new attempt."""
        late = settings.endpoint_policy in endpoint_choice.LATE_BINDING
        if late and self._queue and not offer.hedge:
            return self._hold(offer)
        decision = self._decide(offer, settings, now)
        if decision is None and offer.hedge:
            return Rejected(offer.attempt, 'no slot for a hedge')
        return self._hold(offer) if decision is None else decision

    def advance(
        self, settings: types.ControlSettings, now: float
    ) -> list[tuple[PendingAttempt, Decision]]:
        """Decide about waiting attempts, the nearest deadline first."""
        decisions: list[tuple[PendingAttempt, Decision]] = []
        while self._queue:
            offer = self._queue[0][2]
            if offer.attempt in self._held:
                decision = self._decide(offer, settings, now)
                if decision is None:
                    break
                self._held.remove(offer.attempt)
                decisions.append((offer, decision))
            heapq.heappop(self._queue)
        return decisions

    def next_scan_delay(self, now: float) -> float | None:
        """Return the delay until a waiting attempt may give up."""
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
        """Take the end of an attempt."""
        endpoint = self.view.endpoints.get(instance)
        if endpoint is None:
            return
        if endpoint.in_flight > 0:
            endpoint.in_flight -= 1
        if result == 'failed' and endpoint.state is not None:
            # A connection that was just opened again has no state yet.
            fleet = len(self.view.list_endpoints(endpoint.state.service))
            self.health.record_failure(
                instance, work, 'attempt failed', fleet, now
            )
        elif result == 'ok':
            self.health.record_success(instance, work, now)
        if result in ('ok', 'none') and took_s > 0:
            took_ms = took_s * 1000.0
            held = endpoint.latency_ms or took_ms
            endpoint.latency_ms = held + LATENCY_SHARE * (took_ms - held)

    def _hold(self, offer: PendingAttempt) -> Decision:
        if len(self._queue) >= QUEUE_LIMIT:
            return Rejected(offer.attempt, 'entry queue is full')
        self._count += 1
        self._held.add(offer.attempt)
        heapq.heappush(self._queue, (offer.deadline, self._count, offer))
        return Queued(offer.attempt)

    def _decide(
        self,
        offer: PendingAttempt,
        settings: types.ControlSettings,
        now: float,
    ) -> Decision | None:
        found = self.view.sample(offer.service, SAMPLE, now, self._rng)
        if not found:
            return Rejected(offer.attempt, 'no endpoint serves this now')
        probe, found = self._split(found, offer.idempotent, now)
        if probe is not None:
            self.health.probe_sent(probe.place.instance, now)
            return self._send(offer, probe)
        fresh = [e for e in found if e.place.instance not in offer.avoid]
        options = [infer_candidate(e) for e in fresh or found]
        if offer.hedge and infer_mean_load(options) > HEDGE_LOAD:
            return Rejected(offer.attempt, 'no room for a hedge')
        budget_s = offer.deadline - now
        in_time = [
            c for c in options if endpoint_choice.is_in_time(c, budget_s)
        ]
        policy = endpoint_choice.POLICIES.get(settings.endpoint_policy)
        choice = policy(in_time, self._rng)
        if choice is not None:
            return self._send(offer, self.view.endpoints[choice.instance])
        if settings.endpoint_policy not in endpoint_choice.LATE_BINDING:
            return Rejected(offer.attempt, 'deadline cannot be met')
        usual_s = min(c.latency_ms for c in options) / 1000.0
        if budget_s <= max(NEAR_S, NEAR_LATENCIES * usual_s):
            return Rejected(offer.attempt, 'no slot before the deadline')
        return None

    def _split(
        self,
        found: list[membership.Endpoint],
        may_probe: bool,
        now: float,
    ) -> tuple[membership.Endpoint | None, list[membership.Endpoint]]:
        if not self.health.quarantined:
            return None, found
        good = []
        for endpoint in found:
            access = self.health.access(endpoint.place.instance, now)
            if access == 'probe' and may_probe and not endpoint.in_flight:
                return endpoint, found
            if access == 'open':
                good.append(endpoint)
        return None, good or found

    def _send(
        self, offer: PendingAttempt, endpoint: membership.Endpoint
    ) -> Chosen:
        endpoint.in_flight += 1
        return Chosen(offer.attempt, endpoint.place.instance)


def infer_candidate(
    endpoint: membership.Endpoint,
) -> endpoint_choice.Candidate:
    """Return what a policy may know of an endpoint."""
    assert endpoint.state is not None, 'candidate without full state'
    beat = endpoint.heartbeat
    return endpoint_choice.Candidate(
        instance=endpoint.place.instance,
        slots=endpoint.state.capacity.slots,
        active=beat.active if beat else 0,
        in_flight=endpoint.in_flight,
        granted=beat.granted if beat else 0,
        latency_ms=endpoint.latency_ms or (beat.latency_ms if beat else 0.0),
    )


def infer_mean_load(
    candidates: abc.Sequence[endpoint_choice.Candidate],
) -> float:
    """Return the mean share of the slots that are in use."""
    loads = [endpoint_choice.infer_load(c) for c in candidates]
    return sum(loads) / max(1, len(loads))


def infer_result(msg: message_base.Message) -> Result:
    """Return what an answer says about the health of its endpoint."""
    if isinstance(msg, messages.Refused):
        return 'failed' if msg.fault else 'refused'
    if isinstance(msg, messages.Failed) or msg.length != len(msg.body):
        return 'failed'
    return 'failed' if msg.status >= 500 else 'ok'

"""Choose the endpoint of a request; policies are kept in a registry."""

from collections import abc
import dataclasses
import random

from kcr_core import registry


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """State what a policy knows of one endpoint."""

    # Name of the instance.
    instance: str
    # Slots of the runner.
    slots: int
    # Requests in the runner at the last heartbeat, of all entries.
    active: int
    # Attempts of this entry without an answer.
    in_flight: int
    # Slots granted to this entry, with those that its attempts use.
    granted: int
    # Recent mean time of an attempt as the caller sees it, in ms.
    latency_ms: float


# Floor of the latency in a cost, so that an unmeasured endpoint counts by its
# requests in flight.
MIN_LATENCY_MS = 1.0

Policy = abc.Callable[
    [abc.Sequence[Candidate], random.Random], Candidate | None
]
POLICIES: registry.Registry[Policy] = registry.Registry('endpoint policy')


@POLICIES.register('random')
def choose_random(
    candidates: abc.Sequence[Candidate], rng: random.Random
) -> Candidate | None:
    """Choose any endpoint."""
    return rng.choice(candidates) if candidates else None


@POLICIES.register('two_choices')
def choose_of_two(
    candidates: abc.Sequence[Candidate], rng: random.Random
) -> Candidate | None:
    """Choose the less loaded of two random endpoints."""
    if not candidates:
        return None
    first, second = rng.choice(candidates), rng.choice(candidates)
    return min(first, second, key=infer_load)


def infer_load(candidate: Candidate) -> float:
    """Return the load of an endpoint as a share of its slots."""
    known = max(candidate.active, candidate.in_flight)
    return known / max(1, candidate.slots)


@POLICIES.register('least_cost')
def choose_least_cost(
    candidates: abc.Sequence[Candidate], rng: random.Random
) -> Candidate | None:
    """Choose the endpoint with the smallest in flight times latency."""
    if not candidates:
        return None
    return min(candidates, key=lambda c: (infer_cost(c), rng.random()))


@POLICIES.register('granted')
def choose_granted(
    candidates: abc.Sequence[Candidate], rng: random.Random
) -> Candidate | None:
    """Choose the cheapest endpoint that granted a free slot, if any."""
    free = [c for c in candidates if c.in_flight < c.granted]
    return choose_least_cost(free, rng)


# Policies that keep a request at the entry until they find an endpoint.
LATE_BINDING = frozenset({'granted'})


def infer_cost(candidate: Candidate) -> float:
    """Return the expected time of one more attempt, in ms.

    The latency that the entry measured includes the waits at the sidecar, so
    it stands for the load of the other entries. Their count in the last
    heartbeat is older than most requests live and is not used.
    """
    latency_ms = max(candidate.latency_ms, MIN_LATENCY_MS)
    return latency_ms * (candidate.in_flight + 1) / max(1, candidate.slots)


def is_in_time(candidate: Candidate, budget_s: float) -> bool:
    """Tell whether an attempt that is sent now can end in its budget."""
    over = max(candidate.active, candidate.in_flight) + 1 - candidate.slots
    if over <= 0:
        return True
    waits = over / max(1, candidate.slots)
    return candidate.latency_ms * waits <= budget_s * 1000.0

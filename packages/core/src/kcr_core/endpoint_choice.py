"""Choose the endpoint of an attempt from a sample of candidates.

The registry `POLICIES` holds the policies by the name in the settings. The
dispatcher of an entry calls the policy with the load, the grants and the
latency of each candidate.
"""

from collections import abc
import dataclasses
import random

from kcr_core import registry


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """Store the inputs of a policy for one endpoint."""

    # Name of the instance.
    instance: str
    # Slots of the runner.
    slots: int
    # Requests of all entries in the runner, from the last heartbeat.
    active: int
    # Attempts of this entry that are not answered yet.
    in_flight: int
    # Slots granted to this entry, including those in use by its attempts.
    granted: int
    # Moving average of the duration of an attempt in ms, as measured by this
    # entry; the sidecar's value until the entry has one.
    latency_ms: float


# Minimum latency used in a cost, so that an endpoint without a measured
# latency is ranked by its attempts in flight.
MIN_LATENCY_MS = 1.0

Policy = abc.Callable[
    [abc.Sequence[Candidate], random.Random], Candidate | None
]
POLICIES: registry.Registry[Policy] = registry.Registry('endpoint policy')


@POLICIES.register('random')
def choose_random(
    candidates: abc.Sequence[Candidate], rng: random.Random
) -> Candidate | None:
    """Choose a random endpoint."""
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
    """Return the number of requests in an endpoint per slot."""
    in_use = max(candidate.active, candidate.in_flight)
    return in_use / max(1, candidate.slots)


@POLICIES.register('least_cost')
def choose_least_cost(
    candidates: abc.Sequence[Candidate], rng: random.Random
) -> Candidate | None:
    """Choose the endpoint with the lowest expected time."""
    if not candidates:
        return None
    return min(candidates, key=lambda c: (infer_cost(c), rng.random()))


@POLICIES.register('granted')
def choose_granted(
    candidates: abc.Sequence[Candidate], rng: random.Random
) -> Candidate | None:
    """Choose the endpoint of least cost that has granted a free slot."""
    free = [c for c in candidates if c.in_flight < c.granted]
    return choose_least_cost(free, rng)


# Policies for which an attempt waits at the entry until one is chosen.
LATE_BINDING = frozenset({'granted'})


def infer_cost(candidate: Candidate) -> float:
    """Return the expected time of one more attempt, in ms.

    The measured latency includes the wait at the sidecar, so it reflects the
    load from other entries. The number of their requests in the last
    heartbeat is not used: it is older than the duration of most requests.
    """
    latency_ms = max(candidate.latency_ms, MIN_LATENCY_MS)
    return latency_ms * (candidate.in_flight + 1) / max(1, candidate.slots)


def is_in_time(candidate: Candidate, budget_s: float) -> bool:
    """Return whether an attempt sent now can end within its budget."""
    excess = max(candidate.active, candidate.in_flight) + 1 - candidate.slots
    if excess <= 0:
        return True
    rounds = excess / max(1, candidate.slots)
    return candidate.latency_ms * rounds <= budget_s * 1000.0

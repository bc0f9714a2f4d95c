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
    # Slots granted to this entry.
    granted: int
    # Recent median service time in ms.
    latency_ms: float


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

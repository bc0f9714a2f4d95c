"""Choose the home of a task; policies are kept in a registry."""

from collections import abc
import dataclasses

from kcr_core import registry
from kcr_core import sizes
from kcr_core import types


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """State what an entry knows of one instance."""

    # Sidecar that would be the home.
    home: types.Home
    # Where the instance is.
    place: types.Place
    # What the instance offers in all.
    capacity: types.Demand
    # What is not reserved or promised to other tasks.
    free: types.Demand
    # Whether the instance may get new work now.
    open: bool = True
    # What its sidecar has left, if it reserves recent tasks at full size;
    # none when that is not known.
    spare: types.Demand | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class JobSpread:
    """Count the live tasks of one job by failure domain."""

    # Tasks by zone.
    zones: abc.Mapping[str, int]
    # Tasks by zone and rack.
    racks: abc.Mapping[tuple[str, str], int]
    # Factor by which a home reserves more than an unmeasured kind declares.
    size_factor: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Placed:
    """Name the home that was chosen."""

    # The home.
    home: types.Home


@dataclasses.dataclass(frozen=True, slots=True)
class NoCapacity:
    """State that the task fits somewhere, but not now."""

    # Why it waits.
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Infeasible:
    """State that no known instance could hold the task when empty."""

    # Which resource is short.
    reason: str


Choice = Placed | NoCapacity | Infeasible
Policy = abc.Callable[
    [types.TaskSpec, abc.Sequence[Candidate], JobSpread], Candidate | None
]
POLICIES: registry.Registry[Policy] = registry.Registry('placement policy')


@POLICIES.register('first_fit')
def choose_first(
    spec: types.TaskSpec,
    candidates: abc.Sequence[Candidate],
    spread: JobSpread,
) -> Candidate | None:
    """Choose the first instance with room."""
    return candidates[0] if candidates else None


@POLICIES.register('spread')
def choose_spread(
    spec: types.TaskSpec,
    candidates: abc.Sequence[Candidate],
    spread: JobSpread,
) -> Candidate | None:
    """Choose the least loaded instance; spread a job over racks and zones.

    Instances with accelerators are kept for tasks that need them. After that,
    an instance is preferred whose sidecar has room for what it will reserve.
    """
    reservation = spec.demand.scaled(max(1.0, spread.size_factor))

    def rank(candidate: Candidate) -> tuple[bool, int, int, bool, float, str]:
        zone, rack = candidate.place.zone, candidate.place.rack
        wasted = (
            spec.demand.accelerators == 0
            and candidate.capacity.accelerators > 0
        )
        in_zone = spread.zones.get(zone, 0) if spec.job else 0
        in_rack = spread.racks.get((zone, rack), 0) if spec.job else 0
        waits = is_short(candidate, reservation)
        load = infer_load(candidate, spec.demand)
        return wasted, in_zone, in_rack, waits, load, candidate.place.instance

    return min(candidates, key=rank, default=None)


def is_short(candidate: Candidate, reservation: types.Demand) -> bool:
    """Tell whether the sidecar would let a task wait for its reservation.

    It reserves no more than the instance has.
    """
    if candidate.spare is None:
        return False
    return not sizes.limit_to(reservation, candidate.capacity).fits(
        candidate.spare
    )


def infer_load(candidate: Candidate, demand: types.Demand) -> float:
    """Return the highest share of a resource in use with the task."""
    left = candidate.free.minus(demand)
    shares = [
        (left.processors, candidate.capacity.processors),
        (left.memory_mb, candidate.capacity.memory_mb),
        (float(left.accelerators), float(candidate.capacity.accelerators)),
    ]
    return max(
        (1.0 - free / total for free, total in shares if total > 0.0),
        default=0.0,
    )


def choose_home(
    policy: Policy,
    spec: types.TaskSpec,
    candidates: abc.Sequence[Candidate],
    spread: JobSpread,
) -> Choice:
    """Return the home of a task, or why it has none."""
    if not candidates:
        return NoCapacity('no instance is known yet')
    able = [
        candidate
        for candidate in candidates
        if spec.demand.fits(candidate.capacity)
    ]
    if not able:
        return Infeasible(explain_infeasible(spec.demand, candidates))
    ready = [candidate for candidate in able if candidate.open]
    if not ready:
        return NoCapacity(
            f'none of the {len(able)} instances that could hold it '
            'takes new work now'
        )
    free = [
        candidate for candidate in ready if spec.demand.fits(candidate.free)
    ]
    chosen = policy(spec, free, spread)
    if chosen is None:
        return NoCapacity(
            f'no room now: needs {describe(spec.demand)}; '
            f'{len(ready)} instances could hold it when empty'
        )
    return Placed(chosen.home)


def explain_infeasible(
    demand: types.Demand, candidates: abc.Sequence[Candidate]
) -> str:
    """Return which resource no known instance has enough of."""
    most = types.Demand()
    for candidate in candidates:
        most = most.elementwise_max(candidate.capacity)
    if demand.fits(most):
        return (
            f'no single instance of {len(candidates)} has {describe(demand)} '
            'together'
        )
    short = [
        f'{name} {need:g} is above the largest instance with {held:g}'
        for name, need, held in (
            ('processors', demand.processors, most.processors),
            ('memory_mb', demand.memory_mb, most.memory_mb),
            ('accelerators', demand.accelerators, most.accelerators),
        )
        if need > held
    ]
    return '; '.join(short)


def describe(demand: types.Demand) -> str:
    """Return a demand as text for a reason."""
    return (
        f'{demand.processors:g} processors, {demand.memory_mb:g} MiB, '
        f'{demand.accelerators} accelerators'
    )

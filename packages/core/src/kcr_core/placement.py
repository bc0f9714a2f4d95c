"""Choose the home of a task from the instances known to an entry.

The policy named in the settings ranks the candidates; policies register
themselves in `POLICIES`. `homes` builds the candidates and calls
`choose_home`.
"""

from collections import abc
import dataclasses

from kcr_core import registry
from kcr_core import sizes
from kcr_core import types


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """Describe one instance that may become the home of a task."""

    # Sidecar incarnation that would be the home.
    home: types.Home
    # Location of the instance.
    place: types.Place
    # Resources that the instance offers in total.
    capacity: types.Demand
    # Resources that are not reserved for other tasks.
    free: types.Demand
    # Whether the instance may get new work now.
    open: bool = True
    # Resources left at the sidecar if it reserves recent tasks at their full
    # size; None if unknown.
    spare: types.Demand | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class JobSpread:
    """Count the live tasks of one job in each failure domain."""

    # Tasks by zone.
    zones: abc.Mapping[str, int]
    # Tasks by zone and rack.
    racks: abc.Mapping[tuple[str, str], int]
    # Factor on the declared demand that a home reserves for a kind that was
    # never measured.
    size_factor: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Placed:
    """Represent the choice of a home."""

    home: types.Home


@dataclasses.dataclass(frozen=True, slots=True)
class NoCapacity:
    """Represent that the task fits some instance, but not now."""

    # Reason for the caller.
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Infeasible:
    """Represent that the task fits no known instance, even an empty one."""

    # Resource that no instance has enough of, for the caller.
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
    """Choose the first instance with enough free capacity."""
    return candidates[0] if candidates else None


@POLICIES.register('spread')
def choose_spread(
    spec: types.TaskSpec,
    candidates: abc.Sequence[Candidate],
    spread: JobSpread,
) -> Candidate | None:
    """Choose the least loaded instance; spread a job over zones and racks.

    Instances with accelerators are left to tasks that need them, which goes
    before spreading. After that, an instance is preferred whose sidecar has
    enough free capacity for its reservation.
    """
    reservation = spec.demand.scaled(max(1.0, spread.size_factor))

    def rank(candidate: Candidate) -> tuple[bool, int, int, bool, float, str]:
        zone, rack = candidate.place.zone, candidate.place.rack
        wastes_accelerators = (
            spec.demand.accelerators == 0
            and candidate.capacity.accelerators > 0
        )
        in_zone = spread.zones.get(zone, 0) if spec.job else 0
        in_rack = spread.racks.get((zone, rack), 0) if spec.job else 0
        waits = is_short(candidate, reservation)
        load = infer_load(candidate, spec.demand)
        return (
            wastes_accelerators,
            in_zone,
            in_rack,
            waits,
            load,
            candidate.place.instance,
        )

    return min(candidates, key=rank, default=None)


def is_short(candidate: Candidate, reservation: types.Demand) -> bool:
    """Return whether a task would wait for its reservation at the sidecar.

    A sidecar reserves no more than the capacity of its instance.
    """
    if candidate.spare is None:
        return False
    return not sizes.limit_to(reservation, candidate.capacity).fits(
        candidate.spare
    )


def infer_load(candidate: Candidate, demand: types.Demand) -> float:
    """Return the highest share of any resource in use with the task."""
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
    """Return the home of a task, or why none was chosen."""
    if not candidates:
        return NoCapacity('no instance is known yet')
    feasible = [
        candidate
        for candidate in candidates
        if spec.demand.fits(candidate.capacity)
    ]
    if not feasible:
        return Infeasible(explain_infeasible(spec.demand, candidates))
    accepting = [candidate for candidate in feasible if candidate.open]
    if not accepting:
        return NoCapacity(
            f'none of the {len(feasible)} instances that could hold it '
            'takes new work now'
        )
    fitting = [
        candidate
        for candidate in accepting
        if spec.demand.fits(candidate.free)
    ]
    chosen = policy(spec, fitting, spread)
    if chosen is None:
        return NoCapacity(
            f'no room now: needs {describe(spec.demand)}; '
            f'{len(accepting)} instances could hold it when empty'
        )
    return Placed(chosen.home)


def explain_infeasible(
    demand: types.Demand, candidates: abc.Sequence[Candidate]
) -> str:
    """Describe which resource no known instance has enough of."""
    most = types.Demand()
    for candidate in candidates:
        most = most.elementwise_max(candidate.capacity)
    if demand.fits(most):
        return (
            f'no single instance of {len(candidates)} has {describe(demand)} '
            'together'
        )
    short = [
        f'{name} {required:g} is above the largest instance with {largest:g}'
        for name, required, largest in (
            ('processors', demand.processors, most.processors),
            ('memory_mb', demand.memory_mb, most.memory_mb),
            ('accelerators', demand.accelerators, most.accelerators),
        )
        if required > largest
    ]
    return '; '.join(short)


def describe(demand: types.Demand) -> str:
    """Return a demand as text."""
    return (
        f'{demand.processors:g} processors, {demand.memory_mb:g} MiB, '
        f'{demand.accelerators} accelerators'
    )

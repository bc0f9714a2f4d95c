"""Choose the home of a task; policies are kept in a registry."""

from collections import abc
import dataclasses

from kcr_core import registry
from kcr_core import sizes
from kcr_core import types


@dataclasses.dataclass(frozen=True, slots=True)
class Room:
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
class NoRoom:
    """State that the task fits somewhere, but not now."""

    # Why it waits.
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class NeverRuns:
    """State that no known instance could hold the task when empty."""

    # Which resource is short.
    reason: str


Choice = Placed | NoRoom | NeverRuns
Policy = abc.Callable[
    [types.TaskSpec, abc.Sequence[Room], JobSpread], Room | None
]
POLICIES: registry.Registry[Policy] = registry.Registry('placement policy')


@POLICIES.register('first_fit')
def choose_first(
    spec: types.TaskSpec, rooms: abc.Sequence[Room], spread: JobSpread
) -> Room | None:
    """Choose the first instance with room."""
    return rooms[0] if rooms else None


@POLICIES.register('spread')
def choose_spread(
    spec: types.TaskSpec, rooms: abc.Sequence[Room], spread: JobSpread
) -> Room | None:
    """Choose the least loaded instance; spread a job over racks and zones.

    Instances with accelerators are kept for tasks that need them. After that,
    an instance is preferred whose sidecar has room for what it will reserve.
    """
    wanted = spec.demand.scaled(max(1.0, spread.size_factor))

    def rank(room: Room) -> tuple[bool, int, int, bool, float, str]:
        zone, rack = room.place.zone, room.place.rack
        wasted = (
            spec.demand.accelerators == 0 and room.capacity.accelerators > 0
        )
        in_zone = spread.zones.get(zone, 0) if spec.job else 0
        in_rack = spread.racks.get((zone, rack), 0) if spec.job else 0
        waits = is_short(room, wanted)
        load = infer_load(room, spec.demand)
        return wasted, in_zone, in_rack, waits, load, room.place.instance

    return min(rooms, key=rank, default=None)


def is_short(room: Room, wanted: types.Demand) -> bool:
    """Tell whether the sidecar would let a task wait for its reservation.

    It reserves no more than the instance has.
    """
    if room.spare is None:
        return False
    return not sizes.limit_to(wanted, room.capacity).fits(room.spare)


def infer_load(room: Room, demand: types.Demand) -> float:
    """Return the highest share of a resource in use with the task."""
    left = room.free.minus(demand)
    shares = [
        (left.processors, room.capacity.processors),
        (left.memory_mb, room.capacity.memory_mb),
        (float(left.accelerators), float(room.capacity.accelerators)),
    ]
    return max(
        (1.0 - free / total for free, total in shares if total > 0.0),
        default=0.0,
    )


def choose_home(
    policy: Policy,
    spec: types.TaskSpec,
    rooms: abc.Sequence[Room],
    spread: JobSpread,
) -> Choice:
    """Return the home of a task, or why it has none."""
    if not rooms:
        return NoRoom('no instance is known yet')
    able = [room for room in rooms if spec.demand.fits(room.capacity)]
    if not able:
        return NeverRuns(explain_never(spec.demand, rooms))
    ready = [room for room in able if room.open]
    if not ready:
        return NoRoom(
            f'none of the {len(able)} instances that could hold it '
            'takes new work now'
        )
    free = [room for room in ready if spec.demand.fits(room.free)]
    chosen = policy(spec, free, spread)
    if chosen is None:
        return NoRoom(
            f'no room now: needs {describe(spec.demand)}; '
            f'{len(ready)} instances could hold it when empty'
        )
    return Placed(chosen.home)


def explain_never(demand: types.Demand, rooms: abc.Sequence[Room]) -> str:
    """Return which resource no known instance has enough of."""
    most = types.Demand()
    for room in rooms:
        most = most.at_least(room.capacity)
    if demand.fits(most):
        return (
            f'no single instance of {len(rooms)} has {describe(demand)} '
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

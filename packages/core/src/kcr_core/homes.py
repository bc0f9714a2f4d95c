"""Track the instances that can be homes and what is promised to them."""

from collections import abc
import dataclasses
import math
import random

from kcr_core import fencing
from kcr_core import health
from kcr_core import ledger
from kcr_core import placement
from kcr_core import types

# Time in which a heartbeat shows a task that was placed, in seconds.
RECENT_S = 3.0
# Instances of which a policy is given a sample first. A choice among 9,100
# took 27 ms, which is too long for each task of a wave.
SAMPLE = 128


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """State what one connected sidecar last said of its instance."""

    # The sidecar as a home.
    home: types.Home
    # Where the instance is.
    place: types.Place
    # What the instance offers in all.
    capacity: types.Demand
    # Resources that are not reserved; none before the first heartbeat.
    free: types.Demand | None
    # Whether the instance may get new work.
    open: bool
    # Key and epoch of the tasks that ran when the sidecar connected.
    running: frozenset[tuple[str, int]]


@dataclasses.dataclass(frozen=True, slots=True)
class _Load:
    declared: types.Demand
    recent: types.Demand
    until: float


class HomeTable:
    """Decide which instances have room, from offers and the ledger."""

    def __init__(self, state: ledger.Ledger, rng: random.Random) -> None:
        # The ledger of the region.
        self.state = state
        # Source of the samples of instances.
        self.rng = rng
        # Newest offer of each instance.
        self.offers: dict[str, Offer] = {}
        # Factor on the declared size of kinds that were never measured.
        self.size_factor = types.ControlSettings().unknown_size_factor
        # Health of the workers, as the results in the log tell it.
        self.health = health.Health()
        # Demand of tasks whose append is under way, by key.
        self._reserved: dict[str, tuple[str, types.Demand]] = {}
        self._candidates: dict[str, placement.Candidate] = {}
        # Instances whose room must be computed again.
        self._stale: set[str] = set()
        # Declared and recent demand of the tasks of each instance, and the
        # time at which the recent part changes.
        self._load: dict[str, _Load] = {}

    def update_offer(self, offer: Offer) -> None:
        """Take a newer offer of an instance."""
        instance = offer.home.instance
        held = self.offers.get(instance)
        self.offers[instance] = offer
        if held is None or _capacity_part(held) != _capacity_part(offer):
            self._stale.add(instance)

    def forget(self, instance: str) -> None:
        """Drop an instance that will not come back."""
        self.offers.pop(instance, None)
        self._candidates.pop(instance, None)
        self._load.pop(instance, None)
        self.health.remove_host(instance)

    def present(self, instance: str) -> fencing.ConnectedSidecar | None:
        """Return the incarnation that an instance is known to have."""
        held = self.offers.get(instance)
        return (
            fencing.ConnectedSidecar(held.home, held.running) if held else None
        )

    def reserve(self, key: str, instance: str, demand: types.Demand) -> None:
        """Keep room for a task until its append has ended."""
        self._reserved[key] = (instance, demand)
        self._stale.add(instance)

    def release(self, key: str) -> None:
        """Give up the room that was kept for an append."""
        held = self._reserved.pop(key, None)
        if held is not None:
            self._stale.add(held[0])

    def apply_change(self, change: ledger.Change) -> None:
        """Note a change of the ledger."""
        task = self.state.live.get(change.key)
        for home in (change.before, task.home if task else None):
            if home is not None:
                self._load.pop(home.instance, None)
                self._stale.add(home.instance)

    def record_result(self, change: ledger.Change, now: float) -> None:
        """Note a result that the log tells of.

        The health of the workers is local and only guides placement, so
        entries may differ in it.
        """
        if change.before is None:
            return
        name, fleet = change.before.instance, len(self.offers)
        if change.outcome == 'failed':
            self.health.record_failure(
                name, change.key, 'task failed', fleet, now
            )
        elif change.outcome == 'done':
            self.health.record_success(name, change.key, now)

    def set_size_factor(self, factor: float) -> None:
        """Follow the settings in force."""
        if factor != self.size_factor:
            self.size_factor = factor
            self._stale.update(self.offers)

    def reset(self) -> None:
        """Drop what was computed from the ledger before it was reset."""
        self._load.clear()
        self._stale.update(self.offers)

    def list_candidates(self, now: float) -> list[placement.Candidate]:
        """Return the room of every known instance."""
        stale, self._stale = self._stale, set()
        # In order of names, so that the order of the rooms can be repeated.
        for instance in sorted(stale):
            self._refresh(instance, now)
        return list(self._candidates.values())

    def infer_job_spread(self, job: str) -> placement.JobSpread:
        """Return where the live tasks of a job are."""
        zones: dict[str, int] = {}
        racks: dict[tuple[str, str], int] = {}
        for key in self.state.keys_by_job.get(job, {}):
            home = self.state.live[key].home
            held = self.offers.get(home.instance) if home else None
            if held is not None:
                zone, rack = held.place.zone, held.place.rack
                zones[zone] = zones.get(zone, 0) + 1
                racks[zone, rack] = racks.get((zone, rack), 0) + 1
        return placement.JobSpread(zones, racks, self.size_factor)

    def choose(
        self,
        policy: placement.Policy,
        spec: types.TaskSpec,
        now: float,
        avoid: abc.Collection[str] = (),
    ) -> placement.Choice:
        """Return the home of a task, or why it has none."""
        rooms = self.list_candidates(now)
        task = self.state.live.get(spec.key)
        failed_on = task.failed_on if task is not None else ()
        closed = self._list_closed(spec, now).union(avoid, failed_on)
        spread = self.infer_job_spread(spec.job)
        choice: placement.Choice | None = None
        if len(rooms) > 2 * SAMPLE:
            some = close_candidates(self.rng.sample(rooms, SAMPLE), closed)
            choice = placement.choose_home(policy, spec, some, spread)
        if not isinstance(choice, placement.Placed):
            rooms = close_candidates(rooms, closed)
            choice = placement.choose_home(policy, spec, rooms, spread)
        if isinstance(choice, placement.Placed):
            if choice.home.instance in self.health.quarantined:
                self.health.probe_sent(choice.home.instance, now)
        elif isinstance(choice, placement.NoCapacity):
            choice = self._explain_closed(choice, failed_on)
        return choice

    def _list_closed(self, spec: types.TaskSpec, now: float) -> set[str]:
        """Return the workers in quarantine that must not get the task.

        A probe may fail, so only a batch task that may run again is one.
        """
        if spec.urgent or not spec.restartable:
            return set(self.health.quarantined)
        return {
            name
            for name in self.health.quarantined
            if self.health.access(name, now) == 'closed'
        }

    def _explain_closed(
        self, choice: placement.NoCapacity, failed_on: tuple[str, ...]
    ) -> placement.NoCapacity:
        reason = choice.reason
        if failed_on:
            reason += f'; not on {", ".join(failed_on)}, where it failed'
        if self.health.quarantined:
            count = len(self.health.quarantined)
            reason += f'; {count} workers in quarantine for failing tasks'
        return placement.NoCapacity(reason)

    def _refresh(self, instance: str, now: float) -> None:
        offer = self.offers.get(instance)
        if offer is None:
            return
        load = self._load.get(instance)
        if load is None or now >= load.until:
            load = self._infer_load(instance, now)
            self._load[instance] = load
        declared, recent = load.declared, load.recent
        if load.until != math.inf:
            self._stale.add(instance)
        for held, demand in self._reserved.values():
            if held == instance:
                declared = declared.plus(demand)
                recent = recent.plus(demand)
        free = offer.capacity.minus(declared)
        spare = None
        if offer.free is not None:
            free = at_most(free, offer.free.minus(recent))
            factor = max(1.0, self.size_factor)
            spare = offer.free.minus(recent.scaled(factor))
        fenced = (instance, offer.home.incarnation) in self.state.fences
        self._candidates[instance] = placement.Candidate(
            home=offer.home,
            place=offer.place,
            capacity=offer.capacity,
            free=free,
            open=offer.open and not fenced,
            spare=spare,
        )

    def _infer_load(self, instance: str, now: float) -> '_Load':
        declared, recent = types.Demand(), types.Demand()
        until = math.inf
        for key in self.state.keys_by_instance.get(instance, {}):
            task = self.state.live[key]
            declared = declared.plus(task.spec.demand)
            if now - task.since < RECENT_S:
                recent = recent.plus(task.spec.demand)
                until = min(until, task.since + RECENT_S)
        return _Load(declared, recent, until)


def _capacity_part(offer: Offer) -> tuple[object, ...]:
    return offer.home, offer.capacity, offer.free, offer.open


def close_candidates(
    rooms: list[placement.Candidate], closed: abc.Collection[str]
) -> list[placement.Candidate]:
    """Return the rooms with the named instances closed to new work."""
    if not closed:
        return rooms
    return [
        dataclasses.replace(room, open=False)
        if room.home.instance in closed
        else room
        for room in rooms
    ]


def at_most(first: types.Demand, second: types.Demand) -> types.Demand:
    """Return the smaller quantity of each resource."""
    return types.Demand(
        min(first.processors, second.processors),
        min(first.memory_mb, second.memory_mb),
        min(first.accelerators, second.accelerators),
    )

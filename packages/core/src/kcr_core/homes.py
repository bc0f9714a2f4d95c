"""Track the instances that can be homes, and choose one for a task.

The home of a task is the instance and sidecar incarnation assigned to run it.
The inputs are the offers of connected sidecars, the changes of the ledger and
the demand reserved for appends in flight. The entry owns the table and feeds
it; `task_moves` and the submission of tasks choose from it.
"""

from collections import abc
import dataclasses
import math
import random

from kcr_core import fencing
from kcr_core import health
from kcr_core import ledger
from kcr_core import placement
from kcr_core import types

# Time until heartbeats include a task that was placed, in seconds.
REPORT_DELAY_S = 3.0
# Size of the random sample that a policy gets first. A choice among 9,100
# instances takes 27 ms, too long when many tasks are placed at once.
SAMPLE_SIZE = 128


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """Describe an instance as last reported by its connected sidecar."""

    # Instance and incarnation of the sidecar.
    home: types.Home
    # Location of the instance.
    place: types.Place
    # Total capacity of the instance.
    capacity: types.Demand
    # Unreserved resources; none before the first heartbeat.
    free: types.Demand | None
    # Whether the instance accepts new work.
    open: bool
    # Keys and epochs of the tasks that ran when the sidecar connected.
    running: frozenset[tuple[str, int]]


@dataclasses.dataclass(frozen=True, slots=True)
class _Load:
    # Demand of all tasks.
    declared: types.Demand
    # Demand of the tasks that the last heartbeat may not include.
    recent: types.Demand
    # Monotonic time at which `recent` changes; infinite if it never does.
    until: float


class HomeTable:
    """Compute the free capacity of instances and choose homes for tasks."""

    def __init__(self, state: ledger.Ledger, rng: random.Random) -> None:
        # The ledger of the region.
        self.state = state
        # Random generator for the samples of instances.
        self.rng = rng
        # Newest offer of each instance.
        self.offers: dict[str, Offer] = {}
        # Factor on the declared size of kinds without measurements.
        self.size_factor = types.ControlSettings().unknown_size_factor
        # Health of the workers, from the results in the log.
        self.health = health.Health()
        # Instance and demand of tasks whose append is in flight, by key.
        self._reserved: dict[str, tuple[str, types.Demand]] = {}
        self._candidates: dict[str, placement.Candidate] = {}
        # Instances whose candidate must be computed again.
        self._outdated: set[str] = set()
        # Load of each instance by its live tasks.
        self._load: dict[str, _Load] = {}

    def update_offer(self, offer: Offer) -> None:
        """Store a newer offer of an instance."""
        instance = offer.home.instance
        known = self.offers.get(instance)
        self.offers[instance] = offer
        if known is None or _capacity_part(known) != _capacity_part(offer):
            self._outdated.add(instance)

    def forget(self, instance: str) -> None:
        """Remove an instance that will not return."""
        self.offers.pop(instance, None)
        self._candidates.pop(instance, None)
        self._load.pop(instance, None)
        self.health.remove_host(instance)

    def last_sidecar(self, instance: str) -> fencing.ConnectedSidecar | None:
        """Return the newest known incarnation of an instance, if any."""
        known = self.offers.get(instance)
        return (
            fencing.ConnectedSidecar(known.home, known.running)
            if known
            else None
        )

    def reserve(self, key: str, instance: str, demand: types.Demand) -> None:
        """Reserve capacity for a task until its append has ended."""
        self._reserved[key] = (instance, demand)
        self._outdated.add(instance)

    def release(self, key: str) -> None:
        """Release the capacity that was reserved for an append."""
        reserved = self._reserved.pop(key, None)
        if reserved is not None:
            self._outdated.add(reserved[0])

    def apply_change(self, change: ledger.Change) -> None:
        """Mark the instances that a change of the ledger affects."""
        task = self.state.live.get(change.key)
        for home in (change.before, task.home if task else None):
            if home is not None:
                self._load.pop(home.instance, None)
                self._outdated.add(home.instance)

    def record_result(self, change: ledger.Change, now: float) -> None:
        """Update the health of a worker from a result in the log.

        The health is local to the entry and only guides placement, so
        entries need not agree on it.
        """
        if change.before is None:
            return
        name, host_count = change.before.instance, len(self.offers)
        if change.outcome == 'failed':
            self.health.record_failure(
                name, change.key, 'task failed', host_count, now
            )
        elif change.outcome == 'done':
            self.health.record_success(name, change.key, now)

    def set_size_factor(self, factor: float) -> None:
        """Set the factor from the settings in force."""
        if factor != self.size_factor:
            self.size_factor = factor
            self._outdated.update(self.offers)

    def reset(self) -> None:
        """Discard what was computed from a ledger that was reset."""
        self._load.clear()
        self._outdated.update(self.offers)

    def list_candidates(self, now: float) -> list[placement.Candidate]:
        """Return each known instance with its free capacity."""
        outdated, self._outdated = self._outdated, set()
        # Sorted by name, so that the order of the candidates is reproducible.
        for instance in sorted(outdated):
            self._refresh(instance, now)
        return list(self._candidates.values())

    def infer_job_spread(self, job: str) -> placement.JobSpread:
        """Return the live tasks of a job by zone and rack."""
        zones: dict[str, int] = {}
        racks: dict[tuple[str, str], int] = {}
        for key in self.state.keys_by_job.get(job, {}):
            home = self.state.live[key].home
            known = self.offers.get(home.instance) if home else None
            if known is not None:
                zone, rack = known.place.zone, known.place.rack
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
        """Return the home for a task, or why there is none."""
        candidates = self.list_candidates(now)
        task = self.state.live.get(spec.key)
        failed_on = task.failed_on if task is not None else ()
        closed = self._list_closed(spec, now).union(avoid, failed_on)
        spread = self.infer_job_spread(spec.job)
        choice: placement.Choice | None = None
        if len(candidates) > 2 * SAMPLE_SIZE:
            sample = close_candidates(
                self.rng.sample(candidates, SAMPLE_SIZE), closed
            )
            choice = placement.choose_home(policy, spec, sample, spread)
        if not isinstance(choice, placement.Placed):
            candidates = close_candidates(candidates, closed)
            choice = placement.choose_home(policy, spec, candidates, spread)
        if isinstance(choice, placement.Placed):
            if choice.home.instance in self.health.quarantined:
                self.health.probe_sent(choice.home.instance, now)
        elif isinstance(choice, placement.NoCapacity):
            choice = self._explain_closed(choice, failed_on)
        return choice

    def _list_closed(self, spec: types.TaskSpec, now: float) -> set[str]:
        """Return the workers in quarantine that are closed to the task.

        A probe of a worker may fail, so only a restartable batch task is
        used as one.
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
            self._outdated.add(instance)
        for name, demand in self._reserved.values():
            if name == instance:
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
            if now - task.since < REPORT_DELAY_S:
                recent = recent.plus(task.spec.demand)
                until = min(until, task.since + REPORT_DELAY_S)
        return _Load(declared, recent, until)


def _capacity_part(offer: Offer) -> tuple[object, ...]:
    return offer.home, offer.capacity, offer.free, offer.open


def close_candidates(
    candidates: list[placement.Candidate], closed: abc.Collection[str]
) -> list[placement.Candidate]:
    """Return the candidates, with the named instances closed to new work."""
    if not closed:
        return candidates
    return [
        dataclasses.replace(candidate, open=False)
        if candidate.home.instance in closed
        else candidate
        for candidate in candidates
    ]


def at_most(first: types.Demand, second: types.Demand) -> types.Demand:
    """Return the smaller quantity of each resource."""
    return types.Demand(
        min(first.processors, second.processors),
        min(first.memory_mb, second.memory_mb),
        min(first.accelerators, second.accelerators),
    )

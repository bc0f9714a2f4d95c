"""Decide how tasks are held back when they slow the service beside them.

A policy sees lagging measurements of the service and the tasks that run. It
throttles first, then checkpoints and evicts. An act shows in the measurements
only after a time; until then the policy takes its effect as given and does
not act again.
"""

import collections
from collections import abc
import dataclasses
import typing

from kcr_core import interference_model
from kcr_core import registry
from kcr_core import types

# Time from an act until the measurements can show it, in seconds.
SETTLING_S = 4.0
# Shares of its resources that a throttled task may be given.
SHARES = (1.0, 0.5, 0.25)
# Share of the target below which tasks are given back their resources.
RELAX_BELOW = 0.7
# Seconds in the window that bounds the evictions.
WINDOW_S = 60.0
# Time that a checkpoint and eviction may take before the task is stopped.
STOP_AFTER_S = 20.0
# Loss of one eviction, in units of a lost share of all batch work: the work
# since the checkpoint and the restart elsewhere.
EVICTION_COST = 0.3
# Gain below which nothing is done, so that noise causes no acts.
MIN_GAIN = 0.02
# Units of cost per share of the target by which the service exceeds it.
EXCESS_COST = 1.5
# Share of the target that a plan aims at, as measurements are noisy; at 0.9
# the service was above its target a quarter of the time with equal weights.
AIM = 0.8
# Part of the model's error that a plan corrects by the measurement.
TRUST = 0.5
# Acts that follow from one measurement.
MAX_ACTS = 8
# Times at which the running tasks are remembered, one per measurement.
MAX_HISTORY = 64
# Tasks that a policy looks at; more cannot run on one instance.
MAX_TASKS = 512


@dataclasses.dataclass(frozen=True, slots=True)
class Task:
    """State what a policy knows of one running task."""

    # Key of the task.
    task: str
    # Kind of work.
    kind: str
    # Processors that the task was given.
    processors: float
    # Share of its resources that it may use now.
    share: float = 1.0
    # Whether it goes before all batch work; it is never held back.
    urgent: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Measurement:
    """Hold one lagging measurement of the service."""

    # Monotonic time at which the measured window began.
    since: float
    # Tail latency (p99) of the service in ms; 0 when it is idle.
    p99_ms: float
    # Share of the slots in use.
    load: float


@dataclasses.dataclass(frozen=True, slots=True)
class SetShare:
    """Give a task a share of its resources."""

    # Key of the task.
    task: str
    # The share; 1 ends the throttling.
    share: float


@dataclasses.dataclass(frozen=True, slots=True)
class Evict:
    """Checkpoint and evict a task, or stop it if that did not end it."""

    # Key of the task.
    task: str
    # Why.
    reason: str
    # Whether it is stopped without a checkpoint.
    stop: bool = False


Action = SetShare | Evict


class Governor:
    """Own the acts under way and the bound of the evictions."""

    def __init__(self, policy: str) -> None:
        # Name of the policy.
        self.policy = policy
        # Learnt effect of each kind on the service.
        self.model = interference_model.Model()
        # Time of the last act; none before the first.
        self.acted_at: float | None = None
        # Times of the evictions within the window.
        self.evicted_at: list[float] = []
        # Times at which tasks were told to go that still run.
        self.leaving: dict[str, float] = {}
        # Measurements that were not used because of an act under way.
        self.held_back = 0
        # Processors in use by kind at recent times, oldest first.
        self._history: collections.deque[tuple[float, dict[str, float]]] = (
            collections.deque(maxlen=MAX_HISTORY)
        )

    def decide(
        self,
        measured: Measurement,
        tasks: abc.Sequence[Task],
        settings: types.ControlSettings,
        now: float,
    ) -> list[Action]:
        """Take a measurement and return the acts that follow from it."""
        self.update_running(tasks)
        self._history.append((now, infer_amounts(tasks[:MAX_TASKS])))
        # A task that was told to go counts as gone in the plan.
        tasks = [t for t in tasks[:MAX_TASKS] if t.task not in self.leaving]
        stops = self._stop_late(now)
        if stops:
            return stops
        if measured.p99_ms <= 0.0:
            # Nothing can be learnt without calls, and nothing is slowed.
            return [SetShare(t.task, 1.0) for t in tasks if t.share < 1.0]
        if self._is_settling(measured, now):
            self.held_back += 1
            return []
        amounts = self._amounts_at(measured.since)
        self.model.learn(
            measured.p99_ms, measured.load, amounts, settings.service_p99_ms
        )
        shown = self.model.predict(measured.load, amounts)
        change = self.model.predict(measured.load, infer_amounts(tasks))
        # Brings the measurement forward to the tasks that run now.
        current = measured.p99_ms + change - shown
        measured = dataclasses.replace(measured, p99_ms=max(0.0, current))
        policy = POLICIES.get(self.policy)
        room = self._eviction_room(settings, now)
        acts = policy(self.model, measured, tasks, settings, room)
        removed = [act.task for act in acts if isinstance(act, Evict)]
        assert len(removed) <= room, 'evictions above the bound'
        self.evicted_at += [now] * len(removed)
        self.leaving.update(dict.fromkeys(removed, now))
        if acts:
            self.acted_at = now
        return acts

    def update_running(self, tasks: abc.Sequence[Task]) -> None:
        """Forget the tasks that have ended since they were told to go.

        Called for every change, because an evicted task may come back under a
        new epoch before the next measurement.
        """
        running = {task.task for task in tasks}
        self.leaving = {n: t for n, t in self.leaving.items() if n in running}

    def _stop_late(self, now: float) -> list[Action]:
        """Stop tasks whose eviction has not ended in time."""
        late = [n for n, t in self.leaving.items() if now - t >= STOP_AFTER_S]
        self.leaving.update(dict.fromkeys(late, now))
        reason = 'did not end after its eviction'
        return [Evict(name, reason, stop=True) for name in late]

    def _amounts_at(self, since: float) -> dict[str, float]:
        """Return the processors in use when a window began."""
        for at, amounts in self._history:
            if at >= since:
                return amounts
        return self._history[-1][1]

    def _is_settling(self, measured: Measurement, now: float) -> bool:
        if self.acted_at is None:
            return False
        # A window that began before the act mixes both states.
        shown_from = self.acted_at + SETTLING_S
        return now < shown_from or measured.since < self.acted_at

    def _eviction_room(
        self, settings: types.ControlSettings, now: float
    ) -> int:
        self.evicted_at = [t for t in self.evicted_at if now - t < WINDOW_S]
        return max(
            0, int(settings.evictions_per_minute) - len(self.evicted_at)
        )


Policy = abc.Callable[
    [
        interference_model.Model,
        Measurement,
        abc.Sequence[Task],
        types.ControlSettings,
        int,
    ],
    list[Action],
]
POLICIES: registry.Registry[Policy] = registry.Registry('interference policy')


@POLICIES.register('none')
def choose_nothing(
    model: interference_model.Model,
    measured: Measurement,
    tasks: abc.Sequence[Task],
    settings: types.ControlSettings,
    room: int,
) -> list[Action]:
    """Never act."""
    return []


@POLICIES.register('threshold')
def choose_by_threshold(
    model: interference_model.Model,
    measured: Measurement,
    tasks: abc.Sequence[Task],
    settings: types.ControlSettings,
    room: int,
) -> list[Action]:
    """Throttle the largest task above the target, then evict it."""
    batch = [t for t in tasks if not t.urgent]
    largest = sorted(batch, key=lambda t: (-t.processors * t.share, t.task))
    if measured.p99_ms > settings.service_p99_ms:
        for task in largest:
            if task.share > SHARES[-1]:
                return [SetShare(task.task, next_share(task.share))]
        if largest and room > 0:
            return [Evict(largest[0].task, 'service is above its target')]
        return []
    if measured.p99_ms < RELAX_BELOW * settings.service_p99_ms:
        for task in reversed(largest):
            if task.share < 1.0:
                return [SetShare(task.task, min(1.0, task.share * 2))]
    return []


@POLICIES.register('pairwise')
def choose_by_pair(
    model: interference_model.Model,
    measured: Measurement,
    tasks: abc.Sequence[Task],
    settings: types.ControlSettings,
    room: int,
) -> list[Action]:
    """Choose the cheapest acts by the learnt effect of each kind."""
    batch = [t for t in tasks if not t.urgent]
    plan = Plan(model, measured, batch, settings)
    for _ in range(MAX_ACTS):
        if not plan.improve(room):
            break
    return plan.acts()


class Plan:
    """Search the shares of tasks that cost least; one step at a time."""

    def __init__(
        self,
        model: interference_model.Model,
        measured: Measurement,
        batch: abc.Sequence[Task],
        settings: types.ControlSettings,
    ) -> None:
        # Planned share by task; 0 for an eviction.
        self.shares = {task.task: task.share for task in batch}
        self._batch = batch
        self._weights = settings.weights
        self._target = max(1.0, AIM * settings.service_p99_ms)
        self._whole = sum(t.processors for t in batch) or 1.0
        self._lost = sum(t.processors * (1 - t.share) for t in batch)
        shown = model.predict(measured.load, infer_amounts(batch))
        # The prediction is shifted to the measurement by a part of its error.
        self._p99_ms = shown + TRUST * (measured.p99_ms - shown)
        self._effects = {
            t.task: model.effect(t.kind, measured.load) * t.processors
            for t in batch
        }

    def improve(self, room: int) -> bool:
        """Take the step with the largest gain; return False without one."""
        left = room - sum(share == 0.0 for share in self.shares.values())
        current = self._cost(self._p99_ms, self._lost)
        best: tuple[float, str, float] | None = None
        for task in self._batch:
            for share in self._options(task, left):
                cost = self._cost(*self._after(task, share))
                if share == 0.0:
                    cost += self._weights.evictions * EVICTION_COST
                if best is None or (cost, task.task) < best[:2]:
                    best = (cost, task.task, share)
        if best is None or best[0] >= current - MIN_GAIN:
            return False
        chosen = next(t for t in self._batch if t.task == best[1])
        self._p99_ms, self._lost = self._after(chosen, best[2])
        self.shares[chosen.task] = best[2]
        return True

    def acts(self) -> list[Action]:
        """Return the acts that lead to the planned shares."""
        acts: list[Action] = []
        for task in self._batch:
            share = self.shares[task.task]
            if share == 0.0:
                reason = 'slows the service more than its work is worth'
                acts.append(Evict(task.task, reason))
            elif share != task.share:
                acts.append(SetShare(task.task, share))
        return acts

    def _options(self, task: Task, left: int) -> list[float]:
        share = self.shares[task.task]
        if share == 0.0:
            return []
        options = [s for s in SHARES if s != share]
        # Eviction comes only after the strongest throttle has shown.
        if left > 0 and task.share <= SHARES[-1]:
            options.append(0.0)
        return options

    def _after(self, task: Task, share: float) -> tuple[float, float]:
        change = share - self.shares[task.task]
        p99_ms = self._p99_ms + self._effects[task.task] * change
        return p99_ms, self._lost - task.processors * change

    def _cost(self, p99_ms: float, lost: float) -> float:
        excess = max(0.0, p99_ms / self._target - 1.0)
        return (
            self._weights.tail_latency * EXCESS_COST * excess
            + self._weights.throughput * lost / self._whole
        )


def next_share(share: float) -> float:
    """Return the next smaller share."""
    return next((s for s in SHARES if s < share), SHARES[-1])


def infer_amounts(tasks: abc.Sequence[Task]) -> dict[str, float]:
    """Return the processors that each kind may use now."""
    amounts: dict[str, float] = {}
    for task in tasks:
        used = task.processors * task.share
        amounts[task.kind] = amounts.get(task.kind, 0.0) + used
    return amounts


def describe(governor: Governor) -> dict[str, typing.Any]:
    """Return the state of a governor as plain data."""
    return {
        'policy': governor.policy,
        'held_back': governor.held_back,
        'leaving': sorted(governor.leaving),
        'evictions_in_window': len(governor.evicted_at),
        'base_ms': round(governor.model.base_ms, 3),
        'ms_per_processor': {
            kind: round(effect, 4)
            for kind, effect in sorted(governor.model.effects.items())
        },
    }

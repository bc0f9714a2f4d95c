"""Decide which tasks to throttle or evict when they slow the service.

The sidecar's task for interference passes each measurement of the service and
the running tasks to a `Governor`, which returns actions. A policy throttles
tasks first, then checkpoints and evicts them. An action shows in the
measurements only after a delay; until then the governor assumes its effect
and takes no further one.
"""

import collections
from collections import abc
import dataclasses
import typing

from kcr_core import interference_model
from kcr_core import registry
from kcr_core import types

# Time from an action until measurements can show its effect, in seconds.
SETTLING_S = 4.0
# Shares of its resources that a task may get.
SHARES = (1.0, 0.5, 0.25)
# Share of the latency target below which throttled tasks get a larger share.
RELAX_SHARE = 0.7
# Length of the window in which evictions are limited, in seconds.
WINDOW_S = 60.0
# Timeout of a checkpoint and eviction, in seconds; then the task is stopped.
EVICTION_TIMEOUT_S = 20.0
# Cost of one eviction, as a lost share of all batch work: the work since the
# last checkpoint and the restart on another instance.
EVICTION_COST = 0.3
# Minimum gain in cost of a step, so that noise causes no actions.
MIN_GAIN = 0.02
# Cost per share of the target by which the service exceeds it.
EXCESS_COST = 1.5
# Share of the target that a plan aims at, because measurements are noisy. With
# 0.9 and equal weights, the service exceeded its target a quarter of the time.
TARGET_SHARE = 0.8
# Share of the model's error that a plan corrects by the measurement.
CORRECTION_SHARE = 0.5
# Maximum number of steps that a plan takes for one measurement.
MAX_STEPS = 8
# Maximum number of measurements whose running tasks are stored.
MAX_HISTORY = 64
# Maximum number of tasks that a policy considers; no instance can run more.
MAX_TASKS = 512


@dataclasses.dataclass(frozen=True, slots=True)
class Task:
    """Describe one running task to a policy."""

    # Key of the task.
    task: str
    # Kind of work, for which the effect on the service is learned.
    kind: str
    # Processors that are reserved for the task.
    processors: float
    # Share of its resources that it may use now; 1 is not throttled.
    share: float = 1.0
    # Whether it precedes all batch work; it is never throttled or evicted.
    urgent: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Measurement:
    """Represent one measurement of the service, which lags behind."""

    # Monotonic time at which the measured window began.
    since: float
    # Tail latency (p99) of the service in ms; 0 if it is idle.
    p99_ms: float
    # Share of the request slots in use.
    load: float


@dataclasses.dataclass(frozen=True, slots=True)
class SetShare:
    """Limit a task to a share of its resources."""

    # Key of the task.
    task: str
    # 1 ends the throttling.
    share: float


@dataclasses.dataclass(frozen=True, slots=True)
class Evict:
    """Checkpoint and evict a task, or stop it if the eviction timed out."""

    # Key of the task.
    task: str
    # Reason for the log and the caller.
    reason: str
    # Whether to stop it without a checkpoint.
    stop: bool = False


Action = SetShare | Evict


class Governor:
    """Choose actions by a policy and limit their rate.

    One governor belongs to one instance.
    """

    def __init__(self, policy: str) -> None:
        # Name of the policy in `POLICIES`.
        self.policy = policy
        # Learned effect of each kind of task on the service.
        self.model = interference_model.Model()
        # Time of the last action; None before the first.
        self.last_action_at: float | None = None
        # Times of the evictions in the last WINDOW_S.
        self.evicted_at: list[float] = []
        # Time of the eviction of each task that still runs.
        self.evicting: dict[str, float] = {}
        # Measurements that were ignored because the last action could not show
        # in them yet.
        self.ignored_measurements = 0
        # Processors in use by kind at recent measurements, oldest first.
        self._history: collections.deque[tuple[float, dict[str, float]]] = (
            collections.deque(maxlen=MAX_HISTORY)
        )

    def decide(
        self,
        measurement: Measurement,
        tasks: abc.Sequence[Task],
        settings: types.ControlSettings,
        now: float,
    ) -> list[Action]:
        """Return the actions that follow from a measurement."""
        self.update_running(tasks)
        self._history.append((now, infer_processors(tasks[:MAX_TASKS])))
        # A task that is being evicted counts as removed.
        tasks = [t for t in tasks[:MAX_TASKS] if t.task not in self.evicting]
        stops = self._stop_late(now)
        if stops:
            return stops
        if measurement.p99_ms <= 0.0:
            # The model cannot learn from an idle service, which no task slows.
            return [SetShare(t.task, 1.0) for t in tasks if t.share < 1.0]
        if self._is_settling(measurement, now):
            self.ignored_measurements += 1
            return []
        processors = self._processors_at(measurement.since)
        self.model.learn(
            measurement.p99_ms,
            measurement.load,
            processors,
            settings.service_p99_ms,
        )
        predicted = self.model.predict(measurement.load, processors)
        predicted_now = self.model.predict(
            measurement.load, infer_processors(tasks)
        )
        # Adjusts the measurement to the tasks that run now.
        current = measurement.p99_ms + predicted_now - predicted
        measurement = dataclasses.replace(
            measurement, p99_ms=max(0.0, current)
        )
        policy = POLICIES.get(self.policy)
        evictions_left = self._count_evictions_left(settings, now)
        actions = policy(
            self.model, measurement, tasks, settings, evictions_left
        )
        removed = [
            action.task for action in actions if isinstance(action, Evict)
        ]
        assert len(removed) <= evictions_left, (
            'more evictions than allowed per minute'
        )
        self.evicted_at += [now] * len(removed)
        self.evicting.update(dict.fromkeys(removed, now))
        if actions:
            self.last_action_at = now
        return actions

    def update_running(self, tasks: abc.Sequence[Task]) -> None:
        """Remove tasks that have ended from those that are being evicted.

        Called on every change, because an evicted task may start again under
        a new epoch before the next measurement.
        """
        running = {task.task for task in tasks}
        self.evicting = {
            n: t for n, t in self.evicting.items() if n in running
        }

    def _stop_late(self, now: float) -> list[Action]:
        """Stop tasks whose eviction timed out."""
        late = [
            n
            for n, t in self.evicting.items()
            if now - t >= EVICTION_TIMEOUT_S
        ]
        self.evicting.update(dict.fromkeys(late, now))
        reason = 'did not end after its eviction'
        return [Evict(name, reason, stop=True) for name in late]

    def _processors_at(self, since: float) -> dict[str, float]:
        """Return the processors in use when a measured window began."""
        for at, processors in self._history:
            if at >= since:
                return processors
        return self._history[-1][1]

    def _is_settling(self, measurement: Measurement, now: float) -> bool:
        if self.last_action_at is None:
            return False
        # A window that began before the action mixes both states.
        settled_at = self.last_action_at + SETTLING_S
        return now < settled_at or measurement.since < self.last_action_at

    def _count_evictions_left(
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
    measurement: Measurement,
    tasks: abc.Sequence[Task],
    settings: types.ControlSettings,
    evictions_left: int,
) -> list[Action]:
    """Return no actions."""
    return []


@POLICIES.register('threshold')
def choose_by_threshold(
    model: interference_model.Model,
    measurement: Measurement,
    tasks: abc.Sequence[Task],
    settings: types.ControlSettings,
    evictions_left: int,
) -> list[Action]:
    """Throttle, then evict the largest task while above the target."""
    batch = [t for t in tasks if not t.urgent]
    largest = sorted(batch, key=lambda t: (-t.processors * t.share, t.task))
    if measurement.p99_ms > settings.service_p99_ms:
        for task in largest:
            if task.share > SHARES[-1]:
                return [SetShare(task.task, next_share(task.share))]
        if largest and evictions_left > 0:
            return [Evict(largest[0].task, 'service is above its target')]
        return []
    if measurement.p99_ms < RELAX_SHARE * settings.service_p99_ms:
        for task in reversed(largest):
            if task.share < 1.0:
                return [SetShare(task.task, min(1.0, task.share * 2))]
    return []


@POLICIES.register('pairwise')
def choose_by_pair(
    model: interference_model.Model,
    measurement: Measurement,
    tasks: abc.Sequence[Task],
    settings: types.ControlSettings,
    evictions_left: int,
) -> list[Action]:
    """Choose the cheapest actions by the learned effect of each kind."""
    batch = [t for t in tasks if not t.urgent]
    plan = Plan(model, measurement, batch, settings)
    for _ in range(MAX_STEPS):
        if not plan.improve(evictions_left):
            break
    return plan.actions()


class Plan:
    """Search for the cheapest shares of tasks, one step at a time.

    The cost weighs the tail latency above the target, lost batch work and
    evictions.
    """

    def __init__(
        self,
        model: interference_model.Model,
        measurement: Measurement,
        batch: abc.Sequence[Task],
        settings: types.ControlSettings,
    ) -> None:
        # Planned share by task; 0 for an eviction.
        self.shares = {task.task: task.share for task in batch}
        self._batch = batch
        self._weights = settings.weights
        self._target = max(1.0, TARGET_SHARE * settings.service_p99_ms)
        self._all_processors = sum(t.processors for t in batch) or 1.0
        self._lost_processors = sum(
            t.processors * (1 - t.share) for t in batch
        )
        predicted = model.predict(measurement.load, infer_processors(batch))
        # Shifts the prediction towards the measurement by part of its error.
        self._p99_ms = predicted + CORRECTION_SHARE * (
            measurement.p99_ms - predicted
        )
        self._effects = {
            t.task: model.effect(t.kind, measurement.load) * t.processors
            for t in batch
        }

    def improve(self, evictions_left: int) -> bool:
        """Take the step with the largest gain; return False if none gains."""
        left = evictions_left - sum(
            share == 0.0 for share in self.shares.values()
        )
        current = self._cost(self._p99_ms, self._lost_processors)
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
        self._p99_ms, self._lost_processors = self._after(chosen, best[2])
        self.shares[chosen.task] = best[2]
        return True

    def actions(self) -> list[Action]:
        """Return the actions that lead to the planned shares."""
        actions: list[Action] = []
        for task in self._batch:
            share = self.shares[task.task]
            if share == 0.0:
                reason = 'slows the service more than its work is worth'
                actions.append(Evict(task.task, reason))
            elif share != task.share:
                actions.append(SetShare(task.task, share))
        return actions

    def _options(self, task: Task, left: int) -> list[float]:
        share = self.shares[task.task]
        if share == 0.0:
            return []
        options = [s for s in SHARES if s != share]
        # A task is evicted only after its strongest throttle took effect.
        if left > 0 and task.share <= SHARES[-1]:
            options.append(0.0)
        return options

    def _after(self, task: Task, share: float) -> tuple[float, float]:
        change = share - self.shares[task.task]
        p99_ms = self._p99_ms + self._effects[task.task] * change
        return p99_ms, self._lost_processors - task.processors * change

    def _cost(self, p99_ms: float, lost: float) -> float:
        excess = max(0.0, p99_ms / self._target - 1.0)
        return (
            self._weights.tail_latency * EXCESS_COST * excess
            + self._weights.throughput * lost / self._all_processors
        )


def next_share(share: float) -> float:
    """Return the next smaller share of `SHARES`."""
    return next((s for s in SHARES if s < share), SHARES[-1])


def infer_processors(tasks: abc.Sequence[Task]) -> dict[str, float]:
    """Return the processors that each kind may use now."""
    processors: dict[str, float] = {}
    for task in tasks:
        used = task.processors * task.share
        processors[task.kind] = processors.get(task.kind, 0.0) + used
    return processors


def describe(governor: Governor) -> dict[str, typing.Any]:
    """Return the state of a governor for a dump."""
    return {
        'policy': governor.policy,
        'held_back': governor.ignored_measurements,
        'leaving': sorted(governor.evicting),
        'evictions_in_window': len(governor.evicted_at),
        'base_ms': round(governor.model.base_ms, 3),
        'ms_per_processor': {
            kind: round(effect, 4)
            for kind, effect in sorted(governor.model.effects.items())
        },
    }

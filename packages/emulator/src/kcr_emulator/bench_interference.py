"""Measure the interference policies against one simulated service.

`bench` calls it. The tail latency of the service depends on its load and on
effects of the kinds of tasks that the policy does not know; the policy gets it
with measurement noise and a lag.
"""

import dataclasses
import math
import random

from kcr_core import interference
from kcr_core import types

# Simulated time, in seconds.
DURATION_S = 1800
# Age of a measurement when the policy receives it, in seconds.
LAG_S = 3
# p99 latency of the undisturbed service, and its target, in ms.
BASE_MS = 50.0
TARGET_MS = 100.0
# Requests of the service; each gives one latency sample.
REQUESTS_PER_S = 40
# Cores of the instance and of one task; mean run time of a task that is not
# throttled, in seconds.
PROCESSORS = 16.0
TASK_PROCESSORS = 2.0
RUN_S = 120.0
# Work lost by an eviction and the restart elsewhere, in core seconds.
EVICTION_LOSS = 30.0
# Effect per core at full load, as a share of the base latency, unknown to the
# policy; the second value applies in the second half of the run.
EFFECTS = {
    'quiet': (0.01, 0.01),
    'medium': (0.08, 0.08),
    'noisy': (0.40, 0.40),
    'shifting': (0.02, 0.30),
}
POLICIES = ('none', 'threshold', 'pairwise')
WEIGHTS = {
    'balanced': types.Weights(1.0, 1.0, 1.0),
    'tail first': types.Weights(4.0, 1.0, 0.5),
    'batch first': types.Weights(0.5, 2.0, 3.0),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Store the figures of one run."""

    # Name of the policy.
    policy: str
    # Name of the weights.
    weights: str
    # p99 latency of all requests, in ms.
    p99_ms: float
    # Share of the seconds with a p99 above the target.
    above: float
    # Completed batch work, in core seconds.
    work: float
    # Number of evicted tasks.
    evictions: int
    # Number of actions: throttles, releases and evictions.
    acts: int


@dataclasses.dataclass(slots=True)
class _RunningTask:
    kind: str
    remaining_work: float
    share: float = 1.0


class Instance:
    """Simulate a service and the tasks on its instance."""

    def __init__(self, seed: int) -> None:
        # Running tasks by name.
        self.running: dict[str, _RunningTask] = {}
        # Completed batch work, in core seconds.
        self.work = 0.0
        # Number of evicted tasks.
        self.evictions = 0
        # Latency samples, in ms.
        self.latencies: list[float] = []
        # Number of seconds with a p99 above the target.
        self.above = 0
        self._count = 0
        self._rng = random.Random(seed)

    def step(self, second: int) -> interference.Measurement:
        """Simulate one second and return its measurement."""
        free_slots = PROCESSORS / TASK_PROCESSORS - len(self.running)
        if free_slots >= 1 and self._rng.random() < 0.25:
            self._count += 1
            kind = self._rng.choice(sorted(EFFECTS))
            work = self._rng.expovariate(1.0 / RUN_S) * TASK_PROCESSORS
            self.running[f't{self._count}'] = _RunningTask(kind, work)
        load = 0.6 + 0.3 * math.sin(second / 120.0)
        half = 0 if second < DURATION_S / 2 else 1
        slowdown = 1.0
        for name, task in list(self.running.items()):
            used = TASK_PROCESSORS * task.share
            slowdown += load * EFFECTS[task.kind][half] * used
            self.work += min(used, task.remaining_work)
            task.remaining_work -= used
            if task.remaining_work <= 0:
                del self.running[name]
        p99_ms = BASE_MS * slowdown
        self.above += p99_ms > TARGET_MS
        mean_ms = p99_ms / math.log(100.0)
        self.latencies += [
            self._rng.expovariate(1.0 / mean_ms) for _ in range(REQUESTS_PER_S)
        ]
        measured_ms = p99_ms * self._rng.uniform(0.85, 1.15)
        return interference.Measurement(float(second), measured_ms, load)

    def tasks(self) -> list[interference.Task]:
        """Return the running tasks as the policy sees them."""
        return [
            interference.Task(name, task.kind, TASK_PROCESSORS, task.share)
            for name, task in self.running.items()
        ]

    def apply(self, action: interference.Action) -> None:
        """Apply an action: set the share of a task or evict it."""
        if isinstance(action, interference.SetShare):
            self.running[action.task].share = action.share
            return
        del self.running[action.task]
        self.evictions += 1
        self.work -= EVICTION_LOSS


def run_policy(policy: str, weights: str, seed: int) -> Row:
    """Simulate one policy with one set of weights."""
    settings = types.ControlSettings(
        interference_policy=policy,
        service_p99_ms=TARGET_MS,
        weights=WEIGHTS[weights],
    )
    instance = Instance(seed)
    governor = interference.Governor(policy)
    measurements: list[interference.Measurement] = []
    action_count = 0
    for second in range(DURATION_S):
        measurements.append(instance.step(second))
        if second < LAG_S:
            continue
        for action in governor.decide(
            measurements[second - LAG_S],
            instance.tasks(),
            settings,
            float(second),
        ):
            instance.apply(action)
            action_count += 1
    ordered = sorted(instance.latencies)
    return Row(
        policy=policy,
        weights=weights,
        p99_ms=round(ordered[int(0.99 * len(ordered))], 1),
        above=round(instance.above / DURATION_S, 4),
        work=round(instance.work, 0),
        evictions=instance.evictions,
        acts=action_count,
    )


def list_cases() -> list[tuple[str, str]]:
    """Return the pairs of policy and weights that are compared."""
    return [(policy, name) for name in WEIGHTS for policy in POLICIES]

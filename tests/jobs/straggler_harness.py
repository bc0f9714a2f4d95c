"""Play batch jobs on runners that may be slow without saying so.

One task in thirty may take seven times as long wherever it runs, and one
runner may do its work at a seventh of the speed. Runs report their progress,
store checkpoints every 2 s, and resume in 0.25 s.
"""

import dataclasses
import random
import typing

import overload_harness

from kcr_jobs import controller_state
from kcr_jobs import job_table
from kcr_jobs import messages
from kcr_jobs import types

OFF = controller_state.Overload()
ON = controller_state.Overload(moves=True)
LONG_SHARE, LONG_FACTOR = 1 / 30, 7.0
RESTORE_S = 0.25
MEAN_S = 3.8
LEARNING_S = 40.0
RUNNERS, CORES = 8, 32
BATCH = types.Queue(
    'batch', 'svc', priority=2, max_attempts=3, slack_factor=2.0,
    target_ms=1000.0,
)  # fmt: skip
STEP = types.Step(20, types.Demand(3500, 100), checkpointing=True)
STEPS = (STEP, dataclasses.replace(STEP, after=(0,)))
# Jobs per second that use all runners.
CAPACITY = RUNNERS * (CORES * 1000 // 3500) / (40 * MEAN_S)


@dataclasses.dataclass
class Progress:
    """Store the work of a run, as parts of its task."""

    done: float
    # Part of the work that it does in a second on a runner of usual speed.
    rate: float
    # Time that is left until it has restored its checkpoint.
    restore_s: float
    saved_at: float


class Runner(overload_harness.Runner):
    """Represent a runner with a speed."""

    def __init__(
        self, name: str, cpu: int, harness: overload_harness.Harness
    ) -> None:
        super().__init__(name, cpu, harness)
        self.speed = 1.0
        self.progress: dict[str, Progress] = {}
        self.advanced_at = 0.0

    def handle(self, msg: typing.Any) -> None:
        """Carry out a message of the owner."""
        super().handle(msg)
        if isinstance(msg, messages.StartRun):
            task = self.harness.find_task(msg.task)
            now = self.harness.now
            self.progress[msg.task] = Progress(
                float(msg.saved or 0.0),
                1.0 / self.harness.draw_s(task),
                RESTORE_S if msg.saved else 0.0,
                now,
            )

    def advance(self, now: float) -> None:
        """Advance the runs; end those whose work is done."""
        passed_s, self.advanced_at = now - self.advanced_at, now
        for name, run in list(self.runs.items()):
            row = self.progress[name]
            worked_s = max(0.0, passed_s - row.restore_s)
            row.restore_s = max(0.0, row.restore_s - passed_s)
            row.done += worked_s * row.rate * self.speed
            if row.done >= 1.0:
                self.end(name, 'done')
                continue
            task = self.harness.find_task(name)
            run.usage, run.percent = task.spec.demand.cpu, int(100 * row.done)
            if now - row.saved_at >= overload_harness.CHECKPOINT_S:
                run.saved, row.saved_at = f'{row.done:.4f}', now


class Harness(overload_harness.Harness):
    """Play batch jobs."""

    def __init__(
        self, overload: controller_state.Overload, seed: int, spread: float
    ) -> None:
        self.spread = spread
        super().__init__(overload, RUNNERS, CORES * 1000, seed, 0.0)
        self.runners = {
            name: Runner(name, CORES * 1000, self) for name in self.runners
        }
        self.attach_all()

    def draw_s(self, task: job_table.Task) -> float:
        """Return how long a whole run takes, the same for each attempt."""
        rng = random.Random(task.name)
        factor = LONG_FACTOR if rng.random() < self.stragglers else 1.0
        return MEAN_S * factor * rng.uniform(1 - self.spread, 1 + self.spread)

    def find_events(self, event: str) -> list[dict[str, typing.Any]]:
        """Return the fields of the log events with a name."""
        return [e.fields for e in self.log_events if e.event == event]


def make_kind(
    load: float, steps: tuple[types.Step, ...] = STEPS
) -> overload_harness.Kind:
    """Return batch jobs that use a part of the capacity."""
    return overload_harness.Kind(
        'batch', load * CAPACITY, BATCH, steps, MEAN_S
    )


def slow_down(harness: Harness, count: int) -> None:
    """Make some runners slow."""
    for runner in list(harness.runners.values())[:count]:
        assert isinstance(runner, Runner)
        runner.speed = 1.0 / LONG_FACTOR


def play(
    overload: controller_state.Overload,
    load: float,
    long_share: float = 0.0,
    slow_runners: int = 0,
    seed: int = 1,
    spread: float = 0.2,
    steps: tuple[types.Step, ...] = STEPS,
) -> Harness:
    """Play jobs; runners become slow once run times are learnt."""
    harness = Harness(overload, seed, spread)
    harness.stragglers = long_share
    kind = make_kind(load, steps)
    harness.play((kind,), LEARNING_S)
    slow_down(harness, slow_runners)
    harness.play((kind,), 80.0)
    harness.play((), 60.0)
    return harness


def infer_mean_s(harness: Harness) -> float:
    """Return the mean time to the end of the jobs after the learning."""
    times = [
        min(c.done_at, harness.now) - c.accepted_at
        for c in harness.find_callers(since=LEARNING_S)
    ]
    return sum(times) / len(times)


def infer_value(harness: Harness) -> float:
    """Return what the jobs after the learning were worth."""
    return sum(c.infer_value() for c in harness.find_callers(since=LEARNING_S))

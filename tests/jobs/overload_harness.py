"""Play callers that compete for scarce capacity, without a network.

Callers retry refused jobs, and some leave and cancel. Runners end their runs
after drawn times, three of a hundred after seven times as long; the callers'
estimates are off by up to nine tenths.
"""

from collections import abc
import dataclasses
import heapq
import math
import random
import typing

import job_harness

from kcr_jobs import controller
from kcr_jobs import controller_state
from kcr_jobs import effects
from kcr_jobs import job_table
from kcr_jobs import messages
from kcr_jobs import types

ON = controller_state.Overload(True, True, True)
OFF = controller_state.Overload()
# Time between two looks at the world, in seconds.
STEP_S = 0.05
REPORT_INTERVAL_S = 0.45
CHECKPOINT_S = 2.0
# Run time of a task of a kind, in seconds.
MEAN_S = 1.36
STRAGGLER_SHARE, STRAGGLER_FACTOR = 0.03, 7.0
# Value of a job that ends late but within three times its target.
LATE_VALUE = 1 / 7
MAX_RETRIES = 4

# Jobs of the usual kind that two runners complete in a second.
CAPACITY = 2.6
LEARNING_S = 30.0
# Load by the time since its begin, as a factor.
Load = abc.Callable[[float], float]

SHORT = types.Queue(
    'short', 'svc', max_attempts=3, slack_factor=1.5, target_ms=600.0
)
STEP = types.Step(10, types.Demand(640, 100))


@dataclasses.dataclass(frozen=True)
class Kind:
    """Describe the jobs of one group of callers."""

    name: str
    # Jobs per second.
    rate: float
    queue: types.Queue = SHORT
    steps: tuple[types.Step, ...] = (STEP,)
    mean_s: float = MEAN_S
    # Share of the callers that leave and cancel within their target.
    leaves: float = 0.0
    # Factor on the number of tasks, drawn for each job.
    sizes: tuple[int, ...] = (1,)


@dataclasses.dataclass
class Caller:
    """Store one job, from its submission on."""

    kind: Kind
    spec: types.JobSpec
    submitted_at: float
    tries: int = 0
    size: int = 1
    accepted_at: float = math.inf
    refused_at: float = math.inf
    done_at: float = math.inf
    left: bool = False

    @property
    def target_s(self) -> float:
        """Return the target time by the true run times."""
        queue = self.kind.queue
        chain_s = len(self.spec.steps) * self.kind.mean_s
        return queue.slack_factor * chain_s + queue.target_ms / 1000.0

    def infer_value(self) -> float:
        """Return what the job is worth."""
        took_s = self.done_at - self.accepted_at
        if not took_s <= 3.0 * self.target_s:
            return 0.0
        return 1.0 if took_s <= self.target_s else LATE_VALUE


class Runner(job_harness.FakeRunner):
    """Represent a runner that ends its runs and stores checkpoints."""

    def __init__(self, name: str, cpu: int, harness: 'Harness') -> None:
        super().__init__(name, cpu)
        self.harness = harness
        self.started_at: dict[str, float] = {}
        self.length_s: dict[str, float] = {}

    def handle(self, msg: typing.Any) -> None:
        """Carry out a message of the owner."""
        super().handle(msg)
        if isinstance(msg, messages.StartRun):
            task = self.harness.find_task(msg.task)
            self.started_at[msg.task] = self.harness.now
            left = 1.0 - float(msg.saved or 0.0)
            self.length_s[msg.task] = left * self.harness.draw_s(task)

    def advance(self, now: float) -> None:
        """End the runs that are due; report checkpoints of the others."""
        for name, run in list(self.runs.items()):
            task = self.harness.find_task(name)
            passed_s = now - self.started_at[name]
            if not task.spec.lasts and passed_s >= self.length_s[name]:
                self.end(name, 'done')
                continue
            run.usage = task.spec.demand.cpu
            if task.spec.checkpointing:
                whole = passed_s // CHECKPOINT_S * CHECKPOINT_S
                done = min(0.9, whole / max(1.0, self.length_s[name]))
                if done > float(run.saved or 0.0):
                    run.saved = f'{done:.3f}'


class Harness(job_harness.Harness):
    """Play the callers of some kinds."""

    def __init__(
        self,
        overload: controller_state.Overload,
        runners: int = 4,
        cpu: int = 16_000,
        seed: int = 1,
        stragglers: float = STRAGGLER_SHARE,
    ) -> None:
        self.stragglers = stragglers
        self.overload = overload
        self.rng = random.Random(seed)
        self.callers: dict[str, Caller] = {}
        self.events: list[tuple[float, int, typing.Any, Caller]] = []
        self.count = 0
        self.next_report = 0.0
        self.wasted_s = 0.0
        super().__init__(
            *[Runner(f'{n:03}', cpu, self) for n in range(runners)]
        )

    def take_over(self) -> None:
        """Start a new owner from the log."""
        super().take_over()
        self.ctl = controller.Controller(
            self.ctl.table, self.epoch, job_harness.LEASE_S, self.now,
            overload=self.overload,
        )  # fmt: skip
        self.ctl.set_evacuation(self.evacuation)
        self.ctl.set_regions(self.regions)

    def find_task(self, name: str) -> job_table.Task:
        """Return a task by its name."""
        task = self.ctl.table.find_task(name)
        assert task is not None
        return task

    def draw_s(self, task: job_table.Task) -> float:
        """Return how long a whole run takes, the same for each attempt."""
        rng = random.Random(task.name)
        factor = STRAGGLER_FACTOR if rng.random() < self.stragglers else 1.0
        kind = self.callers[task.job.spec.job_id].kind
        return kind.mean_s * factor * rng.uniform(0.8, 1.2)

    def carry_out(self, effect: effects.Effect) -> None:
        """Carry out one effect."""
        super().carry_out(effect)
        if not isinstance(effect, effects.Reply):
            return
        caller = effect.ref
        if effect.outcome == 'accepted':
            caller.accepted_at = self.now
            if self.rng.random() < caller.kind.leaves:
                patience_s = self.rng.uniform(0.2, 1.0) * caller.target_s
                self.add(self.now + patience_s, self.leave, caller)
        elif effect.outcome == 'refused':
            caller.refused_at = self.now
            if caller.tries <= MAX_RETRIES:
                wait_s = max(1, round(effect.number / 1000))
                self.add(self.now + wait_s, self.offer, caller)

    def add(self, at: float, action: typing.Any, caller: Caller) -> None:
        """Add an action of a caller at a time."""
        self.count += 1
        heapq.heappush(self.events, (at, self.count, action, caller))

    def offer(self, caller: Caller) -> None:
        """Submit the job of a caller."""
        caller.tries += 1
        self.ctl.submit(caller, caller.spec, self.now, job_harness.WALL_MS)
        self.flush()

    def leave(self, caller: Caller) -> None:
        """Cancel the job of a caller that leaves."""
        if caller.done_at == math.inf:
            caller.left = True
            self.ctl.cancel(caller, caller.spec.job_id, self.now)
            self.flush()

    def make_caller(self, kind: Kind, at: float) -> None:
        """Add a caller that comes at a time."""
        job_id = f'{len(self.callers):016x}'
        size = self.rng.choice(kind.sizes)
        steps = tuple(
            dataclasses.replace(
                step,
                count=step.count * size,
                estimate_ms=1000 * kind.mean_s * self.rng.uniform(0.1, 1.9),
            )
            for step in kind.steps
        )
        spec = job_harness.make_job(job_id, *steps, queue=kind.queue)
        caller = Caller(kind, spec, at, size=size)
        self.callers[job_id] = caller
        self.add(at, self.offer, caller)

    def play(
        self,
        kinds: tuple[Kind, ...],
        seconds: float,
        factor: Load = lambda at: 1.0,
    ) -> None:
        """Play some time; `factor` is the load by the time in it."""
        began = self.now
        for kind in kinds:
            at = 0.0
            while at < seconds:
                at += self.rng.expovariate(kind.rate * 3.0)
                # Thinning: three times the rate is the highest.
                if self.rng.random() < factor(at) / 3.0 and at < seconds:
                    self.make_caller(kind, began + at)
        while self.now < began + seconds:
            self.now += STEP_S
            self._advance()

    def _advance(self) -> None:
        while self.events and self.events[0][0] <= self.now:
            _, _, action, caller = heapq.heappop(self.events)
            action(caller)
        for runner in self.runners.values():
            assert isinstance(runner, Runner)
            runner.advance(self.now)
        due = self.now >= self.next_report
        if due:
            self.next_report = self.now + REPORT_INTERVAL_S
        for runner in self.runners.values():
            if due or runner.ended:
                self.report(runner)
        self.ctl.tick(self.now, job_harness.WALL_MS + self.now * 1000)
        self.flush()
        for job_id in list(self.ctl.table.jobs):
            caller = self.callers[job_id]
            job = self.ctl.table.jobs[job_id]
            if caller.done_at == math.inf and job.state == 'completed':
                caller.done_at = self.now

    def find_callers(
        self, since: float = 0.0, until: float = math.inf, name: str = ''
    ) -> list[Caller]:
        """Return the callers that came in a time and did not leave."""
        return [
            caller
            for caller in self.callers.values()
            if since <= caller.submitted_at < until
            and not caller.left
            and name in ('', caller.kind.name)
        ]

    def infer_goodput(
        self, since: float, until: float, name: str = ''
    ) -> float:
        """Return the value of the jobs that ended in a time, per second."""
        value = sum(
            caller.infer_value()
            for caller in self.callers.values()
            if since <= caller.done_at < until
            and name in ('', caller.kind.name)
        )
        return value / (until - since)


def infer_wave(at: float) -> float:
    """Return a wave of half the load every 15 s."""
    return 1.0 + 0.5 * math.sin(2.0 * math.pi * at / 15.0)


def infer_bursts(at: float) -> float:
    """Return bursts of 2.6 times for 5 s on the wave."""
    return infer_wave(at) * (2.6 if at % 20.0 < 5.0 else 1.0)


def play(
    overload: controller_state.Overload,
    load: Load,
    part: float,
    seconds: float = 40.0,
    **fields: typing.Any,
) -> Harness:
    """Play a load after a calm time in which run times are learnt."""
    kind = Kind('short', CAPACITY * part, **fields)
    harness = Harness(overload, runners=2)
    calm = dataclasses.replace(kind, rate=CAPACITY * 0.5)
    harness.play((calm,), LEARNING_S)
    harness.play((kind,), seconds, load)
    harness.play((calm,), 20.0)
    return harness


LOADS: dict[str, tuple[Load, float]] = {
    'twice the capacity': (lambda at: 1.0, 2.0),
    'bursts on a wave': (infer_bursts, 0.6),
    'burst of 20 s': (lambda at: 2.6 if at < 20.0 else 0.6, 0.9),
    'burst of 12 s': (lambda at: 2.2 if at < 12.0 else 0.5, 0.9),
}

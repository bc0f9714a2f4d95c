"""Replay jobs whose data is in a hot rack against the controller.

The load is that of the deployments K and O in docs/design/hard-load.md: short
jobs, and batch jobs of fillers, four runners to a rack. A share of the jobs
names the same rack during a burst; the others name any rack. A task that runs
away from its rack takes three times as long.
"""

import dataclasses
import random
import statistics

import job_harness

from kcr_jobs import job_table
from kcr_jobs import rack_choice
from kcr_jobs import types

TICK_S = 0.1
REPORT_INTERVAL_S = 0.5
FACTOR = 3.0
RACK_SIZE = 4
HOT_RACK = 'rack-0'
# Wait of the policy with a fixed one, in seconds.
FIXED_WAIT_S = 1.0


@rack_choice.POLICIES.register('none')
def wait_never(
    choice: rack_choice.RackChoice,
    task: job_table.Task,
    count: int,
    now: float,
) -> float | None:
    """Go elsewhere at once."""
    return None


@rack_choice.POLICIES.register('fixed')
def wait_fixed(
    choice: rack_choice.RackChoice,
    task: job_table.Task,
    count: int,
    now: float,
) -> float | None:
    """Wait a fixed time, as in delay scheduling."""
    if task.rack_wait is None:
        return now + FIXED_WAIT_S
    return task.rack_wait.until if now < task.rack_wait.until else None


@rack_choice.POLICIES.register('unlimited')
def wait_always(
    choice: rack_choice.RackChoice,
    task: job_table.Task,
    count: int,
    now: float,
) -> float | None:
    """Wait as long as the rack has runners."""
    return now + 1.0 if choice.usable else None


@dataclasses.dataclass(frozen=True)
class Kind:
    """Describe one kind of job of a deployment."""

    name: str
    # Jobs per second.
    rate: float
    steps: int
    tasks: int
    run_s: float
    demand: types.Demand
    queue: types.Queue
    fills: bool = False


@dataclasses.dataclass(frozen=True)
class Load:
    """Describe a deployment and its burst."""

    runners: int
    kinds: tuple[Kind, ...]
    # Share of tasks that take seven times as long, else the spread of the
    # run times.
    slow_share: float = 0.0
    spread: float = 0.0
    # Error of the estimates of run time, as a part.
    error: float = 0.9
    # Share of the jobs that name the hot rack, and factor of the rate, from
    # the beginning and for the length of the burst in seconds.
    hot_share: float = 0.4
    burst: float = 2.0
    burst_s: float = 6.0
    # Time during which jobs arrive, in seconds.
    length_s: float = 20.0
    rack_local: bool = False
    gang: bool = False


def _queue(
    name: str, priority: int, slack: float, target: float
) -> types.Queue:
    return types.Queue(
        name, 'svc', priority, 3, slack_factor=slack, target_ms=target
    )


SHORT, BATCH = types.Demand(640, 900), types.Demand(3500, 6400)
LOAD_K = Load(
    55,
    (
        Kind('short', 5.8, 2, 10, 1.36, SHORT, _queue('s', 0, 1.5, 600.0)),
        Kind('batch', 1.0, 2, 20, 3.8, BATCH, _queue('b', 2, 2, 1000), True),
    ),
    slow_share=0.03,
)
LOAD_O = Load(
    57,
    (
        Kind('short', 5.56, 2, 10, 2.0, SHORT, _queue('s', 0, 1.5, 610.0)),
        Kind('batch', 0.96, 2, 20, 5.4, BATCH, _queue('b', 2, 2, 1000), True),
    ),
    spread=0.5,
)


@dataclasses.dataclass
class Figures:
    """Store what a replay measured."""

    # Time to the end of each job, and the share that ended in time.
    ends_s: list[float]
    in_time: float
    # Number of tasks that ran in and away from their rack.
    near: int
    away: int
    # Number of steps that waited.
    waits: int
    # Time to the end of each job that names the hot rack.
    hot_s: list[float]

    @property
    def mean_s(self) -> float:
        """Return the mean time to the end."""
        return statistics.fmean(self.ends_s)

    @property
    def late_s(self) -> float:
        """Return the ninth decile of the time to the end."""
        return statistics.quantiles(self.ends_s, n=10)[-1]


class Replay:
    """Replay one load with one policy."""

    def __init__(self, load: Load, seed: int) -> None:
        self._load, self._seed = load, seed
        self._rng = random.Random(seed)
        self.runners = [self._make_runner(n) for n in range(load.runners)]
        self.harness = job_harness.Harness(*self.runners, remote_factor=FACTOR)
        # Work that is left of each run, in seconds.
        self._left: dict[str, float] = {}
        self._submitted: dict[str, tuple[float, float]] = {}
        self._ended: dict[str, float] = {}
        self.near = self.away = 0
        self._hot: list[str] = []

    def _make_runner(self, number: int) -> job_harness.FakeRunner:
        runner = job_harness.FakeRunner(f'r{number}')
        runner.info = dataclasses.replace(
            runner.info,
            capacity=types.Demand(32_000, 125_000),
            labels=('a', f'rack-{number // RACK_SIZE}'),
        )
        return runner

    def run(self) -> Figures:
        """Replay the load until all jobs have ended."""
        while self.harness.now < 10 * self._load.length_s:
            if self.harness.now < self._load.length_s:
                self._submit_jobs()
            elif len(self._ended) == len(self._submitted):
                break
            self.step()
        spans = {
            job: self._ended.get(job, self.harness.now) - at
            for job, (at, _) in self._submitted.items()
        }
        good = sum(spans[j] <= t for j, (_, t) in self._submitted.items())
        return Figures(
            list(spans.values()), good / len(spans), self.near, self.away,
            sum(
                e.event == 'task waits for rack'
                for e in self.harness.log_events
            ),
            [spans[j] for j in self._hot],
        )  # fmt: skip

    def _submit_jobs(self) -> None:
        load, rng = self._load, self._rng
        hot = self.harness.now < load.burst_s
        for kind in load.kinds:
            rate = kind.rate * (load.burst if hot else 1.0)
            # At least one a tick: no kind has more than ten a second.
            if rng.random() < rate * TICK_S:
                racks = -(-load.runners // RACK_SIZE)
                rack = f'rack-{rng.randrange(racks)}'
                if hot and rng.random() < load.hot_share:
                    rack = HOT_RACK
                self.submit(kind, rack)

    def submit(self, kind: Kind, rack: str) -> None:
        """Submit a job of a kind whose data is in a rack."""
        load = self._load
        factor = 1.0 + self._rng.uniform(-load.error, load.error)
        steps = tuple(
            types.Step(
                kind.tasks, kind.demand, factor * 1000 * kind.run_s,
                (number - 1,) if number else (), fills=kind.fills,
                image=kind.name, rack_local=load.rack_local, gang=load.gang,
                near_rack='' if load.rack_local else rack,
            )
            for number in range(kind.steps)
        )  # fmt: skip
        job_id = f'{kind.name}{len(self._submitted)}'
        spec = job_harness.make_job(job_id, *steps, queue=kind.queue)
        if rack == HOT_RACK:
            self._hot.append(job_id)
        queue = kind.queue
        target_s = queue.slack_factor * kind.steps * kind.run_s
        self._submitted[job_id] = (
            self.harness.now, target_s + queue.target_ms / 1000
        )  # fmt: skip
        self.harness.submit(spec)

    def step(self) -> None:
        """Advance the time by a tick."""
        harness = self.harness
        harness.now += TICK_S
        due = round(harness.now / TICK_S) % round(REPORT_INTERVAL_S / TICK_S)
        for number, runner in enumerate(self.runners):
            ended = self._work(runner)
            if ended or number % 5 == due:
                harness.report(runner)
        harness.ctl.tick(harness.now, job_harness.WALL_MS)
        harness.flush()
        for job_id in list(self._submitted):
            job = harness.ctl.table.jobs.get(job_id)
            if job_id not in self._ended and (
                job is None or not job.is_open()
            ):
                self._ended[job_id] = harness.now

    def _work(self, runner: job_harness.FakeRunner) -> bool:
        """Advance the runs of a runner; return whether one has ended."""
        ended = []
        for name in runner.runs:
            task = self.harness.ctl.table.find_task(name)
            assert task is not None
            if name not in self._left:
                self._left[name] = self._draw_run_s(task)
                self._count(task, runner)
            self._left[name] -= TICK_S / self._find_slowdown(task, runner)
            if self._left[name] <= 0:
                ended.append(name)
        for name in ended:
            runner.end(name, 'done')
        return bool(ended)

    def _draw_run_s(self, task: job_table.Task) -> float:
        load = self._load
        kind = next(k for k in load.kinds if k.name == task.spec.image)
        # The same for each policy, in whatever order the tasks run.
        rng = random.Random(f'{self._seed} {task.name}')
        if load.slow_share:
            # The mean includes the slow ones.
            run_s = kind.run_s / (1 + 6 * load.slow_share)
            return run_s * (7 if rng.random() < load.slow_share else 1)
        return kind.run_s * rng.uniform(1 - load.spread, 1 + load.spread)

    def _count(
        self, task: job_table.Task, runner: job_harness.FakeRunner
    ) -> None:
        if task.spec.near_rack in ('', runner.info.rack):
            self.near += 1
        else:
            self.away += 1

    def _find_slowdown(
        self, task: job_table.Task, runner: job_harness.FakeRunner
    ) -> float:
        if task.spec.rack_local:
            racks = {
                self.harness.runners[other.instance].info.rack
                for other in task.find_gang()
                if other.instance
            }
            return FACTOR if len(racks) > 1 else 1.0
        near = task.spec.near_rack in ('', runner.info.rack)
        return 1.0 if near else FACTOR


def replay(load: Load, policy: str, seed: int) -> Figures:
    """Return the figures of a load under a policy."""
    before = rack_choice.POLICY_NAME
    rack_choice.POLICY_NAME = policy
    try:
        return Replay(load, seed).run()
    finally:
        rack_choice.POLICY_NAME = before

"""Store the tasks of an emulated worker and count violations.

`worker` calls it for each command and at a fixed interval. Real sizes and run
times differ from the declared ones by random factors, as on a real instance.
Tests read from the counts whether the capacity was exceeded or an epoch was
started more than once.
"""

import collections
import dataclasses
import random
import typing

# Time over which the processor use of a started task ramps up, in seconds.
RAMP_S = 1.0
# Samples of use kept per task for the delayed report.
MAX_HISTORY = 64
# Resources whose capacity is checked.
RESOURCES = ('processors', 'memory_mb', 'accelerators')


@dataclasses.dataclass(slots=True)
class Factors:
    """Bound the factors between declared and real sizes and run times."""

    # Bounds of the factor on declared processors and memory.
    size: tuple[float, float] = (0.5, 2.0)
    # Bounds of the factor on declared run times.
    run: tuple[float, float] = (0.5, 2.0)


@dataclasses.dataclass(slots=True)
class Run:
    """Store the state of one epoch of a task."""

    # Key of the task.
    task: str
    # Epoch under which it was started.
    epoch: int
    # Specification as submitted.
    spec: dict[str, typing.Any]
    # Reservation set by the controller.
    reserved: dict[str, float]
    # Real size.
    size: dict[str, float]
    # Real run time in seconds; infinite for a task without an end.
    run_s: float
    # Completed work, in seconds at full speed.
    done_s: float
    # Time at which `done_s` was last updated.
    progressed_at: float
    # Time at which the lease expires.
    lease_until: float
    # `running`, `done`, `failed` or `stopped`.
    state: str = 'running'
    # Share of full speed.
    speed: float = 1.0
    # Last checkpoint.
    checkpoint: str = ''
    # Result or failure text.
    detail: str = ''
    # Recent samples of time and use, for the delayed report.
    history: collections.deque[tuple[float, dict[str, float]]] = (
        dataclasses.field(
            default_factory=lambda: collections.deque(maxlen=MAX_HISTORY)
        )
    )


class Machine:
    """Run the tasks of one instance; count violations, but refuse none."""

    def __init__(
        self,
        capacity: dict[str, float],
        factors: Factors,
        lag_s: float,
        seed: int,
    ) -> None:
        # Capacity of the instance by resource.
        self.capacity = capacity
        # Factors between declared and real values.
        self.factors = factors
        # Delay of the reported use, in seconds.
        self.lag_s = lag_s
        # Share of tasks that fail at their end.
        self.failing = 0.0
        # Latest epoch of each task, by task.
        self.runs: dict[str, Run] = {}
        # Number of starts by `task:epoch`.
        self.starts: collections.Counter[str] = collections.Counter()
        # Checkpoint that each `task:epoch` was started from.
        self.resumed: dict[str, str] = {}
        # Number of checks at which real sizes exceeded the capacity.
        self.overcommitted = 0
        # Number of checks at which reservations exceeded the capacity.
        self.overgranted = 0
        # Runs by task: epoch, start and end in Unix ms; end 0 while running.
        self.intervals: dict[str, list[list[int]]] = {}
        self._rng = random.Random(seed)

    def start(
        self, task: str, body: dict[str, typing.Any], now: float, unix_ms: int
    ) -> tuple[int, str]:
        """Start an epoch; return the status and the reason."""
        current = self.runs.get(task)
        epoch = int(body['epoch'])
        if current is not None and current.state == 'running':
            if current.epoch == epoch:
                return 200, 'runs already'
            return 409, f'epoch {current.epoch} runs'
        if current is not None and current.epoch >= epoch:
            return 409, f'epoch {current.epoch} has ended'
        run = self._make_run(task, epoch, body, now)
        self.runs[task] = run
        self.starts[f'{task}:{epoch}'] += 1
        self.resumed[f'{task}:{epoch}'] = str(body['checkpoint'])
        self.intervals.setdefault(task, []).append([epoch, unix_ms, 0])
        self._count_overcommitment()
        return 200, 'started'

    def _make_run(
        self, task: str, epoch: int, body: dict[str, typing.Any], now: float
    ) -> Run:
        spec = body['spec']
        # Seeded by the task, so that it has the same real size on any worker.
        rng = random.Random(f'{task}:{spec["kind"]}')
        factor = rng.uniform(*self.factors.size)
        size = {
            name: spec['demand'][name]
            * (1 if name == 'accelerators' else factor)
            for name in RESOURCES
        }
        run_s = spec['run_s'] * rng.uniform(*self.factors.run)
        return Run(
            task=task,
            epoch=epoch,
            spec=spec,
            reserved=body['reserved'],
            size=size,
            run_s=run_s or float('inf'),
            done_s=float(body['checkpoint'] or 0.0),
            progressed_at=now,
            lease_until=now + body['lease_s'],
        )

    def step(self, now: float, unix_ms: int) -> None:
        """Advance running tasks; end those done or with an expired lease."""
        for run in list(self.runs.values()):
            if run.state != 'running':
                continue
            self._advance(run, now)
            if now >= run.lease_until:
                run.detail = 'lease lapsed'
                self._end(run, 'stopped', unix_ms)
            elif run.done_s >= run.run_s:
                failed = self._rng.random() < self.failing
                self._end(run, 'failed' if failed else 'done', unix_ms)
        self._count_overcommitment()

    def _advance(self, run: Run, now: float) -> None:
        run.done_s += (now - run.progressed_at) * run.speed
        run.progressed_at = now
        share = min(1.0, run.done_s / RAMP_S) * run.speed
        used = {
            'processors': run.size['processors'] * share,
            'memory_mb': run.size['memory_mb'],
            'accelerators': run.size['accelerators'],
        }
        run.history.append((now, used))

    def _end(self, run: Run, state: str, unix_ms: int) -> None:
        run.state = state
        run.checkpoint = f'{run.done_s:.3f}'
        self.intervals[run.task][-1][2] = unix_ms

    def checkpoint(self, run: Run, now: float) -> str:
        """Record the progress as checkpoint and return it."""
        if run.state == 'running':
            self._advance(run, now)
            run.checkpoint = f'{run.done_s:.3f}'
        return run.checkpoint

    def stop(self, run: Run, now: float, unix_ms: int) -> None:
        """Stop an epoch; do nothing if it has ended."""
        if run.state == 'running':
            self._advance(run, now)
            self._end(run, 'stopped', unix_ms)

    def usage(self, now: float) -> list[dict[str, typing.Any]]:
        """Return the use of running tasks as of `lag_s` ago."""
        out = []
        for run in self.runs.values():
            lagged = [
                used for at, used in run.history if at <= now - self.lag_s
            ]
            if run.state == 'running' and lagged:
                out.append(
                    {'task': run.task, 'epoch': run.epoch, 'used': lagged[-1]}
                )
        return out

    def cores(self) -> dict[str, float]:
        """Return the cores in use by kind of task."""
        cores: dict[str, float] = {}
        for run in self.runs.values():
            if run.state == 'running' and run.history:
                used = run.history[-1][1]['processors']
                kind = run.spec['kind']
                cores[kind] = cores.get(kind, 0.0) + used
        return cores

    def _count_overcommitment(self) -> None:
        running = [r for r in self.runs.values() if r.state == 'running']
        for name in RESOURCES:
            limit = self.capacity[name] + 1e-6
            if sum(run.size[name] for run in running) > limit:
                self.overcommitted += 1
                break
        for name in RESOURCES:
            limit = self.capacity[name] + 1e-6
            if sum(run.reserved[name] for run in running) > limit:
                self.overgranted += 1
                break

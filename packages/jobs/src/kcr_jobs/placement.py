"""Choose the runner for a task.

The planner makes a Candidate for each runner that accepts starts, with its
free capacity, and calls `choose` for each waiting task. A candidate
must satisfy the task's constraints; the score that is registered for the kind
of task (serving, filler or batch) ranks the rest. Capacity is reserved in the
candidate as starts are chosen.
"""

from collections import abc
import dataclasses
import math

from kcr_core import registry
from kcr_jobs import conditions
from kcr_jobs import evacuation
from kcr_jobs import interference_model
from kcr_jobs import job_table
from kcr_jobs import runners
from kcr_jobs import throttling
from kcr_jobs import types

# Expected usage of a serving task, as a part of its reservation; the users'
# site files give 0.45 on average, with variations of half of it.
SERVING_BUSY_SHARE = 0.5
# Expected part of the filler images that don't disturb one serving image; the
# users' site files describe 55% of the effects as heavy.
COMPATIBLE_SHARE = 0.45
# Weight of the processors that a serving task would leave unreserved; it
# decides between runners with the same images.
PACKING_WEIGHT = 0.05
# Share of its processors at which a filler starts beside a serving task if the
# effect of the pair is unknown, in percent; enough to measure it within a
# second.
PROBE_PERCENT = 30.0
# Time after an order until reports show its effect, in seconds: the order,
# half a second of measurement, and the next report.
REPORT_DELAY_S = 1.2
# Pressure up to which fillers are placed beside serving tasks; throttling
# begins a little above it.
MAX_PRESSURE = 0.75
# Penalty of a runner in a rack for which other tasks wait; idle processors
# and pressure differ by up to 1.
AWAITED_PENALTY = 1.0
# Part of the score of a cold runner; a warm one is preferred until half of its
# processors are more in use than those of the cold one.
COLD_SCORE = 0.5
# Penalty of a runner that is slow without saying so, or from which the task
# was moved; idle processors differ by up to 1, so it gets such tasks only if
# no other has room.
SLOW_PENALTY = 1.5


@dataclasses.dataclass(slots=True)
class Candidate:
    """Store the free capacity of a runner while starts are being chosen."""

    runner: runners.RunnerState
    # Processors, memory and accelerators that are not reserved.
    cpu: int
    mem_mb: int
    gpu: int
    # Processors that are expected to be idle.
    spare_cpu: float
    # Images of its long-running tasks.
    serving_images: set[str]
    # Number of its tasks by job, occurrence and step.
    tasks_per_step: dict[tuple[str, int, int], int]
    # Number of starts that it may still get; a suspect runner gets few.
    starts_left: int
    # Estimates of what fillers add to the latency of serving tasks.
    interference: interference_model.InterferenceModel
    # Serving tasks with their pressure (see throttling), raised by what the
    # fillers that are being started will add.
    pressures: list[tuple[job_table.Task, float]]
    # Where tasks may start.
    limits: conditions.Conditions = conditions.Conditions()
    # Failure rate of the runner, and whether it is suspect (see runners).
    failure_rate: float = 0.0
    suspect: bool = False
    # Whether it is slow after its start, and the starts that it may get.
    cold: bool = False
    cold_starts_left: float = math.inf
    # Number of reservations that were made.
    version: int = 0
    # Tasks that are being started.
    started: list[job_table.Task] = dataclasses.field(default_factory=list)
    # Whether tasks wait for its rack (see locality).
    awaited: bool = False

    @property
    def runner_id(self) -> str:
        """Return the id of the runner."""
        assert self.runner.info is not None
        return self.runner.info.runner_id

    @property
    def incarnation(self) -> str:
        """Return the name of the incarnation of the runner."""
        assert self.runner.info is not None
        return self.runner.info.incarnation

    @property
    def labels(self) -> tuple[str, ...]:
        """Return the kind and the rack of the runner."""
        assert self.runner.info is not None
        return self.runner.info.labels

    def reserve(self, task: job_table.Task) -> None:
        """Reserve capacity for a task."""
        self.version += 1
        self.started.append(task)
        demand = task.spec.demand
        self.mem_mb -= demand.mem_mb
        self.gpu -= demand.gpu
        if not task.spec.fills:
            self.cpu -= demand.cpu
        self.spare_cpu -= infer_expected_cpu(task)
        if task.spec.lasts:
            self.serving_images.add(task.spec.image)
        step = (task.job.spec.job_id, task.occurrence, task.step)
        self.tasks_per_step[step] = self.tasks_per_step.get(step, 0) + 1
        self.starts_left -= 1
        self.cold_starts_left -= 1.0
        if task.spec.fills:
            self.pressures = [
                (
                    serving,
                    pressure
                    + self._infer_added_pressure(serving, task)
                    * task.throttle_percent
                    / 100,
                )
                for serving, pressure in self.pressures
            ]

    def _infer_added_pressure(
        self, serving: job_table.Task, filler: job_table.Task
    ) -> float:
        """Return what a filler adds to the pressure on a serving task."""
        added = self.interference.predict(
            serving.spec.image, filler.spec.image
        )
        cores = filler.spec.demand.cpu / 1000.0
        return added * cores / serving.spec.target_ms

    def infer_pressure(self, filler: job_table.Task) -> float:
        """Return the highest pressure that a filler raises, and how far.

        The pressure on tasks to which it adds nothing is no reason to keep it
        away; a filler that asks for no processors adds nothing to any.
        """
        return max(
            (
                pressure + added
                for serving, pressure in self.pressures
                if (added := self._infer_added_pressure(serving, filler)) > 0.0
            ),
            default=0.0,
        )

    def infer_start_percent(self, filler: job_table.Task) -> int:
        """Return the share at which a filler would start, in percent."""
        share = 100.0
        for serving, pressure in self.pressures:
            if not self.interference.is_known(
                serving.spec.image, filler.spec.image
            ):
                share = min(share, PROBE_PERCENT)
            added = self._infer_added_pressure(serving, filler)
            if added > 0.0 and pressure + added > MAX_PRESSURE:
                headroom = max(0.0, MAX_PRESSURE - pressure)
                share = min(share, 100.0 * headroom / added)
        percent = (
            int(share // throttling.PERCENT_STEP) * throttling.PERCENT_STEP
        )
        return max(throttling.MIN_PERCENT, percent)


def infer_expected_cpu(task: job_table.Task) -> float:
    """Return the processors that a task is expected to use."""
    cpu = task.spec.demand.cpu
    return cpu * SERVING_BUSY_SHARE if task.spec.lasts else float(cpu)


def make_candidate(
    runner: runners.RunnerState,
    now: float,
    suspect: bool,
    interference: interference_model.InterferenceModel,
    limits: conditions.Conditions = conditions.Conditions(),
) -> Candidate:
    """Return a runner as a candidate; a suspect one gets few starts.

    The tasks that it has don't keep it from a start: one that lasts never
    ends, so the start that shows whether the runner works would never come.
    """
    assert runner.info is not None
    capacity = runner.info.capacity
    used = runner.reserved()
    candidate = Candidate(
        runner,
        capacity.cpu - used.cpu,
        capacity.mem_mb - used.mem_mb,
        capacity.gpu - used.gpu,
        capacity.cpu
        - sum(infer_expected_cpu(t) for t in runner.tasks.values()),
        {t.spec.image for t in runner.tasks.values() if t.spec.lasts},
        {},
        1_000_000,
        interference,
        _infer_pressures(runner, interference, now),
        limits,
        runner.infer_failure_rate(now),
        suspect,
    )
    for task in runner.tasks.values():
        step = (task.job.spec.job_id, task.occurrence, task.step)
        candidate.tasks_per_step[step] = (
            candidate.tasks_per_step.get(step, 0) + 1
        )
    if now < runner.cold_until:
        candidate.cold = True
        rate = limits.cold_rules.find_rate(runner.info.service)
        if rate:
            candidate.cold_starts_left = runner.cold_budget.infer_level(
                rate, limits.cold_rules.burst, now
            )
    if suspect:
        waited = now - runner.last_start_at >= runners.PROBE_INTERVAL_S
        candidate.starts_left = 1 if waited else 0
    return candidate


def is_last_attempt(task: job_table.Task) -> bool:
    """Return whether a task has failed and fails its job if it does again.

    The start that shows whether a suspect runner works is one of another task.
    """
    limit = task.job.spec.queue.max_attempts
    return 0 < task.failures >= limit - 1 and not task.spec.lasts


def find_rejection_reason(task: job_table.Task, candidate: Candidate) -> str:
    """Return why a task can't run on a candidate; empty where it fits."""
    spec, info = task.spec, candidate.runner.info
    assert info is not None
    demand = spec.demand
    if info.service != task.job.spec.queue.service:
        return 'service'
    if evacuation.forbids(candidate.limits.evacuation_view, info.zone):
        return 'zone evacuated'
    if not candidate.limits.region_rules.allows(
        task.job.spec.queue, info.zone
    ):
        return 'region'
    if candidate.starts_left <= 0:
        return 'failing runner'
    if candidate.suspect and is_last_attempt(task):
        return 'failing runner'
    if candidate.cold_starts_left < 1.0:
        return 'cold'
    if demand.mem_mb > candidate.mem_mb:
        return 'memory'
    if demand.gpu > candidate.gpu:
        return 'accelerators'
    if not spec.fills and demand.cpu > candidate.cpu:
        return 'processors'
    if spec.label and spec.label not in info.labels:
        return 'label'
    if spec.max_per_runner:
        step = (task.job.spec.job_id, task.occurrence, task.step)
        if candidate.tasks_per_step.get(step, 0) >= spec.max_per_runner:
            return 'tasks of its step'
    if task.awaited_rack and task.awaited_rack not in info.labels:
        return 'waits for rack'
    return ''


def find_filler_rejection_reason(
    task: job_table.Task, candidate: Candidate, pressure: float
) -> str:
    """Return why a filler should not run on a candidate that it fits.

    The reason is empty where it may run.
    """
    if candidate.runner.name == task.avoided_instance:
        return 'moved away'
    if candidate.spare_cpu < task.spec.demand.cpu:
        return 'unused processors'
    if pressure > MAX_PRESSURE:
        return 'pressure'
    return ''


def fits(task: job_table.Task, candidate: Candidate) -> bool:
    """Return whether a task may be started on a candidate."""
    return not find_rejection_reason(task, candidate)


def count_rejections(
    task: job_table.Task, candidates: abc.Iterable[Candidate]
) -> dict[str, int]:
    """Return the number of candidates by the reason of their rejection."""
    found: dict[str, int] = {}
    for candidate in candidates:
        reason = find_rejection_reason(task, candidate)
        if not reason and task.spec.fills:
            pressure = candidate.infer_pressure(task)
            reason = find_filler_rejection_reason(task, candidate, pressure)
        if reason:
            found[reason] = found.get(reason, 0) + 1
    return found


def _infer_pressures(
    runner: runners.RunnerState,
    interference: interference_model.InterferenceModel,
    now: float,
) -> list[tuple[job_table.Task, float]]:
    """Return the pressures, with the effects that reports don't show yet."""
    tasks = list(runner.tasks.values())
    unreported = {
        task: cores
        for task in tasks
        if task.spec.fills
        and not task.stopping
        and now - task.throttled_at < REPORT_DELAY_S
        and (cores := _infer_unreported_cores(task)) > 0.0
    }
    out = []
    for serving, pressure in throttling.infer_pressures(tasks):
        for task, cores in unreported.items():
            added = interference.predict(serving.spec.image, task.spec.image)
            pressure += added * cores / serving.spec.target_ms
        out.append((serving, pressure))
    return out


def _infer_unreported_cores(task: job_table.Task) -> float:
    """Return the cores that a filler will use in addition to the reported."""
    return (
        task.spec.demand.cpu * task.throttle_percent / 100_000.0
        - task.usage / 1000.0
    )


# Score of a candidate that a task fits: the lowest one wins; none rejects the
# candidate.
Score = abc.Callable[[job_table.Task, Candidate, float], float | None]
SCORES: registry.Registry[Score] = registry.Registry('placement score')


@SCORES.register('serving')
def score_serving(
    task: job_table.Task, candidate: Candidate, now: float
) -> float | None:
    """Prefer runners that serve the same image, then packed ones.

    A filler needs a runner on which it disturbs no serving image. Each image
    that is added to a runner excludes most of the fillers that could use it
    so far; the more images it has already, the fewer are excluded.
    """
    assert candidate.runner.info is not None
    total_cpu = max(1, candidate.runner.info.capacity.cpu)
    left = (candidate.cpu - task.spec.demand.cpu) / total_cpu
    score = PACKING_WEIGHT * left + candidate.failure_rate
    if candidate.cold:
        score += COLD_SCORE
    if task.spec.image not in candidate.serving_images:
        usable = COMPATIBLE_SHARE ** len(candidate.serving_images)
        score += usable * (1.0 - COMPATIBLE_SHARE)
    return score


@SCORES.register('filler')
def score_filler(
    task: job_table.Task, candidate: Candidate, now: float
) -> float | None:
    """Prefer runners with low pressure and idle processors."""
    assert candidate.runner.info is not None
    pressure = candidate.infer_pressure(task)
    if find_filler_rejection_reason(task, candidate, pressure):
        return None
    total_cpu = max(1, candidate.runner.info.capacity.cpu)
    return (
        _infer_base_score(task, candidate)
        + pressure
        - candidate.spare_cpu / total_cpu
    )


@SCORES.register('batch')
def score_batch(
    task: job_table.Task, candidate: Candidate, now: float
) -> float | None:
    """Prefer runners where most processors are idle."""
    assert candidate.runner.info is not None
    total_cpu = max(1, candidate.runner.info.capacity.cpu)
    return _infer_base_score(task, candidate) - candidate.spare_cpu / total_cpu


def _infer_base_score(task: job_table.Task, candidate: Candidate) -> float:
    """Return the part of a score for failures and the location of data."""
    runner, spec = candidate.runner, task.spec
    assert runner.info is not None
    score = candidate.failure_rate
    if candidate.cold:
        score += COLD_SCORE
    if runner.name in task.failed_on:
        score += 2.0
    if runner.slow or runner.name == task.avoided_instance:
        score += SLOW_PENALTY
    if spec.near_rack and spec.near_rack not in runner.info.labels:
        score += 1.0
    if candidate.awaited and spec.near_rack not in runner.info.labels:
        # The next free place there is better used by a task that waits.
        score += AWAITED_PENALTY
    return score


def find_score_name(step: types.Step) -> str:
    """Return the name of the registered score for the tasks of a step."""
    if step.lasts:
        return 'serving'
    return 'filler' if step.fills else 'batch'


def choose(
    task: job_table.Task, candidates: abc.Iterable[Candidate], now: float
) -> Candidate | None:
    """Return the best candidate for a task; none if it fits nowhere."""
    score = SCORES.get(find_score_name(task.spec))
    best: Candidate | None = None
    best_score = 0.0
    for candidate in candidates:
        if not fits(task, candidate):
            continue
        value = score(task, candidate, now)
        if value is not None and (best is None or value < best_score):
            best, best_score = candidate, value
    return best


def choose_least_disturbed(
    task: job_table.Task, candidates: abc.Iterable[Candidate]
) -> Candidate | None:
    """Return the fitting candidate with the lowest pressure, however high."""
    fitting = [candidate for candidate in candidates if fits(task, candidate)]
    return min(fitting, key=lambda c: c.infer_pressure(task), default=None)

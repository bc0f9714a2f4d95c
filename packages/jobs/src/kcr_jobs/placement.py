"""Choose the runner of a task."""

from collections import abc
import dataclasses

from kcr_core import registry
from kcr_jobs import interference_model
from kcr_jobs import job_table
from kcr_jobs import runners
from kcr_jobs import throttling
from kcr_jobs import types

# Share of a serving task's reservation that it is taken to keep busy; the
# users' site files give 0.45 on average, with swings of half of it.
SERVING_BUSY_SHARE = 0.5
# Share of the filler images that are taken to go along with one serving image;
# the users' site files call 55% of the effects heavy.
COMPATIBLE_SHARE = 0.45
# Weight of the processors that a serving task would leave unreserved; it
# decides between runners with the same images.
PACKING_WEIGHT = 0.05
# Share at which a filler starts beside a serving task if the effect of the
# pair isn't known, in percent; enough to measure it within a second.
PROBE_PERCENT = 30.0
# Time after an order in which its effect may not show in reports yet, in
# seconds: the order, half a second of measurement, and the next report.
REPORT_DELAY_S = 1.2
# Pressure up to which fillers are put beside serving tasks; pacing begins a
# little above it.
MAX_PRESSURE = 0.75


@dataclasses.dataclass(slots=True)
class Candidate:
    """Hold what is left on a node while starts are being chosen."""

    # The node.
    runner: runners.RunnerState
    # Reservable processors, memory and accelerators that are left.
    cpu: int
    mem_mb: int
    gpu: int
    # Processors that fillers can expect to get.
    spare_cpu: float
    # Images of the serving tasks there.
    serving_images: set[str]
    # Tasks by job, occurrence and step.
    tasks_per_step: dict[tuple[str, int, int], int]
    # Starts that a suspect node may still get.
    starts_left: int
    # Effects of fillers on serving tasks.
    interference: interference_model.InterferenceModel
    # Serving tasks with their latency against the target, raised by what
    # the fillers that are being started will add.
    pressures: list[tuple[job_table.Task, float]]

    def reserve(self, task: job_table.Task) -> None:
        """Reserve room for a task."""
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
        """Return what a filler adds to a latency against its target."""
        added = self.interference.predict(
            serving.spec.image, filler.spec.image
        )
        cores = filler.spec.demand.cpu / 1000.0
        return added * cores / serving.spec.target_ms

    def infer_pressure(self, filler: job_table.Task) -> float:
        """Return the highest pressure once a filler works here as well."""
        return max(
            (
                p + self._infer_added_pressure(s, filler)
                for s, p in self.pressures
            ),
            default=0.0,
        )

    def infer_start_percent(self, filler: job_table.Task) -> int:
        """Return the share at which a filler starts here, in percent."""
        share = 100.0
        for serving, pressure in self.pressures:
            if not self.interference.is_known(
                serving.spec.image, filler.spec.image
            ):
                share = min(share, PROBE_PERCENT)
            added = self._infer_added_pressure(serving, filler)
            if pressure + added > MAX_PRESSURE:
                headroom = max(0.0, MAX_PRESSURE - pressure)
                share = min(share, 100.0 * headroom / added)
        percent = (
            int(share // throttling.PERCENT_STEP) * throttling.PERCENT_STEP
        )
        return max(throttling.MIN_PERCENT, percent)


def infer_expected_cpu(task: job_table.Task) -> float:
    """Return the processors that a task is expected to keep busy."""
    cpu = task.spec.demand.cpu
    return cpu * SERVING_BUSY_SHARE if task.spec.lasts else float(cpu)


def make_candidate(
    runner: runners.RunnerState,
    now: float,
    suspect: bool,
    interference: interference_model.InterferenceModel,
) -> Candidate:
    """Return the room of a node; a suspect one gets a task at a time."""
    assert runner.info is not None
    have = runner.info.capacity
    used = runner.reserved()
    candidate = Candidate(
        runner,
        have.cpu - used.cpu,
        have.mem_mb - used.mem_mb,
        have.gpu - used.gpu,
        have.cpu - sum(infer_expected_cpu(t) for t in runner.tasks.values()),
        {t.spec.image for t in runner.tasks.values() if t.spec.lasts},
        {},
        1_000_000,
        interference,
        _infer_pressures(runner, interference, now),
    )
    for task in runner.tasks.values():
        step = (task.job.spec.job_id, task.occurrence, task.step)
        candidate.tasks_per_step[step] = (
            candidate.tasks_per_step.get(step, 0) + 1
        )
    if suspect:
        waited = now - runner.last_start_at >= runners.PROBE_INTERVAL_S
        candidate.starts_left = 1 if waited and not runner.tasks else 0
    return candidate


def find_rejection_reason(task: job_table.Task, candidate: Candidate) -> str:
    """Return what keeps a task off a node; empty where it fits."""
    spec, info = task.spec, candidate.runner.info
    assert info is not None
    demand = spec.demand
    if info.service != task.job.spec.queue.service:
        return 'service'
    if candidate.starts_left <= 0:
        return 'failing runner'
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
    return ''


def find_filler_rejection_reason(
    task: job_table.Task, candidate: Candidate, pressure: float
) -> str:
    """Return what keeps a filler off a node that it fits; else empty."""
    if candidate.runner.name == task.avoided_instance:
        return 'moved away'
    if candidate.spare_cpu < task.spec.demand.cpu:
        return 'unused processors'
    if pressure > MAX_PRESSURE:
        return 'pressure'
    return ''


def fits(task: job_table.Task, candidate: Candidate) -> bool:
    """Tell whether a task may be started on a node."""
    return not find_rejection_reason(task, candidate)


def count_rejections(
    task: job_table.Task, candidates: abc.Iterable[Candidate]
) -> dict[str, int]:
    """Return the number of nodes by what keeps a task off them."""
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
    """Return the pressures, with what fillers add that doesn't show yet."""
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
    """Return the cores that a filler will use beyond what it reported."""
    return (
        task.spec.demand.cpu * task.throttle_percent / 100_000.0
        - task.usage / 1000.0
    )


# Scores a node that fits; the lowest score wins, none refuses the node.
Score = abc.Callable[[job_table.Task, Candidate, float], float | None]
SCORES: registry.Registry[Score] = registry.Registry('placement score')


@SCORES.register('serving')
def score_serving(
    task: job_table.Task, candidate: Candidate, now: float
) -> float | None:
    """Keep serving tasks of an image together, and pack them.

    A filler needs a runner on which it goes along with every serving image.
    Each image that is added to a runner shuts most of the fillers out that
    could use it so far, the fewer the more images are there already.
    """
    assert candidate.runner.info is not None
    left = (
        candidate.cpu - task.spec.demand.cpu
    ) / candidate.runner.info.capacity.cpu
    score = PACKING_WEIGHT * left + candidate.runner.failure_rate
    if task.spec.image not in candidate.serving_images:
        usable = COMPATIBLE_SHARE ** len(candidate.serving_images)
        score += usable * (1.0 - COMPATIBLE_SHARE)
    return score


@SCORES.register('filler')
def score_filler(
    task: job_table.Task, candidate: Candidate, now: float
) -> float | None:
    """Put fillers where they disturb least and find unused processors."""
    assert candidate.runner.info is not None
    pressure = candidate.infer_pressure(task)
    if find_filler_rejection_reason(task, candidate, pressure):
        return None
    have = max(1, candidate.runner.info.capacity.cpu)
    return (
        _infer_base_score(task, candidate)
        + pressure
        - candidate.spare_cpu / have
    )


@SCORES.register('batch')
def score_batch(
    task: job_table.Task, candidate: Candidate, now: float
) -> float | None:
    """Put other work where most processors are idle."""
    assert candidate.runner.info is not None
    have = max(1, candidate.runner.info.capacity.cpu)
    return _infer_base_score(task, candidate) - candidate.spare_cpu / have


def _infer_base_score(task: job_table.Task, candidate: Candidate) -> float:
    """Return the part of a score that data, failures and speed add."""
    runner, spec = candidate.runner, task.spec
    assert runner.info is not None
    score = runner.failure_rate
    if runner.name in task.failed_on:
        score += 2.0
    if spec.near_rack and spec.near_rack not in runner.info.labels:
        score += 1.0
    return score


def find_score_name(step: types.Step) -> str:
    """Return the name of the score for the tasks of a step."""
    if step.lasts:
        return 'serving'
    return 'filler' if step.fills else 'batch'


def choose(
    task: job_table.Task, candidates: abc.Iterable[Candidate], now: float
) -> Candidate | None:
    """Return the best room for a task, or none."""
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
    """Return the room that a task disturbs least, however much that is."""
    fitting = [candidate for candidate in candidates if fits(task, candidate)]
    return min(fitting, key=lambda r: r.infer_pressure(task), default=None)

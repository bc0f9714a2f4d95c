"""Learn how long tasks run, by kind of work.

The controller records the end of each run. A kind of work is a queue, an image
and the index of a step. Times are at full share: seconds in which a filler is
throttled, or in which a task is slowed down by its place, count in part. The
caller's estimate is the prior, with the weight of a few runs. The state is not
durable: a new owner starts with the priors.
"""

import collections
import dataclasses
import math

from kcr_jobs import job_table
from kcr_jobs import ordering
from kcr_jobs import types

# Weight of the caller's estimate, in runs.
PRIOR_RUNS = 3.0
# Time after which the weight of a run has fallen to 1/e, in seconds; it spans
# several bursts and waves of the users' load, which last 4 to 15 s.
DECAY_S = 60.0
# Maximum number of kinds; the users' deployments have below 100.
MAX_KINDS = 512
# Ratio of the bounds of a bin of run times; the error of a decile is half.
BIN_FACTOR = 1.15
# Run time of the first bin, in seconds; shorter ones are counted there.
MIN_RUN_S = 0.01
# Share of the work from which its progress tells the run time, in percent.
MIN_PERCENT = 10
# Weight of longer runs, in runs, from which their times tell how much longer
# a run takes that has exceeded the others.
MIN_LONGER_RUNS = 0.5
# Expected rest of a run that is longer than all others, as a part of the time
# that it has run.
OVERTIME_SHARE = 0.25
# Share of its processors at which a throttled filler is expected to go on at
# least; throttling rises again or moves it.
MIN_SHARE = 0.1


@dataclasses.dataclass(slots=True)
class RunTimes:
    """Store the run times of one kind of work, with decayed weights."""

    # Sum of the weights, and of the weighted run times in seconds.
    weight: float = 0.0
    total_s: float = 0.0
    # Weight by number of the bin.
    bins: dict[int, float] = dataclasses.field(default_factory=dict)
    # Time of the last sample.
    updated_at: float = 0.0

    def add(self, run_s: float, now: float) -> None:
        """Add a run with weight 1; decay the older ones."""
        decay = math.exp(min(0.0, self.updated_at - now) / DECAY_S)
        self.updated_at = max(self.updated_at, now)
        self.weight = self.weight * decay + 1.0
        self.total_s = self.total_s * decay + run_s
        self.bins = {
            number: weight * decay for number, weight in self.bins.items()
        }
        number = _find_bin(run_s)
        self.bins[number] = self.bins.get(number, 0.0) + 1.0

    def find_quantile(self, share: float) -> float:
        """Return the run time that a share of the runs does not exceed."""
        left = share * self.weight
        number = 0
        for number in sorted(self.bins):
            left -= self.bins[number]
            if left <= 0.0:
                break
        return _bin_s(number)

    def infer_rest_s(self, work_s: float) -> float | None:
        """Return the mean rest of runs longer than a time; none if rare."""
        weight = rest = 0.0
        for number, runs in self.bins.items():
            if _bin_s(number) > work_s:
                weight += runs
                rest += runs * (_bin_s(number) - work_s)
        return rest / weight if weight >= MIN_LONGER_RUNS else None


class Durations:
    """Store the run times by kind of work, and expect those of tasks."""

    def __init__(self) -> None:
        # Run times by queue, image and index of the step; the kind whose
        # last run ended first comes first.
        self._kinds: collections.OrderedDict[
            tuple[str, str, int], RunTimes
        ] = collections.OrderedDict()

    def begin(self, task: job_table.Task, now: float) -> None:
        """Begin to measure a run that is ordered now."""
        task.work_s, task.worked_until = 0.0, now
        task.resumed = bool(task.checkpoint)

    def advance(self, task: job_table.Task, now: float) -> None:
        """Add the work since the last call; call it before its share changes.

        A run that an earlier owner ordered isn't measured.
        """
        task.work_s = _infer_work_s(task, now)
        task.worked_until = now

    def record_end(self, task: job_table.Task, how: str, now: float) -> None:
        """Learn from the reported end of a run.

        Only whole runs count: not those that were resumed, nor those that an
        earlier owner ordered.
        """
        if how != 'done' or task.spec.lasts or not task.instance:
            return
        if not task.ordered_at or task.resumed:
            return
        key = _find_kind(task.job, task.step)
        times = self._kinds.get(key)
        if times is None:
            times = self._kinds[key] = RunTimes(updated_at=now)
            if len(self._kinds) > MAX_KINDS:
                self._kinds.popitem(last=False)
        self._kinds.move_to_end(key)
        times.add(_infer_work_s(task, now), now)

    def samples(self, task: job_table.Task) -> int:
        """Return the number of recent runs of the task's kind."""
        times = self._kinds.get(_find_kind(task.job, task.step))
        return int(times.weight) if times is not None else 0

    def updated_at(self, task: job_table.Task) -> float | None:
        """Return when a run of the task's kind ended last; none for never."""
        times = self._kinds.get(_find_kind(task.job, task.step))
        return times.updated_at if times is not None else None

    def expected_s(self, task: job_table.Task) -> float:
        """Return the expected run time of a task at full share, in seconds."""
        return self.expected_step_s(task.job, task.step)

    def expected_step_s(self, job: job_table.Job, step: int) -> float:
        """Return the expected run time of a task of a step, in seconds."""
        prior_s = _infer_prior_s(job.spec.steps[step])
        times = self._kinds.get(_find_kind(job, step))
        if times is None:
            return prior_s
        return (PRIOR_RUNS * prior_s + times.total_s) / (
            PRIOR_RUNS + times.weight
        )

    def quantile_step_s(
        self, job: job_table.Job, step: int, share: float
    ) -> float:
        """Return the time that a share of the tasks of a step don't exceed."""
        prior_s = _infer_prior_s(job.spec.steps[step])
        times = self._kinds.get(_find_kind(job, step))
        if times is None:
            return prior_s
        return (
            PRIOR_RUNS * prior_s + times.weight * times.find_quantile(share)
        ) / (PRIOR_RUNS + times.weight)

    def median_s(self, task: job_table.Task, min_samples: int) -> float | None:
        """Return the learnt median of a task's kind; none with few runs."""
        times = self._kinds.get(_find_kind(task.job, task.step))
        if times is None or times.weight < min_samples:
            return None
        return times.find_quantile(0.5)

    def work_s(self, task: job_table.Task, now: float) -> float:
        """Return the time that a run has had at full share, in seconds."""
        return _infer_work_s(task, now)

    def decile_s(self, task: job_table.Task) -> float:
        """Return the time that nine of ten tasks don't exceed, in seconds."""
        return self.quantile_step_s(task.job, task.step, 0.9)

    def remaining_s(self, task: job_table.Task, now: float) -> float:
        """Return the expected time until a running task ends, in seconds.

        It assumes that the task keeps its share. A waiting task takes the
        expected run time.
        """
        if not task.instance:
            return self.expected_s(task)
        return self._infer_rest_s(task, now) / _find_rate(task)

    def _infer_rest_s(self, task: job_table.Task, now: float) -> float:
        """Return the expected rest of a run at full share."""
        work_s = _infer_work_s(task, now)
        since_report_s = work_s - task.work_s
        done = min(100, task.percent) / 100.0
        measured = bool(task.ordered_at) and not task.resumed
        if task.percent >= MIN_PERCENT and measured and task.work_s:
            rest_s = task.work_s * (1.0 - done) / done
            return max(0.0, rest_s - since_report_s)
        expected_s = self.expected_s(task)
        if task.percent and not measured:
            return max(0.0, expected_s * (1.0 - done) - since_report_s)
        times = self._kinds.get(_find_kind(task.job, task.step))
        found = times.infer_rest_s(work_s) if times is not None else None
        if found is not None:
            return found
        return max(expected_s - work_s, OVERTIME_SHARE * work_s)

    def chain_s(self, job: job_table.Job) -> float:
        """Return the expected time of the longest chain of steps."""
        chain: list[float] = []
        for index, step in enumerate(job.spec.steps):
            before = max((chain[n] for n in step.after), default=0.0)
            chain.append(before + self.expected_step_s(job, index))
        return max(chain, default=0.0)

    def chain_after_s(self, job: job_table.Job, step: int) -> float:
        """Return the expected time of the longest chain after a step."""
        steps = job.spec.steps
        ends: dict[int, float] = {step: 0.0}
        # A step depends on earlier ones only.
        for index in range(step + 1, len(steps)):
            before = [ends[n] for n in steps[index].after if n in ends]
            if before:
                own_s = self.expected_step_s(job, index)
                ends[index] = max(before) + own_s
        return max(ends.values())


def _find_kind(job: job_table.Job, step: int) -> tuple[str, str, int]:
    return (job.spec.queue.name, job.spec.steps[step].image, step)


def _infer_prior_s(step: types.Step) -> float:
    return max(ordering.MIN_ESTIMATE_S, step.estimate_ms / 1000.0)


def _infer_work_s(task: job_table.Task, now: float) -> float:
    """Return the time that a run has had, at full share."""
    if not task.ordered_at:
        return 0.0
    share = task.throttle_percent / 100.0 if task.spec.fills else 1.0
    passed_s = max(0.0, now - task.worked_until)
    return task.work_s + passed_s * share / task.slowdown


def _find_rate(task: job_table.Task) -> float:
    """Return the work that a running task does in a second."""
    share = task.throttle_percent / 100.0 if task.spec.fills else 1.0
    return max(MIN_SHARE, share) / task.slowdown


def _find_bin(run_s: float) -> int:
    return round(math.log(max(1.0, run_s / MIN_RUN_S), BIN_FACTOR))


def _bin_s(number: int) -> float:
    """Return the run time in the middle of a bin, in seconds."""
    return float(MIN_RUN_S * BIN_FACTOR**number)

"""Choose tasks to stop for a more urgent job that can't be placed.

The planner reports the first task of each step that found no runner. For the
most urgent job that would miss its target, the tasks of one runner are chosen
whose stop makes room at the least loss. One set of victims is stopped at a
time. A victim can't preempt a task itself, as only jobs of priority 0 may, so
that no two jobs stop each other's tasks.
"""

import bisect
from collections import abc
import dataclasses
import itertools
import math

from kcr_jobs import conditions
from kcr_jobs import durations
from kcr_jobs import interference_model
from kcr_jobs import job_table
from kcr_jobs import job_work
from kcr_jobs import ordering
from kcr_jobs import placement
from kcr_jobs import runners

# Priority of the jobs that may preempt others.
URGENT_PRIORITY = 0
# Time until a stopped task has ended and the owner knows, in seconds: the
# order, a checkpoint, and the next report.
STOP_S = 1.0
# Time that a victim loses until it runs elsewhere, in seconds.
RESTART_S = 1.0
# Time in which no task of a job is preempted again, in seconds.
COOLDOWN_S = 15.0
# Time after which victims that have not ended don't keep another set from
# being chosen, in seconds; longer than a lease.
SET_TIMEOUT_S = 10.0
# Time between two looks for a set, in seconds; the room of the last one has to
# be used first, and a look rates every runner.
LOOK_INTERVAL_S = 0.5
# Largest number of victims of one set.
MAX_VICTIMS = 4
# Part of its target that must be left to the job of a victim; its tasks wait
# again, and several of them may be stopped.
MARGIN_SHARE = 0.6
# Number of runs that an estimate must rest on.
MIN_SAMPLES = 20
# Reasons of a rejection that a stop can remove.
CAPACITY_REASONS = frozenset({'processors', 'memory', 'accelerators'})


@dataclasses.dataclass(frozen=True, slots=True)
class VictimSet:
    """Describe the tasks to stop on one runner."""

    # The task that gets room.
    task: job_table.Task
    victims: tuple[job_table.Task, ...]
    # What the waiting tasks gain and the victims lose, in core-seconds.
    gain: float
    loss: float


class Preemption:
    """Choose one set of victims at a time."""

    def __init__(
        self,
        run_times: durations.Durations,
        interference: interference_model.InterferenceModel,
    ) -> None:
        self._run_times = run_times
        self._interference = interference
        # Where tasks may start, at the last look.
        self._limits = conditions.Conditions()
        # Victims that have not ended yet, with the attempt that is stopped.
        self._ending: list[tuple[job_table.Task, int]] = []
        self._chosen_at = self._looked_at = -math.inf

    def choose(
        self,
        unplaced: abc.Iterable[job_table.Task],
        schedulable: list[runners.RunnerState],
        now: float,
        limits: conditions.Conditions = conditions.Conditions(),
    ) -> VictimSet | None:
        """Return the tasks to stop; none if that is not worthwhile.

        `unplaced` has the first task of each step without a runner, the most
        urgent job first.
        """
        self._ending = [
            (task, attempt)
            for task, attempt in self._ending
            if task.instance and task.attempt == attempt
        ]
        if self._ending and now - self._chosen_at < SET_TIMEOUT_S:
            return None
        if now - self._looked_at < LOOK_INTERVAL_S:
            return None
        urgent = [task for task in unplaced if _may_preempt(task)]
        if not urgent or not schedulable:
            return None
        self._looked_at = now
        self._limits = limits
        suspects = runners.find_suspects(schedulable, now)
        usable = [r for r in schedulable if r not in suspects]
        # What waits ahead takes the first places; the longest waits are at the
        # end. Each try rates every runner, so three stand for all.
        sums = list(itertools.accumulate(map(_count_waiting, urgent)))
        for index in sorted({0, len(urgent) // 2, len(urgent) - 1}):
            found = self._choose_for(urgent[index], usable, sums[index], now)
            if found is not None:
                self._chosen_at = now
                self._ending = [(t, t.attempt) for t in found.victims]
                for victim in found.victims:
                    victim.job.preempted_at = now
                return found
        return None

    def _choose_for(
        self,
        task: job_table.Task,
        usable: list[runners.RunnerState],
        waiting: int,
        now: float,
    ) -> VictimSet | None:
        """Return the victims for a task that waits with others."""
        fitting = self._find_fitting(task, usable, now)
        if fitting is None:
            return None
        waits_s = self._infer_waits_s(task, fitting, waiting, now)
        if not self._is_urgent(task, waits_s[-1], now):
            return None
        best: VictimSet | None = None
        for runner in fitting:
            found = self._choose_on(task, runner, waits_s, now)
            if found is not None and found.gain > found.loss:
                if best is None or found.loss < best.loss:
                    best = found
        return best

    def _find_fitting(
        self,
        task: job_table.Task,
        usable: list[runners.RunnerState],
        now: float,
    ) -> list[runners.RunnerState] | None:
        """Return the runners on which a task only lacks capacity.

        The result is none if a runner has room, as the next plan uses it.
        """
        fitting = []
        for runner in usable:
            candidate = placement.make_candidate(
                runner, now, False, self._interference, self._limits
            )
            reason = placement.find_rejection_reason(task, candidate)
            if not reason:
                return None
            if reason in CAPACITY_REASONS:
                fitting.append(runner)
        return fitting

    def _is_urgent(
        self, task: job_table.Task, wait_s: float, now: float
    ) -> bool:
        """Return whether the job is late if it waits, and of use if not."""
        job = task.job
        if task.spec.lasts:
            return wait_s > STOP_S
        if self._run_times.samples(task) < MIN_SAMPLES:
            return False
        chain_s = job_work.infer_chain_left_s(job, self._run_times)
        target_s = job_work.infer_target_s(job, self._run_times)
        left_s = job.accepted_at + target_s - now
        useful_s = (
            job.accepted_at
            + job_work.infer_useful_s(job, self._run_times)
            - now
        )
        return wait_s + chain_s > left_s and STOP_S + chain_s <= useful_s

    def _infer_waits_s(
        self,
        task: job_table.Task,
        fitting: list[runners.RunnerState],
        waiting: int,
        now: float,
    ) -> list[float]:
        """Return when each waiting task of a step has room without a stop."""
        ends = []
        candidates = {}
        for runner in fitting:
            candidates[runner.name] = placement.make_candidate(
                runner, now, False, self._interference, self._limits
            )
            for running in runner.tasks.values():
                if not running.spec.lasts:
                    left_s = self._run_times.remaining_s(running, now)
                    ends.append((0.0 if running.stopping else left_s, running))
        ends.sort(key=lambda row: row[0])
        waits_s: list[float] = []
        for left_s, running in ends:
            candidate = candidates[running.instance]
            before = _count_fits(task, candidate)
            _release(candidate, running)
            places = _count_fits(task, candidate) - before
            # A runner may have room for far more tasks than wait.
            waits_s += [left_s] * min(places, waiting - len(waits_s))
            if len(waits_s) >= waiting:
                return waits_s[:waiting]
        return waits_s + [math.inf] * (waiting - len(waits_s))

    def _choose_on(
        self,
        task: job_table.Task,
        runner: runners.RunnerState,
        waits_s: list[float],
        now: float,
    ) -> VictimSet | None:
        """Return the victims on one runner, those that lose least first."""
        rows = sorted(
            (
                (not t.spec.checkpointing, infer_lost_s(t, now), t)
                for t in runner.tasks.values()
                if self._may_be_stopped(t, task, now)
            ),
            key=lambda row: row[:2],
        )
        candidate = placement.make_candidate(
            runner, now, False, self._interference, self._limits
        )
        victims: list[job_table.Task] = []
        loss = 0.0
        for _, lost_s, victim in rows:
            if not _helps(victim, task, candidate):
                continue
            # The victim waits behind the jobs that wait now.
            delay_s = lost_s + RESTART_S + waits_s[-1]
            if not self._keeps_value(victim, delay_s, now):
                continue
            _release(candidate, victim)
            victims.append(victim)
            cores = victim.spec.demand.cpu / 1000.0
            loss += (lost_s + RESTART_S) * cores
            if not placement.find_rejection_reason(task, candidate):
                placed = _count_fits(task, candidate)
                gain = _infer_gain(task, waits_s, placed)
                return VictimSet(task, tuple(victims), gain, loss)
            if len(victims) == MAX_VICTIMS:
                break
        return None

    def _keeps_value(
        self, victim: job_table.Task, delay_s: float, now: float
    ) -> bool:
        """Return whether a delay leaves the value of a job as it is.

        A job of small tasks is worth less than a large one by far, so its
        gain never makes up for a target that the victim misses.
        """
        job, step = victim.job, victim.step
        later_s = job_work.infer_chain_left_s(
            job, self._run_times
        ) - self._run_times.quantile_step_s(job, step, 0.9)
        left_s = self._run_times.remaining_s(victim, now) + max(0.0, later_s)
        ends_in_s = now + left_s - job.accepted_at
        target_s = job_work.infer_target_s(job, self._run_times)
        bounds = (target_s, ordering.USEFUL_FACTOR * target_s)
        later_end_s = ends_in_s + delay_s + MARGIN_SHARE * target_s
        return bisect.bisect_left(bounds, ends_in_s) == bisect.bisect_left(
            bounds, later_end_s
        )

    def _may_be_stopped(
        self, victim: job_table.Task, task: job_table.Task, now: float
    ) -> bool:
        spec = victim.spec
        if spec.lasts or spec.gang or victim.stopping or not victim.listed:
            return False
        if victim.job.spec.queue.priority <= task.job.spec.queue.priority:
            return False
        preempted_at = victim.job.preempted_at
        if preempted_at is not None and now - preempted_at < COOLDOWN_S:
            return False
        return self._run_times.remaining_s(victim, now) > STOP_S


def _count_waiting(task: job_table.Task) -> int:
    """Return the number of waiting tasks of a step."""
    return sum(
        other.step == task.step
        and other.occurrence == task.occurrence
        and not other.done
        and not other.instance
        for other in task.job.tasks.values()
    )


def _may_preempt(task: job_table.Task) -> bool:
    """Return whether a task may stop others.

    A gang needs room on several runners at once, and a filler runs on what
    others leave, so a stop helps neither.
    """
    spec, queue = task.spec, task.job.spec.queue
    return (
        queue.priority == URGENT_PRIORITY
        and not spec.gang
        and not spec.fills
        and not queue.ticket_ms
    )


def infer_lost_s(task: job_table.Task, now: float) -> float:
    """Return the run time that a task loses by a stop, in seconds."""
    since = task.ordered_at
    if task.spec.checkpointing and task.checkpointed_at is not None:
        since = max(since, task.checkpointed_at)
    return max(0.0, now - since)


def _helps(
    victim: job_table.Task,
    task: job_table.Task,
    candidate: placement.Candidate,
) -> bool:
    """Return whether a victim has some of what a task lacks."""
    freed, demand = victim.spec.demand, task.spec.demand
    cpu = 0 if victim.spec.fills else freed.cpu
    return (
        (cpu > 0 and demand.cpu > candidate.cpu)
        or (freed.mem_mb > 0 and demand.mem_mb > candidate.mem_mb)
        or (freed.gpu > 0 and demand.gpu > candidate.gpu)
    )


def _infer_gain(
    task: job_table.Task, waits_s: list[float], placed: int
) -> float:
    """Return what the waiting tasks gain by room for some, in core-seconds.

    The others move up, so the longest waits are saved.
    """
    saved_s = sum(wait_s - STOP_S for wait_s in waits_s[-placed:])
    return saved_s * task.spec.demand.cpu / 1000.0


def _count_fits(task: job_table.Task, candidate: placement.Candidate) -> int:
    """Return how many tasks like one have room."""
    demand = task.spec.demand
    pairs = (
        (candidate.cpu, demand.cpu),
        (candidate.mem_mb, demand.mem_mb),
        (candidate.gpu, demand.gpu),
    )
    return min(
        (max(0, free) // need for free, need in pairs if need), default=1
    )


def _release(candidate: placement.Candidate, task: job_table.Task) -> None:
    """Add what a task reserves to the free capacity of its runner."""
    demand = task.spec.demand
    candidate.mem_mb += demand.mem_mb
    candidate.gpu += demand.gpu
    if not task.spec.fills:
        candidate.cpu += demand.cpu
    step = (task.job.spec.job_id, task.occurrence, task.step)
    if step in candidate.tasks_per_step:
        candidate.tasks_per_step[step] -= 1

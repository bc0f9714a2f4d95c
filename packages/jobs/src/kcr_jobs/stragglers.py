"""Find runners that are slow without saying so, and move tasks off them.

A running task lags if the time that it has had at full share is well beyond
the learnt time of its kind, and its progress says that it will not end soon.
A task that lags alone is long itself and would be as long elsewhere, so it is
left alone. Where most of the recent runs of one runner lag and those of the
others don't, the runner is the cause: its tasks are stopped and start
elsewhere from their checkpoints, if they are expected to end sooner there.
The state is not durable: a new owner begins to observe anew.
"""

from collections import abc
import dataclasses
import math

from kcr_jobs import conditions
from kcr_jobs import durations
from kcr_jobs import interference_model
from kcr_jobs import job_table
from kcr_jobs import placement
from kcr_jobs import preemption
from kcr_jobs import runners

# Number of runs that the learnt time of a kind must rest on.
MIN_SAMPLES = 20
# Time that a run must have had before it counts as lagging, and its expected
# whole time, as multiples of the median of its kind. Run times of the users
# vary by half, and slow runners or long tasks take seven times as long.
LAG_FACTOR = 1.5
LONG_FACTOR = 2.0
# Progress from which the speed of a run that has had less time is known, in
# percentage points.
MIN_PROGRESS = 10
# Time for which an ended run tells something of its runner, in seconds.
EVIDENCE_S = 30.0
# Number of lagging runs, and their part of the runs that worked beside them,
# from which the runner is the cause. With 3 in 100 long tasks, one in six of
# the running ones is long, so that two long ones on a runner are frequent: in
# replays, 2 of them blamed a usual runner in 5 of 9 plays.
MIN_LAGGING = 3
SLOW_SHARE = 0.6
# Part of its usual time after which a run that ends has worked beside a
# lagging one; runs that end earlier may be from before the runner was slow.
BESIDE_FACTOR = 0.5
# Part of the recent runs on all other runners up to which a runner can be the
# cause; above it the learnt times are wrong or everything is slow.
MAX_USUAL_SHARE = 0.3
# Time for which a runner that was found slow gets work only if the others have
# no room, in seconds. Without tasks it gives no new evidence.
SLOW_MEMORY_S = 30.0
# Time between two looks, in seconds; reports come as often.
LOOK_INTERVAL_S = 0.5
# Time from the order to stop until the task works elsewhere, in seconds: the
# stop, the next plan, the start, and up to 0.25 s to restore a checkpoint.
MOVE_S = preemption.STOP_S + 0.5
# Factor by which the rest of the task must take longer where it is, and the
# least time that a move must gain, in seconds.
GAIN_FACTOR = 1.5
MIN_GAIN_S = 1.0
# Largest number of tasks that are moved at the same time, of moves of a task,
# and largest part of the free processors that moves of one look take.
MAX_MOVING = 4
MAX_MOVES = 2
BUDGET_SHARE = 0.25
# Time after which a move that has not ended does not count as one at the same
# time any more, in seconds; longer than a lease.
MOVE_TIMEOUT_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """Describe the move of one task."""

    task: job_table.Task
    # Runner on which it is expected to fit.
    target: str
    # Expected time until its end here and there, in seconds.
    here_s: float
    there_s: float


@dataclasses.dataclass(slots=True)
class _Begin:
    """Store what the first report with progress said of a run."""

    attempt: int
    percent: int
    work_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Evidence:
    """Store what a run tells of its runner."""

    lags: bool
    # Time of its end; infinite while it runs.
    ended_at: float
    # Time from which other runs count as beside it.
    beside_since: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Speed:
    """Store the speed of a run."""

    # Part of its work that it does in a second at full share.
    rate: float
    # Median of its kind in seconds. The time that it has had, and the
    # expected whole time, at full share, as multiples of it.
    median_s: float
    had: float
    whole: float

    @property
    def lags(self) -> bool:
        """Return whether the run is far behind the others of its kind."""
        return self.had >= LAG_FACTOR and self.whole >= LONG_FACTOR


class Stragglers:
    """Observe the speed of runs, and choose tasks to move."""

    def __init__(
        self,
        run_times: durations.Durations,
        interference: interference_model.InterferenceModel,
    ) -> None:
        self._run_times = run_times
        self._interference = interference
        # Begin of the running tasks, by name.
        self._begins: dict[str, _Begin] = {}
        # Runs that have ended a short time ago, by runner.
        self._ends: dict[str, list[_Evidence]] = {}
        # Time until which a runner counts as slow, by name.
        self._slow_until: dict[str, float] = {}
        # Tasks that are being moved: attempt and time of the stop.
        self._moving: dict[job_table.Task, tuple[int, float]] = {}
        self._looked_at = -math.inf

    def record_end(
        self, task: job_table.Task, how: str, runner: str, now: float
    ) -> None:
        """Record the reported end of a run as evidence on its runner."""
        if how != 'done' or task.spec.lasts or not task.ordered_at:
            return
        median_s = self._run_times.median_s(task, MIN_SAMPLES)
        begin = self._begins.get(task.name)
        if median_s is None or (task.resumed and begin is None):
            return
        work_s = self._run_times.work_s(task, now)
        done = 1.0
        if task.resumed and begin is not None:
            work_s -= begin.work_s
            done -= begin.percent / 100.0
        if done <= MIN_PROGRESS / 100.0:
            return
        lags = work_s / done >= LONG_FACTOR * median_s
        self._ends.setdefault(runner, []).append(
            _Evidence(lags, now, task.ordered_at + BESIDE_FACTOR * median_s)
        )

    def is_slow(self, runner: str, now: float) -> bool:
        """Return whether a runner was found slow a short time ago."""
        return now < self._slow_until.get(runner, -math.inf)

    def find_slow(self, now: float) -> list[str]:
        """Return the names of the runners that count as slow."""
        return [name for name in self._slow_until if self.is_slow(name, now)]

    def choose(
        self,
        known: abc.Collection[runners.RunnerState],
        now: float,
        limits: conditions.Conditions = conditions.Conditions(),
    ) -> list[Move]:
        """Return the tasks to stop, so that they start elsewhere.

        It is called with the runners that accept starts, after all tasks for
        which there is room have been started.
        """
        if now - self._looked_at < LOOK_INTERVAL_S:
            return []
        self._looked_at = now
        speeds = self._observe(known, now)
        self._find_slow_runners(known, speeds, now)
        self._moving = {
            task: (attempt, since)
            for task, (attempt, since) in self._moving.items()
            if task.attempt == attempt
            and not task.done
            and now - since < MOVE_TIMEOUT_S
        }
        lagging = [
            (task, speeds[task.name])
            for runner in known
            if self.is_slow(runner.name, now)
            for task in runner.tasks.values()
            if task.name in speeds
            and speeds[task.name].lags
            and _may_move(task)
        ]
        if not lagging or len(self._moving) >= MAX_MOVING:
            return []
        # Those that take longest here delay their jobs most.
        lagging.sort(key=lambda row: row[1].whole, reverse=True)
        suspects = runners.find_suspects(list(known), now)
        targets = [
            placement.make_candidate(
                runner, now, False, self._interference, limits
            )
            for runner in known
            if runner not in suspects
            and now >= runner.cold_until
            and not self.is_slow(runner.name, now)
        ]
        budget = BUDGET_SHARE * sum(max(0.0, c.spare_cpu) for c in targets)
        moves: list[Move] = []
        for task, speed in lagging:
            cpu = task.spec.demand.cpu
            if cpu > budget or len(self._moving) >= MAX_MOVING:
                continue
            move = self._find_move(task, speed, targets, now)
            if move is None:
                continue
            budget -= cpu
            moves.append(move)
            self._moving[task] = (task.attempt, now)
        return moves

    def _observe(
        self, known: abc.Iterable[runners.RunnerState], now: float
    ) -> dict[str, _Speed]:
        """Return the speeds of the running tasks that are known, by name."""
        begins: dict[str, _Begin] = {}
        speeds: dict[str, _Speed] = {}
        medians: dict[tuple[str, str, int], float | None] = {}
        for runner in known:
            for task in runner.tasks.values():
                if not task.listed or task.spec.lasts or not task.ordered_at:
                    continue
                if task.ordered_at < runner.cold_until:
                    continue
                begin = self._begins.get(task.name)
                if begin is None or begin.attempt != task.attempt:
                    if not task.percent:
                        continue
                    # A whole run begins without progress.
                    begin = _Begin(task.attempt, 0, 0.0)
                    if task.resumed:
                        begin.percent, begin.work_s = task.percent, task.work_s
                begins[task.name] = begin
                kind = (
                    task.job.spec.queue.name, task.spec.image, task.step
                )  # fmt: skip
                if kind not in medians:
                    medians[kind] = self._run_times.median_s(task, MIN_SAMPLES)
                median_s = medians[kind]
                if median_s is not None:
                    speed = _infer_speed(task, begin, median_s)
                    if speed is not None:
                        speeds[task.name] = speed
        self._begins = begins
        return speeds

    def _find_slow_runners(
        self,
        known: abc.Iterable[runners.RunnerState],
        speeds: dict[str, _Speed],
        now: float,
    ) -> None:
        """Update which runners count as slow."""
        self._ends = {
            name: kept
            for name, ends in self._ends.items()
            if (kept := [e for e in ends if now - e.ended_at < EVIDENCE_S])
        }
        counts: dict[str, tuple[int, int]] = {}
        for runner in known:
            found = list(self._ends.get(runner.name, []))
            for task in runner.tasks.values():
                speed = speeds.get(task.name)
                # One that is slow but has not had its usual time yet may still
                # be either.
                if speed is not None and (
                    speed.lags or speed.whole < LONG_FACTOR
                ):
                    since = task.ordered_at + BESIDE_FACTOR * speed.median_s
                    found.append(_Evidence(speed.lags, math.inf, since))
            counts[runner.name] = _count_lagging(found)
        all_lagging = sum(lagging for lagging, _ in counts.values())
        all_runs = sum(runs for _, runs in counts.values())
        for name, (lagging, runs) in counts.items():
            if lagging < MIN_LAGGING or lagging < SLOW_SHARE * runs:
                continue
            others = all_runs - runs
            if not others:
                continue
            if all_lagging - lagging <= MAX_USUAL_SHARE * others:
                self._slow_until[name] = now + SLOW_MEMORY_S
        self._slow_until = {
            name: until
            for name, until in self._slow_until.items()
            if now < until
        }

    def _find_move(
        self,
        task: job_table.Task,
        speed: _Speed,
        targets: list[placement.Candidate],
        now: float,
    ) -> Move | None:
        """Return where a task would end sooner; none if nowhere."""
        left = 1.0 - task.percent / 100.0
        share = task.throttle_percent / 100.0 if task.spec.fills else 1.0
        if share <= 0.0:
            # Throttling decides whether a stalled filler moves.
            return None
        here_s = left * task.slowdown / (speed.rate * share)
        lost_s = preemption.infer_lost_s(task, now)
        repeated = min(1.0 - left, lost_s * speed.rate * share)
        whole_s = self._run_times.median_s(task, MIN_SAMPLES) or math.inf
        best: Move | None = None
        chosen: placement.Candidate | None = None
        for candidate in targets:
            if not _is_possible(task, candidate):
                continue
            there = 1.0
            if task.spec.fills:
                there = candidate.infer_start_percent(task) / 100.0
            there_s = (
                MOVE_S + (left + repeated) * whole_s * task.slowdown / there
            )
            if best is None or there_s < best.there_s:
                best = Move(task, candidate.runner.name, here_s, there_s)
                chosen = candidate
        if best is None or chosen is None:
            return None
        if here_s < max(GAIN_FACTOR * best.there_s, best.there_s + MIN_GAIN_S):
            return None
        chosen.reserve(task)
        return best


def _count_lagging(found: list[_Evidence]) -> tuple[int, int]:
    """Return the number of lagging runs, and of them and those beside them.

    Runs that ended before the newest lagging ones don't count, as the runner
    may have become slow since.
    """
    since = sorted(
        (row.beside_since for row in found if row.lags), reverse=True
    )
    if len(since) < MIN_LAGGING:
        return len(since), len(found)
    limit = since[MIN_LAGGING - 1]
    usual = sum(not row.lags and row.ended_at > limit for row in found)
    return len(since), len(since) + usual


def _infer_speed(
    task: job_table.Task, begin: _Begin, median_s: float
) -> _Speed | None:
    """Return the speed of a run; none if it can't be known yet.

    It rests on the values of the last report.
    """
    work_s = task.work_s - begin.work_s
    progress = task.percent - begin.percent
    if work_s <= 0.0 or median_s <= 0.0 or progress <= 0:
        return None
    had = work_s / median_s
    if progress < MIN_PROGRESS and had < LAG_FACTOR:
        return None
    rate = progress / 100.0 / work_s
    return _Speed(rate, median_s, had, 1.0 / (rate * median_s))


def _may_move(task: job_table.Task) -> bool:
    """Return whether a task can go on elsewhere.

    A task of an advised queue would need a ticket for the other runner.
    """
    spec = task.spec
    return (
        spec.checkpointing
        and bool(task.checkpoint)
        and not spec.lasts
        and not spec.gang
        and not task.stopping
        and task.job.is_open()
        and task.moves < MAX_MOVES
        and not task.job.spec.queue.ticket_ms
    )


def _is_possible(task: job_table.Task, candidate: placement.Candidate) -> bool:
    """Return whether a task has room on a runner, and is not slower there.

    A task does not leave the rack of its data or of its group.
    """
    if placement.find_rejection_reason(task, candidate):
        return False
    if task.spec.fills:
        pressure = candidate.infer_pressure(task)
        if placement.find_filler_rejection_reason(task, candidate, pressure):
            return False
    if candidate.spare_cpu < task.spec.demand.cpu:
        return False
    near = task.spec.near_rack
    if near and task.slowdown <= 1.0 and near not in candidate.labels:
        return False
    return not task.spec.rack_local

"""Decide whether a job that is submitted can still be of use.

The owner estimates when the job would end, from learnt run times, the work
that is waiting ahead of it and the rate at which the runners complete work.
Each part of the estimate is the lowest that is likely, so that a job that
could end in time is not refused.
"""

import bisect
from collections import abc
import dataclasses
import itertools
import math
import zlib

from kcr_jobs import drain_rate
from kcr_jobs import durations
from kcr_jobs import evacuation
from kcr_jobs import job_table
from kcr_jobs import job_work
from kcr_jobs import ordering
from kcr_jobs import placement
from kcr_jobs import runners
from kcr_jobs import shares
from kcr_jobs import throttling

# Number of runs of each step's kind before a job may be refused.
MIN_SAMPLES = 20
# Time between two looks at all jobs and runners, in seconds.
REFRESH_S = 0.25
# Factor on the measured rate before a job is refused, as the next seconds may
# go better.
RATE_MARGIN = 1.2
# Time with waiting work after which the load is taken to go on, in seconds;
# the users' bursts last 4 to 6 s.
LONG_OVERLOAD_S = 20.0
# Part of the recent work of jobs in time that is expected to come again and
# to go before a job that is late.
INFLOW_SHARE = 0.8
# Least part of the processors that late jobs are expected to get.
MIN_LATE_SHARE = 0.1
# Shortest and longest Retry-After, in milliseconds; a burst of the users'
# callers lasts 4 to 6 s.
MIN_RETRY_MS = 1000
MAX_RETRY_MS = 30_000

# Effects of a decision, as in the label of the metric.
EXEMPT = 'exempt'
FEW_SAMPLES = 'few samples'
FREE = 'free capacity'
USEFUL = 'useful'
REFUSED = 'refused'

Order = tuple[float, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Describe a decision and what it rests on."""

    effect: str
    # Estimated time to the end, and the latest at which it is of use, in
    # seconds from now.
    ends_in_s: float = 0.0
    useful_s: float = math.inf
    # Free processors, and work waiting ahead, in cores and core-seconds.
    free_cores: float = 0.0
    ahead_core_s: float = 0.0
    # Time until the queue has drained enough for the job, in milliseconds.
    wait_ms: float = 0.0

    @property
    def reason(self) -> str:
        """Return the reason of a refusal for the caller."""
        return (
            f'would end in {self.ends_in_s:.1f} s, '
            f'of use up to {self.useful_s:.1f} s'
        )


@dataclasses.dataclass(slots=True)
class Pool:
    """Describe the queue for the processors of one service.

    Fillers have a pool of their own: they use what other tasks leave unused.
    """

    rate: drain_rate.DrainRate = dataclasses.field(
        default_factory=drain_rate.DrainRate
    )
    # Work of the jobs that were accepted and expected to be in time, by queue.
    inflow: dict[str, drain_rate.WorkWindow] = dataclasses.field(
        default_factory=dict
    )
    # Processors that tasks may use in total, and that are free, in cores.
    cores: float = 0.0
    free: float = 0.0
    # Keys of the waiting jobs in their order, with the sums of the work, in
    # core-seconds, up to each of them.
    keys: list[Order] = dataclasses.field(default_factory=list)
    sums: list[float] = dataclasses.field(default_factory=list)
    # Demand of the tasks that are ready, in cores.
    ready: float = 0.0
    # Keys and work of the jobs that were accepted since.
    added: list[tuple[Order, float]] = dataclasses.field(default_factory=list)

    def set_waiting(self, rows: list[tuple[Order, float]]) -> None:
        """Store the waiting work."""
        rows.sort()
        self.keys = [key for key, _ in rows]
        self.sums = list(itertools.accumulate(work for _, work in rows))
        self.added.clear()

    def infer_ahead(self, key: Order) -> float:
        """Return the work that goes before a job, in core-seconds."""
        index = bisect.bisect_left(self.keys, key)
        ahead = self.sums[index - 1] if index else 0.0
        return ahead + sum(work for other, work in self.added if other < key)

    def infer_cores(self, now: float) -> float:
        """Return the work that is completed in a second."""
        measured = self.rate.infer_cores(now)
        return self.cores if measured is None else min(self.cores, measured)

    def infer_late_cores(self, queue: str, share: float, now: float) -> float:
        """Return the work of late jobs of a queue that is completed a second.

        In a long overload they get what later jobs in time leave of the share
        of their queue.
        """
        cores = self.infer_cores(now)
        if self.rate.infer_backlogged_s(now) < LONG_OVERLOAD_S:
            return cores
        inflow = sum(w.infer_cores(now) for w in self.inflow.values())
        left = cores - INFLOW_SHARE * inflow
        if queue in self.inflow:
            own = self.inflow[queue].infer_cores(now)
            left = max(left, min(share, cores) - INFLOW_SHARE * own)
        return max(MIN_LATE_SHARE * cores, left)

    def record_inflow(self, queue: str, work: float, now: float) -> None:
        """Record a job that was accepted and is expected to be in time."""
        window = self.inflow.setdefault(queue, drain_rate.WorkWindow())
        window.record(work, now)
        for name in [n for n, w in self.inflow.items() if not w.count(now)]:
            del self.inflow[name]


class Admission:
    """Estimate when jobs would end, and refuse those of no use."""

    def __init__(
        self,
        run_times: durations.Durations,
        job_shares: shares.Shares,
        order: ordering.Key,
    ) -> None:
        self._run_times = run_times
        self._shares = job_shares
        self._order = order
        # Pools by service and whether they are for fillers.
        self._pools: dict[tuple[str, bool], Pool] = {}
        self._refreshed_at = -math.inf

    def record_end(self, task: job_table.Task, now: float) -> None:
        """Record a task that is done, for the rate of its pool."""
        if task.spec.lasts:
            return
        work = job_work.infer_step_work(
            task.job, task.step, 1, self._run_times
        )
        self._find_pool(task.job, task.spec.fills).rate.record_end(work, now)

    def decide(
        self,
        draft: job_table.Job,
        jobs: abc.Iterable[job_table.Job],
        known: abc.Iterable[runners.RunnerState],
        now: float,
        evacuated: evacuation.View | None = None,
    ) -> Verdict:
        """Return whether a job may be accepted, with the estimate."""
        spec = draft.spec
        if ordering.is_long_running(draft) or spec.repeat or spec.start_at_ms:
            return Verdict(EXEMPT)
        if not draft.tasks:
            return Verdict(FREE)
        if min(map(self._run_times.samples, draft.tasks.values())) < (
            MIN_SAMPLES
        ):
            return Verdict(FEW_SAMPLES)
        if now - self._refreshed_at >= REFRESH_S:
            self._refreshed_at = now
            self._refresh(list(jobs), list(known), now, evacuated)
        verdict = self._estimate(draft, now)
        if verdict.effect != REFUSED:
            self._add(draft, now)
        return verdict

    def _estimate(self, draft: job_table.Job, now: float) -> Verdict:
        key = self._order(draft, now)
        chain_s = job_work.infer_chain_left_s(draft, self._run_times)
        useful_s = job_work.infer_useful_s(draft, self._run_times)
        ends_in_s, free, ahead, covered = chain_s, math.inf, 0.0, True
        for fills in {step.fills for step in draft.spec.steps}:
            pool = self._find_pool(draft, fills)
            steps = [
                (number, step)
                for number, step in enumerate(draft.spec.steps)
                if step.fills == fills
            ]
            widest = max(s.count * s.demand.cpu / 1000.0 for _, s in steps)
            left = pool.free - pool.ready
            covered = covered and left >= widest
            free = min(free, left)
            before = self._infer_ahead(pool, key, draft, now)
            own = sum(
                job_work.infer_step_work(draft, n, s.count, self._run_times)
                for n, s in steps
            )
            cores = pool.infer_cores(now)
            if draft.expected_late:
                queue = draft.spec.queue.name
                share = self._shares.infer_share_cores(queue)
                cores = pool.infer_late_cores(queue, share, now)
            cores = min(pool.cores, cores * RATE_MARGIN)
            ahead = max(ahead, before)
            if cores > 0.0:
                ends_in_s = max(
                    ends_in_s,
                    before / cores + chain_s,
                    (before + own) / cores,
                )
        effect = USEFUL
        if covered:
            effect = FREE
        elif ends_in_s > useful_s:
            effect = REFUSED
        wait_ms = 1000.0 * (ends_in_s - useful_s) if effect == REFUSED else 0.0
        return Verdict(
            effect, ends_in_s, useful_s, max(0.0, free), ahead, wait_ms
        )

    def _infer_ahead(
        self, pool: Pool, key: Order, draft: job_table.Job, now: float
    ) -> float:
        """Return the work that goes before a job if it is accepted.

        A job that would miss its target goes behind those that don't.
        """
        ahead = pool.infer_ahead(key)
        cores = pool.infer_cores(now)
        if cores <= 0.0:
            return ahead
        if ahead / cores + draft.chain_left_s <= draft.target_s:
            return ahead
        draft.expected_late = True
        return pool.infer_ahead(self._order(draft, now))

    def _add(self, draft: job_table.Job, now: float) -> None:
        """Add an accepted job to the work that is waiting."""
        key = self._order(draft, now)
        for number, step in enumerate(draft.spec.steps):
            pool = self._find_pool(draft, step.fills)
            work = job_work.infer_step_work(
                draft, number, step.count, self._run_times
            )
            pool.added.append((key, work))
            if not draft.expected_late:
                pool.record_inflow(draft.spec.queue.name, work, now)
            if not step.after:
                pool.ready += step.count * step.demand.cpu / 1000.0

    def _find_pool(self, job: job_table.Job, fills: bool) -> Pool:
        key = (job.spec.queue.service, fills)
        return self._pools.setdefault(key, Pool())

    def _refresh(
        self,
        jobs: list[job_table.Job],
        known: list[runners.RunnerState],
        now: float,
        evacuated: evacuation.View | None,
    ) -> None:
        """Look at the capacity and at the work that is waiting."""
        for pool in self._pools.values():
            pool.cores = pool.free = pool.ready = 0.0
        for runner in known:
            zone = runner.info.zone if runner.info is not None else ''
            if not evacuation.forbids(evacuated, zone):
                self._add_runner(runner)
        running = job_work.count_running(known)
        rows: dict[tuple[str, bool], list[tuple[Order, float]]] = {
            key: [] for key in self._pools
        }
        for job in jobs:
            if ordering.is_long_running(job):
                continue
            self._add_waiting(job, running, rows, now)
        for key, waiting in rows.items():
            pool = self._pools[key]
            pool.set_waiting(waiting)
            pool.rate.look(pool.ready > 0.0, now)

    def _add_runner(self, runner: runners.RunnerState) -> None:
        """Add the processors of a runner, also of one out of reach."""
        if runner.info is None or runner.info.draining:
            return
        service, cpu = runner.info.service, runner.info.capacity.cpu
        reserved = runner.reserved().cpu
        tasks = list(runner.tasks.values())
        serving = sum(t.spec.demand.cpu for t in tasks if t.spec.lasts)
        busy = sum(placement.infer_expected_cpu(t) for t in tasks)
        idle = sum(
            placement.infer_expected_cpu(t) for t in tasks if t.spec.lasts
        )
        batch = self._pools.setdefault((service, False), Pool())
        batch.cores += (cpu - serving) / 1000.0
        fillers = self._pools.setdefault((service, True), Pool())
        fillers.cores += (cpu - idle) / 1000.0
        if not runner.is_schedulable():
            return
        batch.free += (cpu - reserved) / 1000.0
        if throttling.infer_pressure(tasks) <= placement.MAX_PRESSURE:
            fillers.free += max(0.0, cpu - busy) / 1000.0

    def _add_waiting(
        self,
        job: job_table.Job,
        running: dict[tuple[str, int, int], int],
        rows: dict[tuple[str, bool], list[tuple[Order, float]]],
        now: float,
    ) -> None:
        """Add the tasks of a job that have not been started."""
        key = self._order(job, now)
        for (occurrence, number), unfinished in job.unfinished.items():
            started = running.get((job.spec.job_id, occurrence, number), 0)
            waiting = unfinished - started
            if waiting <= 0:
                continue
            step = job.spec.steps[number]
            pool_key = (job.spec.queue.service, step.fills)
            pool = self._pools.setdefault(pool_key, Pool())
            work = job_work.infer_step_work(
                job, number, waiting, self._run_times
            )
            rows.setdefault(pool_key, []).append((key, work))
            if job.is_ready(occurrence, number):
                pool.ready += waiting * step.demand.cpu / 1000.0


def infer_retry_ms(job_id: str, wait_ms: float) -> int:
    """Return when a refused job should be submitted again, in milliseconds.

    A part that is drawn from the job's id spreads the callers over a time as
    long as the wait, and at least the shortest one twice.
    """
    base = min(max(float(MIN_RETRY_MS), wait_ms), MAX_RETRY_MS / 2.0)
    part = zlib.crc32(job_id.encode()) / 2**32
    return int(base + part * max(base, 2.0 * MIN_RETRY_MS))

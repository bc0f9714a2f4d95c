"""Give competing queues and sizes of jobs their shares of the capacity.

Queues of one service and priority share the processors equally; what one does
not need is left to the others. Within a queue, the largest tenth of the jobs
and the fifth below it go first while they end in time less often than the
rest. The marks that this sets in jobs are read by `ordering.by_shares`.
"""

import bisect
import collections
from collections import abc
import dataclasses
import math

from kcr_jobs import durations
from kcr_jobs import job_table
from kcr_jobs import job_work
from kcr_jobs import ordering
from kcr_jobs import runners

# Time between two updates of the marks, in seconds.
MARK_INTERVAL_S = 0.25
# Number of recent jobs of a queue by which sizes are compared.
SIZE_SAMPLES = 200
# Number of jobs of a queue before their sizes are distinguished.
MIN_SIZE_SAMPLES = 50
# Maximum number of queues; the least recently used is forgotten.
MAX_QUEUES = 256
# Lower bounds of the bands of sizes, as parts of the jobs of a queue.
BANDS = (0.0, 0.7, 0.9)
# Time in which the counts of served jobs fall to one e-th, in seconds; two
# periods of the load of the users.
COUNT_DECAY_S = 30.0
# Number of decided jobs of a band before its rate counts.
MIN_DECIDED = 3.0
# Rate of a band, as a part of that of the smallest jobs, below which it goes
# first. The users require half; the margin is for the delay of the counts.
BEHIND_SHARE = 0.8


@dataclasses.dataclass(slots=True)
class Band:
    """Count the jobs of one size, with exponential decay."""

    useful: float = 0.0
    decided: float = 0.0
    updated_at: float = 0.0

    def record(self, useful: bool, now: float) -> None:
        """Count a job that ended or was refused."""
        factor = math.exp(-max(0.0, now - self.updated_at) / COUNT_DECAY_S)
        self.useful = self.useful * factor + useful
        self.decided = self.decided * factor + 1.0
        self.updated_at = now

    @property
    def rate(self) -> float:
        """Return the part of the jobs that were of use."""
        return self.useful / self.decided if self.decided else 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Store the processors that the tasks of a job use and wait for."""

    job: job_table.Job
    running: int
    waiting: int


class QueueSizes:
    """Store the sizes of the jobs of a queue, and how they are served."""

    def __init__(self) -> None:
        # Sizes in core-seconds, in order of arrival and sorted.
        self._recent: collections.deque[float] = collections.deque()
        self._sorted: list[float] = []
        self.bands = [Band() for _ in BANDS]

    def add(self, size: float) -> None:
        """Record the size of a job that was submitted."""
        self._recent.append(size)
        bisect.insort(self._sorted, size)
        if len(self._recent) > SIZE_SAMPLES:
            old = self._recent.popleft()
            del self._sorted[bisect.bisect_left(self._sorted, old)]

    def find_band(self, size: float) -> int:
        """Return the index of the band of a size."""
        if len(self._sorted) < MIN_SIZE_SAMPLES:
            return 0
        below = bisect.bisect_left(self._sorted, size) / len(self._sorted)
        return bisect.bisect_right(BANDS, below) - 1

    def is_behind(self, size: float) -> bool:
        """Return whether jobs of a size are served too rarely."""
        number = self.find_band(size)
        band, rest = self.bands[number], self.bands[0]
        if not number or min(band.decided, rest.decided) < MIN_DECIDED:
            return False
        return band.rate < BEHIND_SHARE * rest.rate


class Shares:
    """Mark the jobs that go before or behind the others."""

    def __init__(self, run_times: durations.Durations) -> None:
        self._run_times = run_times
        self._sizes: collections.OrderedDict[str, QueueSizes] = (
            collections.OrderedDict()
        )
        self._marked_at = -math.inf
        # Key of the first job beyond the share of its queue, by queue.
        self._limits: dict[str, tuple[float, ...]] = {}
        # Share of each queue that competes with others, in cores.
        self._shares: dict[str, float] = {}

    def prepare(self, job: job_table.Job, now: float) -> None:
        """Set the estimates and marks of a job that is submitted."""
        job.target_s = job_work.infer_target_s(job, self._run_times)
        job.chain_left_s = job_work.infer_chain_left_s(job, self._run_times)
        queue = job.spec.queue.name
        job.size_behind = self._find_sizes(queue).is_behind(
            self._infer_size(job)
        )
        job.beyond_share = False
        limit = self._limits.get(queue)
        if limit is not None:
            job.beyond_share = ordering.by_shares(job, now) >= limit

    def infer_share_cores(self, queue: str) -> float:
        """Return the share of a queue; infinite if it has no competitor."""
        return self._shares.get(queue, math.inf)

    def record_submitted(self, job: job_table.Job) -> None:
        """Record the size of a job that is submitted."""
        sizes = self._find_sizes(job.spec.queue.name)
        sizes.add(self._infer_size(job))

    def record_decided(
        self, job: job_table.Job, useful: bool, now: float
    ) -> None:
        """Record once that a job was of use, or that it can't be any more."""
        if job.size_counted:
            return
        job.size_counted = True
        sizes = self._find_sizes(job.spec.queue.name)
        band = sizes.find_band(self._infer_size(job))
        sizes.bands[band].record(useful, now)

    def mark(
        self,
        jobs: abc.Iterable[job_table.Job],
        known: abc.Collection[runners.RunnerState],
        now: float,
    ) -> None:
        """Update the marks of the open jobs."""
        if now - self._marked_at < MARK_INTERVAL_S:
            return
        self._marked_at = now
        self._limits, self._shares = {}, {}
        cpu: dict[str, int] = {}
        for runner in known:
            if runner.info is not None:
                service = runner.info.service
                cpu[service] = cpu.get(service, 0) + runner.info.capacity.cpu
        running = job_work.count_running(known)
        groups: dict[tuple[str, int], list[Demand]] = {}
        for job in jobs:
            if ordering.is_long_running(job):
                continue
            queue = job.spec.queue
            self.prepare(job, now)
            if now > job.accepted_at + ordering.USEFUL_FACTOR * job.target_s:
                self.record_decided(job, False, now)
            groups.setdefault((queue.service, queue.priority), []).append(
                infer_demand(job, running)
            )
        for (service, _), members in groups.items():
            self._mark_group(members, cpu.get(service, 0), now)

    def _mark_group(self, members: list[Demand], cpu: int, now: float) -> None:
        """Mark what is beyond the shares of the queues of one priority."""
        queues: dict[str, list[Demand]] = {}
        for row in members:
            queues.setdefault(row.job.spec.queue.name, []).append(row)
        if len(queues) < 2:
            return
        needs = {
            name: sum(row.running + row.waiting for row in rows)
            for name, rows in queues.items()
        }
        share = infer_share(list(needs.values()), cpu)
        for name, rows in queues.items():
            if needs[name] <= share:
                continue
            self._shares[name] = share / 1000.0
            taken = sum(row.running for row in rows)
            rows.sort(key=lambda row: ordering.by_shares(row.job, now))
            for row in rows:
                if taken + row.waiting / 2.0 > share:
                    key = ordering.by_shares(row.job, now)
                    self._limits.setdefault(name, key)
                    row.job.beyond_share = True
                taken += row.waiting

    def _infer_size(self, job: job_table.Job) -> float:
        return sum(
            job_work.infer_step_work(job, number, step.count, self._run_times)
            for number, step in enumerate(job.spec.steps)
        )

    def _find_sizes(self, queue: str) -> QueueSizes:
        sizes = self._sizes.setdefault(queue, QueueSizes())
        self._sizes.move_to_end(queue)
        if len(self._sizes) > MAX_QUEUES:
            self._sizes.popitem(last=False)
        return sizes


def infer_share(needs: list[int], cpu: int) -> float:
    """Return the largest amount that every queue may have, if it needs it."""
    left = float(cpu)
    for number, need in enumerate(sorted(needs)):
        share = left / (len(needs) - number)
        if need > share:
            return share
        left -= need
    return math.inf


def infer_demand(
    job: job_table.Job, running: dict[tuple[str, int, int], int]
) -> Demand:
    """Return what a job uses, and what it would use if it had room."""
    used = waiting = 0
    for (occurrence, number), unfinished in job.unfinished.items():
        started = running.get((job.spec.job_id, occurrence, number), 0)
        cpu = job.spec.steps[number].demand.cpu
        used += started * cpu
        if unfinished > started and job.is_ready(occurrence, number):
            waiting += (unfinished - started) * cpu
    return Demand(job, used, waiting)

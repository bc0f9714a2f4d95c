"""Decide when the owner restates the jobs, so that the log stays short.

A snapshot is a stretch of the log that restates every job which was known at
its start, among the other records. A process that reads from the start of a
complete snapshot has the state of all jobs, so the records before it can be
deleted. What a new owner must read is thus bounded by the size of the state,
not by the age of the log.
"""

import collections
from collections import abc
import dataclasses

from kcr_jobs import job_table
from kcr_jobs import records

# Growth of the log since the start of the last snapshot from which the next
# one is due, in bytes: at least the first, or a multiple of what the last
# snapshot took. 128 KiB take half a second at 2 Mbit/s.
MIN_GROWTH_BYTES = 128 * 1024
GROWTH_FACTOR = 3
# Time for which the store keeps records by default, in seconds.
KEEP_S = 300.0
# Longest time between the starts of two snapshots, and time from a takeover to
# the first one, as shares of the time for which records are kept. A snapshot
# must end while the records of the last one are kept, also if the owner
# changes in between; the first one is early as ownerships may be short.
INTERVAL_SHARE = 1 / 3
FIRST_SHARE = 1 / 30
# Rows of tasks that one step of a snapshot restates at least, and steps in
# which a snapshot of any size ends; fewer where records are kept for a shorter
# time.
MIN_ROWS_PER_STEP = 200
MAX_STEPS = 500
MIN_STEPS = 10
# Tasks up to which a job is restated in one record.
MAX_ROWS_PER_RECORD = 1000


@dataclasses.dataclass(slots=True)
class _PartialJob:
    """Store how far a job was restated."""

    job: job_table.Job
    # Its tasks when its first record was made. Tasks that are made later are
    # started, and recorded, after the begin of the snapshot.
    tasks: list[job_table.Task]
    # Number of tasks that were restated.
    restated: int = 0


class Snapshots:
    """Choose the records that restate the jobs, a few at each tick."""

    def __init__(
        self, growth_bytes: int, now: float, keep_s: float = KEEP_S
    ) -> None:
        # Bytes of the log since the start of the last complete snapshot.
        self.growth_bytes = growth_bytes
        # Number of the last snapshot of this ownership.
        self.number = 0
        # Bytes of the log since the start of the snapshot under way.
        self._own_bytes = 0
        # Bytes from the start to the end of the last snapshot.
        self._last_bytes = 0
        self._interval_s = keep_s * INTERVAL_SHARE
        # Time from which the next snapshot is due, whatever the growth.
        self._due_at = now + keep_s * FIRST_SHARE
        steps = int(MAX_STEPS * keep_s / KEEP_S)
        self._max_steps = min(MAX_STEPS, max(MIN_STEPS, steps))
        # Ids of the jobs that the snapshot under way has still to restate;
        # none between snapshots.
        self._remaining: collections.deque[str] | None = None
        # Job of which a part was restated; none between jobs.
        self._partial: _PartialJob | None = None
        self._rows_per_step = MIN_ROWS_PER_STEP

    def record_growth(self, size: int, ended: bool = False) -> None:
        """Count the bytes of an append; `ended` if it ended a snapshot."""
        self.growth_bytes += size
        self._own_bytes += size
        if ended:
            # Its last records are part of what the snapshot took.
            self._last_bytes = self._own_bytes

    def is_due(self, now: float) -> bool:
        """Return whether the next snapshot starts."""
        if self._remaining is not None:
            return False
        limit = max(MIN_GROWTH_BYTES, GROWTH_FACTOR * self._last_bytes)
        return self.growth_bytes >= limit or now >= self._due_at

    def choose_records(
        self, table: job_table.JobTable, now: float
    ) -> abc.Sequence[records.Record]:
        """Return the records of the next step of a snapshot, if any."""
        if self.is_due(now):
            return self._begin(table, now)
        if self._remaining is None:
            return ()
        return self._continue(table, self._remaining)

    def _begin(
        self, table: job_table.JobTable, now: float
    ) -> abc.Sequence[records.Record]:
        self.number += 1
        self._due_at, self._own_bytes = now + self._interval_s, 0
        self._partial = None
        self._remaining = collections.deque(
            (*table.jobs, *table.early_cancels)
        )
        rows = sum(1 + len(job.tasks) for job in table.jobs.values())
        rows += len(table.early_cancels)
        self._rows_per_step = max(MIN_ROWS_PER_STEP, rows // self._max_steps)
        begun: list[records.Record] = [records.SnapshotBegun(self.number)]
        if table.claim is not None:
            begun.append(table.claim)
        return begun

    def _continue(
        self,
        table: job_table.JobTable,
        remaining: collections.deque[str],
    ) -> abc.Sequence[records.Record]:
        chosen: list[records.Record] = []
        rows = 0
        while remaining and rows < self._rows_per_step:
            job_id = remaining[0]
            job = table.jobs.get(job_id)
            if job is not None:
                limit = max(MAX_ROWS_PER_RECORD, self._rows_per_step - rows)
                rows += 1 + self._restate(job, limit, chosen)
                if self._partial is not None:
                    continue
            elif job_id in table.early_cancels:
                early = table.early_cancels[job_id]
                chosen.append(records.Cancelled(job_id, early.base_url))
                rows += 1
            remaining.popleft()
        if not remaining:
            self._remaining = None
            self._last_bytes = self.growth_bytes = self._own_bytes
            chosen.append(records.SnapshotEnded(self.number))
        return chosen

    def _restate(
        self, job: job_table.Job, limit: int, chosen: list[records.Record]
    ) -> int:
        """Add the next record of a job; return its number of tasks at most."""
        partial, self._partial = self._partial, None
        if partial is None or partial.job is not job or not job.tasks:
            # The first record, or its tasks were dropped after that.
            partial = _PartialJob(job, list(job.tasks.values()))
        first, partial.restated = partial.restated, partial.restated + limit
        rec = job_table.restate_in_parts(job, partial.tasks, first, limit)
        if rec is not None:
            chosen.append(rec)
        if partial.restated < len(partial.tasks):
            self._partial = partial
        return min(limit, len(partial.tasks) - first)

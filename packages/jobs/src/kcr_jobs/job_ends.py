"""Show the ends of jobs, restate jobs, and forget them later.

The end of a job is visible to callers once its records are durable. Its state
is kept for some time after that, and all jobs are restated in the log before
the platform deletes their records.
"""

import collections

from kcr_jobs import controller_state
from kcr_jobs import effects
from kcr_jobs import job_table
from kcr_jobs import ordering
from kcr_jobs import records
from kcr_jobs import snapshots


class JobEnds:
    """Keep ended jobs and restate all jobs."""

    def __init__(
        self,
        state: controller_state.State,
        log_bytes: int,
        now: float,
        keep_s: float,
    ) -> None:
        self._state = state
        # Ended jobs in the order of their end, and those of them whose tasks
        # are still kept, by id.
        self._ended_jobs: collections.deque[job_table.Job] = (
            collections.deque()
        )
        self._uncompacted: dict[str, job_table.Job] = {}
        # Restates the jobs; `log_bytes` is what this owner had to read.
        self.snapshots = snapshots.Snapshots(log_bytes, now, keep_s)

    def finalize(self, job_id: str, now: float) -> None:
        """Make the end of a job, whose records are durable, visible."""
        job = self._state.table.jobs.get(job_id)
        if job is not None and not job.finalized:
            if job.state == job_table.COMPLETED and job.target_s:
                useful_s = ordering.USEFUL_FACTOR * job.target_s
                self._state.shares.record_decided(
                    job, now <= job.accepted_at + useful_s, now
                )
            self.mark_ended(job, now)

    def mark_ended(self, job: job_table.Job, now: float) -> None:
        """Make the end of a job visible and begin its retention."""
        job.finalized, job.ended_at = True, now
        self._ended_jobs.append(job)
        self._uncompacted[job.spec.job_id] = job

    def forget_ended_jobs(self, now: float) -> None:
        """Drop the tasks of ended jobs, and later the jobs themselves."""
        self._forget_early_cancels(now)
        for job_id, job in list(self._uncompacted.items()):
            had_runs = bool(job.tasks) and not job.is_completed()
            if job.compact():
                del self._uncompacted[job_id]
                self._state.planner.forget(job)
                if had_runs:
                    self._log_stopped(job, now)
        while self._ended_jobs:
            job = self._ended_jobs[0]
            assert job.ended_at is not None
            expired = now - job.ended_at > job_table.ENDED_RETENTION_S
            if not expired or job.spec.job_id in self._uncompacted:
                return
            self._ended_jobs.popleft()
            del self._state.table.jobs[job.spec.job_id]

    def _log_stopped(self, job: job_table.Job, now: float) -> None:
        """Log how long the runs of a cancelled or failed job went on."""
        assert job.ended_at is not None
        self._state.log_event(
            'runs of ended job gone', job=job.spec.job_id, state=job.state,
            after_s=round(now - job.ended_at, 3),
        )  # fmt: skip

    def _forget_early_cancels(self, now: float) -> None:
        early = self._state.table.early_cancels
        while early:
            job_id, cancel = next(iter(early.items()))
            if now - cancel.at <= job_table.ENDED_RETENTION_S:
                return
            del early[job_id]

    def restate_jobs(self, now: float) -> None:
        """Add the records of a snapshot that are due."""
        number = self.snapshots.number
        chosen = self.snapshots.choose_records(self._state.table, now)
        self._state.pending_records += chosen
        if self.snapshots.number != number:
            self._state.log_event(
                'snapshot begun',
                snapshot=self.snapshots.number,
                jobs=len(self._state.table.jobs),
                log=self.snapshots.growth_bytes,
            )
        if chosen and isinstance(chosen[-1], records.SnapshotEnded):
            self._state.deferred.append(effects.TrimLog(chosen[-1].number))

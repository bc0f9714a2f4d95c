"""Decide for the owner of the jobs: accept, start, stop, retry, finalize.

The scheduler's owner task calls the controller with callers' requests,
reports of agents, and ticks. The controller does no I/O: inputs carry the
time, and what is to be stored, sent and logged is collected in
`pending_records`, `deferred`, `immediate` and `log_events`. Its state runs
ahead of the log, so deferred effects wait until the pending records are
durable, and an owner that loses the log drops its controller. The decisions
are in modules by subject, which share the state.
"""

import dataclasses

from kcr_jobs import caller_requests
from kcr_jobs import controller_state
from kcr_jobs import filler_shares
from kcr_jobs import job_ends
from kcr_jobs import job_table
from kcr_jobs import occurrences
from kcr_jobs import runner_reports
from kcr_jobs import runners
from kcr_jobs import snapshots
from kcr_jobs import starts

# Time without a reported end after which a stop is ordered again, in seconds.
STOP_RETRY_S = 0.7
# Time that tasks on a draining runner need to store a checkpoint and end, in
# seconds.
DRAIN_STOP_S = 1.0


class Controller(controller_state.State):
    """Take the decisions of one ownership of the jobs."""

    def __init__(
        self,
        table: job_table.JobTable,
        epoch: int,
        lease_s: float,
        now: float,
        log_bytes: int = 0,
        remote_factor: float = 1.0,
        overload: controller_state.Overload = controller_state.Overload(),
        keep_s: float = snapshots.KEEP_S,
    ) -> None:
        super().__init__(table, epoch, lease_s, now, remote_factor, overload)
        requests = caller_requests.CallerRequests(self)
        self.submit = requests.submit
        self.refuse = requests.refuse
        self.cancel = requests.cancel
        self.report_state = requests.report_state
        self.count_pending = requests.count_pending
        reports = runner_reports.RunnerReports(
            self, filler_shares.FillerShares(self)
        )
        self.attach = reports.attach
        self.detach = reports.detach
        self.set_evacuation = reports.set_evacuation
        self.report = reports.report
        self.confirm_ends = reports.confirm_ends
        self._starts = starts.Starts(self, now)
        self.schedule = self._starts.schedule
        self.record_advice = self._starts.record_advice
        self.describe_advice = self._starts.describe_advice
        self.find_session = self._starts.find_session
        self._ends = job_ends.JobEnds(self, log_bytes, now, keep_s)
        self.finalize = self._ends.finalize
        self.snapshots = self._ends.snapshots
        self._take_over(now)

    def _take_over(self, now: float) -> None:
        """Take over the jobs and the runs that earlier owners started.

        A run may go on until a complete report of its runner omits it or the
        lease of the runner has expired; until then its task is not restarted.
        """
        for job_id, cancel in self.table.early_cancels.items():
            self.table.early_cancels[job_id] = dataclasses.replace(
                cancel, at=now
            )
        for job in self.table.jobs.values():
            job.accepted_at = now
            for task in job.tasks.values():
                if task.instance:
                    self.get_runner(task.instance, now).tasks[task.name] = task
            if job.is_open():
                self.open_jobs[job.spec.job_id] = job
            else:
                self._ends.mark_ended(job, now)
                self.stop_runs(job, now)

    # Time.

    def tick(self, now: float, wall_ms: float) -> None:
        """Expire leases, repeat stops, restate jobs, and start tasks.

        The owner task calls it periodically.
        """
        self.wall_offset_s = wall_ms / 1000.0 - now
        for runner in list(self.runners.values()):
            if now >= runner.expires_at:
                self._expire_lease(runner, now)
            elif runner.session:
                self._drain(runner, now)
                self._repeat_stops(runner, now)
        self._make_due_occurrences(wall_ms)
        self._ends.forget_ended_jobs(now)
        self._ends.restate_jobs(now)
        self.schedule(now)

    def _expire_lease(self, runner: runners.RunnerState, now: float) -> None:
        if runner.tasks:
            # The operators' page matches this reason of the event `run lost`.
            self.record_lost(
                runner, list(runner.tasks.values()), 'lease lapsed'
            )
        if runner.session and runner.info is not None:
            self.attach(runner.name, runner.session, runner.info, now)
            return
        del self.runners[runner.name]
        self.log_event(
            'runner given up', node=runner.name, heard=runner.reported_at
        )

    def _drain(self, runner: runners.RunnerState, now: float) -> None:
        """Stop the tasks of a draining runner that can move.

        Long-running tasks move at once; tasks with checkpoints are stopped
        when the time that is left is just enough to store one.
        """
        if runner.draining_since is None or runner.info is None:
            return
        left = runner.info.remaining_ms / 1000.0 - (now - runner.reported_at)
        for task in list(runner.tasks.values()):
            if task.stopping or not task.listed:
                continue
            if task.spec.lasts or left <= DRAIN_STOP_S:
                if task.spec.lasts or task.spec.checkpointing:
                    self.stop(task, now)

    def _repeat_stops(self, runner: runners.RunnerState, now: float) -> None:
        for task in runner.tasks.values():
            overdue = now - task.ordered_stop_at >= STOP_RETRY_S
            if task.stopping and overdue:
                self.stop(task, now)

    def _make_due_occurrences(self, wall_ms: float) -> None:
        due = [
            job
            for job in self.open_jobs.values()
            if occurrences.is_due(job, wall_ms)
        ]
        if due and occurrences.make_due(due, wall_ms, self.count_open_tasks()):
            self.changed = True

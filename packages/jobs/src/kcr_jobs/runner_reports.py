"""Grant leases and update the state with the reports of agents.

An agent attaches to get a lease on its runner, then reports what runs and what
has ended. What a report shows as running and is unknown is stopped. A complete
report is compared with the expected runs: what is missing is recorded as lost.
Other reports, such as those of truncated lists, show only what they contain.
"""

import dataclasses
import math

from kcr_jobs import cold_runners
from kcr_jobs import controller_state
from kcr_jobs import effects
from kcr_jobs import evacuation
from kcr_jobs import filler_shares
from kcr_jobs import job_table
from kcr_jobs import messages
from kcr_jobs import records
from kcr_jobs import report_parts
from kcr_jobs import runner_lease
from kcr_jobs import runners
from kcr_jobs import types


# Number of tokens per epoch; tokens of a later epoch are higher.
TOKENS_PER_EPOCH = 1_000_000


class RunnerReports:
    """Take the decisions on reports of agents."""

    def __init__(
        self,
        state: controller_state.State,
        fillers: filler_shares.FillerShares,
    ) -> None:
        self._state = state
        self._fillers = fillers
        # Number of leases granted in this epoch.
        self._tokens = 0

    def attach(
        self, name: str, session: str, info: types.RunnerInfo, now: float
    ) -> None:
        """Grant the agent of an instance a new lease; void older ones."""
        runner = self._state.get_runner(name, now)
        self._tokens += 1
        runner.token = self._state.epoch * TOKENS_PER_EPOCH + self._tokens
        runner.session = session
        self._update_info(runner, info, now)
        runner.reconciled = False
        runner.parts = report_parts.Joiner()
        runner.last_order = runner.recorded_end = runner.durable_end = (
            runner.acked_seq
        ) = 0
        for task in runner.tasks.values():
            # Orders of the older lease can no longer arrive.
            task.ordered_number = 0
        runner.reported_at = now
        runner.extend_lease(
            runner_lease.infer_expiry(now, self._state.lease_s)
        )
        lease = messages.Lease(self._state.epoch, runner.token)
        self._state.immediate.append(
            effects.SendToAgent(name, runner.token, lease)
        )
        self._state.log_event(
            'runner attached',
            node=name,
            life=info.incarnation,
            token=runner.token,
            draining=info.draining,
        )

    def detach(self, session: str) -> None:
        """Update the runner whose agent's session has ended."""
        for runner in self._state.runners.values():
            if runner.session == session:
                runner.session, runner.reconciled = '', False
                self._state.log_event('runner detached', node=runner.name)

    def report(
        self,
        session: str,
        msg: messages.RunnerReport,
        now: float,
        lease_ms: int,
    ) -> None:
        """Update the state with the report of an agent; extend its lease."""
        runner = next(
            (r for r in self._state.runners.values() if r.session == session),
            None,
        )
        if runner is None or msg.token != runner.token:
            self._state.log_event('report of older lease', token=msg.token)
            return
        runner.reported_at = now
        self._update_info(runner, msg.info, now)
        self._update_deregistered(runner, msg.deregistered)
        self._record_ends(runner, msg.ended, now)
        if msg.expired and not runner.reconciled:
            lost = list(runner.tasks.values())
            self._state.record_lost(runner, lost, 'lease lapsed')
        running = runner.parts.join(msg)
        if running is not None:
            self._reconcile(runner, msg, running, now)
        else:
            unknown = self._update_tasks(runner, msg.running, now)
            runner.unknown_runs = max(runner.unknown_runs, len(unknown))
            for run in unknown:
                self._stop_unknown_run(runner, run)
        if lease_ms > 0:
            runner.extend_lease(
                runner_lease.infer_expiry(now, lease_ms / 1000.0)
            )
        runner.acked_seq = msg.seq
        self._acknowledge(runner, lease_ms)
        if running is not None or (msg.running and not msg.part):
            self._fillers.adjust(runner, now)

    def _acknowledge(self, runner: runners.RunnerState, lease_ms: int) -> None:
        ack = messages.RunnerReportAck(
            runner.token,
            runner.acked_seq,
            max(0, lease_ms),
            runner.durable_end,
            self._state.is_evacuated(runner),
        )
        self._state.immediate.append(
            effects.SendToAgent(runner.name, runner.token, ack)
        )

    def set_evacuation(self, view: evacuation.View) -> None:
        """Apply a view of the evacuated zones; inform the agents there.

        An agent may be repeating a start that its runner has not answered, so
        it is informed before its next report.
        """
        before = {
            runner.name: self._state.is_evacuated(runner)
            for runner in self._state.runners.values()
        }
        self._state.conditions = dataclasses.replace(
            self._state.conditions, evacuation_view=view
        )
        self._state.changed = True
        for runner in self._state.runners.values():
            changed = self._state.is_evacuated(runner) != before[runner.name]
            if changed and runner.session:
                self._acknowledge(runner, 0)

    def _update_info(
        self, runner: runners.RunnerState, info: types.RunnerInfo, now: float
    ) -> None:
        old = runner.info
        if old is not None and old.draining and not info.draining:
            if old.incarnation == info.incarnation:
                # A heartbeat from before the drain was delayed, and the agent
                # that knew of the drain has been restarted. An incarnation
                # that leaves does not come back.
                info = dataclasses.replace(info, draining=True)
        if info.draining and runner.draining_since is None:
            runner.draining_since = now
            self._state.log_event(
                'runner draining', node=runner.name, left_ms=info.remaining_ms
            )
        if not info.draining:
            runner.draining_since = None
        runner.info = info
        self._update_cold(runner, old, info, now)

    def _update_deregistered(
        self, runner: runners.RunnerState, deregistered: bool
    ) -> None:
        if deregistered != runner.deregistered:
            runner.deregistered = deregistered
            self._state.changed = True
            self._state.log_event(
                'runner deregistered' if deregistered else 'runner serves',
                node=runner.name,
            )  # fmt: skip

    def _update_cold(
        self,
        runner: runners.RunnerState,
        old: types.RunnerInfo | None,
        info: types.RunnerInfo,
        now: float,
    ) -> None:
        """Update until when a runner is cold.

        What an earlier owner has started on it is unknown, so its unused
        starts count from the beginning of this ownership.
        """
        restarted = old is None or old.incarnation != info.incarnation
        if restarted:
            runner.cold_until = -math.inf
            runner.cold_budget = cold_runners.StartBudget(self._state.began_at)
        offset_s = self._state.wall_offset_s
        # Without the time of day, the age of a runner is unknown.
        if info.cold_remaining_ms < 0 and offset_s is None:
            return
        found = cold_runners.infer_cold_until(
            info, self._state.conditions.cold_rules, now,
            ((offset_s or 0.0) + now) * 1000.0,
        )  # fmt: skip
        if runner.cold_until != -math.inf:
            runner.cold_until = min(runner.cold_until, found)
            return
        runner.cold_until = found
        if found > now:
            self._state.log_event(
                'runner cold', node=runner.name, left_s=round(found - now, 3)
            )

    def _record_ends(
        self,
        runner: runners.RunnerState,
        ended: tuple[types.ReportedEnd, ...],
        now: float,
    ) -> None:
        rows = []
        for end in ended:
            if end.number <= runner.recorded_end:
                continue
            runner.recorded_end = end.number
            task = runner.tasks.get(end.task) or self._find_waiting_task(end)
            if task is None or end.attempt != task.attempt:
                self._state.record_begun(end.task, end.attempt)
                self._state.log_event(
                    'end of older attempt', task=end.task, run=end.attempt
                )
                continue
            rows.append(
                records.EndedRow(
                    end.task,
                    end.attempt,
                    end.how,
                    end.saved or task.checkpoint,
                )
            )
            run_s = now - task.ordered_at if task.ordered_at else 0.0
            runner.record_end(end.how, now, run_s)
            if self._state.overload.moves:
                self._state.stragglers.record_end(
                    task, end.how, runner.name, now
                )
            self._state.durations.record_end(task, end.how, now)
            if end.how == 'done':
                self._state.admission.record_end(task, now)
            if end.how == 'failed':
                task.failed_on.add(runner.name)
            self._state.log_event(
                'run ended', task=end.task, run=end.attempt, how=end.how,
                node=runner.name,
            )  # fmt: skip
        self._state.append_ends(rows)
        number = runner.recorded_end
        if number > runner.durable_end:
            confirm = effects.ConfirmEnds(runner.name, runner.token, number)
            self._state.deferred.append(confirm)

    def _find_waiting_task(
        self, end: types.ReportedEnd
    ) -> job_table.Task | None:
        """Return the waiting task to which a late end still applies, if any.

        The run was recorded as lost, as its runner did not report until its
        lease had expired; now the runner reports that the run was done. As no
        later attempt has started, the work need not be repeated.
        """
        task = self._state.table.find_task(end.task)
        if task is None or task.instance or task.done or end.how != 'done':
            return None
        if task.spec.lasts or task.spec.gang or not task.job.is_open():
            return None
        return task

    def confirm_ends(
        self, name: str, token: int, number: int, lease_ms: int
    ) -> None:
        """Confirm to a runner the ends that are durable."""
        runner = self._state.runners.get(name)
        if runner is None or runner.token != token or not runner.session:
            return
        runner.durable_end = max(runner.durable_end, number)
        self._acknowledge(runner, lease_ms)

    def _reconcile(
        self,
        runner: runners.RunnerState,
        msg: messages.RunnerReport,
        listed: tuple[types.ReportedRun, ...],
        now: float,
    ) -> None:
        """Compare the runs of a complete report with the expected ones.

        Runs of unknown tasks are stopped; tasks that should run but are not
        listed, and whose start the report must already show, are recorded as
        lost.
        """
        running = {run.task for run in listed}
        unknown = self._update_tasks(runner, listed, now)
        runner.unknown_runs = len(unknown)
        for run in unknown:
            self._stop_unknown_run(runner, run)
        pending = set(msg.unanswered)
        lost = []
        for task in list(runner.tasks.values()):
            if task.name in running or task.name in pending:
                continue
            if task.ordered_at and task.ordered_number > msg.orders:
                continue
            lost.append(task)
        if lost:
            if runner.reconciled and not self._state.is_evacuated(runner):
                # The start failed. Under a new lease this is unknown: the
                # run may have ended with an older incarnation of the runner.
                # In an evacuated zone the start was withdrawn.
                for task in lost:
                    if self._state.planner.advice.reject_ticket(task, now):
                        runner.record_end('failed', now)
            self._state.record_lost(runner, lost, 'runner does not list it')
        if not runner.reconciled:
            runner.reconciled = True
            self._state.changed = True
            self._state.log_event(
                'runner ready', node=runner.name, runs=len(running)
            )

    def _update_tasks(
        self,
        runner: runners.RunnerState,
        listed: tuple[types.ReportedRun, ...],
        now: float,
    ) -> list[types.ReportedRun]:
        """Update the tasks that a list shows; return the unknown runs."""
        unknown = []
        for run in listed:
            task = runner.tasks.get(run.task)
            if task is None or task.attempt != run.attempt:
                self._state.record_begun(run.task, run.attempt)
                unknown.append(run)
                continue
            if not task.job.begun:
                self._state.record_begun(run.task, run.attempt)
            self._state.durations.advance(task, now)
            task.listed = True
            task.percent, task.usage = run.percent, run.usage
            if run.saved and run.saved != task.checkpoint:
                task.checkpoint, task.checkpointed_at = run.saved, now
        return unknown

    def _stop_unknown_run(
        self, runner: runners.RunnerState, run: types.ReportedRun
    ) -> None:
        stop = messages.StopRun(runner.token, run.task, run.attempt)
        self._state.immediate.append(
            effects.SendToAgent(runner.name, runner.token, stop)
        )
        job = self._state.table.jobs.get(run.task.partition('.')[0])
        self._state.log_event(
            'unknown run stopped', node=runner.name, task=run.task,
            run=run.attempt, job_state=job.state if job else 'unknown',
        )  # fmt: skip

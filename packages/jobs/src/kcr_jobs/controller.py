"""Decide for the owner of the jobs: accept, start, stop, retry, finalize.

The scheduler's owner task calls the controller with callers' requests,
reports of agents, and ticks. The controller does no I/O: inputs carry the
time, and what is to be stored, sent and logged is collected in
`pending_records`, `deferred`, `immediate` and `log_events`. Its state runs
ahead of the log, so deferred effects wait until the pending records are
durable, and an owner that loses the log drops its controller.
"""

import collections
import dataclasses
import typing

from kcr_jobs import effects
from kcr_jobs import interference_model
from kcr_jobs import job_table
from kcr_jobs import messages
from kcr_jobs import planning
from kcr_jobs import records
from kcr_jobs import runners
from kcr_jobs import snapshots
from kcr_jobs import throttling
from kcr_jobs import tickets
from kcr_jobs import types

# Number of tokens per epoch; tokens of a later epoch are higher.
TOKENS_PER_EPOCH = 1_000_000
# Maximum number of open jobs; one of 21 tasks with a payload of 2 KB takes
# 14 KB.
MAX_OPEN_JOBS = 4000
# Longest time between two plans, in seconds. Without a change of jobs or
# reservations only the measurements of the runners differ, which are those of
# the last half second.
REPLAN_INTERVAL_S = 0.25
# Time after which a caller may retry a refused job, in milliseconds.
RETRY_AFTER_MS = 1000
# Time without a reported end after which a stop is ordered again, in seconds.
STOP_RETRY_S = 0.7
# Time that tasks on a draining runner need to store a checkpoint and end, in
# seconds.
DRAIN_STOP_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class LogEvent:
    """Store one line for the log."""

    # Name of the event; also a label of the metric of decisions.
    event: str
    # Key and value pairs of the line: `node` and `life` are the instance and
    # the incarnation of a runner, `run` is the number of an attempt, and
    # `heard` the time of the last report.
    fields: dict[str, typing.Any]


class Controller:
    """Take the decisions of one ownership of the jobs."""

    def __init__(
        self,
        table: job_table.JobTable,
        epoch: int,
        lease_s: float,
        now: float,
        log_bytes: int = 0,
    ) -> None:
        # State of all jobs; ahead of the log by `pending_records`.
        self.table = table
        # Epoch of this ownership.
        self.epoch = epoch
        # Duration of a lease, in seconds.
        self.lease_s = lease_s
        # Runners by the name of their instance.
        self.runners: dict[str, runners.RunnerState] = {}
        # Records to append to the log.
        self.pending_records: list[records.Record] = []
        # Effects to carry out once the pending records are durable.
        self.deferred: list[effects.Effect] = []
        # Effects to carry out at once.
        self.immediate: list[effects.Effect] = []
        # Lines for the log.
        self.log_events: list[LogEvent] = []
        # Jobs that may have tasks to start, by id.
        self.open_jobs: dict[str, job_table.Job] = {}
        # Ended jobs in the order of their end, and those of them whose tasks
        # are still kept, by id.
        self._ended_jobs: collections.deque[job_table.Job] = (
            collections.deque()
        )
        self._uncompacted: dict[str, job_table.Job] = {}
        # Restates the jobs; `log_bytes` is what this owner had to read.
        self.snapshots = snapshots.Snapshots(log_bytes, now)
        # Number of leases granted in this epoch.
        self._tokens = 0
        # Estimates of what fillers add to the latency of serving tasks.
        self.interference = interference_model.InterferenceModel()
        self._planner = planning.Planner(self.interference)
        # Whether jobs or reservations have changed since the last plan, and
        # the time of the next one without a change.
        self._changed = True
        self._next_plan_at = now
        self._take_over(now)

    def _take_over(self, now: float) -> None:
        """Take over the jobs and the runs that earlier owners started.

        A run may go on until a complete report of its runner omits it or the
        lease of the runner has expired; until then its task is not restarted.
        """
        for job in self.table.jobs.values():
            job.accepted_at = now
            for task in job.tasks.values():
                if task.instance:
                    self._get_runner(task.instance, now).tasks[task.name] = (
                        task
                    )
            if job.is_open():
                self.open_jobs[job.spec.job_id] = job
            else:
                self._mark_ended(job, now)
                self._stop_runs(job, now)

    def _get_runner(self, name: str, now: float) -> runners.RunnerState:
        runner = self.runners.get(name)
        if runner is None:
            runner = self.runners[name] = runners.RunnerState(name)
            runner.extend_lease(runners.infer_expiry(now, self.lease_s))
        return runner

    def _log_event(self, event: str, **fields: typing.Any) -> None:
        self.log_events.append(LogEvent(event, fields))

    def _append(self, rec: records.Record) -> None:
        self._changed = True
        self.pending_records.append(rec)
        self.table.apply(rec)

    # Requests of callers.

    def submit(
        self, ref: typing.Any, spec: types.JobSpec, now: float, wall_ms: float
    ) -> None:
        """Accept a job once, however often it is submitted."""
        if spec.job_id in self.table.jobs:
            self._log_event('job repeated', job=spec.job_id)
            self.deferred.append(effects.Reply(ref, 'accepted'))
            return
        if len(self.open_jobs) >= MAX_OPEN_JOBS:
            self.refuse(ref, spec.job_id, 'too many open jobs')
            return
        self._append(records.Accepted(spec, int(wall_ms)))
        job = self.table.jobs[spec.job_id]
        job.accepted_at = now
        self._update_open_jobs(job, now)
        self.deferred.append(effects.Reply(ref, 'accepted'))
        self._log_event(
            'job accepted',
            job=spec.job_id,
            queue=spec.queue.name,
            steps=len(spec.steps),
            tasks=sum(step.count for step in spec.steps),
            open_jobs=len(self.open_jobs),
        )

    def refuse(self, ref: typing.Any, job_id: str, reason: str) -> None:
        """Refuse a job that is not in the log."""
        self._log_event('job refused', job=job_id, reason=reason)
        reply = effects.Reply(ref, 'refused', reason, RETRY_AFTER_MS)
        self.immediate.append(reply)

    def cancel(self, ref: typing.Any, job_id: str, now: float) -> None:
        """Cancel a job and stop its runs."""
        job = self.table.jobs.get(job_id)
        if job is None:
            self._log_event('cancel of unknown job', job=job_id)
            self._reply_unknown(ref)
            return
        if job.is_open():
            self._append(records.Cancelled(job_id))
            self._log_event('job cancelled', job=job_id)
            self._update_open_jobs(job, now)
        self.deferred.append(effects.Reply(ref, 'cancelled'))

    def _reply_unknown(self, ref: typing.Any) -> None:
        """Reply that a job does not exist, once an append has proved it.

        An owner that was replaced without noticing, such as one that was
        suspended, does not know the jobs of its successor.
        """
        self.pending_records.append(records.Renewed())
        self.deferred.append(effects.Reply(ref, 'unknown_job'))

    def report_state(self, ref: typing.Any, job_id: str) -> None:
        """Reply with the state of a job.

        A job whose end is not durable yet is still reported as running.
        """
        job = self.table.jobs.get(job_id)
        if job is None:
            self._log_event('state of unknown job', job=job_id)
            self._reply_unknown(ref)
            return
        state = job.state
        if not job.is_open() and not job.finalized:
            state = job_table.RUNNING
        self.immediate.append(effects.Reply(ref, 'known', state))

    def count_pending(self, ref: typing.Any, queue: str) -> None:
        """Reply with the number of jobs of a queue that have not started."""
        number = sum(
            not job.started and not job.spec.repeat
            for job in self.open_jobs.values()
            if job.spec.queue.name == queue
        )
        self.immediate.append(effects.Reply(ref, 'known', '', number))

    # Agents and runners.

    def attach(
        self, name: str, session: str, info: types.RunnerInfo, now: float
    ) -> None:
        """Grant the agent of an instance a new lease; void older ones."""
        runner = self._get_runner(name, now)
        self._tokens += 1
        runner.token = self.epoch * TOKENS_PER_EPOCH + self._tokens
        runner.session = session
        self._update_info(runner, info, now)
        runner.reconciled = False
        runner.last_order = runner.recorded_end = runner.durable_end = (
            runner.acked_seq
        ) = 0
        for task in runner.tasks.values():
            # Orders of the older lease can no longer arrive.
            task.ordered_number = 0
        runner.reported_at = now
        runner.extend_lease(runners.infer_expiry(now, self.lease_s))
        lease = messages.Lease(self.epoch, runner.token)
        self.immediate.append(effects.SendToAgent(name, runner.token, lease))
        self._log_event(
            'runner attached',
            node=name,
            life=info.incarnation,
            token=runner.token,
            draining=info.draining,
        )

    def detach(self, session: str) -> None:
        """Update the runner whose agent's session has ended."""
        for runner in self.runners.values():
            if runner.session == session:
                runner.session, runner.reconciled = '', False
                self._log_event('runner detached', node=runner.name)

    def report(
        self,
        session: str,
        msg: messages.RunnerReport,
        now: float,
        lease_ms: int,
    ) -> None:
        """Update the state with the report of an agent; extend its lease."""
        runner = next(
            (r for r in self.runners.values() if r.session == session), None
        )
        if runner is None or msg.token != runner.token:
            self._log_event('report of older lease', token=msg.token)
            return
        runner.reported_at = now
        self._update_info(runner, msg.info, now)
        self._record_ends(runner, msg.ended)
        if msg.complete:
            self._reconcile(runner, msg, now)
        if lease_ms > 0:
            runner.extend_lease(runners.infer_expiry(now, lease_ms / 1000.0))
        runner.acked_seq = msg.seq
        self._acknowledge(runner, lease_ms)
        if msg.complete:
            self._throttle_fillers(runner, now)

    def _acknowledge(self, runner: runners.RunnerState, lease_ms: int) -> None:
        ack = messages.RunnerReportAck(
            runner.token,
            runner.acked_seq,
            max(0, lease_ms),
            runner.durable_end,
        )
        self.immediate.append(
            effects.SendToAgent(runner.name, runner.token, ack)
        )

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
            self._log_event(
                'runner draining', node=runner.name, left_ms=info.remaining_ms
            )
        if not info.draining:
            runner.draining_since = None
        runner.info = info

    def _record_ends(
        self, runner: runners.RunnerState, ended: tuple[types.ReportedEnd, ...]
    ) -> None:
        rows = []
        for end in ended:
            if end.number <= runner.recorded_end:
                continue
            runner.recorded_end = end.number
            task = runner.tasks.get(end.task) or self._find_waiting_task(end)
            if task is None or end.attempt != task.attempt:
                self._log_event(
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
            runner.record_end(end.how)
            if end.how == 'failed':
                task.failed_on.add(runner.name)
            self._log_event(
                'run ended', task=end.task, run=end.attempt, how=end.how,
                node=runner.name,
            )  # fmt: skip
        self._append_ends(rows)
        number = runner.recorded_end
        if number > runner.durable_end:
            confirm = effects.ConfirmEnds(runner.name, runner.token, number)
            self.deferred.append(confirm)

    def _find_waiting_task(
        self, end: types.ReportedEnd
    ) -> job_table.Task | None:
        """Return the waiting task to which a late end still applies, if any.

        The run was recorded as lost, as its runner did not report until its
        lease had expired; now the runner reports that the run was done. As no
        later attempt has started, the work need not be repeated.
        """
        task = self.table.find_task(end.task)
        if task is None or task.instance or task.done or end.how != 'done':
            return None
        if task.spec.lasts or task.spec.gang or not task.job.is_open():
            return None
        return task

    def _append_ends(self, rows: list[records.EndedRow]) -> None:
        """Record ends and release what the runs reserved."""
        if not rows:
            return
        for row in rows:
            task = self.table.find_task(row.task)
            assert task is not None, row.task
            if task.instance:
                self.runners[task.instance].tasks.pop(row.task, None)
            task.listed = task.stopping = False
            task.percent = task.usage = 0
            task.throttle_percent = 100
        self._append(records.Ended(tuple(rows)))
        for row in rows:
            task = self.table.find_task(row.task)
            assert task is not None
            self._update_open_jobs(task.job, 0.0)

    def _update_open_jobs(self, job: job_table.Job, now: float) -> None:
        """Update the open jobs with a job; stop its runs if it has ended."""
        if job.is_open():
            self.open_jobs[job.spec.job_id] = job
            return
        if self.open_jobs.pop(job.spec.job_id, None) is not None:
            self.deferred.append(effects.FinalizeJob(job.spec.job_id))
            self._log_event('job ended', job=job.spec.job_id, state=job.state)
        self._stop_runs(job, now)

    def _stop_runs(self, job: job_table.Job, now: float) -> None:
        for task in job.tasks.values():
            if task.instance and not task.stopping:
                self._stop(task, now)

    def finalize(self, job_id: str, now: float) -> None:
        """Make the end of a job, whose records are durable, visible."""
        job = self.table.jobs.get(job_id)
        if job is not None and not job.finalized:
            self._mark_ended(job, now)

    def _mark_ended(self, job: job_table.Job, now: float) -> None:
        job.finalized, job.ended_at = True, now
        self._ended_jobs.append(job)
        self._uncompacted[job.spec.job_id] = job

    def confirm_ends(
        self, name: str, token: int, number: int, lease_ms: int
    ) -> None:
        """Confirm to a runner the ends that are durable."""
        runner = self.runners.get(name)
        if runner is None or runner.token != token or not runner.session:
            return
        runner.durable_end = max(runner.durable_end, number)
        self._acknowledge(runner, lease_ms)

    def _reconcile(
        self,
        runner: runners.RunnerState,
        msg: messages.RunnerReport,
        now: float,
    ) -> None:
        """Compare the runs of a complete report with the expected ones.

        Runs of unknown tasks are stopped; tasks that should run but are not
        listed, and whose start the report must already show, are recorded as
        lost.
        """
        running = {run.task: run for run in msg.running}
        runner.unknown_runs = 0
        for run in msg.running:
            task = runner.tasks.get(run.task)
            if task is None or task.attempt != run.attempt:
                runner.unknown_runs += 1
                self._stop_unknown_run(runner, run)
                continue
            _update_task(task, run)
        pending = set(msg.unanswered)
        lost = []
        for task in list(runner.tasks.values()):
            if task.name in running or task.name in pending:
                continue
            if task.ordered_at and task.ordered_number > msg.orders:
                continue
            lost.append(task)
        if lost:
            if runner.reconciled:
                # The start failed. Under a new lease this is unknown: the
                # run may have ended with an older incarnation of the runner.
                for task in lost:
                    if self._planner.advice.reject_ticket(task, now):
                        runner.record_end('failed')
            self._record_lost(runner, lost, 'runner does not list it')
        if not runner.reconciled:
            runner.reconciled = True
            self._changed = True
            self._log_event(
                'runner ready', node=runner.name, runs=len(running)
            )

    def _stop_unknown_run(
        self, runner: runners.RunnerState, run: types.ReportedRun
    ) -> None:
        stop = messages.StopRun(runner.token, run.task, run.attempt)
        self.immediate.append(
            effects.SendToAgent(runner.name, runner.token, stop)
        )
        self._log_event(
            'unknown run stopped', node=runner.name, task=run.task,
            run=run.attempt,
        )  # fmt: skip

    def _record_lost(
        self,
        runner: runners.RunnerState,
        lost: list[job_table.Task],
        reason: str,
    ) -> None:
        """Record runs as lost that have ended without a reported end."""
        for task in lost:
            self._log_event(
                'run lost', task=task.name, run=task.attempt, node=runner.name,
                reason=reason,
            )  # fmt: skip
        self._append_ends(
            [
                records.EndedRow(
                    task.name, task.attempt, 'lost', task.checkpoint
                )
                for task in lost
            ]
        )

    def _stop(self, task: job_table.Task, now: float) -> None:
        runner = self.runners[task.instance]
        task.stopping = True
        task.ordered_stop_at = now
        if not runner.session:
            return
        stop = messages.StopRun(runner.token, task.name, task.attempt)
        self.immediate.append(
            effects.SendToAgent(runner.name, runner.token, stop)
        )

    # Throttling of fillers beside serving tasks.

    def _throttle_fillers(
        self, runner: runners.RunnerState, now: float
    ) -> None:
        tasks = list(runner.tasks.values())
        self.interference.observe(tasks)
        for adjustment in throttling.choose_adjustments(
            tasks, self.interference, now
        ):
            task = adjustment.task
            if adjustment.move and task.spec.checkpointing:
                self._log_event(
                    'filler moved', task=task.name, node=runner.name
                )
                task.avoided_instance = runner.name
                self._stop(task, now)
                continue
            if adjustment.percent == task.throttle_percent:
                continue
            task.throttle_percent, task.throttled_at = adjustment.percent, now
            if adjustment.percent > throttling.STALLED_PERCENT:
                task.not_stalled_at = now
            order = messages.ThrottleRun(
                runner.token, task.name, task.attempt, adjustment.percent
            )
            self.immediate.append(
                effects.SendToAgent(runner.name, runner.token, order)
            )
            self._log_event(
                'filler paced',
                task=task.name,
                node=runner.name,
                percent=adjustment.percent,
                pressure=round(throttling.infer_pressure(tasks), 2),
            )

    # Time.

    def tick(self, now: float, wall_ms: float) -> None:
        """Expire leases, repeat stops, restate jobs, and start tasks.

        The owner task calls it periodically.
        """
        for runner in list(self.runners.values()):
            if now >= runner.expires_at:
                self._expire_lease(runner, now)
            elif runner.session:
                self._drain(runner, now)
                self._repeat_stops(runner, now)
        self._make_due_occurrences(wall_ms)
        self._forget_ended_jobs(now)
        self._restate_jobs(now)
        self.schedule(now)

    def _expire_lease(self, runner: runners.RunnerState, now: float) -> None:
        if runner.tasks:
            # The operators' page matches this reason of the event `run lost`.
            self._record_lost(
                runner, list(runner.tasks.values()), 'lease lapsed'
            )
        if runner.session and runner.info is not None:
            self.attach(runner.name, runner.session, runner.info, now)
            return
        del self.runners[runner.name]
        self._log_event(
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
                    self._stop(task, now)

    def _repeat_stops(self, runner: runners.RunnerState, now: float) -> None:
        for task in runner.tasks.values():
            overdue = now - task.ordered_stop_at >= STOP_RETRY_S
            if task.stopping and overdue:
                self._stop(task, now)

    def _make_due_occurrences(self, wall_ms: float) -> None:
        for job in self.open_jobs.values():
            while (
                job.occurrences < job.spec.repeat
                and job.due_ms(job.occurrences) <= wall_ms
            ):
                self._changed = True
                job.make_occurrence()

    def _forget_ended_jobs(self, now: float) -> None:
        """Drop the tasks of ended jobs, and later the jobs themselves."""
        for job_id, job in list(self._uncompacted.items()):
            if job.compact():
                del self._uncompacted[job_id]
                self._planner.forget(job)
        while self._ended_jobs:
            job = self._ended_jobs[0]
            assert job.ended_at is not None
            expired = now - job.ended_at > job_table.ENDED_RETENTION_S
            if not expired or job.spec.job_id in self._uncompacted:
                return
            self._ended_jobs.popleft()
            del self.table.jobs[job.spec.job_id]

    def _restate_jobs(self, now: float) -> None:
        number = self.snapshots.number
        chosen = self.snapshots.choose_records(self.table, now)
        self.pending_records += chosen
        if self.snapshots.number != number:
            self._log_event(
                'snapshot begun', snapshot=self.snapshots.number,
                jobs=len(self.table.jobs), log=self.snapshots.growth_bytes,
            )  # fmt: skip
        if chosen and isinstance(chosen[-1], records.SnapshotEnded):
            self.deferred.append(effects.TrimLog(chosen[-1].number))

    # Starts.

    def schedule(self, now: float) -> None:
        """Start the waiting tasks for which a runner has capacity."""
        if not self._changed and now < self._next_plan_at:
            return
        self._changed = False
        self._next_plan_at = now + REPLAN_INTERVAL_S
        schedulable = [
            runner
            for runner in self.runners.values()
            if runner.is_schedulable()
        ]
        if not schedulable:
            return
        plan = self._planner.plan(self.open_jobs.values(), schedulable, now)
        for request in plan.requests:
            self.immediate.append(request)
            self._log_event(
                'advice asked', step=request.step,
                runners=len(request.runners), request=request.number,
                unanswered=self._planner.advice.window.unanswered,
                steps_waiting=self._planner.advice.steps_ahead,
            )  # fmt: skip
        for waiting in plan.waits:
            self._log_event(
                'step waits', step=waiting.step, runners=len(schedulable),
                steps_ahead=waiting.steps_ahead,
                **{k.replace(' ', '_'): n for k, n in waiting.reasons.items()},
            )  # fmt: skip
        if not plan.starts:
            return
        rows = tuple(
            records.StartRow(t.name, t.attempt + 1, t.instance, t.incarnation)
            for t in plan.starts
        )
        self._append(records.Started(rows))
        for task in plan.starts:
            self._order_start(task, now)

    def record_advice(
        self, request: effects.RequestAdvice, reply: tickets.Reply, now: float
    ) -> None:
        """Store the tickets that the adviser granted."""
        self._changed = True
        job = self.table.jobs.get(request.step.partition('.')[0])
        valid_s = reply.valid_s
        if job is not None and not valid_s:
            valid_s = job.spec.queue.ticket_ms / 1000.0
        left_s = self._planner.advice.record_reply(
            request, reply, valid_s, now
        )
        self._log_event(
            'advice taken',
            step=request.step,
            request=request.number,
            granted=-1 if reply.granted is None else len(reply.granted),
            valid_s=valid_s,
            left_s=round(left_s, 3),
            unanswered=self._planner.advice.window.unanswered,
        )

    def describe_advice(self) -> dict[str, typing.Any]:
        """Return the state of the requests to the adviser, for the dump."""
        advice = self._planner.advice
        return {
            'unanswered': advice.window.unanswered,
            'congested': advice.window.congested,
            'steps_waiting': advice.steps_ahead,
        }

    def find_session(self, effect: effects.SendToAgent, now: float) -> str:
        """Return the session to which a message is sent; empty for none.

        The owner task calls it when it sends the message. A start is withdrawn
        if, while it waited for the log, its runner has begun to drain, its job
        has ended, its ticket may have expired, or another member of its gang
        was lost.
        """
        runner = self.runners.get(effect.instance)
        if runner is None or runner.token != effect.token:
            return ''
        if not isinstance(effect.msg, messages.StartRun):
            return runner.session
        task = self.table.find_task(effect.msg.task)
        draining = runner.info is not None and runner.info.draining
        broken = task is not None and not task.is_gang_complete()
        expired = task is not None and self._planner.advice.has_expired(
            task, now
        )
        if task is None or task.stopping or draining or broken or expired:
            if task is not None:
                # The next complete report shows that it is not running.
                task.ordered_number = 0
            self._log_event(
                'start withdrawn', task=effect.msg.task, node=runner.name,
                draining=draining, gang_broken=broken, ticket_expired=expired,
            )  # fmt: skip
            return ''
        return runner.session

    def _order_start(self, task: job_table.Task, now: float) -> None:
        runner = self.runners[task.instance]
        runner.tasks[task.name] = task
        runner.last_order += 1
        runner.last_start_at = now
        task.ordered_at = now
        task.throttled_at = task.not_stalled_at = now
        task.ordered_number = runner.last_order
        task.listed = task.stopping = False
        ticket = self._planner.advice.find_ticket(task, now)
        order = messages.StartRun(
            runner.token, runner.last_order, task.incarnation, task.name,
            task.attempt, task.job.spec.payload, task.checkpoint,
            ticket,
            task.throttle_percent,
        )  # fmt: skip
        self.deferred.append(
            effects.SendToAgent(runner.name, runner.token, order)
        )
        self._log_event(
            'run ordered', task=task.name, run=task.attempt, node=runner.name,
            resumed=bool(task.checkpoint), percent=task.throttle_percent,
        )  # fmt: skip


def _update_task(task: job_table.Task, run: types.ReportedRun) -> None:
    task.listed = True
    task.percent, task.usage = run.percent, run.usage
    if run.saved:
        task.checkpoint = run.saved

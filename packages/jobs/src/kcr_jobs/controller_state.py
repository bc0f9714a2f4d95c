"""Hold the state of one ownership of the jobs and the changes to it.

The modules that decide by subject (callers' requests, reports of runners, ends
of jobs, shares of fillers, starts) share one State. It collects what is to be
stored, sent and logged; its own methods keep jobs, tasks and reservations
consistent with the records.
"""

import dataclasses
import typing

from kcr_jobs import admission
from kcr_jobs import cold_runners
from kcr_jobs import conditions
from kcr_jobs import durations
from kcr_jobs import effects
from kcr_jobs import evacuation
from kcr_jobs import interference_model
from kcr_jobs import job_table
from kcr_jobs import messages
from kcr_jobs import ordering
from kcr_jobs import planning
from kcr_jobs import preemption
from kcr_jobs import records
from kcr_jobs import regions
from kcr_jobs import runner_lease
from kcr_jobs import runners
from kcr_jobs import shares
from kcr_jobs import stragglers


@dataclasses.dataclass(frozen=True, slots=True)
class LogEvent:
    """Store one line for the log."""

    # Name of the event; also a label of the metric of decisions.
    event: str
    # Key and value pairs of the line: `node` and `life` are the instance and
    # the incarnation of a runner, `run` is the number of an attempt, and
    # `heard` the time of the last report.
    fields: dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Overload:
    """Select what the owner does when capacity is scarce."""

    # Whether jobs are refused that would end too late.
    refuses: bool = False
    # Whether queues and sizes of jobs get shares.
    shares: bool = False
    # Whether urgent jobs may stop tasks of others.
    preempts: bool = False
    # Whether tasks are moved off runners that are slow without saying so.
    moves: bool = False


class State:
    """Store the jobs and runners of one ownership."""

    def __init__(
        self,
        table: job_table.JobTable,
        epoch: int,
        lease_s: float,
        now: float,
        remote_factor: float = 1.0,
        overload: Overload = Overload(),
    ) -> None:
        # State of all jobs; ahead of the log by `pending_records`.
        self.table = table
        # Epoch of this ownership.
        self.epoch = epoch
        # Duration of a lease, in seconds.
        self.lease_s = lease_s
        # Time at which this ownership began.
        self.began_at = now
        # Difference between the time of day and the clock of the owner, in
        # seconds; none before the first tick.
        self.wall_offset_s: float | None = None
        # Where tasks may start.
        self.conditions = conditions.Conditions()
        # What is done when capacity is scarce.
        self.overload = overload
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
        # Metrics to count, each with the value of its label `effect`.
        self.counts: list[tuple[str, str]] = []
        # Jobs that may have tasks to start, by id.
        self.open_jobs: dict[str, job_table.Job] = {}
        # Estimates of what fillers add to the latency of serving tasks.
        self.interference = interference_model.InterferenceModel()
        # Learnt run times of tasks.
        self.durations = durations.Durations()
        order_name = 'shares' if overload.shares else planning.ORDER_NAME
        self.planner = planning.Planner(
            self.interference, self.durations, remote_factor, order_name
        )
        self.shares = shares.Shares(self.durations)
        self.admission = admission.Admission(
            self.durations, self.shares, ordering.ORDERS.get(order_name)
        )
        self.preemption = preemption.Preemption(
            self.durations, self.interference
        )
        self.stragglers = stragglers.Stragglers(
            self.durations, self.interference
        )
        # Whether jobs or reservations have changed since the last plan.
        self.changed = True

    def count_open_tasks(self) -> int:
        """Return the number of tasks of the open jobs.

        A job that has not made any yet counts with those of an occurrence.
        """
        return sum(
            max(len(job.tasks), job.occurrence_tasks)
            for job in self.open_jobs.values()
        )

    def get_runner(self, name: str, now: float) -> runners.RunnerState:
        """Return a runner; an unknown one may still hold a lease."""
        runner = self.runners.get(name)
        if runner is None:
            runner = self.runners[name] = runners.RunnerState(name)
            runner.extend_lease(runner_lease.infer_expiry(now, self.lease_s))
        return runner

    def log_event(self, event: str, **fields: typing.Any) -> None:
        """Add a line for the log."""
        self.log_events.append(LogEvent(event, fields))

    def count(self, metric: str, effect: str) -> None:
        """Count an effect of a decision in a metric."""
        self.counts.append((metric, effect))

    def is_evacuated(self, runner: runners.RunnerState) -> bool:
        """Return whether the zone of a runner is evacuated."""
        return runner.info is not None and evacuation.forbids(
            self.conditions.evacuation_view, runner.info.zone
        )

    def is_in_region(
        self, task: job_table.Task, runner: runners.RunnerState
    ) -> bool:
        """Return whether a runner is in an allowed region of a task."""
        return runner.info is not None and self.conditions.region_rules.allows(
            task.job.spec.queue, runner.info.zone
        )

    def set_regions(self, rules: regions.Rules) -> None:
        """Apply the regions of zones and routes."""
        self.conditions = dataclasses.replace(
            self.conditions, region_rules=rules
        )
        self.changed = True

    def set_cold_rules(self, rules: cold_runners.Rules) -> None:
        """Apply the rules for runners that are slow after their start."""
        self.conditions = dataclasses.replace(
            self.conditions, cold_rules=rules
        )
        self.changed = True

    def append(self, rec: records.Record) -> None:
        """Apply a record, and add it to those to append to the log."""
        self.changed = True
        self.pending_records.append(rec)
        self.table.apply(rec)

    def record_begun(self, name: str, attempt: int) -> None:
        """Record once for each open job that a runner has begun a task.

        It is durable, so that a new owner shows no older state than this one.
        """
        task = self.table.find_task(name)
        if task is None or not 0 < attempt <= task.attempt:
            return
        if task.job.is_open() and not task.job.begun:
            self.append(job_table.record_begun(task))
            self.log_event(
                'job begun', job=task.job.spec.job_id, task=name, run=attempt
            )

    def append_ends(self, rows: list[records.EndedRow]) -> None:
        """Record ends and release what the runs reserved."""
        if not rows:
            return
        tasks = []
        for row in rows:
            task = self.table.find_task(row.task)
            assert task is not None, row.task
            tasks.append(task)
            if task.instance:
                self.runners[task.instance].tasks.pop(row.task, None)
            task.listed = task.stopping = False
            task.percent = task.usage = 0
            task.throttle_percent = 100
        self.append(records.Ended(tuple(rows)))
        for task in tasks:
            if task.occurrence not in task.job.live:
                self.planner.forget_occurrence(task.job, task.occurrence)
            self.update_open_jobs(task.job, 0.0)

    def record_lost(
        self,
        runner: runners.RunnerState,
        lost: list[job_table.Task],
        reason: str,
    ) -> None:
        """Record runs as lost that have ended without a reported end."""
        for task in lost:
            self.log_event(
                'run lost', task=task.name, run=task.attempt, node=runner.name,
                reason=reason,
            )  # fmt: skip
        self.append_ends(
            [
                records.EndedRow(
                    task.name, task.attempt, job_table.LOST, task.checkpoint
                )
                for task in lost
            ]
        )

    def update_open_jobs(self, job: job_table.Job, now: float) -> None:
        """Update the open jobs with a job; stop its runs if it has ended."""
        if job.is_open():
            self.open_jobs[job.spec.job_id] = job
            return
        if self.open_jobs.pop(job.spec.job_id, None) is not None:
            self.deferred.append(effects.FinalizeJob(job.spec.job_id))
            self.log_event('job ended', job=job.spec.job_id, state=job.state)
        self.stop_runs(job, now)

    def stop_runs(self, job: job_table.Job, now: float) -> None:
        """Order the stop of all runs of a job."""
        for task in job.tasks.values():
            if task.instance and not task.stopping:
                self.stop(task, now)

    def stop(self, task: job_table.Task, now: float) -> None:
        """Order the stop of a run; without a session it is repeated later."""
        runner = self.runners[task.instance]
        task.stopping = True
        task.ordered_stop_at = now
        if not runner.session:
            return
        stop = messages.StopRun(runner.token, task.name, task.attempt)
        self.immediate.append(
            effects.SendToAgent(runner.name, runner.token, stop)
        )

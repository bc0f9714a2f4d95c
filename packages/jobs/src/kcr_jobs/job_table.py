"""Fold the records of the job log into the state of every job.

The fold decides nothing by time: two readers of the same records hold the
same jobs. Fields that only the owner uses are marked as not durable.
"""

from collections import abc
import dataclasses

from kcr_jobs import records
from kcr_jobs import types

# Time that an ended job stays known, in seconds; the platform asks for 120 s
# of status and may deliver a copy of the submission some seconds late.
KEEP_ENDED_S = 150.0

COMPLETED = 'completed'
FAILED = 'failed'
CANCELLED = 'cancelled'
QUEUED = 'queued'
RUNNING = 'running'


@dataclasses.dataclass(slots=True, eq=False)
class Task:
    """Hold one task of one occurrence of a job."""

    # Name: job, occurrence, step and index, joined by dots.
    name: str
    # Job of the task.
    job: 'Job'
    # Occurrence.
    occurrence: int
    # Number of the step.
    step: int
    # Highest attempt so far.
    attempt: int = 0
    # Runs that have failed.
    failures: int = 0
    # Whether it is done.
    done: bool = False
    # Instance where the attempt may run; empty for none.
    instance: str = ''
    # Life of that runner.
    incarnation: str = ''
    # Newest checkpoint; empty for none.
    checkpoint: str = ''
    # Instances where it has failed. Not durable.
    failed_on: set[str] = dataclasses.field(default_factory=set)
    # Instance that it was moved away from. Not durable.
    avoided_instance: str = ''
    # Whether a runner has listed the attempt. Not durable.
    listed: bool = False
    # Whether a stop has been ordered. Not durable.
    stopping: bool = False
    # Time and number, in its lease, of the order to start. Not durable.
    ordered_at: float = 0.0
    ordered_number: int = 0
    # Time of the last order to stop. Not durable.
    ordered_stop_at: float = 0.0
    # Newest percent and usage of the runner. Not durable.
    percent: int = 0
    usage: int = 0
    # Share that was ordered, when, and when it last was no standstill. Not
    # durable.
    throttle_percent: int = 100
    throttled_at: float = 0.0
    not_stalled_at: float = 0.0

    @property
    def spec(self) -> types.Step:
        """Return the step of the task."""
        return self.job.spec.steps[self.step]

    def is_gang_complete(self) -> bool:
        """Tell whether all members of its gang are in the same attempt."""
        if not self.spec.gang:
            return True
        prefix = self.name.rpartition('.')[0]
        members = (
            self.job.tasks[f'{prefix}.{index}']
            for index in range(self.spec.count)
        )
        return all(
            m.instance and not m.stopping and m.attempt == self.attempt
            for m in members
        )


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """Hold one job."""

    # The job as submitted.
    spec: types.JobSpec
    # Wall-clock time of the acceptance.
    accepted_ms: int
    # Whether it was cancelled.
    cancelled: bool = False
    # Whether a task has failed too often.
    failed: bool = False
    # Tasks by name; those of an occurrence are made when it is due.
    tasks: dict[str, Task] = dataclasses.field(default_factory=dict)
    # Occurrences whose tasks were made.
    occurrences: int = 0
    # Tasks that are not done, by occurrence and step.
    unfinished: dict[tuple[int, int], int] = dataclasses.field(
        default_factory=dict
    )
    # Whether any task has been started.
    started: bool = False
    # Whether its end is durable and known to the runners. Not durable.
    finalized: bool = False
    # Monotonic time at which the owner saw it end. Not durable.
    ended_at: float | None = None
    # Monotonic time at which the owner saw it accepted. Not durable.
    accepted_at: float = 0.0
    # Monotonic time since which a task of it finds no room while none runs.
    # Not durable.
    starved_since: float | None = None
    # Monotonic time of the last full record of it. Not durable.
    restated_at: float = 0.0

    @property
    def state(self) -> str:
        """Return the state that callers see."""
        if self.cancelled:
            return CANCELLED
        if self.failed:
            return FAILED
        if self.is_completed():
            return COMPLETED
        return RUNNING if self.started else QUEUED

    def is_completed(self) -> bool:
        """Tell whether every task of every occurrence is done."""
        return self.occurrences >= max(1, self.spec.repeat) and not any(
            self.unfinished.values()
        )

    def is_open(self) -> bool:
        """Tell whether tasks of it may still be started."""
        return not (self.cancelled or self.failed or self.is_completed())

    def make_occurrence(self) -> list[Task]:
        """Make the tasks of the next occurrence."""
        number = self.occurrences
        self.occurrences += 1
        made = []
        for step, spec in enumerate(self.spec.steps):
            self.unfinished[number, step] = spec.count
            for index in range(spec.count):
                name = f'{self.spec.job_id}.{number}.{step}.{index}'
                self.tasks[name] = Task(name, self, number, step)
                made.append(self.tasks[name])
        return made

    def is_ready(self, occurrence: int, step: int) -> bool:
        """Tell whether all steps that a step depends on are done."""
        return not any(
            self.unfinished.get((occurrence, number), 1)
            for number in self.spec.steps[step].after
        )

    def due_ms(self, occurrence: int) -> float:
        """Return the wall-clock time at which an occurrence is due."""
        if not self.spec.repeat:
            return 0.0
        return self.spec.start_at_ms + occurrence * self.spec.interval_ms


class JobTable:
    """Hold every job that the log tells of."""

    def __init__(self) -> None:
        # Jobs by id.
        self.jobs: dict[str, Job] = {}
        # Highest claim so far; none before the first.
        self.claim: records.Claim | None = None

    @property
    def epoch(self) -> int:
        """Return the highest epoch so far; 0 before the first."""
        return self.claim.epoch if self.claim else 0

    def find_task(self, name: str) -> Task | None:
        """Return the task with a name."""
        job = self.jobs.get(name.partition('.')[0])
        return job.tasks.get(name) if job is not None else None

    def apply(self, rec: records.Record) -> None:
        """Apply one record."""
        if isinstance(rec, records.Claim):
            if rec.epoch > self.epoch:
                self.claim = rec
        elif isinstance(rec, records.Accepted):
            self._accept(rec)
        elif isinstance(rec, records.Started):
            for start in rec.rows:
                self._start(start)
        elif isinstance(rec, records.Ended):
            for end in rec.rows:
                self._end(end)
        elif isinstance(rec, records.Cancelled):
            if rec.job_id in self.jobs:
                self.jobs[rec.job_id].cancelled = True
        elif isinstance(rec, records.Restated):
            self._restate(rec)

    def _accept(self, rec: records.Accepted) -> None:
        if rec.spec.job_id in self.jobs:
            return
        job = Job(rec.spec, rec.at_ms)
        self.jobs[rec.spec.job_id] = job
        if not rec.spec.repeat:
            job.make_occurrence()

    def _start(self, row: records.StartRow) -> None:
        task = self._find_or_make(row.task)
        if task is None or row.attempt < task.attempt:
            return
        task.attempt, task.instance, task.incarnation = (
            row.attempt,
            row.node,
            row.life,
        )
        task.job.started = True

    def _end(self, row: records.EndedRow) -> None:
        task = self._find_or_make(row.task)
        if task is None:
            return
        if row.attempt >= task.attempt:
            task.attempt = row.attempt
            task.instance = task.incarnation = ''
        # A task that lasts is restarted however it ends.
        if row.how == 'done' and not task.spec.lasts:
            _finish(task)
            return
        if row.saved:
            task.checkpoint = row.saved
        if row.how == 'failed':
            task.failures += 1
            limit = task.job.spec.queue.max_attempts
            if task.failures >= limit and not task.spec.lasts:
                task.job.failed = True

    def _find_or_make(self, name: str) -> Task | None:
        """Return a task; make the occurrences up to its own."""
        job = self.jobs.get(name.partition('.')[0])
        if job is None:
            return None
        number = int(name.split('.')[1])
        while job.occurrences <= number < max(1, job.spec.repeat):
            job.make_occurrence()
        return job.tasks.get(name)

    def _restate(self, rec: records.Restated) -> None:
        job = Job(rec.spec, rec.at_ms, rec.cancelled, rec.failed)
        self.jobs[rec.spec.job_id] = job
        if not rec.spec.repeat:
            job.make_occurrence()
        for row in rec.tasks:
            task = self._find_or_make(row.task)
            if task is None:
                continue
            task.attempt, task.failures = row.attempt, row.failures
            task.instance, task.incarnation = row.node, row.life
            task.checkpoint = row.saved
            job.started = True
            if row.done:
                _finish(task)


def _finish(task: Task) -> None:
    if task.done:
        return
    task.done = True
    job = task.job
    key = (task.occurrence, task.step)
    job.unfinished[key] -= 1
    assert job.unfinished[key] >= 0, task.name
    if not task.spec.gang:
        return
    # One end of a gang stands for all its members.
    for other in job.tasks.values():
        if (other.occurrence, other.step) == key and not other.done:
            other.done = True
            job.unfinished[key] -= 1


def restate(job: Job) -> records.Restated:
    """Return the record that holds the whole state of a job."""
    return records.Restated(
        job.spec,
        job.accepted_ms,
        job.cancelled,
        job.failed,
        tuple(
            records.TaskRow(
                task.name, task.attempt, task.failures, task.done,
                task.instance, task.incarnation, task.checkpoint,
            )
            for task in job.tasks.values()
            if task.attempt
        ),
    )  # fmt: skip


def fold(batch: abc.Iterable[records.Record], into: JobTable) -> None:
    """Apply records in order."""
    for rec in batch:
        into.apply(rec)

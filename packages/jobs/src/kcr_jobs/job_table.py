"""Build the state of every job from the records of the job log.

The owner of the jobs and every process that reads the log apply the same
records in the same order. The result depends on the records only, not on
time, so all readers have the same jobs. Fields that only the owner's
controller uses, and that are not in the log, are marked "not durable".
"""

from collections import abc
import dataclasses

from kcr_jobs import records
from kcr_jobs import types

# Retention of an ended job, in seconds. The platform requires its state for
# 120 s and may deliver a copy of the submission some seconds late.
ENDED_RETENTION_S = 150.0
# Maximum number of cancels of jobs that were not submitted; one takes 200
# bytes. The owner refuses further ones, and a reader drops the oldest.
MAX_EARLY_CANCELS = 10_000

COMPLETED = 'completed'
FAILED = 'failed'
CANCELLED = 'cancelled'
QUEUED = 'queued'
RUNNING = 'running'

# Values of records.EndedRow.how: no runner has reported the end, and the job
# has begun.
LOST = 'lost'
BEGUN = 'begun'


@dataclasses.dataclass(frozen=True, slots=True)
class RackWait:
    """Describe the wait of a task for a place in a rack (see locality)."""

    rack: str
    # Time of the decision to wait, and the time until which it waits.
    since: float
    until: float


@dataclasses.dataclass(slots=True, eq=False)
class Task:
    """Store one task of one occurrence of a job."""

    # Job id, occurrence, step and index, joined by dots.
    name: str
    job: 'Job'
    # Index of the occurrence in the job.
    occurrence: int
    # Index of the step in the job's specification.
    step: int
    # Highest attempt so far; 0 before the first.
    attempt: int = 0
    # Number of failed attempts.
    failures: int = 0
    done: bool = False
    # Instance on which the attempt may be running; empty for none.
    instance: str = ''
    # Incarnation of the runner there.
    incarnation: str = ''
    # Newest checkpoint; empty for none.
    checkpoint: str = ''
    # Instances on which an attempt has failed. Not durable.
    failed_on: set[str] = dataclasses.field(default_factory=set)
    # Instance from which a filler was moved, and to which it does not
    # return, or from which another task was moved, and to which it returns
    # only if no other has room; empty for none. Not durable.
    avoided_instance: str = ''
    # Number of times that it was moved off a slow runner. Not durable.
    moves: int = 0
    # Whether a report has listed the attempt as running. Not durable.
    listed: bool = False
    # Whether a stop has been ordered. Not durable.
    stopping: bool = False
    # Time of the start order, and its number in the lease. Not durable.
    ordered_at: float = 0.0
    ordered_number: int = 0
    # Time of the last stop order. Not durable.
    ordered_stop_at: float = 0.0
    # Newest reported values, as in types.ReportedRun. Not durable.
    percent: int = 0
    usage: int = 0
    # Throttle of a filler: the last ordered share of its processors in
    # percent, the time of that order, and the time of the start or of the
    # last order above throttling.STALLED_PERCENT. Not durable.
    throttle_percent: int = 100
    throttled_at: float = 0.0
    not_stalled_at: float = 0.0
    # Time at which its newest checkpoint was first reported; none before that.
    # Not durable.
    checkpointed_at: float | None = None
    # Time that the run has had at full share until `worked_until`, in seconds
    # (see durations), and whether it resumed from a checkpoint. Not durable.
    work_s: float = 0.0
    worked_until: float = 0.0
    resumed: bool = False
    # Factor by which its place prolongs the run. Not durable.
    slowdown: float = 1.0
    # Rack of which it waits for a place in the current plan; empty for none.
    # The wait itself; none before a decision to wait. Not durable.
    awaited_rack: str = ''
    rack_wait: RackWait | None = None

    @property
    def spec(self) -> types.Step:
        """Return the specification of the task's step."""
        return self.job.spec.steps[self.step]

    @property
    def step_name(self) -> str:
        """Return the name of its step: job id, occurrence and step."""
        return self.name.rpartition('.')[0]

    def is_gang_complete(self) -> bool:
        """Return whether all members of its gang run in the same attempt."""
        if not self.spec.gang:
            return True
        return all(
            m.instance and not m.stopping and m.attempt == self.attempt
            for m in self.find_gang()
        )

    def find_gang(self) -> list['Task']:
        """Return all tasks of its step and occurrence."""
        return [
            self.job.tasks[f'{self.step_name}.{index}']
            for index in range(self.spec.count)
        ]


@dataclasses.dataclass(frozen=True, slots=True)
class EarlyCancel:
    """Describe the cancel of a job that was not submitted."""

    # As in records.Cancelled.
    base_url: str = ''
    # Monotonic time at which this owner recorded it or took it over. Not
    # durable.
    at: float = 0.0


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """Store one job and its tasks."""

    # The job as submitted.
    spec: types.JobSpec
    # Wall-clock time of the acceptance.
    accepted_ms: int
    cancelled: bool = False
    # Whether a task has used up its attempts.
    failed: bool = False
    # Tasks by name. Those of an occurrence of a scheduled job are made when it
    # is due, and dropped when it has ended.
    tasks: dict[str, Task] = dataclasses.field(default_factory=dict)
    # Number of occurrences whose tasks were made.
    occurrences: int = 0
    # Occurrences whose tasks were made and not dropped, in ascending order.
    live: dict[int, None] = dataclasses.field(default_factory=dict)
    # Number of tasks that are not done, by occurrence and step.
    unfinished: dict[tuple[int, int], int] = dataclasses.field(
        default_factory=dict
    )
    # Whether a runner has begun any task: a report has listed its run or its
    # end. A recorded start alone may never have reached the runner.
    begun: bool = False
    # Whether the records of its end are durable, so that callers may see
    # the end. Not durable itself.
    finalized: bool = False
    # Monotonic time at which the owner finalized it. Not durable.
    ended_at: float | None = None
    # Monotonic time at which this owner accepted it or took it over. Not
    # durable.
    accepted_at: float = 0.0
    # Monotonic time since which no runner has capacity for its tasks while
    # none of them runs. Not durable.
    starved_since: float | None = None
    # Target time and expected time of the remaining chain of steps by learnt
    # run times, in seconds; 0 before they are inferred. Not durable.
    target_s: float = 0.0
    chain_left_s: float = 0.0
    # Whether its queue has its share without this job, and whether jobs of
    # its size are served too rarely; set by `shares`. Not durable.
    beyond_share: bool = False
    size_behind: bool = False
    # Whether it was accepted although it is expected to miss its target; it
    # does not delay jobs that are not. Not durable.
    expected_late: bool = False
    # Whether it counts as served or as useless for its size. Not durable.
    size_counted: bool = False
    # Time at which one of its tasks was last stopped for more urgent work;
    # none before that. Not durable.
    preempted_at: float | None = None

    @property
    def state(self) -> str:
        """Return the state as an answer to callers names it."""
        if self.cancelled:
            return CANCELLED
        if self.failed:
            return FAILED
        if self.is_completed():
            return COMPLETED
        return RUNNING if self.begun else QUEUED

    def is_completed(self) -> bool:
        """Return whether every task of every occurrence is done."""
        return self.occurrences >= max(1, self.spec.repeat) and not any(
            self.unfinished.values()
        )

    def is_open(self) -> bool:
        """Return whether its tasks may still be started."""
        return not (self.cancelled or self.failed or self.is_completed())

    @property
    def occurrence_tasks(self) -> int:
        """Return the number of tasks of one occurrence."""
        return sum(step.count for step in self.spec.steps)

    def make_occurrence(self) -> list[Task]:
        """Make and return the tasks of the next occurrence."""
        number = self.occurrences
        self.occurrences += 1
        self.live[number] = None
        made = []
        for step, spec in enumerate(self.spec.steps):
            self.unfinished[number, step] = spec.count
            for index in range(spec.count):
                name = f'{self.spec.job_id}.{number}.{step}.{index}'
                self.tasks[name] = Task(name, self, number, step)
                made.append(self.tasks[name])
        return made

    def find_occurrence(self, number: int) -> abc.Iterator[Task]:
        """Yield the tasks of an occurrence that is live."""
        for step, spec in enumerate(self.spec.steps):
            for index in range(spec.count):
                yield self.tasks[f'{self.spec.job_id}.{number}.{step}.{index}']

    def drop_ended_occurrence(self, number: int) -> bool:
        """Drop the tasks of an occurrence that has ended; return whether.

        A scheduled job may have any number of occurrences, so the tasks of
        those that have ended are not kept until the whole job has.
        """
        if not self.spec.repeat or number not in self.live:
            return False
        steps = range(len(self.spec.steps))
        if any(self.unfinished[number, step] for step in steps):
            return False
        tasks = list(self.find_occurrence(number))
        if any(task.instance for task in tasks):
            return False
        for task in tasks:
            del self.tasks[task.name]
        for step in steps:
            del self.unfinished[number, step]
        del self.live[number]
        return True

    def restore_occurrences(
        self, count: int, live: abc.Iterable[tuple[int, int]]
    ) -> None:
        """Make the occurrences of a restatement that are not known."""
        for first, last in live:
            for number in range(max(first, self.occurrences), last + 1):
                self.occurrences = number
                self.make_occurrence()
        self.occurrences = max(self.occurrences, count)

    def is_ready(self, occurrence: int, step: int) -> bool:
        """Return whether all steps that a step depends on are done."""
        return not any(
            self.unfinished.get((occurrence, number), 1)
            for number in self.spec.steps[step].after
        )

    def compact(self) -> bool:
        """Drop the tasks of an ended job; return whether it was possible.

        Only its state is asked for any more. Its tasks are kept while one of
        them may be running.
        """
        if not self.finalized or any(t.instance for t in self.tasks.values()):
            return False
        self.spec = strip_spec(self.spec)
        self.tasks.clear()
        self.unfinished.clear()
        self.live.clear()
        return True

    def due_ms(self, occurrence: int) -> float:
        """Return the wall-clock time at which an occurrence is due."""
        if not self.spec.repeat:
            return 0.0
        return self.spec.start_at_ms + occurrence * self.spec.interval_ms


class JobTable:
    """Store every job that the log contains."""

    def __init__(self) -> None:
        # Jobs by id.
        self.jobs: dict[str, Job] = {}
        # Cancels of jobs that were not submitted, by id; the oldest first.
        self.early_cancels: dict[str, EarlyCancel] = {}
        # Claim with the highest epoch so far; none before the first.
        self.claim: records.Claim | None = None

    @property
    def epoch(self) -> int:
        """Return the highest epoch so far; 0 before the first claim."""
        return self.claim.epoch if self.claim else 0

    def find_task(self, name: str) -> Task | None:
        """Return the task with a name; none if it is unknown."""
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
            self._cancel(rec)
        elif isinstance(rec, records.Restated):
            self._restate(rec)

    def _accept(self, rec: records.Accepted) -> None:
        """Add a job.

        The owner forgets ended jobs and early cancels by time, readers of the
        log keep them. A record that accepts such an id is for a new job.
        """
        known = self.jobs.get(rec.spec.job_id)
        if known is not None and known.is_open():
            return
        self.early_cancels.pop(rec.spec.job_id, None)
        job = Job(rec.spec, rec.at_ms)
        self.jobs[rec.spec.job_id] = job
        if not rec.spec.repeat:
            job.make_occurrence()

    def _cancel(self, rec: records.Cancelled) -> None:
        job = self.jobs.get(rec.job_id)
        if job is not None:
            # An ended one may be forgotten by the owner, see above.
            if job.spec.matches_base_url(rec.base_url):
                job.cancelled = job.cancelled or job.is_open()
            return
        self.early_cancels.pop(rec.job_id, None)
        while len(self.early_cancels) >= MAX_EARLY_CANCELS:
            del self.early_cancels[next(iter(self.early_cancels))]
        self.early_cancels[rec.job_id] = EarlyCancel(rec.base_url)

    def _start(self, row: records.StartRow) -> None:
        task = self._find_or_make(row.task)
        if task is None or row.attempt < task.attempt:
            return
        task.attempt, task.instance, task.incarnation = (
            row.attempt,
            row.node,
            row.life,
        )

    def _end(self, row: records.EndedRow) -> None:
        task = self._find_or_make(row.task)
        if task is None:
            return
        if row.how != LOST:
            task.job.begun = True
        if row.how == BEGUN:
            return
        if row.attempt >= task.attempt:
            task.attempt = row.attempt
            task.instance = task.incarnation = ''
        # A long-running task is restarted whatever its outcome.
        if row.how == 'done' and not task.spec.lasts:
            _finish(task)
        if task.done:
            task.job.drop_ended_occurrence(task.occurrence)
            return
        if row.saved:
            task.checkpoint = row.saved
        if row.how == 'failed':
            task.failures += 1
            limit = task.job.spec.queue.max_attempts
            if task.failures >= limit and not task.spec.lasts:
                task.job.failed = True

    def _find_or_make(self, name: str) -> Task | None:
        """Return a task, after making the occurrences up to its own.

        There is none if its occurrence has ended.
        """
        job = self.jobs.get(name.partition('.')[0])
        if job is None:
            return None
        number = int(name.split('.')[1])
        while job.occurrences <= number < max(1, job.spec.repeat):
            job.make_occurrence()
        return job.tasks.get(name)

    def _restate(self, rec: records.Restated) -> None:
        self.early_cancels.pop(rec.spec.job_id, None)
        job = self.jobs.get(rec.spec.job_id)
        if job is not None and job.accepted_ms != rec.at_ms:
            # The id was used again after the owner had forgotten the job.
            job = None
        if rec.part or (rec.tasks and not rec.spec.steps):
            if job is None:
                # The store has dropped the record with the steps; a later
                # snapshot contains the whole job.
                return
        elif job is None or job.spec != rec.spec:
            job = self.jobs[rec.spec.job_id] = Job(rec.spec, rec.at_ms)
            if not rec.spec.repeat:
                job.make_occurrence()
        # What is known of other tasks stays, as they may be in other parts.
        job.cancelled, job.failed = rec.cancelled, rec.failed
        job.begun = job.begun or rec.begun
        job.restore_occurrences(rec.occurrences, rec.live)
        for row in rec.tasks:
            task = self._find_or_make(row.task)
            if task is None:
                continue
            task.attempt, task.failures = row.attempt, row.failures
            task.instance, task.incarnation = row.node, row.life
            task.checkpoint = row.saved
            if row.done or row.failures or row.saved:
                job.begun = True
            if row.done:
                # The other members of a gang have rows of their own, which
                # tell whether they still run.
                _mark_done(task)
                job.drop_ended_occurrence(task.occurrence)


def _finish(task: Task) -> None:
    """Mark a task as done; one of a gang completes all its members."""
    _mark_done(task)
    if task.spec.gang:
        for other in task.find_gang():
            _mark_done(other)


def _mark_done(task: Task) -> None:
    if task.done:
        return
    task.done = True
    key = (task.occurrence, task.step)
    task.job.unfinished[key] -= 1
    assert task.job.unfinished[key] >= 0, task.name


def strip_spec(spec: types.JobSpec) -> types.JobSpec:
    """Return the specification of a job without its payload and steps."""
    return dataclasses.replace(spec, payload='', steps=(), repeat=0)


def restate(job: Job) -> records.Restated:
    """Return the record that contains the state of a job."""
    return _make_restated(job, job.spec, job.tasks.values(), False)


def restate_in_parts(
    job: Job, tasks: abc.Sequence[Task], first: int, count: int
) -> records.Restated | None:
    """Return the record of `count` tasks of a job from index `first` on.

    Only the record with the first task has payload and steps. There is none
    for further tasks of which no one was started.
    """
    rows = tasks[first : first + count]
    if not first:
        return _make_restated(job, job.spec, rows, False)
    rec = _make_restated(job, strip_spec(job.spec), rows, True)
    return rec if rec.tasks else None


def _make_restated(
    job: Job, spec: types.JobSpec, tasks: abc.Iterable[Task], part: bool
) -> records.Restated:
    return records.Restated(
        spec,
        job.accepted_ms,
        job.cancelled,
        job.failed,
        tuple(
            records.TaskRow(
                task.name, task.attempt, task.failures, task.done,
                task.instance, task.incarnation, task.checkpoint,
            )
            for task in tasks
            if task.attempt
        ),
        part,
        job.begun,
        job.occurrences if job.spec.repeat and not part else 0,
        _find_stretches(job.live) if job.spec.repeat and not part else (),
    )  # fmt: skip


def _find_stretches(
    numbers: abc.Iterable[int],
) -> tuple[tuple[int, int], ...]:
    """Return first and last number of each stretch of ascending numbers."""
    stretches: list[tuple[int, int]] = []
    for number in numbers:
        if stretches and stretches[-1][1] == number - 1:
            stretches[-1] = (stretches[-1][0], number)
        else:
            stretches.append((number, number))
    return tuple(stretches)


def record_begun(task: Task) -> records.Ended:
    """Return the record that a runner has begun a task of a job."""
    return records.Ended((records.EndedRow(task.name, 0, BEGUN, ''),))


def fold(batch: abc.Iterable[records.Record], into: JobTable) -> None:
    """Apply records to a job table in their order."""
    for rec in batch:
        into.apply(rec)

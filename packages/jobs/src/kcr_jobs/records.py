"""Define the records of the job log.

The owner appends a batch of records as one record of the store; readers apply
them in order to a JobTable. A record contains absolute values, or applying it
twice has no further effect. The names of tags and fields are stored.
"""

from collections import abc
import dataclasses
import typing

from kcr_core import registry
from kcr_jobs import types

RECORDS: registry.Registry[type[typing.Any]] = registry.Registry('job record')
# Tag under which each record class is stored.
TAGS: dict[type[typing.Any], str] = {}
T = typing.TypeVar('T')


def record(name: str) -> abc.Callable[[type[T]], type[T]]:
    """Register a record class under its tag."""

    def decorate(cls: type[T]) -> type[T]:
        RECORDS.register(name)(cls)
        TAGS[cls] = name
        return cls

    return decorate


@record('claim')
@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Record that a process owns the jobs from here on."""

    # Epoch of the ownership; each claim has a higher one.
    epoch: types.Count
    # Name of the owner's process.
    process: str
    # Incarnation of the owner's process.
    incarnation: str
    # Address at which it accepts connections.
    address: str


@record('renewed')
@dataclasses.dataclass(frozen=True, slots=True)
class Renewed:
    """Record that the owner can still write, to renew its authority."""


@record('accepted')
@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """Record the acceptance of a job."""

    # The job as submitted.
    spec: types.JobSpec
    # Wall-clock time of the acceptance.
    at_ms: types.Count


@dataclasses.dataclass(frozen=True, slots=True)
class StartRow:
    """Describe where an attempt is started."""

    # Name of the task.
    task: str
    # Number of the attempt.
    attempt: types.Count
    # Instance of the runner.
    node: str
    # Incarnation of the runner.
    life: str


@record('started')
@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """Record starts; they are ordered only after this is durable."""

    rows: tuple[StartRow, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EndedRow:
    """Describe how an attempt ended, or that its job has begun.

    Outcome `begun` with attempt 0 is no end. Readers of an earlier build
    ignore such a row, as it is older than any attempt.
    """

    # Name of the task.
    task: str
    # Number of the attempt.
    attempt: types.Count
    # Outcome as in types.ReportedEnd, or `lost` where the runner doesn't list
    # it or its lease has expired, or `begun`.
    how: str
    # Checkpoint to resume from; empty for none.
    saved: str


@record('ended')
@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """Record ends of attempts."""

    rows: tuple[EndedRow, ...]


@record('cancelled')
@dataclasses.dataclass(frozen=True, slots=True)
class Cancelled:
    """Record the cancellation of a job, which may be submitted later."""

    job_id: str
    # Base URL of the call if no route has it; a job that was submitted with
    # another one is not cancelled.
    base_url: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class TaskRow:
    """Store the durable state of a task."""

    # Name of the task.
    task: str
    # Highest attempt so far.
    attempt: types.Count
    # Number of failed attempts.
    failures: types.Count
    done: bool
    # Instance on which the attempt may be running; empty for none.
    node: str
    # Incarnation of the runner there.
    life: str
    # Checkpoint to resume from; empty for none.
    saved: str


@record('snapshot_begun')
@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotBegun:
    """Record that all jobs are restated from here on.

    The claim of the owner follows in the same batch.
    """

    # Number of the snapshot in this ownership.
    number: types.Count


@record('snapshot_ended')
@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotEnded:
    """Record that all jobs have been restated since the begin."""

    # Number of the snapshot in this ownership.
    number: types.Count


@record('restated')
@dataclasses.dataclass(frozen=True, slots=True)
class Restated:
    """Record the state of a job before its records are trimmed.

    A large job is restated in several records. The first one has the payload
    and the steps. Those that follow are parts: they have further tasks and no
    steps, and are ignored where the job is unknown. A record without steps
    that is no part is of an ended job.
    """

    # The job as submitted.
    spec: types.JobSpec
    # Wall-clock time of the acceptance.
    at_ms: types.Count
    cancelled: bool
    failed: bool
    # Tasks that have been started; only those of this part.
    tasks: tuple[TaskRow, ...]
    # Whether it is a part. Earlier builds do not mark parts.
    part: bool = False
    # Whether a runner has begun any task.
    begun: bool = False
    # Number of occurrences of a scheduled job that were made, and first and
    # last number of each stretch of them that has not ended. Those that have
    # ended have no tasks any more.
    occurrences: types.Count = 0
    live: tuple[tuple[types.Count, types.Count], ...] = ()


Record = (
    Claim
    | Renewed
    | Accepted
    | Started
    | Ended
    | Cancelled
    | SnapshotBegun
    | SnapshotEnded
    | Restated
)

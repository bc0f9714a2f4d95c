"""Define the data classes of jobs, queues and runners.

They are nested in the messages and records of this package, so the names of
their fields are sent and stored.

Units: seconds as float, milliseconds where a name ends in `_ms`, processors
in thousandths of a core, memory in mebibytes.
"""

import dataclasses
import typing

import annotated_types

from kcr_core import types

Id = types.Id
Count = types.Count
Int = types.Int
Number = types.Number
# Text with which the tasks of a job are started.
Payload = typing.Annotated[str, annotated_types.MaxLen(64 * 1024)]
# Longest base URL; the token of a kept cancel has room for it.
MAX_BASE_URL_CHARS = 2048
# Host and path of a request without the id of its job, as in
# config.make_base_url; empty if it is not known.
BaseUrl = typing.Annotated[str, annotated_types.MaxLen(MAX_BASE_URL_CHARS)]


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """Store the properties that a queue gives its jobs."""

    name: Id
    # Service whose runners run its tasks.
    service: Id
    # Priority; 0 goes first.
    priority: Count = 0
    # Number of failed attempts of a task after which its job has failed.
    max_attempts: Count = 1
    # Target time of a job, as a multiple of its longest chain of steps.
    slack_factor: Number = 2.0
    # Constant part that is added to the target time.
    target_ms: Number = 1000.0
    # Validity of a ticket for a step; 0 where none is required.
    ticket_ms: Number = 0.0
    # Time that the adviser needs for a request, and in addition for each
    # runner that the request names.
    advice_ms: Number = 0.0
    advice_runner_ms: Number = 0.0
    # Regions in which its tasks may start; empty for all. The configuration in
    # force goes before this list.
    allowed_regions: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Store what one task reserves, or what a runner offers."""

    # Thousandths of a core.
    cpu: Count = 0
    # Mebibytes.
    mem_mb: Count = 0
    # Whole accelerators.
    gpu: Count = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """Describe the tasks of one step of a job."""

    # Number of tasks.
    count: Count
    # Reservation of each task.
    demand: Demand = Demand()
    # Caller's estimate of the run time of a task.
    estimate_ms: Number = 0.0
    # Indexes of the steps that must be done first.
    after: tuple[Count, ...] = ()
    # Whether a task can resume from a checkpoint.
    checkpointing: bool = False
    # Whether the tasks run only together.
    gang: bool = False
    # Whether the tasks are slower when they run in different racks.
    rack_local: bool = False
    # Label that the runner must have; empty for none.
    label: str = ''
    # Rack in which the data is; empty for none.
    near_rack: str = ''
    # Maximum number of tasks of the step on one runner; 0 for no bound.
    max_per_runner: Count = 0
    # Whether copies of a task may run in parallel.
    speculative: bool = False
    # Whether the tasks run until the job is cancelled.
    lasts: bool = False
    # Image that the tasks run; its tasks have the same effects on others.
    image: str = ''
    # Tail latency that a serving task must stay below; 0 for none.
    target_ms: Number = 0.0
    # Whether the tasks are fillers: they use only processors that other
    # tasks leave unused.
    fills: bool = False
    # Maximum number of tasks that the system may make unavailable at the
    # same time; -1 for no bound.
    max_unavailable: Int = -1


@dataclasses.dataclass(frozen=True, slots=True)
class JobSpec:
    """Store a job as its caller submitted it."""

    # Id that the caller chose.
    job_id: Id
    # Queue at the time of acceptance.
    queue: Queue
    payload: Payload
    steps: tuple[Step, ...]
    # Wall-clock time of the first occurrence.
    start_at_ms: Number = 0.0
    # Number of occurrences; 0 for a job that runs once, immediately.
    repeat: Count = 0
    # Time between occurrences.
    interval_ms: Number = 0.0
    # Base URL of its submission; empty in jobs of earlier builds.
    base_url: BaseUrl = ''

    def matches_base_url(self, base_url: str) -> bool:
        """Return whether a call with a base URL may be for this job."""
        return not base_url or self.base_url in ('', base_url)


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerInfo:
    """Store the self-description of a runner."""

    runner_id: str = ''
    # Start of this incarnation of the runner, Unix time in milliseconds.
    born_ms: Int = 0
    # Service that it belongs to.
    service: str = ''
    # Availability zone.
    zone: str = ''
    # Total capacity of the runner.
    capacity: Demand = Demand()
    # Kind and rack, in this order.
    labels: tuple[str, ...] = ()
    # Whether it is shutting down and takes no new tasks.
    draining: bool = False
    # Least time that is left until it stops, while it is draining.
    remaining_ms: Int = 0
    # How much longer it is slow after its start; -1 if it does not report it.
    cold_remaining_ms: Int = -1

    @property
    def incarnation(self) -> str:
        """Return the name of this incarnation of the runner."""
        return f'{self.runner_id}@{self.born_ms}'

    @property
    def rack(self) -> str:
        """Return the label of its rack; empty if it reports none."""
        return self.labels[1] if len(self.labels) > 1 else ''


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedRun:
    """Report one run on a runner."""

    # Name of the task.
    task: str
    # Number of the attempt.
    attempt: Count
    # Newest checkpoint; empty for none.
    saved: str = ''
    # Share of its work that is done, in percent; a serving task reports 100
    # while it is at work.
    percent: Int = 0
    # Tail latency in ms of a serving task; else the processors in use.
    usage: Int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedEnd:
    """Report one run that has ended."""

    # Number of the end in this incarnation of the runner.
    number: Count
    # Name of the task.
    task: str
    # Number of the attempt.
    attempt: Count
    # Outcome: done, failed, stopped, lapsed (the lease expired), broken or
    # alone (members of its gang ended or did not start).
    how: str
    # Newest checkpoint; empty for none.
    saved: str = ''

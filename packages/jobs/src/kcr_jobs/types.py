"""Define the data classes of jobs, queues and runners.

Units: seconds as float, milliseconds where a name ends in `_ms`, processors
in thousandths of a core, memory in mebibytes.
"""

import dataclasses
import typing

import annotated_types

from kcr_core import types

Id = types.Id
Count = types.Count
# Text of a job that its tasks are started with.
Payload = typing.Annotated[str, annotated_types.MaxLen(64 * 1024)]


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """Hold what a queue lays down for its jobs."""

    # Name of the queue.
    name: Id
    # Service whose runners run its tasks.
    service: Id
    # Rank of the queue; 0 goes first.
    priority: Count = 0
    # Failed runs of a task after which its job has failed.
    max_attempts: Count = 1
    # Objective of a job, in multiples of its longest chain of work.
    slack_factor: float = 2.0
    # Part of the objective that does not depend on the work.
    target_ms: float = 1000.0
    # Time that a ticket for a step holds; 0 where none is needed.
    ticket_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Hold what one task reserves."""

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
    # What each task reserves.
    demand: Demand = Demand()
    # Caller's estimate of the run time of a task.
    estimate_ms: float = 0.0
    # Numbers of the steps that must be done first.
    after: tuple[Count, ...] = ()
    # Whether a task can resume from a checkpoint.
    checkpointing: bool = False
    # Whether the tasks run only together.
    gang: bool = False
    # Whether the tasks are slower when spread over racks.
    rack_local: bool = False
    # Label that the runner must have; empty for none.
    label: str = ''
    # Rack that holds the data; empty for none.
    near_rack: str = ''
    # Most tasks of the step on one runner; 0 for no bound.
    max_per_runner: Count = 0
    # Whether copies may run in parallel.
    speculative: bool = False
    # Whether the tasks run until the job is cancelled.
    lasts: bool = False
    # What the tasks run; tasks of one image behave alike.
    image: str = ''
    # Tail latency that a serving task must stay below; 0 for none.
    target_ms: float = 0.0
    # Whether the tasks use only capacity that others leave unused.
    fills: bool = False
    # Tasks that the system may make unavailable at the same time; -1 for
    # no bound.
    max_unavailable: int = -1


@dataclasses.dataclass(frozen=True, slots=True)
class JobSpec:
    """Hold a job as its caller submitted it."""

    # Id that the caller chose.
    job_id: Id
    # Queue at the time of acceptance.
    queue: Queue
    # Text that every task is started with.
    payload: Payload
    # Steps of the job.
    steps: tuple[Step, ...]
    # Wall-clock time of the first occurrence.
    start_at_ms: float = 0.0
    # Number of occurrences; 0 for a job that runs once, at once.
    repeat: Count = 0
    # Time between occurrences.
    interval_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerInfo:
    """Hold what a runner says of itself."""

    # Id of the runner.
    runner_id: str = ''
    # Start of this life of the runner, Unix time in milliseconds.
    born_ms: int = 0
    # Service that it belongs to.
    service: str = ''
    # Availability zone.
    zone: str = ''
    # What it offers.
    capacity: Demand = Demand()
    # Kind and rack.
    labels: tuple[str, ...] = ()
    # Whether it is leaving.
    draining: bool = False
    # Least time that is left while it is draining.
    remaining_ms: int = 0

    @property
    def incarnation(self) -> str:
        """Return the name of this life of the runner."""
        return f'{self.runner_id}@{self.born_ms}'


@dataclasses.dataclass(frozen=True, slots=True)
class RunRow:
    """Report one run that is on a runner."""

    # Name of the task.
    task: str
    # Attempt that runs.
    attempt: int
    # Newest checkpoint; empty for none.
    saved: str = ''
    # Share of its work that is done, or whether it is at work, in percent.
    percent: int = 0
    # Tail latency in ms of a serving task; else the processors in use.
    usage: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class EndRow:
    """Report one run that has ended."""

    # Number of the end in this life of the runner.
    number: int
    # Name of the task.
    task: str
    # Attempt that has ended.
    attempt: int
    # How it ended: done, failed, stopped, lapsed, broken or alone.
    how: str
    # Newest checkpoint; empty for none.
    saved: str = ''

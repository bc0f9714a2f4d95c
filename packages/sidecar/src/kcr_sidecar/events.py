"""Define messages between the tasks of a sidecar.

Messages that a single task sends or receives are defined in its module.
"""

import dataclasses

from kcr_core import types


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsInForce:
    """Deliver the settings of the document in force."""

    # Revision of the document.
    revision: int
    # Settings of that revision.
    settings: types.ControlSettings


@dataclasses.dataclass(frozen=True, slots=True)
class AuthorityChanged:
    """Report whether the sidecar may run tasks."""

    # Whether tasks may run.
    authorized: bool
    # Whether the incarnation is fenced, which is permanent.
    fenced: bool
    # Monotonic time at which the authority expires unless it is renewed.
    until: float = float('-inf')


@dataclasses.dataclass(frozen=True, slots=True)
class BeginDrain:
    """Request a task to refuse new work and to finish or stop the rest."""


@dataclasses.dataclass(frozen=True, slots=True)
class PartDrained:
    """Report that a task has no work left after `BeginDrain`."""

    # Address of the task.
    part: str


@dataclasses.dataclass(frozen=True, slots=True)
class RunningWork:
    """Describe one running task to the interference task."""

    # Key of the task.
    task: str
    # Kind of work, for which the effect on the service is learned.
    kind: str
    # Reserved resources.
    demand: types.Demand
    # Share of its resources that it may use now.
    share: float = 1.0
    # Whether it precedes all batch work.
    urgent: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class TasksRunning:
    """Report the running tasks to the interference task on each change."""

    # Tasks that the worker may run.
    tasks: tuple[RunningWork, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceMeasured:
    """Report the latency of the service, about once per heartbeat."""

    # Monotonic time at which the measured window began.
    since: float
    # Tail latency (p99) of the calls that ended in the window, in ms; 0 when
    # the service is idle.
    p99_ms: float
    # Share of the slots in use.
    load: float


@dataclasses.dataclass(frozen=True, slots=True)
class Throttle:
    """Request the task control to limit a task to a share of its resources."""

    # Key of the task.
    task: str
    # Share of the resources; 1 ends the throttling.
    share: float


@dataclasses.dataclass(frozen=True, slots=True)
class Evict:
    """Request the task control to checkpoint and stop a task."""

    # Key of the task.
    task: str
    # Reason for the log and the caller.
    reason: str
    # Whether to stop it without a checkpoint.
    stop: bool = False

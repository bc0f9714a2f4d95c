"""Define the messages between the parts of a sidecar."""

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
    """Tell whether the sidecar may run tasks."""

    # Whether tasks may run.
    authorized: bool
    # Whether the incarnation is fenced for good.
    fenced: bool
    # Monotonic time at which the authority ends without a new vouch.
    until: float = float('-inf')


@dataclasses.dataclass(frozen=True, slots=True)
class BeginDrain:
    """Ask a part to refuse new work and to end what it has."""


@dataclasses.dataclass(frozen=True, slots=True)
class PartDrained:
    """Report that a part has nothing left to do."""

    # Address of the part.
    part: str


@dataclasses.dataclass(frozen=True, slots=True)
class RunningWork:
    """Describe one running task to the interference task."""

    # Key of the task.
    task: str
    # Kind of work.
    kind: str
    # Resources that are reserved for it.
    demand: types.Demand
    # Share of its resources that it may use now.
    share: float = 1.0
    # Whether it goes before all batch work.
    urgent: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class TasksRunning:
    """Tell the interference task what runs, after every change."""

    # Tasks that the worker runs.
    tasks: tuple[RunningWork, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceMeasured:
    """Report the service beside the tasks, about once per heartbeat."""

    # Monotonic time at which the measured window began.
    since: float
    # Tail latency (p99) of the calls that ended in the window, in ms; 0 when
    # the service is idle.
    p99_ms: float
    # Share of the slots in use.
    load: float


@dataclasses.dataclass(frozen=True, slots=True)
class Throttle:
    """Ask the owner of the tasks to give a task a share of its resources."""

    # Key of the task.
    task: str
    # The share; 1 ends the throttling.
    share: float


@dataclasses.dataclass(frozen=True, slots=True)
class Evict:
    """Ask the owner of the tasks to checkpoint and stop a task."""

    # Key of the task.
    task: str
    # Why.
    reason: str
    # Whether to stop it without a checkpoint.
    stop: bool = False

"""Define the actions of a home and the reports of its worker.

`task_home` and `task_control` decide the actions; the sidecar carries them
out and passes the reports back.
"""

import dataclasses
import typing

from kcr_core import message_base
from kcr_core import resources
from kcr_core import types

WorkerState = typing.Literal['running', 'done', 'failed', 'stopped']


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerTask:
    """Describe one task that a worker runs, or lists after its end."""

    # Key of the task.
    task: str
    # Epoch that was started.
    epoch: types.Count
    # Whether it runs, or how it ended; `stopped` includes an expired lease.
    state: WorkerState
    # Specification that the worker received.
    spec: types.TaskSpec
    # Reservation that the worker last received.
    reserved: types.Demand = types.Demand()
    # Last checkpoint; empty for none.
    checkpoint: str = ''
    # Result or failure text.
    detail: str = ''
    # Share of full speed at which it runs.
    share: types.Quantity = 1.0

    @property
    def holder(self) -> resources.Holder:
        """Return the key and the epoch."""
        return (self.task, self.epoch)


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """Carry the list of tasks of the worker."""

    # Sequence number of the request, to compare with later changes.
    sequence: int
    # Epoch of the controller lease at the time of the request.
    controller_epoch: int
    # Running tasks, and ended ones that no forget command has removed.
    tasks: tuple[WorkerTask, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Carry one delayed measurement of a running task."""

    # Key and epoch of the measured task.
    holder: resources.Holder
    # Measured use.
    used: types.Demand


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Command the worker to start an epoch."""

    holder: resources.Holder
    spec: types.TaskSpec
    # Reservation of the task.
    reserved: types.Demand
    # Checkpoint to resume from; empty for none.
    checkpoint: str
    # Controller epoch to send, even if there is a newer one by now: a list
    # under a newer epoch proves that this command can have no effect.
    controller_epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class Renew:
    """Command the worker to renew the lease of a running epoch."""

    holder: resources.Holder
    # Reservation to send with the renewal.
    reserved: types.Demand


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """Command the worker to checkpoint and stop an epoch."""

    holder: resources.Holder


@dataclasses.dataclass(frozen=True, slots=True)
class Throttle:
    """Command the worker to run an epoch at a share of full speed."""

    holder: resources.Holder
    # Share of full speed; 1 ends the throttling.
    share: float


@dataclasses.dataclass(frozen=True, slots=True)
class Forget:
    """Command the worker to remove an ended epoch from its list."""

    holder: resources.Holder


@dataclasses.dataclass(frozen=True, slots=True)
class RequestListing:
    """Request the list of tasks of the worker."""

    # Sequence number that the listing repeats.
    sequence: int
    # Whether to advance the controller epoch first, so that the worker
    # refuses commands that are still in flight.
    barrier: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Send a message to the entries."""

    msg: message_base.Message


Action = Start | Renew | Stop | Throttle | Forget | RequestListing | Report

StartResult = typing.Literal['started', 'refused', 'unknown']

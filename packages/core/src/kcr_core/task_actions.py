"""Define what the task control asks for and what it is told by the worker."""

import dataclasses
import typing

from kcr_core import message_base
from kcr_core import resources
from kcr_core import types

WorkerState = typing.Literal['running', 'done', 'failed', 'stopped']


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerTask:
    """Describe one task that a worker runs or keeps after its end."""

    # Key of the task.
    task: str
    # Epoch under which it was started.
    epoch: types.Count
    # Whether it runs, or how it ended; `stopped` includes a lapsed lease.
    state: WorkerState
    # The task as it was given to the worker.
    spec: types.TaskSpec
    # Reservation that the worker was told last.
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
    """Carry the worker's list of tasks."""

    # Mark of the question, to compare with changes since.
    sequence: int
    # Epoch of the controller lease under which it was asked.
    controller_epoch: int
    # Running tasks and ended ones that are not forgotten.
    tasks: tuple[WorkerTask, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Carry one lagging measurement of a running task."""

    # Epoch of a task that was measured.
    holder: resources.Holder
    # What it used.
    used: types.Demand


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Ask the worker to start an epoch."""

    # Epoch to start.
    holder: resources.Holder
    # The task.
    spec: types.TaskSpec
    # What is reserved for it.
    reserved: types.Demand
    # Checkpoint to resume from; empty for none.
    checkpoint: str
    # Controller epoch to send, even if a newer one is held by now: a list
    # under a newer epoch proves that this command can have no effect.
    controller_epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class Renew:
    """Ask the worker to renew the lease of a running epoch."""

    # Epoch to renew.
    holder: resources.Holder
    # Reservation to tell the worker.
    reserved: types.Demand


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """Ask the worker to checkpoint and stop an epoch."""

    # Epoch to stop.
    holder: resources.Holder


@dataclasses.dataclass(frozen=True, slots=True)
class Throttle:
    """Ask the worker to run an epoch at a share of full speed."""

    # Epoch to slow down or to speed up.
    holder: resources.Holder
    # The share; 1 ends the throttling.
    share: float


@dataclasses.dataclass(frozen=True, slots=True)
class Forget:
    """Ask the worker to forget an ended epoch."""

    # Epoch to forget.
    holder: resources.Holder


@dataclasses.dataclass(frozen=True, slots=True)
class RequestListing:
    """Ask the worker for its list of tasks."""

    # Mark that the listing repeats.
    sequence: int
    # Whether to advance the controller epoch first, after which commands
    # that are still on their way are refused.
    barrier: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Ask for a message to be sent to the entries."""

    # The message.
    msg: message_base.Message


Action = Start | Renew | Stop | Throttle | Forget | RequestListing | Report

StartResult = typing.Literal['started', 'refused', 'unknown']

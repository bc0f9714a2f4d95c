"""Define the messages between the tasks of a scheduler process."""

import dataclasses
import typing

from kcr_jobs import config
from kcr_jobs import evacuation


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigInForce:
    """Inform a task of the configuration in force."""

    config: config.Config
    # Its text, for passing on to peers.
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigReceived:
    """Pass the configuration of a peer to the watch task."""

    # Text of the configuration.
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigQuery:
    """Query the watch task for what is in force."""

    # Address of the task to reply to.
    sender: str


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationInForce:
    """Inform a task of the evacuated zones."""

    view: evacuation.View
    # Where the newest change was read: store or peer.
    source: str = 'store'


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationReceived:
    """Pass the evacuated zones that a peer knows to the watch task."""

    view: evacuation.View


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationQuery:
    """Query the mesh task for the evacuated zones that it knows."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreAnswered:
    """Report that the store has answered."""


@dataclasses.dataclass(frozen=True, slots=True)
class SchedulersListed:
    """Report the schedulers that the store lists."""

    # Addresses of the schedulers.
    addresses: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Campaign:
    """Request the owner task to claim the jobs."""

    # Highest epoch whose owner counts as failed; a newer claim is respected.
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimProgress:
    """Report that the owner task reads the log for a claim."""

    # Number of records that it has read.
    records_read: int


@dataclasses.dataclass(frozen=True, slots=True)
class Follow:
    """Request the owner task to read the log while a peer owns the jobs."""

    # Whether to read it.
    follows: bool


@dataclasses.dataclass(frozen=True, slots=True)
class OwnershipGained:
    """Report that this process owns the jobs."""

    # Epoch of the ownership.
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class NotOwner:
    """Report that this process does not own the jobs, and which does."""

    # Epoch of the newest claim.
    epoch: int
    # Address of the owner; empty for none.
    owner: str
    # Whether the owner was an earlier incarnation of this process.
    was_own: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimQuery:
    """Query the owner task for the claim that was published last."""


@dataclasses.dataclass(frozen=True, slots=True)
class PublishedClaim:
    """Report the claim that was published last."""

    epoch: int
    # Address of the owner.
    owner: str


@dataclasses.dataclass(frozen=True, slots=True)
class RouteUnanswered:
    """Report that a call to the owner got no reply, and no later one did."""

    # Address of the session task that leads to the owner.
    route: str


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerStalled:
    """Report that the owner can't write and looks for a successor."""

    # Epoch of the owner.
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class StepDown:
    """Request the owner task to stop because a peer will claim."""


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerRouteChanged:
    """Report where calls for the owner go."""

    # Epoch of the owner.
    epoch: int
    # Address of the session task that leads to the owner, or of the owner
    # task if it is local; empty for none.
    route: str


@dataclasses.dataclass(frozen=True, slots=True)
class KeepCancel:
    """Carry out a cancel that the front end has refused for now."""

    job_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class CancelsKept:
    """Report the number of cancels that the owner has still to confirm."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class LocalCall:
    """Pass a call to the owner task of the same process."""

    # The call, a messages.JobCall.
    msg: typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class ReadyChanged:
    """Report to the front end whether jobs can be accepted."""

    # Whether an owner can be reached.
    ready: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Stopping:
    """Report that the process is about to end."""


class Drain:
    """Request the front end to finish its requests and end the process."""

"""Define the messages between the tasks of a scheduler process."""

import dataclasses
import typing

from kcr_jobs import config


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigInForce:
    """Give a task the newest configuration."""

    # The configuration.
    config: config.Config
    # Its text, to pass on.
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigReceived:
    """Tell the watch of a configuration that a peer has."""

    # Its text.
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigQuery:
    """Ask the watch to send the configuration to a restarted task."""

    # Address of the task.
    sender: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoreAnswered:
    """Tell that the store has answered."""


@dataclasses.dataclass(frozen=True, slots=True)
class SchedulersListed:
    """Tell of entries that the store lists."""

    # Their addresses.
    addresses: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Campaign:
    """Ask the owner task to claim the jobs."""

    # Highest epoch whose owner is known to be gone.
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class OwnershipGained:
    """Tell that this process owns the jobs."""

    # Its epoch.
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class NotOwner:
    """Tell that this process does not own the jobs, and who does."""

    # Epoch of the newest claim.
    epoch: int
    # Address of its owner; empty for none.
    owner: str
    # Whether the owner was an earlier life of this process.
    was_mine: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerStalled:
    """Tell that the owner can't write, so that another should own."""

    # Epoch of the owner.
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class StepDown:
    """Ask the owner to stop because a peer will claim."""


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerRouteChanged:
    """Tell where calls for the owner go."""

    # Epoch of the owner.
    epoch: int
    # Session task that leads to it, the owner task if it is local, or empty.
    route: str


@dataclasses.dataclass(frozen=True, slots=True)
class LocalCall:
    """Pass a call to the owner in the same process."""

    # The call.
    msg: typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class ReadyChanged:
    """Tell the front end whether jobs can be taken."""

    # Whether an owner can be reached.
    ready: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Stopping:
    """Tell that the process is about to end."""


class Drain:
    """Ask the front end to finish what it has and end the process."""

"""Define the messages between the parts of an entry."""

from collections import abc
import dataclasses
import typing

from kcr_core import membership
from kcr_core import messages
from kcr_core import outcomes
from kcr_core import records
from kcr_core import types


@dataclasses.dataclass(frozen=True, slots=True)
class Append:
    """Ask the appender to make items durable in a stream."""

    # Token that the answer repeats.
    token: str
    # Address of the asking task.
    sender: str
    # Stream of the log.
    stream: str
    # Records of `kcr_core.records`, applied in this order.
    items: tuple[typing.Any, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AppendEnded:
    """Report what came of an append."""

    # Token of the request.
    token: str
    # What is known of the record.
    outcome: outcomes.AppendOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class LogItem:
    """Carry one item that was read from the log."""

    # Offset of its record.
    offset: int
    # Incarnation of the writer.
    writer: str
    # Record of `kcr_core.records`.
    item: typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class LogRead:
    """Deliver the items of one read, first occurrences only, in order."""

    # Stream of the log.
    stream: str
    # Items that were read; empty when the end was reached.
    items: tuple[LogItem, ...]
    # Whether the read reached the end of the stream.
    caught_up: bool
    # Monotonic time at which the read was sent to the log.
    requested_at: float
    # Offset after which the read began.
    after: int = 0
    # Offset of the last record that is covered, with or without items.
    position: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class LogGap:
    """Report that records were trimmed before they were read."""

    # Stream of the log.
    stream: str
    # First offset that the log still holds.
    first: int


@dataclasses.dataclass(frozen=True, slots=True)
class LogReplay:
    """Ask a reader to deliver its stream from the start.

    A subscriber sends it when it starts, because a task that was restarted
    has lost what it folded. Other subscribers get the items again as well.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class RecordRead:
    """Tell the appender that a record of this process was read."""

    # Stream of the log.
    stream: str
    # Id of the record.
    record_id: str
    # Offset of its first occurrence.
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsInForce:
    """Deliver the settings of the document in force."""

    # Revision of the document.
    revision: int
    # Settings of that revision.
    settings: types.ControlSettings
    # Names and shares that the entry needs: quota of processors by team.
    quotas: tuple[tuple[str, types.Demand], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointChanged:
    """Report what an entry knows of an endpoint after a change."""

    # Session that leads to its sidecar.
    session: str
    # Where the instance is.
    place: types.Place
    # Incarnation of the sidecar.
    incarnation: str
    # Full state of the connection; none before it arrives.
    state: messages.EndpointState | None
    # Resources that are not reserved; none before the first heartbeat.
    free: types.Demand | None
    # Phase of the endpoint.
    phase: membership.Phase

    @property
    def name(self) -> tuple[str, str]:
        """Return the instance and the incarnation."""
        return self.place.instance, self.incarnation


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointRemoved:
    """Report that an instance was gone for so long that it is dropped."""

    # Name of the instance.
    instance: str


@dataclasses.dataclass(frozen=True, slots=True)
class Stopping:
    """Tell that this entry is stopping and must fence nothing more."""


@dataclasses.dataclass(frozen=True, slots=True)
class PeersChanged:
    """Report the other entries of the region that are connected."""

    # Incarnation and session of each.
    sessions: tuple[tuple[str, str], ...]
    # Addresses of the entries that are known, with the own one.
    addresses: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerView:
    """Report how old the view of the task stream is and whom it fences."""

    # Monotonic time at which the last caught-up read was sent.
    requested_at: float
    # Fenced sidecars by instance and incarnation.
    fenced: frozenset[tuple[str, str]]
    # Instances of the fenced sidecars.
    instances: frozenset[str]
    # Other incarnations of fenced instances that run none of the tasks of a
    # fenced one; others of these instances get no vouch.
    cleared: frozenset[tuple[str, str]]


@dataclasses.dataclass(frozen=True, slots=True)
class HomesChanged:
    """Report the incarnations that live tasks name as their homes."""

    # Homes by instance and incarnation.
    homes: frozenset[tuple[str, str]]
    # Waits of the fenced sidecars by instance and incarnation, in seconds.
    waits: abc.Mapping[tuple[str, str], float]
    # Whether the view of the log is fresh.
    fresh: bool


@dataclasses.dataclass(frozen=True, slots=True)
class FenceDue:
    """Ask the owner of the ledger to append a fence."""

    # The record.
    item: records.Fenced


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionReported:
    """Report the revision that a connected process follows."""

    # Session that leads to it.
    session: str
    # Revision of its document.
    revision: int

"""Define the messages between the tasks of an entry.

They stay within the process: the log, the document in force, the fleet and
the work of an entry report to each other with them. `addresses` names the
tasks that send and receive them.
"""

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
    """Request that the appender writes items durably to a stream."""

    # Token that the reply repeats.
    token: str
    # Address of the requesting task.
    sender: str
    # Stream of the log.
    stream: str
    # Records of `kcr_core.records`, applied in this order.
    items: tuple[typing.Any, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AppendEnded:
    """Report the outcome of an append."""

    # Token of the `Append`.
    token: str
    # Whether the record was appended, was not, or may have been.
    outcome: outcomes.AppendOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class LogItem:
    """Represent one item that was read from the log."""

    # Offset of the record that contains it.
    offset: int
    # Incarnation of the process that wrote the record.
    writer: str
    # Record of `kcr_core.records`.
    item: typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class LogRead:
    """Deliver the items of one read, in order and without duplicates."""

    # Stream of the log.
    stream: str
    # Items of the first occurrence of each record; may be empty.
    items: tuple[LogItem, ...]
    # Whether the read reached the end of the stream.
    caught_up: bool
    # Monotonic time at which the read was requested from the log.
    requested_at: float
    # Offset after which the read began.
    after: int = 0
    # Offset of the last record covered by the read, with or without items.
    position: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class LogGap:
    """Report that records were trimmed before they were read."""

    # Stream of the log.
    stream: str
    # First offset that is still in the log.
    first: int


@dataclasses.dataclass(frozen=True, slots=True)
class LogReplay:
    """Request that a reader delivers its stream from the start.

    A subscriber sends it when it starts, because a restarted task has lost
    the state that it built from the stream. The other subscribers of the
    reader receive the items again as well.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class RecordRead:
    """Report to the appender that a record of this process was read."""

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
    # Quotas by team.
    quotas: tuple[tuple[str, types.Demand], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointChanged:
    """Report the state of an endpoint after a change."""

    # Address of the session with its sidecar.
    session: str
    # Location of the instance.
    place: types.Place
    # Incarnation of the sidecar.
    incarnation: str
    # Full state that the sidecar sent on this connection; none before that.
    state: messages.EndpointState | None
    # Unreserved resources; none before the first heartbeat.
    free: types.Demand | None
    # Phase of the endpoint.
    phase: membership.Phase

    @property
    def name(self) -> tuple[str, str]:
        """Return the instance and the incarnation of the sidecar."""
        return self.place.instance, self.incarnation


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointRemoved:
    """Report that an instance was removed after a long disconnection."""

    # Name of the instance.
    instance: str


@dataclasses.dataclass(frozen=True, slots=True)
class Stopping:
    """Report that this entry is stopping and must not fence any more."""


@dataclasses.dataclass(frozen=True, slots=True)
class PeersChanged:
    """Report the connected entries of the region, except this one."""

    # Incarnation and session of each connected entry.
    sessions: tuple[tuple[str, str], ...]
    # Addresses of all known entries, including this one.
    addresses: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerView:
    """Report the age of the view of the task stream and what it fences."""

    # Monotonic time at which the last read that reached the end of the
    # stream was requested.
    requested_at: float
    # Fenced sidecars by instance and incarnation.
    fenced: frozenset[tuple[str, str]]
    # Instances of the fenced sidecars.
    instances: frozenset[str]
    # Other incarnations of these instances that run no task of a fenced one.
    # The authority of any further incarnation of them is not renewed.
    cleared: frozenset[tuple[str, str]]


@dataclasses.dataclass(frozen=True, slots=True)
class HomesChanged:
    """Report the incarnations that are homes of live tasks."""

    # Homes by instance and incarnation.
    homes: frozenset[tuple[str, str]]
    # Time between fencing a sidecar and moving its tasks, in seconds, by
    # instance and incarnation of the fenced sidecars.
    waits: abc.Mapping[tuple[str, str], float]
    # Whether the view of the log is recent enough for decisions.
    fresh: bool


@dataclasses.dataclass(frozen=True, slots=True)
class FenceDue:
    """Request that the owner of the ledger appends a fence."""

    # Record to append.
    item: records.Fenced


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionReported:
    """Report the revision of the document that a process uses."""

    # Address of the session with the process.
    session: str
    # Revision of its document.
    revision: int

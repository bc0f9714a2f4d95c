"""Define what the processes ask of the platform's store.

The store is a set of topics with partitions that are appended to under a
condition, and of keyed topics that hold the newest value of each key. The
outcome keeps apart what surely had no effect from what may have had one.
"""

from collections import abc
import dataclasses
import typing

from twisted.internet import defer

from kcr_core import registry


@dataclasses.dataclass(frozen=True, slots=True)
class Appended:
    """State that the records are durable."""

    # Offset after the last record.
    end: int


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """State that the partition ends elsewhere; nothing was appended."""

    # Offset at which it ends.
    end: int


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """State that nothing was appended or read."""

    # Why.
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class NoAnswer:
    """State that the call may have had its effect."""

    # Why there is no answer.
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """Hold the records of one read."""

    # Offset after the last record of the partition.
    end: int
    # Offset of the first record of the page.
    start: int
    # The records.
    records: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Trimmed:
    """State that the records asked for were deleted."""

    # First offset that is still held.
    first: int


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """Hold the newest value of a key."""

    # Key.
    key: str
    # Value.
    value: bytes
    # Offset of its record.
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Items:
    """Hold the newest values of a keyed topic."""

    # The values.
    items: tuple[Item, ...]
    # Offset after the last record of the topic.
    end: int


AppendOutcome = Appended | Conflict | Rejected | NoAnswer
ReadOutcome = Page | Trimmed | Rejected | NoAnswer
ItemsOutcome = Items | Rejected | NoAnswer


class Store(typing.Protocol):
    """Describe a client of the store; each call has an outcome."""

    def append(
        self,
        topic: str,
        items: abc.Sequence[bytes],
        at: int,
        timeout_s: float,
    ) -> defer.Deferred[AppendOutcome]:
        """Append all records, if the partition still ends at `at`."""

    def read(
        self, topic: str, start: int, wait_s: float
    ) -> defer.Deferred[ReadOutcome]:
        """Read from an offset on; wait for a record if there is none."""

    def put(
        self, topic: str, key: str, value: bytes
    ) -> defer.Deferred[AppendOutcome]:
        """Set the newest value of a key."""

    def newest(self, topic: str) -> defer.Deferred[ItemsOutcome]:
        """Read the newest value of every key."""

    def read_keyed(
        self, topic: str, start: int, wait_s: float
    ) -> defer.Deferred[ItemsOutcome | Trimmed]:
        """Read keys and values from an offset on."""


# Makes the client of a kind of store from the context of a process.
STORES: registry.Registry[typing.Any] = registry.Registry('store')

"""Define the client interface of the platform's store.

The store consists of topics with partitions, to which records are appended if
a partition ends at a given offset, and of keyed topics, which keep the newest
value of each key. Outcomes distinguish a call that certainly had no effect
from one that may have had one. Schedulers keep the job log and their addresses
here and read their configuration; agents read the addresses of schedulers. The
platform package registers the client.
"""

from collections import abc
import dataclasses
import typing

from twisted.internet import defer

from kcr_core import registry


@dataclasses.dataclass(frozen=True, slots=True)
class Appended:
    """Represent an append whose records are durable."""

    # Offset after the last record.
    end: int


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """Report that the partition ends at another offset.

    Nothing was appended.
    """

    # Offset at which the partition ends.
    end: int


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """Represent a call that appended and read nothing."""

    reason: str
    # Whether the store refuses the call itself, so that it is useless to
    # repeat it.
    invalid: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class NoAnswer:
    """Represent a call that may have had its effect."""

    # Why there is no valid response.
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """Represent the records that one read returned."""

    # Offset after the last record of the partition.
    end: int
    # Offset of the first record of the page.
    start: int
    records: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Trimmed:
    """Report that the requested records were deleted."""

    # Lowest offset that is still stored.
    first: int


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """Represent a key of a keyed topic and its newest value."""

    key: str
    value: bytes
    # Offset of the record with this value.
    offset: int
    # Whether the value can't be decoded; it is empty then.
    malformed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Items:
    """Represent keys and values of a keyed topic."""

    items: tuple[Item, ...]
    # Offset after the last record of the topic.
    end: int


AppendResult = Appended | Conflict | Rejected | NoAnswer
TrimResult = Trimmed | Rejected | NoAnswer
ReadResult = Page | Trimmed | Rejected | NoAnswer
ItemsResult = Items | Rejected | NoAnswer


class Store(typing.Protocol):
    """Define the client of the store; each call fires with an outcome."""

    def append(
        self,
        topic: str,
        items: abc.Sequence[bytes],
        at: int,
        timeout_s: float,
    ) -> defer.Deferred[AppendResult]:
        """Append all records if the partition still ends at offset `at`."""

    def read(
        self, topic: str, start: int, wait_s: float
    ) -> defer.Deferred[ReadResult]:
        """Read from an offset; wait up to `wait_s` if there is no record."""

    def trim(self, topic: str, before: int) -> defer.Deferred[TrimResult]:
        """Delete the records before an offset."""

    def put(
        self, topic: str, key: str, value: bytes
    ) -> defer.Deferred[AppendResult]:
        """Set the newest value of a key."""

    def newest(self, topic: str) -> defer.Deferred[ItemsResult]:
        """Read the newest value of every key."""

    def read_keyed(
        self, topic: str, start: int, wait_s: float
    ) -> defer.Deferred[ItemsResult | Trimmed]:
        """Read the keys and values of records from an offset."""


# Clients by the name of the kind of store; each is created with the context of
# a process.
STORES: registry.Registry[typing.Any] = registry.Registry('store')

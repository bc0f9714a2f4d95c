"""Track the position in one stream and drop repeated records.

A writer repeats a record under its id when an answer is lost, so the first
record with an id counts and a reader drops later ones. The entry's log
readers pass every page of records through a cursor. The module also decides
when a view of the log is fresh.
"""

import collections
from collections import abc
import dataclasses
import typing

# Maximum number of record ids stored: those of 10 s at 500 records/s. A writer
# repeats a record for up to 3 s. A copy that arrives even later is harmless,
# because claims have tokens and tasks have epochs.
MAX_RECORD_IDS = 5_000
# Maximum age of a fresh view of the log, in seconds. It is above twice the
# wait of a read, which is the age just before the next answer.
MAX_FRESH_AGE_S = 5.0


class Record(typing.Protocol):
    """Define the attributes of a record that the cursor reads."""

    @property
    def offset(self) -> int:
        """Return the offset in the stream."""

    @property
    def record_id(self) -> str:
        """Return the id that the writer chose."""


R = typing.TypeVar('R', bound=Record)


@dataclasses.dataclass(slots=True)
class LogCursor:
    """Store the position in a stream and the last record ids before it."""

    # Offset of the last record; 0 before the first.
    position: int = 0
    # Ids of the last records, oldest first.
    record_ids: collections.OrderedDict[str, None] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    # Maximum number of ids stored.
    max_ids: int = MAX_RECORD_IDS
    # Number of records dropped as repeats.
    dropped: int = 0

    def take(self, page: abc.Iterable[R]) -> list[R]:
        """Advance past the records; return those that are no repeats."""
        first_copies = []
        for record in page:
            if record.offset <= self.position:
                continue
            self.position = record.offset
            if record.record_id in self.record_ids:
                self.dropped += 1
                continue
            self.record_ids[record.record_id] = None
            if len(self.record_ids) > self.max_ids:
                self.record_ids.popitem(last=False)
            first_copies.append(record)
        return first_copies

    def skip_to(self, first: int) -> bool:
        """Skip to the first kept offset; return whether records are missed."""
        if first <= self.position + 1:
            return False
        self.position = first - 1
        return True

    def rewind(self) -> None:
        """Reset the cursor to the start of the stream."""
        self.position = 0
        self.record_ids.clear()


def infer_age_ms(requested_at: float | None, now: float) -> int:
    """Return the age of a view in ms; -1 if it is not fresh.

    `requested_at` is the monotonic time at which the last read that reached
    the end of the stream was sent; None if there was no such read.
    """
    if requested_at is None or now - requested_at > MAX_FRESH_AGE_S:
        return -1
    return max(0, int((now - requested_at) * 1000))

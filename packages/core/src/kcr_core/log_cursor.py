"""Fold the records of one stream: first record with an id wins.

Writers repeat a record with its id when an answer is lost, so a reader drops
every record whose id it has seen. It also decides when a view is fresh.
"""

import collections
from collections import abc
import dataclasses
import typing

# Record ids that are remembered: those of 10 s at 500 records a second. A
# writer repeats a record for 3 s; a copy that arrives later still does no
# harm, because claims have names and tasks have epochs.
MAX_RECORD_IDS = 5_000
# Age up to which a view of the log counts as fresh, in seconds. It is above
# twice the wait of a read, which is the age just before the next answer.
FRESH_LIMIT_S = 5.0


class Record(typing.Protocol):
    """Describe what the fold needs of a record."""

    @property
    def offset(self) -> int:
        """Return the offset in the stream."""

    @property
    def record_id(self) -> str:
        """Return the id that the writer chose."""


R = typing.TypeVar('R', bound=Record)


@dataclasses.dataclass(slots=True)
class LogCursor:
    """Hold the position in a stream and the ids seen up to it."""

    # Offset of the last record taken; 0 before the first.
    position: int = 0
    # Ids of the last records, oldest first.
    record_ids: collections.OrderedDict[str, None] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    # Ids that are remembered.
    max_ids: int = MAX_RECORD_IDS
    # Records that were dropped because their id was seen before.
    dropped: int = 0

    def take(self, found: abc.Iterable[R]) -> list[R]:
        """Return the records that count, in order, and move on."""
        fresh = []
        for record in found:
            if record.offset <= self.position:
                continue
            self.position = record.offset
            if record.record_id in self.record_ids:
                self.dropped += 1
                continue
            self.record_ids[record.record_id] = None
            if len(self.record_ids) > self.max_ids:
                self.record_ids.popitem(last=False)
            fresh.append(record)
        return fresh

    def skip_to(self, first: int) -> bool:
        """Go on from the first kept offset; tell whether some are missed."""
        if first <= self.position + 1:
            return False
        self.position = first - 1
        return True

    def rewind(self) -> None:
        """Go back to the start of the stream."""
        self.position = 0
        self.record_ids.clear()


def infer_age_ms(asked_at: float | None, now: float) -> int:
    """Return the age of a view in ms; -1 when it is not fresh.

    `asked_at` is the monotonic time at which the last read that reached the
    end of the stream was sent; none if there was no such read.
    """
    if asked_at is None or now - asked_at > FRESH_LIMIT_S:
        return -1
    return max(0, int((now - asked_at) * 1000))

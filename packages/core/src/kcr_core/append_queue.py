"""Collect items for the log into batches and bound the appends under way."""

import collections
import dataclasses
import typing

# Items of one append; keeps a record of large payloads under a frame.
BATCH_ITEMS = 200
# Appends that wait for their answer at the same time.
UNDER_WAY_LIMIT = 4
# Items that wait to be appended.
WAITING_LIMIT = 5000


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """Hold one item and the task or fence that it changes."""

    # Key of the task, or name of the fence.
    key: str
    # Record of `kcr_core.records`.
    item: typing.Any


class AppendQueue:
    """Hold the items that wait or are being appended, one for each key."""

    def __init__(self) -> None:
        # Items that wait, oldest first; urgent ones are put in front.
        self.waiting: collections.deque[Entry] = collections.deque()
        # Items of each append under way, by token.
        self.under_way: dict[str, tuple[Entry, ...]] = {}
        # Keys of all of them.
        self.busy: set[str] = set()

    def put(self, key: str, item: typing.Any, urgent: bool = False) -> bool:
        """Queue an item; False if its key is busy or the queue is full."""
        if key in self.busy or len(self.waiting) >= WAITING_LIMIT:
            return False
        self.busy.add(key)
        entry = Entry(key, item)
        if urgent:
            self.waiting.appendleft(entry)
        else:
            self.waiting.append(entry)
        return True

    def take(self, token: str) -> tuple[Entry, ...]:
        """Return the next batch; empty if there is none or no room."""
        if len(self.under_way) >= UNDER_WAY_LIMIT or not self.waiting:
            return ()
        count = min(BATCH_ITEMS, len(self.waiting))
        batch = tuple(self.waiting.popleft() for _ in range(count))
        self.under_way[token] = batch
        return batch

    def done(self, token: str) -> tuple[Entry, ...]:
        """Return the batch of an append that has ended."""
        batch = self.under_way.pop(token, ())
        for entry in batch:
            self.busy.discard(entry.key)
        return batch

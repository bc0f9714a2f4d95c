"""Collect items for the log into batches and bound the appends under way."""

import collections
import dataclasses
import typing

# Items of one append.
BATCH_ITEMS = 200
# Characters of one append; with escapes a record stays under 256 KiB.
BATCH_SIZE = 100 * 1024
# Appends that wait for their answer at the same time.
UNDER_WAY_LIMIT = 4
# Items that wait to be appended.
WAITING_LIMIT = 5000


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedItem:
    """Hold one item and the task or fence that it changes."""

    # Key of the task, or name of the fence.
    key: str
    # Record of `kcr_core.records`.
    item: typing.Any


class AppendQueue:
    """Hold the items that wait or are being appended, one for each key."""

    def __init__(self) -> None:
        # Items that wait, oldest first; urgent ones are put in front.
        self.waiting: collections.deque[QueuedItem] = collections.deque()
        # Items of each append under way, by token.
        self.under_way: dict[str, tuple[QueuedItem, ...]] = {}
        # Keys of all of them.
        self.busy_keys: set[str] = set()

    def put(self, key: str, item: typing.Any, urgent: bool = False) -> bool:
        """Queue an item; False if its key is busy or the queue is full."""
        if key in self.busy_keys or len(self.waiting) >= WAITING_LIMIT:
            return False
        self.busy_keys.add(key)
        queued = QueuedItem(key, item)
        if urgent:
            self.waiting.appendleft(queued)
        else:
            self.waiting.append(queued)
        return True

    def take(self, token: str) -> tuple[QueuedItem, ...]:
        """Return the next batch; empty if there is none or no room."""
        if len(self.under_way) >= UNDER_WAY_LIMIT or not self.waiting:
            return ()
        taken: list[QueuedItem] = []
        size = 0
        while self.waiting and len(taken) < BATCH_ITEMS:
            size += infer_size(self.waiting[0].item)
            if taken and size > BATCH_SIZE:
                break
            taken.append(self.waiting.popleft())
        self.under_way[token] = tuple(taken)
        return self.under_way[token]

    def finish(self, token: str) -> tuple[QueuedItem, ...]:
        """Return the batch of an append that has ended."""
        batch = self.under_way.pop(token, ())
        for queued in batch:
            self.busy_keys.discard(queued.key)
        return batch


def infer_size(item: typing.Any) -> int:
    """Return about how many bytes an item has in the log."""
    text = repr(item)
    # A character outside ASCII becomes an escape of 6 bytes in JSON.
    return len(text) * (1 if text.isascii() else 6)

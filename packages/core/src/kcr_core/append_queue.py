"""Group items for the log into batches and limit concurrent appends.

The entry's task owner queues records of tasks and fences here and takes one
batch for each append. A task or fence has at most one record in the queue or
in an append, so that its records are decided one after the other.
"""

import collections
import dataclasses
import typing

# Maximum number of items in one append.
MAX_BATCH_ITEMS = 200
# Maximum size of one append, as estimated by `infer_size`. With JSON escapes
# the record still stays under 256 KiB.
MAX_BATCH_BYTES = 100 * 1024
# Maximum number of appends that wait for an answer at the same time.
MAX_CONCURRENT_APPENDS = 4
# Maximum number of items that wait to be appended.
MAX_WAITING_ITEMS = 5000


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedItem:
    """Represent one item and the key of the task or fence that it changes."""

    # Key of the task, or name of the fence.
    key: str
    # Record of `kcr_core.records`.
    item: typing.Any


class AppendQueue:
    """Store the items that wait or are being appended, one per key."""

    def __init__(self) -> None:
        # Items that wait, oldest first; urgent items are put in front.
        self.waiting: collections.deque[QueuedItem] = collections.deque()
        # Items of each append that has no answer yet, by token.
        self.under_way: dict[str, tuple[QueuedItem, ...]] = {}
        # Keys of all items that wait or are being appended.
        self.busy_keys: set[str] = set()

    def put(self, key: str, item: typing.Any, urgent: bool = False) -> bool:
        """Queue an item; return False if its key is busy or the queue full."""
        if key in self.busy_keys or len(self.waiting) >= MAX_WAITING_ITEMS:
            return False
        self.busy_keys.add(key)
        queued = QueuedItem(key, item)
        if urgent:
            self.waiting.appendleft(queued)
        else:
            self.waiting.append(queued)
        return True

    def take(self, token: str) -> tuple[QueuedItem, ...]:
        """Start an append and return its batch.

        The batch is empty if no item waits or too many appends are under way.
        """
        if len(self.under_way) >= MAX_CONCURRENT_APPENDS or not self.waiting:
            return ()
        taken: list[QueuedItem] = []
        size = 0
        while self.waiting and len(taken) < MAX_BATCH_ITEMS:
            size += infer_size(self.waiting[0].item)
            if taken and size > MAX_BATCH_BYTES:
                break
            taken.append(self.waiting.popleft())
        self.under_way[token] = tuple(taken)
        return self.under_way[token]

    def finish(self, token: str) -> tuple[QueuedItem, ...]:
        """Remove an append that has ended and return its batch."""
        batch = self.under_way.pop(token, ())
        for queued in batch:
            self.busy_keys.discard(queued.key)
        return batch


def infer_size(item: typing.Any) -> int:
    """Return the approximate number of bytes of an item in the log."""
    text = repr(item)
    # JSON escapes a character outside ASCII with 6 bytes.
    return len(text) * (1 if text.isascii() else 6)

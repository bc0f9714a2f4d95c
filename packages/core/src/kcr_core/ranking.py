"""Rank the entries for work that any of them could do.

The rank is computed from a hash of the key of the work and the incarnation of
each entry. The entry of rank 0 does the work at once. Every other entry does
it after a delay that grows with its rank, if it is still to be done then, so
the first entry may be wrong, slow or unreachable. Entries use this to choose
which of them moves or restates a task.
"""

from collections import abc
import hashlib

# Delay per rank, in seconds.
RANK_DELAY_S = 1.0
# Higher ranks are treated as this one, which bounds the delay.
MAX_RANK = 4
# Maximum number of keys whose first check is stored; then all are dropped.
MAX_KEYS = 200_000


def score(key: str, entry: str) -> int:
    """Return the hash by which the entries are ordered for `key`."""
    digest = hashlib.blake2b(f'{key}|{entry}'.encode(), digest_size=8)
    return int.from_bytes(digest.digest(), 'big')


def infer_rank(key: str, entry: str, others: abc.Iterable[str]) -> int:
    """Return the number of entries before this one, up to `MAX_RANK`."""
    own_score = score(key, entry)
    rank = sum(score(key, other) < own_score for other in others)
    return min(rank, MAX_RANK)


class Ranking:
    """Decide when an entry is due to do a piece of work."""

    def __init__(self, entry: str) -> None:
        # Incarnation of this entry.
        self.entry = entry
        # Incarnations of the other connected entries.
        self.others: tuple[str, ...] = ()
        # Time of the first check of each key that was not due at once.
        self._first_checked_at: dict[str, float] = {}

    def is_due(self, key: str, now: float) -> bool:
        """Return whether this entry should do the work now."""
        rank = infer_rank(key, self.entry, self.others)
        if rank == 0:
            return True
        if (
            key not in self._first_checked_at
            and len(self._first_checked_at) >= MAX_KEYS
        ):
            self._first_checked_at.clear()
        return (
            now - self._first_checked_at.setdefault(key, now)
            >= rank * RANK_DELAY_S
        )

    def forget(self, key: str) -> None:
        """Drop the key of work that was done."""
        self._first_checked_at.pop(key, None)

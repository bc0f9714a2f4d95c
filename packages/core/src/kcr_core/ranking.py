"""Give one entry the first turn at work that every entry could do.

The entries are ranked by a hash of the work and their incarnations. Another
entry takes its turn when the work is still there after its rank's delay, so
the first one may be wrong, slow or gone.
"""

from collections import abc
import hashlib

# Time between the turns of two entries, in seconds.
TURN_S = 1.0
# Highest rank that waits.
MAX_RANK = 4
# Pieces of work whose first sight is remembered.
SEEN_LIMIT = 200_000


def score(key: str, entry: str) -> int:
    """Return the position of an entry in the order for `key`."""
    digest = hashlib.blake2b(f'{key}|{entry}'.encode(), digest_size=8)
    return int.from_bytes(digest.digest(), 'big')


def infer_rank(key: str, me: str, others: abc.Iterable[str]) -> int:
    """Return how many entries go before this one."""
    mine = score(key, me)
    rank = sum(score(key, other) < mine for other in others)
    return min(rank, MAX_RANK)


class Ranking:
    """Remember since when each piece of work could be done."""

    def __init__(self, me: str) -> None:
        # Incarnation of this entry.
        self.me = me
        # Incarnations of the other entries that are connected.
        self.others: tuple[str, ...] = ()
        self._seen: dict[str, float] = {}

    def is_due(self, key: str, now: float) -> bool:
        """Tell whether this entry should do the work now."""
        rank = infer_rank(key, self.me, self.others)
        if rank == 0:
            return True
        if key not in self._seen and len(self._seen) >= SEEN_LIMIT:
            self._seen.clear()
        return now - self._seen.setdefault(key, now) >= rank * TURN_S

    def forget(self, key: str) -> None:
        """Drop what is known of work that was done."""
        self._seen.pop(key, None)

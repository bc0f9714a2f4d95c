"""Remember ended requests for repeats and for explanations.

The table is bounded by entries and by bytes of kept answers. What is dropped
is safe to forget: a repeat is decided by the claims of the log again.
"""

import collections
import dataclasses

from kcr_core import outcomes

# Ended requests that are remembered.
MAX_REQUESTS = 2000
# Bytes of answers that are kept, of the 64 MB that a daemon may use.
MAX_BYTES = 2 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptSummary:
    """Describe one attempt of a request."""

    # Instance that was chosen; empty if none was.
    instance: str
    # What became of the attempt.
    state: str


@dataclasses.dataclass(slots=True)
class EndedRequest:
    """Describe a request that has an outcome."""

    # Digest of its content.
    digest: str
    # Outcome for repeats; none when a repeat is decided anew.
    outcome: outcomes.Outcome | None
    # Name of the outcome, for explanations.
    name: str
    # Why it ended so; empty when it is done.
    reason: str
    # Attempts in order.
    tried: tuple[AttemptSummary, ...]
    # Time from arrival to the outcome, in ms.
    took_ms: float


class RecentRequests:
    """Hold the requests that ended last."""

    def __init__(
        self, limit: int = MAX_REQUESTS, max_bytes: int = MAX_BYTES
    ) -> None:
        # Requests that are remembered.
        self.limit = limit
        # Bytes of answers that are kept.
        self.max_bytes = max_bytes
        # Bytes of the answers that are kept now.
        self.size = 0
        self._ended: collections.OrderedDict[str, EndedRequest] = (
            collections.OrderedDict()
        )
        # Keys whose answer is kept, oldest first.
        self._kept: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._ended)

    def find(self, key: str) -> EndedRequest | None:
        """Return what is remembered of a request."""
        return self._ended.get(key)

    def add(self, key: str, ended: EndedRequest) -> None:
        """Remember a request; drop the oldest beyond the bounds."""
        self._forget(key)
        self._ended[key] = ended
        if isinstance(ended.outcome, outcomes.Done):
            self._kept[key] = len(ended.outcome.body)
            self.size += self._kept[key]
        while len(self._ended) > self.limit:
            self._forget(next(iter(self._ended)))
        while self.size > self.max_bytes:
            oldest, size = self._kept.popitem(last=False)
            self.size -= size
            self._ended[oldest].outcome = None
        assert self.size >= 0, 'kept bytes are below zero'

    def _forget(self, key: str) -> None:
        self._ended.pop(key, None)
        self.size -= self._kept.pop(key, 0)

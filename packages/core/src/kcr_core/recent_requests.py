"""Keep recently ended requests for repeated submissions and explanations.

The entry's task of requests adds each request that ended and looks up repeats.
The table is bounded by the number of requests and by the bytes of their
answers. Dropping a request is safe: a repeat is then decided by the claims in
the log.
"""

import collections
import dataclasses

from kcr_core import outcomes

# Maximum number of requests.
MAX_REQUESTS = 2000
# Maximum number of bytes of all answers; a daemon may use 64 MB in all.
MAX_BYTES = 2 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptSummary:
    """Describe one attempt of a request."""

    # Chosen instance; empty if none was chosen.
    instance: str
    # State of the attempt.
    state: str


@dataclasses.dataclass(slots=True)
class EndedRequest:
    """Describe a request that has an outcome."""

    # Digest of the content of the request.
    digest: str
    # Outcome for repeated submissions; none if a repeat is decided again.
    outcome: outcomes.Outcome | None
    # Name of the outcome, for explanations.
    name: str
    # Reason for the outcome; empty if the request is done.
    reason: str
    # Attempts, oldest first.
    tried: tuple[AttemptSummary, ...]
    # Time from submission to outcome, in ms.
    took_ms: float


class RecentRequests:
    """Store the requests that ended last."""

    def __init__(
        self, limit: int = MAX_REQUESTS, max_bytes: int = MAX_BYTES
    ) -> None:
        # Maximum number of requests.
        self.limit = limit
        # Maximum number of bytes of all answers.
        self.max_bytes = max_bytes
        # Bytes of the answers in the table.
        self.answer_bytes = 0
        self._ended: collections.OrderedDict[str, EndedRequest] = (
            collections.OrderedDict()
        )
        # Bytes of the answer of each request that has one, oldest first.
        self._answer_sizes: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._ended)

    def find(self, key: str) -> EndedRequest | None:
        """Return an ended request, or none."""
        return self._ended.get(key)

    def add(self, key: str, ended: EndedRequest) -> None:
        """Add a request; drop the oldest ones beyond the bounds."""
        self._forget(key)
        self._ended[key] = ended
        if isinstance(ended.outcome, outcomes.Done):
            self._answer_sizes[key] = len(ended.outcome.body)
            self.answer_bytes += self._answer_sizes[key]
        while len(self._ended) > self.limit:
            self._forget(next(iter(self._ended)))
        while self.answer_bytes > self.max_bytes:
            oldest, answer_bytes = self._answer_sizes.popitem(last=False)
            self.answer_bytes -= answer_bytes
            self._ended[oldest].outcome = None
        assert self.answer_bytes >= 0, 'bytes of the answers are below zero'

    def _forget(self, key: str) -> None:
        self._ended.pop(key, None)
        self.answer_bytes -= self._answer_sizes.pop(key, 0)

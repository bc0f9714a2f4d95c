"""Decide from the claims in the log which entry may send a request.

Only non-idempotent requests are claimed. Every reader applies the same
records in offset order. The first claim on a request wins until it is
released or the dedupe window has passed. Dropping a claim from the table can
only make this process refuse more requests, never win more. The claimant of
an entry uses the table.
"""

import dataclasses
import heapq
import sys
import typing

from kcr_core import records

# Maximum number of requests in the table. A claim takes about 640 bytes and
# is kept for twice the dedupe window.
MAX_REQUESTS = 30_000
# Used share of the table from which this process makes no new claims, so that
# the claims of other processes still fit.
FULL_SHARE = 0.9
# Maximum number of older claims kept per request.
MAX_OLDER = 4
# Maximum number of released claims kept per request.
MAX_RELEASED = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Represent a claim on a request."""

    # Unique token of the claim.
    token: str
    # Incarnation of the entry that made the claim.
    entry: str
    # Digest of the content of the request.
    digest: str
    # The claim excludes requests issued up to this Unix time in ms.
    until_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Store the bounds on the time of issue of a claimed request."""

    # Dedupe window in ms.
    window_ms: int = 600_000
    # Allowed difference between clocks, in ms.
    allowance_ms: int = 2_000


Age = typing.Literal['ok', 'too_old', 'in_future']


@dataclasses.dataclass(slots=True)
class _RequestClaims:
    # Claim in force; none if all were released.
    claim: Claim | None
    # Unix time in ms after which the claims may be dropped.
    until_ms: int
    # Entry and name of each released claim. A late repeat of its record is
    # ignored.
    released: tuple[tuple[str, str], ...] = ()
    # Claims whose window ended before the claim in force was issued, oldest
    # first. When that one is released, they still exclude requests with an
    # earlier time of issue.
    older: tuple[Claim, ...] = ()


class Table:
    """Store the claims on each request."""

    def __init__(self, limit: int = MAX_REQUESTS) -> None:
        # Maximum number of requests.
        self.limit = limit
        # A request issued up to this Unix time in ms may have been claimed
        # by a record that was dropped or never read.
        self.floor_ms = 0
        self._requests: dict[str, _RequestClaims] = {}
        # Expiry in Unix ms and key of each request; a heap. It may contain
        # stale pairs.
        self._expiry: list[tuple[int, str]] = []

    def __len__(self) -> int:
        return len(self._requests)

    def is_full(self) -> bool:
        """Return whether this process must not make new claims."""
        return len(self._requests) >= self.limit * FULL_SHARE

    def holder(self, request: str) -> Claim | None:
        """Return the claim in force for a request."""
        state = self._requests.get(request)
        return state.claim if state else None

    def blocking(self, request: str, issued_at_ms: int) -> Claim | None:
        """Return the claim that excludes a request with this time of issue."""
        claim = self.holder(request)
        if claim is None or issued_at_ms > claim.until_ms:
            return None
        return claim

    def check_age(self, issued_at_ms: int, now_ms: int, limits: Limits) -> Age:
        """Return whether the time of issue allows a claim at `now_ms`."""
        if issued_at_ms > now_ms + limits.allowance_ms:
            return 'in_future'
        oldest = now_ms - limits.window_ms + limits.allowance_ms
        if issued_at_ms < oldest or issued_at_ms <= self.floor_ms:
            return 'too_old'
        return 'ok'

    def apply(self, item: typing.Any) -> None:
        """Apply one item of the claims stream; call it in offset order."""
        if isinstance(item, records.Claimed):
            self._apply_claimed(item)
        elif isinstance(item, records.Released):
            self._apply_released(item)

    def record_gap(self, before_ms: int, limits: Limits) -> None:
        """Raise the floor for claims that were trimmed before they were read.

        They were appended up to the Unix time `before_ms`.
        """
        until = before_ms + limits.allowance_ms + limits.window_ms
        self.floor_ms = max(self.floor_ms, until)

    def drop_expired(self, now_ms: int, limits: Limits) -> None:
        """Drop the claims that exclude only requests that are too old."""
        oldest = now_ms - limits.window_ms + limits.allowance_ms
        while self._expiry and self._expiry[0][0] < oldest:
            self._drop_first()

    def _apply_claimed(self, item: records.Claimed) -> None:
        until = item.issued_at_ms + item.hold_ms
        state = self._requests.get(item.request)
        if state and (item.entry, item.token) in state.released:
            return
        if self.blocking(item.request, item.issued_at_ms) is not None:
            return
        # A few entries make all claims, so their names share one string.
        entry = sys.intern(item.entry)
        claim = Claim(item.token, entry, item.digest, until)
        if state is None:
            self._put(item.request, _RequestClaims(claim, until))
            return
        older = state.older
        if state.claim is not None:
            older = (*older, state.claim)
        if len(older) > MAX_OLDER:
            self.floor_ms = max(self.floor_ms, older[0].until_ms)
            older = older[1:]
        self._put(
            item.request, _RequestClaims(claim, until, state.released, older)
        )

    def _apply_released(self, item: records.Released) -> None:
        state = self._requests.get(item.request)
        if state is None:
            state = _RequestClaims(None, item.until_ms)
        released_claim = (item.entry, item.token)
        previous = (*state.older, state.claim) if state.claim else state.older
        remaining = [
            c for c in previous if (c.entry, c.token) != released_claim
        ]
        released = state.released
        if released_claim not in released:
            released = (*released, released_claim)[-MAX_RELEASED:]
        until = max(state.until_ms, item.until_ms)
        claim = remaining.pop() if remaining else None
        self._put(
            item.request,
            _RequestClaims(claim, until, released, tuple(remaining)),
        )

    def _put(self, request: str, state: _RequestClaims) -> None:
        previous = self._requests.get(request)
        self._requests[request] = state
        if previous is None or previous.until_ms != state.until_ms:
            heapq.heappush(self._expiry, (state.until_ms, request))
        while len(self._requests) > self.limit:
            self._drop_first()

    def _drop_first(self) -> None:
        until, request = heapq.heappop(self._expiry)
        state = self._requests.get(request)
        if state is None or state.until_ms != until:
            return
        del self._requests[request]
        if state.claim is not None:
            self.floor_ms = max(self.floor_ms, state.claim.until_ms)

"""Fold the claims of the log: who may send a non-idempotent request.

Every reader folds the same records in offset order. The first claim on a
request wins until it is released or the dedupe window has passed. Forgetting
a claim only ever makes this process refuse more, never win more.
"""

import dataclasses
import heapq
import sys
import typing

from kcr_core import records

# Requests whose claims are remembered. A claim takes about 640 bytes, and is
# kept for twice the dedupe window.
MAX_REQUESTS = 30_000
# Share of the table at which this process makes no new claims, so that the
# claims of other processes still fit.
FULL_SHARE = 0.9
# Older claims that are remembered per request.
MAX_OLDER = 4
# Released claims that are remembered per request.
MAX_RELEASED = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Hold the claim that is in force for a request."""

    # Name of the claim.
    token: str
    # Incarnation of the entry that holds it.
    entry: str
    # Digest of the content.
    digest: str
    # Unix time until which it holds, in ms of the callers' time of issue.
    until_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """State when a request may be claimed."""

    # Dedupe window in ms.
    window_ms: int = 600_000
    # Allowance for differences between clocks, in ms.
    allowance_ms: int = 2_000


Age = typing.Literal['ok', 'too_old', 'in_future']


@dataclasses.dataclass(slots=True)
class _Slot:
    # Claim in force; none when all were released.
    claim: Claim | None
    # Unix time in ms until which the slot matters.
    until_ms: int
    # Entries and names of released claims, so that a late repeat of such a
    # claim does not count.
    released: tuple[tuple[str, str], ...] = ()
    # Claims whose window has passed for the claim in force, oldest first.
    # When that one is released, they still hold for older times of issue.
    older: tuple[Claim, ...] = ()


class Table:
    """Hold the claims in force."""

    def __init__(self, limit: int = MAX_REQUESTS) -> None:
        # Requests that are remembered.
        self.limit = limit
        # A request issued up to this Unix time in ms may have been claimed
        # by a record that is forgotten or was never read.
        self.floor_ms = 0
        self._slots: dict[str, _Slot] = {}
        # Expiry and key of each slot, soonest first; may hold stale pairs.
        self._expiry: list[tuple[int, str]] = []

    def __len__(self) -> int:
        return len(self._slots)

    def is_full(self) -> bool:
        """Tell whether this process should make no new claims."""
        return len(self._slots) >= self.limit * FULL_SHARE

    def holder(self, request: str) -> Claim | None:
        """Return the claim in force for a request."""
        slot = self._slots.get(request)
        return slot.claim if slot else None

    def blocking(self, request: str, issued_at_ms: int) -> Claim | None:
        """Return the claim that a claim with this time of issue loses to."""
        claim = self.holder(request)
        if claim is None or issued_at_ms > claim.until_ms:
            return None
        return claim

    def check_age(self, issued_at_ms: int, now_ms: int, limits: Limits) -> Age:
        """Tell whether the time of issue allows a claim at `now_ms`."""
        if issued_at_ms > now_ms + limits.allowance_ms:
            return 'in_future'
        oldest = now_ms - limits.window_ms + limits.allowance_ms
        if issued_at_ms < oldest or issued_at_ms <= self.floor_ms:
            return 'too_old'
        return 'ok'

    def apply(self, item: typing.Any) -> None:
        """Apply one item of the stream; items come in offset order."""
        if isinstance(item, records.Claimed):
            self._apply_claimed(item)
        elif isinstance(item, records.Released):
            self._apply_released(item)

    def record_gap(self, before_ms: int, limits: Limits) -> None:
        """Note that claims appended up to a Unix time were not read."""
        until = before_ms + limits.allowance_ms + limits.window_ms
        self.floor_ms = max(self.floor_ms, until)

    def drop_expired(self, now_ms: int, limits: Limits) -> None:
        """Drop claims that no acceptable request can lose to any more."""
        oldest = now_ms - limits.window_ms + limits.allowance_ms
        while self._expiry and self._expiry[0][0] < oldest:
            self._drop_first()

    def _apply_claimed(self, item: records.Claimed) -> None:
        until = item.issued_at_ms + item.hold_ms
        slot = self._slots.get(item.request)
        if slot and (item.entry, item.token) in slot.released:
            return
        if self.blocking(item.request, item.issued_at_ms) is not None:
            return
        # Few entries make all claims, so their names are shared.
        entry = sys.intern(item.entry)
        claim = Claim(item.token, entry, item.digest, until)
        if slot is None:
            self._put(item.request, _Slot(claim, until))
            return
        older = slot.older
        if slot.claim is not None:
            older = (*older, slot.claim)
        if len(older) > MAX_OLDER:
            self.floor_ms = max(self.floor_ms, older[0].until_ms)
            older = older[1:]
        self._put(item.request, _Slot(claim, until, slot.released, older))

    def _apply_released(self, item: records.Released) -> None:
        slot = self._slots.get(item.request)
        if slot is None:
            slot = _Slot(None, item.until_ms)
        name = (item.entry, item.token)
        held = (*slot.older, slot.claim) if slot.claim else slot.older
        left = [c for c in held if (c.entry, c.token) != name]
        released = slot.released
        if name not in released:
            released = (*released, name)[-MAX_RELEASED:]
        until = max(slot.until_ms, item.until_ms)
        claim = left.pop() if left else None
        self._put(item.request, _Slot(claim, until, released, tuple(left)))

    def _put(self, request: str, slot: _Slot) -> None:
        held = self._slots.get(request)
        self._slots[request] = slot
        if held is None or held.until_ms != slot.until_ms:
            heapq.heappush(self._expiry, (slot.until_ms, request))
        while len(self._slots) > self.limit:
            self._drop_first()

    def _drop_first(self) -> None:
        until, request = heapq.heappop(self._expiry)
        slot = self._slots.get(request)
        if slot is None or slot.until_ms != until:
            return
        del self._slots[request]
        if slot.claim is not None:
            self.floor_ms = max(self.floor_ms, slot.claim.until_ms)

"""Manage the claims of one entry on non-idempotent requests.

The entry's task of claims passes in queries for the right to send a request,
results of appends and the records of the log; it gets steps to carry out:
records to append and decisions. A claim is granted at most once and only
after it was read back from the log as the winner. A claim that may be in the
log and will not be used is released; the release is repeated until it is read
back.
"""

import dataclasses
import enum
import typing

from kcr_core import claims
from kcr_core import outcomes
from kcr_core import records

# Maximum number of claims of this entry that are not finalized, including
# those being released.
MAX_OWN_CLAIMS = 10_000
# Reason for not running a request whose deadline passed before the decision.
DEADLINE_PASSED = 'deadline passed before the claim was confirmed'


@dataclasses.dataclass(frozen=True, slots=True)
class Won:
    """Represent that the request may be sent, once."""


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """Represent that another claim is in force; the request may have run."""

    # Incarnation of the entry that holds the other claim.
    entry: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotClaimed:
    """Represent that this entry will not send the request."""

    # Why the request is not sent.
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class TooOld:
    """Represent that the request may have run and no record is left."""


@dataclasses.dataclass(frozen=True, slots=True)
class Changed:
    """Represent that the id was claimed with different content."""


Decision = Won | Lost | NotClaimed | TooOld | Changed


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """Request that an item is appended to the log."""

    # Token of the claim that the item is about.
    token: str
    # Record to append.
    item: records.Claimed | records.Released


@dataclasses.dataclass(frozen=True, slots=True)
class Decided:
    """Report the decision on a query."""

    # Name of the query.
    query: str
    # The decision.
    decision: Decision


@dataclasses.dataclass(frozen=True, slots=True)
class Contended:
    """Report that a query waits for the holder of another claim."""

    # Name of the query.
    query: str
    # Key of the request.
    request: str
    # Incarnation of the entry that holds the claim.
    entry: str


Step = Write | Decided | Contended


class _Phase(enum.Enum):
    # The claim is being appended, or was appended and not read back yet.
    PENDING = 'pending'
    # Another claim is in force and may still be released.
    CONTENDED = 'contended'
    # The claim was granted.
    WON = 'won'
    # The claim will not be used; its release was not read back yet.
    RELEASING = 'releasing'


@dataclasses.dataclass(slots=True)
class _OwnClaim:
    query: str
    request: str
    digest: str
    issued_at_ms: int
    phase: _Phase
    # Token of the current claim; empty before the first one.
    token: str = ''
    # The current claim excludes requests issued up to this Unix time in ms.
    until_ms: int = 0


class Claimant:
    """Own the claims of one entry incarnation."""

    def __init__(
        self, entry: str, token_prefix: str, table: claims.Table
    ) -> None:
        # Incarnation of the entry.
        self.entry = entry
        # Prefix of the tokens of claims. Each claimant of a process needs its
        # own, because a token must not be used twice.
        self.token_prefix = token_prefix
        # Claims of all entries.
        self.table = table
        # Bounds on the time of issue of a request.
        self.limits = claims.Limits()
        # Number of claims that were granted.
        self.won = 0
        self._claim_count = 0
        # Claims by their query.
        self._claims: dict[str, _OwnClaim] = {}
        # Query of each claim, by the token of the claim.
        self._by_token: dict[str, str] = {}
        # Queries about each request, oldest first.
        self._by_request: dict[str, list[str]] = {}

    def __len__(self) -> int:
        return len(self._claims)

    def begin(
        self,
        query: str,
        request: str,
        digest: str,
        issued_at_ms: int,
        now_ms: int,
    ) -> list[Step]:
        """Begin to claim a request."""
        assert query not in self._claims, 'query name is used twice'
        if len(self._claims) >= MAX_OWN_CLAIMS or self.table.is_full():
            holder = self.table.blocking(request, issued_at_ms)
            reason = 'too many claims are open; try again later'
            return [_make_refusal(query, holder, reason)]
        claim = _OwnClaim(query, request, digest, issued_at_ms, _Phase.PENDING)
        self._claims[query] = claim
        self._by_request.setdefault(request, []).append(query)
        return self._claim(claim, now_ms)

    def append_ended(
        self, token: str, outcome: outcomes.AppendOutcome
    ) -> list[Step]:
        """Process the outcome of the append of a claim."""
        claim = self._find(token)
        if claim is None or isinstance(outcome, outcomes.Appended):
            return []
        maybe_stored = isinstance(outcome, outcomes.AppendUnknown)
        if claim.phase is _Phase.PENDING:
            holder = self._other_holder(claim)
            decided = _make_refusal(claim.query, holder, outcome.reason)
            if maybe_stored:
                return [self._release(claim), decided]
            self._drop(claim)
            return [decided]
        if claim.phase is _Phase.RELEASING and not maybe_stored:
            self._drop(claim)
        return []

    def release_again(self, token: str) -> list[Step]:
        """Repeat a release that was not read back yet."""
        claim = self._find(token)
        if claim is None or claim.phase is not _Phase.RELEASING:
            return []
        return [self._release(claim)]

    def apply(self, item: typing.Any, now_ms: int) -> list[Step]:
        """Apply one item of the claims stream and return what follows."""
        self.table.apply(item)
        if isinstance(item, records.Claimed):
            claim = self._find(item.token)
            if claim is None or claim.phase is not _Phase.PENDING:
                return []
            return self._read_back(claim, now_ms)
        if isinstance(item, records.Released):
            claim = self._find(item.token)
            if claim is not None and claim.phase is _Phase.RELEASING:
                self._drop(claim)
            return self._retry_contended(item.request, now_ms)
        return []

    def cancel(self, query: str) -> list[Step]:
        """Give up a query that is undecided or was just won."""
        claim = self._claims.get(query)
        if claim is None or claim.phase is _Phase.RELEASING:
            return [Decided(query, NotClaimed('claim was given up'))]
        holder = self._other_holder(claim)
        decided = _make_refusal(query, holder, DEADLINE_PASSED)
        if claim.phase is _Phase.CONTENDED:
            self._drop(claim)
            return [decided]
        return [self._release(claim), decided]

    def finalize(self, query: str, sent: bool) -> list[Step]:
        """Release a granted claim, or stop tracking it if it was used."""
        claim = self._claims.get(query)
        if claim is None or claim.phase is not _Phase.WON:
            return []
        if sent:
            self._drop(claim)
            return []
        return [self._release(claim)]

    def stop_waiting(self, query: str) -> list[Step]:
        """Give up a query that waits for the holder of another claim."""
        claim = self._claims.get(query)
        if claim is None or claim.phase is not _Phase.CONTENDED:
            return []
        return self.cancel(query)

    def is_given_up(self, request: str) -> bool:
        """Return whether this entry gave up a request and is releasing it."""
        queries = self._by_request.get(request, ())
        phases = {self._claims[query].phase for query in queries}
        return _Phase.RELEASING in phases and _Phase.WON not in phases

    def releasing(self) -> list[str]:
        """Return the tokens of claims whose release was not read back yet."""
        return [
            claim.token
            for claim in self._claims.values()
            if claim.phase is _Phase.RELEASING
        ]

    def drop_expired(self, now_ms: int) -> None:
        """Drop expired claims, including those that were never finalized."""
        self.table.drop_expired(now_ms, self.limits)
        expired = [
            claim
            for claim in self._claims.values()
            if claim.phase is not _Phase.CONTENDED
            and claim.until_ms + self.limits.window_ms < now_ms
        ]
        for claim in expired:
            self._drop(claim)

    def _claim(self, claim: _OwnClaim, now_ms: int) -> list[Step]:
        age = self.table.check_age(claim.issued_at_ms, now_ms, self.limits)
        holder = self.table.blocking(claim.request, claim.issued_at_ms)
        if holder is not None:
            return self._lose_to(claim, holder)
        if age != 'ok':
            self._drop(claim)
            if age == 'too_old':
                return [Decided(claim.query, TooOld())]
            reason = 'issued_at_ms is in the future; check the clock'
            return [Decided(claim.query, NotClaimed(reason))]
        self._claim_count += 1
        claim.phase = _Phase.PENDING
        self._by_token.pop(claim.token, None)
        claim.token = f'{self.token_prefix}:{self._claim_count}'
        claim.until_ms = claim.issued_at_ms + self.limits.window_ms
        self._by_token[claim.token] = claim.query
        item = records.Claimed(
            claim.request,
            claim.digest,
            self.entry,
            claim.issued_at_ms,
            claim.token,
            self.limits.window_ms,
        )
        return [Write(claim.token, item)]

    def _read_back(self, claim: _OwnClaim, now_ms: int) -> list[Step]:
        holder = self.table.holder(claim.request)
        if holder is None:
            return [
                self._release(claim),
                _make_refusal(claim.query, None, DEADLINE_PASSED),
            ]
        if holder.token != claim.token:
            return self._lose_to(claim, holder)
        age = self.table.check_age(claim.issued_at_ms, now_ms, self.limits)
        if age == 'too_old':
            return [self._release(claim), Decided(claim.query, TooOld())]
        assert holder.entry == self.entry, 'claim of another entry was granted'
        claim.phase = _Phase.WON
        self.won += 1
        return [Decided(claim.query, Won())]

    def _lose_to(self, claim: _OwnClaim, holder: claims.Claim) -> list[Step]:
        if holder.digest != claim.digest:
            self._drop(claim)
            return [Decided(claim.query, Changed())]
        holder_claim = self._find(holder.token)
        if holder.entry == self.entry and (
            holder_claim is None or holder_claim.phase is not _Phase.RELEASING
        ):
            self._drop(claim)
            return [Decided(claim.query, Lost(self.entry))]
        claim.phase = _Phase.CONTENDED
        return [Contended(claim.query, claim.request, holder.entry)]

    def _retry_contended(self, request: str, now_ms: int) -> list[Step]:
        steps: list[Step] = []
        for query in list(self._by_request.get(request, ())):
            claim = self._claims[query]
            if claim.phase is _Phase.CONTENDED:
                steps += self._claim(claim, now_ms)
        return steps

    def _other_holder(self, claim: _OwnClaim) -> claims.Claim | None:
        holder = self.table.blocking(claim.request, claim.issued_at_ms)
        if holder is None:
            return None
        holder_claim = self._find(holder.token)
        unused = holder_claim is claim or (
            holder_claim is not None and holder_claim.phase is _Phase.RELEASING
        )
        return None if unused else holder

    def _release(self, claim: _OwnClaim) -> Write:
        assert claim.token, 'release without a claim'
        claim.phase = _Phase.RELEASING
        item = records.Released(
            claim.request, self.entry, claim.token, claim.until_ms
        )
        return Write(claim.token, item)

    def _find(self, token: str) -> _OwnClaim | None:
        query = self._by_token.get(token)
        return self._claims.get(query) if query is not None else None

    def _drop(self, claim: _OwnClaim) -> None:
        del self._claims[claim.query]
        self._by_token.pop(claim.token, None)
        queries = self._by_request[claim.request]
        queries.remove(claim.query)
        if not queries:
            del self._by_request[claim.request]


def _make_refusal(
    query: str, holder: claims.Claim | None, reason: str
) -> Decided:
    if holder is not None:
        return Decided(query, Lost(holder.entry))
    return Decided(query, NotClaimed(reason))

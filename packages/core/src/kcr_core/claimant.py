"""Decide about the claims of one entry: make, win, lose, give back.

A claim is handed out at most once and only after it was read back as the
winner. A claim that may be in the log and will not be used is released; the
release is repeated until it is read back.
"""

import dataclasses
import enum
import typing

from kcr_core import claims
from kcr_core import outcomes
from kcr_core import records

# Claims of this entry that are not settled, those under release included.
MAX_OWN = 10_000
# Reason of a request whose deadline passed before its claim was decided.
LATE = 'deadline passed before the claim was confirmed'


@dataclasses.dataclass(frozen=True, slots=True)
class Won:
    """State that the request may be sent, once."""


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """State that another claim is in force; the request may have run."""

    # Incarnation of the entry that holds it.
    entry: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotClaimed:
    """State that the request will not be sent by this entry."""

    # Why.
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class TooOld:
    """State that the request may have run and the record of it is gone."""


@dataclasses.dataclass(frozen=True, slots=True)
class Changed:
    """State that the id was claimed with other content."""


Decision = Won | Lost | NotClaimed | TooOld | Changed


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """Ask for an item to be appended."""

    # Name of the claim that the item is about.
    token: str
    # The item.
    item: records.Claimed | records.Released


@dataclasses.dataclass(frozen=True, slots=True)
class Decided:
    """Report the decision about a question."""

    # Name of the question.
    query: str
    # The decision.
    decision: Decision


@dataclasses.dataclass(frozen=True, slots=True)
class Contended:
    """Report that a question waits for the holder of a claim."""

    # Name of the question.
    query: str
    # Key of the request.
    request: str
    # Incarnation of the entry that holds the claim.
    entry: str


Step = Write | Decided | Contended


class _Phase(enum.Enum):
    # The claim is being appended, or was appended and is not read back.
    ASKED = 'asked'
    # Another claim is in force and may still be released.
    CONTENDED = 'contended'
    # The claim was handed out.
    WON = 'won'
    # The claim will not be used; its release is not read back.
    RELEASING = 'releasing'


@dataclasses.dataclass(slots=True)
class _Own:
    query: str
    request: str
    digest: str
    issued_at_ms: int
    phase: _Phase
    # Name of the current claim.
    token: str = ''
    # Unix time in ms until which the current claim holds.
    until_ms: int = 0


class Claimant:
    """Own the claims of one entry incarnation."""

    def __init__(
        self, entry: str, token_prefix: str, table: claims.Table
    ) -> None:
        # Incarnation of the entry.
        self.entry = entry
        # Prefix of the names of claims. It differs from that of every other
        # claimant of the process, because a name must not be used again.
        self.token_prefix = token_prefix
        # Claims of all entries.
        self.table = table
        # When a request may be claimed.
        self.limits = claims.Limits()
        # Claims that were handed out.
        self.won = 0
        self._made = 0
        self._own: dict[str, _Own] = {}
        # Question of each own claim by the name of the claim.
        self._by_token: dict[str, str] = {}
        # Questions about each request, oldest first.
        self._by_request: dict[str, list[str]] = {}

    def __len__(self) -> int:
        return len(self._own)

    def begin(
        self,
        query: str,
        request: str,
        digest: str,
        issued_at_ms: int,
        now_ms: int,
    ) -> list[Step]:
        """Ask for the right to send a request."""
        assert query not in self._own, 'question was asked twice'
        if len(self._own) >= MAX_OWN or self.table.is_full():
            holder = self.table.blocking(request, issued_at_ms)
            reason = 'too many claims are open; try again later'
            return [_give_up(query, holder, reason)]
        own = _Own(query, request, digest, issued_at_ms, _Phase.ASKED)
        self._own[query] = own
        self._by_request.setdefault(request, []).append(query)
        return self._claim(own, now_ms)

    def append_ended(
        self, token: str, outcome: outcomes.AppendOutcome
    ) -> list[Step]:
        """Take the outcome of a claim's append."""
        own = self._find(token)
        if own is None or isinstance(outcome, outcomes.Appended):
            return []
        stored = isinstance(outcome, outcomes.AppendUnknown)
        if own.phase is _Phase.ASKED:
            holder = self._other_holder(own)
            decided = _give_up(own.query, holder, outcome.reason)
            if stored:
                return [self._release(own), decided]
            self._drop(own)
            return [decided]
        if own.phase is _Phase.RELEASING and not stored:
            self._drop(own)
        return []

    def release_again(self, token: str) -> list[Step]:
        """Repeat a release that is not read back yet."""
        own = self._find(token)
        if own is None or own.phase is not _Phase.RELEASING:
            return []
        return [self._release(own)]

    def apply(self, item: typing.Any, now_ms: int) -> list[Step]:
        """Apply one item of the stream and decide what depends on it."""
        self.table.apply(item)
        if isinstance(item, records.Claimed):
            own = self._find(item.token)
            if own is None or own.phase is not _Phase.ASKED:
                return []
            return self._read_back(own, now_ms)
        if isinstance(item, records.Released):
            own = self._find(item.token)
            if own is not None and own.phase is _Phase.RELEASING:
                self._drop(own)
            return self._retry_contended(item.request, now_ms)
        return []

    def cancel(self, query: str) -> list[Step]:
        """Give up a question that is not decided, or was just won."""
        own = self._own.get(query)
        if own is None or own.phase is _Phase.RELEASING:
            return [Decided(query, NotClaimed('claim was given up'))]
        holder = self._other_holder(own)
        decided = _give_up(query, holder, LATE)
        if own.phase is _Phase.CONTENDED:
            self._drop(own)
            return [decided]
        return [self._release(own), decided]

    def finalize(self, query: str, sent: bool) -> list[Step]:
        """Take what became of a claim that was handed out."""
        own = self._own.get(query)
        if own is None or own.phase is not _Phase.WON:
            return []
        if sent:
            self._drop(own)
            return []
        return [self._release(own)]

    def stop_waiting(self, query: str) -> list[Step]:
        """Stop waiting for the holder of a claim."""
        own = self._own.get(query)
        if own is None or own.phase is not _Phase.CONTENDED:
            return []
        return self.cancel(query)

    def is_given_up(self, request: str) -> bool:
        """Tell whether this entry gave up the request and releases it."""
        queries = self._by_request.get(request, ())
        phases = {self._own[query].phase for query in queries}
        return _Phase.RELEASING in phases and _Phase.WON not in phases

    def releasing(self) -> list[str]:
        """Return the names of the claims whose release is not read back."""
        return [
            own.token
            for own in self._own.values()
            if own.phase is _Phase.RELEASING
        ]

    def drop_expired(self, now_ms: int) -> None:
        """Drop claims that were handed out and never settled."""
        self.table.drop_expired(now_ms, self.limits)
        late = [
            own
            for own in self._own.values()
            if own.phase is not _Phase.CONTENDED
            and own.until_ms + self.limits.window_ms < now_ms
        ]
        for own in late:
            self._drop(own)

    def _claim(self, own: _Own, now_ms: int) -> list[Step]:
        age = self.table.check_age(own.issued_at_ms, now_ms, self.limits)
        holder = self.table.blocking(own.request, own.issued_at_ms)
        if holder is not None:
            return self._meet(own, holder)
        if age != 'ok':
            self._drop(own)
            if age == 'too_old':
                return [Decided(own.query, TooOld())]
            reason = 'issued_at_ms is in the future; check the clock'
            return [Decided(own.query, NotClaimed(reason))]
        self._made += 1
        own.phase = _Phase.ASKED
        self._by_token.pop(own.token, None)
        own.token = f'{self.token_prefix}:{self._made}'
        own.until_ms = own.issued_at_ms + self.limits.window_ms
        self._by_token[own.token] = own.query
        item = records.Claimed(
            own.request,
            own.digest,
            self.entry,
            own.issued_at_ms,
            own.token,
            self.limits.window_ms,
        )
        return [Write(own.token, item)]

    def _read_back(self, own: _Own, now_ms: int) -> list[Step]:
        holder = self.table.holder(own.request)
        if holder is None:
            return [self._release(own), _give_up(own.query, None, LATE)]
        if holder.token != own.token:
            return self._meet(own, holder)
        age = self.table.check_age(own.issued_at_ms, now_ms, self.limits)
        if age == 'too_old':
            return [self._release(own), Decided(own.query, TooOld())]
        assert holder.entry == self.entry, 'claim of another entry is used'
        own.phase = _Phase.WON
        self.won += 1
        return [Decided(own.query, Won())]

    def _meet(self, own: _Own, holder: claims.Claim) -> list[Step]:
        if holder.digest != own.digest:
            self._drop(own)
            return [Decided(own.query, Changed())]
        held = self._find(holder.token)
        if holder.entry == self.entry and (
            held is None or held.phase is not _Phase.RELEASING
        ):
            self._drop(own)
            return [Decided(own.query, Lost(self.entry))]
        own.phase = _Phase.CONTENDED
        return [Contended(own.query, own.request, holder.entry)]

    def _retry_contended(self, request: str, now_ms: int) -> list[Step]:
        steps: list[Step] = []
        for query in list(self._by_request.get(request, ())):
            own = self._own[query]
            if own.phase is _Phase.CONTENDED:
                steps += self._claim(own, now_ms)
        return steps

    def _other_holder(self, own: _Own) -> claims.Claim | None:
        holder = self.table.blocking(own.request, own.issued_at_ms)
        if holder is None:
            return None
        held = self._find(holder.token)
        unused = held is own or (
            held is not None and held.phase is _Phase.RELEASING
        )
        return None if unused else holder

    def _release(self, own: _Own) -> Write:
        assert own.token, 'release without a claim'
        own.phase = _Phase.RELEASING
        item = records.Released(
            own.request, self.entry, own.token, own.until_ms
        )
        return Write(own.token, item)

    def _find(self, token: str) -> _Own | None:
        query = self._by_token.get(token)
        return self._own.get(query) if query is not None else None

    def _drop(self, own: _Own) -> None:
        del self._own[own.query]
        self._by_token.pop(own.token, None)
        queries = self._by_request[own.request]
        queries.remove(own.query)
        if not queries:
            del self._by_request[own.request]


def _give_up(query: str, holder: claims.Claim | None, reason: str) -> Decided:
    if holder is not None:
        return Decided(query, Lost(holder.entry))
    return Decided(query, NotClaimed(reason))

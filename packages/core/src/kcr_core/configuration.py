"""Decide which document is in force in each environment.

`Fold` applies the records of the stream `config` in offset order. All readers
of the same records reach the same state, also those that start after a trim:
they wait for a restatement that covers every trimmed record. `Held` keeps what
a process follows; its revision never goes down.
"""

import collections
from collections import abc
import dataclasses
import typing

from kcr_core import document_text
from kcr_core import records

# Verdicts that are kept for the operators' history.
HISTORY_LIMIT = 200
# Environments of one log.
MAX_ENVIRONMENTS = 16
# Records that wait for a restatement after a trim.
WAITING_LIMIT = 2000
# Characters of their texts; a daemon has 64 MB in all.
WAITING_CHARS = 8_000_000

Kind = typing.Literal['trial', 'production']


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentInForce:
    """Hold the document that is in force in one environment."""

    # Environment of the document.
    environment: str
    # Offset of the record that put it in force.
    revision: int
    # Digest of the text.
    digest: str
    # Text of the whole file, packed as in the record.
    text: str
    # Whether the environment follows a trial.
    kind: Kind


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """State what became of one record."""

    # Environment of the record.
    environment: str
    # Offset of the record.
    offset: int
    # Revision on which the record is based.
    base: int
    # Digest that the record names.
    digest: str
    # Whether the record is a trial or a promotion.
    kind: Kind
    # Who wrote it.
    operator: str
    # Why it was refused; empty when the document is in force.
    refused: str = ''
    # Revision in force after the record.
    revision: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class LogRecord:
    """Carry the items of one log record."""

    # Offset of the record, from 1.
    offset: int
    # Records of `kcr_core.records`.
    items: tuple[typing.Any, ...]


class Fold:
    """Apply the stream `config` by a rule that every reader computes alike."""

    def __init__(self) -> None:
        # Document in force by environment.
        self.in_force: dict[str, DocumentInForce] = {}
        # Offset of the last record that was applied.
        self.offset = 0
        # Newest verdicts, the oldest first.
        self.history: collections.deque[Verdict] = collections.deque(
            maxlen=HISTORY_LIMIT
        )
        # Assertions that were checked, by name.
        self.checked: collections.Counter[str] = collections.Counter()
        # Assertions that failed, by name.
        self.violated: collections.Counter[str] = collections.Counter()
        # Records that were left out, by reason.
        self.ignored: collections.Counter[str] = collections.Counter()
        # First offset after a trim that is not covered yet; 0 for none.
        self._gap = 0
        self._waiting: collections.deque[LogRecord] = collections.deque()
        self._waiting_chars = 0

    @property
    def is_complete(self) -> bool:
        """Tell whether no trimmed record is missing from the state."""
        return self._gap == 0

    def skip_trimmed(self, first: int) -> None:
        """Note that records before `first` were trimmed before a read."""
        if first <= self.offset + 1:
            return
        self._gap = max(self._gap, first)
        self.offset = first - 1

    def advance(self, position: int) -> None:
        """Note that records up to `position` were read; some hold no item."""
        self.offset = max(self.offset, position)

    def apply(self, entry: LogRecord) -> list[Verdict]:
        """Apply one log record; return the verdicts on its items."""
        if entry.offset <= self.offset:
            self.ignored['doubled'] += 1
            return []
        self.offset = entry.offset
        snapshot = read_snapshot(entry.items)
        if self._gap:
            return self._wait(entry, snapshot)
        if snapshot:
            self._check_snapshot(entry.offset, snapshot)
        return self._apply_items(entry)

    def _wait(
        self, entry: LogRecord, snapshot: list[records.DocumentRestated]
    ) -> list[Verdict]:
        self._keep_waiting(entry)
        if not snapshot or snapshot[0].read_to < self._gap - 1:
            return []
        read_to = snapshot[0].read_to
        self._gap = 0
        self.in_force = {
            item.environment: DocumentInForce(
                item.environment,
                item.revision,
                item.digest,
                item.text,
                'production' if item.production else 'trial',
            )
            for item in snapshot
        }
        verdicts = []
        for held in self._waiting:
            if held.offset > read_to:
                verdicts.extend(self._apply_items(held))
        self._waiting.clear()
        self._waiting_chars = 0
        return verdicts

    def _keep_waiting(self, entry: LogRecord) -> None:
        self._waiting.append(entry)
        self._waiting_chars += count_chars(entry)
        while (
            len(self._waiting) > WAITING_LIMIT
            or self._waiting_chars > WAITING_CHARS
        ):
            # Without its oldest record the queue is as if trimmed later.
            dropped = self._waiting.popleft()
            self._waiting_chars -= count_chars(dropped)
            self._gap = max(self._gap, dropped.offset + 1)
            self.ignored['waiting'] += 1

    def _check_snapshot(
        self, offset: int, snapshot: list[records.DocumentRestated]
    ) -> None:
        """Check that a restatement claims nothing that was not in force."""
        for item in snapshot:
            held = self.in_force.get(item.environment)
            newer = held is None or item.revision > held.revision
            self._expect('restated_is_not_newer', not newer)
            if held is not None and held.revision == item.revision:
                self._expect('restated_is_same', held.digest == item.digest)
        self._expect('restated_read_before', snapshot[0].read_to < offset)

    def _expect(self, name: str, holds: bool) -> None:
        self.checked[name] += 1
        if not holds:
            self.violated[name] += 1

    def _apply_items(self, entry: LogRecord) -> list[Verdict]:
        verdicts = []
        for item in entry.items:
            if isinstance(item, records.Tried | records.Promoted):
                verdict = self._judge(entry.offset, item)
                verdicts.append(verdict)
                self.history.append(verdict)
            elif not isinstance(item, records.DocumentRestated):
                self.ignored['foreign'] += 1
        return verdicts

    def _judge(
        self, offset: int, item: records.Tried | records.Promoted
    ) -> Verdict:
        kind: Kind = 'trial'
        if isinstance(item, records.Promoted):
            kind = 'production'
        held = self.in_force.get(item.environment)
        current = held.revision if held is not None else 0
        refused = self._find_fault(item, kind, held)
        if not refused and offset <= current:
            refused = f'revision {current} is in force already'
        if not refused:
            self._expect('revision_grows', offset > current)
            self.in_force[item.environment] = DocumentInForce(
                item.environment, offset, item.digest, item.text, kind
            )
            current = offset
        return Verdict(
            item.environment,
            offset,
            item.base,
            item.digest,
            kind,
            item.operator,
            refused,
            current,
        )

    def _find_fault(
        self,
        item: records.Tried | records.Promoted,
        kind: Kind,
        held: DocumentInForce | None,
    ) -> str:
        if held is None and len(self.in_force) >= MAX_ENVIRONMENTS:
            return f'there are {MAX_ENVIRONMENTS} environments already'
        if held is not None and held.kind != kind:
            return f'{item.environment} is a {held.kind} environment'
        current = held.revision if held is not None else 0
        if item.base != current:
            return f'is based on revision {item.base}, not on {current}'
        if not document_text.has_digest(item.text, item.digest):
            return 'text does not have the digest'
        if isinstance(item, records.Promoted):
            # The revision keeps a doubled record that was refused once from
            # becoming valid when the same text is tried again.
            tried = self.find_trial(item.digest)
            if tried is None or tried.revision != item.tried:
                return 'digest is not in force in trial at that revision'
        return ''

    def find_trial(self, digest: str) -> DocumentInForce | None:
        """Return the newest trial document with this digest."""
        found = [
            doc
            for doc in self.in_force.values()
            if doc.kind == 'trial' and doc.digest == digest
        ]
        return max(found, key=lambda doc: doc.revision, default=None)

    def restate(self) -> tuple[records.DocumentRestated, ...]:
        """Return the items of one record that covers everything read."""
        if not self.is_complete:
            return ()
        texts: set[str] = set()
        items = []
        for doc in sorted(self.in_force.values(), key=lambda d: d.revision):
            first = doc.digest not in texts
            texts.add(doc.digest)
            items.append(
                records.DocumentRestated(
                    doc.environment,
                    doc.revision,
                    doc.digest,
                    doc.text if first else '',
                    doc.kind == 'production',
                    self.offset,
                )
            )
        return tuple(items)


def count_chars(entry: LogRecord) -> int:
    """Return the length of the texts in a log record."""
    return sum(len(getattr(item, 'text', '')) for item in entry.items)


def read_snapshot(
    items: abc.Iterable[typing.Any],
) -> list[records.DocumentRestated]:
    """Return the restated documents of one record with their texts."""
    found: list[records.DocumentRestated] = []
    texts: dict[str, str] = {}
    for item in items:
        if not isinstance(item, records.DocumentRestated):
            continue
        text = item.text or texts.get(item.digest, '')
        if not document_text.has_digest(text, item.digest):
            return []
        texts[item.digest] = text
        found.append(dataclasses.replace(item, text=text))
    if len({item.read_to for item in found}) > 1:
        return []
    return found


class FollowedDocument:
    """Keep the document that a process follows; it never goes back."""

    def __init__(self) -> None:
        # Document that is followed; None before the first.
        self.doc: DocumentInForce | None = None
        # Assertions that were checked, by name.
        self.checked: collections.Counter[str] = collections.Counter()
        # Assertions that failed, by name.
        self.violated: collections.Counter[str] = collections.Counter()

    @property
    def revision(self) -> int:
        """Return the revision that is followed; 0 before the first."""
        return self.doc.revision if self.doc is not None else 0

    def adopt(self, doc: DocumentInForce) -> bool:
        """Follow a document if it is newer; tell whether it was."""
        before = self.revision
        if doc.revision > before:
            self.doc = doc
        elif self.doc is not None and doc.revision == before:
            self.checked['same_revision_same_digest'] += 1
            if doc.digest != self.doc.digest:
                self.violated['same_revision_same_digest'] += 1
        self.checked['revision_never_goes_down'] += 1
        if self.revision < before:
            self.violated['revision_never_goes_down'] += 1
        return self.revision > before


class Bootstrap:
    """Decide when a process that starts knows the document in force."""

    def __init__(self, peers: abc.Iterable[str]) -> None:
        # Addresses of configured peers that have not answered.
        self.unanswered = set(peers)
        # Highest revision that a peer has.
        self.highest_of_peers = 0
        # Highest revision that a connected sidecar has.
        self.highest_of_sidecars = 0
        # Whether the log was read to its end.
        self.log_read = False

    def peer_answered(self, address: str, revision: int) -> None:
        """Note the revision of a peer."""
        self.unanswered.discard(address)
        self.highest_of_peers = max(self.highest_of_peers, revision)

    def peer_unreachable(self, address: str) -> None:
        """Note that no process listens at a peer's address."""
        self.unanswered.discard(address)

    def sidecar_reported(self, revision: int) -> None:
        """Note the revision of a connected sidecar."""
        self.highest_of_sidecars = max(self.highest_of_sidecars, revision)

    def is_ready(self, revision: int) -> bool:
        """Tell whether `revision` may be followed as the one in force."""
        if self.log_read:
            return True
        return not self.unanswered and revision >= self.highest_of_peers

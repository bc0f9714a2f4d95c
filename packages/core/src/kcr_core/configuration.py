"""Decide which document is in force in each environment.

`Fold` applies the records of the stream `config` in offset order. All readers
of the same records reach the same state, also those that start after a trim:
they wait for a restatement that covers every trimmed record.
`FollowedDocument` stores the document that a process follows; its revision
never decreases. `Bootstrap` decides when a starting process may follow a
document. The entry's task that owns the document in force uses all three.
"""

import collections
from collections import abc
import dataclasses
import typing

from kcr_core import document_text
from kcr_core import records

# Maximum number of verdicts kept for the operators' history.
MAX_HISTORY = 200
# Maximum number of environments in one log.
MAX_ENVIRONMENTS = 16
# Maximum number of records that wait for a restatement after a trim.
MAX_WAITING_RECORDS = 2000
# Maximum characters of their texts; a daemon has 64 MB in all.
MAX_WAITING_CHARS = 8_000_000

# Kind of an environment, set by the first record that is in force in it.
DocumentKind = typing.Literal['trial', 'production']


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentInForce:
    """Represent the document that is in force in one environment."""

    # Environment of the document.
    environment: str
    # Offset of the record that put it in force.
    revision: int
    # Digest of the text.
    digest: str
    # Text of the whole file, packed as in the record.
    text: str
    # Whether the environment is a trial or a production environment.
    kind: DocumentKind


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Describe whether one record put its document in force."""

    # Environment of the record.
    environment: str
    # Offset of the record.
    offset: int
    # Revision that the operator's change is based on.
    base: int
    # Digest that the record names.
    digest: str
    # Whether the record is a trial or a promotion.
    kind: DocumentKind
    # Operator who wrote the record.
    operator: str
    # Reason for the refusal; empty if the document is in force.
    refused: str = ''
    # Revision in force after the record.
    revision: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class LogRecord:
    """Represent the items of one log record."""

    # Offset of the record, from 1.
    offset: int
    # Records of `kcr_core.records`.
    items: tuple[typing.Any, ...]


class Fold:
    """Compute the documents in force from the stream `config`.

    The rule depends on the records only, so all readers reach the same state.
    """

    def __init__(self) -> None:
        # Document in force by environment.
        self.in_force: dict[str, DocumentInForce] = {}
        # Offset of the last record that was applied.
        self.offset = 0
        # Last verdicts, the oldest first.
        self.history: collections.deque[Verdict] = collections.deque(
            maxlen=MAX_HISTORY
        )
        # Assertions that were checked, by name.
        self.checked: collections.Counter[str] = collections.Counter()
        # Assertions that failed, by name.
        self.violated: collections.Counter[str] = collections.Counter()
        # Records and items that were ignored, by reason.
        self.ignored: collections.Counter[str] = collections.Counter()
        # First kept offset after a trim that no restatement covers yet; 0 if
        # no trimmed record is missing.
        self._gap = 0
        self._waiting: collections.deque[LogRecord] = collections.deque()
        self._waiting_chars = 0

    @property
    def is_complete(self) -> bool:
        """Return whether the state includes every trimmed record."""
        return self._gap == 0

    def skip_trimmed(self, first: int) -> None:
        """Skip records before `first`, which were trimmed before a read."""
        if first <= self.offset + 1:
            return
        self._gap = max(self._gap, first)
        self.offset = first - 1

    def advance(self, position: int) -> None:
        """Advance to `position`; records without items count as read."""
        self.offset = max(self.offset, position)

    def apply(self, record: LogRecord) -> list[Verdict]:
        """Apply one log record; return the verdicts on its items."""
        if record.offset <= self.offset:
            self.ignored['doubled'] += 1
            return []
        self.offset = record.offset
        snapshot = read_snapshot(record.items)
        if self._gap:
            return self._wait(record, snapshot)
        if snapshot:
            self._check_snapshot(record.offset, snapshot)
        return self._apply_items(record)

    def _wait(
        self, record: LogRecord, snapshot: list[records.DocumentRestated]
    ) -> list[Verdict]:
        self._keep_waiting(record)
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
        for waiting in self._waiting:
            if waiting.offset > read_to:
                verdicts.extend(self._apply_items(waiting))
        self._waiting.clear()
        self._waiting_chars = 0
        return verdicts

    def _keep_waiting(self, record: LogRecord) -> None:
        self._waiting.append(record)
        self._waiting_chars += count_chars(record)
        while (
            len(self._waiting) > MAX_WAITING_RECORDS
            or self._waiting_chars > MAX_WAITING_CHARS
        ):
            # Dropping the oldest record has the same effect as a trim up to
            # it.
            dropped = self._waiting.popleft()
            self._waiting_chars -= count_chars(dropped)
            self._gap = max(self._gap, dropped.offset + 1)
            self.ignored['waiting'] += 1

    def _check_snapshot(
        self, offset: int, snapshot: list[records.DocumentRestated]
    ) -> None:
        """Check that a restatement has only documents that were in force."""
        for item in snapshot:
            current = self.in_force.get(item.environment)
            newer = current is None or item.revision > current.revision
            self._expect('restated_is_not_newer', not newer)
            if current is not None and current.revision == item.revision:
                self._expect('restated_is_same', current.digest == item.digest)
        self._expect('restated_read_before', snapshot[0].read_to < offset)

    def _expect(self, name: str, holds: bool) -> None:
        self.checked[name] += 1
        if not holds:
            self.violated[name] += 1

    def _apply_items(self, record: LogRecord) -> list[Verdict]:
        verdicts = []
        for item in record.items:
            if isinstance(item, records.Tried | records.Promoted):
                verdict = self._decide(record.offset, item)
                verdicts.append(verdict)
                self.history.append(verdict)
            elif not isinstance(item, records.DocumentRestated):
                self.ignored['foreign'] += 1
        return verdicts

    def _decide(
        self, offset: int, item: records.Tried | records.Promoted
    ) -> Verdict:
        kind: DocumentKind = 'trial'
        if isinstance(item, records.Promoted):
            kind = 'production'
        doc = self.in_force.get(item.environment)
        current = doc.revision if doc is not None else 0
        refused = self._describe_fault(item, kind, doc)
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

    def _describe_fault(
        self,
        item: records.Tried | records.Promoted,
        kind: DocumentKind,
        doc: DocumentInForce | None,
    ) -> str:
        if doc is None and len(self.in_force) >= MAX_ENVIRONMENTS:
            return f'there are {MAX_ENVIRONMENTS} environments already'
        if doc is not None and doc.kind != kind:
            return f'{item.environment} is a {doc.kind} environment'
        current = doc.revision if doc is not None else 0
        if item.base != current:
            return f'is based on revision {item.base}, not on {current}'
        if not document_text.has_digest(item.text, item.digest):
            return 'text does not have the digest'
        if isinstance(item, records.Promoted):
            # The revision prevents that a repeated record, once refused,
            # becomes valid when the same text is tried again.
            tried = self.find_trial(item.digest)
            if tried is None or tried.revision != item.tried:
                return 'digest is not in force in trial at that revision'
        return ''

    def find_trial(self, digest: str) -> DocumentInForce | None:
        """Return the newest trial document with a digest."""
        found = [
            doc
            for doc in self.in_force.values()
            if doc.kind == 'trial' and doc.digest == digest
        ]
        return max(found, key=lambda doc: doc.revision, default=None)

    def restate(self) -> tuple[records.DocumentRestated, ...]:
        """Return the items of one record that restates all documents.

        Empty if trimmed records are missing from the state.
        """
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


def count_chars(record: LogRecord) -> int:
    """Return the number of characters of the texts in a log record."""
    return sum(len(getattr(item, 'text', '')) for item in record.items)


def read_snapshot(
    items: abc.Iterable[typing.Any],
) -> list[records.DocumentRestated]:
    """Return the restated documents of one record with their texts.

    Empty if the record is no restatement or not a valid one.
    """
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
    """Store the document that a process follows; it is never an older one."""

    def __init__(self) -> None:
        # None before the first document.
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
        """Follow a document if it is newer; return whether it is."""
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
    """Decide when a starting process may follow a document as in force.

    It may once the log was read, or once all peers have answered and the
    document is at least as new as the newest of theirs.
    """

    def __init__(self, peers: abc.Iterable[str]) -> None:
        # Addresses of the configured peers that have not answered.
        self.unanswered = set(peers)
        # Highest revision that a peer reported.
        self.highest_of_peers = 0
        # Highest revision that a connected sidecar reported.
        self.highest_of_sidecars = 0
        # Whether the log was read to its end.
        self.log_read = False

    def peer_answered(self, address: str, revision: int) -> None:
        """Record the revision that a peer reported."""
        self.unanswered.discard(address)
        self.highest_of_peers = max(self.highest_of_peers, revision)

    def peer_unreachable(self, address: str) -> None:
        """Stop waiting for a peer at whose address no process listens."""
        self.unanswered.discard(address)

    def sidecar_reported(self, revision: int) -> None:
        """Record the revision that a connected sidecar reported."""
        self.highest_of_sidecars = max(self.highest_of_sidecars, revision)

    def is_ready(self, revision: int) -> bool:
        """Return whether `revision` may be followed as the one in force."""
        if self.log_read:
            return True
        return not self.unanswered and revision >= self.highest_of_peers

"""Test that all readers of the log agree on the document in force."""

import dataclasses
import random

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from kcr_core import configuration
from kcr_core import document_text
from kcr_core import records

TEXTS = tuple(f'text {number}' for number in range(4))
# Number of last states that views may show; a view of age 1 is current.
MAX_VIEW_AGE = 6


def make_tried(base: int, text: str, env: str = 'trial') -> records.Tried:
    """Return a record that tries a text."""
    return records.Tried(env, base, document_text.infer_digest(text), text)


def make_promoted(
    base: int, text: str, tried: int, env: str = 'prod'
) -> records.Promoted:
    """Return a record that promotes a text."""
    digest = document_text.infer_digest(text)
    return records.Promoted(env, base, digest, text, tried=tried)


class ConcurrentOperators(stateful.RuleBasedStateMachine):
    """Run concurrent operators, repeats, trims and peers on one log."""

    def __init__(self) -> None:
        super().__init__()
        # Every record, also the trimmed ones; the offset is the index + 1.
        self.log: list[configuration.LogRecord] = []
        # First offset that is kept.
        self.first = 1
        # Applies every record as it is written.
        self.full = configuration.Fold()
        # Last states, newest last, that operators and peers may still use.
        self.views = [dict(self.full.in_force)]
        # Restatements that are not appended yet.
        self.prepared: list[tuple[records.DocumentRestated, ...]] = []
        # Processes that follow production, and their last revisions.
        self.processes = [configuration.FollowedDocument() for _ in range(3)]
        self.revisions = [0, 0, 0]

    def append(self, *items: object) -> None:
        """Write one record and apply it to the reader of all records."""
        record = configuration.LogRecord(len(self.log) + 1, items)
        self.log.append(record)
        self.full.apply(record)
        self.views = [*self.views, dict(self.full.in_force)][-MAX_VIEW_AGE:]

    @stateful.rule(
        age=strategies.integers(1, MAX_VIEW_AGE),
        text=strategies.sampled_from(TEXTS),
    )
    def try_text(self, age: int, text: str) -> None:
        """Try a text on a base that may be stale."""
        view = self.views[-min(age, len(self.views))]
        base = view['trial'].revision if 'trial' in view else 0
        self.append(make_tried(base, text))

    @stateful.rule(age=strategies.integers(1, MAX_VIEW_AGE))
    def promote(self, age: int) -> None:
        """Promote what a view that may be stale shows in trial."""
        view = self.views[-min(age, len(self.views))]
        if 'trial' not in view:
            return
        tried = view['trial']
        base = view['prod'].revision if 'prod' in view else 0
        self.append(make_promoted(base, tried.text, tried.revision))

    @stateful.rule(back=strategies.integers(1, 8))
    def repeat(self, back: int) -> None:
        """Repeat a record under a new offset, as after a lost answer."""
        if self.log:
            self.append(*self.log[-min(back, len(self.log))].items)

    @stateful.rule()
    def prepare_restatement(self) -> None:
        """Prepare a restatement that may be appended much later."""
        items = self.full.restate()
        if items:
            self.prepared.append(items)

    @stateful.rule()
    def append_restatement(self) -> None:
        """Append the oldest prepared restatement."""
        if self.prepared:
            self.append(*self.prepared.pop(0))

    @stateful.rule(by=strategies.integers(1, 10))
    def trim(self, by: int) -> None:
        """Trim old records."""
        self.first = min(len(self.log) + 1, self.first + by)

    @stateful.rule(
        who=strategies.integers(0, 2), age=strategies.integers(1, MAX_VIEW_AGE)
    )
    def receive_from_peer(self, who: int, age: int) -> None:
        """Adopt the document of a peer that may be stale."""
        view = self.views[-min(age, len(self.views))]
        if 'prod' in view:
            self.processes[who].adopt(view['prod'])

    @stateful.invariant()
    def late_reader_agrees(self) -> None:
        """Guard against readers that disagree after a trim."""
        late_reader = configuration.Fold()
        late_reader.skip_trimmed(self.first)
        for record in self.log[self.first - 1 :]:
            late_reader.apply(record)
            late_reader.apply(record)
        if late_reader.is_complete:
            assert late_reader.in_force == self.full.in_force
        assert not late_reader.violated

    @stateful.invariant()
    def full_reader_is_consistent(self) -> None:
        """Guard against failed assertions and a revision that decreases."""
        assert not self.full.violated
        for index, process in enumerate(self.processes):
            assert process.revision >= self.revisions[index]
            assert not process.violated
            self.revisions[index] = process.revision

    @stateful.invariant()
    def production_was_tried(self) -> None:
        """Guard against a production document that was never in trial."""
        prod = self.full.in_force.get('prod')
        if prod is None:
            return
        tried = {
            item.digest
            for record in self.log[: prod.revision]
            for item in record.items
            if isinstance(item, records.Tried)
        }
        assert prod.digest in tried


ConcurrentOperators.TestCase.settings = settings(
    max_examples=300, stateful_step_count=40, derandomize=True, deadline=None
)
TestConcurrentOperators = ConcurrentOperators.TestCase


def test_first_record_on_a_base_wins() -> None:
    """Guard against putting two changes of the same base in force."""
    fold = configuration.Fold()
    first = fold.apply(configuration.LogRecord(1, (make_tried(0, 'a'),)))
    second = fold.apply(configuration.LogRecord(2, (make_tried(0, 'b'),)))
    assert first[0].refused == ''
    assert second[0].refused == 'is based on revision 0, not on 1'
    assert fold.in_force['trial'].text == 'a'


def test_refused_promotion_stays_refused_when_repeated() -> None:
    """Guard against a repeated promotion that takes effect later."""
    fold = configuration.Fold()
    fold.apply(configuration.LogRecord(1, (make_tried(0, 'a'),)))
    fold.apply(configuration.LogRecord(2, (make_tried(1, 'b'),)))
    promotion = make_promoted(0, 'a', 1)
    assert fold.apply(configuration.LogRecord(3, (promotion,)))[0].refused
    fold.apply(configuration.LogRecord(4, (make_tried(2, 'a'),)))
    assert fold.apply(configuration.LogRecord(5, (promotion,)))[0].refused


def test_text_without_its_digest_is_refused() -> None:
    """Guard against a text that differs from the digest that is tried."""
    fold = configuration.Fold()
    item = dataclasses.replace(make_tried(0, 'a'), text='b')
    assert fold.apply(configuration.LogRecord(1, (item,)))[0].refused


def test_environment_keeps_its_kind() -> None:
    """Guard against trying a document in production."""
    fold = configuration.Fold()
    fold.apply(configuration.LogRecord(1, (make_tried(0, 'a'),)))
    fold.apply(configuration.LogRecord(2, (make_promoted(0, 'a', 1),)))
    item = make_tried(2, 'b', 'prod')
    verdict = fold.apply(configuration.LogRecord(3, (item,)))[0]
    assert verdict.refused == 'prod is a production environment'


def test_stale_restatement_does_not_cover_a_trim() -> None:
    """Guard against an old document that is in force again after a trim."""
    full = configuration.Fold()
    full.apply(configuration.LogRecord(1, (make_tried(0, 'a'),)))
    stale = full.restate()
    late_reader = configuration.Fold()
    late_reader.skip_trimmed(3)
    late_reader.apply(configuration.LogRecord(3, stale))
    late_reader.apply(configuration.LogRecord(4, (make_tried(1, 'c'),)))
    assert not late_reader.is_complete


def test_waiting_records_are_bounded() -> None:
    """Guard against memory growth while no restatement arrives."""
    fold = configuration.Fold()
    fold.skip_trimmed(10)
    text = 'x' * (configuration.MAX_WAITING_CHARS // 4)
    for offset in range(10, 20):
        fold.apply(configuration.LogRecord(offset, (make_tried(0, text),)))
    assert fold.ignored['waiting'] == 6


def test_packed_text_is_bounded_and_complete() -> None:
    """Guard against a text too large for a record and a zip bomb."""
    text = ''.join(f'name-{number}\n' for number in range(50_000))
    packed = document_text.pack(text)
    assert len(packed) < 256 * 1024
    assert document_text.unpack(packed) == text
    bomb = document_text.pack('x' * (document_text.MAX_TEXT_CHARS + 1))
    digest = document_text.infer_digest('x')
    assert not document_text.has_digest(bomb, digest)
    assert not document_text.has_digest('zlib:?', digest)
    assert not document_text.has_digest('zlib:AAAA', digest)


def test_start_waits_for_every_peer_or_the_log() -> None:
    """Guard against starting with an old document while the log is down."""
    rng = random.Random(1)
    peers = ['a', 'b', 'c']
    boot = configuration.Bootstrap(peers)
    rng.shuffle(peers)
    for peer in peers[:-1]:
        boot.peer_answered(peer, 7)
        assert not boot.is_ready(7)
    boot.peer_unreachable(peers[-1])
    assert not boot.is_ready(6)
    assert boot.is_ready(7)
    fresh = configuration.Bootstrap(peers)
    fresh.log_read = True
    assert fresh.is_ready(0)

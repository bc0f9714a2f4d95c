"""Check that the claims of several entries run a request at most once."""

from collections import abc
import dataclasses
import random
import typing

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from kcr_core import claimant
from kcr_core import claims
from kcr_core import outcomes
from kcr_core import records

WINDOW_MS = claims.Limits().window_ms
RETENTION_MS = 3 * WINDOW_MS
KEYS = ('c/1', 'c/2', 'c/3')


@dataclasses.dataclass
class Question:
    """Follow one submission of a request to one entry."""

    # Key and time of issue.
    request: str
    issued_at_ms: int
    # Whether the caller was answered "not run".
    not_run: bool = False
    # Whether the request was sent.
    sent: bool = False
    # Whether the right to send waits in the mailbox of the sender.
    won: bool = False
    # Whether the caller's deadline has passed.
    late: bool = False


class Entry:
    """Hold one entry, its reader's position and its appends in flight."""

    def __init__(self, name: str, skew_ms: int) -> None:
        # Difference of its clock.
        self.skew_ms = skew_ms
        # Decisions of the entry.
        self.claimant = claimant.Claimant(name, name, claims.Table(limit=50))
        # Offset of the last record that it read.
        self.position = 0
        # Appends without an answer, and whether each was stored.
        self.in_flight: list[list[typing.Any]] = []
        # Submissions by name.
        self.questions: dict[str, Question] = {}


class World:
    """Run several entries on one log with every kind of failure."""

    def __init__(self) -> None:
        self.now_ms = 10 * WINDOW_MS
        self.log: list[tuple[int, int, typing.Any]] = []
        self.last = 0
        self.names = 0
        self.issued = {key: self.now_ms for key in KEYS}
        self.sent: dict[str, list[int]] = {key: [] for key in KEYS}
        self.entries = [self.make_entry(skew) for skew in (-900, 0, 900)]

    def make_entry(self, skew_ms: int) -> Entry:
        """Return an entry with a new incarnation."""
        self.names += 1
        return Entry(f'e{self.names}', skew_ms)

    def clock(self, entry: Entry) -> int:
        """Return the time on the clock of an entry."""
        return self.now_ms + entry.skew_ms

    def perform(self, entry: Entry, steps: list[claimant.Step]) -> None:
        """Carry out the steps of an entry."""
        for step in steps:
            if isinstance(step, claimant.Write):
                entry.in_flight.append([step.token, step.item, False])
            elif isinstance(step, claimant.Decided):
                question = entry.questions[step.query]
                if isinstance(step.decision, claimant.Won):
                    question.won = True
                elif isinstance(step.decision, claimant.NotClaimed):
                    question.not_run = True

    def store(self, item: typing.Any) -> None:
        """Put an item into the log."""
        self.last += 1
        self.log.append((self.last, self.now_ms, item))

    def submit(self, index: int, key: str) -> None:
        """Submit a request, or a repeat of it, to any entry."""
        entry = self.entries[index]
        self.names += 1
        name = f'q{self.names}'
        entry.questions[name] = Question(key, self.issued[key])
        steps = entry.claimant.begin(
            name, key, 'd', self.issued[key], self.clock(entry)
        )
        self.perform(entry, steps)

    def issue(self, key: str) -> None:
        """Use an id again with a new time of issue."""
        self.issued[key] = self.now_ms

    def append(self, index: int, pick: int, fate: str) -> None:
        """End or repeat one append, with or without an effect."""
        entry = self.entries[index]
        if not entry.in_flight:
            return
        flight = entry.in_flight[pick % len(entry.in_flight)]
        token, item, maybe_stored = flight
        if fate in ('stored', 'lost'):
            self.store(item)
        if fate == 'lost':
            flight[2] = True
            return
        if fate != 'unknown':
            entry.in_flight.remove(flight)
        if isinstance(item, records.Released):
            return
        outcome: outcomes.AppendOutcome = outcomes.AppendUnknown('lost')
        if fate == 'stored':
            outcome = outcomes.Appended(self.last)
        elif fate == 'refused' and not maybe_stored:
            outcome = outcomes.NotAppended('log is down')
        self.perform(entry, entry.claimant.append_ended(token, outcome))
        if fate == 'unknown':
            flight[2] = True

    def read(self, index: int, count: int) -> None:
        """Read some records."""
        entry = self.entries[index]
        first = self.log[0][0] if self.log else self.last + 1
        if first > entry.position + 1:
            entry.position = first - 1
            before = self.clock(entry) - RETENTION_MS
            entry.claimant.table.record_gap(before, entry.claimant.limits)
        new = [r for r in self.log if r[0] > entry.position][:count]
        for offset, _, item in new:
            entry.position = offset
            steps = entry.claimant.apply(item, self.clock(entry))
            self.perform(entry, steps)

    def send(self, index: int, refused: bool) -> None:
        """Use the rights that an entry has won."""
        entry = self.entries[index]
        for name, question in entry.questions.items():
            if not question.won or question.late:
                continue
            question.won = False
            if refused:
                question.not_run = True
            else:
                question.sent = True
                self.sent[question.request].append(question.issued_at_ms)
            steps = entry.claimant.finalize(name, not refused)
            self.perform(entry, steps)

    def pass_deadlines(self, index: int) -> None:
        """Let the deadline of every open submission pass."""
        entry = self.entries[index]
        for name, question in entry.questions.items():
            if question.sent or question.not_run or question.late:
                continue
            question.late = True
            self.perform(entry, entry.claimant.cancel(name))

    def release_again(self, index: int) -> None:
        """Repeat the releases that are not read back."""
        entry = self.entries[index]
        for token in entry.claimant.releasing():
            self.perform(entry, entry.claimant.release_again(token))

    def die(self, index: int) -> None:
        """Replace an entry; its appends may still take effect."""
        entry = self.entries[index]
        for _, item, _ in entry.in_flight[:2]:
            self.store(item)
        self.entries[index] = self.make_entry(entry.skew_ms)

    def wait(self, passed: int) -> None:
        """Let time pass; trim the log and forget by age."""
        self.now_ms += passed
        self.log = [r for r in self.log if r[1] >= self.now_ms - RETENTION_MS]
        for entry in self.entries:
            entry.claimant.drop_expired(self.clock(entry))

    def check(self) -> None:
        """Check that no request ran twice or after "not run"."""
        for issued in self.sent.values():
            ordered = sorted(issued[-4:])
            for earlier, later in zip(ordered, ordered[1:]):
                assert later - earlier > WINDOW_MS, 'request ran twice'
        for entry in self.entries:
            for question in entry.questions.values():
                assert not (question.sent and question.not_run)


Step = abc.Callable[[World, int, int], None]
# Steps with their weights; each takes an entry and a number to choose by.
FATES = ('stored', 'stored', 'stored', 'lost', 'refused', 'unknown')
WAITS = (*(10, 100) * 4, 3_000, 3_000, WINDOW_MS // 2, WINDOW_MS + 1)
STEPS: tuple[tuple[int, Step], ...] = (
    (8, lambda w, i, n: w.submit(i, KEYS[n % 3])),
    (2, lambda w, i, n: w.issue(KEYS[n % 3])),
    (16, lambda w, i, n: w.append(i, n // 6, FATES[n % 6])),
    (16, lambda w, i, n: w.read(i, 1 + n % 20)),
    (8, lambda w, i, n: w.send(i, n % 4 == 0)),
    (2, lambda w, i, n: w.pass_deadlines(i)),
    (2, lambda w, i, n: w.release_again(i)),
    (1, lambda w, i, n: w.die(i)),
    (2, lambda w, i, n: w.wait(WAITS[n % 12])),
)
WEIGHTED = [step for weight, step in STEPS for _ in range(weight)]


class Claims(stateful.RuleBasedStateMachine):
    """Let hypothesis choose the steps, so that a failure is shrunk."""

    def __init__(self) -> None:
        super().__init__()
        self.world = World()

    @stateful.rule(
        chosen=st.lists(
            st.tuples(
                st.sampled_from(WEIGHTED),
                st.integers(0, 2),
                st.integers(0, 119),
            ),
            min_size=1,
            max_size=12,
        )
    )
    def step(self, chosen: list[tuple[Step, int, int]]) -> None:
        """Take some steps."""
        for run, index, number in chosen:
            run(self.world, index, number)
            self.world.check()


TestClaims = Claims.TestCase
TestClaims.settings = settings(
    derandomize=True,
    max_examples=150,
    stateful_step_count=20,
    deadline=None,
)


@pytest.mark.parametrize('seed', range(10))
def test_long_walk_runs_each_request_at_most_once(seed: int) -> None:
    """Guard against faults that need more steps than a shrunk example."""
    rng = random.Random(seed)
    world = World()
    for _ in range(4000):
        run = rng.choice(WEIGHTED)
        run(world, rng.randrange(3), rng.randrange(120))
        world.check()
    assert sum(map(len, world.sent.values())) > 0, 'nothing was sent'


def make_pair() -> tuple[claimant.Claimant, claimant.Claimant]:
    """Return the claimants of two entries."""
    return (
        claimant.Claimant('a', 'a', claims.Table()),
        claimant.Claimant('b', 'b', claims.Table()),
    )


def write_of(steps: list[claimant.Step]) -> claimant.Write:
    """Return the only item that is to be written."""
    (step,) = [s for s in steps if isinstance(s, claimant.Write)]
    return step


def test_release_that_is_not_durable_yet_delays_and_does_not_refuse() -> None:
    """Guard against "unknown" when the winner gave up before sending."""
    one, two = make_pair()
    first = write_of(one.begin('q1', 'c/1', 'd', 1000, 1000))
    release = write_of(one.cancel('q1'))
    two.apply(first.item, 1000)
    (step,) = two.begin('q2', 'c/1', 'd', 1000, 1000)
    assert step == claimant.Contended('q2', 'c/1', 'a')
    assert one.is_given_up('c/1')
    again = write_of(two.apply(release.item, 1000))
    assert two.apply(again.item, 1000) == [
        claimant.Decided('q2', claimant.Won())
    ]


def test_late_repeat_of_a_released_claim_does_not_block() -> None:
    """Guard against a claim that holds again after its release."""
    one, two = make_pair()
    first = write_of(one.begin('q1', 'c/1', 'd', 1000, 1000))
    release = write_of(one.cancel('q1'))
    for item in (release.item, first.item):
        two.apply(item, 1000)
    assert two.table.holder('c/1') is None


def test_release_of_a_later_use_of_the_id_restores_the_earlier_claim() -> None:
    """Guard against a second run after the id was claimed for a later use."""
    table = claims.Table()
    issued = 1_000_000
    later = issued + WINDOW_MS + 1
    table.apply(records.Claimed('c/1', 'd', 'a', issued, 'a:1'))
    table.apply(records.Claimed('c/1', 'd', 'b', later, 'b:1'))
    table.apply(records.Released('c/1', 'b', 'b:1'))
    blocking = table.blocking('c/1', issued + WINDOW_MS)
    assert blocking is not None and blocking.token == 'a:1'
    assert table.blocking('c/1', later) is None


def test_other_content_is_a_conflict() -> None:
    """Guard against running an id with other content."""
    one, two = make_pair()
    first = write_of(one.begin('q1', 'c/1', 'd', 1000, 1000))
    two.apply(first.item, 1000)
    (step,) = two.begin('q2', 'c/1', 'other', 1000, 1000)
    assert step == claimant.Decided('q2', claimant.Changed())


def test_request_outside_the_window_is_refused() -> None:
    """Guard against claiming what a forgotten claim may have run."""
    one, _ = make_pair()
    now = 10 * WINDOW_MS
    (step,) = one.begin('q1', 'c/1', 'd', now - WINDOW_MS, now)
    assert step == claimant.Decided('q1', claimant.TooOld())
    (step,) = one.begin('q2', 'c/1', 'd', now + 2_001, now)
    assert isinstance(step, claimant.Decided)
    assert isinstance(step.decision, claimant.NotClaimed)


def test_full_table_never_wins_what_it_forgot() -> None:
    """Guard against a second run after the table dropped a claim."""
    table = claims.Table(limit=10)
    for i in range(30):
        issued = 1_000_000 + i
        table.apply(records.Claimed(f'c/{i}', 'd', 'b', issued, f'b:{i}'))
    assert len(table) == 10
    assert table.is_full()
    forgotten = 1_000_000 + 19 + WINDOW_MS
    now = forgotten + 1
    limits = claims.Limits()
    assert table.check_age(forgotten, now, limits) == 'too_old'
    assert table.check_age(forgotten + 1, now, limits) == 'ok'


def test_claim_is_kept_as_long_as_a_request_can_lose_to_it() -> None:
    """Guard against readers that disagree because one forgot a claim."""
    table = claims.Table()
    limits = claims.Limits()
    table.apply(records.Claimed('c/1', 'd', 'b', 1_000_000, 'b:1'))
    until = 1_000_000 + WINDOW_MS
    last = until + limits.window_ms - limits.allowance_ms
    table.drop_expired(last, limits)
    assert table.check_age(until, last, limits) == 'ok'
    assert table.blocking('c/1', until) is not None
    table.drop_expired(last + 1, limits)
    assert table.check_age(until, last + 1, limits) == 'too_old'
    assert len(table) == 0

"""Check that a claimed request runs at most once on several entries."""

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
class Submission:
    """Represent one submission of a request to one entry."""

    # Key and time of issue.
    request: str
    issued_at_ms: int
    # Whether the caller got the answer "not run".
    not_run: bool = False
    # Whether the request was sent.
    sent: bool = False
    # Whether the claim was won and the request is not sent yet.
    won: bool = False
    # Whether the caller's deadline has passed.
    late: bool = False


class Entry:
    """Store one entry, its reader's position and its appends in flight."""

    def __init__(self, name: str, skew_ms: int) -> None:
        # Offset of its clock from the time of the harness.
        self.skew_ms = skew_ms
        # Decisions of the entry.
        self.claimant = claimant.Claimant(name, name, claims.Table(limit=50))
        # Offset of the last record that it read.
        self.position = 0
        # Name, record and whether it may be stored of each pending append.
        self.in_flight: list[list[typing.Any]] = []
        # Submissions by name.
        self.submissions: dict[str, Submission] = {}


class Harness:
    """Run several entries on one log with all kinds of failures."""

    def __init__(self) -> None:
        self.now_ms = 10 * WINDOW_MS
        self.log: list[tuple[int, int, typing.Any]] = []
        self.last_offset = 0
        self.name_count = 0
        self.issued = {key: self.now_ms for key in KEYS}
        self.sent: dict[str, list[int]] = {key: [] for key in KEYS}
        self.entries = [self.make_entry(skew) for skew in (-900, 0, 900)]

    def make_entry(self, skew_ms: int) -> Entry:
        """Return an entry with a new incarnation."""
        self.name_count += 1
        return Entry(f'e{self.name_count}', skew_ms)

    def clock(self, entry: Entry) -> int:
        """Return the time on the clock of an entry."""
        return self.now_ms + entry.skew_ms

    def perform(self, entry: Entry, steps: list[claimant.Step]) -> None:
        """Carry out the steps of an entry."""
        for step in steps:
            if isinstance(step, claimant.Write):
                entry.in_flight.append([step.token, step.item, False])
            elif isinstance(step, claimant.Decided):
                submission = entry.submissions[step.query]
                if isinstance(step.decision, claimant.Won):
                    submission.won = True
                elif isinstance(step.decision, claimant.NotClaimed):
                    submission.not_run = True

    def store(self, item: typing.Any) -> None:
        """Append an item to the log."""
        self.last_offset += 1
        self.log.append((self.last_offset, self.now_ms, item))

    def submit(self, index: int, key: str) -> None:
        """Submit a request, or a repeat of it, to any entry."""
        entry = self.entries[index]
        self.name_count += 1
        name = f'q{self.name_count}'
        entry.submissions[name] = Submission(key, self.issued[key])
        steps = entry.claimant.begin(
            name, key, 'd', self.issued[key], self.clock(entry)
        )
        self.perform(entry, steps)

    def issue(self, key: str) -> None:
        """Reuse an id with a new time of issue."""
        self.issued[key] = self.now_ms

    def append(self, index: int, pick: int, result: str) -> None:
        """End or repeat one append; the record may be stored."""
        entry = self.entries[index]
        if not entry.in_flight:
            return
        entry_append = entry.in_flight[pick % len(entry.in_flight)]
        token, item, maybe_stored = entry_append
        if result in ('stored', 'lost'):
            self.store(item)
        if result == 'lost':
            entry_append[2] = True
            return
        if result != 'unknown':
            entry.in_flight.remove(entry_append)
        if isinstance(item, records.Released):
            return
        outcome: outcomes.AppendOutcome = outcomes.AppendUnknown('lost')
        if result == 'stored':
            outcome = outcomes.Appended(self.last_offset)
        elif result == 'refused' and not maybe_stored:
            outcome = outcomes.NotAppended('log is down')
        self.perform(entry, entry.claimant.append_ended(token, outcome))
        if result == 'unknown':
            entry_append[2] = True

    def read(self, index: int, count: int) -> None:
        """Read some records."""
        entry = self.entries[index]
        first = self.log[0][0] if self.log else self.last_offset + 1
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
        """Send or refuse the requests whose claims an entry has won."""
        entry = self.entries[index]
        for name, submission in entry.submissions.items():
            if not submission.won or submission.late:
                continue
            submission.won = False
            if refused:
                submission.not_run = True
            else:
                submission.sent = True
                self.sent[submission.request].append(submission.issued_at_ms)
            steps = entry.claimant.finalize(name, not refused)
            self.perform(entry, steps)

    def expire_deadlines(self, index: int) -> None:
        """Cancel every open submission as at its deadline."""
        entry = self.entries[index]
        for name, submission in entry.submissions.items():
            if submission.sent or submission.not_run or submission.late:
                continue
            submission.late = True
            self.perform(entry, entry.claimant.cancel(name))

    def release_again(self, index: int) -> None:
        """Repeat the releases that were not read back yet."""
        entry = self.entries[index]
        for token in entry.claimant.releasing():
            self.perform(entry, entry.claimant.release_again(token))

    def kill(self, index: int) -> None:
        """Replace an entry; its appends may still take effect."""
        entry = self.entries[index]
        for _, item, _ in entry.in_flight[:2]:
            self.store(item)
        self.entries[index] = self.make_entry(entry.skew_ms)

    def wait(self, passed: int) -> None:
        """Advance the time; trim the log and drop expired claims."""
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
            for submission in entry.submissions.values():
                assert not (submission.sent and submission.not_run)


Step = abc.Callable[[Harness, int, int], None]
APPEND_RESULTS = ('stored', 'stored', 'stored', 'lost', 'refused', 'unknown')
WAITS = (*(10, 100) * 4, 3_000, 3_000, WINDOW_MS // 2, WINDOW_MS + 1)
# Weight of each step. A step takes the harness, the index of an entry and a
# number that selects its arguments.
STEPS: tuple[tuple[int, Step], ...] = (
    (8, lambda h, i, n: h.submit(i, KEYS[n % 3])),
    (2, lambda h, i, n: h.issue(KEYS[n % 3])),
    (16, lambda h, i, n: h.append(i, n // 6, APPEND_RESULTS[n % 6])),
    (16, lambda h, i, n: h.read(i, 1 + n % 20)),
    (8, lambda h, i, n: h.send(i, n % 4 == 0)),
    (2, lambda h, i, n: h.expire_deadlines(i)),
    (2, lambda h, i, n: h.release_again(i)),
    (1, lambda h, i, n: h.kill(i)),
    (2, lambda h, i, n: h.wait(WAITS[n % 12])),
)
WEIGHTED = [step for weight, step in STEPS for _ in range(weight)]


class Claims(stateful.RuleBasedStateMachine):
    """Run steps chosen by Hypothesis, which shrinks a failing sequence."""

    def __init__(self) -> None:
        super().__init__()
        self.harness = Harness()

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
        """Run some steps."""
        for run, index, number in chosen:
            run(self.harness, index, number)
            self.harness.check()


TestClaims = Claims.TestCase
TestClaims.settings = settings(
    derandomize=True,
    max_examples=150,
    stateful_step_count=20,
    deadline=None,
)


@pytest.mark.parametrize('seed', range(10))
def test_long_walk_runs_each_request_at_most_once(seed: int) -> None:
    """Guard against faults that need more steps than one example has."""
    rng = random.Random(seed)
    harness = Harness()
    for _ in range(4000):
        run = rng.choice(WEIGHTED)
        run(harness, rng.randrange(3), rng.randrange(120))
        harness.check()
    assert sum(map(len, harness.sent.values())) > 0, 'nothing was sent'


def make_pair() -> tuple[claimant.Claimant, claimant.Claimant]:
    """Return the claimants of two entries."""
    return (
        claimant.Claimant('a', 'a', claims.Table()),
        claimant.Claimant('b', 'b', claims.Table()),
    )


def infer_write(steps: list[claimant.Step]) -> claimant.Write:
    """Return the only write among some steps."""
    (step,) = [s for s in steps if isinstance(s, claimant.Write)]
    return step


def test_request_waits_for_a_release_that_is_not_durable_yet() -> None:
    """Guard against "unknown" if the winner cancelled before sending."""
    one, two = make_pair()
    first = infer_write(one.begin('q1', 'c/1', 'd', 1000, 1000))
    release = infer_write(one.cancel('q1'))
    two.apply(first.item, 1000)
    (step,) = two.begin('q2', 'c/1', 'd', 1000, 1000)
    assert step == claimant.Contended('q2', 'c/1', 'a')
    assert one.is_given_up('c/1')
    again = infer_write(two.apply(release.item, 1000))
    assert two.apply(again.item, 1000) == [
        claimant.Decided('q2', claimant.Won())
    ]


def test_late_repeat_of_a_released_claim_does_not_block() -> None:
    """Guard against a repeated record that restores a released claim."""
    one, two = make_pair()
    first = infer_write(one.begin('q1', 'c/1', 'd', 1000, 1000))
    release = infer_write(one.cancel('q1'))
    for item in (release.item, first.item):
        two.apply(item, 1000)
    assert two.table.holder('c/1') is None


def test_release_of_a_later_use_of_the_id_restores_the_earlier_claim() -> None:
    """Guard against a second run after a later use of the id was claimed."""
    table = claims.Table()
    issued = 1_000_000
    later = issued + WINDOW_MS + 1
    table.apply(records.Claimed('c/1', 'd', 'a', issued, 'a:1'))
    table.apply(records.Claimed('c/1', 'd', 'b', later, 'b:1'))
    table.apply(records.Released('c/1', 'b', 'b:1'))
    blocking_claim = table.blocking('c/1', issued + WINDOW_MS)
    assert blocking_claim is not None and blocking_claim.token == 'a:1'
    assert table.blocking('c/1', later) is None


def test_different_content_is_a_conflict() -> None:
    """Guard against running an id with different content."""
    one, two = make_pair()
    first = infer_write(one.begin('q1', 'c/1', 'd', 1000, 1000))
    two.apply(first.item, 1000)
    (step,) = two.begin('q2', 'c/1', 'other', 1000, 1000)
    assert step == claimant.Decided('q2', claimant.Changed())


def test_request_outside_the_window_is_refused() -> None:
    """Guard against a second run after a claim was dropped by age."""
    one, _ = make_pair()
    now = 10 * WINDOW_MS
    (step,) = one.begin('q1', 'c/1', 'd', now - WINDOW_MS, now)
    assert step == claimant.Decided('q1', claimant.TooOld())
    (step,) = one.begin('q2', 'c/1', 'd', now + 2_001, now)
    assert isinstance(step, claimant.Decided)
    assert isinstance(step.decision, claimant.NotClaimed)


def test_full_table_does_not_claim_requests_that_it_dropped() -> None:
    """Guard against a second run after the full table dropped a claim."""
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
    """Guard against readers that disagree because one dropped a claim."""
    table = claims.Table()
    limits = claims.Limits()
    table.apply(records.Claimed('c/1', 'd', 'b', 1_000_000, 'b:1'))
    until = 1_000_000 + WINDOW_MS
    last_ms = until + limits.window_ms - limits.allowance_ms
    table.drop_expired(last_ms, limits)
    assert table.check_age(until, last_ms, limits) == 'ok'
    assert table.blocking('c/1', until) is not None
    table.drop_expired(last_ms + 1, limits)
    assert table.check_age(until, last_ms + 1, limits) == 'too_old'
    assert len(table) == 0

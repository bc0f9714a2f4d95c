"""Check the appender and the reader against the emulated log."""

import typing

import pytest

from kcr_core import outcomes
from kcr_core import records
from kcr_entry import addresses
from kcr_entry import events
from kcr_entry.log import appender
from kcr_entry.log import reader
import log_harness

STREAM = 'claims'


class Entry:
    """Store the log tasks of one entry."""

    def __init__(self, harness: log_harness.Harness, incarnation: str) -> None:
        # Harness with the clock and the log.
        self.harness = harness
        # Context of the entry.
        self.ctx = harness.make_context(incarnation)
        # Task that requests the appends.
        self.requester = log_harness.Probe(self.ctx, 'requester')
        # Subscriber of the stream.
        self.owner = log_harness.Probe(self.ctx, 'owner')
        for component in (
            self.requester,
            self.owner,
            appender.Appender(self.ctx, addresses.APPENDER),
        ):
            harness.start(component)
        self.ctx.directory.add('requester', self.requester)

    def read(self) -> None:
        """Start the reader."""
        component = reader.Reader(
            self.ctx, addresses.READERS['claims'], STREAM, ('owner',)
        )
        self.harness.start(component)

    def append(self, *tokens: str) -> None:
        """Request one append per token."""
        for token in tokens:
            items = (records.Released(token, self.ctx.incarnation),)
            req = events.Append(token, 'requester', STREAM, items)
            assert self.ctx.directory.send(addresses.APPENDER, req)

    def append_large(self, token: str) -> None:
        """Request one append that fills a record."""
        items = (records.Released(token, 'a'),) * records.MAX_ITEMS
        req = events.Append(token, 'requester', STREAM, items)
        assert self.ctx.directory.send(addresses.APPENDER, req)

    def outcome(self, token: str) -> typing.Any:
        """Return the outcome of an append; None before it ended."""
        ended = [
            e.outcome
            for e in self.requester.of(events.AppendEnded)
            if e.token == token
        ]
        assert len(ended) <= 1, 'an append has at most one outcome'
        return ended[0] if ended else None

    def items(self) -> list[str]:
        """Return the keys of the items that the subscriber received."""
        return [
            item.item.request
            for read in self.owner.of(events.LogRead)
            for item in read.items
        ]


@pytest.fixture
def harness() -> log_harness.Harness:
    """Return a harness with an emulated log."""
    return log_harness.Harness()


def test_concurrent_appends_share_one_record(
    harness: log_harness.Harness,
) -> None:
    """Guard against one append per request, more than the log accepts."""
    entry = Entry(harness, 'a')
    entry.append(*(f't{i}' for i in range(100)))
    harness.run(0.1)
    assert harness.log.counts['appends'] == 1
    for i in range(100):
        assert entry.outcome(f't{i}') == outcomes.Appended(1)


def test_lost_answer_is_found_by_reading(harness: log_harness.Harness) -> None:
    """Guard against `AppendUnknown` or a second item after a lost answer."""
    entry = Entry(harness, 'a')
    entry.read()
    harness.log.lose_next = 2
    entry.append('t1')
    harness.run(0.5)
    assert isinstance(entry.outcome('t1'), outcomes.Appended)
    harness.run(2.0)
    assert entry.items() == ['t1']


def test_lost_answer_is_repaired_by_a_repeat_with_the_same_id(
    harness: log_harness.Harness,
) -> None:
    """Guard against applying both copies of a repeated record."""
    entry = Entry(harness, 'a')
    harness.log.lose_next = 1
    entry.append('t1')
    harness.run(0.5)
    assert isinstance(entry.outcome('t1'), outcomes.Appended)
    assert harness.log.streams[STREAM].last == 2
    entry.read()
    harness.run(0.5)
    assert entry.items() == ['t1']


def test_append_refused_by_the_log_is_not_appended(
    harness: log_harness.Harness,
) -> None:
    """Guard against a wait or `AppendUnknown` while the log refuses."""
    entry = Entry(harness, 'a')
    harness.log.outage = 'refuse'
    entry.append('t1')
    harness.run(0.1)
    assert isinstance(entry.outcome('t1'), outcomes.NotAppended)


def test_held_append_is_unknown_and_the_queue_is_refused(
    harness: log_harness.Harness,
) -> None:
    """Guard against a false `NotAppended` and an unbounded wait."""
    entry = Entry(harness, 'a')
    harness.log.outage = 'hold'
    entry.append('t1')
    harness.run(0.1)
    entry.append_large('t2')
    entry.append_large('t3')
    harness.run(appender.APPEND_TIMEOUT_S)
    assert isinstance(entry.outcome('t1'), outcomes.AppendUnknown)
    harness.run(appender.APPEND_TIMEOUT_S)
    assert isinstance(entry.outcome('t2'), outcomes.AppendUnknown)
    assert isinstance(entry.outcome('t3'), outcomes.NotAppended)


def test_rate_limit_delays_and_loses_nothing() -> None:
    """Guard against a refusal of appends that a short wait would admit."""
    harness = log_harness.Harness(appends_per_s=1)
    entry = Entry(harness, 'a')
    for i in range(3):
        entry.append(f't{i}')
        harness.run(0.1)
    harness.run(3.0)
    done = [entry.outcome(f't{i}') for i in range(3)]
    assert all(isinstance(o, outcomes.Appended) for o in done)
    assert harness.log.counts['appends_refused'] > 0


def test_full_queue_is_answered(harness: log_harness.Harness) -> None:
    """Guard against an unbounded queue in an outage."""
    entry = Entry(harness, 'a')
    harness.log.outage = 'hold'
    fitting = appender.MAX_QUEUED_ITEMS // records.MAX_ITEMS
    for i in range(fitting):
        entry.append_large(f't{i}')
    entry.append('more')
    harness.run(0.005)
    assert isinstance(entry.outcome('more'), outcomes.NotAppended)
    assert entry.outcome('t0') is None


def test_gap_and_malformed_records_are_reported(
    harness: log_harness.Harness,
) -> None:
    """Guard against a reader that stops at bad or trimmed records."""
    entry = Entry(harness, 'a')
    entry.append('t1')
    harness.run(0.1)
    entry.append('t2')
    harness.run(0.1)
    harness.log.streams[STREAM].append('bad', '{"items": 3}', 0.0)
    entry.append('t3')
    harness.run(0.1)
    harness.log.streams[STREAM].trim(2)
    entry.read()
    harness.run(0.5)
    assert entry.owner.of(events.LogGap) == [events.LogGap(STREAM, 2)]
    assert entry.items() == ['t2', 't3']
    counted = entry.ctx.metrics.read()
    assert counted['kcr.log_record_bad{stream=claims}'] == 1


def test_replay_delivers_the_stream_again(
    harness: log_harness.Harness,
) -> None:
    """Guard against a restarted subscriber that misses older items."""
    entry = Entry(harness, 'a')
    entry.read()
    entry.append('t1')
    harness.run(0.1)
    entry.ctx.directory.send(addresses.READERS['claims'], events.LogReplay())
    harness.run(1.5)
    assert entry.items() == ['t1', 't1']


def test_reader_goes_on_after_an_outage(harness: log_harness.Harness) -> None:
    """Guard against a reader that stops, or reports a stale view as fresh."""
    entry = Entry(harness, 'a')
    entry.read()
    harness.run(0.1)
    harness.log.outage = 'hold'
    harness.log._wake()
    harness.run(8.0)
    dump = entry.ctx.directory.dump()[addresses.READERS['claims']]
    assert dump['age_ms'] == -1
    harness.log.outage = 'none'
    harness.log._wake()
    entry.append('t1')
    harness.run(3.0)
    assert entry.items() == ['t1']

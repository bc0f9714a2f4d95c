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
    """Hold the log tasks of one entry."""

    def __init__(self, world: log_harness.Harness, incarnation: str) -> None:
        # World of the entry.
        self.world = world
        # Context of the entry.
        self.ctx = world.make_context(incarnation)
        # Asker of the appends.
        self.asker = log_harness.Probe(self.ctx, 'asker')
        # Subscriber of the stream.
        self.owner = log_harness.Probe(self.ctx, 'owner')
        for node in (
            self.asker,
            self.owner,
            appender.Appender(self.ctx, addresses.APPENDER),
        ):
            world.start(node)
        self.ctx.directory.add('asker', self.asker)

    def read(self) -> None:
        """Start the reader."""
        node = reader.Reader(
            self.ctx, addresses.READERS['claims'], STREAM, ('owner',)
        )
        self.world.start(node)

    def append(self, *tokens: str) -> None:
        """Ask for one append per token."""
        for token in tokens:
            items = (records.Released(token, self.ctx.incarnation),)
            ask = events.Append(token, 'asker', STREAM, items)
            assert self.ctx.directory.send(addresses.APPENDER, ask)

    def append_large(self, token: str) -> None:
        """Ask for one append that fills a record."""
        items = (records.Released(token, 'a'),) * records.MAX_ITEMS
        ask = events.Append(token, 'asker', STREAM, items)
        assert self.ctx.directory.send(addresses.APPENDER, ask)

    def outcome(self, token: str) -> typing.Any:
        """Return the outcome of an append; none before it ended."""
        ended = [
            e.outcome
            for e in self.asker.of(events.AppendEnded)
            if e.token == token
        ]
        assert len(ended) <= 1, 'an asker is answered once'
        return ended[0] if ended else None

    def items(self) -> list[str]:
        """Return the keys of the items that the subscriber got."""
        return [
            item.item.request
            for read in self.owner.of(events.LogRead)
            for item in read.items
        ]


@pytest.fixture
def world() -> log_harness.Harness:
    """Return a world with an emulated log."""
    return log_harness.Harness()


def test_appends_of_one_moment_share_one_record(
    world: log_harness.Harness,
) -> None:
    """Guard against an append per request, which the log cannot take."""
    entry = Entry(world, 'a')
    entry.append(*(f't{i}' for i in range(100)))
    world.run(0.1)
    assert world.log.counts['appends'] == 1
    for i in range(100):
        assert entry.outcome(f't{i}') == outcomes.Appended(1)


def test_lost_answer_is_found_by_reading(world: log_harness.Harness) -> None:
    """Guard against "unknown" or a second item after a lost answer."""
    entry = Entry(world, 'a')
    entry.read()
    world.log.lose_next = 2
    entry.append('t1')
    world.run(0.5)
    assert isinstance(entry.outcome('t1'), outcomes.Appended)
    world.run(2.0)
    assert entry.items() == ['t1']


def test_lost_answer_is_repaired_by_a_repeat_with_the_same_id(
    world: log_harness.Harness,
) -> None:
    """Guard against applying both copies of a repeated record."""
    entry = Entry(world, 'a')
    world.log.lose_next = 1
    entry.append('t1')
    world.run(0.5)
    assert isinstance(entry.outcome('t1'), outcomes.Appended)
    assert world.log.streams[STREAM].last == 2
    entry.read()
    world.run(0.5)
    assert entry.items() == ['t1']


def test_refusal_by_the_log_is_a_proof(world: log_harness.Harness) -> None:
    """Guard against waiting or "unknown" while the log refuses."""
    entry = Entry(world, 'a')
    world.log.outage = 'refuse'
    entry.append('t1')
    world.run(0.1)
    assert isinstance(entry.outcome('t1'), outcomes.NotAppended)


def test_held_append_is_unknown_and_the_queue_is_refused(
    world: log_harness.Harness,
) -> None:
    """Guard against a false "not appended" and an endless wait."""
    entry = Entry(world, 'a')
    world.log.outage = 'hold'
    entry.append('t1')
    world.run(0.1)
    entry.append_large('t2')
    entry.append_large('t3')
    world.run(appender.LIMIT_S)
    assert isinstance(entry.outcome('t1'), outcomes.AppendUnknown)
    world.run(appender.LIMIT_S)
    assert isinstance(entry.outcome('t2'), outcomes.AppendUnknown)
    assert isinstance(entry.outcome('t3'), outcomes.NotAppended)


def test_rate_limit_delays_and_loses_nothing() -> None:
    """Guard against a refusal where waiting a moment is enough."""
    world = log_harness.Harness(appends_per_s=1)
    entry = Entry(world, 'a')
    for i in range(3):
        entry.append(f't{i}')
        world.run(0.1)
    world.run(3.0)
    done = [entry.outcome(f't{i}') for i in range(3)]
    assert all(isinstance(o, outcomes.Appended) for o in done)
    assert world.log.counts['appends_refused'] > 0


def test_full_queue_is_answered(world: log_harness.Harness) -> None:
    """Guard against a queue without a bound in an outage."""
    entry = Entry(world, 'a')
    world.log.outage = 'hold'
    fitting = appender.QUEUE_ITEMS // records.MAX_ITEMS
    for i in range(fitting):
        entry.append_large(f't{i}')
    entry.append('more')
    world.run(0.005)
    assert isinstance(entry.outcome('more'), outcomes.NotAppended)
    assert entry.outcome('t0') is None


def test_gap_and_malformed_records_are_reported(
    world: log_harness.Harness,
) -> None:
    """Guard against a reader that stops at bad or trimmed records."""
    entry = Entry(world, 'a')
    entry.append('t1')
    world.run(0.1)
    entry.append('t2')
    world.run(0.1)
    world.log.streams[STREAM].append('bad', '{"items": 3}', 0.0)
    entry.append('t3')
    world.run(0.1)
    world.log.streams[STREAM].trim(2)
    entry.read()
    world.run(0.5)
    assert entry.owner.of(events.LogGap) == [events.LogGap(STREAM, 2)]
    assert entry.items() == ['t2', 't3']
    counted = entry.ctx.metrics.read()
    assert counted['kcr.log_record_bad{stream=claims}'] == 1


def test_replay_delivers_the_stream_again(world: log_harness.Harness) -> None:
    """Guard against a restarted subscriber that misses older items."""
    entry = Entry(world, 'a')
    entry.read()
    entry.append('t1')
    world.run(0.1)
    entry.ctx.directory.send(addresses.READERS['claims'], events.LogReplay())
    world.run(1.5)
    assert entry.items() == ['t1', 't1']


def test_reader_goes_on_after_an_outage(world: log_harness.Harness) -> None:
    """Guard against a reader that gives up, or calls a stale view fresh."""
    entry = Entry(world, 'a')
    entry.read()
    world.run(0.1)
    world.log.outage = 'hold'
    world.log._wake()
    world.run(8.0)
    node = entry.ctx.directory.dump()[addresses.READERS['claims']]
    assert node['age_ms'] == -1
    world.log.outage = 'none'
    world.log._wake()
    entry.append('t1')
    world.run(3.0)
    assert entry.items() == ['t1']

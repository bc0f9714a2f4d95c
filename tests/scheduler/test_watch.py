"""Check what the watch task makes of the operators' topic."""

import collections
import typing

import scheduler_harness
from twisted.internet import defer

from kcr_jobs import config
from kcr_jobs import evacuation
from kcr_runtime import store
from kcr_scheduler import addresses
from kcr_scheduler.config import watch
from kcr_scheduler import events


def decode(body: bytes) -> config.Config:
    """Return a configuration whose text is its version."""
    return config.Config(int(body), {})


if 'model' not in watch.DECODERS.names():
    watch.DECODERS.register('model')(decode)


class ScriptedStore(scheduler_harness.FakeStore):
    """Answer the reads of the topic with what a test has queued."""

    def __init__(self) -> None:
        super().__init__()
        # Outcomes of reads; a read without one waits.
        self.outcomes: collections.deque[typing.Any] = collections.deque()
        # Name of each read: full, or its offset.
        self.reads: list[typing.Any] = []
        self.waiting: defer.Deferred[typing.Any] | None = None

    def _answer(self, kind: typing.Any) -> defer.Deferred[typing.Any]:
        self.reads.append(kind)
        if self.outcomes:
            return defer.succeed(self.outcomes.popleft())
        self.waiting = defer.Deferred()
        return self.waiting

    def newest(self, topic: str) -> defer.Deferred[store.ItemsResult]:
        """Return the next outcome."""
        return self._answer('full')

    def read_keyed(
        self, topic: str, start: int, wait_s: float
    ) -> defer.Deferred[store.ItemsResult | store.Trimmed]:
        """Return the next outcome."""
        return self._answer(start)


class Harness(scheduler_harness.Harness):
    """Run the watch task with a scripted store."""

    def __init__(self) -> None:
        self.scripted = ScriptedStore()
        super().__init__(
            addresses.MESH, addresses.OWNER, addresses.FRONT,
            shared=self.scripted,
        )  # fmt: skip
        self.watch = watch.Watch(self.ctx, addresses.WATCH)
        self.watch.begin()
        self.advance(0.0)

    def answer(self, *outcomes: typing.Any) -> None:
        """Answer the read that waits, and the next ones."""
        first, *rest = outcomes
        self.scripted.outcomes.extend(rest)
        waiting = self.scripted.waiting
        assert waiting is not None
        waiting.callback(first)
        self.advance(0.3)

    def zones(self) -> set[str] | None:
        """Return the zones that the owner was told of last."""
        found = self.recorders[addresses.OWNER].pop_all(
            events.EvacuationInForce
        )
        told = self.recorders[addresses.MESH].pop_all(events.EvacuationInForce)
        assert found == told
        return set(found[-1].view.zones) if found else None


def items(end: int, *entries: tuple[str, bytes]) -> store.Items:
    """Return the items of a read; the value `?` can't be decoded."""
    return store.Items(
        tuple(
            store.Item(key, b'' if value == b'?' else value, 0, value == b'?')
            for key, value in entries
        ),
        end,
    )


def test_zones_are_read_with_the_configuration() -> None:
    """Guard against an evacuation that reaches the owner only later."""
    harness = Harness()
    harness.answer(items(2, ('config', b'7'), ('evacuate/z1', b'{}')))
    assert harness.zones() == {'z1'}
    assert harness.watch.config is not None
    assert harness.watch.config.version == 7
    harness.answer(items(3, ('evacuate/z2', b'?')))
    assert harness.zones() == {'z1', 'z2'}, 'only the key carries the zone'
    harness.answer(items(4, ('evacuate/z1', b'')))
    assert harness.zones() == {'z2'}
    assert harness.watch.dump()['evacuated_zones'] == ['z2']
    harness.post(addresses.WATCH, events.ConfigQuery(addresses.OWNER))
    assert events.ConfigInForce in map(
        type, harness.recorders[addresses.OWNER].recorded
    )


def test_removal_that_was_trimmed_is_seen_by_a_full_read() -> None:
    """Guard against an evacuation for good."""
    harness = Harness()
    harness.answer(items(2, ('evacuate/z1', b'{}')))
    harness.answer(store.Trimmed(9), items(9, ('config', b'7')))
    assert harness.zones() == set()
    assert harness.scripted.reads == ['full', 2, 'full', 9]


def test_whole_topic_is_read_after_an_outage() -> None:
    """Guard against records that were trimmed while the store was away."""
    harness = Harness()
    harness.answer(items(2, ('evacuate/z1', b'{}')))
    assert harness.zones() == {'z1'}
    harness.answer(
        store.NoAnswer('x'), items(2), items(4, ('evacuate/z2', b'{}'))
    )
    assert harness.scripted.reads == ['full', 2, 2, 'full', 4]
    assert harness.zones() == {'z2'}


def test_view_of_a_peer_counts_while_the_store_rejects_reads() -> None:
    """Guard against an owner without a view, whose peers have one."""
    harness = Harness()
    harness.answer(store.Rejected('busy'))
    assert harness.zones() is None
    view = evacuation.View(4, frozenset(['z1']))
    harness.post(addresses.WATCH, events.EvacuationReceived(view))
    assert harness.zones() == {'z1'}
    older = evacuation.View(3, frozenset(['z2']))
    harness.post(addresses.WATCH, events.EvacuationReceived(older))
    assert harness.zones() is None


def test_peer_that_found_the_topic_recreated_causes_a_full_read() -> None:
    """Guard against own reads that went on in the new topic unnoticed."""
    harness = Harness()
    harness.answer(items(2, ('evacuate/z1', b'{}')))
    view = evacuation.View(1, frozenset(), 1)
    harness.post(addresses.WATCH, events.EvacuationReceived(view))
    assert harness.zones() == set()
    harness.answer(items(2), items(3, ('evacuate/z3', b'{}')))
    assert harness.zones() == {'z3'}
    assert harness.scripted.reads == ['full', 2, 'full', 3]


def test_restarted_task_asks_for_the_view_from_before() -> None:
    """Guard against a generation that is forgotten with the task."""
    harness = Harness()
    assert harness.recorders[addresses.MESH].pop_all(events.EvacuationQuery)

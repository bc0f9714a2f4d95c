"""Check guarantee P9 with real processes: revisions of the document.

Guarantees P1 to P9 are numbered in docs/promises.md.
Of concurrent changes on the same base exactly one takes effect, and no process
goes back to an older revision.
"""

import collections
from collections import abc
import functools
import threading

import process_world
import pytest

from kcr_emulator import documents
from kcr_emulator import harness

# Number of races; each is between changes on the same base.
RACES = 6


@pytest.fixture(scope='module')
def world() -> abc.Iterator[process_world.World]:
    """Return a deployment of three entries and two instances."""
    with process_world.deploy(harness.Shape(entries=3, instances=2)) as world:
        yield world


class Watch:
    """Poll the revisions that the entries report, in the background."""

    def __init__(self, world: process_world.World) -> None:
        # Deployment that is polled.
        self.world = world
        # Decreases of a revision: process, before, after.
        self.reverted: list[tuple[str, int, int]] = []
        # Number of answers from each entry.
        self.polls: collections.Counter[int] = collections.Counter()
        self._stop = threading.Event()
        self._polling = [
            world.callers.submit(self._poll, n) for n in range(len(world.urls))
        ]

    def _poll(self, entry: int) -> None:
        highest: dict[str, int] = {}
        while not self._stop.wait(0.02):
            found = self.world.versions(entry)
            if found is None:
                continue
            self.polls[entry] += 1
            # A process that has just started has no revision yet.
            states = {f'entry-{entry}': found['revision']}
            for item in found['processes']:
                states[item['process']] = item['revision']
            for name, revision in states.items():
                before = highest.get(name, 0)
                if 0 < revision < before:
                    self.reverted.append((name, before, revision))
                highest[name] = max(before, revision)

    def finish(self) -> None:
        """Stop polling; check that no revision decreased."""
        self._stop.set()
        for fut in self._polling:
            fut.result(process_world.LIMIT_S)
        assert self.reverted == []
        assert all(self.polls[n] for n in range(len(self._polling)))


def try_and_check(world: process_world.World, p99_ms: float) -> str:
    """Try a document and return its digest."""
    text = documents.make_document(world.deployment.shape, p99_ms)
    tried = world.try_document(text)
    assert tried['outcome'] == 'in_force', tried
    return str(tried['digest'])


def test_operators_race_for_the_same_base(world: process_world.World) -> None:
    """Guard against two winners, or success reported to a loser."""
    watch = Watch(world)
    for number in range(RACES):
        digest = try_and_check(world, 200.0 + number)
        base = world.revision(0)
        barrier = threading.Barrier(3)

        def promote(
            entry: int,
            digest: str = digest,
            base: int = base,
            barrier: threading.Barrier = barrier,
        ) -> process_world.Json:
            barrier.wait(process_world.LIMIT_S)
            return world.promote(entry, digest, base)

        promotions = [world.callers.submit(promote, n) for n in range(3)]
        answers = [fut.result(process_world.LIMIT_S) for fut in promotions]
        # All promote one document, so `in_force` comes with the same revision
        # for all of them; the records of the others are refused.
        revisions = {answer['revision'] for answer in answers}
        assert len(revisions) == 1, answers
        assert {a['outcome'] for a in answers} <= {'in_force', 'lost'}
        assert any(a['outcome'] == 'in_force' for a in answers)
        revision = revisions.pop()
        process_world.wait_for(
            functools.partial(world.is_spread, revision),
            'revision is in force everywhere',
        )
        for entry in range(3):
            won = [
                verdict['offset']
                for verdict in world.history(entry)
                if verdict['base'] == base and not verdict['refused']
            ]
            assert won == [revision], world.history(entry)
    watch.finish()


def test_trials_race_for_the_same_base(world: process_world.World) -> None:
    """Guard against two trials in force on one base."""
    tried = try_and_check(world, 300.0)
    base = world.trial_revision()
    shape = world.deployment.shape
    texts = [documents.make_document(shape, 301.0 + n) for n in range(3)]
    promotions = [
        world.callers.submit(world.try_document, text, base) for text in texts
    ]
    answers = [fut.result(process_world.LIMIT_S) for fut in promotions]
    outcomes = sorted(answer['outcome'] for answer in answers)
    assert outcomes == ['in_force', 'lost', 'lost'], answers
    winner = next(a for a in answers if a['outcome'] == 'in_force')
    # A trial that lost or was replaced can no longer be promoted.
    before = world.revision(0)
    refused = world.promote(0, tried)
    assert refused['outcome'] in ('lost', 'not_in_force'), refused
    assert world.revision(0) == before
    assert world.promote(1, winner['digest'])['outcome'] == 'in_force'


def test_restarts_beside_a_stale_peer(world: process_world.World) -> None:
    """Guard against a process that takes the revision of a stale peer."""
    watch = Watch(world)
    older = world.revision(0)
    # Entry 2 is suspended and does not receive the next document.
    world.freeze('entry-2')
    try:
        digest = try_and_check(world, 400.0)
        newer = world.promote(0, digest)['revision']
        assert newer > older
        world.control_log(outage='refuse')
        for name in ('entry-1', 'sidecar/instance-1'):
            world.process(name).kill()
    finally:
        world.wake('entry-2')
    for name in ('entry-1', 'sidecar/instance-1'):
        world.process(name).start()
    process_world.wait_for(
        lambda: all(world.revision(n) == newer for n in range(3)),
        'entries have the newer document',
    )
    process_world.wait_for(
        lambda: world.is_spread(newer), 'all have the newer document'
    )
    world.control_log(outage='none')
    watch.finish()

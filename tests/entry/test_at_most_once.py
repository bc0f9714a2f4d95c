"""Check at-most-once execution through the tasks of several entries."""

import collections
import random

import pytest

import claim_harness
from kcr_core import claimant
from kcr_core import messages
from kcr_core import outcomes
from kcr_core import records
from kcr_entry import addresses
from kcr_entry import events
from kcr_entry.fleet import membership
from kcr_entry.work import claims
from kcr_entry.work import submitted_request
from kcr_runtime.wire import session
import log_harness


@pytest.fixture
def world() -> log_harness.Harness:
    """Return a world with an emulated log."""
    claim_harness.Endpoint.runs = collections.Counter()
    return log_harness.Harness()


def test_request_runs_once_and_its_outcome_is_kept(
    world: log_harness.Harness,
) -> None:
    """Guard against a repeat at the same entry that runs again."""
    entry = claim_harness.Entry(world, 'a')
    first = entry.submit('1')
    world.run(0.2)
    again = entry.submit('1')
    changed = entry.submit('1', body=b'other')
    world.run(0.2)
    assert entry.answer(first) == outcomes.Done(200, claim_harness.BODY)
    assert entry.answer(again) == outcomes.Done(200, claim_harness.BODY)
    assert entry.answer(changed) == submitted_request.Conflict('c/1')
    assert claim_harness.Endpoint.runs == {'c/1': 1}


@pytest.mark.parametrize('idempotent', [False, True])
def test_unknown_end_is_kept_only_for_what_must_not_run_again(
    world: log_harness.Harness, idempotent: bool
) -> None:
    """Guard against an idempotent request that can never be repeated."""
    entry = claim_harness.Entry(world, 'a')
    entry.endpoint.fate = 'lose'
    first = entry.submit('1', idempotent=idempotent)
    world.run(0.2)
    assert isinstance(entry.answer(first), outcomes.Unknown)
    entry.endpoint.fate = 'run'
    again = entry.submit('1', resubmitted=True, idempotent=idempotent)
    world.run(0.2)
    if idempotent:
        assert entry.answer(again) == outcomes.Done(200, claim_harness.BODY)
    else:
        assert isinstance(entry.answer(again), outcomes.Unknown)
        assert claim_harness.Endpoint.runs == {'c/1': 1}


@pytest.mark.parametrize('connected', [False, True])
def test_repeat_elsewhere_loses(
    world: log_harness.Harness, connected: bool
) -> None:
    """Guard against a second run when the caller asks another entry."""
    one, two = claim_harness.Entry(world, 'a'), claim_harness.Entry(world, 'b')
    if connected:
        claim_harness.connect(one, two)
    one.submit('1')
    world.run(0.2)
    again = two.submit('1')
    changed = two.submit('1', body=b'other')
    world.run(1.0)
    if connected:
        assert two.answer(again) == outcomes.Done(200, claim_harness.BODY)
    else:
        assert isinstance(two.answer(again), outcomes.Unknown)
    assert two.answer(changed) == submitted_request.Conflict('c/1')
    assert claim_harness.Endpoint.runs == {'c/1': 1}


def test_loser_gets_the_outcome_of_a_running_request(
    world: log_harness.Harness,
) -> None:
    """Guard against "unknown" while the winner still waits."""
    one, two = claim_harness.Entry(world, 'a'), claim_harness.Entry(world, 'b')
    claim_harness.connect(one, two)
    one.endpoint.fate = 'ignore'
    one.submit('1')
    world.run(0.2)
    again = two.submit('1')
    world.run(0.5)
    assert two.answer(again) is None
    attempt = one.endpoint.of(membership.Dispatch)[0].msg.attempt
    reply = messages.Executed(
        attempt, 200, len(claim_harness.BODY), claim_harness.BODY
    )
    hello = claim_harness.make_hello('sidecar', 'i1')
    event = session.Received('fleet/s1', hello, reply)
    one.ctx.directory.send(addresses.REQUESTS, event)
    world.run(0.1)
    assert two.answer(again) == outcomes.Done(200, claim_harness.BODY)


def test_log_that_is_down_means_not_run(world: log_harness.Harness) -> None:
    """Guard against a run without a durable claim."""
    entry = claim_harness.Entry(world, 'a')
    world.log.outage = 'refuse'
    token = entry.submit('1')
    world.run(0.2)
    assert isinstance(entry.answer(token), outcomes.NotRun)
    assert not claim_harness.Endpoint.runs


def test_repeat_while_the_log_is_down_is_unknown(
    world: log_harness.Harness,
) -> None:
    """Guard against "not run" about what ran at another entry."""
    one, two = claim_harness.Entry(world, 'a'), claim_harness.Entry(world, 'b')
    two.nodes[3].end()  # Its reader has not seen the claim of the other.
    first = one.submit('1')
    world.run(0.2)
    assert one.answer(first) == outcomes.Done(200, claim_harness.BODY)
    world.log.outage = 'refuse'
    again = two.submit('1', resubmitted=True)
    world.run(0.2)
    assert isinstance(two.answer(again), outcomes.Unknown)


def test_one_of_two_sessions_to_the_winner_is_enough(
    world: log_harness.Harness,
) -> None:
    """Guard against "unknown" after the close of a spare session."""
    one, two = claim_harness.Entry(world, 'a'), claim_harness.Entry(world, 'b')
    claim_harness.connect(one, two)
    hello = claim_harness.make_hello('entry', 'a')
    two.ctx.directory.send(
        addresses.CLAIMS, session.Opened('fleet/spare', hello)
    )
    two.ctx.directory.send(
        addresses.CLAIMS, session.Closed('fleet/spare', hello, 'closed')
    )
    one.submit('1')
    world.run(0.2)
    again = two.submit('1')
    world.run(0.2)
    assert two.answer(again) == outcomes.Done(200, claim_harness.BODY)


def test_deadline_during_the_claim_releases_it(
    world: log_harness.Harness,
) -> None:
    """Guard against a run after "not run", and a claim that blocks."""
    one, two = claim_harness.Entry(world, 'a'), claim_harness.Entry(world, 'b')
    world.run(0.1)
    world.log.slow_ms = 400.0
    token = one.submit('1', budget_s=0.3)
    world.run(0.35)
    assert isinstance(one.answer(token), outcomes.NotRun)
    world.run(1.0)
    assert world.log.streams[claim_harness.STREAM].last >= 1
    assert not claim_harness.Endpoint.runs
    world.log.slow_ms = 0.0
    world.run(3.0)
    again = two.submit('1')
    world.run(0.5)
    assert two.answer(again) == outcomes.Done(200, claim_harness.BODY)


@pytest.mark.parametrize('connected', [False, True])
def test_not_run_and_asked_elsewhere_at_once(
    world: log_harness.Harness, connected: bool
) -> None:
    """Guard against "unknown" while a release is not durable yet."""
    one, two = claim_harness.Entry(world, 'a'), claim_harness.Entry(world, 'b')
    if connected:
        claim_harness.connect(one, two)
    one.endpoint.fate = 'refuse'
    first = one.submit('1')
    while one.answer(first) is None:
        world.run(0.005)
    assert isinstance(one.answer(first), outcomes.NotRun)
    again = two.submit('1')
    world.run(1.0)
    assert two.answer(again) == outcomes.Done(200, claim_harness.BODY)
    assert claim_harness.Endpoint.runs == {'c/1': 1}


def test_restarted_claims_task_folds_the_stream_again(
    world: log_harness.Harness,
) -> None:
    """Guard against winning with an empty table after a restart."""
    one, two = claim_harness.Entry(world, 'a'), claim_harness.Entry(world, 'b')
    one.submit('1')
    world.run(0.2)
    two.nodes[4].end()
    two.nodes[4] = claims.Claims(two.ctx, addresses.CLAIMS, world.unix_time)
    world.start(two.nodes[4])
    again = two.submit('1')
    world.run(1.0)
    assert isinstance(two.answer(again), outcomes.Unknown)
    assert claim_harness.Endpoint.runs == {'c/1': 1}


def test_cancelled_request_is_answered_without_the_claims_task(
    world: log_harness.Harness,
) -> None:
    """Guard against a caller without an answer after a restart."""
    entry = claim_harness.Entry(world, 'a')
    silent = log_harness.Probe(entry.ctx, addresses.CLAIMS)
    entry.ctx.directory.add(addresses.CLAIMS, silent)
    token = entry.submit('1', budget_s=0.2)
    world.run(1.0)
    assert isinstance(entry.answer(token), outcomes.NotRun)
    query = silent.of(claims.Claim)[0].query
    won = claims.Ended(query, claimant.Won())
    entry.ctx.directory.send(addresses.REQUESTS, won)
    world.run(0.1)
    assert silent.of(claims.Finalize) == [claims.Finalize(query, False)]
    assert not claim_harness.Endpoint.runs


def test_right_that_is_won_after_the_deadline_is_not_used(
    world: log_harness.Harness,
) -> None:
    """Guard against a run whose right arrives after the cancellation."""
    entry = claim_harness.Entry(world, 'a')
    silent = log_harness.Probe(entry.ctx, addresses.CLAIMS)
    entry.ctx.directory.add(addresses.CLAIMS, silent)
    token = entry.submit('1', budget_s=0.2)
    world.run(0.3)
    (cancel,) = silent.of(claims.Cancel)
    for result in (claimant.Won(), claimant.NotClaimed('late')):
        ended = claims.Ended(cancel.query, result)
        entry.ctx.directory.send(addresses.REQUESTS, ended)
    world.run(0.1)
    assert entry.answer(token) == outcomes.NotRun('late')
    assert not claim_harness.Endpoint.runs


def test_items_read_before_a_restart_are_asked_for_again(
    world: log_harness.Harness,
) -> None:
    """Guard against a table without the older part of the stream."""
    ctx = world.make_context('a')
    source = log_harness.Probe(ctx, addresses.READERS['claims'])
    ctx.directory.add(source.address, source)
    node = claims.Claims(ctx, addresses.CLAIMS, world.unix_time)
    world.start(node)
    item = records.Claimed(
        'c/1', 'd', 'b', int(world.unix_time() * 1000), 'b:1'
    )
    late = (events.LogItem(9, 'b', item),)
    read = events.LogRead(
        claim_harness.STREAM, late, True, 0.0, after=8, position=9
    )
    ctx.directory.send(addresses.CLAIMS, read)
    world.run(0.1)
    assert len(source.of(events.LogReplay)) == 2
    assert node.dump()['requests'] == 0


def disturb(world: log_harness.Harness, rng: random.Random) -> None:
    """Choose a state of the log."""
    world.log.outage = rng.choice(['none'] * 6 + ['refuse', 'hold'])
    world.log.slow_ms = rng.choice([0.0, 0.0, 50.0, 800.0])
    world.log.lose_share = rng.choice([0.0, 0.3, 0.9])
    world.log._wake()


@pytest.mark.parametrize('seed', range(4))
def test_random_run_executes_each_request_at_most_once(
    world: log_harness.Harness, seed: int
) -> None:
    """Guard against faults that only combined failures show."""
    rng = random.Random(seed)
    entries = [
        claim_harness.Entry(world, 'e0'),
        claim_harness.Entry(world, 'e1'),
    ]
    claim_harness.connect(*entries)
    names = 2
    not_run: collections.Counter[str] = collections.Counter()
    asked: list[tuple[claim_harness.Entry, str, str]] = []
    for _ in range(150):
        key = str(rng.randrange(12))
        entry = rng.choice(entries)
        entry.endpoint.fate = rng.choice(['run', 'run', 'refuse', 'lose'])
        budget_s = rng.choice([0.05, 0.5, 2.0])
        asked.append((entry, key, entry.submit(key, budget_s)))
        if rng.random() < 0.1:
            disturb(world, rng)
        if rng.random() < 0.03:
            index = rng.randrange(2)
            entries[index].kill()
            entries[index] = claim_harness.Entry(world, f'e{names}')
            names += 1
            claim_harness.connect(*entries)
        world.run(rng.choice([0.005, 0.03, 0.1]))
        assert max(claim_harness.Endpoint.runs.values(), default=0) <= 1
    world.log.outage = 'none'
    world.log._wake()
    world.run(4.0)
    assert max(claim_harness.Endpoint.runs.values(), default=0) <= 1
    for entry, key, token in asked:
        answer = entry.answer(token)
        if entry in entries:
            assert answer is not None, 'a caller got no answer'
        not_run[f'c/{key}'] += not isinstance(answer, outcomes.NotRun)
    for key in claim_harness.Endpoint.runs:
        assert not_run[key] > 0, '"not run" was false'

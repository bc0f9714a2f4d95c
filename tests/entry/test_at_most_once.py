"""Check at-most-once execution with the tasks of several entries."""

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
def harness() -> log_harness.Harness:
    """Return a harness with an emulated log."""
    claim_harness.Endpoint.runs = collections.Counter()
    return log_harness.Harness()


def test_request_runs_once_and_its_outcome_is_stored(
    harness: log_harness.Harness,
) -> None:
    """Guard against a second run of a repeat at the same entry."""
    entry = claim_harness.Entry(harness, 'a')
    first = entry.submit('1')
    harness.run(0.2)
    again = entry.submit('1')
    changed = entry.submit('1', body=b'other')
    harness.run(0.2)
    assert entry.answer(first) == outcomes.Done(200, claim_harness.BODY)
    assert entry.answer(again) == outcomes.Done(200, claim_harness.BODY)
    assert entry.answer(changed) == submitted_request.Conflict('c/1')
    assert claim_harness.Endpoint.runs == {'c/1': 1}


@pytest.mark.parametrize('idempotent', [False, True])
def test_unknown_outcome_is_stored_only_for_what_must_not_run_again(
    harness: log_harness.Harness, idempotent: bool
) -> None:
    """Guard against an idempotent request that can never be repeated."""
    entry = claim_harness.Entry(harness, 'a')
    entry.endpoint.response = 'lose'
    first = entry.submit('1', idempotent=idempotent)
    harness.run(0.2)
    assert isinstance(entry.answer(first), outcomes.Unknown)
    entry.endpoint.response = 'run'
    again = entry.submit('1', resubmitted=True, idempotent=idempotent)
    harness.run(0.2)
    if idempotent:
        assert entry.answer(again) == outcomes.Done(200, claim_harness.BODY)
    else:
        assert isinstance(entry.answer(again), outcomes.Unknown)
        assert claim_harness.Endpoint.runs == {'c/1': 1}


@pytest.mark.parametrize('connected', [False, True])
def test_repeat_elsewhere_loses_the_claim(
    harness: log_harness.Harness, connected: bool
) -> None:
    """Guard against a second run of a repeat at another entry."""
    one, two = (
        claim_harness.Entry(harness, 'a'),
        claim_harness.Entry(harness, 'b'),
    )
    if connected:
        claim_harness.connect(one, two)
    one.submit('1')
    harness.run(0.2)
    again = two.submit('1')
    changed = two.submit('1', body=b'other')
    harness.run(1.0)
    if connected:
        assert two.answer(again) == outcomes.Done(200, claim_harness.BODY)
    else:
        assert isinstance(two.answer(again), outcomes.Unknown)
    assert two.answer(changed) == submitted_request.Conflict('c/1')
    assert claim_harness.Endpoint.runs == {'c/1': 1}


def test_entry_without_the_claim_gets_the_outcome_of_a_running_request(
    harness: log_harness.Harness,
) -> None:
    """Guard against "unknown" while the other entry still has an attempt."""
    one, two = (
        claim_harness.Entry(harness, 'a'),
        claim_harness.Entry(harness, 'b'),
    )
    claim_harness.connect(one, two)
    one.endpoint.response = 'ignore'
    one.submit('1')
    harness.run(0.2)
    again = two.submit('1')
    harness.run(0.5)
    assert two.answer(again) is None
    attempt = one.endpoint.of(membership.Dispatch)[0].msg.attempt
    reply = messages.Executed(
        attempt, 200, len(claim_harness.BODY), claim_harness.BODY
    )
    hello = claim_harness.make_hello('sidecar', 'i1')
    event = session.Received('fleet/s1', hello, reply)
    one.ctx.directory.send(addresses.REQUESTS, event)
    harness.run(0.1)
    assert two.answer(again) == outcomes.Done(200, claim_harness.BODY)


def test_log_that_is_down_means_not_run(harness: log_harness.Harness) -> None:
    """Guard against a run without a durable claim."""
    entry = claim_harness.Entry(harness, 'a')
    harness.log.outage = 'refuse'
    token = entry.submit('1')
    harness.run(0.2)
    assert isinstance(entry.answer(token), outcomes.NotRun)
    assert not claim_harness.Endpoint.runs


def test_repeat_while_the_log_is_down_is_unknown(
    harness: log_harness.Harness,
) -> None:
    """Guard against "not run" for a request that ran at another entry."""
    one, two = (
        claim_harness.Entry(harness, 'a'),
        claim_harness.Entry(harness, 'b'),
    )
    two.tasks[3].end()  # Its reader does not read the claim of the other.
    first = one.submit('1')
    harness.run(0.2)
    assert one.answer(first) == outcomes.Done(200, claim_harness.BODY)
    harness.log.outage = 'refuse'
    again = two.submit('1', resubmitted=True)
    harness.run(0.2)
    assert isinstance(two.answer(again), outcomes.Unknown)


def test_one_of_two_sessions_to_the_winner_is_enough(
    harness: log_harness.Harness,
) -> None:
    """Guard against "unknown" after one of two sessions was closed."""
    one, two = (
        claim_harness.Entry(harness, 'a'),
        claim_harness.Entry(harness, 'b'),
    )
    claim_harness.connect(one, two)
    hello = claim_harness.make_hello('entry', 'a')
    two.ctx.directory.send(
        addresses.CLAIMS, session.Opened('fleet/spare', hello)
    )
    two.ctx.directory.send(
        addresses.CLAIMS, session.Closed('fleet/spare', hello, 'closed')
    )
    one.submit('1')
    harness.run(0.2)
    again = two.submit('1')
    harness.run(0.2)
    assert two.answer(again) == outcomes.Done(200, claim_harness.BODY)


def test_deadline_during_the_claim_releases_it(
    harness: log_harness.Harness,
) -> None:
    """Guard against a run after "not run", and a claim never released."""
    one, two = (
        claim_harness.Entry(harness, 'a'),
        claim_harness.Entry(harness, 'b'),
    )
    harness.run(0.1)
    harness.log.slow_ms = 400.0
    token = one.submit('1', budget_s=0.3)
    harness.run(0.35)
    assert isinstance(one.answer(token), outcomes.NotRun)
    harness.run(1.0)
    assert harness.log.streams[claim_harness.STREAM].last >= 1
    assert not claim_harness.Endpoint.runs
    harness.log.slow_ms = 0.0
    harness.run(3.0)
    again = two.submit('1')
    harness.run(0.5)
    assert two.answer(again) == outcomes.Done(200, claim_harness.BODY)


@pytest.mark.parametrize('connected', [False, True])
def test_not_run_and_submitted_elsewhere_at_once(
    harness: log_harness.Harness, connected: bool
) -> None:
    """Guard against "unknown" while the release is not durable yet."""
    one, two = (
        claim_harness.Entry(harness, 'a'),
        claim_harness.Entry(harness, 'b'),
    )
    if connected:
        claim_harness.connect(one, two)
    one.endpoint.response = 'refuse'
    first = one.submit('1')
    while one.answer(first) is None:
        harness.run(0.005)
    assert isinstance(one.answer(first), outcomes.NotRun)
    again = two.submit('1')
    harness.run(1.0)
    assert two.answer(again) == outcomes.Done(200, claim_harness.BODY)
    assert claim_harness.Endpoint.runs == {'c/1': 1}


def test_restarted_claims_task_reads_the_stream_again(
    harness: log_harness.Harness,
) -> None:
    """Guard against a claim won from an empty table after a restart."""
    one, two = (
        claim_harness.Entry(harness, 'a'),
        claim_harness.Entry(harness, 'b'),
    )
    one.submit('1')
    harness.run(0.2)
    two.tasks[4].end()
    two.tasks[4] = claims.Claims(two.ctx, addresses.CLAIMS, harness.unix_time)
    harness.start(two.tasks[4])
    again = two.submit('1')
    harness.run(1.0)
    assert isinstance(two.answer(again), outcomes.Unknown)
    assert claim_harness.Endpoint.runs == {'c/1': 1}


def test_cancelled_request_is_answered_without_the_claims_task(
    harness: log_harness.Harness,
) -> None:
    """Guard against a caller without an answer while claims restart."""
    entry = claim_harness.Entry(harness, 'a')
    fake_claims = log_harness.Probe(entry.ctx, addresses.CLAIMS)
    entry.ctx.directory.add(addresses.CLAIMS, fake_claims)
    token = entry.submit('1', budget_s=0.2)
    harness.run(1.0)
    assert isinstance(entry.answer(token), outcomes.NotRun)
    query = fake_claims.of(claims.Claim)[0].query
    won = claims.ClaimEnded(query, claimant.Won())
    entry.ctx.directory.send(addresses.REQUESTS, won)
    harness.run(0.1)
    assert fake_claims.of(claims.FinalizeClaim) == [
        claims.FinalizeClaim(query, False)
    ]
    assert not claim_harness.Endpoint.runs


def test_claim_that_is_won_after_the_deadline_is_not_used(
    harness: log_harness.Harness,
) -> None:
    """Guard against a run when the claim is won after the cancellation."""
    entry = claim_harness.Entry(harness, 'a')
    fake_claims = log_harness.Probe(entry.ctx, addresses.CLAIMS)
    entry.ctx.directory.add(addresses.CLAIMS, fake_claims)
    token = entry.submit('1', budget_s=0.2)
    harness.run(0.3)
    (cancel,) = fake_claims.of(claims.CancelClaim)
    for result in (claimant.Won(), claimant.NotClaimed('late')):
        ended = claims.ClaimEnded(cancel.query, result)
        entry.ctx.directory.send(addresses.REQUESTS, ended)
    harness.run(0.1)
    assert entry.answer(token) == outcomes.NotRun('late')
    assert not claim_harness.Endpoint.runs


def test_items_read_before_a_restart_are_requested_again(
    harness: log_harness.Harness,
) -> None:
    """Guard against a table without the earlier part of the stream."""
    ctx = harness.make_context('a')
    source = log_harness.Probe(ctx, addresses.READERS['claims'])
    ctx.directory.add(source.address, source)
    claims_task = claims.Claims(ctx, addresses.CLAIMS, harness.unix_time)
    harness.start(claims_task)
    item = records.Claimed(
        'c/1', 'd', 'b', int(harness.unix_time() * 1000), 'b:1'
    )
    late = (events.LogItem(9, 'b', item),)
    read = events.LogRead(
        claim_harness.STREAM, late, True, 0.0, after=8, position=9
    )
    ctx.directory.send(addresses.CLAIMS, read)
    harness.run(0.1)
    assert len(source.of(events.LogReplay)) == 2
    assert claims_task.dump()['requests'] == 0


def set_log_state(harness: log_harness.Harness, rng: random.Random) -> None:
    """Set a random state of the log."""
    harness.log.outage = rng.choice(['none'] * 6 + ['refuse', 'hold'])
    harness.log.slow_ms = rng.choice([0.0, 0.0, 50.0, 800.0])
    harness.log.lose_share = rng.choice([0.0, 0.3, 0.9])
    harness.log._wake()


@pytest.mark.parametrize('seed', range(4))
def test_random_run_executes_each_request_at_most_once(
    harness: log_harness.Harness, seed: int
) -> None:
    """Guard against second runs caused by combinations of failures."""
    rng = random.Random(seed)
    entries = [
        claim_harness.Entry(harness, 'e0'),
        claim_harness.Entry(harness, 'e1'),
    ]
    claim_harness.connect(*entries)
    entry_count = 2
    possible_runs: collections.Counter[str] = collections.Counter()
    submitted: list[tuple[claim_harness.Entry, str, str]] = []
    for _ in range(150):
        key = str(rng.randrange(12))
        entry = rng.choice(entries)
        entry.endpoint.response = rng.choice(['run', 'run', 'refuse', 'lose'])
        budget_s = rng.choice([0.05, 0.5, 2.0])
        submitted.append((entry, key, entry.submit(key, budget_s)))
        if rng.random() < 0.1:
            set_log_state(harness, rng)
        if rng.random() < 0.03:
            index = rng.randrange(2)
            entries[index].kill()
            entries[index] = claim_harness.Entry(harness, f'e{entry_count}')
            entry_count += 1
            claim_harness.connect(*entries)
        harness.run(rng.choice([0.005, 0.03, 0.1]))
        assert max(claim_harness.Endpoint.runs.values(), default=0) <= 1
    harness.log.outage = 'none'
    harness.log._wake()
    harness.run(4.0)
    assert max(claim_harness.Endpoint.runs.values(), default=0) <= 1
    for entry, key, token in submitted:
        answer = entry.answer(token)
        if entry in entries:
            assert answer is not None, 'a caller got no answer'
        possible_runs[f'c/{key}'] += not isinstance(answer, outcomes.NotRun)
    for key in claim_harness.Endpoint.runs:
        assert possible_runs[key] > 0, '"not run" was false'

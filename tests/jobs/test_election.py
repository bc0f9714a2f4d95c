"""Test which scheduler claims the jobs, and when."""

from kcr_jobs import election


def make_peer(
    name: str, store_age_s: float | None = 0.1, received_at: float = 10.0
) -> election.Peer:
    """Return a peer that is ranked by its name."""
    return election.Peer(name, received_at, store_age_s, (0, name), False)


def test_best_rank_claims_first() -> None:
    """Guard against two schedulers that claim at the same time."""
    peers = [make_peer('b')]
    lost_at = 10.0 - election.RECONNECT_GRACE_S
    assert election.should_claim(10.0, lost_at, 0.1, peers, (0, 'a'))
    assert not election.should_claim(10.0, lost_at, 0.1, peers, (0, 'c'))
    later = 10.0 + election.RANK_DELAY_S
    peers = [make_peer('b', received_at=later)]
    assert election.should_claim(later, lost_at, 0.1, peers, (0, 'c'))


def test_scheduler_without_the_store_does_not_claim() -> None:
    """Guard against an owner that can't write to the store."""
    assert not election.should_claim(10.0, 0.0, None, [], (0, 'a'))
    stale = election.MAX_STORE_AGE_S + 0.1
    assert not election.should_claim(10.0, 0.0, stale, [], (0, 'a'))


def test_peer_without_the_store_is_not_waited_for() -> None:
    """Guard against an election that waits for a peer that can't claim."""
    peers = [make_peer('a', None), make_peer('b', received_at=1.0)]
    lost_at = 10.0 - election.RECONNECT_GRACE_S
    assert election.should_claim(10.0, lost_at, 0.1, peers, (0, 'c'))


def test_successor_reaches_the_store() -> None:
    """Guard against handing over to a peer that can't reach the store."""
    peers = [make_peer('a', None), make_peer('c'), make_peer('b')]
    best = election.choose_successor(peers, 10.0)
    assert best is not None and best.address == 'b'
    assert election.choose_successor([make_peer('a', None)], 10.0) is None


def make_claimant(name: str, progressed_at: float) -> election.Peer:
    """Return a peer that reads the log for a claim."""
    peer = make_peer(name)
    peer.claim_progress, peer.claim_progressed_at = 40, progressed_at
    return peer


def test_claimant_that_makes_progress_is_waited_for() -> None:
    """Guard against five claimants that share the rate of the store.

    On links of 2 Mbit/s none of them ended its claim.
    """
    peers = [make_claimant('z', 9.5), make_peer('y')]
    assert not election.should_claim(10.0, 0.0, 0.1, peers, (0, 'a'))


def test_claimant_that_is_stuck_is_not_waited_for() -> None:
    """Guard against jobs without an owner because one claimant hangs."""
    stuck_at = 10.0 - election.CLAIM_TIMEOUT_S - 0.1
    peers = [make_claimant('z', stuck_at)]
    assert election.should_claim(10.0, 0.0, 0.1, peers, (0, 'a'))


def test_best_ranked_peer_of_the_owner_follows_the_log() -> None:
    """Guard against a takeover that begins with reading the whole log."""
    owner = make_peer('a')
    owner.is_owner = True
    peers = [owner, make_peer('c'), make_peer('d')]
    assert election.should_follow(peers, (0, 'b'), 10.0)
    assert not election.should_follow(peers, (0, 'd'), 10.0)


def test_narrow_link_makes_a_worse_owner() -> None:
    """Guard against an owner whose link can't carry the reports."""
    wide = election.infer_rank(1.0, 100.0, 300.0)
    narrow = election.infer_rank(2.0, 5.0, 300.0)
    assert wide < narrow
    assert election.infer_rank(2.0, 1000.0, 300.0) < wide

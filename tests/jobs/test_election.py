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

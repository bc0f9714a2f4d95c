"""Decide which entry claims the ownership of the jobs, and when.

Any entry may claim: the store accepts one claim at a place of the log, and
the leases of runners fence the rest. These rules only keep the entries from
claiming against each other and make the takeover quick.
"""

import dataclasses

# Silence of the owner after which it is taken for dead, in seconds; four
# pulses.
OWNER_TIMEOUT_S = 1.0
# Wait after the owner's connection has closed, in seconds; a restarted
# connection is back within that time.
RECONNECT_GRACE_S = 0.15
# Wait of each lower rank for the better ones, in seconds.
RANK_DELAY_S = 0.4
# Age of the last answer of the store at which an entry is no candidate.
MAX_STORE_AGE_S = 1.6
# Age of a peer's pulse at which it is not counted as alive.
PEER_TIMEOUT_S = 1.2
# Time without a durable write after which an owner looks for a successor.
STALL_TIMEOUT_S = 0.9
# Time after the start in which the peers are still looked for, in seconds.
DISCOVERY_S = 0.45


@dataclasses.dataclass(slots=True)
class Peer:
    """Hold what another entry last said."""

    # Address of the peer.
    address: str
    # Time of its last pulse.
    received_at: float
    # Age of its last answer of the store then; none for no answer.
    store_age_s: float | None
    # Rank; lower is better.
    rank: tuple[int, str]
    # Whether it leads.
    is_owner: bool


def is_candidate(peer: Peer, now: float) -> bool:
    """Tell whether a peer is alive and reaches the store."""
    if now - peer.received_at > PEER_TIMEOUT_S or peer.store_age_s is None:
        return False
    return peer.store_age_s <= MAX_STORE_AGE_S


def count_higher_ranked(
    peers: list[Peer], rank: tuple[int, str], now: float
) -> int:
    """Return the number of candidates that go before a rank."""
    return sum(is_candidate(p, now) and p.rank < rank for p in peers)


def should_claim(
    now: float,
    owner_lost_at: float,
    store_age_s: float | None,
    peers: list[Peer],
    rank: tuple[int, str],
) -> bool:
    """Tell whether an entry should claim, given when the owner went."""
    if store_age_s is None or store_age_s > MAX_STORE_AGE_S:
        return False
    wait = RECONNECT_GRACE_S + RANK_DELAY_S * count_higher_ranked(
        peers, rank, now
    )
    return now - owner_lost_at >= wait


def choose_successor(peers: list[Peer], now: float) -> Peer | None:
    """Return the best candidate for an owner that loses the store."""
    found = [p for p in peers if is_candidate(p, now)]
    return min(found, key=lambda p: p.rank, default=None)

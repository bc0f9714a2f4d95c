"""Decide which scheduler claims the ownership of the jobs, and when.

The scheduler's mesh task calls this with the pulses of its peers. Safety does
not depend on it: any scheduler may claim, the store accepts only one claim at
an offset of the log, and the leases of the runners fence older owners. These
rules keep schedulers from competing for the claim and make a takeover quick.
"""

import dataclasses

# Time without a pulse after which the owner counts as failed, in seconds;
# four pulses.
OWNER_TIMEOUT_S = 1.0
# Wait after the owner's connection has closed, in seconds; a connection that
# is dialed again is up within that time.
RECONNECT_GRACE_S = 0.15
# Additional wait for each candidate of a higher rank, in seconds.
RANK_DELAY_S = 0.4
# Age of the store's last answer above which a scheduler is no candidate, in
# seconds.
MAX_STORE_AGE_S = 1.6
# Age of a peer's last pulse above which it counts as failed, in seconds.
PEER_TIMEOUT_S = 1.2
# Time without a durable write after which the owner looks for a successor, in
# seconds.
STALL_TIMEOUT_S = 0.9
# Time without progress after which a claimant counts as stuck, in seconds; it
# reads for a quarter of a second at a time.
CLAIM_TIMEOUT_S = 1.5
# Number of schedulers that follow the log to be ready to own the jobs.
SUCCESSORS = 1
# Cores, link and memory up to which an instance is a better owner than others;
# the owner of 160 runners sends and receives 10 Mbit/s.
FULL_CORES = 2.0
FULL_LINK_MBPS = 20.0
FULL_MEMORY_MB = 200.0
# Time after the start that is left for discovering the peers, in seconds.
PEER_DISCOVERY_S = 0.45


@dataclasses.dataclass(slots=True)
class Peer:
    """Store the content of another scheduler's last pulse."""

    address: str
    # Time at which the pulse was received.
    received_at: float
    # Age of the store's last answer to the peer at that time; none if there
    # was no answer.
    store_age_s: float | None
    # Rank; the lowest value claims first.
    rank: tuple[int, str]
    # Whether it owns the jobs.
    is_owner: bool
    # Number of records that it has read for its claim; none without a claim.
    claim_progress: int | None = None
    # Time at which that number last changed.
    claim_progressed_at: float = 0.0


def infer_rank(cores: float, link_mbps: float, memory_mb: float) -> int:
    """Return the rank of an instance as an owner; the lowest is the best."""
    share = (
        min(1.0, cores / FULL_CORES)
        * min(1.0, link_mbps / FULL_LINK_MBPS)
        * min(1.0, memory_mb / FULL_MEMORY_MB)
    )
    return -int(1000 * share)


def is_candidate(peer: Peer, now: float) -> bool:
    """Return whether a peer is running and reaches the store."""
    if now - peer.received_at > PEER_TIMEOUT_S or peer.store_age_s is None:
        return False
    return peer.store_age_s <= MAX_STORE_AGE_S


def count_higher_ranked(
    peers: list[Peer], rank: tuple[int, str], now: float
) -> int:
    """Return the number of candidates that claim before a rank."""
    return sum(is_candidate(p, now) and p.rank < rank for p in peers)


def is_claiming(peer: Peer, now: float) -> bool:
    """Return whether a peer claims the jobs and makes progress."""
    return (
        is_candidate(peer, now)
        and peer.claim_progress is not None
        and now - peer.claim_progressed_at <= CLAIM_TIMEOUT_S
    )


def should_follow(
    peers: list[Peer], rank: tuple[int, str], now: float
) -> bool:
    """Return whether a scheduler reads the log while a peer owns the jobs."""
    others = [p for p in peers if not p.is_owner]
    return count_higher_ranked(others, rank, now) < SUCCESSORS


def should_claim(
    now: float,
    owner_lost_at: float,
    store_age_s: float | None,
    peers: list[Peer],
    rank: tuple[int, str],
) -> bool:
    """Return whether a scheduler should claim, by when it lost the owner.

    While a peer reads the log for its own claim, a second reader would only
    take a part of the store's rate.
    """
    if any(is_claiming(p, now) for p in peers):
        return False
    if store_age_s is None or store_age_s > MAX_STORE_AGE_S:
        return False
    wait = RECONNECT_GRACE_S + RANK_DELAY_S * count_higher_ranked(
        peers, rank, now
    )
    return now - owner_lost_at >= wait


def choose_successor(peers: list[Peer], now: float) -> Peer | None:
    """Return the best successor of an owner that can't reach the store."""
    found = [p for p in peers if is_candidate(p, now)]
    return min(found, key=lambda p: p.rank, default=None)

"""Test from whom a scheduler requests the configuration."""

from kcr_jobs import config_relay


def replay_storm(store_age_s: float) -> int:
    """Return the number of requests while 27 versions come in 7 s.

    The own read brings each version after 0.4 s if the store answers.
    """
    relay = config_relay.ConfigRelay()
    requests = 0
    for step in range(70):
        now = step / 10
        for peer in 'abcde':
            relay.record_pulse(peer, 1 + int(now / 0.26), now)
        if relay.choose_peer(now, store_age_s):
            requests += 1
        if store_age_s < config_relay.MAX_STORE_AGE_S:
            relay.record_own(1 + int(max(0.0, now - 0.4) / 0.26), now)
    return requests


def test_storm_is_read_from_the_store_alone() -> None:
    """Guard against copies from every peer, which fill a narrow link.

    Large deployment, trouble-1 at small size, seed 5: with 27 versions in 7 s
    the owner's link was full, and no append or report was in time.
    """
    assert replay_storm(0.2) == 0


def test_one_peer_is_asked_at_a_time_without_the_store() -> None:
    """Guard against five copies of each version over one link."""
    away_s = config_relay.MAX_STORE_AGE_S + 1.0
    assert 5 <= replay_storm(away_s) <= 8


def test_other_peer_is_asked_after_no_answer() -> None:
    """Guard against a scheduler that waits for a peer that is frozen."""
    relay = config_relay.ConfigRelay()
    for peer in 'ab':
        relay.record_pulse(peer, 2, 0.0)
    assert relay.choose_peer(0.0, 9.0) == 'a'
    assert relay.choose_peer(0.5, 9.0) == ''
    assert relay.choose_peer(1.0, 9.0) == 'b'
    relay.record_closed('b')
    assert relay.choose_peer(1.1, 9.0) == 'a'


def test_restarted_process_reads_the_store_before_it_asks_a_peer() -> None:
    """Guard against a withdrawn route that is served after a restart.

    The peer that a restarted process sees first may be stale.
    """
    relay = config_relay.ConfigRelay()
    relay.record_pulse('stale', 2, 0.0)
    assert relay.choose_peer(0.1, None) == ''
    relay.record_own(3, 0.3)
    assert relay.choose_peer(2.0, 0.1) == ''


def test_store_that_lags_does_not_hold_up_a_version() -> None:
    """Guard against a version that a peer has and the own read misses."""
    relay = config_relay.ConfigRelay()
    relay.record_pulse('a', 2, 0.0)
    assert relay.choose_peer(0.5, 0.3) == ''
    assert relay.choose_peer(1.0, 0.3) == 'a'

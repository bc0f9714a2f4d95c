"""Check throttling and evictions with the real tasks of a sidecar."""

import dataclasses

import interference_harness

from kcr_core import interference
from kcr_core import types

TARGET_MS = 100.0
LATENCY_FIRST = types.ControlSettings(
    service_p99_ms=TARGET_MS,
    evictions_per_minute=1.0,
    weights=types.Weights(4.0, 0.5, 0.2),
)
FEW_EVICTIONS = dataclasses.replace(
    LATENCY_FIRST, weights=types.Weights(4.0, 0.5, 8.0)
)
BATCH_FIRST = dataclasses.replace(
    LATENCY_FIRST, weights=types.Weights(0.02, 4.0, 4.0)
)


def make_harness(
    control: types.ControlSettings, effect: float
) -> interference_harness.InterferenceHarness:
    """Return a harness in which the service has run alone for 5 s."""
    harness = interference_harness.InterferenceHarness(
        control, {'noisy': effect}
    )
    harness.run(5)
    return harness


def test_noisy_kind_is_throttled_until_the_load_falls() -> None:
    """Guard against throttles that have no effect or are never undone."""
    harness = make_harness(FEW_EVICTIONS, 2.0)
    harness.start('calm', 'quiet')
    harness.run(5)
    assert max(harness.take_p99s_ms()) < TARGET_MS
    harness.start('loud', 'noisy')
    harness.run(5)
    assert max(harness.take_p99s_ms()) > TARGET_MS
    harness.run(25)
    shares = harness.worker_shares()
    assert shares['c/loud'] < 1.0, shares
    assert not harness.platform.stops
    harness.rate = 50
    harness.run(60)
    assert ('c/loud', 1.0) in harness.platform.shares
    assert not harness.platform.stops


def test_idle_service_ends_the_throttling() -> None:
    """Guard against a throttle that stays because no call is measured."""
    harness = make_harness(FEW_EVICTIONS, 2.0)
    harness.start('loud', 'noisy')
    harness.run(30)
    assert harness.worker_shares()['c/loud'] < 1.0
    harness.rate = 0
    harness.run(15)
    assert harness.worker_shares()['c/loud'] == 1.0


def test_eviction_follows_only_a_throttle_without_success() -> None:
    """Guard against evictions without a throttle or above the rate limit."""
    harness = make_harness(LATENCY_FIRST, 12.0)
    for name in ('a', 'b', 'c'):
        harness.start(name, 'noisy')
    harness.run(180)
    stops = harness.platform.stops
    assert stops, harness.worker_shares()
    smallest_share = interference.SHARES[-1]
    for at, key in stops:
        assert (key, smallest_share) in harness.platform.shares
        in_window = [
            t for t, _ in stops if at <= t < at + interference.WINDOW_S
        ]
        assert len(in_window) <= LATENCY_FIRST.evictions_per_minute


def test_weights_of_the_document_change_the_actions() -> None:
    """Guard against throttling where the weights favor batch work."""
    lowest, p99s_ms = {}, {}
    for name, control in (('tail', LATENCY_FIRST), ('batch', BATCH_FIRST)):
        harness = make_harness(control, 4.0)
        harness.start('loud', 'noisy')
        harness.run(10)
        harness.take_p99s_ms()
        harness.run(30)
        shares = [share for _, share in harness.platform.shares]
        lowest[name] = min(shares, default=1.0)
        p99s_ms[name] = sum(harness.take_p99s_ms())
    assert lowest['tail'] < lowest['batch'] == 1.0, lowest
    assert p99s_ms['tail'] < p99s_ms['batch']


def test_throttle_is_repeated_and_survives_a_restart() -> None:
    """Guard against a lost throttle, and one that a restart undoes."""
    harness = make_harness(FEW_EVICTIONS, 2.0)
    harness.platform.throttles_to_drop = 1
    harness.start('loud', 'noisy')
    harness.run(30)
    assert harness.platform.throttles_to_drop == 0
    share = harness.worker_shares()['c/loud']
    assert share < 1.0
    sent = len(harness.platform.shares)
    harness.rate = 0
    harness.restart()
    harness.run(3)
    assert harness.worker_shares() == {'c/loud': share}
    assert len(harness.platform.shares) == sent
    assert harness.interference_task.dump()['throttled'] == {'c/loud': share}

"""Check the acts for the service on the real tasks of a sidecar."""

import dataclasses

import interference_world

from kcr_core import interference
from kcr_core import types

TARGET_MS = 100.0
TAIL_FIRST = types.ControlSettings(
    service_p99_ms=TARGET_MS,
    evictions_per_minute=1.0,
    weights=types.Weights(4.0, 0.5, 0.2),
)
FEW_EVICTIONS = dataclasses.replace(
    TAIL_FIRST, weights=types.Weights(4.0, 0.5, 8.0)
)
BATCH_FIRST = dataclasses.replace(
    TAIL_FIRST, weights=types.Weights(0.02, 4.0, 4.0)
)


def make(
    control: types.ControlSettings, effect: float
) -> interference_world.World:
    """Return a world in which the service has run alone for a while."""
    world = interference_world.World(control, {'noisy': effect})
    world.run(5)
    return world


def test_noisy_kind_is_throttled_and_the_act_is_undone() -> None:
    """Guard against acts that do not reach the tasks or stay for ever."""
    world = make(FEW_EVICTIONS, 2.0)
    world.start('calm', 'quiet')
    world.run(5)
    assert max(world.tails()) < TARGET_MS
    world.start('loud', 'noisy')
    world.run(5)
    assert max(world.tails()) > TARGET_MS
    world.run(25)
    held = world.running()
    assert held['c/loud'] < 1.0, held
    assert not world.platform.stops
    world.rate = 50
    world.run(60)
    assert ('c/loud', 1.0) in world.platform.shares
    assert not world.platform.stops


def test_idle_service_gives_the_resources_back() -> None:
    """Guard against a throttle that stays because nothing is measured."""
    world = make(FEW_EVICTIONS, 2.0)
    world.start('loud', 'noisy')
    world.run(30)
    assert world.running()['c/loud'] < 1.0
    world.rate = 0
    world.run(15)
    assert world.running()['c/loud'] == 1.0


def test_eviction_follows_only_a_throttle_without_success() -> None:
    """Guard against evictions at once, and above the bound."""
    world = make(TAIL_FIRST, 12.0)
    for name in ('a', 'b', 'c'):
        world.start(name, 'noisy')
    world.run(180)
    stops = world.platform.stops
    assert stops, world.running()
    least = interference.SHARES[-1]
    for at, key in stops:
        assert (key, least) in world.platform.shares
        later = [t for t, _ in stops if at <= t < at + interference.WINDOW_S]
        assert len(later) <= TAIL_FIRST.evictions_per_minute


def test_weights_of_the_document_change_the_acts() -> None:
    """Guard against a throughput deployment that holds its tasks back."""
    lowest, tails = {}, {}
    for name, control in (('tail', TAIL_FIRST), ('batch', BATCH_FIRST)):
        world = make(control, 4.0)
        world.start('loud', 'noisy')
        world.run(10)
        world.tails()
        world.run(30)
        shares = [share for _, share in world.platform.shares]
        lowest[name] = min(shares, default=1.0)
        tails[name] = sum(world.tails())
    assert lowest['tail'] < lowest['batch'] == 1.0, lowest
    assert tails['tail'] < tails['batch']


def test_throttle_is_repeated_and_survives_a_restart() -> None:
    """Guard against a lost command, and against a task that speeds up."""
    world = make(FEW_EVICTIONS, 2.0)
    world.platform.losing = 1
    world.start('loud', 'noisy')
    world.run(30)
    assert world.platform.losing == 0
    share = world.running()['c/loud']
    assert share < 1.0
    sent = len(world.platform.shares)
    world.rate = 0
    world.restart()
    world.run(3)
    assert world.running() == {'c/loud': share}
    assert len(world.platform.shares) == sent
    assert world.policy.dump()['throttled'] == {'c/loud': share}

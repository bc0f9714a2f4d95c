"""Check the emulated slowdown of a service by tasks."""

from kcr_emulator import noise


def test_slowdown_follows_the_cores_after_the_lag() -> None:
    """Guard against noise that has no effect or lag, or is on by default."""
    off = noise.Noise({})
    off.observe({'noisy': 4.0}, 0.0)
    assert off.slowdown(1.0, 10.0) == 1.0
    on = noise.Noise(noise.infer_effects(['noisy=0.5', 'quiet=0']), 2.0)
    on.observe({'noisy': 4.0, 'quiet': 8.0}, 1.0)
    assert on.slowdown(0.5, 2.9) == 1.0
    assert on.slowdown(0.5, 3.0) == 2.0
    on.observe({}, 4.0)
    assert (on.slowdown(1.0, 5.9), on.slowdown(1.0, 6.0)) == (3.0, 1.0)

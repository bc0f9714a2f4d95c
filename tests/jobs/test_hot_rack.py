"""Replay hot racks of the two deployments."""

import dataclasses
import statistics

import hot_rack
import pytest

# A burst of 6 s of which a quarter of the jobs want one rack, as far as it has
# no room for them.
BURSTS = [
    dataclasses.replace(
        load, hot_share=0.25, burst=2.5, burst_s=6.0, length_s=9.0
    )
    for load in (hot_rack.LOAD_K, hot_rack.LOAD_O)
]
SEEDS = (1, 2, 3, 4)


def play(load: hot_rack.Load, policy: str) -> list[hot_rack.Figures]:
    """Return the figures of all seeds."""
    return [hot_rack.replay(load, policy, seed) for seed in SEEDS]


@pytest.mark.parametrize('load', BURSTS, ids=('K', 'O'))
def test_jobs_of_hot_rack_end_sooner(load: hot_rack.Load) -> None:
    """Guard against tasks that take three times as long for a short wait.

    Without the decision every task that finds its rack full goes elsewhere.
    """
    chosen, elsewhere = play(load, 'expected'), play(load, 'none')
    mean_s, mean_elsewhere_s = [
        statistics.fmean(f.mean_s for f in figures)
        for figures in (chosen, elsewhere)
    ]
    away, away_elsewhere = [
        sum(f.away for f in figures) for figures in (chosen, elsewhere)
    ]
    assert mean_s < 0.98 * mean_elsewhere_s
    # Some wait and some go elsewhere.
    assert 0 < away < 0.8 * away_elsewhere

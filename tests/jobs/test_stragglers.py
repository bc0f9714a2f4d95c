"""Replay batch jobs with long tasks and slow runners."""

import collections
import dataclasses

import pytest
import straggler_harness

from kcr_jobs import stragglers
from kcr_jobs import types

OFF, ON = straggler_harness.OFF, straggler_harness.ON
STEP = straggler_harness.STEP


@pytest.mark.parametrize('long_share', [0.0, straggler_harness.LONG_SHARE])
def test_jobs_end_sooner_beside_a_slow_runner(long_share: float) -> None:
    """Guard against jobs that wait for tasks on a runner that is slow."""
    times = []
    for overload in (OFF, ON):
        plays = [
            straggler_harness.play(overload, 0.4, long_share, 1, seed)
            for seed in (1, 2, 3)
        ]
        times.append(sum(map(straggler_harness.infer_mean_s, plays)))
    assert times[1] < (0.8 if long_share else 0.5) * times[0]
    for harness in plays:
        moves = harness.find_events('straggler moved')
        assert moves and {m['node'] for m in moves} == {'000'}
        counts = collections.Counter(m['task'] for m in moves)
        assert max(counts.values()) <= stragglers.MAX_MOVES


@pytest.mark.parametrize('load', [0.4, 0.7, 0.95])
@pytest.mark.parametrize('spread', [0.2, 0.5])
def test_tasks_that_are_long_themselves_stay(
    load: float, spread: float
) -> None:
    """Guard against moves of tasks that are as long elsewhere."""
    for long_share in (0.0, straggler_harness.LONG_SHARE):
        off, on = (
            straggler_harness.play(overload, load, long_share, 0, 2, spread)
            for overload in (OFF, ON)
        )
        assert not on.find_events('straggler moved')
        assert straggler_harness.infer_mean_s(
            on
        ) <= straggler_harness.infer_mean_s(off)
        assert straggler_harness.infer_value(
            on
        ) >= straggler_harness.infer_value(off)


@pytest.mark.parametrize(
    ('step', 'runners'),
    [
        (dataclasses.replace(STEP, checkpointing=False), 1),
        (dataclasses.replace(STEP, rack_local=True), 1),
        (STEP, straggler_harness.RUNNERS),
    ],
    ids=['no checkpoint', 'rack-local', 'all slow'],
)
def test_tasks_that_can_not_gain_stay(step: types.Step, runners: int) -> None:
    """Guard against moves that lose the work, the group, or gain nothing."""
    harness = straggler_harness.play(ON, 0.4, 0.0, runners, steps=(step,))
    assert not harness.find_events('straggler moved')


def test_moves_survive_a_takeover() -> None:
    """Guard against a task that is lost between its stop and its start."""
    harness = straggler_harness.Harness(ON, 1, 0.2)
    kind = straggler_harness.make_kind(0.4)
    harness.play((kind,), straggler_harness.LEARNING_S)
    straggler_harness.slow_down(harness, 1)
    while not harness.find_events('straggler moved'):
        harness.play((kind,), 0.5)
    harness.take_over()
    harness.attach_all()
    harness.play((), 60.0)
    assert all(c.done_at < harness.now for c in harness.find_callers())

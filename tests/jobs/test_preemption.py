"""Test which tasks are stopped for an urgent job, and when none is."""

import dataclasses
import math

import overload_harness
import pytest

from kcr_jobs import controller_state
from kcr_jobs import types

BATCH = types.Queue('batch', 'svc', priority=2, slack_factor=10.0)
# A runner of 16 cores has room for four.
BATCH_STEP = types.Step(2, types.Demand(4000, 100), checkpointing=True)
LONG_S = 60.0


def make_full(
    overload: controller_state.Overload = overload_harness.ON,
    batch: types.Queue = BATCH,
    mean_s: float = LONG_S,
) -> overload_harness.Harness:
    """Return two runners full of batch and serving tasks.

    The run time of short jobs is known, and a batch job has no checkpoints.
    """
    harness = overload_harness.Harness(overload, runners=2, stragglers=0.0)
    harness.play((overload_harness.Kind('short', 1.0),), 20.0)
    harness.play((), 10.0)
    steps = [BATCH_STEP, dataclasses.replace(BATCH_STEP, checkpointing=False)]
    steps += [BATCH_STEP, dataclasses.replace(BATCH_STEP, lasts=True)]
    for step in steps:
        kind = overload_harness.Kind('batch', 0.0, batch, (step,), mean_s)
        harness.make_caller(kind, harness.now)
        harness.play((), 1.0)
    harness.play((), 8.0)
    return harness


def submit_urgent(
    harness: overload_harness.Harness,
) -> overload_harness.Caller:
    """Submit a short job of priority 0."""
    kind = overload_harness.Kind('short', 0.0)
    harness.make_caller(kind, harness.now)
    return list(harness.callers.values())[-1]


def find_preempted(harness: overload_harness.Harness) -> list[str]:
    """Return the names of the tasks that were stopped for others."""
    return [
        event.fields['task']
        for event in harness.log_events
        if event.event == 'task preempted'
    ]


def test_urgent_job_gets_room_from_tasks_with_checkpoints() -> None:
    """Guard against urgent jobs that wait for the end of long tasks."""
    values = []
    for overload in (overload_harness.OFF, overload_harness.ON):
        harness = make_full(overload)
        caller = submit_urgent(harness)
        harness.play((), 20.0)
        values.append(caller.infer_value())
        victims = [harness.find_task(t) for t in find_preempted(harness)]
    assert values == [0.0, pytest.approx(1.0, abs=0.9)]
    assert 1 <= len(victims) <= 2
    # Neither serving tasks nor tasks that would lose all their work.
    assert all(v.spec.checkpointing and not v.spec.lasts for v in victims)


def test_job_is_not_preempted_in_a_circle() -> None:
    """Guard against a job whose tasks are stopped again and again."""
    harness = make_full()
    preempted: dict[str, float] = {}
    for step in range(120):
        known = len(find_preempted(harness))
        if step % 6 == 0:
            submit_urgent(harness)
        harness.play((), 0.5)
        jobs = {t.split('.')[0] for t in find_preempted(harness)[known:]}
        for job_id in jobs:
            since_s = harness.now - preempted.get(job_id, -math.inf)
            assert since_s >= 10.0
            preempted[job_id] = harness.now
    assert preempted


@pytest.mark.parametrize(
    ('batch', 'mean_s'),
    [
        # They end soon by themselves.
        (BATCH, 14.0),
        # Their job would miss its target.
        (dataclasses.replace(BATCH, slack_factor=1.0), LONG_S),
        # They are as urgent.
        (dataclasses.replace(BATCH, priority=0), LONG_S),
    ],
    ids=['short', 'tight', 'urgent'],
)
def test_victims_do_not_lose_more_than_is_gained(
    batch: types.Queue, mean_s: float
) -> None:
    """Guard against a stop that costs more than it gives."""
    harness = make_full(batch=batch, mean_s=mean_s)
    submit_urgent(harness)
    harness.play((), 4.0)
    assert not find_preempted(harness)


def test_one_set_of_victims_at_a_time() -> None:
    """Guard against further stops before the room of the first is used."""
    harness = make_full()
    for runner in harness.runners.values():
        runner.connected = False
    for _ in range(6):
        submit_urgent(harness)
    harness.play((), 3.0)
    assert len(find_preempted(harness)) == 1


def test_filler_is_stopped_for_its_memory() -> None:
    """Guard against fillers that hold the memory an urgent job needs."""
    harness = overload_harness.Harness(
        overload_harness.ON, runners=1, stragglers=0.0
    )
    harness.play((overload_harness.Kind('short', 0.7),), 20.0)
    harness.play((), 10.0)
    filler = types.Step(
        1, types.Demand(2000, 63_950), checkpointing=True, fills=True
    )
    kind = overload_harness.Kind('filler', 0.0, BATCH, (filler,), LONG_S)
    harness.make_caller(kind, harness.now)
    harness.play((), 5.0)
    caller = submit_urgent(harness)
    harness.play((), 10.0)
    assert len(find_preempted(harness)) == 1
    assert caller.infer_value() > 0.0

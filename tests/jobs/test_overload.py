"""Replay callers that compete for capacity, with the part off and on."""

import dataclasses
import random

import overload_harness
import pytest

from kcr_jobs import admission
from kcr_jobs import job_table
from kcr_jobs import job_work
from kcr_jobs import types

OFF, ON = overload_harness.OFF, overload_harness.ON


def record_refusals(
    monkeypatch: pytest.MonkeyPatch,
) -> dict[str, admission.Verdict]:
    """Accept the jobs that would be refused, and return them."""
    refused: dict[str, admission.Verdict] = {}
    estimate = admission.Admission._estimate

    def accept(
        self: admission.Admission, draft: job_table.Job, now: float
    ) -> admission.Verdict:
        verdict = estimate(self, draft, now)
        if verdict.effect != admission.REFUSED:
            return verdict
        refused[draft.spec.job_id] = verdict
        return dataclasses.replace(verdict, effect=admission.USEFUL)

    monkeypatch.setattr(admission.Admission, '_estimate', accept)
    return refused


@pytest.mark.parametrize(
    ('leaves', 'factor'), [(0.0, 3.0), (0.3, 1.5)], ids=['stay', 'leave']
)
def test_goodput_holds_at_twice_the_capacity(
    leaves: float, factor: float
) -> None:
    """Guard against late jobs that make all later ones late as well."""
    goodput = {}
    for overload in (OFF, ON):
        harness = overload_harness.play(
            overload, lambda at: 1.0, 2.0, leaves=leaves
        )
        goodput[overload] = (
            harness.infer_goodput(10.0, overload_harness.LEARNING_S),
            harness.infer_goodput(
                overload_harness.LEARNING_S + 5.0,
                overload_harness.LEARNING_S + 40.0,
            ),
            harness.infer_goodput(
                overload_harness.LEARNING_S + 45.0,
                overload_harness.LEARNING_S + 60.0,
            ),
        )
    calm, loaded, after = goodput[ON]
    assert loaded >= calm
    assert after >= 0.9 * calm
    assert loaded >= factor * goodput[OFF][1]


def test_goodput_of_bursts_is_not_lower() -> None:
    """Guard against an order that harms jobs in short bursts."""
    useful = []
    for overload in (OFF, ON):
        harness = overload_harness.play(
            overload, overload_harness.infer_bursts, 0.6
        )
        useful.append(
            harness.infer_goodput(
                overload_harness.LEARNING_S, overload_harness.LEARNING_S + 60.0
            )
        )
    assert useful[1] >= useful[0]


@pytest.mark.parametrize('name', overload_harness.LOADS)
def test_refused_jobs_would_not_have_ended_in_time(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against the refusal of a job that could still end in time."""
    refused = record_refusals(monkeypatch)
    load, part = overload_harness.LOADS[name]
    harness = overload_harness.play(ON, load, part)
    late = 0
    for job_id in refused:
        value = harness.callers[job_id].infer_value()
        assert value < 1.0, job_id
        late += value > 0.0
    # The few that end while they count a little don't outweigh the others.
    assert late <= 0.05 * len(refused)
    if name == 'twice the capacity':
        assert len(refused) > 20


def test_nothing_is_refused_in_a_calm_hour_or_before_it_is_learnt() -> None:
    """Guard against refusals without need or without samples."""
    harness = overload_harness.play(ON, overload_harness.infer_wave, 0.6)
    fresh = overload_harness.Harness(ON, runners=2)
    flood = overload_harness.Kind('short', 40.0 * overload_harness.CAPACITY)
    fresh.play((flood,), 1.0)
    for played in (harness, fresh):
        assert not any(e.event == 'job refused' for e in played.log_events)


def test_nothing_learnt_survives_a_takeover() -> None:
    """Guard against refusals of a new owner, which knows only estimates."""
    harness = overload_harness.play(ON, lambda at: 1.0, 2.0, seconds=20.0)
    harness.take_over()
    harness.attach_all()
    harness.log_events.clear()
    kind = overload_harness.Kind('short', 40.0 * overload_harness.CAPACITY)
    harness.play((kind,), 1.0)
    assert not any(e.event == 'job refused' for e in harness.log_events)


def test_flooding_queue_leaves_the_others_their_share() -> None:
    """Guard against a queue that starves another one of its priority."""
    other = dataclasses.replace(overload_harness.SHORT, name='other')
    in_time = []
    for overload in (OFF, ON):
        harness = overload_harness.Harness(overload, stragglers=0.0)
        small = overload_harness.Kind(
            'small', 0.4 * overload_harness.CAPACITY * 2, other
        )
        flood = overload_harness.Kind('flood', 0.8 * overload_harness.CAPACITY)
        harness.play((flood, small), 20.0)
        flood = dataclasses.replace(
            flood, rate=5.0 * overload_harness.CAPACITY
        )
        harness.play((flood, small), 30.0)
        callers = harness.find_callers(22.0, 46.0, 'small')
        in_time.append(
            sum(c.infer_value() == 1.0 for c in callers) / len(callers)
        )
    assert in_time[0] < 0.5
    assert in_time[1] >= 0.8


def test_large_jobs_are_served_at_least_half_as_often() -> None:
    """Guard against small jobs that starve the large ones of their queue."""
    sizes = (1,) * 7 + (3,) * 2 + (8,)
    kind = overload_harness.Kind(
        'all', 0.25 * overload_harness.CAPACITY * 2, sizes=sizes
    )
    harness = overload_harness.Harness(ON, stragglers=0.0)
    harness.play((kind,), overload_harness.LEARNING_S)
    harness.play((dataclasses.replace(kind, rate=5.4),), 60.0)
    rates = {}
    for size in set(sizes):
        callers = [
            c for c in harness.find_callers(30.0, 85.0) if c.size == size
        ]
        useful = sum(c.infer_value() > 0.0 for c in callers)
        rates[size] = useful / len(callers)
    assert rates[3] >= 0.5 * rates[1]
    assert rates[8] >= 0.5 * rates[1]


def test_refused_callers_do_not_return_together() -> None:
    """Guard against a wave of retries that repeats the burst."""
    harness = overload_harness.play(ON, lambda at: 1.0, 3.0)
    refused = [e for e in harness.log_events if e.event == 'job refused']
    assert {
        'ends_in_s', 'useful_s', 'free_cores', 'ahead_core_s'
    } <= refused[0].fields.keys()  # fmt: skip
    rng = random.Random(7)
    ids = [f'{rng.getrandbits(64):016x}' for _ in range(300)]
    for wait_ms in (0.0, 3000.0, 60_000.0):
        retries = [admission.infer_retry_ms(job_id, wait_ms) for job_id in ids]
        assert retries == [admission.infer_retry_ms(i, wait_ms) for i in ids]
        seconds = [round(retry / 1000) for retry in retries]
        assert max(seconds.count(second) for second in seconds) < 160
        assert min(retries) >= 1000 and max(retries) <= 30_000


def test_serving_and_scheduled_jobs_are_not_refused() -> None:
    """Guard against refusals of jobs whose end says nothing of their use."""
    harness = overload_harness.play(ON, lambda at: 1.0, 3.0, seconds=30.0)
    serving = types.Step(1, types.Demand(640, 100), lasts=True)
    later = dataclasses.replace(overload_harness.STEP, estimate_ms=1360.0)
    for step, repeat in ((serving, 0), (later, 2)):
        draft = job_work.make_draft(
            types.JobSpec(
                'f' * 16, overload_harness.SHORT, '', (step,), repeat=repeat
            ),
            harness.now,
        )
        verdict = harness.ctl.admission.decide(draft, [], [], harness.now)
        assert verdict.effect == admission.EXEMPT


def test_job_that_has_room_is_not_refused() -> None:
    """Guard against refusals by a target that nothing could meet."""
    harness = overload_harness.Harness(ON, runners=2)
    harness.play((overload_harness.Kind('short', 1.0),), 20.0)
    harness.play((), 15.0)
    strict = dataclasses.replace(
        overload_harness.SHORT, slack_factor=0.1, target_ms=0.0
    )
    kind = overload_harness.Kind('short', 0.0, strict)
    harness.make_caller(kind, harness.now)
    harness.play((), 1.0)
    assert not any(e.event == 'job refused' for e in harness.log_events)


def test_priority_0_is_refused_last() -> None:
    """Guard against urgent jobs that are refused for less urgent ones."""
    harness = overload_harness.Harness(ON, runners=2, stragglers=0.0)
    later = dataclasses.replace(
        overload_harness.SHORT, name='later', priority=1
    )
    urgent = overload_harness.Kind('urgent', 0.4 * overload_harness.CAPACITY)
    flood = overload_harness.Kind('flood', 0.5, later)
    harness.play((urgent, flood), 20.0)
    flood = dataclasses.replace(flood, rate=3.0 * overload_harness.CAPACITY)
    harness.play((urgent, flood), 40.0)
    refused = {'urgent': 0, 'flood': 0}
    for event in harness.log_events:
        if event.event == 'job refused':
            refused[harness.callers[event.fields['job']].kind.name] += 1
    assert refused['urgent'] == 0 and refused['flood'] > 10

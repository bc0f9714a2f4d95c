"""Check the run times that the owner learns."""

import random
import statistics

import job_harness
import pytest

from kcr_jobs import durations
from kcr_jobs import job_table
from kcr_jobs import types


def make_task(step: types.Step, job_id: str = 'j') -> job_table.Task:
    """Return a task that was ordered at 1 s."""
    job = job_table.Job(job_harness.make_job(job_id, step), 0)
    task = job.make_occurrence()[0]
    task.instance, task.ordered_at, task.worked_until = 'a', 1.0, 1.0
    return task


def learn(model: durations.Durations, step: types.Step, run_s: float) -> None:
    """Record one run."""
    model.record_end(make_task(step), 'done', 1.0 + run_s)


def test_many_runs_outweigh_wrong_estimate() -> None:
    """Guard against plans that trust an estimate off by nine tenths."""
    rng = random.Random(1)
    step = types.Step(1, estimate_ms=200.0, image='i')
    model = durations.Durations()
    task = make_task(step)
    assert model.expected_s(task) == pytest.approx(0.2)
    runs = [1.4 * (7 if rng.random() < 0.03 else 1) for _ in range(300)]
    for run_s in runs:
        learn(model, step, run_s)
    mean = statistics.fmean(runs)
    assert model.expected_s(task) == pytest.approx(mean, rel=0.05)
    assert model.decile_s(task) == pytest.approx(1.4, rel=0.15)
    assert model.samples(task) > 250


def test_old_runs_lose_their_weight() -> None:
    """Guard against run times of a kind that has since changed."""
    step = types.Step(1, image='i')
    model = durations.Durations()
    for _ in range(100):
        learn(model, step, 9.0)
    for number in range(50):
        task = make_task(step)
        task.worked_until = 300.0 + number
        model.record_end(task, 'done', 301.0 + number)
    assert model.expected_s(make_task(step)) == pytest.approx(1.0, rel=0.15)


def test_straggler_is_expected_to_go_on() -> None:
    """Guard against a remaining time of 0 for runs that take seven times."""
    step = types.Step(1, image='i', estimate_ms=1000.0)
    model = durations.Durations()
    for number in range(100):
        learn(model, step, 7.0 if number % 20 == 0 else 1.0)
    task = make_task(step)
    assert model.remaining_s(task, 1.0) == pytest.approx(1.3, rel=0.15)
    assert model.remaining_s(task, 3.0) == pytest.approx(5.0, rel=0.15)
    # Reported progress tells more than the other runs.
    model.advance(task, 3.0)
    task.percent = 80
    assert model.remaining_s(task, 3.25) == pytest.approx(0.25)


def test_only_whole_runs_count() -> None:
    """Guard against times of failed, resumed and inherited runs."""
    step = types.Step(1, image='i')
    model = durations.Durations()
    failed, resumed, inherited = [make_task(step) for _ in range(3)]
    resumed.resumed, inherited.ordered_at = True, 0.0
    model.record_end(failed, 'failed', 2.0)
    model.record_end(resumed, 'done', 2.0)
    model.record_end(inherited, 'done', 2.0)
    assert model.samples(failed) == 0


def test_number_of_kinds_is_bounded() -> None:
    """Guard against an owner whose memory grows with the images it sees."""
    model = durations.Durations()
    for number in range(durations.MAX_KINDS + 5):
        learn(model, types.Step(1, image=f'i{number}'), 1.0)
    old, new = types.Step(1, image='i4'), types.Step(1, image='i5')
    assert model.samples(make_task(old)) == 0
    assert model.samples(make_task(new)) == 1


def test_throttled_seconds_of_a_filler_count_in_part() -> None:
    """Guard against run times that grow when fillers are throttled."""
    runner = job_harness.FakeRunner('a')
    harness = job_harness.Harness(runner)
    harness.now = 5.0
    serving = types.Step(
        1, types.Demand(6000, 100), lasts=True, image='s', target_ms=100.0
    )
    filler = types.Step(
        1, types.Demand(4000, 100), fills=True, image='f', estimate_ms=1000.0
    )
    harness.submit(job_harness.make_job('s', serving))
    harness.step()
    harness.submit(job_harness.make_job('f', filler))
    done = 0.0
    while done < 4.0:
        run = runner.runs.get('s.0.0.0')
        if run is not None:
            run.percent, run.usage = 100, 40 if harness.now % 3 < 1.5 else 99
        if 'f.0.0.0' in runner.runs:
            runner.runs['f.0.0.0'].usage = 3500
            done += 0.1 * runner.throttles['f.0.0.0'] / 100
        harness.step(0.1)
    runner.end('f.0.0.0', 'done')
    harness.step(0.1)
    events = [e.event for e in harness.log_events]
    assert events.count('filler paced') > 2
    # The estimate of 1 s has the weight of 3 runs.
    learnt = 4 * harness.ctl.durations.expected_s(make_task(filler)) - 3.0
    assert learnt == pytest.approx(4.0, rel=0.1)

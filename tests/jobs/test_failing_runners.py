"""Test that a runner is used again after it has failed its runs."""

import job_harness

from kcr_jobs import placement
from kcr_jobs import runners
from kcr_jobs import types

QUEUE = types.Queue('q', 'svc', max_attempts=3)
# Only runner `a` has the label.
SHORT = types.Step(4, types.Demand(500, 100), label='rack-a')
LASTING = types.Step(1, types.Demand(1000, 100), lasts=True, label='rack-a')
# Time in which the users' rule wants a start once nothing disturbs, and the
# time before it that has to be calm, in seconds.
START_BOUND_S, CALM_S = 3.0, 4.0
STEP_S = 0.25


def make_harness() -> job_harness.Harness:
    """Return seven runners, of which one has a task that lasts."""
    harness = job_harness.Harness(
        *(job_harness.FakeRunner(name) for name in 'abcdefg')
    )
    harness.submit(job_harness.make_job('lasting', LASTING, queue=QUEUE))
    harness.step()
    assert harness.find_placements('lasting') == {'lasting.0.0.0': 'a'}
    return harness


def end_runs(harness: job_harness.Harness, job_id: str, how: str) -> None:
    """End what runs of a job on runner `a`."""
    runner = harness.runners['a']
    for task in list(runner.runs):
        if task.startswith(job_id):
            runner.end(task, how)


def fail_runs(harness: job_harness.Harness, job_id: str, for_s: float) -> None:
    """Let runner `a` fail all runs of a job for a time."""
    end = harness.now + for_s
    while harness.now < end:
        end_runs(harness, job_id, 'failed')
        harness.step(STEP_S)


def test_suspect_runner_with_a_lasting_task_gets_starts() -> None:
    """Guard against a sound runner that gets no start while a task lasts."""
    harness = make_harness()
    harness.submit(job_harness.make_job('first', SHORT, queue=QUEUE))
    harness.step(STEP_S)
    fail_runs(harness, 'first', 6.5)
    assert harness.find_state('first') == 'running'
    submitted_at = harness.now
    harness.submit(job_harness.make_job('second', SHORT, queue=QUEUE))
    while not harness.find_placements('second'):
        end_runs(harness, 'first', 'done')
        harness.step(STEP_S)
        assert harness.now - submitted_at <= START_BOUND_S + CALM_S


def test_lasting_tasks_start_on_a_runner_that_is_sound_again() -> None:
    """Guard against one start in two seconds long after the last failure."""
    harness = make_harness()
    harness.submit(job_harness.make_job('first', SHORT, queue=QUEUE))
    harness.step(STEP_S)
    fail_runs(harness, 'first', 6.5)
    harness.ctl.cancel(('', 'c'), 'first', harness.now)
    sound_at = harness.now
    for number in range(8):
        harness.submit(job_harness.make_job(f'l{number}', LASTING))
    while len(harness.find_placements('l')) < 9:
        harness.step(STEP_S)
        assert harness.now - sound_at <= START_BOUND_S + CALM_S


def test_failure_rate_decays_without_runs() -> None:
    """Guard against a suspicion that only an ended run can end."""
    runner = runners.RunnerState('a')
    others = [runners.RunnerState(name) for name in 'bcd']
    for number in range(20):
        runner.record_end('failed', number * 0.1)
    known = [runner, *others]
    assert runners.find_suspects(known, 2.0) == {runner}
    assert runners.find_suspects(known, 2.0 + START_BOUND_S) == {runner}
    late = 2.0 + START_BOUND_S + CALM_S
    assert runners.find_suspects(known, late) == set()


def test_runner_that_goes_on_failing_stays_suspect() -> None:
    """Guard against a suspicion that ends between two failing probes."""
    runner = runners.RunnerState('a')
    known = [runner, *(runners.RunnerState(name) for name in 'bcd')]
    now = 0.0
    # Runs of 3 s; each of the later ones is started once a probe is due.
    for _ in range(4):
        runner.record_end('failed', now, run_s=3.0)
    for _ in range(30):
        for _ in range(10):
            now += 0.5
            assert runners.find_suspects(known, now) == {runner}
        runner.record_end('failed', now, run_s=3.0)


def test_suspect_runner_gets_one_start_in_two_seconds() -> None:
    """Guard against a runner that fails at once and draws all the work."""
    harness = make_harness()
    wide = types.Step(40, types.Demand(500, 100), label='rack-a')
    harness.submit(job_harness.make_job('first', wide, queue=QUEUE))
    harness.step(STEP_S)
    failed_before = harness.runners['a'].last_end
    end_runs(harness, 'first', 'failed')
    harness.step(STEP_S)
    first_failures = harness.runners['a'].last_end - failed_before
    fail_runs(harness, 'first', 10.0)
    probes = harness.runners['a'].last_end - failed_before - first_failures
    assert 4 <= probes <= 10.0 / runners.PROBE_INTERVAL_S


def test_task_at_its_last_attempt_is_no_probe() -> None:
    """Guard against a job that fails by its starts on a suspect runner."""
    harness = make_harness()
    harness.submit(job_harness.make_job('first', SHORT, queue=QUEUE))
    harness.step(STEP_S)
    for _ in range(80):
        end_runs(harness, 'first', 'failed')
        harness.step(STEP_S)
        job = harness.ctl.table.jobs['first']
        suspect = bool(
            runners.find_suspects(
                list(harness.ctl.runners.values()), harness.now
            )
        )
        for task in job.tasks.values():
            if suspect and placement.is_last_attempt(task):
                assert not task.instance, task.name
        if harness.now < 6.5:
            assert not job.failed

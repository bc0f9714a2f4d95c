"""Test the decisions of the owner of the jobs."""

import dataclasses

import job_harness
import pytest

from kcr_jobs import effects
from kcr_jobs import types

SMALL = types.Step(1, types.Demand(1000, 100))


def test_steps_run_in_order_of_their_dependencies() -> None:
    """Guard against a step that starts before the one it depends on."""
    harness = job_harness.Harness(job_harness.FakeRunner('a'))
    harness.submit(
        job_harness.make_job(
            'j', dataclasses.replace(SMALL, count=2),
            dataclasses.replace(SMALL, after=(0,)),
        )
    )  # fmt: skip
    harness.step()
    assert set(harness.find_placements('j')) == {'j.0.0.0', 'j.0.0.1'}
    harness.runners['a'].end('j.0.0.0', 'done')
    harness.step()
    assert set(harness.find_placements('j')) == {'j.0.0.1'}
    harness.runners['a'].end('j.0.0.1', 'done')
    harness.step()
    assert set(harness.find_placements('j')) == {'j.0.1.0'}
    harness.runners['a'].end('j.0.1.0', 'done')
    harness.step()
    assert harness.find_state('j') == 'completed'


def test_repeated_submission_creates_one_job() -> None:
    """Guard against a repeated submission that starts tasks again."""
    harness = job_harness.Harness(job_harness.FakeRunner('a'))
    for _ in range(3):
        harness.submit(job_harness.make_job('j', SMALL))
    harness.step()
    assert len(harness.replies) == 3
    assert {r.outcome for r in harness.replies} == {'accepted'}
    assert len(harness.find_placements('j')) == 1


def test_nothing_is_sent_before_its_records_are_durable() -> None:
    """Guard against a start or reply that is lost with a failed owner."""
    harness = job_harness.Harness(job_harness.FakeRunner('a'))
    harness.store_available = False
    harness.submit(job_harness.make_job('j', SMALL))
    harness.step()
    assert not harness.replies
    assert not harness.find_placements('j')
    harness.store_available = True
    harness.step()
    assert harness.replies and harness.find_placements('j')


def test_cursor_waits_for_the_log() -> None:
    """Guard against a runner that drops an end that is not durable."""
    harness = job_harness.Harness(job_harness.FakeRunner('a'))
    harness.submit(job_harness.make_job('j', SMALL))
    harness.step()
    harness.store_available = False
    harness.runners['a'].end('j.0.0.0', 'done')
    harness.step()
    assert harness.runners['a'].cursor == 0
    assert harness.find_state('j') == 'running'
    harness.store_available = True
    harness.step()
    assert harness.runners['a'].cursor == 1
    assert harness.find_state('j') == 'completed'


def test_capacity_is_not_exceeded_while_a_stop_is_under_way() -> None:
    """Guard against overcommitting a runner, which checks no capacity."""
    harness = job_harness.Harness(job_harness.FakeRunner('a', cpu=2000))
    big = types.Step(4, types.Demand(1000, 100))
    harness.submit(job_harness.make_job('j', big))
    for _ in range(4):
        harness.step()
        assert len(harness.find_placements('j')) <= 2


def test_unreachable_runner_keeps_its_tasks_until_its_lease_expires() -> None:
    """Guard against a second run while the first may still be running."""
    harness = job_harness.Harness(
        job_harness.FakeRunner('a'), job_harness.FakeRunner('b')
    )
    harness.submit(job_harness.make_job('j', SMALL))
    harness.step()
    first = harness.find_placements('j')['j.0.0.0']
    harness.runners[first].connected = False
    disconnected_at = harness.now
    while harness.now < disconnected_at + job_harness.LEASE_S:
        harness.step()
        assert set(harness.find_placements('j').values()) == {first}
    harness.runners[first].runs.clear()
    for _ in range(4):
        harness.step()
    assert set(harness.find_placements('j').values()) == {'a', 'b'} - {first}


def test_new_owner_waits_for_runs_of_the_old_one() -> None:
    """Guard against a second run after a takeover."""
    harness = job_harness.Harness(
        job_harness.FakeRunner('a'), job_harness.FakeRunner('b')
    )
    harness.submit(job_harness.make_job('j', SMALL))
    harness.step()
    first = harness.find_placements('j')['j.0.0.0']
    harness.runners[first].connected = False
    harness.take_over()
    harness.attach_all()
    for _ in range(10):
        harness.step()
        assert set(harness.find_placements('j').values()) == {first}
    harness.runners[first].connected = True
    harness.attach(harness.runners[first])
    harness.step()
    assert harness.find_placements('j') == {'j.0.0.0': first}


def test_order_of_an_older_lease_is_dropped() -> None:
    """Guard against a start that is sent under a newer lease."""
    harness = job_harness.Harness(job_harness.FakeRunner('a'))
    harness.store_available = False
    harness.submit(job_harness.make_job('j', SMALL))
    harness.step()
    old = [e for e in harness.deferred if isinstance(e, effects.SendToAgent)]
    harness.attach(harness.runners['a'])
    runner = harness.ctl.runners['a']
    assert all(effect.token != runner.token for effect in old)
    harness.store_available = True
    harness.step()
    harness.step()
    assert len(harness.find_placements('j')) == 1


def test_restarted_runner_gets_its_runs_again() -> None:
    """Guard against waiting for runs that ended with a runner's restart."""
    harness = job_harness.Harness(job_harness.FakeRunner('a'))
    harness.submit(job_harness.make_job('j', SMALL))
    harness.step()
    harness.runners['a'].restart(born_ms=2)
    harness.attach(harness.runners['a'])
    harness.step()
    assert harness.runners['a'].runs['j.0.0.0'].attempt == 2


def test_restart_of_all_runners_does_not_make_them_suspect() -> None:
    """Guard against a recovery in which a runner gets one task at a time."""
    harness = job_harness.Harness(job_harness.FakeRunner('a', cpu=64000))
    harness.submit(
        job_harness.make_job('j', dataclasses.replace(SMALL, count=20))
    )
    harness.step()
    harness.runners['a'].restart(born_ms=2)
    harness.take_over()
    harness.attach_all()
    harness.step()
    assert len(harness.find_placements('j')) == 20


def test_job_fails_after_its_attempts() -> None:
    """Guard against a task that is started after its last attempt."""
    harness = job_harness.Harness(
        job_harness.FakeRunner('a'), job_harness.FakeRunner('b')
    )
    harness.submit(job_harness.make_job('j', SMALL))
    for _ in range(2):
        harness.step()
        ((task, name),) = harness.find_placements('j').items()
        harness.runners[name].end(task, 'failed')
    for _ in range(3):
        harness.step()
    assert not harness.find_placements('j')
    assert harness.find_state('j') == 'failed'


def test_failed_task_prefers_another_runner() -> None:
    """Guard against retries on the runner that has failed the task."""
    harness = job_harness.Harness(
        job_harness.FakeRunner('a'), job_harness.FakeRunner('b')
    )
    harness.submit(job_harness.make_job('j', SMALL))
    harness.step()
    ((task, name),) = harness.find_placements('j').items()
    harness.runners[name].end(task, 'failed')
    harness.step()
    assert harness.find_placements('j')[task] != name


def test_cancelled_job_stops_and_never_starts_again() -> None:
    """Guard against a task that runs after the confirmed cancellation."""
    harness = job_harness.Harness(job_harness.FakeRunner('a'))
    harness.submit(job_harness.make_job('j', SMALL))
    harness.step()
    harness.ctl.cancel(('', 'c'), 'j', harness.now)
    harness.flush()
    assert harness.replies[-1].outcome == 'cancelled'
    for _ in range(3):
        harness.step()
        assert not harness.find_placements('j')
    assert harness.find_state('j') == 'cancelled'


def test_long_running_task_is_restarted_whatever_its_outcome() -> None:
    """Guard against a serving task that is not restarted after it ended."""
    harness = job_harness.Harness(job_harness.FakeRunner('a'))
    lasts = dataclasses.replace(SMALL, lasts=True, max_unavailable=1)
    harness.submit(job_harness.make_job('j', lasts))
    harness.step()
    for how in ('failed', 'failed', 'done', 'lapsed'):
        harness.runners['a'].end('j.0.0.0', how)
        harness.step()
        harness.step()
        assert harness.find_placements('j') == {'j.0.0.0': 'a'}, how


@pytest.mark.parametrize('lasts', [True, False])
def test_draining_runner_gets_no_start(lasts: bool) -> None:
    """Guard against starts on a draining runner."""
    harness = job_harness.Harness(job_harness.FakeRunner('a'))
    runner = harness.runners['a']
    runner.info = dataclasses.replace(
        runner.info, draining=True, remaining_ms=5000
    )
    harness.step()
    harness.submit(
        job_harness.make_job('j', dataclasses.replace(SMALL, lasts=lasts))
    )
    for _ in range(3):
        harness.step()
    assert not harness.find_placements('j')


def test_serving_task_moves_off_a_draining_runner() -> None:
    """Guard against a serving task that ends with its draining runner."""
    harness = job_harness.Harness(
        job_harness.FakeRunner('a'), job_harness.FakeRunner('b')
    )
    lasts = dataclasses.replace(SMALL, lasts=True, max_unavailable=1)
    harness.submit(job_harness.make_job('j', lasts))
    harness.step()
    harness.step()
    first = harness.find_placements('j')['j.0.0.0']
    runner = harness.runners[first]
    runner.info = dataclasses.replace(
        runner.info, draining=True, remaining_ms=5000
    )
    for _ in range(3):
        harness.step()
    assert harness.find_placements('j')['j.0.0.0'] != first


def test_gang_starts_completely_or_not_at_all() -> None:
    """Guard against started members of a gang that can't be completed."""
    harness = job_harness.Harness(job_harness.FakeRunner('a', cpu=3000))
    gang = types.Step(4, types.Demand(1000, 100), gang=True)
    harness.submit(job_harness.make_job('j', gang))
    for _ in range(3):
        harness.step()
        assert not harness.find_placements('j')
    late = job_harness.FakeRunner('b', cpu=3000)
    harness.runners['b'] = late
    harness.attach(late)
    harness.step()
    assert len(harness.find_placements('j')) == 4
    attempts = {
        run.attempt
        for r in harness.runners.values()
        for run in r.runs.values()
    }
    assert attempts == {1}


def test_scheduled_job_waits_for_its_time() -> None:
    """Guard against an occurrence that starts before it is due."""
    harness = job_harness.Harness(job_harness.FakeRunner('a'))
    harness.submit(
        job_harness.make_job(
            'j', SMALL, start_at_ms=job_harness.WALL_MS + 2000, repeat=2,
            interval_ms=2000,
        )
    )  # fmt: skip
    counts = []
    for _ in range(12):
        harness.step()
        counts.append(len(harness.find_placements('j')))
    assert counts[:3] == [0, 0, 0]
    assert counts[-1] == 2


def test_state_of_unknown_job() -> None:
    """Guard against reporting a state of a job that was never submitted."""
    harness = job_harness.Harness(job_harness.FakeRunner('a'))
    assert harness.find_state('nobody') == 'unknown_job'


def test_restated_job_survives_the_trim_of_its_records() -> None:
    """Guard against losing a long job when its first records are trimmed."""
    harness = job_harness.Harness(job_harness.FakeRunner('a'))
    lasts = dataclasses.replace(SMALL, lasts=True, max_unavailable=1)
    harness.submit(job_harness.make_job('j', lasts))
    for _ in range(3):
        harness.step()
    kept = len(harness.log)
    for _ in range(110):
        harness.step(1.0)
    del harness.log[:kept]
    harness.take_over()
    harness.attach_all()
    harness.step()
    assert harness.find_state('j') == 'running'
    assert harness.find_placements('j') == {'j.0.0.0': 'a'}


def test_start_that_waited_for_the_log_is_not_sent_to_a_draining_runner() -> (
    None
):
    """Guard against a start that was chosen before its runner drained."""
    harness = job_harness.Harness(job_harness.FakeRunner('a'))
    harness.store_available = False
    harness.submit(job_harness.make_job('j', SMALL))
    harness.step()
    runner = harness.runners['a']
    runner.info = dataclasses.replace(
        runner.info, draining=True, remaining_ms=5000
    )
    harness.step()
    harness.store_available = True
    harness.step()
    harness.step()
    assert not harness.find_placements('j')


def test_reason_of_a_waiting_step_is_logged() -> None:
    """Guard against a job that waits without a log event with the reason."""
    harness = job_harness.Harness(
        job_harness.FakeRunner('a'), job_harness.FakeRunner('b')
    )
    large = types.Step(1, types.Demand(17000, 100))
    labelled = types.Step(1, types.Demand(10, 10), label='fast')
    harness.submit(job_harness.make_job('j', large, labelled))
    harness.step(0.1)
    harness.step(0.1)
    found = {
        event.fields['step']: event.fields
        for event in harness.log_events
        if event.event == 'step waits'
    }
    assert found['j.0.0']['processors'] == 2
    assert found['j.0.1']['label'] == 2
    assert len([n for n in harness.log_events if n.event == 'step waits']) == 2


def test_late_end_of_an_unreachable_runner_is_recorded() -> None:
    """Guard against repeating work that is done.

    An agent was killed and the lease of its runner expired; the new agent
    reported the end before any other start (fault soak, seed 201).
    """
    harness = job_harness.Harness(job_harness.FakeRunner('a'))
    harness.submit(job_harness.make_job('j', SMALL))
    harness.step()
    runner = harness.runners['a']
    runner.connected = False
    runner.end('j.0.0.0', 'done')
    for _ in range(20):
        harness.step()
    assert harness.find_placements('j') == {}
    runner.connected = True
    harness.attach(runner)
    harness.step()
    assert harness.find_state('j') == 'completed'
    assert harness.find_placements('j') == {}


def test_draining_runner_stays_so_after_its_agent_restarts() -> None:
    """Guard against a runner that left and is in use again.

    The restarted agent knows nothing of the drain, and a heartbeat from before
    it arrives late.
    """
    runner = job_harness.FakeRunner('a')
    harness = job_harness.Harness(runner)
    ready = runner.info
    runner.info = dataclasses.replace(ready, draining=True, remaining_ms=9000)
    harness.step()
    runner.info = ready
    harness.attach(runner)
    harness.submit(job_harness.make_job('j', types.Step(1)))
    harness.step()
    assert harness.find_placements('j') == {}
    runner.restart(2)
    harness.attach(runner)
    harness.step()
    assert set(harness.find_placements('j').values()) == {'a'}


@pytest.mark.parametrize('silent_s', [1.0, 3.0, 5.9])
def test_silent_runner_keeps_its_work(silent_s: float) -> None:
    """Guard against work that is started elsewhere while its lease runs."""
    runners = [job_harness.FakeRunner(name) for name in 'ab']
    harness = job_harness.Harness(*runners)
    harness.submit(job_harness.make_job('j', types.Step(2)))
    harness.step()
    before = harness.find_placements('j')
    runners[0].connected = False
    for _ in range(round(silent_s / 0.1)):
        harness.step(0.1)
    assert harness.find_placements('j') == before
    runners[0].connected = True
    harness.attach(runners[0])
    for _ in range(20):
        harness.step(0.5)
    assert harness.find_placements('j') == before
    assert not [e for e in harness.log_events if e.event == 'run lost']

"""Check the decisions of the owner of the jobs."""

import dataclasses

import job_harness
import pytest

from kcr_jobs import effects
from kcr_jobs import types

SMALL = types.Step(1, types.Demand(1000, 100))


def test_steps_run_in_order_of_their_dependencies() -> None:
    """Guard against a step that starts before the one it depends on."""
    world = job_harness.Harness(job_harness.FakeRunner('a'))
    world.submit(
        job_harness.make_job(
            'j', dataclasses.replace(SMALL, count=2),
            dataclasses.replace(SMALL, after=(0,)),
        )
    )  # fmt: skip
    world.step()
    assert set(world.places('j')) == {'j.0.0.0', 'j.0.0.1'}
    world.runners['a'].end('j.0.0.0', 'done')
    world.step()
    assert set(world.places('j')) == {'j.0.0.1'}
    world.runners['a'].end('j.0.0.1', 'done')
    world.step()
    assert set(world.places('j')) == {'j.0.1.0'}
    world.runners['a'].end('j.0.1.0', 'done')
    world.step()
    assert world.state('j') == 'completed'


def test_job_that_is_submitted_again_stays_one() -> None:
    """Guard against a repeated submission that starts tasks again."""
    world = job_harness.Harness(job_harness.FakeRunner('a'))
    for _ in range(3):
        world.submit(job_harness.make_job('j', SMALL))
    world.step()
    assert len(world.replies) == 3
    assert {r.outcome for r in world.replies} == {'accepted'}
    assert len(world.places('j')) == 1


def test_nothing_is_sent_before_the_log_has_it() -> None:
    """Guard against a start or an answer that a lost owner forgets."""
    world = job_harness.Harness(job_harness.FakeRunner('a'))
    world.stored = False
    world.submit(job_harness.make_job('j', SMALL))
    world.step()
    assert not world.replies
    assert not world.places('j')
    world.stored = True
    world.step()
    assert world.replies and world.places('j')


def test_cursor_waits_for_the_log() -> None:
    """Guard against a runner that forgets an end that is not durable."""
    world = job_harness.Harness(job_harness.FakeRunner('a'))
    world.submit(job_harness.make_job('j', SMALL))
    world.step()
    world.stored = False
    world.runners['a'].end('j.0.0.0', 'done')
    world.step()
    assert world.runners['a'].cursor == 0
    assert world.state('j') == 'running'
    world.stored = True
    world.step()
    assert world.runners['a'].cursor == 1
    assert world.state('j') == 'completed'


def test_capacity_is_not_exceeded_while_a_stop_is_under_way() -> None:
    """Guard against overcommitting a runner that checks nothing."""
    world = job_harness.Harness(job_harness.FakeRunner('a', cpu=2000))
    big = types.Step(4, types.Demand(1000, 100))
    world.submit(job_harness.make_job('j', big))
    for _ in range(4):
        world.step()
        assert len(world.places('j')) <= 2


def test_silent_runner_keeps_its_tasks_until_its_lease_has_lapsed() -> None:
    """Guard against a second run while the first may go on."""
    world = job_harness.Harness(
        job_harness.FakeRunner('a'), job_harness.FakeRunner('b')
    )
    world.submit(job_harness.make_job('j', SMALL))
    world.step()
    first = world.places('j')['j.0.0.0']
    world.runners[first].connected = False
    left = world.now
    while world.now < left + job_harness.LEASE_S:
        world.step()
        assert set(world.places('j').values()) == {first}
    world.runners[first].runs.clear()
    for _ in range(4):
        world.step()
    assert set(world.places('j').values()) == {'a', 'b'} - {first}


def test_new_owner_waits_for_runs_of_the_old_one() -> None:
    """Guard against a second run after a takeover."""
    world = job_harness.Harness(
        job_harness.FakeRunner('a'), job_harness.FakeRunner('b')
    )
    world.submit(job_harness.make_job('j', SMALL))
    world.step()
    first = world.places('j')['j.0.0.0']
    world.runners[first].connected = False
    world.lead()
    world.attach_all()
    for _ in range(10):
        world.step()
        assert set(world.places('j').values()) == {first}
    world.runners[first].connected = True
    world.attach(world.runners[first])
    world.step()
    assert world.places('j') == {'j.0.0.0': first}


def test_order_of_an_older_lease_is_dropped() -> None:
    """Guard against a start that overtakes a takeover."""
    world = job_harness.Harness(job_harness.FakeRunner('a'))
    world.stored = False
    world.submit(job_harness.make_job('j', SMALL))
    world.step()
    old = [e for e in world.waiting if isinstance(e, effects.SendToAgent)]
    world.attach(world.runners['a'])
    node = world.ctl.runners['a']
    assert all(effect.token != node.token for effect in old)
    world.stored = True
    world.step()
    world.step()
    assert len(world.places('j')) == 1


def test_reborn_runner_loses_its_runs_and_gets_them_again() -> None:
    """Guard against runs that are waited for although their life is over."""
    world = job_harness.Harness(job_harness.FakeRunner('a'))
    world.submit(job_harness.make_job('j', SMALL))
    world.step()
    world.runners['a'].restart(born=2)
    world.attach(world.runners['a'])
    world.step()
    assert world.runners['a'].runs['j.0.0.0'].attempt == 2


def test_lost_power_of_all_does_not_make_runners_suspect() -> None:
    """Guard against a recovery in which every runner gets one task only."""
    world = job_harness.Harness(job_harness.FakeRunner('a', cpu=64000))
    world.submit(
        job_harness.make_job('j', dataclasses.replace(SMALL, count=20))
    )
    world.step()
    world.runners['a'].restart(born=2)
    world.lead()
    world.attach_all()
    world.step()
    assert len(world.places('j')) == 20


def test_job_fails_after_its_attempts() -> None:
    """Guard against a task that is started more often than its budget."""
    world = job_harness.Harness(
        job_harness.FakeRunner('a'), job_harness.FakeRunner('b')
    )
    world.submit(job_harness.make_job('j', SMALL))
    for _ in range(2):
        world.step()
        ((task, node),) = world.places('j').items()
        world.runners[node].end(task, 'failed')
    for _ in range(3):
        world.step()
    assert not world.places('j')
    assert world.state('j') == 'failed'


def test_failed_task_prefers_another_runner() -> None:
    """Guard against retries on the runner that has failed the task."""
    world = job_harness.Harness(
        job_harness.FakeRunner('a'), job_harness.FakeRunner('b')
    )
    world.submit(job_harness.make_job('j', SMALL))
    world.step()
    ((task, node),) = world.places('j').items()
    world.runners[node].end(task, 'failed')
    world.step()
    assert world.places('j')[task] != node


def test_cancelled_job_stops_and_never_starts_again() -> None:
    """Guard against a task that runs after its cancel was confirmed."""
    world = job_harness.Harness(job_harness.FakeRunner('a'))
    world.submit(job_harness.make_job('j', SMALL))
    world.step()
    world.ctl.cancel(('', 'c'), 'j', world.now)
    world.flush()
    assert world.replies[-1].outcome == 'cancelled'
    for _ in range(3):
        world.step()
        assert not world.places('j')
    assert world.state('j') == 'cancelled'


def test_lasting_task_is_restarted_however_it_ends() -> None:
    """Guard against a serving task that stays away after a failure."""
    world = job_harness.Harness(job_harness.FakeRunner('a'))
    lasts = dataclasses.replace(SMALL, lasts=True, max_unavailable=1)
    world.submit(job_harness.make_job('j', lasts))
    world.step()
    for how in ('failed', 'failed', 'done', 'lapsed'):
        world.runners['a'].end('j.0.0.0', how)
        world.step()
        world.step()
        assert world.places('j') == {'j.0.0.0': 'a'}, how


@pytest.mark.parametrize('lasts', [True, False])
def test_draining_runner_gets_no_start(lasts: bool) -> None:
    """Guard against work that is sent to a runner that leaves."""
    world = job_harness.Harness(job_harness.FakeRunner('a'))
    runner = world.runners['a']
    runner.info = dataclasses.replace(
        runner.info, draining=True, remaining_ms=5000
    )
    world.step()
    world.submit(
        job_harness.make_job('j', dataclasses.replace(SMALL, lasts=lasts))
    )
    for _ in range(3):
        world.step()
    assert not world.places('j')


def test_serving_task_moves_off_a_draining_runner() -> None:
    """Guard against a serving task that goes down with its runner."""
    world = job_harness.Harness(
        job_harness.FakeRunner('a'), job_harness.FakeRunner('b')
    )
    lasts = dataclasses.replace(SMALL, lasts=True, max_unavailable=1)
    world.submit(job_harness.make_job('j', lasts))
    world.step()
    world.step()
    first = world.places('j')['j.0.0.0']
    runner = world.runners[first]
    runner.info = dataclasses.replace(
        runner.info, draining=True, remaining_ms=5000
    )
    for _ in range(3):
        world.step()
    assert world.places('j')['j.0.0.0'] != first


def test_gang_starts_whole_or_not_at_all() -> None:
    """Guard against members of a gang that wait for others in vain."""
    world = job_harness.Harness(job_harness.FakeRunner('a', cpu=3000))
    gang = types.Step(4, types.Demand(1000, 100), gang=True)
    world.submit(job_harness.make_job('j', gang))
    for _ in range(3):
        world.step()
        assert not world.places('j')
    late = job_harness.FakeRunner('b', cpu=3000)
    world.runners['b'] = late
    world.attach(late)
    world.step()
    assert len(world.places('j')) == 4
    attempts = {
        run.attempt for r in world.runners.values() for run in r.runs.values()
    }
    assert attempts == {1}


def test_scheduled_job_waits_for_its_time() -> None:
    """Guard against an occurrence that starts before it is due."""
    world = job_harness.Harness(job_harness.FakeRunner('a'))
    world.submit(
        job_harness.make_job(
            'j', SMALL, start_at_ms=job_harness.WALL_MS + 2000, repeat=2,
            interval_ms=2000,
        )
    )  # fmt: skip
    seen = []
    for _ in range(12):
        world.step()
        seen.append(len(world.places('j')))
    assert seen[:3] == [0, 0, 0]
    assert seen[-1] == 2


def test_state_of_unknown_job() -> None:
    """Guard against a state that is made up for a job nobody submitted."""
    world = job_harness.Harness(job_harness.FakeRunner('a'))
    assert world.state('nobody') == 'unknown_job'


def test_restated_job_survives_the_trim_of_its_records() -> None:
    """Guard against a long job that is lost with its first records."""
    world = job_harness.Harness(job_harness.FakeRunner('a'))
    lasts = dataclasses.replace(SMALL, lasts=True, max_unavailable=1)
    world.submit(job_harness.make_job('j', lasts))
    for _ in range(3):
        world.step()
    kept = len(world.log)
    for _ in range(110):
        world.step(1.0)
    del world.log[:kept]
    world.lead()
    world.attach_all()
    world.step()
    assert world.state('j') == 'running'
    assert world.places('j') == {'j.0.0.0': 'a'}


def test_start_that_waited_for_the_log_is_not_sent_to_a_draining_runner() -> (
    None
):
    """Guard against a start that was decided before its runner drained."""
    world = job_harness.Harness(job_harness.FakeRunner('a'))
    world.stored = False
    world.submit(job_harness.make_job('j', SMALL))
    world.step()
    runner = world.runners['a']
    runner.info = dataclasses.replace(
        runner.info, draining=True, remaining_ms=5000
    )
    world.step()
    world.stored = True
    world.step()
    world.step()
    assert not world.places('j')


def test_waiting_step_is_explained() -> None:
    """Guard against a job that waits without a line that says why."""
    world = job_harness.Harness(
        job_harness.FakeRunner('a'), job_harness.FakeRunner('b')
    )
    large = types.Step(1, types.Demand(17000, 100))
    labelled = types.Step(1, types.Demand(10, 10), label='fast')
    world.submit(job_harness.make_job('j', large, labelled))
    world.step(0.1)
    world.step(0.1)
    found = {
        note.fields['step']: note.fields
        for note in world.noted
        if note.event == 'step waits'
    }
    assert found['j.0.0']['processors'] == 2
    assert found['j.0.1']['label'] == 2
    assert len([n for n in world.noted if n.event == 'step waits']) == 2


def test_answer_of_a_silent_runner_is_taken_late() -> None:
    """Guard against work that is done and then repeated.

    Found by the fault soak (seed 201): an agent was killed, the lease of its
    runner lapsed, and the new agent listed the end before any other start.
    """
    world = job_harness.Harness(job_harness.FakeRunner('a'))
    world.submit(job_harness.make_job('j', SMALL))
    world.step()
    runner = world.runners['a']
    runner.connected = False
    runner.end('j.0.0.0', 'done')
    for _ in range(20):
        world.step()
    assert world.places('j') == {}
    runner.connected = True
    world.attach(runner)
    world.step()
    assert world.state('j') == 'completed'
    assert world.places('j') == {}

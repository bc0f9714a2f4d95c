"""Check durable tasks at the entry, from submission to the end."""

import log_harness
import pytest
import task_harness

from kcr_core import messages
from kcr_core import records
from kcr_core import task_outcomes
from kcr_core import types
from kcr_entry import addresses
from kcr_entry import events
from kcr_entry.work import submissions
from kcr_entry.work import tasks


@pytest.fixture
def world() -> log_harness.Harness:
    """Return a world with an emulated log."""
    return log_harness.Harness()


@pytest.fixture
def sidecar(
    world: log_harness.Harness, entry: task_harness.Entry
) -> task_harness.Sidecar:
    """Return the sidecar that is the home of the task `c/t`."""
    sidecar = task_harness.Sidecar(entry, 'i')
    entry.submit('s', task_harness.make_spec('t'))
    world.run(1.0)
    return sidecar


@pytest.fixture
def entry(world: log_harness.Harness) -> task_harness.Entry:
    """Return an entry that has read the empty stream."""
    entry = task_harness.Entry(world, '1')
    # The first read waits at the log for a second.
    world.run(1.5)
    return entry


def test_task_is_durable_before_it_is_accepted_and_assigned(
    world: log_harness.Harness, entry: task_harness.Entry
) -> None:
    """Guard against an answer or a start without a record."""
    sidecar = task_harness.Sidecar(entry, 'i')
    world.log.outage = 'hold'
    entry.submit('s', task_harness.make_spec('t'))
    world.run(1.0)
    assert entry.answer('s') is None
    assert sidecar.got(messages.Assign) == []
    world.log.outage = 'none'
    world.run(3.0)
    accepted = entry.answer('s')
    assert isinstance(accepted, task_outcomes.Accepted), accepted
    [assign] = sidecar.got(messages.Assign)
    assert (assign.spec.key, assign.epoch) == ('c/t', 1)
    assert assign.incarnation == 'i-1'
    sidecar.report(addresses.TASKS, messages.Started('c/t', 1))
    state = entry.look('c/t')
    assert state.state == 'running'


def test_refused_append_is_not_accepted_and_may_be_repeated(
    world: log_harness.Harness, entry: task_harness.Entry
) -> None:
    """Guard against an answer that leaves a refused task in doubt."""
    task_harness.Sidecar(entry, 'i')
    world.log.outage = 'refuse'
    entry.submit('a', task_harness.make_spec('t'))
    world.run(4.0)
    assert isinstance(entry.answer('a'), task_outcomes.NotAccepted)
    world.log.outage = 'none'
    world.run(4.0)
    entry.submit('b', task_harness.make_spec('t'))
    world.run(1.0)
    assert isinstance(entry.answer('b'), task_outcomes.Accepted)
    assert entry.tasks.submissions.dump()['submissions'] == 0


def test_append_without_an_answer_ends_unknown(
    world: log_harness.Harness, entry: task_harness.Entry
) -> None:
    """Guard against a caller that waits for ever, or gets a false no."""
    task_harness.Sidecar(entry, 'i')
    world.log.outage = 'hold'
    entry.submit('a', task_harness.make_spec('t'))
    world.run(11.0)
    assert isinstance(entry.answer('a'), task_outcomes.Uncertain)


def test_lost_answer_ends_accepted_by_reading_back(
    world: log_harness.Harness, entry: task_harness.Entry
) -> None:
    """Guard against a refusal of a task that is in the log."""
    task_harness.Sidecar(entry, 'i')
    world.log.lose_next = 1
    entry.submit('s', task_harness.make_spec('t'))
    world.run(5.0)
    assert isinstance(entry.answer('s'), task_outcomes.Accepted)
    assert task_harness.read_tasks(entry) == {'c/t': 1}


def test_nothing_is_accepted_before_the_stream_was_read(
    world: log_harness.Harness,
) -> None:
    """Guard against decisions from a ledger that is not complete."""
    world.log.outage = 'refuse'
    entry = task_harness.Entry(world, '1')
    task_harness.Sidecar(entry, 'i')
    entry.submit('s', task_harness.make_spec('t'))
    entry.ask('g', submissions.Get('c/t'))
    world.run(0.5)
    refused = task_outcomes.NotAccepted('the log is not read up to now')
    assert entry.answer('s') == refused
    assert entry.answer('g') == task_outcomes.NoTask('c/t', False)


def test_repeat_and_other_content(
    world: log_harness.Harness, entry: task_harness.Entry
) -> None:
    """Guard against a second task and against a hidden change of one."""
    task_harness.Sidecar(entry, 'i')
    entry.submit('a', task_harness.make_spec('t'))
    entry.submit('b', task_harness.make_spec('t'))
    entry.submit('d', task_harness.make_spec('t', run_s=9.0))
    world.run(1.0)
    entry.submit('e', task_harness.make_spec('t', run_s=9.0))
    world.run(1.0)
    assert isinstance(entry.answer('a'), task_outcomes.Accepted)
    assert isinstance(entry.answer('b'), task_outcomes.Accepted)
    assert entry.answer('d') == task_outcomes.Conflict('c/t')
    assert entry.answer('e') == task_outcomes.Conflict('c/t')


def test_quota_and_impossible_demand_are_rejected(
    world: log_harness.Harness, entry: task_harness.Entry
) -> None:
    """Guard against tasks that could never run, and against a false no."""
    sidecar = task_harness.Sidecar(entry, 'i')
    huge = types.Demand(64.0)
    entry.submit('early', task_harness.make_spec('e', demand=huge))
    task_harness.run_beating(world, 11, sidecar)
    assert isinstance(entry.answer('early'), task_outcomes.Accepted)
    entry.submit('never', task_harness.make_spec('n', demand=huge))
    quota = (('x', types.Demand(66.0, 500.0, 0)),)
    in_force = events.SettingsInForce(1, types.ControlSettings(), quota)
    world.run(1.0)
    entry.ctx.directory.send(addresses.TASKS, in_force)
    entry.submit('q1', task_harness.make_spec('q1'))
    entry.submit('q2', task_harness.make_spec('q2'))
    entry.submit('q3', task_harness.make_spec('q3'))
    world.run(1.0)
    never = entry.answer('never')
    assert isinstance(never, task_outcomes.Rejected)
    assert 'processors 64 is above the largest instance with 4' in never.reason
    assert isinstance(entry.answer('q2'), task_outcomes.Accepted)
    over = entry.answer('q3')
    assert isinstance(over, task_outcomes.Rejected)
    assert 'processors 67 of 66' in over.reason


def test_parked_task_gets_room_and_urgent_goes_first(
    world: log_harness.Harness, entry: task_harness.Entry
) -> None:
    """Guard against waiting tasks that are forgotten or out of order."""
    big = types.Demand(4.0)
    entry.submit('a', task_harness.make_spec('a', demand=big))
    world.run(0.2)
    entry.submit('b', task_harness.make_spec('b', demand=big, urgent=True))
    world.run(1.0)
    accepted = entry.answer('a')
    assert accepted.state.state == 'parked'
    assert 'no instance is known yet' in accepted.state.reason
    sidecar = task_harness.Sidecar(entry, 'i')
    task_harness.run_beating(world, 2, sidecar)
    [assign] = sidecar.got(messages.Assign)
    assert (assign.spec.task_id, assign.epoch) == ('b', 2)
    state = entry.look('c/a')
    assert 'no room now' in state.reason


def test_finished_is_acknowledged_when_it_is_durable(
    world: log_harness.Harness, sidecar: task_harness.Sidecar
) -> None:
    """Guard against a result that is lost with its acknowledgement."""
    done = messages.Finished('c/t', 1, 'done', 'result')
    world.log.outage = 'refuse'
    sidecar.report(addresses.TASKS, done)
    world.run(1.0)
    assert sidecar.got(messages.ReportAck) == []
    world.log.outage = 'none'
    world.run(4.0)
    sidecar.report(addresses.TASKS, done)
    world.run(1.0)
    assert messages.ReportAck('c/t', 1) in sidecar.got(messages.ReportAck)
    state = sidecar.entry.look('c/t')
    assert (state.state, state.reason) == ('done', 'result')


def test_evicted_task_moves_with_its_checkpoint(
    world: log_harness.Harness, sidecar: task_harness.Sidecar
) -> None:
    """Guard against an eviction that loses the checkpoint or the epoch."""
    second = task_harness.Sidecar(sidecar.entry, 'j')
    evicted = messages.Evicted('c/t', 1, 'ckpt', 'noise')
    sidecar.report(addresses.TASKS, evicted)
    sidecar.report(addresses.TASKS, evicted)
    task_harness.run_beating(world, 2, sidecar, second)
    [assign] = second.got(messages.Assign)
    assert (assign.epoch, assign.checkpoint) == (2, 'ckpt')
    assert len(sidecar.got(messages.Assign)) == 1
    assert messages.ReportAck('c/t', 1) in sidecar.got(messages.ReportAck)


def test_cancelled_task_is_stopped(
    world: log_harness.Harness, sidecar: task_harness.Sidecar
) -> None:
    """Guard against a cancelled task that runs on."""
    sidecar.entry.ask('x', submissions.Cancel('c/t'))
    sidecar.entry.ask('y', submissions.Cancel('c/none'))
    world.run(1.0)
    assert sidecar.entry.answer('x').state == 'cancelled'
    assert sidecar.entry.answer('y') == task_outcomes.NoTask('c/none', True)
    stop = messages.StopTask('c/t', 1)
    assert sidecar.got(messages.StopTask) == [stop]
    sidecar.report(addresses.TASKS, messages.Started('c/t', 1))
    world.run(0.1)
    assert sidecar.got(messages.StopTask) == [stop, stop]


def test_sidecar_that_was_away_hears_of_the_cancellation(
    world: log_harness.Harness, sidecar: task_harness.Sidecar
) -> None:
    """Guard against a cancelled task that a sidecar starts later."""
    sidecar.close()
    sidecar.entry.ask('x', submissions.Cancel('c/t'))
    world.run(1.0)
    again = task_harness.Sidecar(sidecar.entry, 'i')
    world.run(0.1)
    assert again.got(messages.StopTask) == [messages.StopTask('c/t', 1)]
    assert again.got(messages.Assign) == []


def test_tasks_are_assigned_again_while_the_log_is_down(
    world: log_harness.Harness, sidecar: task_harness.Sidecar
) -> None:
    """Guard against starts that need the log."""
    world.log.outage = 'refuse'
    sidecar.close()
    world.run(20.0)
    sidecar.probe.received.clear()
    again = task_harness.Sidecar(sidecar.entry, 'i')
    world.run(1.0)
    assert len(again.got(messages.Assign)) == 1
    sidecar.entry.submit('n', task_harness.make_spec('n'))
    world.run(0.1)
    assert isinstance(sidecar.entry.answer('n'), task_outcomes.NotAccepted)


def test_vouch_tells_the_age_of_the_view(
    world: log_harness.Harness, entry: task_harness.Entry
) -> None:
    """Guard against a vouch from a view that is not fresh."""
    sidecar = task_harness.Sidecar(entry, 'i')
    task_harness.run_beating(world, 2, sidecar)
    assert 0 <= sidecar.got(messages.HeartbeatAck)[-1].log_age_ms <= 2000
    world.log.outage = 'refuse'
    task_harness.run_beating(world, 3, sidecar)
    assert 1000 <= sidecar.got(messages.HeartbeatAck)[-1].log_age_ms <= 5000
    # All vouches of the second case are there before the limit of 10 s.
    task_harness.run_beating(world, 3, sidecar)
    assert sidecar.got(messages.HeartbeatAck)[-1].log_age_ms == -1


def test_lost_home_is_fenced_and_its_task_moves_after_the_wait(
    world: log_harness.Harness,
) -> None:
    """Guard against a task that stays lost or moves too early."""
    first = task_harness.Entry(world, '1')
    second = task_harness.Entry(world, '2')
    task_harness.connect_entries(first, second)
    world.run(11.0)
    lost = task_harness.Sidecar(first, 'i')
    world.run(0.1)
    first.submit('s', task_harness.make_spec('t'))
    world.run(1.0)
    other = task_harness.Sidecar(first, 'j')
    seen = task_harness.Sidecar(second, 'i')
    task_harness.run_beating(world, 12, other, seen)
    assert not first.tasks.state.fences, 'a peer hears it'
    seen.close()
    lost.close()
    task_harness.run_beating(world, 9, other)
    fence = first.tasks.state.fences['i', 'i-1']
    assert fence.record.wait_s == 17.0
    back = task_harness.Sidecar(second, 'i')
    world.run(1.5)
    back.beat()
    world.run(0.1)
    assert back.got(messages.HeartbeatAck)[-1].fenced
    while world.clock.seconds() < fence.movable_at - 1.0:
        task_harness.run_beating(world, 1, other)
    assert other.got(messages.Assign) == []
    task_harness.run_beating(world, 4, other)
    [assign] = other.got(messages.Assign)
    assert assign.epoch == 2
    assert task_harness.read_tasks(second) == {'c/t': 2}


def test_restarted_sidecar_adopts_what_it_runs(
    world: log_harness.Harness, entry: task_harness.Entry
) -> None:
    """Guard against moving or losing tasks when a sidecar restarts."""
    sidecar = task_harness.Sidecar(entry, 'i')
    for name in ('t', 'u'):
        entry.submit(name, task_harness.make_spec(name))
    world.run(1.0)
    sidecar.close()
    running = (types.RunningTask('c/t', 1),)
    newer = task_harness.Sidecar(entry, 'i', 2, running)
    task_harness.run_beating(world, 3, newer)
    assert task_harness.read_tasks(entry) == {'c/t': 1, 'c/u': 2}
    assigned = {
        (a.spec.task_id, a.epoch, a.incarnation)
        for a in newer.got(messages.Assign)
    }
    assert assigned == {('t', 1, 'i-2'), ('u', 2, 'i-2')}
    assert newer.got(messages.StopTask) == []
    assert not newer.got(messages.HeartbeatAck)[-1].fenced


def test_trimmed_stream_is_rebuilt_from_restated_records(
    world: log_harness.Harness, sidecar: task_harness.Sidecar
) -> None:
    """Guard against live tasks that are lost with the records before them."""
    sidecar.entry.ctx.directory.send(
        addresses.TASKS, events.LogGap(task_harness.STREAM, 3)
    )
    world.run(0.1)
    assert not sidecar.entry.tasks.caught_up
    assert task_harness.read_tasks(sidecar.entry) == {}
    held = records.Restated(
        task_harness.make_spec('t'), 4, types.Home('i', 'i-1', 1), '', 0
    )
    item = events.LogItem(3, 'e', held)
    read = events.LogRead(task_harness.STREAM, (item,), True, 1.0, 2, 3)
    sidecar.entry.ctx.directory.send(addresses.TASKS, read)
    world.run(0.2)
    assert sidecar.got(messages.Assign)[-1].epoch == 4


def test_new_entry_reads_live_tasks_after_the_first_records_are_gone(
    world: log_harness.Harness,
) -> None:
    """Guard against a live task that no kept record holds any more."""
    first = task_harness.Entry(world, '1', retention_s=60.0)
    world.run(1.5)
    sidecar = task_harness.Sidecar(first, 'i')
    first.submit('s', task_harness.make_spec('t'))
    first.submit('u', task_harness.make_spec('u'))
    world.run(1.0)
    done = messages.Finished('c/u', 1, 'done')
    sidecar.report(addresses.TASKS, done)
    world.run(1.0)
    stream = world.log.streams[task_harness.STREAM]
    written = stream.last
    # The Unix clock does not move here, so the records are made older.
    first.tasks.state.live['c/t'].written_ms -= 45_000
    world.run(6.0)
    assert stream.last == written + 1
    stream.trim(written + 1)
    second = task_harness.Entry(world, '2', retention_s=60.0)
    world.run(2.5)
    assert task_harness.read_tasks(second) == {'c/t': 1}
    assert second.tasks.caught_up


def test_owner_that_was_restarted_reads_the_stream_again(
    world: log_harness.Harness, sidecar: task_harness.Sidecar
) -> None:
    """Guard against a restart that loses the live tasks."""
    sidecar.entry.tasks.end()
    sidecar.entry.tasks = tasks.Tasks(sidecar.entry.ctx, addresses.TASKS)
    sidecar.entry.tasks.begin()
    world.run(0.5)
    assert task_harness.read_tasks(sidecar.entry) == {'c/t': 1}
    sidecar.beat()
    world.run(2.0)
    assert sidecar.entry.tasks.caught_up

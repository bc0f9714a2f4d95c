"""Check durable tasks at an entry, from submission to the end."""

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
def harness() -> log_harness.Harness:
    """Return a harness with an emulated log."""
    return log_harness.Harness()


@pytest.fixture
def sidecar(
    harness: log_harness.Harness, entry: task_harness.Entry
) -> task_harness.Sidecar:
    """Return the sidecar that is the home of the task `c/t`."""
    sidecar = task_harness.Sidecar(entry, 'i')
    entry.submit('s', task_harness.make_spec('t'))
    harness.run(1.0)
    return sidecar


@pytest.fixture
def entry(harness: log_harness.Harness) -> task_harness.Entry:
    """Return an entry that has read the empty stream."""
    entry = task_harness.Entry(harness, '1')
    # The log holds the first read for a second.
    harness.run(1.5)
    return entry


def test_task_is_durable_before_it_is_accepted_and_assigned(
    harness: log_harness.Harness, entry: task_harness.Entry
) -> None:
    """Guard against an answer or a start before the record is durable."""
    sidecar = task_harness.Sidecar(entry, 'i')
    harness.log.outage = 'hold'
    entry.submit('s', task_harness.make_spec('t'))
    harness.run(1.0)
    assert entry.answer('s') is None
    assert sidecar.received(messages.Assign) == []
    harness.log.outage = 'none'
    harness.run(3.0)
    accepted = entry.answer('s')
    assert isinstance(accepted, task_outcomes.Accepted), accepted
    [assign] = sidecar.received(messages.Assign)
    assert (assign.spec.key, assign.epoch) == ('c/t', 1)
    assert assign.incarnation == 'i-1'
    sidecar.report(addresses.TASKS, messages.Started('c/t', 1))
    state = entry.get_state('c/t')
    assert state.state == 'running'


def test_refused_append_is_not_accepted_and_may_be_repeated(
    harness: log_harness.Harness, entry: task_harness.Entry
) -> None:
    """Guard against an "unknown" answer when the append was refused."""
    task_harness.Sidecar(entry, 'i')
    harness.log.outage = 'refuse'
    entry.submit('a', task_harness.make_spec('t'))
    harness.run(4.0)
    assert isinstance(entry.answer('a'), task_outcomes.NotAccepted)
    harness.log.outage = 'none'
    harness.run(4.0)
    entry.submit('b', task_harness.make_spec('t'))
    harness.run(1.0)
    assert isinstance(entry.answer('b'), task_outcomes.Accepted)
    assert entry.tasks.submissions.dump()['submissions'] == 0


def test_append_without_an_answer_ends_unknown(
    harness: log_harness.Harness, entry: task_harness.Entry
) -> None:
    """Guard against a caller without an answer, or with a false refusal."""
    task_harness.Sidecar(entry, 'i')
    harness.log.outage = 'hold'
    entry.submit('a', task_harness.make_spec('t'))
    harness.run(11.0)
    assert isinstance(entry.answer('a'), task_outcomes.Uncertain)


def test_lost_answer_ends_accepted_by_reading_back(
    harness: log_harness.Harness, entry: task_harness.Entry
) -> None:
    """Guard against a refusal of a task that is in the log."""
    task_harness.Sidecar(entry, 'i')
    harness.log.lose_next = 1
    entry.submit('s', task_harness.make_spec('t'))
    harness.run(5.0)
    assert isinstance(entry.answer('s'), task_outcomes.Accepted)
    assert task_harness.list_epochs(entry) == {'c/t': 1}


def test_nothing_is_accepted_before_the_stream_was_read(
    harness: log_harness.Harness,
) -> None:
    """Guard against decisions from an incomplete ledger."""
    harness.log.outage = 'refuse'
    entry = task_harness.Entry(harness, '1')
    task_harness.Sidecar(entry, 'i')
    entry.submit('s', task_harness.make_spec('t'))
    entry.send_query('g', submissions.GetTask('c/t'))
    harness.run(0.5)
    refused = task_outcomes.NotAccepted('the log is not read up to now')
    assert entry.answer('s') == refused
    assert entry.answer('g') == task_outcomes.NoTask('c/t', False)


def test_repeat_and_other_content(
    harness: log_harness.Harness, entry: task_harness.Entry
) -> None:
    """Guard against a duplicate task and a silently changed one."""
    task_harness.Sidecar(entry, 'i')
    entry.submit('a', task_harness.make_spec('t'))
    entry.submit('b', task_harness.make_spec('t'))
    entry.submit('d', task_harness.make_spec('t', run_s=9.0))
    harness.run(1.0)
    entry.submit('e', task_harness.make_spec('t', run_s=9.0))
    harness.run(1.0)
    assert isinstance(entry.answer('a'), task_outcomes.Accepted)
    assert isinstance(entry.answer('b'), task_outcomes.Accepted)
    assert entry.answer('d') == task_outcomes.Conflict('c/t')
    assert entry.answer('e') == task_outcomes.Conflict('c/t')


def test_quota_and_impossible_demand_are_rejected(
    harness: log_harness.Harness, entry: task_harness.Entry
) -> None:
    """Guard against tasks that can never run, and false rejections."""
    sidecar = task_harness.Sidecar(entry, 'i')
    huge = types.Demand(64.0)
    entry.submit('early', task_harness.make_spec('e', demand=huge))
    task_harness.run_with_heartbeats(harness, 11, sidecar)
    assert isinstance(entry.answer('early'), task_outcomes.Accepted)
    entry.submit('never', task_harness.make_spec('n', demand=huge))
    quota = (('x', types.Demand(66.0, 500.0, 0)),)
    in_force = events.SettingsInForce(1, types.ControlSettings(), quota)
    harness.run(1.0)
    entry.ctx.directory.send(addresses.TASKS, in_force)
    entry.submit('q1', task_harness.make_spec('q1'))
    entry.submit('q2', task_harness.make_spec('q2'))
    entry.submit('q3', task_harness.make_spec('q3'))
    harness.run(1.0)
    never = entry.answer('never')
    assert isinstance(never, task_outcomes.Rejected)
    assert 'processors 64 is above the largest instance with 4' in never.reason
    assert isinstance(entry.answer('q2'), task_outcomes.Accepted)
    over = entry.answer('q3')
    assert isinstance(over, task_outcomes.Rejected)
    assert 'processors 67 of 66' in over.reason


def test_parked_task_gets_capacity_and_urgent_goes_first(
    harness: log_harness.Harness, entry: task_harness.Entry
) -> None:
    """Guard against parked tasks that are never placed or out of order."""
    big = types.Demand(4.0)
    entry.submit('a', task_harness.make_spec('a', demand=big))
    harness.run(0.2)
    entry.submit('b', task_harness.make_spec('b', demand=big, urgent=True))
    harness.run(1.0)
    accepted = entry.answer('a')
    assert accepted.state.state == 'parked'
    assert 'no instance is known yet' in accepted.state.reason
    sidecar = task_harness.Sidecar(entry, 'i')
    task_harness.run_with_heartbeats(harness, 2, sidecar)
    [assign] = sidecar.received(messages.Assign)
    assert (assign.spec.task_id, assign.epoch) == ('b', 2)
    state = entry.get_state('c/a')
    assert 'no room now' in state.reason


def test_finished_is_acknowledged_when_it_is_durable(
    harness: log_harness.Harness, sidecar: task_harness.Sidecar
) -> None:
    """Guard against a lost result that was acknowledged too early."""
    done = messages.Finished('c/t', 1, 'done', 'result')
    harness.log.outage = 'refuse'
    sidecar.report(addresses.TASKS, done)
    harness.run(1.0)
    assert sidecar.received(messages.ReportAck) == []
    harness.log.outage = 'none'
    harness.run(4.0)
    sidecar.report(addresses.TASKS, done)
    harness.run(1.0)
    assert messages.ReportAck('c/t', 1) in sidecar.received(messages.ReportAck)
    state = sidecar.entry.get_state('c/t')
    assert (state.state, state.reason) == ('done', 'result')


def test_evicted_task_moves_with_its_checkpoint(
    harness: log_harness.Harness, sidecar: task_harness.Sidecar
) -> None:
    """Guard against an eviction that loses the checkpoint or the epoch."""
    second = task_harness.Sidecar(sidecar.entry, 'j')
    evicted = messages.Evicted('c/t', 1, 'ckpt', 'noise')
    sidecar.report(addresses.TASKS, evicted)
    sidecar.report(addresses.TASKS, evicted)
    task_harness.run_with_heartbeats(harness, 2, sidecar, second)
    [assign] = second.received(messages.Assign)
    assert (assign.epoch, assign.checkpoint) == (2, 'ckpt')
    assert len(sidecar.received(messages.Assign)) == 1
    assert messages.ReportAck('c/t', 1) in sidecar.received(messages.ReportAck)


def test_cancelled_task_is_stopped(
    harness: log_harness.Harness, sidecar: task_harness.Sidecar
) -> None:
    """Guard against a cancelled task that continues to run."""
    sidecar.entry.send_query('x', submissions.CancelTask('c/t'))
    sidecar.entry.send_query('y', submissions.CancelTask('c/none'))
    harness.run(1.0)
    assert sidecar.entry.answer('x').state == 'cancelled'
    assert sidecar.entry.answer('y') == task_outcomes.NoTask('c/none', True)
    stop = messages.StopTask('c/t', 1)
    assert sidecar.received(messages.StopTask) == [stop]
    sidecar.report(addresses.TASKS, messages.Started('c/t', 1))
    harness.run(0.1)
    assert sidecar.received(messages.StopTask) == [stop, stop]


def test_reconnected_sidecar_stops_a_cancelled_task(
    harness: log_harness.Harness, sidecar: task_harness.Sidecar
) -> None:
    """Guard against a cancelled task that is started after reconnection."""
    sidecar.close()
    sidecar.entry.send_query('x', submissions.CancelTask('c/t'))
    harness.run(1.0)
    again = task_harness.Sidecar(sidecar.entry, 'i')
    harness.run(0.1)
    assert again.received(messages.StopTask) == [messages.StopTask('c/t', 1)]
    assert again.received(messages.Assign) == []


def test_tasks_are_assigned_again_while_the_log_is_down(
    harness: log_harness.Harness, sidecar: task_harness.Sidecar
) -> None:
    """Guard against assignments that depend on the log."""
    harness.log.outage = 'refuse'
    sidecar.close()
    harness.run(20.0)
    sidecar.probe.received.clear()
    again = task_harness.Sidecar(sidecar.entry, 'i')
    harness.run(1.0)
    assert len(again.received(messages.Assign)) == 1
    sidecar.entry.submit('n', task_harness.make_spec('n'))
    harness.run(0.1)
    assert isinstance(sidecar.entry.answer('n'), task_outcomes.NotAccepted)


def test_heartbeat_ack_carries_the_age_of_the_view(
    harness: log_harness.Harness, entry: task_harness.Entry
) -> None:
    """Guard against a renewal of authority from an outdated view."""
    sidecar = task_harness.Sidecar(entry, 'i')
    task_harness.run_with_heartbeats(harness, 2, sidecar)
    assert 0 <= sidecar.received(messages.HeartbeatAck)[-1].log_age_ms <= 2000
    harness.log.outage = 'refuse'
    task_harness.run_with_heartbeats(harness, 3, sidecar)
    assert (
        1000 <= sidecar.received(messages.HeartbeatAck)[-1].log_age_ms <= 5000
    )
    # Renewals without a fresh view (age -1) begin within the timeout of 10 s.
    task_harness.run_with_heartbeats(harness, 3, sidecar)
    assert sidecar.received(messages.HeartbeatAck)[-1].log_age_ms == -1


def test_lost_home_is_fenced_and_its_task_moves_after_the_wait(
    harness: log_harness.Harness,
) -> None:
    """Guard against a task that is never moved, or moved too early."""
    first = task_harness.Entry(harness, '1')
    second = task_harness.Entry(harness, '2')
    task_harness.connect_entries(first, second)
    harness.run(11.0)
    lost = task_harness.Sidecar(first, 'i')
    harness.run(0.1)
    first.submit('s', task_harness.make_spec('t'))
    harness.run(1.0)
    other = task_harness.Sidecar(first, 'j')
    second_session = task_harness.Sidecar(second, 'i')
    task_harness.run_with_heartbeats(harness, 12, other, second_session)
    assert not first.tasks.state.fences, 'a peer receives its messages'
    second_session.close()
    lost.close()
    task_harness.run_with_heartbeats(harness, 9, other)
    fence = first.tasks.state.fences['i', 'i-1']
    assert fence.record.wait_s == 17.0
    back = task_harness.Sidecar(second, 'i')
    harness.run(1.5)
    back.send_heartbeat()
    harness.run(0.1)
    assert back.received(messages.HeartbeatAck)[-1].fenced
    while harness.clock.seconds() < fence.movable_at - 1.0:
        task_harness.run_with_heartbeats(harness, 1, other)
    assert other.received(messages.Assign) == []
    task_harness.run_with_heartbeats(harness, 4, other)
    [assign] = other.received(messages.Assign)
    assert assign.epoch == 2
    assert task_harness.list_epochs(second) == {'c/t': 2}


def test_restarted_sidecar_adopts_what_it_runs(
    harness: log_harness.Harness, entry: task_harness.Entry
) -> None:
    """Guard against moved or lost tasks when a sidecar restarts."""
    sidecar = task_harness.Sidecar(entry, 'i')
    for name in ('t', 'u'):
        entry.submit(name, task_harness.make_spec(name))
    harness.run(1.0)
    sidecar.close()
    running = (types.RunningTask('c/t', 1),)
    newer = task_harness.Sidecar(entry, 'i', 2, running)
    task_harness.run_with_heartbeats(harness, 3, newer)
    assert task_harness.list_epochs(entry) == {'c/t': 1, 'c/u': 2}
    assigned = {
        (a.spec.task_id, a.epoch, a.incarnation)
        for a in newer.received(messages.Assign)
    }
    assert assigned == {('t', 1, 'i-2'), ('u', 2, 'i-2')}
    assert newer.received(messages.StopTask) == []
    assert not newer.received(messages.HeartbeatAck)[-1].fenced


def test_trimmed_stream_is_rebuilt_from_restated_records(
    harness: log_harness.Harness, sidecar: task_harness.Sidecar
) -> None:
    """Guard against live tasks that are lost with trimmed records."""
    sidecar.entry.ctx.directory.send(
        addresses.TASKS, events.LogGap(task_harness.STREAM, 3)
    )
    harness.run(0.1)
    assert not sidecar.entry.tasks.caught_up
    assert task_harness.list_epochs(sidecar.entry) == {}
    restated = records.Restated(
        task_harness.make_spec('t'), 4, types.Home('i', 'i-1', 1), '', 0
    )
    item = events.LogItem(3, 'e', restated)
    read = events.LogRead(task_harness.STREAM, (item,), True, 1.0, 2, 3)
    sidecar.entry.ctx.directory.send(addresses.TASKS, read)
    harness.run(0.2)
    assert sidecar.received(messages.Assign)[-1].epoch == 4


def test_new_entry_reads_live_tasks_after_the_first_records_were_trimmed(
    harness: log_harness.Harness,
) -> None:
    """Guard against a live task without any untrimmed record."""
    first = task_harness.Entry(harness, '1', retention_s=60.0)
    harness.run(1.5)
    sidecar = task_harness.Sidecar(first, 'i')
    first.submit('s', task_harness.make_spec('t'))
    first.submit('u', task_harness.make_spec('u'))
    harness.run(1.0)
    done = messages.Finished('c/u', 1, 'done')
    sidecar.report(addresses.TASKS, done)
    harness.run(1.0)
    stream = harness.log.streams[task_harness.STREAM]
    written = stream.last
    # The Unix clock is not simulated, so the record is made older.
    first.tasks.state.live['c/t'].written_ms -= 45_000
    harness.run(6.0)
    assert stream.last == written + 1
    stream.trim(written + 1)
    second = task_harness.Entry(harness, '2', retention_s=60.0)
    harness.run(2.5)
    assert task_harness.list_epochs(second) == {'c/t': 1}
    assert second.tasks.caught_up


def test_owner_that_was_restarted_reads_the_stream_again(
    harness: log_harness.Harness, sidecar: task_harness.Sidecar
) -> None:
    """Guard against a restart that loses the live tasks."""
    sidecar.entry.tasks.end()
    sidecar.entry.tasks = tasks.Tasks(sidecar.entry.ctx, addresses.TASKS)
    sidecar.entry.tasks.begin()
    harness.run(0.5)
    assert task_harness.list_epochs(sidecar.entry) == {'c/t': 1}
    sidecar.send_heartbeat()
    harness.run(2.0)
    assert sidecar.entry.tasks.caught_up

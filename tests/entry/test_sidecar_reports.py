"""Check how an entry processes the states and reports of sidecars."""

import log_harness
import pytest
import task_harness

from kcr_core import messages
from kcr_core import types
from kcr_entry import addresses
from kcr_entry import events
from kcr_entry.work import submissions

RUNNING = (types.RunningTask('c/t', 1),)


@pytest.fixture
def harness() -> log_harness.Harness:
    """Return a harness with an emulated log."""
    return log_harness.Harness()


@pytest.fixture
def entry(harness: log_harness.Harness) -> task_harness.Entry:
    """Return an entry that has read the empty stream."""
    entry = task_harness.Entry(harness, '1')
    harness.run(1.5)
    return entry


def start_task(
    harness: log_harness.Harness, entry: task_harness.Entry
) -> task_harness.Sidecar:
    """Return a sidecar that is the home of the task `c/t`."""
    sidecar = task_harness.Sidecar(entry, 'i')
    entry.submit('s', task_harness.make_spec('t'))
    harness.run(1.0)
    assert task_harness.list_epochs(entry) == {'c/t': 1}
    return sidecar


def last_ack(sidecar: task_harness.Sidecar) -> messages.HeartbeatAck:
    """Return the answer to the last heartbeat."""
    found = sidecar.received(messages.HeartbeatAck)[-1]
    assert isinstance(found, messages.HeartbeatAck)
    return found


def test_incarnation_that_runs_tasks_of_a_fenced_one_is_fenced(
    harness: log_harness.Harness, entry: task_harness.Entry
) -> None:
    """Guard against renewed authority for tasks that will be moved."""
    start_task(harness, entry).close()
    task_harness.run_with_heartbeats(harness, 16)
    assert entry.tasks.state.fences
    newer = task_harness.Sidecar(entry, 'i', 2, is_list_read=False)
    task_harness.run_with_heartbeats(harness, 3, newer)
    ack = last_ack(newer)
    # Its tasks are unknown, so it is neither fenced nor its authority renewed.
    assert (ack.fenced, ack.log_age_ms) == (False, -1)
    newer.send_state(2, RUNNING)
    task_harness.run_with_heartbeats(harness, 3, newer)
    assert last_ack(newer).fenced
    assert task_harness.list_epochs(entry) == {'c/t': 1}


def test_state_before_the_list_moves_nothing(
    harness: log_harness.Harness, entry: task_harness.Entry
) -> None:
    """Guard against an unread task list that is treated as empty."""
    start_task(harness, entry).close()
    newer = task_harness.Sidecar(entry, 'i', 2, is_list_read=False)
    entry.submit('u', task_harness.make_spec('u'))
    task_harness.run_with_heartbeats(harness, 3, newer)
    assert entry.tasks.state.live['c/t'].epoch == 1
    # It cannot start tasks yet, so it is not a candidate home.
    assert list(entry.tasks.state.parked) == ['c/u']
    newer.send_state(2, RUNNING)
    task_harness.run_with_heartbeats(harness, 3, newer)
    home = entry.tasks.state.live['c/t'].home
    assert home is not None and home.incarnation == 'i-2'
    assert task_harness.list_epochs(entry) == {'c/t': 1, 'c/u': 2}


def test_eviction_of_a_cancelled_task_is_acknowledged(
    harness: log_harness.Harness, entry: task_harness.Entry
) -> None:
    """Guard against a report that is never acknowledged."""
    sidecar = start_task(harness, entry)
    entry.send_query('x', submissions.CancelTask('c/t'))
    harness.run(1.0)
    evicted = messages.Evicted('c/t', 1, '', 'cancelled')
    sidecar.report(addresses.TASKS, evicted)
    harness.run(0.1)
    assert sidecar.received(messages.ReportAck) == [
        messages.ReportAck('c/t', 1)
    ]


def test_stopping_entry_fences_nothing(
    harness: log_harness.Harness, entry: task_harness.Entry
) -> None:
    """Guard against fences by an entry whose sidecars disconnected."""
    start_task(harness, entry).close()
    entry.ctx.directory.send(addresses.FENCES, events.Stopping())
    task_harness.run_with_heartbeats(harness, 30)
    assert not entry.tasks.state.fences


def test_assignment_is_repeated_after_a_lost_start(
    harness: log_harness.Harness, entry: task_harness.Entry
) -> None:
    """Guard against a state that stays wrong after one lost message."""
    sidecar = start_task(harness, entry)
    task_harness.run_with_heartbeats(harness, 2, sidecar)
    assert len(sidecar.received(messages.Assign)) == 1
    assert 'has not reported' in entry.get_state('c/t').reason
    harness.run(0.2)
    assert len(sidecar.received(messages.Assign)) == 2
    entry.get_state('c/t')
    harness.run(0.2)
    # Frequent queries do not cause frequent assignments.
    assert len(sidecar.received(messages.Assign)) == 2
    sidecar.report(addresses.TASKS, messages.Started('c/t', 1))
    assert entry.get_state('c/t').state == 'running'


def test_state_of_a_connection_lists_what_runs(
    harness: log_harness.Harness, entry: task_harness.Entry
) -> None:
    """Guard against running tasks that are reported as waiting."""
    start_task(harness, entry).close()
    task_harness.Sidecar(entry, 'i', 1, RUNNING)
    assert entry.get_state('c/t').state == 'running'

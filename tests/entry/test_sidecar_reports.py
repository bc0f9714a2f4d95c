"""Check what an entry makes of the states and reports of sidecars."""

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
def world() -> log_harness.Harness:
    """Return a world with an emulated log."""
    return log_harness.Harness()


@pytest.fixture
def entry(world: log_harness.Harness) -> task_harness.Entry:
    """Return an entry that has read the empty stream."""
    entry = task_harness.Entry(world, '1')
    world.run(1.5)
    return entry


def start(
    world: log_harness.Harness, entry: task_harness.Entry
) -> task_harness.Sidecar:
    """Return the home of the task `c/t`."""
    sidecar = task_harness.Sidecar(entry, 'i')
    entry.submit('s', task_harness.make_spec('t'))
    world.run(1.0)
    assert task_harness.read_tasks(entry) == {'c/t': 1}
    return sidecar


def last_ack(sidecar: task_harness.Sidecar) -> messages.HeartbeatAck:
    """Return the answer to the last heartbeat."""
    found = sidecar.got(messages.HeartbeatAck)[-1]
    assert isinstance(found, messages.HeartbeatAck)
    return found


def test_runner_of_a_fenced_incarnation_is_fenced(
    world: log_harness.Harness, entry: task_harness.Entry
) -> None:
    """Guard against a vouch for tasks that other readers will move."""
    start(world, entry).close()
    task_harness.run_beating(world, 16)
    assert entry.tasks.state.fences
    newer = task_harness.Sidecar(entry, 'i', 2, listed=False)
    task_harness.run_beating(world, 3, newer)
    ack = last_ack(newer)
    # What it runs is not known yet, so it is neither fenced nor vouched for.
    assert (ack.fenced, ack.log_age_ms) == (False, -1)
    newer.announce(2, RUNNING)
    task_harness.run_beating(world, 3, newer)
    assert last_ack(newer).fenced
    assert task_harness.read_tasks(entry) == {'c/t': 1}


def test_state_before_the_list_moves_nothing(
    world: log_harness.Harness, entry: task_harness.Entry
) -> None:
    """Guard against an unread list that is taken for an empty one."""
    start(world, entry).close()
    newer = task_harness.Sidecar(entry, 'i', 2, listed=False)
    entry.submit('u', task_harness.make_spec('u'))
    task_harness.run_beating(world, 3, newer)
    assert entry.tasks.state.live['c/t'].epoch == 1
    # It could not start the task, so it is not a home yet.
    assert list(entry.tasks.state.parked) == ['c/u']
    newer.announce(2, RUNNING)
    task_harness.run_beating(world, 3, newer)
    home = entry.tasks.state.live['c/t'].home
    assert home is not None and home.incarnation == 'i-2'
    assert task_harness.read_tasks(entry) == {'c/t': 1, 'c/u': 2}


def test_eviction_of_a_cancelled_task_is_acknowledged(
    world: log_harness.Harness, entry: task_harness.Entry
) -> None:
    """Guard against a report that is repeated for ever."""
    sidecar = start(world, entry)
    entry.ask('x', submissions.Cancel('c/t'))
    world.run(1.0)
    evicted = messages.Evicted('c/t', 1, '', 'cancelled')
    sidecar.report(addresses.TASKS, evicted)
    world.run(0.1)
    assert sidecar.got(messages.ReportAck) == [messages.ReportAck('c/t', 1)]


def test_stopping_entry_fences_nothing(
    world: log_harness.Harness, entry: task_harness.Entry
) -> None:
    """Guard against fences by an entry whose sidecars have left it."""
    start(world, entry).close()
    entry.ctx.directory.send(addresses.FENCES, events.Stopping())
    task_harness.run_beating(world, 30)
    assert not entry.tasks.state.fences


def test_lost_start_is_asked_for_again(
    world: log_harness.Harness, entry: task_harness.Entry
) -> None:
    """Guard against an answer that stays wrong when one message is lost."""
    sidecar = start(world, entry)
    task_harness.run_beating(world, 2, sidecar)
    assert len(sidecar.got(messages.Assign)) == 1
    assert 'has not reported' in entry.look('c/t').reason
    world.run(0.2)
    assert len(sidecar.got(messages.Assign)) == 2
    entry.look('c/t')
    world.run(0.2)
    # A caller that asks often does not flood the home.
    assert len(sidecar.got(messages.Assign)) == 2
    sidecar.report(addresses.TASKS, messages.Started('c/t', 1))
    assert entry.look('c/t').state == 'running'


def test_state_of_a_connection_tells_what_runs(
    world: log_harness.Harness, entry: task_harness.Entry
) -> None:
    """Guard against an entry that takes running tasks for waiting ones."""
    start(world, entry).close()
    task_harness.Sidecar(entry, 'i', 1, RUNNING)
    assert entry.look('c/t').state == 'running'

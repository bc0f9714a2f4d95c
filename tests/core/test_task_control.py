"""Check single decisions of a home about its tasks."""

import typing

import pytest

from kcr_core import local_task
from kcr_core import messages
from kcr_core import task_actions as actions
from kcr_core import task_control
from kcr_core import types

SETTINGS = types.ControlSettings()
CAPACITY = types.Demand(8.0, 8000.0, 1)
Phase = local_task.Phase


def make_spec(
    name: str, cores: float = 1.0, urgent: bool = False
) -> types.TaskSpec:
    """Return a task."""
    demand = types.Demand(cores, 100.0)
    return types.TaskSpec(name, 'c', 'team', 'kind', demand, urgent)


def make_home(*listed: actions.WorkerTask) -> task_control.HomeControl:
    """Return a home with authority that has applied a list of the worker."""
    home = task_control.HomeControl('me', CAPACITY, SETTINGS)
    home.take_controller_epoch(1, 0.0)
    home.set_authority(1000.0, False, 0.0)
    home.apply_listing(actions.Listing(1, 1, listed), 0.0)
    home.take_actions()
    return home


def assign(
    home: task_control.HomeControl,
    spec: types.TaskSpec,
    now: float,
    incarnation: str = 'me',
    epoch: int = 1,
) -> list[actions.Action]:
    """Assign a task and return the actions of the home."""
    home.assign(messages.Assign(spec, epoch, incarnation), now)
    return home.take_actions()


def run(
    home: task_control.HomeControl, spec: types.TaskSpec, now: float
) -> None:
    """Assign a task and confirm its start."""
    assign(home, spec, now)
    home.apply_start_result((spec.key, 1), 'started', now)
    home.take_actions()


def find(
    decided: list[actions.Action], cls: type[typing.Any]
) -> list[typing.Any]:
    """Return the actions or reported messages of one class."""
    flat = [a.msg if isinstance(a, actions.Report) else a for a in decided]
    return [item for item in flat if isinstance(item, cls)]


def test_nothing_starts_before_the_list() -> None:
    """Guard against overcommitment by tasks that run from before a restart."""
    home = task_control.HomeControl('me', CAPACITY, SETTINGS)
    home.set_authority(1000.0, False, 0.0)
    assert not find(assign(home, make_spec('a'), 0.0), actions.Start)
    old = actions.WorkerTask(
        'c/old', 1, 'running', make_spec('old'), types.Demand(7.0, 100.0)
    )
    home.apply_listing(actions.Listing(1, 1, (old,)), 0.0)
    assert not find(home.take_actions(), actions.Start)


def test_absence_from_list_is_no_proof_without_barrier() -> None:
    """Guard against a late start command after its task was moved."""
    home = make_home()
    assign(home, make_spec('a'), 0.0)
    home.apply_start_result(('c/a', 1), 'unknown', 1.0)
    home.tick(2.0)
    request = find(home.take_actions(), actions.RequestListing)[0]
    assert request.barrier
    home.apply_listing(actions.Listing(request.sequence, 1, ()), 2.0)
    assert home.count_waiting() == 0
    home.apply_listing(actions.Listing(request.sequence, 2, ()), 2.0)
    assert home.count_waiting() == 1


def test_older_list_does_not_end_a_running_task() -> None:
    """Guard against reporting a task lost that is newer than the list."""
    home = make_home()
    run(home, make_spec('a'), 0.0)
    home.apply_listing(actions.Listing(1, 1, ()), 0.1)
    assert home.tasks['c/a', 1].phase is Phase.RUNNING
    home.apply_listing(actions.Listing(99, 1, ()), 0.2)
    assert find(home.take_actions(), messages.Evicted)


def test_assignment_repeats_start_nothing() -> None:
    """Guard against starting an epoch twice, before or after its end."""
    home = make_home()
    run(home, make_spec('a'), 0.0)
    assert not find(assign(home, make_spec('a'), 1.0), actions.Start)
    ended = actions.WorkerTask('c/a', 1, 'done', make_spec('a'))
    home.apply_listing(actions.Listing(99, 1, (ended,)), 2.0)
    home.acknowledge(messages.ReportAck('c/a', 1))
    assert not find(assign(home, make_spec('a'), 3.0), actions.Start)


def test_record_of_another_incarnation_starts_nothing() -> None:
    """Guard against starting a task assigned to an earlier incarnation."""
    home = make_home()
    decided = assign(home, make_spec('a'), 0.0, incarnation='older')
    assert not find(decided, actions.Start)
    assert find(decided, messages.TaskWait)


def test_urgent_task_evicts_batch_and_waits_for_the_stop() -> None:
    """Guard against overcommitment by an urgent task that does not fit."""
    home = make_home()
    run(home, make_spec('batch', 4.0), 0.0)
    decided = assign(home, make_spec('urgent', 1.0, True), 1.0)
    assert find(decided, actions.Stop) == [actions.Stop(('c/batch', 1))]
    assert not find(decided, actions.Start)
    ended = actions.WorkerTask(
        'c/batch', 1, 'stopped', make_spec('batch', 4.0), checkpoint='7'
    )
    home.apply_stop_result(('c/batch', 1), ended, 2.0)
    decided = home.take_actions()
    assert find(decided, messages.Evicted)[0].checkpoint == '7'
    assert find(decided, actions.Start)[0].holder == ('c/urgent', 1)


def test_newer_epoch_waits_for_the_end_of_the_older() -> None:
    """Guard against two epochs of one task that run at the same time."""
    home = make_home()
    run(home, make_spec('a'), 0.0)
    decided = assign(home, make_spec('a'), 1.0, epoch=2)
    assert find(decided, actions.Stop) == [actions.Stop(('c/a', 1))]
    assert not find(decided, actions.Start)
    home.apply_stop_result(('c/a', 1), None, 2.0)
    assert find(home.take_actions(), actions.Start)[0].holder == ('c/a', 2)
    assert not find(assign(home, make_spec('a'), 3.0), actions.Start)


def test_finish_wins_over_eviction() -> None:
    """Guard against running a task again that finished during its eviction."""
    home = make_home()
    run(home, make_spec('a'), 0.0)
    assert home.evict(('c/a', 1), 'noisy', 1.0)
    assert not home.evict(('c/a', 1), 'noisy again', 1.0)
    ended = actions.WorkerTask('c/a', 1, 'done', make_spec('a'))
    home.apply_stop_result(('c/a', 1), ended, 2.0)
    home.apply_stop_result(('c/a', 1), None, 2.0)
    decided = home.take_actions()
    assert len(find(decided, messages.Finished)) == 1
    assert not find(decided, messages.Evicted)


def test_cancel_before_start_is_final() -> None:
    """Guard against a late assignment that starts a cancelled task."""
    home = make_home()
    home.stop_task(messages.StopTask('c/a', 1), 0.0)
    assert find(home.take_actions(), messages.Evicted)
    assert not find(assign(home, make_spec('a'), 1.0), actions.Start)


def test_cancel_before_the_list_stops_the_running_task() -> None:
    """Guard against dropping the stop of a task from before a restart."""
    home = task_control.HomeControl('me', CAPACITY, SETTINGS)
    home.set_authority(1000.0, False, 0.0)
    home.stop_task(messages.StopTask('c/a', 1), 0.0)
    assert not find(home.take_actions(), messages.Evicted)
    task = actions.WorkerTask('c/a', 1, 'running', make_spec('a'))
    home.apply_listing(actions.Listing(1, 1, (task,)), 0.0)
    assert find(home.take_actions(), actions.Stop)


def test_reports_repeat_until_acknowledged() -> None:
    """Guard against losing the report of an ended task."""
    home = make_home()
    run(home, make_spec('a'), 0.0)
    ended = actions.WorkerTask('c/a', 1, 'done', make_spec('a'))
    home.apply_listing(actions.Listing(99, 1, (ended,)), 1.0)
    home.take_actions()
    home.tick(4.0)
    assert find(home.take_actions(), messages.Finished)
    home.acknowledge(messages.ReportAck('c/a', 1))
    assert find(home.take_actions(), actions.Forget)
    home.tick(8.0)
    assert not find(home.take_actions(), messages.Finished)


@pytest.mark.parametrize('fenced', [False, True])
def test_lost_authority_stops_everything(fenced: bool) -> None:
    """Guard against tasks that keep running when they may have moved."""
    home = make_home()
    run(home, make_spec('a'), 0.0)
    home.set_authority(5.0, fenced, 6.0)
    decided = home.take_actions()
    assert find(decided, actions.Stop)
    assert not find(decided, actions.Renew)
    assert not find(assign(home, make_spec('b'), 7.0), actions.Start)


def test_reservation_follows_measured_use() -> None:
    """Guard against reserving capacity for others that a running task uses."""
    home = make_home()
    run(home, make_spec('a', 1.0), 0.0)
    run(home, make_spec('b', 1.0), 0.0)
    used = types.Demand(5.0, 100.0)
    home.apply_usages([actions.Usage(('c/a', 1), used)], 1.0)
    reserved = home.ledger.reserved(('c/a', 1))
    assert reserved is not None and used.fits(reserved)
    home.apply_usages([actions.Usage(('c/b', 1), used)], 2.0)
    assert find(home.take_actions(), actions.Stop)


def test_drain_ends_with_the_last_acknowledgement() -> None:
    """Guard against a shutdown that loses the reports of its tasks."""
    home = make_home()
    run(home, make_spec('a'), 0.0)
    home.drain(1.0)
    assert find(home.take_actions(), actions.Stop)
    home.apply_stop_result(('c/a', 1), None, 2.0)
    assert not home.is_drained()
    home.acknowledge(messages.ReportAck('c/a', 1))
    assert home.is_drained()

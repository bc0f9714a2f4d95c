"""Check that the task control carries out interference requests."""

import dataclasses

import fakes
import recorder

from kcr_core import message_base
from kcr_core import messages
from kcr_core import task_actions as actions
from kcr_core import types
from kcr_runtime.wire import session
from kcr_sidecar import addresses
from kcr_sidecar.capacity import task_control
from kcr_sidecar import events
from kcr_sidecar.platform import worker

LINK = 'links/sessions/127.0.0.1:1'
HELLO = message_base.Hello(
    1, 'entry', 'e', 'einc', types.Place('x', 'x', 'x', 'e')
)
SPEC = types.TaskSpec('a', 'c', 'team', 'kind', types.Demand(1.0, 10.0))
CONTROL = addresses.TASK_CONTROL


def make_harness() -> fakes.TaskHarness:
    """Return a harness in which one task runs."""
    harness = fakes.TaskHarness(LINK, addresses.INTERFERENCE, addresses.WORKER)
    task_control.TaskControl(harness.ctx, CONTROL).begin()
    harness.post(CONTROL, session.Opened(LINK, HELLO))
    harness.post(CONTROL, events.AuthorityChanged(True, False, 1000.0))
    harness.post(CONTROL, worker.ControllerTaken(1))
    harness.post(CONTROL, actions.Listing(1, 1, ()))
    assign = messages.Assign(SPEC, 1, 'me')
    harness.post(CONTROL, session.Received(LINK, HELLO, assign))
    harness.post(CONTROL, worker.StartEnded(('c/a', 1), 'started'))
    return harness


def take_last_running(harness: fakes.TaskHarness) -> events.TasksRunning:
    """Return the last report to the interference task; drop the others."""
    reports = harness.recorders[addresses.INTERFERENCE].pop_all(
        events.TasksRunning
    )
    last = reports[-1]
    assert isinstance(last, events.TasksRunning)
    return last


def test_throttle_reaches_the_worker_and_is_reported() -> None:
    """Guard against a policy that assumes shares that are not set."""
    harness = make_harness()
    (work,) = take_last_running(harness).tasks
    assert (work.task, work.kind, work.share) == ('c/a', 'kind', 1.0)
    harness.post(CONTROL, events.Throttle('c/a', 0.5))
    (command,) = harness.recorders[addresses.WORKER].pop_all(actions.Throttle)
    assert command == actions.Throttle(('c/a', 1), 0.5)
    assert take_last_running(harness).tasks[0].share == 0.5


def test_eviction_stops_the_epoch_once() -> None:
    """Guard against a second stop of an epoch that is being evicted."""
    harness = make_harness()
    for stop in (False, True):
        harness.post(CONTROL, events.Evict('c/a', 'slows the service', stop))
    assert len(harness.recorders[addresses.WORKER].pop_all(actions.Stop)) == 1


def test_restarted_interference_task_gets_the_running_tasks() -> None:
    """Guard against a restarted task without the running tasks."""
    harness = make_harness()
    take_last_running(harness)
    settings = types.ControlSettings()
    harness.post(CONTROL, events.SettingsInForce(1, settings))
    assert len(take_last_running(harness).tasks) == 1


def test_start_is_reported_to_every_entry_that_assigned() -> None:
    """Guard against an entry that is not informed of a start."""
    harness = make_harness()
    second = 'links/sessions/127.0.0.1:2'
    second_session = harness.recorders[second] = recorder.Recorder()
    harness.ctx.directory.add(second, second_session)
    harness.post(CONTROL, session.Opened(second, HELLO))
    spec = dataclasses.replace(SPEC, task_id='b')
    for name in (LINK, second):
        assign = messages.Assign(spec, 1, 'me')
        harness.post(CONTROL, session.Received(name, HELLO, assign))
    harness.post(CONTROL, worker.StartEnded(('c/b', 1), 'started'))
    for name in (LINK, second):
        sent = [m.msg for m in harness.recorders[name].pop_all(session.Send)]
        assert messages.Started('c/b', 1) in sent

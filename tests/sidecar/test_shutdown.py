"""Check the graceful shutdown of a sidecar."""

import typing

import fakes

from kcr_core import message_base
from kcr_core import messages
from kcr_core import task_actions as actions
from kcr_core import types
from kcr_runtime import process
from kcr_runtime.wire import session
from kcr_sidecar import addresses
from kcr_sidecar.capacity import shutdown
from kcr_sidecar.capacity import task_control
from kcr_sidecar import events
from kcr_sidecar.platform import worker

LINK = 'links/sessions/127.0.0.1:1'
PLACE = types.Place('x', 'x', 'x', 'e')
HELLO = message_base.Hello(1, 'entry', 'e', 'einc', PLACE)
SPEC = types.TaskSpec('a', 'c', 'team', 'kind', types.Demand(1.0, 10.0))


def make_harness() -> fakes.TaskHarness:
    """Return a harness in which one task runs."""
    harness = fakes.TaskHarness(
        LINK,
        addresses.ADMISSION,
        addresses.ANNOUNCER,
        addresses.WORKER,
        process.PROCESS_ADDRESS,
    )
    shutdown.Shutdown(harness.ctx, addresses.SHUTDOWN).begin()
    task_control.TaskControl(harness.ctx, addresses.TASK_CONTROL).begin()
    control = addresses.TASK_CONTROL
    harness.post(control, session.Opened(LINK, HELLO))
    harness.post(control, events.AuthorityChanged(True, False, 1000.0))
    harness.post(control, worker.ControllerTaken(1))
    harness.post(control, actions.Listing(1, 1, ()))
    assign = messages.Assign(SPEC, 1, 'me')
    harness.post(control, session.Received(LINK, HELLO, assign))
    harness.post(control, worker.StartEnded(('c/a', 1), 'started'))
    assert harness.recorders[addresses.WORKER].pop_all(actions.Start)
    return harness


def test_tasks_are_stopped_and_reported_before_the_end() -> None:
    """Guard against a shutdown before the end of a task is reported."""
    harness = make_harness()
    harness.post(addresses.SHUTDOWN, shutdown.Drain())
    assert harness.recorders[addresses.ADMISSION].pop_all(events.BeginDrain)
    part = events.PartDrained(addresses.ADMISSION)
    harness.post(addresses.SHUTDOWN, part)
    assert harness.recorders[addresses.WORKER].pop_all(actions.Stop)
    ended = actions.WorkerTask('c/a', 1, 'stopped', SPEC, checkpoint='9')
    control = addresses.TASK_CONTROL
    harness.post(control, worker.StopEnded(('c/a', 1), ended))
    sent = [m.msg for m in harness.recorders[LINK].pop_all(session.Send)]
    assert messages.Evicted('c/a', 1, '9', 'home is leaving') in sent
    harness.advance(1.0)
    process_recorder = harness.recorders[process.PROCESS_ADDRESS]
    assert not process_recorder.pop_all(process.Drained)
    ack = messages.ReportAck('c/a', 1)
    harness.post(control, session.Received(LINK, HELLO, ack))
    harness.advance(1.0)
    assert len(process_recorder.pop_all(process.Drained)) == 1


def test_shutdown_is_bounded() -> None:
    """Guard against waiting forever for a worker that does not respond."""
    harness = make_harness()
    harness.post(addresses.SHUTDOWN, shutdown.Drain())
    harness.advance(29.0)
    process_recorder = harness.recorders[process.PROCESS_ADDRESS]
    assert not process_recorder.pop_all(process.Drained)
    harness.advance(1.5)
    assert process_recorder.pop_all(process.Drained)


def test_failure_of_task_control_ends_the_process() -> None:
    """Guard against a restart that loses the commands already sent."""
    harness = make_harness()
    invalid = typing.cast(actions.Usage, None)
    harness.post(addresses.TASK_CONTROL, worker.UsageMeasured((invalid,)))
    fatal = harness.recorders[process.PROCESS_ADDRESS].pop_all(process.Fatal)
    assert len(fatal) == 1


def test_fence_starts_the_shutdown() -> None:
    """Guard against a fenced incarnation that continues to run."""
    harness = make_harness()
    changed = events.AuthorityChanged(False, True)
    harness.post(addresses.TASK_CONTROL, changed)
    assert harness.recorders[addresses.WORKER].pop_all(actions.Stop)
    assert harness.recorders[addresses.ADMISSION].pop_all(events.BeginDrain)

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


def make() -> fakes.Bench:
    """Return a bench on which one task runs."""
    bench = fakes.Bench(
        LINK,
        addresses.ADMISSION,
        addresses.ANNOUNCER,
        addresses.WORKER,
        process.PROCESS_ADDRESS,
    )
    shutdown.Shutdown(bench.ctx, addresses.SHUTDOWN).begin()
    task_control.TaskControl(bench.ctx, addresses.TASK_CONTROL).begin()
    control = addresses.TASK_CONTROL
    bench.post(control, session.Opened(LINK, HELLO))
    bench.post(control, events.AuthorityChanged(True, False, 1000.0))
    bench.post(control, worker.ControllerTaken(1))
    bench.post(control, actions.Listing(1, 1, ()))
    assign = messages.Assign(SPEC, 1, 'me')
    bench.post(control, session.Received(LINK, HELLO, assign))
    bench.post(control, worker.StartEnded(('c/a', 1), 'started'))
    assert bench.nodes[addresses.WORKER].take(actions.Start)
    return bench


def test_tasks_are_stopped_and_reported_before_the_end() -> None:
    """Guard against a shutdown that loses a task."""
    bench = make()
    bench.post(addresses.SHUTDOWN, shutdown.Drain())
    assert bench.nodes[addresses.ADMISSION].take(events.BeginDrain)
    part = events.PartDrained(addresses.ADMISSION)
    bench.post(addresses.SHUTDOWN, part)
    assert bench.nodes[addresses.WORKER].take(actions.Stop)
    ended = actions.WorkerTask('c/a', 1, 'stopped', SPEC, checkpoint='9')
    control = addresses.TASK_CONTROL
    bench.post(control, worker.StopEnded(('c/a', 1), ended))
    sent = [m.msg for m in bench.nodes[LINK].take(session.Send)]
    assert messages.Evicted('c/a', 1, '9', 'home is leaving') in sent
    bench.advance(1.0)
    process_node = bench.nodes[process.PROCESS_ADDRESS]
    assert not process_node.take(process.Drained)
    ack = messages.ReportAck('c/a', 1)
    bench.post(control, session.Received(LINK, HELLO, ack))
    bench.advance(1.0)
    assert len(process_node.take(process.Drained)) == 1


def test_shutdown_is_bounded() -> None:
    """Guard against a shutdown that waits for a worker that is down."""
    bench = make()
    bench.post(addresses.SHUTDOWN, shutdown.Drain())
    bench.advance(29.0)
    process_node = bench.nodes[process.PROCESS_ADDRESS]
    assert not process_node.take(process.Drained)
    bench.advance(1.5)
    assert process_node.take(process.Drained)


def test_failure_of_task_control_ends_the_process() -> None:
    """Guard against a restart that forgets what the incarnation started."""
    bench = make()
    unknown = typing.cast(actions.Usage, None)
    bench.post(addresses.TASK_CONTROL, worker.Measured((unknown,)))
    fatal = bench.nodes[process.PROCESS_ADDRESS].take(process.Fatal)
    assert len(fatal) == 1


def test_fence_starts_the_shutdown() -> None:
    """Guard against a fenced incarnation that goes on."""
    bench = make()
    changed = events.AuthorityChanged(False, True)
    bench.post(addresses.TASK_CONTROL, changed)
    assert bench.nodes[addresses.WORKER].take(actions.Stop)
    assert bench.nodes[addresses.ADMISSION].take(events.BeginDrain)

"""Check heartbeats, renewals of the authority and discovered entries."""

import fakes

from kcr_core import message_base
from kcr_core import messages
from kcr_core import types
from kcr_runtime import supervisor
from kcr_runtime.wire import session
from kcr_sidecar import addresses
from kcr_sidecar.capacity import task_control
from kcr_sidecar import events
from kcr_sidecar.links import announcer

PLACE = types.Place('x', 'x', 'x', 'e')
HELLO = message_base.Hello(1, 'entry', 'e', 'einc', PLACE)
LINK = 'links/sessions/127.0.0.1:1'


def make_harness() -> fakes.TaskHarness:
    """Return a harness whose announcer has one open session."""
    harness = fakes.TaskHarness(
        LINK, addresses.SESSIONS, addresses.TASK_CONTROL
    )
    announcer.Announcer(harness.ctx, addresses.ANNOUNCER).begin()
    harness.post(addresses.ANNOUNCER, session.Opened(LINK, HELLO))
    return harness


def acknowledge(
    harness: fakes.TaskHarness, seq: int, entries: tuple[str, ...] = ()
) -> None:
    """Acknowledge a heartbeat with a fresh view of the log."""
    ack = messages.HeartbeatAck(seq, 0, 0, False, entries)
    event = session.Received(LINK, HELLO, ack)
    harness.post(addresses.ANNOUNCER, event)


def test_renewal_counts_from_the_sending_of_its_heartbeat() -> None:
    """Guard against authority from a late or repeated acknowledgement."""
    harness = make_harness()
    control = harness.recorders[addresses.TASK_CONTROL]
    harness.advance(4.0)
    acknowledge(harness, 1)
    assert control.pop_all(events.AuthorityChanged)[-1].until == 10.0
    acknowledge(harness, 1)
    acknowledge(harness, 99)
    assert not control.pop_all(events.AuthorityChanged)


def test_state_is_sent_again_once_the_list_was_read() -> None:
    """Guard against entries that take an unread list for an empty one.

    A state sent before the list is applied has controller epoch 0; another
    one must follow.
    """
    harness = make_harness()
    link = harness.recorders[LINK]
    first = [m.msg for m in link.pop_all(session.Send)]
    assert first[0].controller_epoch == 0
    running = (types.RunningTask('c/a', 1),)
    load = task_control.TasksLoad(types.Demand(2.0), 3, 7, running)
    harness.post(addresses.ANNOUNCER, load)
    states = [m.msg for m in link.pop_all(session.Send)]
    assert states[0].controller_epoch == 7
    assert states[0].running == running
    harness.advance(1.2)
    heartbeat = link.pop_all(session.Send)[-1].msg
    assert (heartbeat.free, heartbeat.waiting) == (types.Demand(2.0), 3)


def test_discovered_entries_are_dialed_once_and_bounded() -> None:
    """Guard against dialing every address that an entry lists."""
    harness = make_harness()
    sessions = harness.recorders[addresses.SESSIONS]
    many = tuple(f'127.0.0.1:{port}' for port in range(1, 200))
    acknowledge(harness, 1, ('nonsense', *many))
    dialed = [m.spec.name for m in sessions.pop_all(supervisor.StartChild)]
    assert len(dialed) == 62
    assert not set(dialed) & {'nonsense', '127.0.0.1:1', '127.0.0.1:2'}
    harness.post(addresses.ANNOUNCER, session.DialFailed(dialed[0], True))
    stopped = sessions.pop_all(supervisor.StopChild)
    assert [m.name for m in stopped] == [dialed[0]]

"""Check heartbeats, vouches and learnt entries."""

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


def make() -> fakes.Bench:
    """Return a bench on which the announcer has one open session."""
    bench = fakes.Bench(LINK, addresses.SESSIONS, addresses.TASK_CONTROL)
    announcer.Announcer(bench.ctx, addresses.ANNOUNCER).begin()
    bench.post(addresses.ANNOUNCER, session.Opened(LINK, HELLO))
    return bench


def acknowledge(
    bench: fakes.Bench, seq: int, entries: tuple[str, ...] = ()
) -> None:
    """Answer a heartbeat with a fresh view."""
    ack = messages.HeartbeatAck(seq, 0, 0, False, entries)
    event = session.Received(LINK, HELLO, ack)
    bench.post(addresses.ANNOUNCER, event)


def test_vouch_counts_from_the_sending_of_its_heartbeat() -> None:
    """Guard against authority from a late answer or a repeated one."""
    bench = make()
    control = bench.nodes[addresses.TASK_CONTROL]
    bench.advance(4.0)
    acknowledge(bench, 1)
    assert control.take(events.AuthorityChanged)[-1].until == 10.0
    acknowledge(bench, 1)
    acknowledge(bench, 99)
    assert not control.take(events.AuthorityChanged)


def test_state_is_sent_again_once_the_list_was_read() -> None:
    """Guard against entries that take an unread list for an empty one."""
    bench = make()
    link = bench.nodes[LINK]
    first = [m.msg for m in link.take(session.Send)]
    assert first[0].controller_epoch == 0
    running = (types.RunningTask('c/a', 1),)
    load = task_control.TasksLoad(types.Demand(2.0), 3, 7, running)
    bench.post(addresses.ANNOUNCER, load)
    states = [m.msg for m in link.take(session.Send)]
    assert states[0].controller_epoch == 7
    assert states[0].running == running
    bench.advance(1.2)
    beat = link.take(session.Send)[-1].msg
    assert (beat.free, beat.waiting) == (types.Demand(2.0), 3)


def test_learnt_entries_are_dialed_once_and_bounded() -> None:
    """Guard against dialing whatever an answer lists."""
    bench = make()
    sessions = bench.nodes[addresses.SESSIONS]
    many = tuple(f'127.0.0.1:{port}' for port in range(1, 200))
    acknowledge(bench, 1, ('nonsense', *many))
    dialed = [m.spec.name for m in sessions.take(supervisor.StartChild)]
    assert len(dialed) == 62
    assert not set(dialed) & {'nonsense', '127.0.0.1:1', '127.0.0.1:2'}
    bench.post(addresses.ANNOUNCER, session.DialFailed(dialed[0], True))
    stopped = sessions.take(supervisor.StopChild)
    assert [m.name for m in stopped] == [dialed[0]]

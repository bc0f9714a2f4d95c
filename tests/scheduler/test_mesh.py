"""Check when a scheduler claims the jobs."""

import scheduler_harness

from kcr_core import message_base
from kcr_core import types as core_types
from kcr_jobs import election
from kcr_jobs import evacuation
from kcr_jobs import messages
from kcr_jobs import records
from kcr_runtime import supervisor
from kcr_runtime.wire import session
from kcr_scheduler import addresses
from kcr_scheduler import events
from kcr_scheduler.fleet import mesh
from kcr_scheduler.fleet import probe
from kcr_scheduler.work import codec
from kcr_scheduler.work import job_log
from kcr_scheduler.work import owner

PLACE = core_types.Place('x', 'x', 'x', 'n')
TASKS = (
    addresses.WATCH, addresses.CALLS, addresses.FRONT, addresses.SESSIONS,
    addresses.PEER_SESSIONS,
)  # fmt: skip


def start_scheduler(
    process: str,
) -> tuple[scheduler_harness.Harness, owner.Owner]:
    """Start a scheduler named `me` after a claim of the given process."""
    harness = scheduler_harness.Harness(*TASKS)
    claim = records.Claim(4, process, 'older', '127.0.0.1:2')
    batch = codec.encode('older', [claim])
    harness.store.partitions[job_log.TOPIC].append(batch)
    harness.store.keyed[job_log.CLAIM_TOPIC][job_log.CLAIM_KEY] = batch
    made = owner.Owner(harness.ctx, addresses.OWNER)
    mesh.Mesh(harness.ctx, addresses.MESH).begin()
    made.begin()
    harness.post(addresses.MESH, events.StoreAnswered())
    return harness, made


def test_restarted_owner_claims_at_once() -> None:
    """Guard against an election after all processes have restarted."""
    harness, made = start_scheduler('me')
    harness.advance(0.1)
    assert made.phase == 'leading'
    assert made.controller is not None
    assert made.controller.epoch == 5


def test_other_scheduler_waits_for_the_owner() -> None:
    """Guard against a new scheduler that displaces a running owner."""
    harness, made = start_scheduler('other')
    harness.advance(election.PEER_DISCOVERY_S)
    assert made.phase == 'idle'


def test_best_scheduler_follows_the_log_of_the_owner() -> None:
    """Guard against a takeover that starts by reading the whole log."""
    harness = scheduler_harness.Harness(*TASKS, addresses.OWNER, 's')
    made = mesh.Mesh(harness.ctx, addresses.MESH)
    made.begin()
    hello = message_base.Hello(
        1, 'scheduler', 'o', 'o-1', PLACE, address='127.0.0.1:2'
    )
    harness.post(addresses.MESH, session.Opened('s', hello))
    pulse = messages.Pulse(3, '127.0.0.1:2', True, 10, 0, (-9, 'o'))
    harness.post(addresses.MESH, session.Received('s', hello, pulse))
    harness.advance(0.2)
    follows = harness.recorders[addresses.OWNER].pop_all(events.Follow)
    assert [event.follows for event in follows] == [True]


def test_scheduler_waits_for_a_claimant_that_makes_progress() -> None:
    """Guard against claimants that share the rate of the store."""
    harness = scheduler_harness.Harness(*TASKS, addresses.OWNER, 's')
    mesh.Mesh(harness.ctx, addresses.MESH).begin()
    hello = message_base.Hello(
        1, 'scheduler', 'o', 'o-1', PLACE, address='127.0.0.1:2'
    )
    harness.post(addresses.MESH, session.Opened('s', hello))
    for step in range(60):
        harness.post(addresses.MESH, events.StoreAnswered())
        progress = min(step, 30)
        pulse = messages.Pulse(
            0, '', False, 10, 0, (9, 'o'), claiming=progress
        )
        harness.post(addresses.MESH, session.Received('s', hello, pulse))
        harness.advance(0.1)
        campaigns = harness.recorders[addresses.OWNER].pop_all(events.Campaign)
        if progress < 30:
            assert campaigns == []
        elif campaigns:
            return
    raise AssertionError('a stuck claimant is waited for')


def test_pulses_repeat_addresses_only_when_they_change() -> None:
    """Guard against pulses that are mostly the list of all schedulers."""
    harness = scheduler_harness.Harness(*TASKS, addresses.OWNER, 's')
    mesh.Mesh(harness.ctx, addresses.MESH).begin()
    hello = message_base.Hello(
        1, 'scheduler', 'o', 'o-1', PLACE, address='127.0.0.1:2'
    )
    harness.post(addresses.MESH, session.Opened('s', hello))
    harness.advance(4.0)
    sent = [send.msg for send in harness.recorders['s'].pop_all(session.Send)]
    pulses = [msg for msg in sent if isinstance(msg, messages.Pulse)]
    assert len(pulses) > 10
    assert sum(bool(pulse.entries) for pulse in pulses) == 1


OWNER_HELLO = message_base.Hello(
    1, 'scheduler', 'o', 'o-1', PLACE, address='127.0.0.1:2'
)


def hear_owner(harness: scheduler_harness.Harness, name: str) -> None:
    """Deliver a pulse of the owner over a session."""
    pulse = messages.Pulse(3, '127.0.0.1:2', True, 10, 0, (-9, 'o'))
    harness.post(addresses.MESH, session.Received(name, OWNER_HELLO, pulse))


def start_silent_peer() -> scheduler_harness.Harness:
    """Start a scheduler whose owner has been silent for a while."""
    harness = scheduler_harness.Harness(
        *TASKS, addresses.OWNER, addresses.PROBER, 's'
    )
    mesh.Mesh(harness.ctx, addresses.MESH).begin()
    harness.post(addresses.MESH, session.Opened('s', OWNER_HELLO))
    hear_owner(harness, 's')
    harness.advance(0.9)
    assert harness.recorders[addresses.PROBER].pop_all(probe.Probe) == []
    harness.advance(0.3)
    return harness


def closes(harness: scheduler_harness.Harness) -> int:
    """Return how often the session was closed."""
    return len(harness.recorders['s'].pop_all(session.Close))


def test_silent_session_is_replaced_if_a_new_one_can_be_made() -> None:
    """Guard against schedulers that displace each other's owner for good.

    Their sessions were silent, so each counted the owner as failed.
    """
    harness = start_silent_peer()
    probes = harness.recorders[addresses.PROBER].pop_all(probe.Probe)
    assert probes == [probe.Probe('s', '127.0.0.1:2')]
    harness.post(addresses.MESH, probe.ProbeEnded('s', True))
    assert closes(harness) == 1
    started = harness.recorders[addresses.PEER_SESSIONS].pop_all(
        supervisor.StartChild
    )
    assert '127.0.0.1:2' in [msg.spec.name for msg in started]


def test_session_over_a_cut_path_is_kept() -> None:
    """Guard against a session that is dialed again long after a cut."""
    harness = start_silent_peer()
    harness.post(addresses.MESH, probe.ProbeEnded('s', False))
    assert closes(harness) == 0


def test_session_that_is_heard_again_is_kept() -> None:
    """Guard against closing the session of a peer that was only slow."""
    harness = start_silent_peer()
    hear_owner(harness, 's')
    harness.post(addresses.MESH, probe.ProbeEnded('s', True))
    assert closes(harness) == 0


def test_suspended_scheduler_probes_nobody() -> None:
    """Guard against a process that wakes and closes all its sessions."""
    harness = scheduler_harness.Harness(
        *TASKS, addresses.OWNER, addresses.PROBER, 's'
    )
    mesh.Mesh(harness.ctx, addresses.MESH).begin()
    harness.post(addresses.MESH, session.Opened('s', OWNER_HELLO))
    hear_owner(harness, 's')
    harness.advance(0.3)
    harness.clock.rightNow += 5.0
    harness.advance(0.1)
    assert harness.recorders[addresses.PROBER].pop_all(probe.Probe) == []


def test_evacuations_of_a_peer_are_passed_on() -> None:
    """Guard against an owner that learns of no evacuation from its peers.

    The store rejects its reads; a peer's view with a higher offset counts.
    """
    harness = scheduler_harness.Harness(*TASKS, addresses.OWNER, 's')
    mesh.Mesh(harness.ctx, addresses.MESH).begin()
    harness.post(addresses.MESH, session.Opened('s', OWNER_HELLO))
    pulse = messages.Pulse(
        3, '127.0.0.1:2', True, 10, 0, (-9, 'o'), evacuation_offset=4,
        evacuated_zones=('z1',),
    )  # fmt: skip
    known = evacuation.View(4, frozenset(['z1']))
    event = session.Received('s', OWNER_HELLO, pulse)
    harness.post(addresses.MESH, event)
    watch = harness.recorders[addresses.WATCH]
    assert watch.pop_all(events.EvacuationReceived) == [
        events.EvacuationReceived(known)
    ]
    harness.recorders['s'].recorded.clear()
    harness.post(addresses.MESH, events.EvacuationInForce(known, 'peer'))
    sent = harness.recorders['s'].pop_all(session.Send)
    assert sent[0].msg.evacuated_zones == ('z1',)
    harness.post(addresses.MESH, event)
    assert watch.pop_all(events.EvacuationReceived) == []
    harness.post(addresses.MESH, events.EvacuationQuery())
    assert watch.pop_all(events.EvacuationReceived) == [
        events.EvacuationReceived(known)
    ]

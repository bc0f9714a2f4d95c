"""Check which entries an entry dials and which it names to others."""

import types as std_types
import typing

import log_harness
import pytest

from kcr_core import message_base
from kcr_core import messages
from kcr_core import types
from kcr_entry import addresses
from kcr_entry import events
from kcr_entry.fleet import peers
from kcr_runtime import supervisor
from kcr_runtime import task
from kcr_runtime.wire import session

PLACE = types.Place('r1', 'z1', 'rack', 'e')


class PeersHarness:
    """Store the peers task and the probes around it."""

    def __init__(self, dialed: list[str]) -> None:
        # Harness with a fake clock.
        self.harness = log_harness.Harness()
        ctx = self.harness.make_context('me')
        cfg = std_types.SimpleNamespace(
            listen='127.0.0.1:1', region='r1', peers=dialed
        )
        self.ctx = task.Context(
            ctx.reactor, ctx.directory, ctx.rng, cfg, ctx.metrics, 'me'
        )
        # Supervisor of the sessions.
        self.sessions = log_harness.Probe(self.ctx, addresses.PEER_SESSIONS)
        # Task that is informed of the peers.
        self.tasks = log_harness.Probe(self.ctx, addresses.TASKS)
        self.ctx.directory.add(addresses.PEER_SESSIONS, self.sessions)
        self.ctx.directory.add(addresses.TASKS, self.tasks)
        self.harness.start(peers.Peers(self.ctx, addresses.PEERS))
        self.harness.run(0.1)

    def send(self, event: typing.Any) -> None:
        """Send an event to the task and run until it is handled."""
        assert self.ctx.directory.send(addresses.PEERS, event)
        self.harness.run(0.05)

    def open(self, name: str, incarnation: str, address: str) -> None:
        """Open a session with another entry."""
        hello = message_base.Hello(
            1, 'entry', 'e', incarnation, PLACE, address
        )
        self.send(session.Opened(name, hello))

    def dialed(self) -> list[str]:
        """Return the addresses that were dialed."""
        started = self.sessions.of(supervisor.StartChild)
        return [msg.spec.name for msg in started]

    def stopped(self) -> list[str]:
        """Return the sessions that were stopped."""
        return [msg.name for msg in self.sessions.of(supervisor.StopChild)]

    def view(self) -> events.PeersChanged:
        """Return the newest view of the peers."""
        found: events.PeersChanged = self.tasks.of(events.PeersChanged)[-1]
        return found


@pytest.fixture
def harness() -> PeersHarness:
    """Return an entry with its own address and a peer in its options."""
    return PeersHarness(['127.0.0.1:1', '127.0.0.1:2'])


def test_known_entries_are_dialed_once(harness: PeersHarness) -> None:
    """Guard against sessions with itself and duplicate sessions."""
    assert harness.dialed() == ['127.0.0.1:2']
    harness.open('fleet/sessions/1', 'other', '127.0.0.1:3')
    harness.open('fleet/sessions/2', 'other', '127.0.0.1:3')
    assert harness.dialed() == ['127.0.0.1:2', '127.0.0.1:3']
    assert [name for name, _ in harness.view().sessions] == ['other']
    assert harness.view().addresses == ('127.0.0.1:1', '127.0.0.1:3')


def test_session_with_itself_is_stopped(harness: PeersHarness) -> None:
    """Guard against an entry that counts itself as a peer of a sidecar."""
    harness.open('fleet/peer_sessions/127.0.0.1:2', 'me', '127.0.0.1:2')
    assert harness.stopped() == ['127.0.0.1:2']
    assert harness.view().sessions == ()


def test_dialed_addresses_are_bounded(harness: PeersHarness) -> None:
    """Guard against a peer that names an unbounded number of entries."""
    names = tuple(f'127.0.0.1:{port}' for port in range(100, 300))
    beat = messages.PeerHeartbeat(1, 0, -1, names)
    hello = message_base.Hello(1, 'entry', 'e', 'x', PLACE)
    harness.send(session.Received('fleet/sessions/1', hello, beat))
    assert len(set(harness.dialed())) == peers.MAX_PEERS


def test_discovered_address_is_dropped_after_failed_dials(
    harness: PeersHarness,
) -> None:
    """Guard against addresses of replaced entries that are never dropped."""
    harness.open('fleet/sessions/1', 'other', '127.0.0.1:3')
    for _ in range(peers.MAX_DIAL_FAILURES):
        harness.send(session.DialFailed('127.0.0.1:3', True))
        harness.send(session.DialFailed('127.0.0.1:2', True))
    assert harness.stopped() == ['127.0.0.1:3']

"""Own the connections to the other entries of the region.

The entry dials the peers of its options and those that other entries name in
their heartbeats. Both sides may dial; one open session of each peer is used.
The task sends heartbeats to the peers, and reports the connected ones to the
owners of the membership, the tasks and the fences.
"""

import typing

from kcr_core import message_base
from kcr_core import messages
from kcr_core import types
from kcr_entry import addresses
from kcr_entry import events
from kcr_runtime import supervisor
from kcr_runtime import task
from kcr_runtime.wire import dialer
from kcr_runtime.wire import session

# Maximum number of entries that are dialed and named to others.
MAX_PEERS = 64
# Failed dials in a row after which an address that is not in the options is
# dropped.
MAX_DIAL_FAILURES = 20


class _SendHeartbeats:
    pass


class Peers(task.Task):
    """Own the view of the other entries."""

    def __init__(self, ctx: task.Context, address: str) -> None:
        super().__init__(ctx, address)
        # Settings of the document in force.
        self.settings = types.ControlSettings()
        # Revision of the document in force.
        self.revision = 0
        self._open: dict[str, message_base.Hello] = {}
        self._log_read_at: float | None = None
        self._seq = 0
        self._dialer = dialer.Dialer(
            ctx, addresses.PEER_SESSIONS, ctx.cfg.listen, ctx.cfg.peers,
            MAX_PEERS, MAX_DIAL_FAILURES, make_spec,
        )  # fmt: skip

    def started(self) -> None:
        """Dial the peers of the options and schedule the heartbeats."""
        for target in self.ctx.cfg.peers:
            self._dialer.dial(target)
        session.query_open_sessions(
            self.ctx, self.address, addresses.ALL_SESSIONS
        )
        self._publish()
        self.after(self.settings.heartbeat_s, _SendHeartbeats())

    def dump(self) -> dict[str, typing.Any]:
        """Return the dialed addresses and the connected entries."""
        return {
            **super().dump(),
            'dialed': sorted(self._dialer.failed),
            'peers': sorted({h.process for h in self._open.values()}),
        }

    @task.handles(events.SettingsInForce)
    def _on_settings(self, event: events.SettingsInForce) -> None:
        self.settings, self.revision = event.settings, event.revision

    @task.handles(events.LedgerView)
    def _on_ledger(self, event: events.LedgerView) -> None:
        self._log_read_at = event.requested_at

    @task.handles(session.Opened)
    def _on_opened(self, event: session.Opened) -> None:
        hello = event.hello
        if hello.role != 'entry':
            return
        if hello.incarnation == self.ctx.incarnation:
            self._dialer.drop_own(event.session)
            return
        if hello.place.region != self.ctx.cfg.region:
            return
        self._open[event.session] = hello
        if hello.address:
            self._dialer.dial(hello.address)
            if hello.address in self._dialer.failed:
                self._dialer.failed[hello.address] = 0
        self._publish()
        self._send_heartbeat(event.session)

    @task.handles(session.Closed)
    def _on_closed(self, event: session.Closed) -> None:
        if self._open.pop(event.session, None) is not None:
            self._publish()

    @task.handles(session.DialFailed)
    def _on_dial_failed(self, event: session.DialFailed) -> None:
        if self._dialer.record_failure(event.target):
            self._publish()

    @task.handles(session.SendRefused)
    def _on_send_refused(self, event: session.SendRefused) -> None:
        """Ignore it; the next heartbeat has the newest state."""

    @task.handles(session.Received)
    def _on_received(self, event: session.Received) -> None:
        if isinstance(event.msg, messages.PeerHeartbeat):
            for target in event.msg.entries:
                self._dialer.dial(target)
            report = events.RevisionReported(event.session, event.msg.revision)
            self.send(addresses.PROCESSES, report)

    @task.handles(_SendHeartbeats)
    def _on_send_heartbeats(self, msg: _SendHeartbeats) -> None:
        self._seq += 1
        for name in self._open:
            self._send_heartbeat(name)
        jitter = self.ctx.rng.uniform(0.9, 1.1)
        self.after(self.settings.heartbeat_s * jitter, _SendHeartbeats())

    def _send_heartbeat(self, name: str) -> None:
        heartbeat = messages.PeerHeartbeat(
            seq=self._seq,
            revision=self.revision,
            log_age_ms=self._infer_log_age_ms(),
            entries=self._list_entries(),
        )
        self.send(name, session.Send(heartbeat))

    def _infer_log_age_ms(self) -> int:
        if self._log_read_at is None:
            return -1
        age_s = self.now() - self._log_read_at
        return int(age_s * 1000) if age_s <= self.settings.isolation_s else -1

    def _list_entries(self) -> tuple[str, ...]:
        connected = {h.address for h in self._open.values() if h.address}
        return (self.ctx.cfg.listen, *sorted(connected))[:MAX_PEERS]

    def _publish(self) -> None:
        sessions = {h.incarnation: name for name, h in self._open.items()}
        event = events.PeersChanged(
            tuple(sorted(sessions.items())), self._list_entries()
        )
        for target in (
            addresses.MEMBERSHIP,
            addresses.TASKS,
            addresses.FENCES,
        ):
            self.send(target, event)


def make_spec(target: str) -> supervisor.ChildSpec:
    """Return the spec of a session that dials another entry."""

    def make_routes(ctx: task.Context) -> session.Routes:
        from kcr_entry.fleet import supervisor as fleet

        subscribers = (
            addresses.PEERS,
            addresses.IN_FORCE,
            addresses.PROCESSES,
            addresses.CLAIMS,
        )
        return fleet.make_routes(ctx, subscribers)

    return session.make_spec(target, make_routes)

"""Announce the endpoint to the entries and renew the authority over tasks.

The sessions report each connection; the announcer then sends the state of the
endpoint and periodic heartbeats with the load that the admission task and the
task control report. Acknowledgements renew the authority, whose expiry goes to
the task control, and list further entries, which the announcer dials.
"""

import collections
import dataclasses
import typing

from kcr_core import authority
from kcr_core import messages
from kcr_core import net_address
from kcr_core import types
from kcr_runtime import supervisor
from kcr_runtime import task
from kcr_runtime.wire import session
from kcr_sidecar import addresses
from kcr_sidecar.capacity import admission
from kcr_sidecar.capacity import task_control
from kcr_sidecar import events
from kcr_sidecar.links import routes

# Maximum number of unacknowledged heartbeats whose send time is stored, per
# session.
MAX_UNACKED_HEARTBEATS = 64

# Delay from distributing the free slots to sending the heartbeats, in seconds.
# Each heartbeat must carry the new grants: if they arrived an interval later,
# entries would fill slots that were granted to other entries meanwhile.
HEARTBEAT_DELAY_S = 0.005


class _StartHeartbeats:
    pass


class _SendHeartbeats:
    pass


@dataclasses.dataclass(slots=True)
class _Link:
    # Address that was dialed.
    target: str
    # Incarnation of the entry.
    incarnation: str
    # Sequence number of the last heartbeat.
    seq: int = 0
    # Send times of unacknowledged heartbeats, by sequence number.
    sent: collections.OrderedDict[int, float] = dataclasses.field(
        default_factory=collections.OrderedDict
    )


class Announcer(task.Task):
    """Own the heartbeats and the authority of the sidecar."""

    def __init__(self, ctx: task.Context, address: str) -> None:
        super().__init__(ctx, address)
        # Settings of the document in force.
        self.settings = types.ControlSettings()
        self._revision = 0
        self._sessions: dict[str, _Link] = {}
        self._load = admission.SlotsLoad(0, 0, 0.0, False)
        self._tasks = task_control.TasksLoad(types.Demand(), 0, 0, ())
        self._authority = authority.Authority(self.settings)
        self._discovered: set[str] = set()
        self._reported_authority: tuple[float, bool] | None = None

    def started(self) -> None:
        """Start the heartbeat timer."""
        self.after(self.settings.heartbeat_s, _StartHeartbeats())

    def dump(self) -> dict[str, typing.Any]:
        """Return the sessions, the entries and the authority."""
        return {
            **super().dump(),
            'sessions': {
                name: link.seq for name, link in self._sessions.items()
            },
            'entries': list(self._authority.entry_addresses()),
            'learnt': sorted(self._discovered),
            'authorized': self._authority.is_authorized(self.now()),
            'fenced': self._authority.fenced,
        }

    @task.handles(session.Opened)
    def _on_opened(self, event: session.Opened) -> None:
        target = event.session.rpartition('/')[2]
        self._sessions[event.session] = _Link(target, event.hello.incarnation)
        self._authority.add_entry(target, event.hello.incarnation)
        self._announce(event.session)
        self._send_heartbeat(event.session)
        self._distribute_grants()
        self._report_authority()

    def _announce(self, name: str) -> None:
        state = messages.EndpointState(
            service=self.ctx.cfg.service,
            capacity=self.ctx.cfg.capacity(),
            controller_epoch=self._tasks.controller_epoch,
            running=self._tasks.running,
        )
        self.send(name, session.Send(state))

    @task.handles(session.Closed)
    def _on_closed(self, event: session.Closed) -> None:
        self._sessions.pop(event.session, None)

    @task.handles(session.DialFailed)
    def _on_dial_failed(self, event: session.DialFailed) -> None:
        self.ctx.metrics.count('dial_failed')
        if not event.refused:
            return
        self._authority.remove_entry(event.target)
        self._report_authority()
        if event.target in self._discovered:
            self._discovered.discard(event.target)
            stop = supervisor.StopChild(event.target)
            self.send(addresses.SESSIONS, stop)

    @task.handles(session.SendRefused)
    def _on_send_refused(self, event: session.SendRefused) -> None:
        """Do nothing; the next heartbeat carries the latest state."""

    @task.handles(session.Received)
    def _on_received(self, event: session.Received) -> None:
        ack, link = event.msg, self._sessions.get(event.session)
        assert isinstance(ack, messages.HeartbeatAck)
        if link is None or ack.seq not in link.sent:
            self.ctx.metrics.count('ack_unmatched')
            return
        self._authority.renew(
            link.target,
            event.hello.incarnation,
            link.sent.pop(ack.seq),
            ack.log_age_ms,
            ack.fenced,
        )
        self._report_authority()
        for target in ack.entries:
            self._add_discovered(target)

    def _add_discovered(self, target: str) -> None:
        known = self._discovered.union(self.ctx.cfg.entries)
        if target in known or not net_address.is_valid(target):
            return
        if len(known) >= authority.MAX_ENTRIES:
            self.ctx.metrics.count('entry_not_dialed')
            return
        self._discovered.add(target)
        spec = routes.make_spec(target)
        self.send(addresses.SESSIONS, supervisor.StartChild(spec))

    def _report_authority(self) -> None:
        current = (self._authority.expires_at(), self._authority.fenced)
        if current == self._reported_authority:
            return
        self._reported_authority = current
        changed = events.AuthorityChanged(
            self._authority.is_authorized(self.now()), current[1], current[0]
        )
        self.send(addresses.TASK_CONTROL, changed)

    @task.handles(admission.SlotsLoad)
    def _on_load(self, load: admission.SlotsLoad) -> None:
        drain_started = load.draining and not self._load.draining
        self._load = load
        if drain_started:
            for name in self._sessions:
                self.send(name, session.Send(messages.Leaving('stopping')))

    @task.handles(_StartHeartbeats)
    def _on_start_heartbeats(self, msg: _StartHeartbeats) -> None:
        self._distribute_grants()
        self.after(HEARTBEAT_DELAY_S, _SendHeartbeats())
        jitter = self.ctx.rng.uniform(0.9, 1.1)
        self.after(self.settings.heartbeat_s * jitter, _StartHeartbeats())

    @task.handles(task_control.TasksLoad)
    def _on_tasks_load(self, load: task_control.TasksLoad) -> None:
        rebuilt = load.controller_epoch and not self._tasks.controller_epoch
        self._tasks = load
        if rebuilt:
            # A state with controller epoch 0 does not report the tasks.
            for name in self._sessions:
                self._announce(name)

    @task.handles(events.SettingsInForce)
    def _on_settings(self, msg: events.SettingsInForce) -> None:
        self.settings = msg.settings
        self._revision = msg.revision
        self._authority.settings = msg.settings
        self._report_authority()

    @task.handles(_SendHeartbeats)
    def _on_send_heartbeats(self, msg: _SendHeartbeats) -> None:
        for name in self._sessions:
            self._send_heartbeat(name)

    def _distribute_grants(self) -> None:
        self.send(
            addresses.ADMISSION,
            admission.DistributeGrants(tuple(self._sessions)),
        )

    def _send_heartbeat(self, name: str) -> None:
        link = self._sessions[name]
        link.seq += 1
        link.sent[link.seq] = self.now()
        if len(link.sent) > MAX_UNACKED_HEARTBEATS:
            link.sent.popitem(last=False)
        heartbeat = messages.Heartbeat(
            seq=link.seq,
            revision=self._revision,
            active=self._load.active,
            granted=dict(self._load.granted).get(name, 0),
            free=self._tasks.free,
            waiting=self._tasks.waiting,
            latency_ms=self._load.latency_ms,
            draining=self._load.draining,
        )
        self.send(name, session.Send(heartbeat))

"""Announce the endpoint to the entries, send heartbeats, take vouches."""

import collections
import dataclasses
import typing

from kcr_core import authority
from kcr_core import messages
from kcr_core import types
from kcr_runtime import settings
from kcr_runtime import supervisor
from kcr_runtime import task
from kcr_runtime.wire import session
from kcr_sidecar import addresses
from kcr_sidecar.capacity import admission
from kcr_sidecar.capacity import task_control
from kcr_sidecar import events
from kcr_sidecar.links import routes

# Heartbeats without an answer whose send time is kept, per session.
MAX_OPEN_BEATS = 64


# Time between dividing the free slots and announcing them, in seconds. The
# heartbeat must carry the new division: announced a whole interval later, the
# entries fill slots that the sidecar has given to others meanwhile.
DIVIDE_S = 0.005


class _Divide:
    pass


class _Beat:
    pass


@dataclasses.dataclass(slots=True)
class _Link:
    # Address that was dialed.
    target: str
    # Incarnation of the entry.
    incarnation: str
    # Number of the last heartbeat.
    seq: int = 0
    # Send times of heartbeats without an answer.
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
        self._open: dict[str, _Link] = {}
        self._load = admission.SlotsLoad(0, 0, 0.0, False)
        self._tasks = task_control.TasksLoad(types.Demand(), 0, 0, ())
        self._authority = authority.Authority(self.settings)
        self._learnt: set[str] = set()
        self._told: tuple[float, bool] | None = None

    def started(self) -> None:
        """Start the heartbeat timer."""
        self.after(self.settings.heartbeat_s, _Divide())

    def dump(self) -> dict[str, typing.Any]:
        """Return the sessions, the known entries and the authority."""
        return {
            **super().dump(),
            'sessions': {name: link.seq for name, link in self._open.items()},
            'entries': list(self._authority.entry_addresses()),
            'learnt': sorted(self._learnt),
            'authorized': self._authority.is_authorized(self.now()),
            'fenced': self._authority.fenced,
        }

    @task.handles(session.Opened)
    def _on_opened(self, event: session.Opened) -> None:
        target = event.session.rpartition('/')[2]
        self._open[event.session] = _Link(target, event.hello.incarnation)
        self._authority.add_entry(target, event.hello.incarnation)
        self._announce(event.session)
        self._beat(event.session)
        self._divide()
        self._tell_authority()

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
        self._open.pop(event.session, None)

    @task.handles(session.DialFailed)
    def _on_dial_failed(self, event: session.DialFailed) -> None:
        self.ctx.metrics.count('dial_failed')
        if not event.refused:
            return
        self._authority.remove_entry(event.target)
        self._tell_authority()
        if event.target in self._learnt:
            self._learnt.discard(event.target)
            stop = supervisor.StopChild(event.target)
            self.send(addresses.SESSIONS, stop)

    @task.handles(session.SendRefused)
    def _on_send_refused(self, event: session.SendRefused) -> None:
        """Ignore it; the next heartbeat carries the newest state."""

    @task.handles(session.Received)
    def _on_received(self, event: session.Received) -> None:
        ack, link = event.msg, self._open.get(event.session)
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
        self._tell_authority()
        for target in ack.entries:
            self._learn(target)

    def _learn(self, target: str) -> None:
        known = self._learnt.union(self.ctx.cfg.entries)
        if target in known or not settings.ADDRESS.match(target):
            return
        if len(known) >= authority.MAX_ENTRIES:
            self.ctx.metrics.count('entry_not_dialed')
            return
        self._learnt.add(target)
        spec = routes.make_spec(target)
        self.send(addresses.SESSIONS, supervisor.StartChild(spec))

    def _tell_authority(self) -> None:
        current = (self._authority.expires_at(), self._authority.fenced)
        if current == self._told:
            return
        self._told = current
        changed = events.AuthorityChanged(
            self._authority.is_authorized(self.now()), current[1], current[0]
        )
        self.send(addresses.TASK_CONTROL, changed)

    @task.handles(admission.SlotsLoad)
    def _on_load(self, load: admission.SlotsLoad) -> None:
        leaving = load.draining and not self._load.draining
        self._load = load
        if leaving:
            for name in self._open:
                self.send(name, session.Send(messages.Leaving('stopping')))

    @task.handles(_Divide)
    def _on_divide(self, msg: _Divide) -> None:
        self._divide()
        self.after(DIVIDE_S, _Beat())
        jitter = self.ctx.rng.uniform(0.9, 1.1)
        self.after(self.settings.heartbeat_s * jitter, _Divide())

    @task.handles(task_control.TasksLoad)
    def _on_tasks_load(self, load: task_control.TasksLoad) -> None:
        rebuilt = load.controller_epoch and not self._tasks.controller_epoch
        self._tasks = load
        if rebuilt:
            # A state with controller epoch 0 says nothing of the tasks.
            for name in self._open:
                self._announce(name)

    @task.handles(events.SettingsInForce)
    def _on_settings(self, msg: events.SettingsInForce) -> None:
        self.settings = msg.settings
        self._revision = msg.revision
        self._authority.settings = msg.settings
        self._tell_authority()

    @task.handles(_Beat)
    def _on_beat(self, msg: _Beat) -> None:
        for name in self._open:
            self._beat(name)

    def _divide(self) -> None:
        self.send(addresses.ADMISSION, admission.Divide(tuple(self._open)))

    def _beat(self, name: str) -> None:
        link = self._open[name]
        link.seq += 1
        link.sent[link.seq] = self.now()
        if len(link.sent) > MAX_OPEN_BEATS:
            link.sent.popitem(last=False)
        beat = messages.Heartbeat(
            seq=link.seq,
            revision=self._revision,
            active=self._load.active,
            granted=dict(self._load.windows).get(name, 0),
            free=self._tasks.free,
            waiting=self._tasks.waiting,
            latency_ms=self._load.latency_ms,
            draining=self._load.draining,
        )
        self.send(name, session.Send(beat))

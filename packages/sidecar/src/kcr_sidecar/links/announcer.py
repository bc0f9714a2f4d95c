"""Announce the endpoint to the entries and send heartbeats."""

import typing

from kcr_core import messages
from kcr_core import types
from kcr_runtime import task
from kcr_runtime.wire import session
from kcr_sidecar import addresses
from kcr_sidecar.capacity import admission


# Time between dividing the free slots and announcing them, in seconds. The
# heartbeat must carry the new division: announced a whole interval later, the
# entries fill slots that the sidecar has given to others meanwhile.
DIVIDE_S = 0.005


class _Divide:
    pass


class _Beat:
    pass


class Announcer(task.Task):
    """Own the heartbeats of the sidecar."""

    def __init__(self, ctx: task.Context, address: str) -> None:
        super().__init__(ctx, address)
        # Settings of the document in force.
        self.settings = types.ControlSettings()
        self._open: dict[str, int] = {}
        self._load = admission.SlotsLoad(0, 0, 0.0, False)

    def started(self) -> None:
        """Start the heartbeat timer."""
        self.after(self.settings.heartbeat_s, _Divide())

    def dump(self) -> dict[str, typing.Any]:
        """Return the sessions and their heartbeat numbers."""
        return {**super().dump(), 'sessions': dict(self._open)}

    @task.handles(session.Opened)
    def _on_opened(self, event: session.Opened) -> None:
        self._open[event.session] = 0
        state = messages.EndpointState(
            service=self.ctx.cfg.service,
            capacity=self.ctx.cfg.capacity(),
            controller_epoch=0,
        )
        self.send(event.session, session.Send(state))
        self._beat(event.session)
        self._divide()

    @task.handles(session.Closed)
    def _on_closed(self, event: session.Closed) -> None:
        self._open.pop(event.session, None)

    @task.handles(session.DialFailed)
    def _on_dial_failed(self, event: session.DialFailed) -> None:
        self.ctx.metrics.count('dial_failed')

    @task.handles(session.SendRefused)
    def _on_send_refused(self, event: session.SendRefused) -> None:
        """Ignore it; the next heartbeat carries the newest state."""

    @task.handles(session.Received)
    def _on_received(self, event: session.Received) -> None:
        """Take the entry's answer to a heartbeat."""

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

    @task.handles(_Beat)
    def _on_beat(self, msg: _Beat) -> None:
        for name in self._open:
            self._beat(name)

    def _divide(self) -> None:
        self.send(addresses.ADMISSION, admission.Divide(tuple(self._open)))

    def _beat(self, name: str) -> None:
        self._open[name] += 1
        beat = messages.Heartbeat(
            seq=self._open[name],
            revision=0,
            active=self._load.active,
            granted=dict(self._load.windows).get(name, 0),
            free=types.Demand(),
            waiting=self._load.waiting,
            latency_ms=self._load.latency_ms,
            draining=self._load.draining,
        )
        self.send(name, session.Send(beat))

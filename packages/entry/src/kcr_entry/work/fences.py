"""Own the watch over silent sidecars and ask the peers about them."""

import typing

from kcr_core import fencing
from kcr_core import messages
from kcr_core import types
from kcr_entry import addresses
from kcr_entry import events
from kcr_runtime import task
from kcr_runtime.wire import session

# Time between two looks at the silent sidecars, in seconds.
STEP_S = 0.5


class _Step:
    pass


class Fences(task.Task):
    """Decide when a silent sidecar is fenced."""

    def __init__(self, ctx: task.Context, address: str) -> None:
        super().__init__(ctx, address)
        # Settings of the document in force.
        self.settings = types.ControlSettings()
        self._watch = fencing.FailureDetector(self.settings, self.now())
        self._view = events.HomesChanged(frozenset(), {}, False)
        self._peers: dict[str, str] = {}
        self._stopping = False

    def started(self) -> None:
        """Start the timer."""
        self.after(STEP_S, _Step())

    def dump(self) -> dict[str, typing.Any]:
        """Return when this entry may fence, and the peers it asks."""
        left = self._watch.fences_from - self.now()
        return {
            **super().dump(),
            'fences_in_s': round(max(0.0, left), 3),
            'homes': len(self._view.homes),
            'peers': len(self._peers),
            'stopping': self._stopping,
        }

    @task.handles(events.Stopping)
    def _on_stopping(self, event: events.Stopping) -> None:
        # Sidecars leave a stopping entry, which then hears of nobody.
        self._stopping = True

    @task.handles(events.SettingsInForce)
    def _on_settings(self, event: events.SettingsInForce) -> None:
        self._watch.settings = event.settings

    @task.handles(events.EndpointChanged)
    def _on_endpoint(self, event: events.EndpointChanged) -> None:
        if event.phase != 'gone' and event.phase != 'suspect':
            self._watch.record_message(event.name, self.now())

    @task.handles(events.HomesChanged)
    def _on_homes(self, event: events.HomesChanged) -> None:
        self._view = event

    @task.handles(events.PeersChanged)
    def _on_peers(self, event: events.PeersChanged) -> None:
        self._peers = dict(event.sessions)

    @task.handles(session.Received)
    def _on_received(self, event: session.Received) -> None:
        msg = event.msg
        if isinstance(msg, messages.HeardReply):
            self._watch.record_reply(
                (msg.instance, msg.incarnation),
                event.hello.incarnation,
                msg.age_ms,
                self.now(),
            )

    @task.handles(_Step)
    def _on_step(self, msg: _Step) -> None:
        if self._stopping:
            return
        self.after(STEP_S, _Step())
        view = self._view
        for action in self._watch.step(
            view.homes, view.waits, self._peers, view.fresh, self.now()
        ):
            if isinstance(action, fencing.QueryPeers):
                self._ask(action)
                continue
            self.ctx.metrics.count('fence_due')
            self.send(addresses.TASKS, events.FenceDue(action))

    def _ask(self, action: fencing.QueryPeers) -> None:
        query = messages.HeardQuery(action.instance, action.incarnation)
        for name in self._peers.values():
            self.send(name, session.Send(query))

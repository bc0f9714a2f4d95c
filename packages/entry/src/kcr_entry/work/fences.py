"""Run the task that detects failed sidecars and requests their fences.

Membership reports the messages of sidecars, the task `work/tasks` reports the
homes of tasks and the fences in the log, and peers reply when they last
received a message of a silent sidecar. `kcr_core.fencing` decides from these
whom to query about and whom to fence; `work/tasks` appends the fences.
"""

import typing

from kcr_core import fencing
from kcr_core import messages
from kcr_core import types
from kcr_entry import addresses
from kcr_entry import events
from kcr_runtime import task
from kcr_runtime.wire import session

# Interval between scans for silent sidecars, in seconds.
SCAN_INTERVAL_S = 0.5


class _Scan:
    pass


class Fences(task.Task):
    """Query peers about silent sidecars and request fences."""

    def __init__(self, ctx: task.Context, address: str) -> None:
        super().__init__(ctx, address)
        # Settings of the document in force.
        self.settings = types.ControlSettings()
        self._detector = fencing.FailureDetector(self.settings, self.now())
        self._homes_view = events.HomesChanged(frozenset(), {}, False)
        self._peer_sessions: dict[str, str] = {}
        self._stopping = False

    def started(self) -> None:
        """Start the timer."""
        self.after(SCAN_INTERVAL_S, _Scan())

    def dump(self) -> dict[str, typing.Any]:
        """Return when this entry may fence, and the number of peers."""
        left = self._detector.fences_from - self.now()
        return {
            **super().dump(),
            'fences_in_s': round(max(0.0, left), 3),
            'homes': len(self._homes_view.homes),
            'peers': len(self._peer_sessions),
            'stopping': self._stopping,
        }

    @task.handles(events.Stopping)
    def _on_stopping(self, event: events.Stopping) -> None:
        # Sidecars disconnect from a stopping entry, so it receives messages
        # of none of them.
        self._stopping = True

    @task.handles(events.SettingsInForce)
    def _on_settings(self, event: events.SettingsInForce) -> None:
        self._detector.settings = event.settings

    @task.handles(events.EndpointChanged)
    def _on_endpoint(self, event: events.EndpointChanged) -> None:
        if event.phase != 'gone' and event.phase != 'suspect':
            self._detector.record_message(event.name, self.now())

    @task.handles(events.HomesChanged)
    def _on_homes(self, event: events.HomesChanged) -> None:
        self._homes_view = event

    @task.handles(events.PeersChanged)
    def _on_peers(self, event: events.PeersChanged) -> None:
        self._peer_sessions = dict(event.sessions)

    @task.handles(session.Received)
    def _on_received(self, event: session.Received) -> None:
        msg = event.msg
        if isinstance(msg, messages.LastMessageReply):
            self._detector.record_reply(
                (msg.instance, msg.incarnation),
                event.hello.incarnation,
                msg.age_ms,
                self.now(),
            )

    @task.handles(_Scan)
    def _on_scan(self, msg: _Scan) -> None:
        if self._stopping:
            return
        self.after(SCAN_INTERVAL_S, _Scan())
        view = self._homes_view
        for action in self._detector.step(
            view.homes, view.waits, self._peer_sessions, view.fresh, self.now()
        ):
            if isinstance(action, fencing.QueryPeers):
                self._query_peers(action)
                continue
            self.ctx.metrics.count('fence_due')
            self.send(addresses.TASKS, events.FenceDue(action))

    def _query_peers(self, action: fencing.QueryPeers) -> None:
        query = messages.LastMessageQuery(action.instance, action.incarnation)
        for address in self._peer_sessions.values():
            self.send(address, session.Send(query))

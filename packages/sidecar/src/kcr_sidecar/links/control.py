"""Own the settings in force at a sidecar and reply to dump requests.

Any entry may send a revision of the settings. A revision is applied only if it
is newer than the one in force; it is then delivered to the tasks in
`addresses.SETTINGS_SUBSCRIBERS`.
"""

import json
import typing

from kcr_core import message_base
from kcr_core import messages
from kcr_runtime import task
from kcr_runtime.wire import session
from kcr_sidecar import addresses
from kcr_sidecar import events

# Interval between deliveries of the same settings, in seconds. A restarted
# task has lost them.
REDELIVERY_INTERVAL_S = 5.0
# Maximum size of a dump in bytes, so that its message fits into a frame.
MAX_DUMP_BYTES = message_base.MAX_BODY_BYTES


class _Redeliver:
    pass


class Control(task.Task):
    """Own the settings of the document in force."""

    def __init__(self, ctx: task.Context, address: str) -> None:
        super().__init__(ctx, address)
        self._current: messages.Control | None = None
        self._ignored_older = 0
        self._checks = 0

    def started(self) -> None:
        """Start the timer for redelivery."""
        self.after(REDELIVERY_INTERVAL_S, _Redeliver())

    def dump(self) -> dict[str, typing.Any]:
        """Return the revision and the number of ignored messages."""
        return {
            **super().dump(),
            'revision': self._current.revision if self._current else 0,
            'older_ignored': self._ignored_older,
            'checked': {'revision_never_goes_down': self._checks},
        }

    @task.handles(session.Received)
    def _on_received(self, event: session.Received) -> None:
        if isinstance(event.msg, messages.Control):
            self._apply(event.msg)
        elif isinstance(event.msg, messages.DocumentRequest):
            if self._current and self._current.revision > event.msg.revision:
                self.send(event.session, session.Send(self._current))
        elif isinstance(event.msg, messages.DumpRequest):
            reply = messages.DumpReply(event.msg.token, self._dump_text())
            self.send(event.session, session.Send(reply))

    def _apply(self, msg: messages.Control) -> None:
        before = self._current.revision if self._current else 0
        if msg.revision <= before:
            if msg.revision < before:
                self._ignored_older += 1
                self.ctx.metrics.count('control_older')
            return
        self._current = msg
        self._checks += 1
        assert self._current.revision > before, (
            f'revision {msg.revision} is not above {before}'
        )
        self.log.info('settings in force', revision=msg.revision)
        self._deliver()

    def _deliver(self) -> None:
        if self._current is None:
            return
        event = events.SettingsInForce(
            self._current.revision, self._current.settings
        )
        for subscriber in addresses.SETTINGS_SUBSCRIBERS:
            self.send(subscriber, event)
        for name in self.ctx.directory.addresses():
            if name.startswith(addresses.SESSIONS + '/'):
                self.send(name, session.SetRevision(event.revision))

    @task.handles(_Redeliver)
    def _on_redeliver(self, msg: _Redeliver) -> None:
        self._deliver()
        self.after(REDELIVERY_INTERVAL_S, _Redeliver())

    def _dump_text(self) -> str:
        text = json.dumps(self.ctx.directory.dump(), default=str)
        if len(text.encode()) > MAX_DUMP_BYTES:
            return json.dumps({'error': f'dump has {len(text)} characters'})
        return text

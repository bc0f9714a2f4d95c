"""Own the settings that a sidecar follows, and answer requests for a dump.

Settings come from any entry; an older revision than the one in force is never
followed, whatever an entry sends.
"""

import json
import typing

from kcr_core import message_base
from kcr_core import messages
from kcr_runtime import task
from kcr_runtime.wire import session
from kcr_sidecar import addresses
from kcr_sidecar import events

# Time between two deliveries of the same settings, in seconds; a task that
# was restarted has lost them.
REDELIVER_S = 5.0
# Bytes of a dump that fit into a frame with their envelope.
MAX_DUMP_BYTES = message_base.MAX_BODY_BYTES


class _Redeliver:
    pass


class Control(task.Task):
    """Own the settings of the document in force."""

    def __init__(self, ctx: task.Context, address: str) -> None:
        super().__init__(ctx, address)
        self._held: messages.Control | None = None
        self._older = 0
        self._checked = 0

    def started(self) -> None:
        """Begin to deliver."""
        self.after(REDELIVER_S, _Redeliver())

    def dump(self) -> dict[str, typing.Any]:
        """Return the revision and the messages that were not followed."""
        return {
            **super().dump(),
            'revision': self._held.revision if self._held else 0,
            'older_ignored': self._older,
            'checked': {'revision_never_goes_down': self._checked},
        }

    @task.handles(session.Received)
    def _on_received(self, event: session.Received) -> None:
        if isinstance(event.msg, messages.Control):
            self._follow(event.msg)
        elif isinstance(event.msg, messages.DocumentRequest):
            if self._held and self._held.revision > event.msg.revision:
                self.send(event.session, session.Send(self._held))
        elif isinstance(event.msg, messages.DumpRequest):
            reply = messages.DumpReply(event.msg.token, self._dump_text())
            self.send(event.session, session.Send(reply))

    def _follow(self, msg: messages.Control) -> None:
        before = self._held.revision if self._held else 0
        if msg.revision <= before:
            if msg.revision < before:
                self._older += 1
                self.ctx.metrics.count('control_older')
            return
        self._held = msg
        self._checked += 1
        assert self._held.revision > before, 'revision went down'
        self.log.info('settings in force', revision=msg.revision)
        self._deliver()

    def _deliver(self) -> None:
        if self._held is None:
            return
        event = events.SettingsInForce(
            self._held.revision, self._held.settings
        )
        for follower in addresses.FOLLOWERS:
            self.send(follower, event)
        for name in self.ctx.directory.addresses():
            if name.startswith(addresses.SESSIONS + '/'):
                self.send(name, session.SetRevision(event.revision))

    @task.handles(_Redeliver)
    def _on_redeliver(self, msg: _Redeliver) -> None:
        self._deliver()
        self.after(REDELIVER_S, _Redeliver())

    def _dump_text(self) -> str:
        text = json.dumps(self.ctx.directory.dump(), default=str)
        if len(text.encode()) > MAX_DUMP_BYTES:
            return json.dumps({'error': f'dump has {len(text)} characters'})
        return text

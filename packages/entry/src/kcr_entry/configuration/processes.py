"""Own the view of the processes that follow the document.

It gives each sidecar the settings in force, at most once per change and
session, notes the revision that each process reports, and relays dumps.
"""

import dataclasses
import json
import typing

from kcr_core import message_base
from kcr_core import messages
from kcr_entry import addresses
from kcr_entry.configuration import questions
from kcr_entry import events
from kcr_runtime import query
from kcr_runtime import task
from kcr_runtime.wire import session

# Time that a process has to answer a request for its dump, in seconds.
DUMP_LIMIT_S = 5.0
# Dumps under way at the same time.
DUMPS_LIMIT = 20
# Delay before settings that a full connection refused are sent again.
RESEND_S = 1.0
# Bytes of a dump that fit into a frame with their envelope.
MAX_DUMP_BYTES = message_base.MAX_BODY_BYTES


@dataclasses.dataclass(slots=True)
class _Follower:
    hello: message_base.Hello
    # Revision that the process reported last.
    revision: int
    # Revision of the settings that were sent last on this session.
    sent: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _Resend:
    session: str


@dataclasses.dataclass(frozen=True, slots=True)
class _DumpLimit:
    token: str


class Processes(task.Task):
    """Own the sessions of followers and their revisions."""

    def __init__(self, ctx: task.Context, address: str) -> None:
        super().__init__(ctx, address)
        self._followers: dict[str, _Follower] = {}
        self._settings: events.SettingsInForce | None = None
        self._dumps: dict[str, query.Query] = {}
        self._asked = 0

    def started(self) -> None:
        """Ask for the sessions that were opened before a restart."""
        session.query_open_sessions(
            self.ctx, self.address, addresses.ALL_SESSIONS
        )

    @property
    def revision(self) -> int:
        """Return the revision in force at this entry; 0 before the first."""
        return self._settings.revision if self._settings else 0

    def dump(self) -> dict[str, typing.Any]:
        """Return the number of followers and of those behind."""
        behind = sum(
            item.revision < self.revision for item in self._followers.values()
        )
        return {
            **super().dump(),
            'revision': self.revision,
            'followers': len(self._followers),
            'behind': behind,
        }

    @task.handles(events.SettingsInForce)
    def _on_settings(self, event: events.SettingsInForce) -> None:
        if event.revision <= self.revision:
            return
        self._settings = event
        for name in self._followers:
            self._control(name)
        self._stamp_sessions()

    def _stamp_sessions(self) -> None:
        """Give the sessions the revision for the hello of new connections."""
        stamp = session.SetRevision(self.revision)
        dialed = self.ctx.directory.children(addresses.PEER_SESSIONS)
        for name in (addresses.LISTENER, *dialed):
            self.send(name, stamp)

    def _control(self, name: str) -> None:
        follower, settings = self._followers[name], self._settings
        if settings is None or follower.hello.role != 'sidecar':
            return
        if max(follower.revision, follower.sent) >= settings.revision:
            return
        msg = messages.Control(settings.revision, settings.settings)
        if self.send(name, session.Send(msg)):
            follower.sent = settings.revision
            self.ctx.metrics.count('control_sent')

    @task.handles(session.Opened)
    def _on_opened(self, event: session.Opened) -> None:
        hello = event.hello
        self._followers[event.session] = _Follower(hello, hello.revision)
        self._report(event.session)
        self._control(event.session)

    @task.handles(session.Closed)
    def _on_closed(self, event: session.Closed) -> None:
        self._followers.pop(event.session, None)

    @task.handles(session.DialFailed)
    def _on_dial_failed(self, event: session.DialFailed) -> None:
        """Ignore it; there is no session yet."""

    @task.handles(session.SendRefused)
    def _on_send_refused(self, event: session.SendRefused) -> None:
        follower = self._followers.get(event.session)
        if follower is None or not isinstance(event.msg, messages.Control):
            return
        follower.sent = 0
        self.after(RESEND_S, _Resend(event.session))

    @task.handles(_Resend)
    def _on_resend(self, msg: _Resend) -> None:
        if msg.session in self._followers:
            self._control(msg.session)

    @task.handles(events.RevisionSeen)
    def _on_revision(self, event: events.RevisionSeen) -> None:
        follower = self._followers.get(event.session)
        if follower is None:
            return
        sidecar = follower.hello.role == 'sidecar'
        if sidecar and event.revision < follower.revision:
            self.ctx.metrics.count('revision_went_down')
            self.log.error(
                'revision went down',
                process=follower.hello.process,
                before=follower.revision,
                after=event.revision,
            )
        follower.revision = event.revision
        self._report(event.session)

    def _report(self, name: str) -> None:
        seen = events.RevisionSeen(name, self._followers[name].revision)
        self.send(addresses.IN_FORCE, seen)

    @task.handles(query.Query)
    def _on_ask(self, req: query.Query) -> None:
        if isinstance(req.body, questions.GetVersions):
            self.send(req.sender, query.Reply(req.token, self._versions()))
        elif isinstance(req.body, questions.GetDump):
            self._ask_dump(req, req.body.process)

    def _versions(self) -> questions.Versions:
        found = {
            item.hello.process: {
                'process': item.hello.process,
                'role': item.hello.role,
                'region': item.hello.place.region,
                'revision': item.revision,
                'behind': item.revision < self.revision,
            }
            for item in self._followers.values()
        }
        cfg = self.ctx.cfg
        found[cfg.process] = {
            'process': cfg.process,
            'role': 'entry',
            'region': cfg.region,
            'revision': self.revision,
            'behind': False,
        }
        ordered = tuple(found[name] for name in sorted(found))
        return questions.Versions(self.revision, ordered)

    def _ask_dump(self, req: query.Query, process: str) -> None:
        if process == self.ctx.cfg.process:
            self._answer_dump(req, questions.Dump(self._dump_text()))
            return
        name = next(
            (
                name
                for name, item in self._followers.items()
                if item.hello.process == process
            ),
            None,
        )
        if name is None:
            reason = f'no process {process!r} is connected to this entry'
            self._answer_dump(req, questions.Refused(reason))
            return
        if len(self._dumps) >= DUMPS_LIMIT:
            reason = 'too many dumps are under way'
            self._answer_dump(req, questions.Refused(reason))
            return
        self._asked += 1
        token = str(self._asked)
        self._dumps[token] = req
        self.send(name, session.Send(messages.DumpRequest(token)))
        self.after(DUMP_LIMIT_S, _DumpLimit(token))

    def _answer_dump(self, req: query.Query, value: typing.Any) -> None:
        self.send(req.sender, query.Reply(req.token, value))

    def _dump_text(self) -> str:
        text = json.dumps(self.ctx.directory.dump(), default=str)
        if len(text.encode()) > MAX_DUMP_BYTES:
            return json.dumps({'error': f'dump has {len(text)} characters'})
        return text

    @task.handles(session.Received)
    def _on_received(self, event: session.Received) -> None:
        msg = event.msg
        if isinstance(msg, messages.DumpRequest):
            reply = messages.DumpReply(msg.token, self._dump_text())
            self.send(event.session, session.Send(reply))
        elif isinstance(msg, messages.DumpReply):
            req = self._dumps.pop(msg.token, None)
            if req is not None:
                self._answer_dump(req, questions.Dump(msg.text))

    @task.handles(_DumpLimit)
    def _on_dump_limit(self, msg: _DumpLimit) -> None:
        req = self._dumps.pop(msg.token, None)
        if req is not None:
            reason = f'no answer within {DUMP_LIMIT_S:g} s'
            self._answer_dump(req, questions.NotKnown(reason))

"""Track the connected processes that follow the document in force.

The task sends each sidecar the settings in force, at most once per change and
session, records the revision that each process reports, and relays dumps. It
answers the operators' queries for versions and dumps from the HTTP front end.
"""

import dataclasses
import json
import typing

from kcr_core import message_base
from kcr_core import messages
from kcr_entry import addresses
from kcr_entry.configuration import queries
from kcr_entry import events
from kcr_runtime import query
from kcr_runtime import task
from kcr_runtime.wire import session

# Time within which a process must reply to a dump request, in seconds.
DUMP_TIMEOUT_S = 5.0
# Maximum number of dump requests without a reply.
MAX_PENDING_DUMPS = 20
# Delay before settings that a full connection refused are sent again, in
# seconds.
RESEND_DELAY_S = 1.0
# Maximum size of a dump that fits into a frame with its envelope.
MAX_DUMP_BYTES = message_base.MAX_BODY_BYTES


@dataclasses.dataclass(slots=True)
class _Follower:
    hello: message_base.Hello
    # Last revision that the process reported.
    revision: int
    # Revision of the settings last sent on this session; 0 for none.
    sent_revision: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _Resend:
    session: str


@dataclasses.dataclass(frozen=True, slots=True)
class _DumpTimeout:
    token: str


class Processes(task.Task):
    """Own the sessions of followers and their revisions."""

    def __init__(self, ctx: task.Context, address: str) -> None:
        super().__init__(ctx, address)
        self._followers: dict[str, _Follower] = {}
        self._settings: events.SettingsInForce | None = None
        self._dumps: dict[str, query.Query] = {}
        self._last_token = 0

    def started(self) -> None:
        """Request the sessions that were opened before a restart."""
        session.query_open_sessions(
            self.ctx, self.address, addresses.ALL_SESSIONS
        )

    @property
    def revision(self) -> int:
        """Return the revision in force at this entry; 0 before the first."""
        return self._settings.revision if self._settings else 0

    def dump(self) -> dict[str, typing.Any]:
        """Return the numbers of followers and of those behind."""
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
            self._send_settings(name)
        self._update_sessions()

    def _update_sessions(self) -> None:
        """Set the revision in the hello of new connections."""
        update = session.SetRevision(self.revision)
        dialed = self.ctx.directory.children(addresses.PEER_SESSIONS)
        for name in (addresses.LISTENER, *dialed):
            self.send(name, update)

    def _send_settings(self, name: str) -> None:
        follower, settings = self._followers[name], self._settings
        if settings is None or follower.hello.role != 'sidecar':
            return
        if max(follower.revision, follower.sent_revision) >= settings.revision:
            return
        msg = messages.Control(settings.revision, settings.settings)
        if self.send(name, session.Send(msg)):
            follower.sent_revision = settings.revision
            self.ctx.metrics.count('control_sent')

    @task.handles(session.Opened)
    def _on_opened(self, event: session.Opened) -> None:
        hello = event.hello
        self._followers[event.session] = _Follower(hello, hello.revision)
        self._report(event.session)
        self._send_settings(event.session)

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
        follower.sent_revision = 0
        self.after(RESEND_DELAY_S, _Resend(event.session))

    @task.handles(_Resend)
    def _on_resend(self, msg: _Resend) -> None:
        if msg.session in self._followers:
            self._send_settings(msg.session)

    @task.handles(events.RevisionReported)
    def _on_revision(self, event: events.RevisionReported) -> None:
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
        report = events.RevisionReported(name, self._followers[name].revision)
        self.send(addresses.IN_FORCE, report)

    @task.handles(query.Query)
    def _on_query(self, req: query.Query) -> None:
        if isinstance(req.body, queries.GetVersions):
            self.send(req.sender, query.Reply(req.token, self._versions()))
        elif isinstance(req.body, queries.GetDump):
            self._request_dump(req, req.body.process)

    def _versions(self) -> queries.Versions:
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
        return queries.Versions(self.revision, ordered)

    def _request_dump(self, req: query.Query, process: str) -> None:
        if process == self.ctx.cfg.process:
            self._reply(req, queries.Dump(self._dump_text()))
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
            self._reply(req, queries.Refused(reason))
            return
        if len(self._dumps) >= MAX_PENDING_DUMPS:
            reason = 'too many dumps are under way'
            self._reply(req, queries.Refused(reason))
            return
        self._last_token += 1
        token = str(self._last_token)
        self._dumps[token] = req
        self.send(name, session.Send(messages.DumpRequest(token)))
        self.after(DUMP_TIMEOUT_S, _DumpTimeout(token))

    def _reply(self, req: query.Query, value: typing.Any) -> None:
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
                self._reply(req, queries.Dump(msg.text))

    @task.handles(_DumpTimeout)
    def _on_dump_timeout(self, msg: _DumpTimeout) -> None:
        req = self._dumps.pop(msg.token, None)
        if req is not None:
            reason = f'no answer within {DUMP_TIMEOUT_S:g} s'
            self._reply(req, queries.NotKnown(reason))

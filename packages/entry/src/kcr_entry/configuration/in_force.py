"""Own the document in force and deliver its settings to the entry's tasks.

The task folds the log stream `config`, which decides what is in force. While
the log is unavailable it follows the highest revision that a peer offers. The
document that the process follows is never replaced by an older one.
Operators' publications arrive as queries from the HTTP front end.
"""

import dataclasses
import itertools
import typing

from kcr_core import configuration
from kcr_core import message_base
from kcr_core import messages
from kcr_core import records
from kcr_entry import addresses
from kcr_entry.configuration import conversion
from kcr_entry.configuration import publishing
from kcr_entry.configuration import queries
from kcr_entry import events
from kcr_runtime import query
from kcr_runtime import task
from kcr_runtime.wire import session

# Delay before a document is fetched from a peer; the log usually delivers it
# sooner, and the text should not cross the link between regions twice.
FETCH_DELAY_S = 1.0
# Time allowed for the first read of the log, in seconds. Before it ends, an
# entry without peers is not ready unless it has read the log.
LOG_GRACE_S = 3.0
# Delay before a message that arrived while the floor was unknown is handled
# again, in seconds.
FLOOR_RETRY_S = 0.05
# Time for which a publication waits for records that this entry may not have
# read yet, in seconds. Another entry may just have confirmed a trial.
READ_DELAY_S = 1.0
# Interval between deliveries of the same settings, in seconds; a restarted
# task has lost them. A document that did not arrive is requested again at the
# same interval.
REDELIVERY_INTERVAL_S = 5.0


class _Redeliver:
    pass


class _Restate:
    pass


class _EndGrace:
    pass


@dataclasses.dataclass(frozen=True, slots=True)
class _Fetch:
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class _EndWait:
    """End the wait of a publication for records."""

    req: query.Query


@dataclasses.dataclass(frozen=True, slots=True)
class _Expire:
    token: str


class InForce(task.Task):
    """Own the fold of the stream `config` and the document followed."""

    def __init__(self, ctx: task.Context, address: str) -> None:
        super().__init__(ctx, address)
        self._fold = configuration.Fold()
        self._followed = configuration.FollowedDocument()
        self._bootstrap = configuration.Bootstrap(
            peer for peer in ctx.cfg.peers if peer != ctx.cfg.listen
        )
        self._settings: events.SettingsInForce | None = None
        self._peers: dict[str, message_base.Hello] = {}
        self._target_revision = 0
        # Newest document of a peer that is not followed yet, because another
        # peer may have a newer one.
        self._held: configuration.DocumentInForce | None = None
        self._publications = publishing.Publications(self._reply)
        # Publications that would be refused by what this entry has read.
        self._waiting: list[query.Query] = []
        self._last_token = 0
        self._unreadable = ''
        self._ready = False
        self._grace = True
        # Lowest revision to follow: the one that this process reported before
        # the task was restarted. None before the reply to the query.
        self._floor: int | None = None
        self._restated_at: float | None = None

    def started(self) -> None:
        """Request the stream from the start and schedule the timers."""
        self.send(addresses.READERS['config'], events.LogReplay())
        floor = query.Query('floor', self.address, queries.GetVersions())
        self.send(addresses.PROCESSES, floor)
        session.query_open_sessions(
            self.ctx, self.address, addresses.ALL_SESSIONS
        )
        self.after(LOG_GRACE_S, _EndGrace())
        self.after(REDELIVERY_INTERVAL_S, _Redeliver())
        self._schedule_restatement(
            self.ctx.rng.uniform(*publishing.RESTATE_SHARES)
        )

    def dump(self) -> dict[str, typing.Any]:
        """Return the documents in force and followed, and the assertions."""
        return {
            **super().dump(),
            'revision': self._followed.revision,
            'ready': self._ready,
            'position': self._fold.offset,
            'certain': self._fold.is_complete,
            'in_force': {
                name: {'revision': doc.revision, 'digest': doc.digest}
                for name, doc in self._fold.in_force.items()
            },
            'silent_peers': sorted(self._bootstrap.unanswered),
            'highest_of_sidecars': self._bootstrap.highest_of_sidecars,
            'pending': len(self._publications.pending),
            'unreadable': self._unreadable,
            'ignored': dict(self._fold.ignored),
            'checked': dict(self._fold.checked + self._followed.checked),
            'violated': dict(self._fold.violated + self._followed.violated),
        }

    @task.handles(events.LogGap)
    def _on_gap(self, gap: events.LogGap) -> None:
        self._fold.skip_trimmed(gap.first)

    @task.handles(events.LogRead)
    def _on_read(self, read: events.LogRead) -> None:
        if read.after > self._fold.offset:
            # The earlier reads were delivered before this task restarted.
            self.send(addresses.READERS['config'], events.LogReplay())
            return
        for offset, items in itertools.groupby(
            read.items, lambda item: item.offset
        ):
            record = configuration.LogRecord(
                offset, tuple(i.item for i in items)
            )
            if configuration.read_snapshot(record.items):
                self._restated_at = self.now()
            for verdict in self._fold.apply(record):
                self._publications.apply_verdict(verdict)
        self._fold.advance(read.position)
        self._retry_waiting()
        if read.caught_up and self._fold.is_complete:
            self._bootstrap.log_read = True
            doc = self._fold.in_force.get(self.ctx.cfg.environment)
            if doc is not None:
                self._adopt(doc, 'log')
        self._check_ready()

    @task.handles(query.Reply)
    def _on_floor(self, msg: query.Reply) -> None:
        """Set the floor: the revision followed before a restart."""
        floor = int(msg.value.revision)
        self._floor = floor
        self._bootstrap.highest_of_peers = max(
            self._bootstrap.highest_of_peers, floor
        )

    def _adopt(self, doc: configuration.DocumentInForce, source: str) -> None:
        if self._floor is None or doc.revision < self._floor:
            return
        if not self._followed.adopt(doc):
            return
        self.ctx.metrics.count('document_adopted', source=source)
        self.log.info('document in force', revision=doc.revision)
        settings = conversion.read_settings(doc, self.ctx.cfg.environment)
        self._unreadable = settings if isinstance(settings, str) else ''
        if isinstance(settings, str):
            self.ctx.metrics.count('document_unreadable')
            self.log.error('document not readable', reason=settings)
            return
        if self._settings and self._settings.revision > doc.revision:
            return  # A sidecar has sent newer settings.
        self._settings = settings
        self._deliver()
        for name in self._list_peer_sessions():
            self._offer(name, with_text=False)

    def _deliver(self) -> None:
        if self._settings is None:
            return
        for subscriber in addresses.SETTINGS_SUBSCRIBERS:
            self.send(subscriber, self._settings)

    @task.handles(_Redeliver)
    def _on_redeliver(self, msg: _Redeliver) -> None:
        self._deliver()
        self.after(REDELIVERY_INTERVAL_S, _Redeliver())

    @task.handles(queries.GetReadiness)
    def _on_get_readiness(self, msg: queries.GetReadiness) -> None:
        self.send(addresses.HTTP, queries.ReadyChanged(self._ready))

    @task.handles(_EndGrace)
    def _on_end_grace(self, msg: _EndGrace) -> None:
        self._grace = False
        if self._floor is None:
            # The reply to the query for the floor was lost.
            self._floor = 0
        self._release_held()
        self._check_ready()

    def _check_ready(self) -> None:
        no_peers = not self._bootstrap.unanswered and not self._peers
        if self._grace and no_peers and not self._bootstrap.log_read:
            return
        ready = self._bootstrap.is_ready(self._followed.revision)
        if ready != self._ready:
            self._ready = ready
            self.log.info('readiness changed', ready=ready)
            self.send(addresses.HTTP, queries.ReadyChanged(ready))

    @task.handles(session.Opened)
    def _on_opened(self, event: session.Opened) -> None:
        hello = event.hello
        if hello.role != 'entry' or hello.incarnation == self.ctx.incarnation:
            return
        self._peers[event.session] = hello
        self._request_document(event.session)

    @task.handles(session.Closed)
    def _on_closed(self, event: session.Closed) -> None:
        self._peers.pop(event.session, None)

    @task.handles(session.DialFailed)
    def _on_dial_failed(self, event: session.DialFailed) -> None:
        if event.refused:
            self._bootstrap.peer_unreachable(event.target)
            self._release_held()
            self._check_ready()

    @task.handles(session.SendRefused)
    def _on_send_refused(self, event: session.SendRefused) -> None:
        """Ignore it; the document is requested again on the next session."""

    def _list_peer_sessions(self) -> tuple[str, ...]:
        """Return one session per peer; two entries may dial each other."""
        sessions = {
            hello.incarnation: name for name, hello in self._peers.items()
        }
        return tuple(sessions.values())

    def _request_document(self, name: str) -> None:
        msg = messages.DocumentRequest(
            self._followed.revision, self.ctx.cfg.environment
        )
        self.send(name, session.Send(msg))

    def _offer(self, name: str, with_text: bool) -> None:
        environment = self.ctx.cfg.environment
        offer = conversion.make_document_offer(
            self._followed, environment, with_text
        )
        self.send(name, session.Send(offer))

    @task.handles(session.Received)
    def _on_received(self, event: session.Received) -> None:
        if self._floor is None:
            self.after(FLOOR_RETRY_S, event)
            return
        msg = event.msg
        if isinstance(msg, messages.Control):
            self._apply_sidecar_settings(msg)
            return
        if msg.environment != self.ctx.cfg.environment:
            return
        report = events.RevisionReported(event.session, msg.revision)
        self.send(addresses.PROCESSES, report)
        if isinstance(msg, messages.DocumentRequest):
            self._offer(event.session, self._followed.revision > msg.revision)
            return
        assert isinstance(msg, messages.DocumentOffer)
        self._bootstrap.peer_answered(event.hello.address, msg.revision)
        if msg.text:
            self._apply_offer(msg)
        else:
            self._schedule_fetch(msg.revision)
        self._release_held()
        self._check_ready()

    def _schedule_fetch(self, revision: int) -> None:
        if revision <= max(self._target_revision, self._followed.revision):
            return
        self._target_revision = revision
        self.after(
            FETCH_DELAY_S if self._bootstrap.log_read else 0.0,
            _Fetch(revision),
        )

    @task.handles(_Fetch)
    def _on_fetch(self, msg: _Fetch) -> None:
        if self._followed.revision >= msg.revision:
            return
        for name in self._list_peer_sessions():
            self._request_document(name)
        if msg.revision == self._target_revision:
            self.after(REDELIVERY_INTERVAL_S, msg)

    def _apply_offer(self, msg: messages.DocumentOffer) -> None:
        doc = conversion.read_document_offer(msg)
        if doc is None:
            self.ctx.metrics.count('document_offer_bad')
            return
        if self._held is None or doc.revision > self._held.revision:
            self._held = doc

    def _release_held(self) -> None:
        """Follow the newest document of the peers, once all have answered.

        A process that has just started follows none yet. The peer that it
        sees first may be stale, and its own last incarnation may have
        followed a newer document.
        """
        doc = self._held
        starting = not self._bootstrap.log_read and not self._followed.revision
        if doc is None:
            return
        if starting and self._grace:
            if not self._bootstrap.is_ready(doc.revision):
                return
        self._held = None
        self._adopt(doc, 'peer')

    @task.handles(events.RevisionReported)
    def _on_revision(self, event: events.RevisionReported) -> None:
        if event.session not in self._peers:
            if (
                event.revision > self._bootstrap.highest_of_sidecars
                and not self._bootstrap.log_read
            ):
                # A sidecar has no text; it replies with its settings.
                self._request_document(event.session)
            self._bootstrap.sidecar_reported(event.revision)
        self._schedule_fetch(event.revision)

    def _apply_sidecar_settings(self, msg: messages.Control) -> None:
        """Follow newer settings of a sidecar until the log was read."""
        current = self._settings
        if self._bootstrap.log_read or msg.revision < (self._floor or 0):
            return
        if current is None or msg.revision > current.revision:
            self.ctx.metrics.count('settings_adopted', source='sidecar')
            quotas = current.quotas if current is not None else ()
            self._settings = events.SettingsInForce(
                msg.revision, msg.settings, quotas
            )
            self._deliver()

    @task.handles(query.Query)
    def _on_query(self, req: query.Query) -> None:
        body = req.body
        if isinstance(body, queries.Publish):
            self._start_publication(req, body)
        elif isinstance(body, queries.GetHistory):
            verdicts = tuple(
                item
                for item in self._fold.history
                if item.environment == body.environment
            )
            self._reply(req, queries.History(verdicts))
        elif isinstance(body, queries.GetDocument):
            self._reply(
                req, queries.Document(self._find_document(body.environment))
            )

    def _find_document(
        self, environment: str
    ) -> configuration.DocumentInForce | None:
        name = environment or self.ctx.cfg.environment
        doc = self._fold.in_force.get(name)
        followed = (
            self._followed.doc if name == self.ctx.cfg.environment else None
        )
        candidates = [item for item in (doc, followed) if item is not None]
        return max(candidates, key=lambda item: item.revision, default=None)

    def _reply(self, req: query.Query, value: typing.Any) -> None:
        self.send(req.sender, query.Reply(req.token, value))

    def _start_publication(
        self, req: query.Query, body: queries.Publish
    ) -> None:
        under_way = len(self._publications.pending) + len(self._waiting)
        if under_way >= publishing.MAX_PENDING:
            refused = queries.Refused('too many publications are under way')
            self._reply(req, refused)
            return
        if not self._bootstrap.log_read:
            refused = queries.Refused('the log is not read yet; ask again')
            self._reply(req, refused)
            return
        item = publishing.make_record(body, self._fold)
        if isinstance(item, queries.Refused):
            self._waiting.append(req)
            self.after(READ_DELAY_S, _EndWait(req))
            return
        self._decide_publication(req, item)

    def _retry_waiting(self) -> None:
        """Decide the waiting publications that are no longer refused."""
        for req in list(self._waiting):
            item = publishing.make_record(req.body, self._fold)
            if not isinstance(item, queries.Refused):
                self._waiting.remove(req)
                self._decide_publication(req, item)

    @task.handles(_EndWait)
    def _on_end_wait(self, msg: _EndWait) -> None:
        if msg.req in self._waiting:
            self._waiting.remove(msg.req)
            item = publishing.make_record(msg.req.body, self._fold)
            self._decide_publication(msg.req, item)

    def _decide_publication(
        self, req: query.Query, item: publishing.Decision
    ) -> None:
        """Append the record of a publication, or reply why there is none."""
        if not isinstance(item, records.Tried | records.Promoted):
            self._reply(req, item)
            return
        self._last_token += 1
        token = str(self._last_token)
        append = events.Append(
            token, self.address, records.CONFIG_STREAM, (item,)
        )
        if not self.send(addresses.APPENDER, append):
            self._reply(req, queries.Refused('the log is not available'))
            return
        self._publications.begin(token, req, item)
        self.after(publishing.VERDICT_TIMEOUT_S, _Expire(token))

    @task.handles(events.AppendEnded)
    def _on_append_ended(self, event: events.AppendEnded) -> None:
        if event.token != publishing.RESTATE_TOKEN:
            self._publications.append_ended(
                event.token, event.outcome, self._fold.history
            )

    @task.handles(_Expire)
    def _on_expire(self, msg: _Expire) -> None:
        self._publications.expire(msg.token)

    def _schedule_restatement(self, share: float) -> None:
        self.after(self.ctx.cfg.log_retention_s * share, _Restate())

    @task.handles(_Restate)
    def _on_restate(self, msg: _Restate) -> None:
        retention_s = self.ctx.cfg.log_retention_s
        share = self.ctx.rng.uniform(*publishing.RESTATE_SHARES)
        if self._restated_at is not None:
            delay_s = self._restated_at + retention_s * share - self.now()
            if delay_s > 0:
                self._schedule_restatement(delay_s / retention_s)
                return
        items = self._fold.restate()
        if items and self._bootstrap.log_read:
            self.ctx.metrics.count('document_restated')
            self.send(
                addresses.APPENDER,
                events.Append(
                    publishing.RESTATE_TOKEN,
                    self.address,
                    records.CONFIG_STREAM,
                    items,
                ),
            )
        self._schedule_restatement(publishing.RESTATE_RETRY_SHARE)

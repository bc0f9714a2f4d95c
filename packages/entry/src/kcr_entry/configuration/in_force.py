"""Own the document in force: fold the log, follow peers, tell the tasks.

The fold decides; `held` is what this process follows, and never goes back.
While the log is down the highest document of all peers is followed.
"""

import dataclasses
import itertools
import typing

from kcr_core import configuration
from kcr_core import message_base
from kcr_core import messages
from kcr_core import records
from kcr_entry import addresses
from kcr_entry.configuration import exchange
from kcr_entry.configuration import publishing
from kcr_entry.configuration import questions
from kcr_entry import events
from kcr_runtime import query
from kcr_runtime import task
from kcr_runtime.wire import session

# Delay before a document is fetched from a peer; the log is faster as a rule,
# and the text should not cross the link between regions twice.
FETCH_DELAY_S = 1.0
# Time that the log has for the first read before peers alone can make the
# process ready, in seconds.
GRACE_S = 3.0
# Delay of messages that come before the floor is known, in seconds.
FLOOR_S = 0.05
# Time between two deliveries of the same settings, in seconds; a task that
# was restarted has lost them.
REDELIVER_S = 5.0


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
class _Expire:
    token: str


class InForce(task.Task):
    """Own the fold of the stream `config` and the document that is held."""

    def __init__(self, ctx: task.Context, address: str) -> None:
        super().__init__(ctx, address)
        self._fold = configuration.Fold()
        self._held = configuration.FollowedDocument()
        self._boot = configuration.Bootstrap(
            peer for peer in ctx.cfg.peers if peer != ctx.cfg.listen
        )
        self._settings: events.SettingsInForce | None = None
        self._peers: dict[str, message_base.Hello] = {}
        self._wanted = 0
        self._publications = publishing.Publications(self._answer)
        self._asked = 0
        self._unreadable = ''
        self._ready = False
        self._grace = True
        self._floor: int | None = None
        self._restated_at: float | None = None

    def started(self) -> None:
        """Read the stream from the start and begin to deliver."""
        self.send(addresses.READERS['config'], events.LogReplay())
        floor = query.Query('floor', self.address, questions.GetVersions())
        self.send(addresses.PROCESSES, floor)
        session.query_open_sessions(
            self.ctx, self.address, addresses.ALL_SESSIONS
        )
        self.after(GRACE_S, _EndGrace())
        self.after(REDELIVER_S, _Redeliver())
        self._schedule_restatement(
            self.ctx.rng.uniform(*publishing.RESTATE_SHARES)
        )

    def dump(self) -> dict[str, typing.Any]:
        """Return what is in force, what is held and the assertions."""
        return {
            **super().dump(),
            'revision': self._held.revision,
            'ready': self._ready,
            'position': self._fold.offset,
            'certain': self._fold.is_complete,
            'in_force': {
                name: {'revision': doc.revision, 'digest': doc.digest}
                for name, doc in self._fold.in_force.items()
            },
            'silent_peers': sorted(self._boot.unanswered),
            'highest_of_sidecars': self._boot.highest_of_sidecars,
            'pending': len(self._publications.pending),
            'unreadable': self._unreadable,
            'ignored': dict(self._fold.ignored),
            'checked': dict(self._fold.checked + self._held.checked),
            'violated': dict(self._fold.violated + self._held.violated),
        }

    @task.handles(events.LogGap)
    def _on_gap(self, gap: events.LogGap) -> None:
        self._fold.skip_trimmed(gap.first)

    @task.handles(events.LogRead)
    def _on_read(self, read: events.LogRead) -> None:
        if read.after > self._fold.offset:
            # The reads before were delivered to a task that has failed.
            self.send(addresses.READERS['config'], events.LogReplay())
            return
        for offset, items in itertools.groupby(
            read.items, lambda item: item.offset
        ):
            entry = configuration.LogRecord(
                offset, tuple(i.item for i in items)
            )
            if configuration.read_snapshot(entry.items):
                self._restated_at = self.now()
            for verdict in self._fold.apply(entry):
                self._publications.settle(verdict)
        self._fold.advance(read.position)
        if read.caught_up and self._fold.is_complete:
            self._boot.log_read = True
            doc = self._fold.in_force.get(self.ctx.cfg.environment)
            if doc is not None:
                self._adopt(doc, 'log')
        self._check_ready()

    @task.handles(query.Reply)
    def _on_floor(self, msg: query.Reply) -> None:
        """Note what the process followed before this task was restarted."""
        floor = int(msg.value.revision)
        self._floor = floor
        self._boot.highest_of_peers = max(self._boot.highest_of_peers, floor)

    def _adopt(self, doc: configuration.DocumentInForce, source: str) -> None:
        if self._floor is None or doc.revision < self._floor:
            return
        if not self._held.adopt(doc):
            return
        self.ctx.metrics.count('document_adopted', source=source)
        self.log.info('document in force', revision=doc.revision)
        found = exchange.read_settings(doc, self.ctx.cfg.environment)
        self._unreadable = found if isinstance(found, str) else ''
        if isinstance(found, str):
            self.ctx.metrics.count('document_unreadable')
            self.log.error('document not readable', reason=found)
            return
        if self._settings and self._settings.revision > doc.revision:
            return  # A sidecar has given newer ones.
        self._settings = found
        self._deliver()
        for name in self._one_session_each():
            self._offer(name, with_text=False)

    def _deliver(self) -> None:
        if self._settings is None:
            return
        for follower in addresses.FOLLOWERS:
            self.send(follower, self._settings)

    @task.handles(_Redeliver)
    def _on_redeliver(self, msg: _Redeliver) -> None:
        self._deliver()
        self.after(REDELIVER_S, _Redeliver())

    @task.handles(questions.AskReady)
    def _on_ask_ready(self, msg: questions.AskReady) -> None:
        self.send(addresses.HTTP, questions.ReadyChanged(self._ready))

    @task.handles(_EndGrace)
    def _on_end_grace(self, msg: _EndGrace) -> None:
        self._grace = False
        if self._floor is None:
            self._floor = 0
        self._check_ready()

    def _check_ready(self) -> None:
        alone = not self._boot.unanswered and not self._peers
        if self._grace and alone and not self._boot.log_read:
            return
        ready = self._boot.is_ready(self._held.revision)
        if ready != self._ready:
            self._ready = ready
            self.log.info('readiness changed', ready=ready)
            self.send(addresses.HTTP, questions.ReadyChanged(ready))

    @task.handles(session.Opened)
    def _on_opened(self, event: session.Opened) -> None:
        hello = event.hello
        if hello.role != 'entry' or hello.incarnation == self.ctx.incarnation:
            return
        self._peers[event.session] = hello
        self._request(event.session)

    @task.handles(session.Closed)
    def _on_closed(self, event: session.Closed) -> None:
        self._peers.pop(event.session, None)

    @task.handles(session.DialFailed)
    def _on_dial_failed(self, event: session.DialFailed) -> None:
        if event.refused:
            self._boot.peer_unreachable(event.target)
            self._check_ready()

    @task.handles(session.SendRefused)
    def _on_send_refused(self, event: session.SendRefused) -> None:
        """Ignore it; a session that opens again asks again."""

    def _one_session_each(self) -> tuple[str, ...]:
        """Return one session per peer; two entries may dial each other."""
        found = {
            hello.incarnation: name for name, hello in self._peers.items()
        }
        return tuple(found.values())

    def _request(self, name: str) -> None:
        msg = messages.DocumentRequest(
            self._held.revision, self.ctx.cfg.environment
        )
        self.send(name, session.Send(msg))

    def _offer(self, name: str, with_text: bool) -> None:
        environment = self.ctx.cfg.environment
        offer = exchange.make_offer(self._held, environment, with_text)
        self.send(name, session.Send(offer))

    @task.handles(session.Received)
    def _on_received(self, event: session.Received) -> None:
        if self._floor is None:
            self.after(FLOOR_S, event)
            return
        msg = event.msg
        if isinstance(msg, messages.Control):
            self._take_settings(msg)
            return
        if msg.environment != self.ctx.cfg.environment:
            return
        seen = events.RevisionSeen(event.session, msg.revision)
        self.send(addresses.PROCESSES, seen)
        if isinstance(msg, messages.DocumentRequest):
            self._offer(event.session, self._held.revision > msg.revision)
            return
        assert isinstance(msg, messages.DocumentOffer)
        if msg.text:
            self._take_offer(msg)
        else:
            self._want(msg.revision)
        self._boot.peer_answered(event.hello.address, msg.revision)
        self._check_ready()

    def _want(self, revision: int) -> None:
        if revision <= max(self._wanted, self._held.revision):
            return
        self._wanted = revision
        self.after(
            FETCH_DELAY_S if self._boot.log_read else 0.0, _Fetch(revision)
        )

    @task.handles(_Fetch)
    def _on_fetch(self, msg: _Fetch) -> None:
        if self._held.revision >= msg.revision:
            return
        for name in self._one_session_each():
            self._request(name)
        if msg.revision == self._wanted:
            self.after(REDELIVER_S, msg)

    def _take_offer(self, msg: messages.DocumentOffer) -> None:
        doc = exchange.read_offer(msg)
        if doc is None:
            self.ctx.metrics.count('document_offer_bad')
            return
        self._adopt(doc, 'peer')

    @task.handles(events.RevisionSeen)
    def _on_revision(self, event: events.RevisionSeen) -> None:
        if event.session not in self._peers:
            if (
                event.revision > self._boot.highest_of_sidecars
                and not self._boot.log_read
            ):
                # A sidecar has no text, but the settings of its revision.
                self._request(event.session)
            self._boot.sidecar_reported(event.revision)
        self._want(event.revision)

    def _take_settings(self, msg: messages.Control) -> None:
        """Follow the settings of a sidecar while the log is not read."""
        held = self._settings
        if self._boot.log_read or msg.revision < (self._floor or 0):
            return
        if held is None or msg.revision > held.revision:
            self.ctx.metrics.count('settings_adopted', source='sidecar')
            quotas = held.quotas if held is not None else ()
            self._settings = events.SettingsInForce(
                msg.revision, msg.settings, quotas
            )
            self._deliver()

    @task.handles(query.Query)
    def _on_ask(self, req: query.Query) -> None:
        body = req.body
        if isinstance(body, questions.Publish):
            self._publish(req, body)
        elif isinstance(body, questions.GetHistory):
            verdicts = tuple(
                item
                for item in self._fold.history
                if item.environment == body.environment
            )
            self._answer(req, questions.History(verdicts))
        elif isinstance(body, questions.GetDocument):
            self._answer(req, questions.Document(self._find(body.environment)))

    def _find(self, environment: str) -> configuration.DocumentInForce | None:
        name = environment or self.ctx.cfg.environment
        doc = self._fold.in_force.get(name)
        held = self._held.doc if name == self.ctx.cfg.environment else None
        found = [item for item in (doc, held) if item is not None]
        return max(found, key=lambda item: item.revision, default=None)

    def _answer(self, req: query.Query, value: typing.Any) -> None:
        self.send(req.sender, query.Reply(req.token, value))

    def _publish(self, req: query.Query, body: questions.Publish) -> None:
        if len(self._publications.pending) >= publishing.PENDING_LIMIT:
            refused = questions.Refused('too many publications are under way')
            self._answer(req, refused)
            return
        if not self._boot.log_read:
            refused = questions.Refused('the log is not read yet; ask again')
            self._answer(req, refused)
            return
        item = publishing.make_record(body, self._fold)
        if not isinstance(item, records.Tried | records.Promoted):
            self._answer(req, item)
            return
        self._asked += 1
        token = str(self._asked)
        append = events.Append(
            token, self.address, records.CONFIG_STREAM, (item,)
        )
        if not self.send(addresses.APPENDER, append):
            self._answer(req, questions.Refused('the log is not available'))
            return
        self._publications.begin(token, req, item)
        self.after(publishing.VERDICT_LIMIT_S, _Expire(token))

    @task.handles(events.AppendEnded)
    def _on_append_ended(self, event: events.AppendEnded) -> None:
        if event.token != publishing.RESTATE:
            self._publications.appended(
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
            left = self._restated_at + retention_s * share - self.now()
            if left > 0:
                self._schedule_restatement(left / retention_s)
                return
        items = self._fold.restate()
        if items and self._boot.log_read:
            self.ctx.metrics.count('document_restated')
            self.send(
                addresses.APPENDER,
                events.Append(
                    publishing.RESTATE,
                    self.address,
                    records.CONFIG_STREAM,
                    items,
                ),
            )
        self._schedule_restatement(publishing.RESTATE_AGAIN_SHARE)

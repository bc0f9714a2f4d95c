"""Own the claims on non-idempotent requests.

The task folds the claim stream of the region, writes this entry's claims and
releases, and tells the owner of the requests which of them may be sent.
"""

from collections import abc
import dataclasses
import time
import typing

from kcr_core import claimant
from kcr_core import claims
from kcr_core import messages
from kcr_core import outcomes
from kcr_core import records
from kcr_entry import addresses
from kcr_entry import events
from kcr_runtime import task
from kcr_runtime.wire import session

# How often releases are repeated and old claims are dropped, in seconds.
TICK_S = 1.0
# Releases repeated in one tick; together they fit into one record.
RELEASES_PER_TICK = 500
# Time that a loser waits for a release of the winner when it has no session
# to the winner, in seconds. A winner that gave up releases within this time
# unless the log is slow.
RELEASE_WAIT_S = 0.5
# Delay before an answer that was not accepted is sent again, in seconds.
RESEND_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Ask for the right to send a request."""

    # Name of the question, never used again.
    question: str
    # Key of the request.
    request: str
    # Digest of its content.
    digest: str
    # Unix time at which the caller issued it, in ms.
    issued_at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """Give up a question; it is answered at once and never won after."""

    # Name of the question.
    question: str


@dataclasses.dataclass(frozen=True, slots=True)
class Settle:
    """Report what became of a claim that was won."""

    # Name of the question.
    question: str
    # Whether the request may have run; otherwise the claim is released.
    sent: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """Answer a question."""

    # Name of the question.
    question: str
    # The decision, or the answer that the winner reported.
    result: claimant.Decision | outcomes.Done


@dataclasses.dataclass(frozen=True, slots=True)
class _Tick:
    pass


@dataclasses.dataclass(frozen=True, slots=True)
class _Patience:
    question: str


class Claims(task.Task):
    """Own the table of claims and this entry's part in it."""

    def __init__(
        self,
        ctx: task.Context,
        address: str,
        wall: abc.Callable[[], float] = time.time,
    ) -> None:
        super().__init__(ctx, address)
        # Clock of Unix time, to compare with the callers' time of issue.
        self.wall = wall
        self._stream = records.CLAIMS_STREAM
        life = f'{ctx.incarnation}:{ctx.rng.getrandbits(48):012x}'
        self._table = claims.Table()
        self._claimant = claimant.Claimant(ctx.incarnation, life, self._table)
        self._position = 0
        self._released: set[str] = set()
        # Incarnation of the entry behind each session; two entries may have
        # two sessions, because both sides dial.
        self._peers: dict[str, str] = {}
        # Session that was asked for the outcome of each lost claim.
        self._queries: dict[str, str] = {}

    def started(self) -> None:
        """Ask for the stream from its start."""
        self.send(addresses.READERS['claims'], events.LogReplay())
        session.query_open_sessions(
            self.ctx, self.address, addresses.ALL_SESSIONS
        )
        self.after(TICK_S, _Tick())

    def dump(self) -> dict[str, typing.Any]:
        """Return the size of the table and the open claims."""
        return {
            **super().dump(),
            'position': self._position,
            'requests': len(self._table),
            'own': len(self._claimant),
            'releasing': len(self._claimant.releasing()),
            'won': self._claimant.won,
            'floor_ms': self._table.floor_ms,
            'peers': len(self._peers),
        }

    def now_ms(self) -> int:
        """Return the Unix time in ms."""
        return int(self.wall() * 1000)

    @task.handles(events.SettingsInForce)
    def _on_settings(self, event: events.SettingsInForce) -> None:
        self._claimant.limits = claims.Limits(
            int(event.settings.dedupe_s * 1000),
            int(event.settings.allowance_s * 1000),
        )

    @task.handles(Claim)
    def _on_claim(self, req: Claim) -> None:
        self._perform(
            self._claimant.begin(
                req.question,
                req.request,
                req.digest,
                req.issued_at_ms,
                self.now_ms(),
            )
        )

    @task.handles(Cancel)
    def _on_cancel(self, msg: Cancel) -> None:
        self._perform(self._claimant.cancel(msg.question))

    @task.handles(Settle)
    def _on_settle(self, msg: Settle) -> None:
        self._perform(self._claimant.finalize(msg.question, msg.sent))

    @task.handles(events.AppendEnded)
    def _on_append_ended(self, event: events.AppendEnded) -> None:
        kind, _, token = event.token.partition('/')
        if kind == 'release':
            # The next tick repeats it unless it was read back by then.
            self._released.discard(token)
            return
        self._perform(self._claimant.append_ended(token, event.outcome))

    @task.handles(events.LogRead)
    def _on_log_read(self, event: events.LogRead) -> None:
        if event.after > self._position:
            # Items were delivered before this task was started.
            self.send(addresses.READERS['claims'], events.LogReplay())
            return
        now_ms = self.now_ms()
        for read in event.items:
            if read.offset > self._position:
                self._perform(self._claimant.apply(read.item, now_ms))
        self._position = max(self._position, event.position)

    @task.handles(events.LogGap)
    def _on_log_gap(self, event: events.LogGap) -> None:
        if event.first <= self._position + 1:
            return
        self._position = event.first - 1
        kept_ms = int(self.ctx.cfg.log_retention_s * 1000)
        limits = self._claimant.limits
        self._table.record_gap(self.now_ms() - kept_ms, limits)

    @task.handles(_Tick)
    def _on_tick(self, msg: _Tick) -> None:
        self._claimant.drop_expired(self.now_ms())
        waiting = [
            token
            for token in self._claimant.releasing()
            if token not in self._released
        ]
        for token in waiting[:RELEASES_PER_TICK]:
            self._perform(self._claimant.release_again(token))
        self.after(TICK_S, _Tick())

    @task.handles(_Patience)
    def _on_patience(self, msg: _Patience) -> None:
        if msg.question not in self._queries:
            self._perform(self._claimant.stop_waiting(msg.question))

    @task.handles(Ended)
    def _on_undelivered(self, msg: Ended) -> None:
        self._deliver(msg)

    @task.handles(session.Opened)
    def _on_opened(self, event: session.Opened) -> None:
        if event.hello.role == 'entry':
            self._peers[event.session] = event.hello.incarnation

    @task.handles(session.Closed)
    def _on_closed(self, event: session.Closed) -> None:
        self._peers.pop(event.session, None)
        self._stop_queries(event.session)

    @task.handles(session.SendRefused)
    def _on_send_refused(self, event: session.SendRefused) -> None:
        if isinstance(event.msg, messages.OutcomeQuery):
            self._stop_queries(event.session)

    @task.handles(session.DialFailed)
    def _on_dial_failed(self, event: session.DialFailed) -> None:
        """Ignore it; a session that was never open was asked nothing."""

    @task.handles(session.Received)
    def _on_received(self, event: session.Received) -> None:
        if isinstance(event.msg, messages.OutcomeQuery):
            self._on_query(event)
        elif isinstance(event.msg, messages.OutcomeReply):
            self._on_reply(event.msg)

    def _on_query(self, event: session.Received) -> None:
        state: typing.Literal['not_run', 'unknown'] = 'unknown'
        if self._claimant.is_given_up(event.msg.request):
            state = 'not_run'
        elif self.send(addresses.REQUESTS, event):
            return
        reply = messages.OutcomeReply(event.msg.token, state)
        self.send(event.session, session.Send(reply))

    def _on_reply(self, reply: messages.OutcomeReply) -> None:
        if self._queries.pop(reply.token, None) is None:
            return
        if reply.state == 'not_run':
            return  # The release will be read; the deadline bounds the wait.
        steps = self._claimant.stop_waiting(reply.token)
        if steps and reply.state == 'done':
            done = outcomes.Done(reply.status, reply.body)
            self._deliver(Ended(reply.token, done))
            return
        self._perform(steps)

    def _stop_queries(self, name: str) -> None:
        for question, asked in list(self._queries.items()):
            if asked == name:
                del self._queries[question]
                self.after(RELEASE_WAIT_S, _Patience(question))

    def _perform(self, steps: list[claimant.Step]) -> None:
        for step in steps:
            if isinstance(step, claimant.Write):
                self._write(step)
            elif isinstance(step, claimant.Contended):
                self._ask_winner(step)
            else:
                self._queries.pop(step.query, None)
                self._deliver(Ended(step.query, step.decision))

    def _write(self, step: claimant.Write) -> None:
        kind = 'claim'
        if isinstance(step.item, records.Released):
            kind = 'release'
            self._released.add(step.token)
        token = f'{kind}/{step.token}'
        ask = events.Append(token, self.address, self._stream, (step.item,))
        self.ctx.metrics.count('claim_write', kind=kind)
        if not self.send(addresses.APPENDER, ask):
            refused = outcomes.NotAppended('appender is not ready')
            self._on_append_ended(events.AppendEnded(token, refused))

    def _ask_winner(self, step: claimant.Contended) -> None:
        query = messages.OutcomeQuery(step.request, step.query)
        for name, incarnation in self._peers.items():
            if incarnation != step.entry:
                continue
            if self.send(name, session.Send(query)):
                self._queries[step.query] = name
                return
        if step.entry != self.ctx.incarnation:
            self.after(RELEASE_WAIT_S, _Patience(step.query))

    def _deliver(self, ended: Ended) -> None:
        label = type(ended.result).__name__
        if self.send(addresses.REQUESTS, ended):
            self.ctx.metrics.count('claim_ended', outcome=label)
        elif isinstance(ended.result, claimant.Won):
            self._perform(self._claimant.finalize(ended.question, sent=False))
        else:
            self.after(RESEND_S, ended)

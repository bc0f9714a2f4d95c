"""Run the task that owns this entry's claims on non-idempotent requests.

The task `work/requests` sends it the requests that need a claim, and the
claims that were cancelled or can be finalized. The decisions are made by
`kcr_core.claimant` from the claim stream of the region; this task passes it
the records that were read, appends claims and releases, queries the entry
that holds a contended claim, and replies which requests may be sent.
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

# Interval at which releases are repeated and old claims dropped, in seconds.
TICK_INTERVAL_S = 1.0
# Maximum number of releases repeated in one tick; they fit into one record.
MAX_RELEASES_PER_TICK = 500
# Time to wait for a release by the entry that holds a contended claim if there
# is no session to it, in seconds. An entry that gave up its claim releases it
# within this time unless the log is slow.
RELEASE_TIMEOUT_S = 0.5
# Delay before a result that was not accepted is sent again, in seconds.
RESEND_DELAY_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Query for the right to send a request."""

    # Name of the query; each is used once.
    query: str
    # Key of the request.
    request: str
    # Digest of its content.
    digest: str
    # Unix time at which the caller issued the request, in ms.
    issued_at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class CancelClaim:
    """Request that a query is cancelled.

    It is decided at once; the claim cannot be won any more.
    """

    # Name of the query.
    query: str


@dataclasses.dataclass(frozen=True, slots=True)
class FinalizeClaim:
    """Request that a claim that was won is finalized."""

    # Name of the query.
    query: str
    # Whether the request may have run; otherwise the claim is released.
    sent: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimEnded:
    """Report the result of a query."""

    # Name of the query.
    query: str
    # The decision, or the outcome reported by the holder of the claim.
    result: claimant.Decision | outcomes.Done


@dataclasses.dataclass(frozen=True, slots=True)
class _Tick:
    pass


@dataclasses.dataclass(frozen=True, slots=True)
class _ReleaseTimeout:
    query: str


class Claims(task.Task):
    """Own the table of claims and the claims of this entry."""

    def __init__(
        self,
        ctx: task.Context,
        address: str,
        unix_time: abc.Callable[[], float] = time.time,
    ) -> None:
        super().__init__(ctx, address)
        # Unix clock; requests carry the Unix time of their issue.
        self.unix_time = unix_time
        self._stream = records.CLAIMS_STREAM
        token_prefix = f'{ctx.incarnation}:{ctx.rng.getrandbits(48):012x}'
        self._table = claims.Table()
        self._claimant = claimant.Claimant(
            ctx.incarnation, token_prefix, self._table
        )
        self._position = 0
        self._releases_in_flight: set[str] = set()
        # Incarnation of the entry at the other end of each session. There may
        # be two sessions with one entry, because both sides dial.
        self._peer_sessions: dict[str, str] = {}
        # Session to which the outcome of a contended request was queried, by
        # the query for the claim.
        self._outcome_queries: dict[str, str] = {}

    def started(self) -> None:
        """Request a replay of the stream and the open sessions."""
        self.send(addresses.READERS['claims'], events.LogReplay())
        session.query_open_sessions(
            self.ctx, self.address, addresses.ALL_SESSIONS
        )
        self.after(TICK_INTERVAL_S, _Tick())

    def dump(self) -> dict[str, typing.Any]:
        """Return the size of the table, the open claims and the sessions."""
        return {
            **super().dump(),
            'position': self._position,
            'requests': len(self._table),
            'own': len(self._claimant),
            'releasing': len(self._claimant.releasing()),
            'won': self._claimant.won,
            'floor_ms': self._table.floor_ms,
            'peers': len(self._peer_sessions),
        }

    def now_ms(self) -> int:
        """Return the Unix time in ms."""
        return int(self.unix_time() * 1000)

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
                req.query,
                req.request,
                req.digest,
                req.issued_at_ms,
                self.now_ms(),
            )
        )

    @task.handles(CancelClaim)
    def _on_cancel(self, msg: CancelClaim) -> None:
        self._perform(self._claimant.cancel(msg.query))

    @task.handles(FinalizeClaim)
    def _on_finalize(self, msg: FinalizeClaim) -> None:
        self._perform(self._claimant.finalize(msg.query, msg.sent))

    @task.handles(events.AppendEnded)
    def _on_append_ended(self, event: events.AppendEnded) -> None:
        kind, _, token = event.token.partition('/')
        if kind == 'release':
            # The next tick repeats the release unless it was read back.
            self._releases_in_flight.discard(token)
            return
        self._perform(self._claimant.append_ended(token, event.outcome))

    @task.handles(events.LogRead)
    def _on_log_read(self, event: events.LogRead) -> None:
        if event.after > self._position:
            # Earlier items were delivered before this task was started.
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
        retention_ms = int(self.ctx.cfg.log_retention_s * 1000)
        limits = self._claimant.limits
        self._table.record_gap(self.now_ms() - retention_ms, limits)

    @task.handles(_Tick)
    def _on_tick(self, msg: _Tick) -> None:
        self._claimant.drop_expired(self.now_ms())
        tokens = [
            token
            for token in self._claimant.releasing()
            if token not in self._releases_in_flight
        ]
        for token in tokens[:MAX_RELEASES_PER_TICK]:
            self._perform(self._claimant.release_again(token))
        self.after(TICK_INTERVAL_S, _Tick())

    @task.handles(_ReleaseTimeout)
    def _on_release_timeout(self, msg: _ReleaseTimeout) -> None:
        if msg.query not in self._outcome_queries:
            self._perform(self._claimant.stop_waiting(msg.query))

    @task.handles(ClaimEnded)
    def _on_delivery_retry(self, msg: ClaimEnded) -> None:
        self._deliver(msg)

    @task.handles(session.Opened)
    def _on_opened(self, event: session.Opened) -> None:
        if event.hello.role == 'entry':
            self._peer_sessions[event.session] = event.hello.incarnation

    @task.handles(session.Closed)
    def _on_closed(self, event: session.Closed) -> None:
        self._peer_sessions.pop(event.session, None)
        self._end_session_queries(event.session)

    @task.handles(session.SendRefused)
    def _on_send_refused(self, event: session.SendRefused) -> None:
        if isinstance(event.msg, messages.OutcomeQuery):
            self._end_session_queries(event.session)

    @task.handles(session.DialFailed)
    def _on_dial_failed(self, event: session.DialFailed) -> None:
        """Ignore it; no query is sent to a session that was never open."""

    @task.handles(session.Received)
    def _on_received(self, event: session.Received) -> None:
        if isinstance(event.msg, messages.OutcomeQuery):
            self._on_outcome_query(event)
        elif isinstance(event.msg, messages.OutcomeReply):
            self._on_outcome_reply(event.msg)

    def _on_outcome_query(self, event: session.Received) -> None:
        state: typing.Literal['not_run', 'unknown'] = 'unknown'
        if self._claimant.is_given_up(event.msg.request):
            state = 'not_run'
        elif self.send(addresses.REQUESTS, event):
            return
        reply = messages.OutcomeReply(event.msg.token, state)
        self.send(event.session, session.Send(reply))

    def _on_outcome_reply(self, reply: messages.OutcomeReply) -> None:
        if self._outcome_queries.pop(reply.token, None) is None:
            return
        if reply.state == 'not_run':
            # The release will be read; the deadline bounds the wait.
            return
        steps = self._claimant.stop_waiting(reply.token)
        if steps and reply.state == 'done':
            done = outcomes.Done(reply.status, reply.body)
            self._deliver(ClaimEnded(reply.token, done))
            return
        self._perform(steps)

    def _end_session_queries(self, address: str) -> None:
        for query, queried_address in list(self._outcome_queries.items()):
            if queried_address == address:
                del self._outcome_queries[query]
                self.after(RELEASE_TIMEOUT_S, _ReleaseTimeout(query))

    def _perform(self, steps: list[claimant.Step]) -> None:
        for step in steps:
            if isinstance(step, claimant.Write):
                self._write(step)
            elif isinstance(step, claimant.Contended):
                self._query_winner(step)
            else:
                self._outcome_queries.pop(step.query, None)
                self._deliver(ClaimEnded(step.query, step.decision))

    def _write(self, step: claimant.Write) -> None:
        kind = 'claim'
        if isinstance(step.item, records.Released):
            kind = 'release'
            self._releases_in_flight.add(step.token)
        token = f'{kind}/{step.token}'
        req = events.Append(token, self.address, self._stream, (step.item,))
        self.ctx.metrics.count('claim_write', kind=kind)
        if not self.send(addresses.APPENDER, req):
            refused = outcomes.NotAppended('appender is not ready')
            self._on_append_ended(events.AppendEnded(token, refused))

    def _query_winner(self, step: claimant.Contended) -> None:
        query = messages.OutcomeQuery(step.request, step.query)
        for address, incarnation in self._peer_sessions.items():
            if incarnation != step.entry:
                continue
            if self.send(address, session.Send(query)):
                self._outcome_queries[step.query] = address
                return
        if step.entry != self.ctx.incarnation:
            self.after(RELEASE_TIMEOUT_S, _ReleaseTimeout(step.query))

    def _deliver(self, ended: ClaimEnded) -> None:
        label = type(ended.result).__name__
        if self.send(addresses.REQUESTS, ended):
            self.ctx.metrics.count('claim_ended', outcome=label)
        elif isinstance(ended.result, claimant.Won):
            self._perform(self._claimant.finalize(ended.query, sent=False))
        else:
            self.after(RESEND_DELAY_S, ended)

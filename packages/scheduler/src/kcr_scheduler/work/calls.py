"""Forward the calls of the front end to the owner of the jobs.

The mesh task reports the route to the owner, which may be in this process. A
call is idempotent by the id of its job, so one that was sent to an owner that
failed is sent again to the next owner.
"""

import collections
import dataclasses
import typing

from kcr_jobs import messages
from kcr_jobs import types
from kcr_runtime import query
from kcr_runtime import task
from kcr_runtime.wire import session
from kcr_scheduler import addresses
from kcr_scheduler import events

# Time that a call waits for an owner before it is refused, in seconds; it is
# better for the caller to retry than to wait until an election has ended.
NO_OWNER_TIMEOUT_S = 0.15
# Retry-After without an owner, in milliseconds; an election takes about that
# long.
NO_OWNER_RETRY_AFTER_MS = 1000
# Time between scans of the waiting calls, in seconds.
SCAN_INTERVAL_S = 0.05
# Time without a reply before a call is sent again, in seconds.
RESEND_AFTER_S = 1.0
# Time for which a submission without a reply is remembered, in seconds;
# callers retry within some seconds.
UNRESOLVED_S = 60.0
# Maximum number of submissions that are remembered.
MAX_UNRESOLVED = 20_000
# Maximum number of calls that may wait for a reply.
MAX_CALLS = 5000


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """Request an action of the owner for a caller."""

    # Kind of request, as in messages.JobCall.
    verb: str
    # Queue of the request.
    queue: str
    # Job of the request.
    job_id: str
    # The job to submit; none for other verbs.
    spec: types.JobSpec | None
    # Timeout of the caller, in seconds.
    timeout_s: float


@dataclasses.dataclass(slots=True)
class _Pending:
    caller_query: query.Query
    msg: messages.JobCall
    received_at: float
    deadline: float
    # Route over which it was last sent; empty before that.
    route: str = ''
    sent_at: float = 0.0


class _Scan:
    pass


class Calls(task.Task):
    """Own the calls that wait for a reply of the owner."""

    def __init__(self, ctx: task.Context, address: str) -> None:
        super().__init__(ctx, address)
        # Address of the session task that leads to the owner, or of the owner
        # task of this process; empty for none.
        self._route = ''
        # Calls without a reply, by token.
        self._pending: dict[str, _Pending] = {}
        # Time of the last submission of each job whose outcome is not known,
        # by the id of the job; the oldest first.
        self._unresolved: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._count = 0
        self._token_prefix = f'{ctx.rng.getrandbits(32):08x}'

    def started(self) -> None:
        """Start the scans of the calls."""
        self.after(SCAN_INTERVAL_S, _Scan())

    def dump(self) -> dict[str, typing.Any]:
        """Return the number of waiting calls."""
        return {**super().dump(), 'pending': len(self._pending)}

    @task.handles(query.Query)
    def _on_query(self, msg: query.Query) -> None:
        call: Call = msg.body
        now = self.now()
        if len(self._pending) >= MAX_CALLS:
            self._reply(
                msg, 'refused', 'too many calls', NO_OWNER_RETRY_AFTER_MS
            )
            return
        self._count += 1
        token = f'{self._token_prefix}:{self._count}'
        sent = messages.JobCall(
            token, call.verb, call.queue, call.job_id, call.spec
        )
        pending = _Pending(msg, sent, now, now + call.timeout_s)
        self._pending[token] = pending
        self._send(pending)

    def _send(self, pending: _Pending) -> None:
        if not self._route:
            return
        pending.route, pending.sent_at = self._route, self.now()
        if pending.msg.verb == 'submit':
            self._record_unresolved(pending.msg.job_id)
        if self._route == addresses.OWNER:
            self.send(self._route, events.LocalCall(pending.msg))
        else:
            self.send(self._route, session.Send(pending.msg))

    def _record_unresolved(self, job_id: str) -> None:
        self._unresolved[job_id] = self.now()
        self._unresolved.move_to_end(job_id)
        while len(self._unresolved) > MAX_UNRESOLVED:
            self._unresolved.popitem(last=False)

    def _is_unresolved(self, job_id: str) -> bool:
        """Return whether an earlier submission may have been accepted."""
        sent_at = self._unresolved.get(job_id)
        return sent_at is not None and self.now() - sent_at < UNRESOLVED_S

    def _refuse(
        self, pending: _Pending, detail: str, number: int, resolved: bool
    ) -> None:
        """Refuse a call, unless its job may have been accepted before.

        A refusal tells that the job never runs. `resolved` is whether the
        owner has refused it, which has looked for the job.
        """
        msg = pending.msg
        if resolved:
            self._unresolved.pop(msg.job_id, None)
        elif msg.verb == 'submit' and self._is_unresolved(msg.job_id):
            self.log.warning('earlier submission unanswered', job=msg.job_id)
            self._reply(pending.caller_query, 'unknown', detail)
            return
        self._reply(pending.caller_query, 'refused', detail, number)

    def _reply(
        self,
        caller_query: query.Query,
        outcome: str,
        detail: str,
        number: int = 0,
    ) -> None:
        reply = messages.JobReply(caller_query.token, outcome, detail, number)
        self.send(caller_query.sender, query.Reply(caller_query.token, reply))

    @task.handles(messages.JobReply)
    def _on_local_reply(self, msg: messages.JobReply) -> None:
        self._handle_reply(msg)

    @task.handles(session.Received)
    def _on_received(self, event: session.Received) -> None:
        self._handle_reply(event.msg)

    def _handle_reply(self, msg: messages.JobReply) -> None:
        if msg.outcome == 'not_owner':
            # The call is sent again once the owner is known.
            return
        pending = self._pending.pop(msg.token, None)
        if pending is None:
            return
        took_ms = (self.now() - pending.received_at) * 1000.0
        self.ctx.metrics.record_ms('call', took_ms, verb=pending.msg.verb)
        if msg.outcome == 'refused':
            self._refuse(pending, msg.detail, msg.number, True)
            return
        if msg.outcome == 'accepted':
            self._unresolved.pop(pending.msg.job_id, None)
        self._reply(pending.caller_query, msg.outcome, msg.detail, msg.number)

    @task.handles(events.OwnerRouteChanged)
    def _on_owner(self, event: events.OwnerRouteChanged) -> None:
        self._route = event.route
        if event.route:
            for pending in self._pending.values():
                if pending.route != event.route:
                    self._send(pending)

    @task.handles(session.Opened)
    def _on_opened(self, event: session.Opened) -> None:
        """Ignore it; the mesh reports the route to the owner."""

    @task.handles(session.Closed)
    def _on_closed(self, event: session.Closed) -> None:
        if event.session == self._route:
            self._route = ''

    @task.handles(session.DialFailed)
    def _on_dial_failed(self, event: session.DialFailed) -> None:
        """Ignore it; the mesh handles the connections to peers."""

    @task.handles(session.SendRefused)
    def _on_send_refused(self, event: session.SendRefused) -> None:
        """Ignore it; the call is sent again or expires."""

    @task.handles(_Scan)
    def _on_scan(self, msg: _Scan) -> None:
        now = self.now()
        for token, pending in list(self._pending.items()):
            self._check(token, pending, now)
        self.after(SCAN_INTERVAL_S, _Scan())

    def _check(self, token: str, pending: _Pending, now: float) -> None:
        if not pending.route:
            if now - pending.received_at >= NO_OWNER_TIMEOUT_S:
                del self._pending[token]
                self.log.info(
                    'call refused', verb=pending.msg.verb,
                    job=pending.msg.job_id, reason='no owner',
                )  # fmt: skip
                self._refuse(
                    pending, 'no owner', NO_OWNER_RETRY_AFTER_MS, False
                )
            return
        if now >= pending.deadline:
            del self._pending[token]
            self.log.warning(
                'call unanswered', verb=pending.msg.verb,
                job=pending.msg.job_id, route=pending.route,
            )  # fmt: skip
            self._reply(pending.caller_query, 'unknown', 'owner is silent')
            return
        if self._route and now - pending.sent_at >= RESEND_AFTER_S:
            self._send(pending)

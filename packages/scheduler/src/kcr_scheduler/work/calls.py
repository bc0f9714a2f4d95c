"""Forward the calls of the front end to the owner of the jobs.

The mesh task reports the route to the owner, which may be in this process. A
call is idempotent by the id of its job, so one that was sent to an owner that
failed is sent again to the next owner. Whether a submission may be refused is
decided in kcr_jobs.submissions. A cancel outlives its call until the owner has
confirmed it (kcr_jobs.unconfirmed_cancels).
"""

import dataclasses
import typing

from kcr_core import retry_budget
from kcr_jobs import admission
from kcr_jobs import messages
from kcr_jobs import submissions
from kcr_jobs import types
from kcr_jobs import unconfirmed_cancels
from kcr_runtime import query
from kcr_runtime import task
from kcr_runtime.wire import session
from kcr_scheduler import addresses
from kcr_scheduler import events

# Time that a call waits for an owner before it is refused, in seconds; it is
# better for the caller to retry than to wait until an election has ended.
NO_OWNER_TIMEOUT_S = 0.15
# Shortest Retry-After without an owner, in milliseconds; an election takes
# about that long.
NO_OWNER_RETRY_AFTER_MS = 1000
# Time between scans of the waiting calls, in seconds.
SCAN_INTERVAL_S = 0.05
# Time without a reply before a call is sent again, in seconds.
RESEND_AFTER_S = 1.0
# Copies to the same owner for each call. An owner that is late would get
# several copies of each, and stay late.
RESEND_SHARE = 0.1
# Maximum number of calls that may wait for a reply.
MAX_CALLS = 5000
# Begins the token of a cancel that is sent without its caller; the id of the
# job, a slash and the base URL of the call follow.
CANCEL_TOKEN_PREFIX = 'cancel/'


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
    # Base URL of a cancel without a route, as in messages.JobCall.
    base_url: str = ''


@dataclasses.dataclass(slots=True)
class _Pending:
    caller_query: query.Query
    msg: messages.JobCall
    received_at: float
    deadline: float
    # Route over which it was last sent; empty before that.
    route: str = ''
    sent_at: float = 0.0
    # Whether the process to which it was last sent was not the owner.
    returned: bool = False
    # Tokens of the messages sent; each has its own.
    tokens: set[str] = dataclasses.field(default_factory=set)


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
        # What was sent of each submission.
        self._submissions = submissions.Submissions()
        # Cancels whose callers were not told that they are carried out.
        self._cancels = unconfirmed_cancels.UnconfirmedCancels()
        # Their number that was last reported.
        self._reported_kept = 0
        # Time of the last reply of an owner.
        self._replied_at = 0.0
        # Limits the copies to an owner that does not reply.
        self._budget = retry_budget.RetryBudget(RESEND_SHARE)
        self._count = 0
        self._token_prefix = f'{ctx.rng.getrandbits(32):08x}'

    def started(self) -> None:
        """Start the scans of the calls."""
        self.after(SCAN_INTERVAL_S, _Scan())

    def dump(self) -> dict[str, typing.Any]:
        """Return the number of waiting calls."""
        return {
            **super().dump(),
            'pending': len(self._pending),
            'unconfirmed_cancels': len(self._cancels),
        }

    @task.handles(query.Query)
    def _on_query(self, msg: query.Query) -> None:
        call: Call = msg.body
        now = self.now()
        self._count += 1
        token = f'{self._token_prefix}:{self._count}'
        sent = messages.JobCall(
            token, call.verb, call.queue, call.job_id, call.spec,
            call.base_url,
        )  # fmt: skip
        pending = _Pending(msg, sent, now, now + call.timeout_s)
        if len(self._pending) >= MAX_CALLS:
            self._refuse_for_now(pending, 'too many calls')
            return
        self._pending[token] = pending
        self._budget.deposit()
        self._send(pending)

    def _send(self, pending: _Pending) -> None:
        if not self._route:
            return
        pending.route, pending.sent_at = self._route, self.now()
        pending.returned = False
        token = f'{pending.msg.token}.{len(pending.tokens)}'
        pending.tokens.add(token)
        msg = dataclasses.replace(pending.msg, token=token)
        if msg.verb == 'submit':
            self._submissions.record_sent(
                token, msg.job_id, self._route, self.now()
            )
        self._send_to_owner(msg)

    def _send_to_owner(self, msg: messages.JobCall) -> None:
        if self._route == addresses.OWNER:
            self.send(self._route, events.LocalCall(msg))
        else:
            self.send(self._route, session.Send(msg))

    def _refuse_for_now(self, pending: _Pending, detail: str) -> None:
        """Refuse a call; the callers do not return at the same time."""
        retry_ms = admission.infer_retry_ms(
            pending.msg.job_id, NO_OWNER_RETRY_AFTER_MS
        )
        self._refuse(pending, detail, retry_ms)

    def _refuse(self, pending: _Pending, detail: str, number: int) -> None:
        """Refuse a call, unless its job may be accepted all the same.

        A refusal tells that the job never runs.
        """
        msg = pending.msg
        outcome = 'refused'
        if msg.verb == 'submit':
            if self._submissions.is_accepted(msg.job_id):
                outcome = 'accepted'
            elif self._submissions.may_be_accepted(msg.job_id, self.now()):
                outcome = 'unknown'
        elif msg.verb == 'cancel':
            self._keep_cancel(msg.job_id, msg.queue, msg.base_url)
        self.log.info(
            'call refused' if outcome == 'refused' else 'call not refused',
            verb=msg.verb, job=msg.job_id, reason=detail, outcome=outcome,
            route=pending.route, sent=len(pending.tokens),
        )  # fmt: skip
        self._reply(pending.caller_query, outcome, detail, number)

    @task.handles(events.KeepCancel)
    def _on_keep_cancel(self, event: events.KeepCancel) -> None:
        self._keep_cancel(event.job_id, '', '')

    def _keep_cancel(self, job_id: str, queue: str, base_url: str) -> None:
        """Send a cancel until the owner confirms it, without its caller."""
        kept = self._cancels.add(job_id, queue, self.now(), base_url)
        self.ctx.metrics.count('unconfirmed_cancel')
        if not kept:
            self.log.warning('cancel dropped', job=job_id)
        self._report_kept()

    def _report_kept(self) -> None:
        """Report the number of kept cancels, for which a shutdown waits."""
        if len(self._cancels) != self._reported_kept:
            self._reported_kept = len(self._cancels)
            event = events.CancelsKept(self._reported_kept)
            self.send(addresses.FRONT, event)

    def _send_cancels(self, now: float) -> None:
        self._report_kept()
        if not self._route:
            return
        for cancel in self._cancels.choose_due(now):
            token = f'{CANCEL_TOKEN_PREFIX}{cancel.job_id}/{cancel.base_url}'
            msg = messages.JobCall(
                token, 'cancel', cancel.queue, cancel.job_id, None,
                cancel.base_url,
            )  # fmt: skip
            self._send_to_owner(msg)

    def _confirm_cancel(
        self, job_id: str, base_url: str, outcome: str
    ) -> None:
        if outcome in ('cancelled', 'unknown_job', 'no_route'):
            if self._cancels.confirm(job_id, base_url):
                self.log.info(
                    'kept cancel confirmed', job=job_id, outcome=outcome
                )

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
        if msg.outcome != 'not_owner':
            self._replied_at = self.now()
        if msg.token.startswith(CANCEL_TOKEN_PREFIX):
            key = msg.token.removeprefix(CANCEL_TOKEN_PREFIX)
            job_id, _, base_url = key.partition('/')
            self._confirm_cancel(job_id, base_url, msg.outcome)
            return
        if msg.outcome == 'not_owner':
            # The call is sent again once the owner is known.
            self._submissions.record_returned(msg.token)
            returned = self._pending.get(msg.token.rpartition('.')[0])
            if returned is not None:
                returned.returned = True
            return
        if msg.outcome == 'refused':
            self._submissions.record_refused(msg.token)
        elif msg.outcome == 'accepted':
            self._submissions.record_accepted(msg.token)
        call_token = msg.token.rpartition('.')[0]
        pending = self._pending.get(call_token)
        if pending is None:
            return
        if msg.outcome == 'refused' and self._submissions.is_open(
            pending.tokens, self._route
        ):
            self.log.info(
                'refusal set aside', job=pending.msg.job_id,
                reason=msg.detail, sent=len(pending.tokens),
            )  # fmt: skip
            return
        del self._pending[call_token]
        took_ms = (self.now() - pending.received_at) * 1000.0
        self.ctx.metrics.record_ms('call', took_ms, verb=pending.msg.verb)
        if msg.outcome == 'refused':
            self._refuse(pending, msg.detail, msg.number)
            return
        if pending.msg.verb == 'cancel':
            self._confirm_cancel(
                pending.msg.job_id, pending.msg.base_url, msg.outcome
            )
        self._reply(pending.caller_query, msg.outcome, msg.detail, msg.number)

    @task.handles(events.OwnerRouteChanged)
    def _on_owner(self, event: events.OwnerRouteChanged) -> None:
        self._route = event.route
        if event.route:
            self._cancels.make_due(self.now())
            for pending in self._pending.values():
                if pending.route != event.route or pending.returned:
                    self._send(pending)

    @task.handles(session.Opened)
    def _on_opened(self, event: session.Opened) -> None:
        """Ignore it; the mesh reports the route to the owner."""

    @task.handles(session.Closed)
    def _on_closed(self, event: session.Closed) -> None:
        self._submissions.record_closed(event.session)
        for pending in self._pending.values():
            if pending.route == event.session and pending.msg.verb == 'cancel':
                # The session may connect again under the same address. Copies
                # of a cancel are harmless.
                pending.returned = True
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
        self._send_cancels(now)
        self.after(SCAN_INTERVAL_S, _Scan())

    def _check(self, token: str, pending: _Pending, now: float) -> None:
        if not pending.route:
            if now - pending.received_at >= NO_OWNER_TIMEOUT_S:
                del self._pending[token]
                self._refuse_for_now(pending, 'no owner')
            return
        if now >= pending.deadline:
            del self._pending[token]
            self.log.warning(
                'call unanswered', verb=pending.msg.verb,
                job=pending.msg.job_id, route=pending.route,
            )  # fmt: skip
            if pending.msg.verb == 'cancel':
                self._keep_cancel(
                    pending.msg.job_id, pending.msg.queue, pending.msg.base_url
                )
            if pending.route == self._route and (
                self._replied_at < pending.sent_at
            ):
                self.send(
                    addresses.MESH, events.RouteUnanswered(pending.route)
                )
            self._reply(pending.caller_query, 'unknown', 'owner is silent')
            return
        if self._route and now - pending.sent_at >= RESEND_AFTER_S:
            if pending.returned or self._budget.spend():
                self._send(pending)

"""Track the claims of the non-idempotent requests in flight.

The task `work/requests` owns this object. It begins a claim for each request
before the first attempt, passes in the results from the task `work/claims`
and reports the outcome of each request, which finalizes the claim. Other
entries that query the outcome of a request get their reply from here. Only
`work/claims` stores what was read from the log.
"""

import typing

from kcr_core import claimant
from kcr_core import messages
from kcr_core import outcomes
from kcr_entry import addresses
from kcr_entry.work import claims
from kcr_entry.work import submitted_request
from kcr_runtime import task
from kcr_runtime.wire import session

# Maximum number of queries of other entries that wait for the outcome of one
# request.
MAX_OUTCOME_QUERIES = 16
# Time to wait for the reply to a cancellation, in seconds. There is none if
# the task that owns the claims is being restarted.
CANCEL_TIMEOUT_S = 0.5


class RequestClaims:
    """Store the claim query of each non-idempotent request in flight."""

    def __init__(self, owner: task.Task) -> None:
        # The task that owns the requests.
        self.owner = owner
        rng = owner.ctx.rng
        # A restarted owner must not use the name of a query again.
        self._query_prefix = f'{rng.getrandbits(48):012x}'
        self._query_count = 0
        # Open claim queries by request, and the reverse.
        self._query_by_request: dict[str, str] = {}
        self._request_by_query: dict[str, str] = {}
        # Requests whose claim is not decided.
        self._undecided: set[str] = set()
        # Undecided requests whose claim was cancelled.
        self._cancelled: set[str] = set()
        # Session and token of each waiting query of another entry, by request.
        self._outcome_queries: dict[str, list[tuple[str, str]]] = {}

    def begin(self, submit: submitted_request.Submit) -> bool:
        """Begin a claim; return False if the query cannot be sent."""
        self._query_count += 1
        request = submit.key
        query = f'{self._query_prefix}:{self._query_count}'
        claim = claims.Claim(
            query, request, submit.digest(), submit.issued_at_ms
        )
        if not self.owner.send(addresses.CLAIMS, claim):
            return False
        self._query_by_request[request] = query
        self._request_by_query[query] = request
        self._undecided.add(request)
        return True

    def cancel(self, request: str) -> bool:
        """Cancel an undecided claim; return whether a reply is expected.

        The second call for a request stops waiting for the reply.
        """
        if request not in self._undecided:
            return False
        cancel = claims.CancelClaim(self._query_by_request[request])
        if request not in self._cancelled:
            self._cancelled.add(request)
            if self.owner.send(addresses.CLAIMS, cancel):
                return True
        # If the claim is granted later, `apply_result` finalizes it as unused.
        self._close(request)
        return False

    def apply_result(
        self, event: claims.ClaimEnded
    ) -> tuple[str, typing.Any] | None:
        """Return the request and its result, or none if nothing follows.

        The result is `Won`, `Changed` or an outcome of the request.
        """
        request = self._request_by_query.get(event.query)
        result = event.result
        won = isinstance(result, claimant.Won)
        if request is None or request not in self._undecided:
            if won:
                unused = claims.FinalizeClaim(event.query, sent=False)
                self.owner.send(addresses.CLAIMS, unused)
            return None
        if won and request in self._cancelled:
            return None  # The reply to the cancellation follows.
        self._undecided.discard(request)
        if won:
            return request, result
        self._close(request)
        return request, _infer_request_outcome(result)

    def finish(self, request: str, value: typing.Any) -> None:
        """Finalize the claim and reply to the waiting entries."""
        query = self._query_by_request.get(request)
        if query is not None:
            sent = not isinstance(value, outcomes.NotRun)
            self.owner.send(
                addresses.CLAIMS, claims.FinalizeClaim(query, sent)
            )
            self._close(request)
        for address, token in self._outcome_queries.pop(request, ()):
            self.reply(address, token, value)

    def handle_outcome_query(
        self, event: session.Received, is_active: bool, stored: typing.Any
    ) -> None:
        """Reply to another entry, at once or when an active request ends."""
        if not is_active:
            self.reply(event.session, event.msg.token, stored)
            return
        waiting = self._outcome_queries.setdefault(event.msg.request, [])
        if len(waiting) >= MAX_OUTCOME_QUERIES:
            self.reply(event.session, event.msg.token, None)
            return
        waiting.append((event.session, event.msg.token))

    def reply(self, address: str, token: str, value: typing.Any) -> None:
        """Send the outcome of a request to another entry."""
        if isinstance(value, outcomes.Done):
            reply = messages.OutcomeReply(
                token, 'done', value.status, value.body
            )
        elif isinstance(value, outcomes.NotRun):
            reply = messages.OutcomeReply(token, 'not_run')
        else:
            reply = messages.OutcomeReply(token, 'unknown')
        self.owner.send(address, session.Send(reply))

    def _close(self, request: str) -> None:
        query = self._query_by_request.pop(request)
        del self._request_by_query[query]
        self._undecided.discard(request)
        self._cancelled.discard(request)


def _infer_request_outcome(result: typing.Any) -> typing.Any:
    if isinstance(result, claimant.NotClaimed):
        return outcomes.NotRun(result.reason)
    if isinstance(result, claimant.Lost):
        return outcomes.Unknown('another submission of this id may have run')
    if isinstance(result, claimant.TooOld):
        return outcomes.Unknown('issued_at_ms is older than the dedupe window')
    return result


def infer_refusal(
    outcome: outcomes.NotRun, resubmitted: bool, claimed: bool
) -> outcomes.NotRun | outcomes.Unknown:
    """Return the outcome that holds for all submissions of the id.

    An earlier submission may have run at another entry. Only a claim that
    was granted and then not used proves that none did.
    """
    if not resubmitted or claimed:
        return outcome
    return outcomes.Unknown(
        f'not run now: {outcome.reason}; an earlier submission may have run'
    )

"""Connect the requests in flight with their claims.

The path belongs to the owner of the requests and holds no state of the log.
"""

import typing

from kcr_core import claimant
from kcr_core import messages
from kcr_core import outcomes
from kcr_entry import addresses
from kcr_entry.work import claims
from kcr_runtime import task
from kcr_runtime.wire import session

# Other entries that may wait for the outcome of one request.
MAX_QUERIES = 16
# Time in which a cancellation is answered, in seconds. It is not answered
# when the owner of the claims is being restarted.
CANCEL_LIMIT_S = 0.5


class ClaimPath:
    """Hold the question of each non-idempotent request in flight."""

    def __init__(self, owner: task.Task) -> None:
        # Task that owns the requests.
        self.owner = owner
        rng = owner.ctx.rng
        # A restarted owner must not use the name of a question again.
        self._life = f'{rng.getrandbits(48):012x}'
        self._asked = 0
        # Open questions by request, and the reverse.
        self._questions: dict[str, str] = {}
        self._requests: dict[str, str] = {}
        # Requests whose claim is not decided.
        self._undecided: set[str] = set()
        # Requests whose claim was given up and not answered yet.
        self._cancelled: set[str] = set()
        # Sessions and tokens of other entries that wait, by request.
        self._queries: dict[str, list[tuple[str, str]]] = {}

    def ask(self, request: str, digest: str, issued_at_ms: int) -> bool:
        """Ask for a claim; return False when it cannot be asked for."""
        self._asked += 1
        question = f'{self._life}:{self._asked}'
        claim = claims.Claim(question, request, digest, issued_at_ms)
        if not self.owner.send(addresses.CLAIMS, claim):
            return False
        self._questions[request] = question
        self._requests[question] = request
        self._undecided.add(request)
        return True

    def cancel(self, request: str) -> bool:
        """Give up an undecided claim; return whether an answer follows.

        The second call for a request expects no answer any more.
        """
        if request not in self._undecided:
            return False
        cancel = claims.Cancel(self._questions[request])
        if request not in self._cancelled:
            self._cancelled.add(request)
            if self.owner.send(addresses.CLAIMS, cancel):
                return True
        # A right that is won later is given back when it arrives.
        self._close(request)
        return False

    def take(self, event: claims.Ended) -> tuple[str, typing.Any] | None:
        """Return the request and what follows for it; none for nothing.

        What follows is `Won`, `Changed` or an outcome of the request.
        """
        request = self._requests.get(event.question)
        result = event.result
        won = isinstance(result, claimant.Won)
        if request is None or request not in self._undecided:
            if won:
                unused = claims.Settle(event.question, sent=False)
                self.owner.send(addresses.CLAIMS, unused)
            return None
        if won and request in self._cancelled:
            return None  # The answer to the cancellation follows.
        self._undecided.discard(request)
        if won:
            return request, result
        self._close(request)
        return request, _infer_outcome(result)

    def finish(self, request: str, value: typing.Any) -> None:
        """Settle the claim and tell the entries that wait."""
        question = self._questions.get(request)
        if question is not None:
            sent = not isinstance(value, outcomes.NotRun)
            self.owner.send(addresses.CLAIMS, claims.Settle(question, sent))
            self._close(request)
        for name, token in self._queries.pop(request, ()):
            self.reply(name, token, value)

    def hold(self, event: session.Received) -> None:
        """Answer the query of another entry when the request ends."""
        waiting = self._queries.setdefault(event.msg.request, [])
        if len(waiting) >= MAX_QUERIES:
            reason = 'too many entries ask'
            unknown = outcomes.Unknown(reason)
            self.reply(event.session, event.msg.token, unknown)
            return
        waiting.append((event.session, event.msg.token))

    def reply(self, name: str, token: str, value: typing.Any) -> None:
        """Tell another entry what became of a request."""
        if isinstance(value, outcomes.Done):
            reply = messages.OutcomeReply(
                token, 'done', value.status, value.body
            )
        elif isinstance(value, outcomes.NotRun):
            reply = messages.OutcomeReply(token, 'not_run')
        else:
            reply = messages.OutcomeReply(token, 'unknown')
        self.owner.send(name, session.Send(reply))

    def _close(self, request: str) -> None:
        question = self._questions.pop(request)
        del self._requests[question]
        self._undecided.discard(request)
        self._cancelled.discard(request)


def _infer_outcome(result: typing.Any) -> typing.Any:
    if isinstance(result, claimant.NotClaimed):
        return outcomes.NotRun(result.reason)
    if isinstance(result, claimant.Lost):
        return outcomes.Unknown('another submission of this id may have run')
    if isinstance(result, claimant.TooOld):
        return outcomes.Unknown('issued_at_ms is older than the dedupe window')
    return result

"""Connect the requests in flight with their claims.

The path belongs to the owner of the requests and holds no state of the log.
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

# Other entries that may wait for the outcome of one request.
MAX_QUERIES = 16
# Time in which a cancellation is answered, in seconds. It is not answered
# when the owner of the claims is being restarted.
CANCEL_LIMIT_S = 0.5


class RequestClaims:
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

    def ask(self, submit: submitted_request.Submit) -> bool:
        """Ask for a claim; return False when it cannot be asked for."""
        self._asked += 1
        request = submit.key
        question = f'{self._life}:{self._asked}'
        claim = claims.Claim(
            question, request, submit.digest(), submit.issued_at_ms
        )
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

    def query(
        self, event: session.Received, is_active: bool, kept: typing.Any
    ) -> None:
        """Answer another entry, at the end of the request if it is active."""
        if not is_active:
            self.reply(event.session, event.msg.token, kept)
            return
        waiting = self._queries.setdefault(event.msg.request, [])
        if len(waiting) >= MAX_QUERIES:
            self.reply(event.session, event.msg.token, None)
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


def infer_refusal(
    outcome: outcomes.NotRun, resubmitted: bool, claimed: bool
) -> outcomes.NotRun | outcomes.Unknown:
    """Return what a refusal may say about all submissions of the id.

    An earlier submission may have run at another entry. Only a claim that
    was won, and then not used, proves that none did.
    """
    if not resubmitted or claimed:
        return outcome
    return outcomes.Unknown(
        f'not run now: {outcome.reason}; an earlier submission may have run'
    )

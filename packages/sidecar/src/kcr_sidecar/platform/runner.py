"""Call the runner of the instance and report each call's end."""

import dataclasses
import typing

from twisted.internet import defer

from kcr_runtime import http_client
from kcr_runtime import task

# Time that a call may take beyond its deadline, in seconds.
GRACE_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """Ask for an attempt to be run."""

    # Id of the attempt.
    attempt: str
    # Key of the request.
    request: str
    # Time left until the deadline, in seconds.
    budget_s: float
    # Body of the request.
    body: bytes
    # Address that hears of the end.
    reply_to: str


@dataclasses.dataclass(frozen=True, slots=True)
class CallEnded:
    """Report the end of a call."""

    # Id of the attempt.
    attempt: str
    # What came of it.
    outcome: http_client.HttpOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class AskStatus:
    """Ask which calls the runner serves."""

    # Address that gets the status.
    reply_to: str
    # Number of the question, which the status repeats.
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """Report which calls the runner serves."""

    # Attempts that the runner serves, or none when it gave no answer.
    attempts: frozenset[str] | None
    # Number of the question that is answered.
    number: int


class Runner(task.Task):
    """Own the connections to the runner."""

    def __init__(self, ctx: task.Context, address: str) -> None:
        super().__init__(ctx, address)
        cfg = ctx.cfg
        self._http = http_client.HttpClient(
            ctx.reactor, cfg.runner, cfg.connections
        )
        self._calls = 0

    def stopped(self) -> defer.Deferred[None]:
        """Close idle connections."""
        return self._http.close()

    def dump(self) -> dict[str, typing.Any]:
        """Return the number of calls."""
        return {**super().dump(), 'calls': self._calls}

    @task.handles(Call)
    def _on_call(self, call: Call) -> None:
        self._calls += 1
        fut = self._http.request(
            'POST',
            '/v1/execute',
            call.body,
            timeout_s=call.budget_s + GRACE_S,
            headers={'X-Attempt': call.attempt, 'X-Request': call.request},
        )
        fut.addCallback(
            lambda outcome: self.send(
                call.reply_to, CallEnded(call.attempt, outcome)
            )
        )

    @task.handles(AskStatus)
    def _on_ask_status(self, question: AskStatus) -> None:
        fut = self._http.request('GET', '/v1/status', timeout_s=2.0)
        fut.addCallback(
            lambda outcome: self.send(
                question.reply_to,
                Status(infer_attempts(outcome), question.number),
            )
        )


def infer_attempts(
    outcome: http_client.HttpOutcome,
) -> frozenset[str] | None:
    """Return the attempts that a status answer lists."""
    if not isinstance(outcome, http_client.Reply) or outcome.status != 200:
        return None
    try:
        return frozenset(map(str, outcome.json()['attempts']))
    except (ValueError, KeyError, TypeError):
        return None

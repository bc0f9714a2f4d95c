"""Call the runner of the instance over HTTP and report each outcome.

The admission task requests the calls and queries which calls the runner still
serves.
"""

import dataclasses
import typing

from twisted.internet import defer

from kcr_runtime import http_client
from kcr_runtime import task

# Time that a call may take beyond the deadline of its attempt, in seconds.
CALL_SLACK_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """Request the execution of an attempt."""

    # Id of the attempt.
    attempt: str
    # Key of the request.
    request: str
    # Time left until the deadline, in seconds.
    budget_s: float
    # Body of the request.
    body: bytes
    # Address that receives `CallEnded`.
    reply_to: str


@dataclasses.dataclass(frozen=True, slots=True)
class CallEnded:
    """Report the outcome of a call."""

    # Id of the attempt.
    attempt: str
    # Response, or why there is none.
    outcome: http_client.HttpOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class StatusQuery:
    """Query which calls the runner serves."""

    # Address that receives the status.
    reply_to: str
    # Number of the query, which the status repeats.
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """Report which calls the runner serves."""

    # Attempts that the runner serves; none without a valid response.
    attempts: frozenset[str] | None
    # Number of the query.
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
            timeout_s=call.budget_s + CALL_SLACK_S,
            headers={'X-Attempt': call.attempt, 'X-Request': call.request},
        )
        fut.addCallback(
            lambda outcome: self.send(
                call.reply_to, CallEnded(call.attempt, outcome)
            )
        )

    @task.handles(StatusQuery)
    def _on_status_query(self, query: StatusQuery) -> None:
        fut = self._http.request('GET', '/v1/status', timeout_s=2.0)
        fut.addCallback(
            lambda outcome: self.send(
                query.reply_to,
                Status(infer_attempts(outcome), query.number),
            )
        )


def infer_attempts(
    outcome: http_client.HttpOutcome,
) -> frozenset[str] | None:
    """Return the attempts that a status response lists; none if invalid."""
    if not isinstance(outcome, http_client.Reply) or outcome.status != 200:
        return None
    try:
        return frozenset(map(str, outcome.json()['attempts']))
    except (ValueError, KeyError, TypeError):
        return None

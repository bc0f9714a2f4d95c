"""Check what the client of the advice service takes a response to mean."""

import json
import typing

import pytest
from twisted.internet import defer

from kcr_platform import adviser
from kcr_platform import decode
from kcr_platform import decode_jobs
from kcr_runtime import http_client
from kcr_scheduler.work import advice


class Config:
    """Store the options that the client reads."""

    advice_address = '127.0.0.1:1'


class Context:
    """Provide what the client reads of the context of a process."""

    reactor = None
    cfg = Config()


class Http:
    """Return one outcome to each request."""

    def __init__(self, outcome: http_client.HttpOutcome) -> None:
        self._outcome = outcome
        self.timeouts: list[float] = []

    def request_json(
        self, method: str, path: str, body: typing.Any, timeout_s: float
    ) -> defer.Deferred[http_client.HttpOutcome]:
        """Return the outcome."""
        self.timeouts.append(timeout_s)
        return defer.succeed(self._outcome)


def request(outcome: http_client.HttpOutcome) -> advice.Result:
    """Return the result of a request with an outcome."""
    ctx: typing.Any = Context()
    made = adviser.PlatformAdviser(ctx)
    http = Http(outcome)
    vars(made)['_http'] = http
    got: list[advice.Result] = []
    made.advise('j.0.0', ['i-1'], 7.5).addCallback(got.append)
    assert http.timeouts == [7.5]
    return got[0]


def test_response_says_how_long_its_tickets_are_valid() -> None:
    """Guard against the validity of an older configuration."""
    body = json.dumps({'Granted': [['i-1', 't']], 'ValidMs': 700}).encode()
    got = request(http_client.Reply(200, body))
    assert got == advice.Granted({'i-1': 't'}, 0.7)


@pytest.mark.parametrize(
    ('outcome', 'expected'),
    [
        (http_client.Reply(429, b''), advice.Unavailable),
        (http_client.Reply(503, b''), advice.Unavailable),
        (http_client.NotSent('refused'), advice.Unavailable),
        (http_client.NoAnswer('no answer within 5 s'), advice.Unavailable),
        (http_client.Reply(400, b''), advice.Failed),
        (http_client.Reply(200, b'[]'), advice.Failed),
    ],
)
def test_call_that_may_still_be_handled_is_told_from_a_bad_one(
    outcome: http_client.HttpOutcome, expected: type[advice.Result]
) -> None:
    """Guard against one step with a bad request that slows down all others."""
    assert isinstance(request(outcome), expected)


def test_time_of_a_call_is_read_from_the_configuration() -> None:
    """Guard against more calls than the service answers in time."""
    item = {
        'Name': 'q', 'PathPrefix': '/q/', 'Service': 's',
        'Advice': {'DecisionMs': 35, 'PeriodMs': 15, 'ValidMs': 3000},
    }  # fmt: skip
    body = decode.read(decode_jobs.RouteBody, json.dumps(item).encode())
    queue = body.to_route().queue
    assert (queue.advice_ms, queue.advice_runner_ms) == (35.0, 15.0)
    assert queue.ticket_ms == 3000.0

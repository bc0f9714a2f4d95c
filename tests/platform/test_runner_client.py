"""Check what the client of the platform's runners takes an answer to prove."""

import json
import typing

import pytest
from twisted.internet import defer

from kcr_agent.runner import client
from kcr_jobs import types
from kcr_platform import runner
from kcr_runtime import http_client


INFO = types.RunnerInfo('i', 5)


class Config:
    """Store the options that the client reads."""

    runner_address = '127.0.0.1:1'


class Context:
    """Provide what the client reads of the context of a process."""

    reactor = None
    cfg = Config()


class Http:
    """Return one reply to each request."""

    def __init__(self, reply: http_client.HttpOutcome) -> None:
        self._reply = reply

    def request(
        self, *args: typing.Any, peer: int
    ) -> defer.Deferred[typing.Any]:
        """Return the reply."""
        return defer.succeed(self._reply)


@pytest.mark.parametrize(
    ('status', 'reason', 'forbids'),
    [
        (409, 'fence', True),
        (409, 'old', True),
        (409, 'room', False),
        (409, 'late', False),
        (409, 'ticket', False),
        (429, '', False),
        (503, '', False),
        (503, 'old', False),
        (421, '', False),
    ],
)
def test_refusal_that_holds_for_earlier_orders(
    status: int, reason: str, forbids: bool
) -> None:
    """Guard against a refusal that is taken for one of an earlier order.

    Only a runner that has seen a higher token, or an end of the attempt,
    rejects an order that is still under way as well (review/2).
    """
    ctx: typing.Any = Context()
    made = runner.RunnerClient(ctx)
    body = json.dumps({'ClockMs': 1, 'Reason': reason}).encode()
    vars(made)['_http'] = Http(http_client.Reply(status, body))
    got: list[typing.Any] = []
    made.start(INFO, 1, 't', 1, 'p', 5, '', '').addCallback(got.append)
    assert isinstance(got[0], client.Refused)
    assert got[0].forbids == forbids

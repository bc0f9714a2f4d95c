"""Check the count of attempts in flight after a restart of their owner."""

import random
import typing

from twisted.internet import task as twisted_task

from kcr_core import message_base
from kcr_core import messages
from kcr_core import types
from kcr_entry import addresses
from kcr_entry.fleet import membership
from kcr_runtime import metrics
from kcr_runtime import task
from kcr_runtime.wire import session

HELLO = message_base.Hello(
    1, 'sidecar', 's', 'i', types.Place('r', 'z', 'k', 'a')
)
STATE = messages.EndpointState(
    'web', types.Capacity(8, 64, types.Demand(1.0, 1.0)), 1
)


class Sink(task.Task):
    """Accept and drop every message."""

    def post(self, msg: typing.Any) -> bool:
        """Accept a message."""
        return True


class Config:
    """Store the options that membership reads."""

    listen = '127.0.0.1:1'


def test_restarted_requests_leave_no_attempt_in_flight() -> None:
    """Guard against load counted for attempts that no task waits for."""
    clock = twisted_task.Clock()
    ctx = task.Context(
        reactor=clock,
        directory=task.Directory(),
        rng=random.Random(1),
        cfg=Config(),
        metrics=metrics.Metrics('test'),
        incarnation='e',
    )
    membership_task = membership.Membership(ctx, addresses.MEMBERSHIP)
    for address in ('links/s', addresses.REQUESTS):
        Sink(ctx, address).begin()
    membership_task.begin()
    membership_task.post(session.Opened('links/s', HELLO))
    membership_task.post(session.Received('links/s', HELLO, STATE))
    attempt = messages.Execute('a', 'c/1', 'web', 1000, True, b'')
    membership_task.post(membership.Dispatch(attempt, frozenset()))
    clock.advance(0)
    assert membership_task.dump()['endpoints']['a']['in_flight'] == 1
    membership_task.post(membership.RequestsRestarted())
    clock.advance(0)
    assert membership_task.dump()['endpoints']['a']['in_flight'] == 0

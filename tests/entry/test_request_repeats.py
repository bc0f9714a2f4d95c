"""Check that the owner of requests hedges and retries within its budget."""

import random
import typing

import pytest
from twisted.internet import task as twisted_task

from kcr_core import message_base
from kcr_core import messages
from kcr_core import outcomes
from kcr_core import types
from kcr_entry import addresses
from kcr_entry.fleet import membership
from kcr_entry.work import requests
from kcr_entry.work import submitted_request
from kcr_runtime import metrics
from kcr_runtime import query
from kcr_runtime import task
from kcr_runtime.wire import session

PLACE = types.Place('r', 'z', 'k', 'i')
HELLO = message_base.Hello(1, 'sidecar', 'i', 'inc', PLACE)


class Fake(task.Task):
    """Stand in for membership and for the asking front end."""

    def __init__(self, ctx: task.Context, address: str) -> None:
        super().__init__(ctx, address)
        # Messages in order.
        self.got: list[typing.Any] = []

    @task.handles(membership.Dispatch)
    @task.handles(membership.AttemptEnded)
    @task.handles(membership.Withdraw)
    @task.handles(query.Reply)
    def _on_any(self, msg: typing.Any) -> None:
        self.got.append(msg)

    def attempts(self) -> list[membership.Dispatch]:
        """Return the attempts that were to be sent."""
        return [m for m in self.got if isinstance(m, membership.Dispatch)]


class Bench:
    """Hold the owner of requests between two fakes."""

    def __init__(self, **settings: typing.Any) -> None:
        # Simulated clock.
        self.clock = twisted_task.Clock()
        ctx = task.Context(
            self.clock,
            task.Directory(),
            random.Random(1),
            None,
            metrics.Metrics('test'),
            'incarnation',
        )
        # Stands in for membership.
        self.fleet = Fake(ctx, addresses.MEMBERSHIP)
        # Stands in for the front end.
        self.front = Fake(ctx, addresses.HTTP)
        # The task under test.
        self.owner = requests.Requests(ctx, addresses.REQUESTS)
        self.owner.settings = types.ControlSettings(**settings)
        for node in (self.fleet, self.front, self.owner):
            node.begin()

    def post(self, msg: typing.Any) -> None:
        """Deliver a message and everything that follows at once."""
        self.owner.post(msg)
        for _ in range(5):
            self.clock.advance(0)

    def submit(self, number: int) -> None:
        """Submit one idempotent request with a deadline of 1 s."""
        body = submitted_request.Submit(
            f'{number}', 'c', 's', 1.0, True, 0, b''
        )
        self.post(query.Query(f'{number}', addresses.HTTP, body))

    def place(self, attempt: str) -> None:
        """Report that an attempt was sent."""
        self.post(membership.Dispatched(attempt, 'i', 'session'))

    def refuse(self, attempt: str) -> None:
        """Deliver the refusal of an attempt."""
        msg = messages.Refused(attempt, 'endpoint is full')
        self.post(session.Received('session', HELLO, msg))


def test_idempotent_request_is_hedged_once_after_the_delay() -> None:
    """Guard against a slow endpoint that decides the tail latency."""
    bench = Bench(hedge_s=0.1, max_attempts=3)
    bench.submit(1)
    bench.place(bench.fleet.attempts()[0].msg.attempt)
    bench.clock.advance(0.09)
    assert len(bench.fleet.attempts()) == 1
    bench.clock.advance(0.02)
    bench.clock.advance(0.5)
    first, second = bench.fleet.attempts()
    assert not first.hedge and second.hedge
    assert second.avoid == frozenset({'i'})


def test_attempt_that_waits_for_a_grant_is_not_hedged() -> None:
    """Guard against hedges that fill the entry's own queue."""
    bench = Bench(hedge_s=0.1)
    bench.submit(1)
    bench.clock.advance(0.5)
    assert len(bench.fleet.attempts()) == 1


def test_refusals_stop_at_the_budget_and_stay_true() -> None:
    """Guard against retries that multiply the load of an overload."""
    bench = Bench(retry_budget=0.1, max_attempts=3)
    handled = 0
    for number in range(300):
        bench.submit(number)
        while len(bench.fleet.attempts()) > handled:
            attempt = bench.fleet.attempts()[handled].msg.attempt
            handled += 1
            bench.place(attempt)
            bench.refuse(attempt)
    answers = [m for m in bench.front.got if isinstance(m, query.Reply)]
    assert len(answers) == 300
    assert all(isinstance(a.value, outcomes.NotRun) for a in answers)
    # 300 first attempts, a tenth of them again, and the initial tokens.
    assert 300 < handled <= 300 + 30 + 10


@pytest.mark.parametrize('placed', [False, True])
def test_deadline_is_not_run_only_for_an_unsent_attempt(placed: bool) -> None:
    """Guard against "unknown" for a request that was never sent."""
    bench = Bench()
    bench.submit(1)
    attempt = bench.fleet.attempts()[0].msg.attempt
    if placed:
        bench.place(attempt)
    bench.clock.advance(1.0)
    bench.clock.advance(0)
    if not placed:
        assert membership.Withdraw(attempt) in bench.fleet.got
        bench.post(membership.NotDispatched(attempt, 'deadline passed'))
    bench.clock.advance(0)
    expected = outcomes.Unknown if placed else outcomes.NotRun
    (answer,) = bench.front.got
    assert isinstance(answer.value, expected)

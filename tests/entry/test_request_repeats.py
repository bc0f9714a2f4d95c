"""Check that requests are hedged and retried within the retry budget."""

import random
import typing

import pytest
from twisted.internet import task as twisted_task

from kcr_core import message_base
from kcr_core import messages
from kcr_core import outcomes
from kcr_core import retry_budget
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
    """Fake membership or the querying front end."""

    def __init__(self, ctx: task.Context, address: str) -> None:
        super().__init__(ctx, address)
        # Messages in the order of arrival.
        self.received: list[typing.Any] = []

    @task.handles(membership.Dispatch)
    @task.handles(membership.AttemptEnded)
    @task.handles(membership.Withdraw)
    @task.handles(query.Reply)
    def _on_any(self, msg: typing.Any) -> None:
        self.received.append(msg)

    def list_dispatches(self) -> list[membership.Dispatch]:
        """Return the attempts to be dispatched."""
        return [m for m in self.received if isinstance(m, membership.Dispatch)]


class Harness:
    """Store the owner of requests with two fakes."""

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
        # Fake membership.
        self.membership_fake = Fake(ctx, addresses.MEMBERSHIP)
        # Fake front end.
        self.front_end = Fake(ctx, addresses.HTTP)
        # The task under test.
        self.owner = requests.Requests(ctx, addresses.REQUESTS)
        self.owner.settings = types.ControlSettings(**settings)
        for component in (self.membership_fake, self.front_end, self.owner):
            component.begin()

    def post(self, msg: typing.Any) -> None:
        """Deliver a message and process all messages that follow from it."""
        self.owner.post(msg)
        for _ in range(5):
            self.clock.advance(0)

    def submit(self, number: int) -> None:
        """Submit one idempotent request with a deadline of 1 s."""
        body = submitted_request.Submit(
            f'{number}', 'c', 's', 1.0, True, 0, b''
        )
        self.post(query.Query(f'{number}', addresses.HTTP, body))

    def report_dispatched(self, attempt: str) -> None:
        """Report that an attempt was dispatched."""
        self.post(membership.Dispatched(attempt, 'i', 'session'))

    def refuse(self, attempt: str) -> None:
        """Deliver the refusal of an attempt."""
        msg = messages.Refused(attempt, 'endpoint is full')
        self.post(session.Received('session', HELLO, msg))


def test_idempotent_request_is_hedged_once_after_the_delay() -> None:
    """Guard against a slow endpoint that determines the tail latency."""
    harness = Harness(hedge_s=0.1, max_attempts=3)
    harness.submit(1)
    harness.report_dispatched(
        harness.membership_fake.list_dispatches()[0].msg.attempt
    )
    harness.clock.advance(0.09)
    assert len(harness.membership_fake.list_dispatches()) == 1
    harness.clock.advance(0.02)
    harness.clock.advance(0.5)
    first, second = harness.membership_fake.list_dispatches()
    assert not first.hedge and second.hedge
    assert second.avoid == frozenset({'i'})


def test_attempt_that_waits_for_a_grant_is_not_hedged() -> None:
    """Guard against hedges that fill the queue of the entry."""
    harness = Harness(hedge_s=0.1)
    harness.submit(1)
    harness.clock.advance(0.5)
    assert len(harness.membership_fake.list_dispatches()) == 1


def test_refusals_stop_at_the_budget_and_stay_true() -> None:
    """Guard against retries that multiply the load during overload."""
    harness = Harness(retry_budget=0.1, max_attempts=3)
    handled = 0
    for number in range(300):
        harness.submit(number)
        while len(harness.membership_fake.list_dispatches()) > handled:
            attempt = harness.membership_fake.list_dispatches()[
                handled
            ].msg.attempt
            handled += 1
            harness.report_dispatched(attempt)
            harness.refuse(attempt)
    answers = [
        m for m in harness.front_end.received if isinstance(m, query.Reply)
    ]
    assert len(answers) == 300
    assert all(isinstance(a.value, outcomes.NotRun) for a in answers)
    # 300 first attempts, a tenth of them again, and the initial tokens.
    assert 300 < handled <= 300 + 30 + 10


def test_burst_at_a_full_endpoint_is_sent_to_others() -> None:
    """Guard against a burst of refusals that uses up the retry budget."""
    harness = Harness(retry_budget=0.1, max_attempts=3)
    for number in range(60):
        harness.submit(number)
    dispatches = harness.membership_fake.list_dispatches
    first = [item.msg.attempt for item in dispatches()]
    for attempt in first:
        harness.report_dispatched(attempt)
        harness.refuse(attempt)
    second = [item.msg.attempt for item in dispatches()[60:]]
    assert len(second) == 60
    for attempt in second:
        harness.report_dispatched(attempt)
        msg = messages.Executed(attempt, 200, 0, b'')
        harness.post(session.Received('session', HELLO, msg))
    values = [
        m.value
        for m in harness.front_end.received
        if isinstance(m, query.Reply)
    ]
    assert values == [outcomes.Done(200, b'')] * 60
    # The tokens of the first 60 requests are still there.
    tokens = harness.owner.dump()['retry_budget']['tokens']
    assert tokens == retry_budget.INITIAL_TOKENS + 6.0


@pytest.mark.parametrize('placed', [False, True])
def test_deadline_is_not_run_only_for_an_unsent_attempt(placed: bool) -> None:
    """Guard against "unknown" for a request that was never sent."""
    harness = Harness()
    harness.submit(1)
    attempt = harness.membership_fake.list_dispatches()[0].msg.attempt
    if placed:
        harness.report_dispatched(attempt)
    harness.clock.advance(1.0)
    harness.clock.advance(0)
    if not placed:
        assert membership.Withdraw(attempt) in harness.membership_fake.received
        harness.post(membership.NotDispatched(attempt, 'deadline passed'))
    harness.clock.advance(0)
    expected = outcomes.Unknown if placed else outcomes.NotRun
    (answer,) = harness.front_end.received
    assert isinstance(answer.value, expected)

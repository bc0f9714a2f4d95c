"""Check when and to which endpoint attempts are sent."""

import random

import pytest

from kcr_core import dispatch
from kcr_core import membership
from kcr_core import message_base
from kcr_core import messages
from kcr_core import types

CAPACITY = types.Capacity(2, 16, types.Demand())


def make_dispatcher(
    granted: int = 0, endpoints: int = 2
) -> dispatch.RequestDispatcher:
    """Return a dispatcher with some endpoints of service `s`."""
    view = membership.FleetView(1.0)
    for number in range(endpoints):
        name = f'i{number}'
        place = types.Place('r', 'z', 'k', name)
        hello = message_base.Hello(1, 'sidecar', name, f'inc-{name}', place)
        view.session_opened(f'session-{name}', hello, 0.0)
        endpoint = view.endpoints[name]
        state = messages.EndpointState('s', CAPACITY, 1)
        view.set_state(endpoint, state)
        endpoint.heartbeat = messages.Heartbeat(
            1, 0, 0, granted, types.Demand()
        )
        endpoint.latency_ms = 10.0
    return dispatch.RequestDispatcher(view, random.Random(1))


def make_pending(
    attempt: str, deadline: float = 1.0
) -> dispatch.PendingAttempt:
    """Return an attempt for service `s`."""
    return dispatch.PendingAttempt(attempt, 's', deadline, frozenset())


GRANTED = types.ControlSettings(endpoint_policy='granted')


def test_attempt_waits_until_a_slot_is_granted() -> None:
    """Guard against sending more attempts than the endpoints granted."""
    dispatcher = make_dispatcher(granted=1)
    for name in ('a', 'b'):
        decision = dispatcher.submit(make_pending(name), GRANTED, 0.0)
        assert isinstance(decision, dispatch.Chosen)
    assert dispatcher.submit(
        make_pending('c'), GRANTED, 0.0
    ) == dispatch.Queued('c')
    dispatcher.attempt_ended('i0', 'c/1', 'ok', 0.01, 0.1)
    ((pending, decision),) = dispatcher.advance(GRANTED, 0.1)
    assert decision == dispatch.Chosen('c', 'i0')
    assert pending.attempt == 'c' and not dispatcher.waiting()


def test_nearest_deadline_is_sent_first() -> None:
    """Guard against a request that waits behind one with a later deadline."""
    dispatcher = make_dispatcher(granted=0)
    dispatcher.submit(make_pending('later', 2.0), GRANTED, 0.0)
    dispatcher.submit(make_pending('urgent', 1.0), GRANTED, 0.0)
    for endpoint in dispatcher.view.endpoints.values():
        endpoint.heartbeat = messages.Heartbeat(2, 0, 0, 1, types.Demand())
    sent = [pending.attempt for pending, _ in dispatcher.advance(GRANTED, 0.1)]
    assert sent == ['urgent', 'later']


def test_waiting_ends_before_the_deadline_with_a_refusal() -> None:
    """Guard against a request that expires in the queue of the entry."""
    dispatcher = make_dispatcher(granted=0)
    dispatcher.submit(make_pending('a', 1.0), GRANTED, 0.0)
    assert dispatcher.advance(GRANTED, 0.5) == []
    ((_, decision),) = dispatcher.advance(GRANTED, 0.99)
    assert isinstance(decision, dispatch.Rejected)


def test_queue_is_bounded() -> None:
    """Guard against an entry queue that grows without bound."""
    dispatcher = make_dispatcher(granted=0)
    for number in range(dispatch.MAX_WAITING_ATTEMPTS):
        dispatcher.submit(make_pending(f'a{number}'), GRANTED, 0.0)
    decision = dispatcher.submit(make_pending('last'), GRANTED, 0.0)
    assert decision == dispatch.Rejected('last', 'entry queue is full')


def test_withdrawn_attempt_is_not_sent() -> None:
    """Guard against running a request that already has its outcome."""
    dispatcher = make_dispatcher(granted=0)
    dispatcher.submit(make_pending('a'), GRANTED, 0.0)
    assert dispatcher.withdraw('a')
    for endpoint in dispatcher.view.endpoints.values():
        endpoint.heartbeat = messages.Heartbeat(2, 0, 0, 1, types.Demand())
    assert dispatcher.advance(GRANTED, 0.1) == []


@pytest.mark.parametrize('policy', ['random', 'two_choices', 'least_cost'])
def test_attempt_that_cannot_meet_its_deadline_is_refused(policy: str) -> None:
    """Guard against running a request that cannot meet its deadline."""
    dispatcher = make_dispatcher()
    for endpoint in dispatcher.view.endpoints.values():
        endpoint.in_flight = 40
    settings = types.ControlSettings(endpoint_policy=policy)
    decision = dispatcher.submit(make_pending('a', 0.05), settings, 0.0)
    assert decision == dispatch.Rejected('a', 'deadline cannot be met')


@pytest.mark.parametrize('policy', ['random', 'two_choices', 'least_cost'])
def test_quarantined_endpoint_gets_only_probes(policy: str) -> None:
    """Guard against a fast-failing endpoint that attracts all requests."""
    dispatcher = make_dispatcher(endpoints=4)
    for number in range(20):
        dispatcher.health.record_failure('i0', f'c/{number}', 'failed', 4, 0.0)
    settings = types.ControlSettings(endpoint_policy=policy)
    chosen = []
    for number in range(100):
        decision = dispatcher.submit(
            make_pending(f'a{number}', 9.0), settings, 0.5
        )
        assert isinstance(decision, dispatch.Chosen)
        chosen.append(decision.instance)
        dispatcher.attempt_ended(
            decision.instance, f'd/{number}', 'ok', 0.01, 0.5
        )
    assert 'i0' not in chosen
    decision = dispatcher.submit(make_pending('probe', 9.0), settings, 2.0)
    assert decision == dispatch.Chosen('probe', 'i0')


def test_choice_samples_a_bounded_number_of_endpoints() -> None:
    """Guard against a cost per request that grows with the fleet."""
    dispatcher = make_dispatcher(endpoints=200)
    sampled = dispatcher.view.sample('s', 16, 0.0, random.Random(1))
    assert len(sampled) == 16


def test_departed_endpoint_is_not_sampled() -> None:
    """Guard against sending to an endpoint whose connection is closed."""
    dispatcher = make_dispatcher(endpoints=40)
    for number in range(39):
        dispatcher.view.session_closed(f'session-i{number}')
    found = dispatcher.view.sample('s', 16, 0.0, random.Random(1))
    assert [e.place.instance for e in found] == ['i39']


@pytest.mark.parametrize('policy', ['two_choices', 'least_cost', 'granted'])
def test_hedge_is_refused_on_loaded_endpoints(policy: str) -> None:
    """Guard against hedges that add load to loaded endpoints."""
    dispatcher = make_dispatcher()
    for endpoint in dispatcher.view.endpoints.values():
        endpoint.in_flight = CAPACITY.slots
    pending = dispatch.PendingAttempt('a', 's', 9.0, frozenset(), hedge=True)
    settings = types.ControlSettings(endpoint_policy=policy)
    decision = dispatcher.submit(pending, settings, 0.0)
    assert isinstance(decision, dispatch.Rejected)
    assert not dispatcher.waiting()


def test_non_idempotent_request_does_not_probe() -> None:
    """Guard against an unknown outcome due to a quarantined endpoint."""
    dispatcher = make_dispatcher(endpoints=4)
    for number in range(20):
        dispatcher.health.record_failure('i0', f'c/{number}', 'failed', 4, 0.0)
    pending = dispatch.PendingAttempt(
        'a', 's', 9.0, frozenset(), idempotent=False
    )
    decision = dispatcher.submit(pending, types.ControlSettings(), 2.0)
    assert isinstance(decision, dispatch.Chosen)
    assert decision.instance != 'i0'

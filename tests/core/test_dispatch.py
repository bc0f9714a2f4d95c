"""Check when and where attempts are sent."""

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
) -> dispatch.Dispatcher:
    """Return a dispatcher that knows some endpoints of service `s`."""
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
    return dispatch.Dispatcher(view, random.Random(1))


def make_offer(attempt: str, deadline: float = 1.0) -> dispatch.PendingAttempt:
    """Return an offer for service `s`."""
    return dispatch.PendingAttempt(attempt, 's', deadline, frozenset())


GRANTED = types.ControlSettings(endpoint_policy='granted')


def test_attempt_waits_until_a_slot_is_granted() -> None:
    """Guard against sending more than the endpoints granted."""
    owner = make_dispatcher(granted=1)
    for name in ('a', 'b'):
        decision = owner.submit(make_offer(name), GRANTED, 0.0)
        assert isinstance(decision, dispatch.Chosen)
    assert owner.submit(make_offer('c'), GRANTED, 0.0) == dispatch.Queued('c')
    owner.attempt_ended('i0', 'c/1', 'ok', 0.01, 0.1)
    ((offer, decision),) = owner.advance(GRANTED, 0.1)
    assert decision == dispatch.Chosen('c', 'i0')
    assert offer.attempt == 'c' and not owner.waiting()


def test_nearest_deadline_is_sent_first() -> None:
    """Guard against an urgent request behind a patient one."""
    owner = make_dispatcher(granted=0)
    owner.submit(make_offer('patient', 2.0), GRANTED, 0.0)
    owner.submit(make_offer('urgent', 1.0), GRANTED, 0.0)
    for endpoint in owner.view.endpoints.values():
        endpoint.heartbeat = messages.Heartbeat(2, 0, 0, 1, types.Demand())
    sent = [offer.attempt for offer, _ in owner.advance(GRANTED, 0.1)]
    assert sent == ['urgent', 'patient']


def test_waiting_ends_before_the_deadline_with_a_refusal() -> None:
    """Guard against a request that expires in the entry's own queue."""
    owner = make_dispatcher(granted=0)
    owner.submit(make_offer('a', 1.0), GRANTED, 0.0)
    assert owner.advance(GRANTED, 0.5) == []
    ((_, decision),) = owner.advance(GRANTED, 0.99)
    assert isinstance(decision, dispatch.Rejected)


def test_queue_is_bounded() -> None:
    """Guard against an entry queue that grows without end."""
    owner = make_dispatcher(granted=0)
    for number in range(dispatch.QUEUE_LIMIT):
        owner.submit(make_offer(f'a{number}'), GRANTED, 0.0)
    decision = owner.submit(make_offer('last'), GRANTED, 0.0)
    assert decision == dispatch.Rejected('last', 'entry queue is full')


def test_withdrawn_attempt_is_not_sent() -> None:
    """Guard against running a request that already has its outcome."""
    owner = make_dispatcher(granted=0)
    owner.submit(make_offer('a'), GRANTED, 0.0)
    assert owner.withdraw('a')
    for endpoint in owner.view.endpoints.values():
        endpoint.heartbeat = messages.Heartbeat(2, 0, 0, 1, types.Demand())
    assert owner.advance(GRANTED, 0.1) == []


@pytest.mark.parametrize('policy', ['random', 'two_choices', 'least_cost'])
def test_hopeless_attempt_is_refused_at_once(policy: str) -> None:
    """Guard against work that cannot end before its deadline."""
    owner = make_dispatcher()
    for endpoint in owner.view.endpoints.values():
        endpoint.in_flight = 40
    settings = types.ControlSettings(endpoint_policy=policy)
    decision = owner.submit(make_offer('a', 0.05), settings, 0.0)
    assert decision == dispatch.Rejected('a', 'deadline cannot be met')


@pytest.mark.parametrize('policy', ['random', 'two_choices', 'least_cost'])
def test_failing_endpoint_gets_probes_only(policy: str) -> None:
    """Guard against an endpoint that fails at once and draws all work."""
    owner = make_dispatcher(endpoints=4)
    for number in range(20):
        owner.health.record_failure('i0', f'c/{number}', 'failed', 4, 0.0)
    settings = types.ControlSettings(endpoint_policy=policy)
    chosen = []
    for number in range(100):
        decision = owner.submit(make_offer(f'a{number}', 9.0), settings, 0.5)
        assert isinstance(decision, dispatch.Chosen)
        chosen.append(decision.instance)
        owner.attempt_ended(decision.instance, f'd/{number}', 'ok', 0.01, 0.5)
    assert 'i0' not in chosen
    decision = owner.submit(make_offer('probe', 9.0), settings, 2.0)
    assert decision == dispatch.Chosen('probe', 'i0')


def test_choice_does_not_look_at_the_whole_fleet() -> None:
    """Guard against a cost per request that grows with the fleet."""
    owner = make_dispatcher(endpoints=200)
    looked = owner.view.sample('s', 16, 0.0, random.Random(1))
    assert len(looked) == 16


def test_departed_endpoint_is_not_sampled() -> None:
    """Guard against sending to an endpoint whose connection is closed."""
    owner = make_dispatcher(endpoints=40)
    for number in range(39):
        owner.view.session_closed(f'session-i{number}')
    found = owner.view.sample('s', 16, 0.0, random.Random(1))
    assert [e.place.instance for e in found] == ['i39']


@pytest.mark.parametrize('policy', ['two_choices', 'least_cost', 'granted'])
def test_hedge_is_refused_without_room(policy: str) -> None:
    """Guard against hedges that add load to a loaded fleet."""
    owner = make_dispatcher()
    for endpoint in owner.view.endpoints.values():
        endpoint.in_flight = CAPACITY.slots
    offer = dispatch.PendingAttempt('a', 's', 9.0, frozenset(), hedge=True)
    settings = types.ControlSettings(endpoint_policy=policy)
    decision = owner.submit(offer, settings, 0.0)
    assert isinstance(decision, dispatch.Rejected)
    assert not owner.waiting()


def test_non_idempotent_request_is_no_probe() -> None:
    """Guard against losing a billing step to an endpoint that fails."""
    owner = make_dispatcher(endpoints=4)
    for number in range(20):
        owner.health.record_failure('i0', f'c/{number}', 'failed', 4, 0.0)
    offer = dispatch.PendingAttempt(
        'a', 's', 9.0, frozenset(), idempotent=False
    )
    decision = owner.submit(offer, types.ControlSettings(), 2.0)
    assert isinstance(decision, dispatch.Chosen)
    assert decision.instance != 'i0'

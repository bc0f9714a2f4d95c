"""Measure the time of one endpoint choice by the size of the fleet.

`bench` and `capacity_state` call it.
"""

import random
import time

from kcr_core import dispatch
from kcr_core import membership
from kcr_core import message_base
from kcr_core import messages
from kcr_core import types

# Numbers of endpoints of the measured fleets.
SIZES = (10, 100, 1000, 9100)
# Choices per measurement, and measurements of which the median is taken.
CHOICES = 400
ROUNDS = 5


def make_dispatcher(size: int) -> dispatch.RequestDispatcher:
    """Return a dispatcher with `size` endpoints that are up."""
    rng = random.Random(size)
    view = membership.FleetView(1.0)
    capacity = types.Capacity(8, 64, types.Demand())
    for number in range(size):
        name = f'i{number}'
        place = types.Place('r', 'z', 'k', name)
        hello = message_base.Hello(1, 'sidecar', name, 'i', place)
        view.session_opened(name, hello, 0.0)
        endpoint = view.endpoints[name]
        view.set_state(endpoint, messages.EndpointState('s', capacity, 1))
        endpoint.heartbeat = messages.Heartbeat(1, 0, 2, 8, types.Demand())
        endpoint.latency_ms = rng.uniform(5.0, 30.0)
    return dispatch.RequestDispatcher(view, rng)


def measure_ns(policy: str, size: int) -> float:
    """Return the median time of one choice, in nanoseconds."""
    dispatcher = make_dispatcher(size)
    settings = types.ControlSettings(endpoint_policy=policy)
    times = []
    for _ in range(ROUNDS):
        start = time.perf_counter_ns()
        for number in range(CHOICES):
            pending = dispatch.PendingAttempt(
                f'{number}', 's', 1.0, frozenset()
            )
            decision = dispatcher.submit(pending, settings, 0.0)
            assert isinstance(decision, dispatch.Chosen)
            dispatcher.attempt_ended(decision.instance, '', 'none', 0.0, 0.0)
        times.append((time.perf_counter_ns() - start) / CHOICES)
    return round(sorted(times)[ROUNDS // 2], 1)


def measure_slope(policy: str) -> dict[str, float]:
    """Return the cost per size and the slope in ns per endpoint."""
    costs = {str(size): measure_ns(policy, size) for size in SIZES}
    first, last = SIZES[0], SIZES[-1]
    increase = costs[str(last)] - costs[str(first)]
    return {**costs, 'slope': round(increase / (last - first), 4)}

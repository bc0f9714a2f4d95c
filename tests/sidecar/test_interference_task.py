"""Check that the interference task sends what its policy decides."""

import random
import typing

from twisted.internet import task as twisted_task

from kcr_core import interference as interference_core
from kcr_core import types
from kcr_runtime import metrics
from kcr_runtime import task
from kcr_sidecar import addresses
from kcr_sidecar.capacity import interference
from kcr_sidecar import events


class FakeTaskControl(task.Task):
    """Record the requests to the task control."""

    def __init__(self, ctx: task.Context, address: str) -> None:
        super().__init__(ctx, address)
        # Requests in order of arrival.
        self.requests: list[typing.Any] = []

    @task.handles(events.Throttle)
    def _on_throttle(self, msg: events.Throttle) -> None:
        self.requests.append(msg)

    @task.handles(events.Evict)
    def _on_evict(self, msg: events.Evict) -> None:
        self.requests.append(msg)


def test_slow_service_throttles_and_then_evicts() -> None:
    """Guard against decisions that do not reach the task control."""
    clock = twisted_task.Clock()
    ctx = task.Context(
        clock,
        task.Directory(),
        random.Random(1),
        None,
        metrics.Metrics('test'),
        'incarnation',
    )
    fake = FakeTaskControl(ctx, addresses.TASK_CONTROL)
    subject = interference.Interference(ctx, addresses.INTERFERENCE)
    for started in (fake, subject):
        started.begin()
    control = types.ControlSettings(
        interference_policy='threshold', service_p99_ms=100.0
    )
    subject.post(events.SettingsInForce(1, control))
    demand = types.Demand(processors=4.0)
    for share in (1.0, 0.5, 0.25):
        work = events.RunningWork('c/1', 'k', demand, share)
        subject.post(events.TasksRunning((work,)))
        subject.post(events.ServiceMeasured(clock.seconds(), 500.0, 0.8))
        clock.advance(0)
        clock.advance(10.0)
    throttles, last = fake.requests[:2], fake.requests[-1]
    assert throttles == [
        events.Throttle('c/1', 0.5),
        events.Throttle('c/1', 0.25),
    ]
    assert isinstance(last, events.Evict) and not last.stop
    assert subject.dump()['throttled'] == {'c/1': 0.25}
    # The task returns with a new epoch, which the eviction does not concern.
    for works in ((), (events.RunningWork('c/1', 'k', demand),)):
        subject.post(events.TasksRunning(works))
        clock.advance(0)
    clock.advance(interference_core.EVICTION_TIMEOUT_S)
    subject.post(events.ServiceMeasured(clock.seconds(), 90.0, 0.8))
    clock.advance(0)
    assert fake.requests[-1] is last

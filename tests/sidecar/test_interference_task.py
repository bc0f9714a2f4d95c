"""Check that the interference task asks for what its policy decides."""

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


class Recorder(task.Task):
    """Keep the requests that arrive."""

    def __init__(self, ctx: task.Context, address: str) -> None:
        super().__init__(ctx, address)
        # Requests in order.
        self.asked: list[typing.Any] = []

    @task.handles(events.Throttle)
    def _on_throttle(self, msg: events.Throttle) -> None:
        self.asked.append(msg)

    @task.handles(events.Evict)
    def _on_evict(self, msg: events.Evict) -> None:
        self.asked.append(msg)


def test_slow_service_throttles_and_then_evicts() -> None:
    """Guard against decisions that never reach the owner of the tasks."""
    clock = twisted_task.Clock()
    ctx = task.Context(
        clock,
        task.Directory(),
        random.Random(1),
        None,
        metrics.Metrics('test'),
        'incarnation',
    )
    owner = Recorder(ctx, addresses.TASK_CONTROL)
    subject = interference.Interference(ctx, addresses.INTERFERENCE)
    for node in (owner, subject):
        node.begin()
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
    throttles, last = owner.asked[:2], owner.asked[-1]
    assert throttles == [
        events.Throttle('c/1', 0.5),
        events.Throttle('c/1', 0.25),
    ]
    assert isinstance(last, events.Evict) and not last.stop
    assert subject.dump()['throttled'] == {'c/1': 0.25}
    # The task comes back under a new epoch, and is not the one that left.
    for works in ((), (events.RunningWork('c/1', 'k', demand),)):
        subject.post(events.TasksRunning(works))
        clock.advance(0)
    clock.advance(interference_core.EVICTION_TIMEOUT_S)
    subject.post(events.ServiceMeasured(clock.seconds(), 90.0, 0.8))
    clock.advance(0)
    assert owner.asked[-1] is last

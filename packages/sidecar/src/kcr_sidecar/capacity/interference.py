"""Throttle or evict tasks that slow the service on the same instance.

The task control reports the running tasks, and the admission task the latency
of the service. `kcr_core.interference` decides; this task sends the resulting
requests back to the task control.
"""

import typing

from kcr_core import interference
from kcr_core import types
from kcr_runtime import task
from kcr_sidecar import addresses
from kcr_sidecar import events


class Interference(task.Task):
    """Own the learned interference of the instance."""

    def __init__(self, ctx: task.Context, address: str) -> None:
        super().__init__(ctx, address)
        # Settings of the document in force.
        self.settings = types.ControlSettings()
        self._governor = interference.Governor(
            self.settings.interference_policy
        )
        self._tasks: tuple[interference.Task, ...] = ()

    def dump(self) -> dict[str, typing.Any]:
        """Return the learned effects and the throttled tasks."""
        return {
            **super().dump(),
            **interference.describe(self._governor),
            'throttled': {
                running.task: running.share
                for running in self._tasks
                if running.share < 1.0
            },
        }

    @task.handles(events.SettingsInForce)
    def _on_settings(self, msg: events.SettingsInForce) -> None:
        self.settings = msg.settings
        self._governor.policy = msg.settings.interference_policy

    @task.handles(events.TasksRunning)
    def _on_tasks(self, msg: events.TasksRunning) -> None:
        self._tasks = tuple(
            interference.Task(
                work.task,
                work.kind,
                work.demand.processors,
                work.share,
                work.urgent,
            )
            for work in msg.tasks
        )
        self._governor.update_running(self._tasks)

    @task.handles(events.ServiceMeasured)
    def _on_measured(self, msg: events.ServiceMeasured) -> None:
        measured = interference.Measurement(msg.since, msg.p99_ms, msg.load)
        actions = self._governor.decide(
            measured, self._tasks, self.settings, self.now()
        )
        for action in actions:
            self._request(action)

    def _request(self, action: interference.Action) -> None:
        request: events.Throttle | events.Evict
        if isinstance(action, interference.SetShare):
            request = events.Throttle(action.task, action.share)
            self.ctx.metrics.count('interference_throttle')
        else:
            request = events.Evict(action.task, action.reason, action.stop)
            self.ctx.metrics.count('interference_evict')
            self.log.info(
                'task evicted', name=action.task, reason=action.reason
            )
        if not self.send(addresses.TASK_CONTROL, request):
            self.ctx.metrics.count('interference_not_asked')

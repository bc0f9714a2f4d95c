"""Change the shares of fillers beside serving tasks.

After each complete report of a runner, `throttling` chooses the shares by the
latency of its serving tasks; a filler that stalls is stopped and moves.
"""

from kcr_jobs import controller_state
from kcr_jobs import effects
from kcr_jobs import messages
from kcr_jobs import runners
from kcr_jobs import throttling


class FillerShares:
    """Order the shares of the fillers on each runner."""

    def __init__(self, state: controller_state.State) -> None:
        self._state = state

    def adjust(self, runner: runners.RunnerState, now: float) -> None:
        """Order the changes that a complete report of a runner calls for."""
        tasks = list(runner.tasks.values())
        self._state.interference.observe(tasks)
        for adjustment in throttling.choose_adjustments(
            tasks, self._state.interference, now
        ):
            task = adjustment.task
            if adjustment.move and task.spec.checkpointing:
                self._state.log_event(
                    'filler moved', task=task.name, node=runner.name
                )
                task.avoided_instance = runner.name
                self._state.stop(task, now)
                continue
            if adjustment.percent == task.throttle_percent:
                continue
            self._state.durations.advance(task, now)
            task.throttle_percent, task.throttled_at = adjustment.percent, now
            if adjustment.percent > throttling.STALLED_PERCENT:
                task.not_stalled_at = now
            order = messages.ThrottleRun(
                runner.token, task.name, task.attempt, adjustment.percent
            )
            self._state.immediate.append(
                effects.SendToAgent(runner.name, runner.token, order)
            )
            self._state.log_event(
                'filler paced',
                task=task.name,
                node=runner.name,
                percent=adjustment.percent,
                pressure=round(throttling.infer_pressure(tasks), 2),
            )

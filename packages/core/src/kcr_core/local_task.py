"""Define what a home holds of one epoch of a task."""

import dataclasses
import enum

from kcr_core import messages
from kcr_core import resources
from kcr_core import types


# Longest checkpoint that is reported, in characters: reports of many tasks
# go into one record of the log. A longer one is dropped for the older one.
MAX_CHECKPOINT = 64 * 1024
# Longest result text that is reported, in characters.
MAX_DETAIL = 4096


class Phase(enum.Enum):
    """Tell how far an epoch has come at its home."""

    # Assigned; not started.
    WAITING = 'waiting'
    # The start was sent, and its effect is not known yet.
    STARTING = 'starting'
    # The worker confirmed that it runs.
    RUNNING = 'running'
    # Checkpoint and stop were asked for.
    STOPPING = 'stopping'
    # The worker confirmed the end, or the epoch never started.
    ENDED = 'ended'


# Phases in which the worker may run the epoch.
ALIVE = (Phase.STARTING, Phase.RUNNING, Phase.STOPPING)


@dataclasses.dataclass(slots=True)
class LocalTask:
    """Hold the state of one epoch."""

    # The task.
    spec: types.TaskSpec
    # The epoch.
    epoch: int
    # Checkpoint to resume from, later the last one known.
    checkpoint: str
    # Time of the assignment.
    assigned_at: float
    # How far it has come.
    phase: Phase = Phase.WAITING
    # Time of the last start.
    started_at: float = 0.0
    # Mark of the last confirmed change, to recognise older listings.
    sequence: int = 0
    # Controller epoch of the start command.
    start_controller_epoch: int = 0
    # Whether the start command got no answer.
    unconfirmed: bool = False
    # Time before which the start is not tried again.
    retry_at: float = 0.0
    # Why it is to be stopped; empty when it is not.
    stop_reason: str = ''
    # Time of the last stop command.
    stop_sent_at: float = 0.0
    # Reservation that fits the measurements; none before the first.
    target: types.Demand | None = None
    # Measurements taken of this epoch.
    samples: int = 0
    # Time of the last renewal that was sent.
    renewed_at: float = 0.0
    # Reservation in a renewal without answer yet.
    pending_renewal: types.Demand | None = None
    # Share of full speed that the worker is told.
    share: float = 1.0
    # Mark of the last throttle, to recognise older listings.
    share_sequence: int = 0
    # Report of the end.
    report: messages.Finished | messages.Evicted | None = None
    # Time at which the report was sent last.
    reported_at: float = 0.0
    # Reason for waiting that was reported last.
    wait_reason: str = ''
    # Whether the worker keeps the ended epoch.
    kept_by_worker: bool = False

    @property
    def holder(self) -> resources.Holder:
        """Return the key and the epoch."""
        return (self.spec.key, self.epoch)

    def is_alive(self) -> bool:
        """Tell whether the worker may run the epoch."""
        return self.phase in ALIVE


def infer_report(
    held: LocalTask, state: str, checkpoint: str, detail: str
) -> messages.Finished | messages.Evicted:
    """Return the report for an epoch that the worker ended or lost."""
    key, epoch = held.holder
    detail = detail[:MAX_DETAIL]
    if state == 'done':
        return messages.Finished(key, epoch, 'done', detail)
    if state == 'failed':
        return messages.Finished(key, epoch, 'failed', detail)
    last = checkpoint or held.checkpoint
    if len(last) > MAX_CHECKPOINT:
        last = held.checkpoint
    if state == 'lost' and not held.stop_reason:
        if not held.spec.restartable:
            return messages.Finished(
                key, epoch, 'unknown', 'the worker lost the task'
            )
        return messages.Evicted(key, epoch, last, 'the worker lost the task')
    reason = held.stop_reason or 'the task lease lapsed'
    return messages.Evicted(key, epoch, last, reason)

"""Define the state that a home keeps for one epoch of a task.

The home is the sidecar incarnation that the log assigns the epoch to.
`task_home` and `task_control` own and change this state.
"""

import dataclasses
import enum

from kcr_core import messages
from kcr_core import resources
from kcr_core import types


# Longest checkpoint that is reported, in characters: reports of many tasks
# go into one record of the log. Instead of a longer one, the previous one is
# reported.
MAX_CHECKPOINT_CHARS = 64 * 1024
# Longest result text that is reported, in characters.
MAX_DETAIL_CHARS = 4096


class Phase(enum.Enum):
    """Name the phase of an epoch at its home."""

    # Assigned; not started.
    WAITING = 'waiting'
    # The start command was sent; its effect is unknown so far.
    STARTING = 'starting'
    # The worker confirmed that it runs.
    RUNNING = 'running'
    # The stop command was sent.
    STOPPING = 'stopping'
    # The worker confirmed the end, or the epoch never started.
    ENDED = 'ended'


# Phases in which the worker may run the epoch.
ALIVE_PHASES = (Phase.STARTING, Phase.RUNNING, Phase.STOPPING)


@dataclasses.dataclass(slots=True)
class LocalTask:
    """Represent one epoch of a task at its home."""

    spec: types.TaskSpec
    epoch: int
    # Checkpoint to resume from; empty for none.
    checkpoint: str
    # Time of the assignment.
    assigned_at: float
    phase: Phase = Phase.WAITING
    # Time of the last start.
    started_at: float = 0.0
    # Sequence number of the last confirmed change; a listing with a lower one
    # is older.
    sequence: int = 0
    # Controller epoch of the start command.
    start_controller_epoch: int = 0
    # Whether the effect of the start command is unknown.
    unconfirmed: bool = False
    # Earliest time of the next start.
    retry_at: float = 0.0
    # Why it is being stopped; empty if it is not.
    stop_reason: str = ''
    # Time of the last stop command.
    stop_sent_at: float = 0.0
    # Reservation that the measurements require; none before the first one.
    target: types.Demand | None = None
    # Number of measurements at full speed.
    samples: int = 0
    # Time at which the last renewal was sent.
    renewed_at: float = 0.0
    # Reservation in a renewal that has no reply yet.
    pending_renewal: types.Demand | None = None
    # Requested share of full speed.
    share: float = 1.0
    # Sequence number of the last throttle command; a listing with a lower one
    # is older.
    share_sequence: int = 0
    # Report of the end.
    report: messages.Finished | messages.Evicted | None = None
    # Time at which the report was last sent.
    reported_at: float = 0.0
    # Last reported reason for waiting.
    wait_reason: str = ''
    # Whether the worker still lists the ended epoch.
    listed_by_worker: bool = False

    @property
    def holder(self) -> resources.Holder:
        """Return the key and the epoch."""
        return (self.spec.key, self.epoch)

    def is_alive(self) -> bool:
        """Return whether the worker may run the epoch."""
        return self.phase in ALIVE_PHASES


def infer_report(
    local: LocalTask, state: str, checkpoint: str, detail: str
) -> messages.Finished | messages.Evicted:
    """Return the final report of an epoch that ended or was lost.

    `state` is the state at the worker; `lost` if the epoch is not listed.
    """
    key, epoch = local.holder
    detail = detail[:MAX_DETAIL_CHARS]
    if state == 'done':
        return messages.Finished(key, epoch, 'done', detail)
    if state == 'failed':
        return messages.Finished(key, epoch, 'failed', detail)
    last = checkpoint or local.checkpoint
    if len(last) > MAX_CHECKPOINT_CHARS:
        last = local.checkpoint
    if state == 'lost' and not local.stop_reason:
        if not local.spec.restartable:
            return messages.Finished(
                key, epoch, 'unknown', 'the worker lost the task'
            )
        return messages.Evicted(key, epoch, last, 'the worker lost the task')
    reason = local.stop_reason or 'the task lease lapsed'
    return messages.Evicted(key, epoch, last, reason)

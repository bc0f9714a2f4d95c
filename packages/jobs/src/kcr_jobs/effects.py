"""Define the effects that the controller returns to the owner task.

The controller does no I/O: it lists effects, and the scheduler's owner task
carries them out. An effect in `Controller.deferred` is carried out once all
records that were written before it are durable, one in
`Controller.immediate` at once.
"""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class SendToAgent:
    """Send a message to the agent of an instance under its current lease."""

    # Name of the instance.
    instance: str
    # Token of the lease; the message is dropped if it is not current.
    token: int
    # The message.
    msg: typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class ConfirmEnds:
    """Confirm to a runner that its ended runs are durable up to a number."""

    # Name of the instance.
    instance: str
    # Token of the lease.
    token: int
    # Number of the last recorded end.
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class FinalizeJob:
    """Make the end of a job visible to callers."""

    job_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Reply to a caller's request."""

    # Destination that the owner task gave with the request; the controller
    # only passes it on.
    ref: typing.Any
    # Outcome, as in messages.JobReply.
    outcome: str
    # State of the job, or reason of a refusal.
    detail: str = ''
    # Number of pending jobs, or milliseconds until a retry.
    number: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RequestAdvice:
    """Request tickets from the adviser: which runners may run a step."""

    # Name of the step: job id, occurrence and step, joined by dots.
    step: str
    # Id and incarnation of each runner in question.
    runners: tuple[tuple[str, str], ...]
    # Number in the ownership, and how long to wait for the reply.
    number: int = 0
    timeout_s: float = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class TrimLog:
    """Delete the records before a snapshot that is complete and durable."""

    # Number of the snapshot in this ownership.
    number: int


Effect = (
    SendToAgent | ConfirmEnds | FinalizeJob | Reply | RequestAdvice | TrimLog
)

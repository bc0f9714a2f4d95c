"""Define what the controller asks its owner task to do.

An effect marked as durable-only is carried out after every record that was
written before it is stored.
"""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class SendToAgent:
    """Send a message to the agent of a node under its current lease."""

    # Name of the node.
    instance: str
    # Token of the lease; the message is dropped if it is not current.
    token: int
    # The message.
    msg: typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class ConfirmEnds:
    """Move the cursor of a runner's ends."""

    # Name of the node.
    instance: str
    # Token of the lease.
    token: int
    # Last end that is taken note of.
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class FinalizeJob:
    """Let callers see the end of a job."""

    # The job.
    job_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Answer a call of a caller."""

    # Where the answer goes: session task or local address.
    ref: typing.Any
    # Outcome, as in messages.JobReply.
    outcome: str
    # State or reason.
    detail: str = ''
    # Count, or milliseconds until a retry.
    number: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RequestAdvice:
    """Ask which runners may run a step."""

    # Name of the step.
    step: str
    # Lives of the runners that are asked about, by runner id.
    runners: tuple[tuple[str, str], ...]


Effect = SendToAgent | ConfirmEnds | FinalizeJob | Reply | RequestAdvice

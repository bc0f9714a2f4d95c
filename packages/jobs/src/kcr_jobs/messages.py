"""Define the messages between the processes that schedule jobs."""

import dataclasses
import typing

import annotated_types

from kcr_core import message_base
from kcr_core import types as core_types
from kcr_jobs import types

Id = core_types.Id
Count = core_types.Count
Text = typing.Annotated[str, annotated_types.MaxLen(4096)]
# Largest configuration passed between entries, in bytes.
MAX_CONFIG_BYTES = 1024 * 1024


@message_base.message('job_pulse')
@dataclasses.dataclass(frozen=True, slots=True)
class Pulse:
    """Tell a peer who owns the jobs and how fresh the sender's view is."""

    # Highest epoch that the sender knows.
    epoch: Count
    # Address of its owner; empty for none.
    owner: Text
    # Whether the sender is that owner.
    leading: bool
    # Age of the sender's last good answer of the store; -1 for none.
    store_age_ms: int
    # Version of the sender's configuration; 0 for none.
    version: Count
    # Rank of the sender as an owner; lower is better.
    rank: tuple[int, str]
    # Addresses of the entries that it knows.
    entries: tuple[Text, ...] = ()


@message_base.message('job_resign')
@dataclasses.dataclass(frozen=True, slots=True)
class Resign:
    """Ask a peer to claim the ownership that the sender gives up."""

    # Epoch that ends.
    epoch: Count


@message_base.message('config_request')
@dataclasses.dataclass(frozen=True, slots=True)
class ConfigRequest:
    """Ask a peer for its configuration."""


@message_base.message('config_offer')
@dataclasses.dataclass(frozen=True, slots=True)
class ConfigOffer:
    """Pass on a configuration as the store holds it."""

    # Version of the configuration.
    version: Count
    # Its text.
    body: typing.Annotated[bytes, annotated_types.MaxLen(MAX_CONFIG_BYTES)]


@message_base.message('job_call')
@dataclasses.dataclass(frozen=True, slots=True)
class JobCall:
    """Pass a caller's request to the owner."""

    # Token that the reply repeats.
    token: Text
    # What is asked: submit, cancel, state or pending.
    verb: Text
    # Queue of the request.
    queue: Text
    # Job of the request; empty for pending.
    job_id: Text = ''
    # The job to submit.
    spec: types.JobSpec | None = None


@message_base.message('job_reply')
@dataclasses.dataclass(frozen=True, slots=True)
class JobReply:
    """Answer a JobCall."""

    # Token of the call.
    token: Text
    # accepted, refused, known, unknown_job, cancelled or not_owner.
    outcome: Text
    # State of the job, or the reason of a refusal.
    detail: Text = ''
    # Number of pending jobs, or milliseconds until a retry makes sense.
    number: int = 0


@message_base.message('owner_query')
@dataclasses.dataclass(frozen=True, slots=True)
class OwnerQuery:
    """Ask an entry who owns the jobs."""


@message_base.message('owner_is')
@dataclasses.dataclass(frozen=True, slots=True)
class OwnerReply:
    """Name the owner and the entries."""

    # Epoch of the owner; 0 for none.
    epoch: Count
    # Address of the owner; empty for none.
    owner: Text
    # Addresses of the entries.
    entries: tuple[Text, ...] = ()


@message_base.message('attach')
@dataclasses.dataclass(frozen=True, slots=True)
class Attach:
    """Ask the owner for a lease on a runner."""

    # Instance of the runner.
    node: Id
    # What the runner says of itself.
    info: types.RunnerInfo


@message_base.message('lease')
@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """Grant a lease on a runner; orders of older leases are void."""

    # Epoch of the owner.
    epoch: Count
    # Fencing token of the lease.
    token: Count


@message_base.message('runner_report')
@dataclasses.dataclass(frozen=True, slots=True)
class RunnerReport:
    """Report what runs and what has ended on a runner."""

    # Token of the lease.
    token: Count
    # Number of the report in this lease.
    seq: Count
    # What the runner says of itself.
    info: types.RunnerInfo
    # Whether `running` and `ended` are the complete lists.
    complete: bool
    # Everything that runs.
    running: tuple[types.RunRow, ...]
    # Ends that the owner has not confirmed.
    ended: tuple[types.EndRow, ...]
    # Number of the last start order that has arrived.
    orders: Count = 0
    # Tasks whose start is under way at the runner.
    unanswered: tuple[Text, ...] = ()


@message_base.message('runner_report_ack')
@dataclasses.dataclass(frozen=True, slots=True)
class RunnerReportAck:
    """Confirm a report and prolong the lease."""

    # Token of the lease.
    token: Count
    # Number of the report.
    seq: Count
    # How long the lease holds from the sending of the report.
    lease_ms: Count
    # Last end of the runner that is durable.
    cursor: Count


@message_base.message('start_run')
@dataclasses.dataclass(frozen=True, slots=True)
class StartRun:
    """Order the start of an attempt."""

    # Token of the lease.
    token: Count
    # Number of the order in this lease, from 1.
    number: Count
    # Life of the runner that the start is meant for.
    life: Text
    # Name of the task.
    task: Text
    # Attempt.
    attempt: Count
    # Text of the job.
    payload: types.Payload
    # Checkpoint to resume from; empty for none.
    saved: Text = ''
    # Ticket of the runner for the step; empty where none is needed.
    ticket: Text = ''
    # Share at which it works from the start, in percent.
    percent: Count = 100


@message_base.message('stop_run')
@dataclasses.dataclass(frozen=True, slots=True)
class StopRun:
    """Order the stop of an attempt."""

    # Token of the lease.
    token: Count
    # Name of the task.
    task: Text
    # Attempt.
    attempt: Count


@message_base.message('pace_run')
@dataclasses.dataclass(frozen=True, slots=True)
class ThrottleRun:
    """Order the share at which a task works."""

    # Token of the lease.
    token: Count
    # Name of the task.
    task: Text
    # Attempt.
    attempt: Count
    # Share in percent.
    percent: Count

"""Define the messages between the processes that schedule jobs.

Schedulers exchange pulses, configurations and forwarded requests; the agent
of each runner exchanges reports and orders with the scheduler that owns the
jobs. The tags and field names are sent on the wire.
"""

import dataclasses
import typing

import annotated_types

from kcr_core import message_base
from kcr_core import types as core_types
from kcr_jobs import types

Id = core_types.Id
Count = core_types.Count
Int = core_types.Int
Text = typing.Annotated[str, annotated_types.MaxLen(4096)]
# Largest configuration passed between schedulers, in bytes.
MAX_CONFIG_BYTES = 1024 * 1024


@message_base.message('job_pulse')
@dataclasses.dataclass(frozen=True, slots=True)
class Pulse:
    """Inform a peer of the owner of the jobs and of the sender's state."""

    # Highest epoch that the sender has received.
    epoch: Count
    # Address of its owner; empty for none.
    owner: Text
    # Whether the sender is that owner.
    leading: bool
    # Age of the store's last good answer to the sender; -1 for none.
    store_age_ms: Int
    # Version of the sender's configuration; 0 for none.
    version: Count
    # Rank of the sender as an owner; the lowest value claims first.
    rank: tuple[Int, Text]
    # Addresses of the schedulers that it has discovered; empty if they are the
    # same as in the last pulse with addresses.
    entries: tuple[Text, ...] = ()
    # Number of records that the sender has read for a claim; -1 for none.
    claiming: Int = -1
    # Offset up to which the sender's view of the evacuated zones was read, -1
    # for no view; the zones; and the generation of the topic.
    evacuation_offset: Int = -1
    evacuated_zones: tuple[Text, ...] = ()
    evacuation_generation: Count = 0


@message_base.message('job_resign')
@dataclasses.dataclass(frozen=True, slots=True)
class Resign:
    """Request a peer to claim the ownership that the sender gives up."""

    # Epoch of the sender's ownership.
    epoch: Count


@message_base.message('config_request')
@dataclasses.dataclass(frozen=True, slots=True)
class ConfigRequest:
    """Request the configuration of a peer."""


@message_base.message('config_offer')
@dataclasses.dataclass(frozen=True, slots=True)
class ConfigOffer:
    """Send a configuration as it is in the store."""

    # Version of the configuration.
    version: Count
    # Its encoded text.
    body: typing.Annotated[bytes, annotated_types.MaxLen(MAX_CONFIG_BYTES)]


@message_base.message('job_call')
@dataclasses.dataclass(frozen=True, slots=True)
class JobCall:
    """Forward a caller's request to the owner."""

    # Token that the reply repeats.
    token: Text
    # Kind of request: submit, cancel, state or pending.
    verb: Text
    # Queue of the request.
    queue: Text
    # Id of the job; empty for pending.
    job_id: Text = ''
    # The job to submit; none for other verbs.
    spec: types.JobSpec | None = None
    # Base URL of a cancel for which the scheduler has no route; else empty.
    base_url: types.BaseUrl = ''


@message_base.message('job_reply')
@dataclasses.dataclass(frozen=True, slots=True)
class JobReply:
    """Reply to a JobCall."""

    # Token of the call.
    token: Text
    # accepted, refused, known, unknown_job, cancelled, no_route or not_owner.
    outcome: Text
    # State of the job, or the reason of a refusal.
    detail: Text = ''
    # Number of pending jobs, or milliseconds until a retry.
    number: Int = 0


@message_base.message('owner_query')
@dataclasses.dataclass(frozen=True, slots=True)
class OwnerQuery:
    """Query a scheduler for the owner of the jobs."""


@message_base.message('owner_is')
@dataclasses.dataclass(frozen=True, slots=True)
class OwnerReply:
    """Reply with the owner of the jobs and the schedulers."""

    # Epoch of the owner; 0 for none.
    epoch: Count
    # Address of the owner; empty for none.
    owner: Text
    # Addresses of the schedulers.
    entries: tuple[Text, ...] = ()


@message_base.message('attach')
@dataclasses.dataclass(frozen=True, slots=True)
class Attach:
    """Request a lease on a runner from the owner."""

    # Instance of the runner.
    node: Id
    # Self-description of the runner.
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
    # Self-description of the runner.
    info: types.RunnerInfo
    # Whether `running` and `ended` are the complete lists, with the parts
    # before this one. Tasks may be missing in the lists of other reports.
    complete: bool
    # The running tasks; empty in a report of new ends only.
    running: tuple[types.ReportedRun, ...]
    # Ended runs that the owner has not confirmed.
    ended: tuple[types.ReportedEnd, ...]
    # Number of the last start order that has arrived.
    orders: Count = 0
    # Tasks whose start the runner has not answered yet.
    unanswered: tuple[Text, ...] = ()
    # Number of this part of a complete list, from 1; 0 if the list is not in
    # parts. Only the last part is complete.
    part: Count = 0
    # Whether a deregistration arrived after the last heartbeat. It may be that
    # of an earlier incarnation, so the running tasks stay, but the runner gets
    # no starts.
    deregistered: bool = False
    # Whether the runner has not answered under this lease, and each deadline
    # that it was given under older ones has passed: it has ended all its runs.
    expired: bool = False


@message_base.message('runner_report_ack')
@dataclasses.dataclass(frozen=True, slots=True)
class RunnerReportAck:
    """Confirm a report and extend the lease."""

    # Token of the lease.
    token: Count
    # Number of the report.
    seq: Count
    # Duration of the lease from the sending of the report; 0 if the report
    # does not extend it.
    lease_ms: Count
    # Number of the last ended run whose record is durable; the runner may
    # drop the ended runs up to it.
    cursor: Count
    # Whether the runner gets no starts, as its zone is evacuated; unanswered
    # starts are given up.
    starts_closed: bool = False


@message_base.message('start_run')
@dataclasses.dataclass(frozen=True, slots=True)
class StartRun:
    """Order the start of an attempt."""

    # Token of the lease.
    token: Count
    # Number of the order in this lease, from 1.
    number: Count
    # Incarnation of the runner that the start is meant for.
    life: Text
    # Name of the task.
    task: Text
    # Number of the attempt.
    attempt: Count
    # Payload of the job.
    payload: types.Payload
    # Checkpoint to resume from; empty for none.
    saved: Text = ''
    # Ticket of the runner for the step; empty where none is required.
    ticket: Text = ''
    # Share of its processors that it may use from the start, in percent.
    percent: Count = 100


@message_base.message('stop_run')
@dataclasses.dataclass(frozen=True, slots=True)
class StopRun:
    """Order the stop of an attempt."""

    # Token of the lease.
    token: Count
    # Name of the task.
    task: Text
    # Number of the attempt.
    attempt: Count


@message_base.message('pace_run')
@dataclasses.dataclass(frozen=True, slots=True)
class ThrottleRun:
    """Order the share of its processors that a task may use."""

    # Token of the lease.
    token: Count
    # Name of the task.
    task: Text
    # Number of the attempt.
    attempt: Count
    # Share in percent.
    percent: Count

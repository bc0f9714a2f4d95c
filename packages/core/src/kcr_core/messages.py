"""Define the messages between entries, sidecars and the command line.

The classes are plain data; the runtime's codec validates and encodes them.
"""

import dataclasses
import typing

from kcr_core import message_base
from kcr_core import types


@message_base.message('endpoint_state')
@dataclasses.dataclass(frozen=True, slots=True)
class EndpointState:
    """Announce the full state of an endpoint, once per connection."""

    # Service that the runner serves.
    service: types.Id
    # What the instance offers in all.
    capacity: types.Capacity
    # Epoch of the worker's controller lease.
    controller_epoch: types.Count
    # Tasks that the worker runs now.
    running: tuple[types.RunningTask, ...] = ()


@message_base.message('heartbeat')
@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Report what changed at an endpoint and ask for a vouch."""

    # Number of the heartbeat on this connection.
    seq: types.Count
    # Document revision of the sidecar.
    revision: types.Count
    # Requests in the runner, from all entries.
    active: types.Count
    # Slots granted to this entry for late binding, with those that its
    # attempts use now.
    granted: types.Count
    # Resources that are not reserved.
    free: types.Demand
    # Tasks that are assigned and wait for room.
    waiting: types.Count = 0
    # Recent median service time.
    latency_ms: types.Quantity = 0.0
    # Whether the endpoint is leaving.
    draining: bool = False


@message_base.message('heartbeat_ack')
@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatAck:
    """Answer a heartbeat; it is the entry's vouch for the sidecar."""

    # Number of the heartbeat that is answered.
    seq: types.Count
    # Document revision of the entry.
    revision: types.Count
    # Age of the entry's view of the log in ms; -1 when it is not fresh.
    log_age_ms: int
    # Whether the log holds a fence for this incarnation.
    fenced: bool = False
    # Addresses of the entries that the sender knows in the region.
    entries: tuple[str, ...] = ()


@message_base.message('control')
@dataclasses.dataclass(frozen=True, slots=True)
class Control:
    """Give a sidecar the part of the document that it follows."""

    # Revision of the document.
    revision: types.Count
    # Settings of that revision.
    settings: types.ControlSettings


@message_base.message('leaving')
@dataclasses.dataclass(frozen=True, slots=True)
class Leaving:
    """Say that the sender takes no new work."""

    # Why it leaves.
    reason: message_base.Reason


@message_base.message('execute')
@dataclasses.dataclass(frozen=True, slots=True)
class Execute:
    """Ask an endpoint to run one attempt of a request."""

    # Id of the attempt, never used again.
    attempt: types.Id
    # Key of the request, `caller/id`.
    request: str
    # Service that is asked for.
    service: types.Id
    # Time left until the caller's deadline, in ms, when sent.
    budget_ms: types.Count
    # Whether the request may run more than once.
    idempotent: bool
    # Body of the request.
    body: message_base.Body


@message_base.message('executed')
@dataclasses.dataclass(frozen=True, slots=True)
class Executed:
    """Return the whole answer to one attempt."""

    # Attempt that is answered.
    attempt: types.Id
    # Status code of the runner.
    status: types.Count
    # Number of bytes of the body that the runner announced.
    length: types.Count
    # Body of the answer.
    body: message_base.Body


@message_base.message('refused')
@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Prove that one attempt has not run and never will at this endpoint."""

    # Attempt that is refused.
    attempt: types.Id
    # Why it is refused.
    reason: message_base.Reason
    # Whether the runner is at fault, not the load or the request.
    fault: bool = False


@message_base.message('failed')
@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """Report an attempt that reached the runner and has no whole answer."""

    # Attempt that failed.
    attempt: types.Id
    # What went wrong.
    reason: message_base.Reason


@message_base.message('assign')
@dataclasses.dataclass(frozen=True, slots=True)
class Assign:
    """Give a task to its home under a record of the log."""

    # The task.
    spec: types.TaskSpec
    # Epoch of the record.
    epoch: types.Count
    # Incarnation that the record names.
    incarnation: types.Id
    # Checkpoint to resume from; empty for none.
    checkpoint: str = ''


@message_base.message('stop_task')
@dataclasses.dataclass(frozen=True, slots=True)
class StopTask:
    """Ask a home to stop a task that was cancelled."""

    # Key of the task.
    task: str
    # Epoch to stop.
    epoch: types.Count


@message_base.message('started')
@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """Report that a task runs."""

    # Key of the task.
    task: str
    # Epoch that runs.
    epoch: types.Count


@message_base.message('evicted')
@dataclasses.dataclass(frozen=True, slots=True)
class Evicted:
    """Report that an epoch has stopped for good before its end."""

    # Key of the task.
    task: str
    # Epoch that stopped.
    epoch: types.Count
    # Checkpoint to resume from; empty for none.
    checkpoint: str
    # Why it was evicted.
    reason: message_base.Reason


@message_base.message('finished')
@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """Report the end of a task; repeated until acknowledged."""

    # Key of the task.
    task: str
    # Epoch that ended.
    epoch: types.Count
    # `done`, `failed` or `unknown`.
    outcome: typing.Literal['done', 'failed', 'unknown']
    # Result or failure text of the worker.
    detail: str = ''


@message_base.message('report_ack')
@dataclasses.dataclass(frozen=True, slots=True)
class ReportAck:
    """Confirm that a report of a task is durable in the log."""

    # Key of the task.
    task: str
    # Epoch of the report.
    epoch: types.Count


@message_base.message('task_wait')
@dataclasses.dataclass(frozen=True, slots=True)
class TaskWait:
    """Report why an assigned task waits at its home."""

    # Key of the task.
    task: str
    # Epoch that waits.
    epoch: types.Count
    # The reason.
    reason: message_base.Reason


@message_base.message('heard_query')
@dataclasses.dataclass(frozen=True, slots=True)
class HeardQuery:
    """Ask another entry whether it hears a sidecar."""

    # Instance in question.
    instance: types.Id
    # Incarnation in question.
    incarnation: types.Id


@message_base.message('heard_reply')
@dataclasses.dataclass(frozen=True, slots=True)
class HeardReply:
    """Say how long ago an entry heard a sidecar."""

    # Instance in question.
    instance: types.Id
    # Incarnation in question.
    incarnation: types.Id
    # Age of the last heartbeat in ms; -1 when never heard.
    age_ms: int


@message_base.message('peer_heartbeat')
@dataclasses.dataclass(frozen=True, slots=True)
class PeerHeartbeat:
    """Keep a connection between two entries and compare revisions."""

    # Number of the heartbeat.
    seq: types.Count
    # Document revision of the sender.
    revision: types.Count
    # Age of the sender's view of the log in ms; -1 when not fresh.
    log_age_ms: int
    # Addresses of entries that the sender knows.
    entries: tuple[str, ...] = ()


@message_base.message('document_request')
@dataclasses.dataclass(frozen=True, slots=True)
class DocumentRequest:
    """Ask a peer for its document if it is newer."""

    # Revision that the sender has.
    revision: types.Count
    # Environment of the sender.
    environment: str = ''


@message_base.message('document_offer')
@dataclasses.dataclass(frozen=True, slots=True)
class DocumentOffer:
    """Give a peer the document in force."""

    # Revision of the document.
    revision: types.Count
    # Digest of the text.
    digest: str
    # Text of the document.
    text: str
    # Environment in which it is in force.
    environment: str = ''
    # Whether the environment is a production environment.
    production: bool = False


@message_base.message('outcome_query')
@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeQuery:
    """Ask the winner of a claim what became of the request."""

    # Key of the request.
    request: str
    # Token that the reply repeats.
    token: types.Id


@message_base.message('outcome_reply')
@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeReply:
    """Say what became of a claimed request."""

    # Token of the query.
    token: types.Id
    # `running`, `done`, `not_run` or `unknown`.
    state: typing.Literal['running', 'done', 'not_run', 'unknown']
    # Status of the answer when done.
    status: types.Count = 0
    # Body of the answer when done.
    body: message_base.Body = b''


@message_base.message('dump_request')
@dataclasses.dataclass(frozen=True, slots=True)
class DumpRequest:
    """Ask a process for a dump of its state."""

    # Token that the reply repeats.
    token: types.Id


@message_base.message('dump_reply')
@dataclasses.dataclass(frozen=True, slots=True)
class DumpReply:
    """Carry a dump as JSON text."""

    # Token of the request.
    token: types.Id
    # Dump as JSON.
    text: str

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
    """Announce the state of an endpoint that heartbeats do not carry.

    Sent when a connection opens, and again once the worker has listed its
    tasks.
    """

    # Service that the runner serves.
    service: types.Id
    # Resources that the instance offers in total.
    capacity: types.Capacity
    # Epoch of the worker's controller lease; 0 before the worker has listed
    # its tasks, when `running` means nothing.
    controller_epoch: types.Count
    # Tasks that the worker runs now.
    running: tuple[types.RunningTask, ...] = ()


@message_base.message('heartbeat')
@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Report the load of an endpoint and request a renewal of authority."""

    # Number of the heartbeat on this connection.
    seq: types.Count
    # Document revision that the sidecar follows.
    revision: types.Count
    # Number of requests of all entries in the runner.
    active: types.Count
    # Slots granted to this entry for late binding, including those that its
    # attempts use now.
    granted: types.Count
    # Resources that are not reserved.
    free: types.Demand
    # Number of assigned tasks that wait for free resources.
    waiting: types.Count = 0
    # Moving average of the service time, in ms; 0 for none.
    latency_ms: types.Quantity = 0.0
    # Whether the endpoint takes no new work.
    draining: bool = False


@message_base.message('heartbeat_ack')
@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatAck:
    """Acknowledge a heartbeat; it renews the sidecar's authority."""

    # Number of the heartbeat that is acknowledged.
    seq: types.Count
    # Document revision that the entry follows.
    revision: types.Count
    # Age of the entry's view of the log in ms; -1 if it is not fresh.
    log_age_ms: types.Int
    # Whether the log contains a fence for this incarnation.
    fenced: bool = False
    # Addresses of the entries in the region, as far as the sender has them.
    entries: tuple[str, ...] = ()


@message_base.message('control')
@dataclasses.dataclass(frozen=True, slots=True)
class Control:
    """Send a sidecar the settings that it follows."""

    # Revision of the document.
    revision: types.Count
    # Settings from the document.
    settings: types.ControlSettings


@message_base.message('leaving')
@dataclasses.dataclass(frozen=True, slots=True)
class Leaving:
    """Announce that the sender takes no new work."""

    # Reason for the log of the receiver.
    reason: message_base.Reason


@message_base.message('execute')
@dataclasses.dataclass(frozen=True, slots=True)
class Execute:
    """Request that an endpoint runs one attempt of a request."""

    # Id of the attempt, which is never reused.
    attempt: types.Id
    # Key of the request, `caller/id`.
    request: str
    # Requested service.
    service: types.Id
    # Time until the caller's deadline when the message was sent, in ms.
    budget_ms: types.Count
    # Whether the request may run more than once.
    idempotent: bool
    # Body of the request.
    body: message_base.Body


@message_base.message('executed')
@dataclasses.dataclass(frozen=True, slots=True)
class Executed:
    """Return the complete answer to one attempt."""

    # Attempt that is answered.
    attempt: types.Id
    # Status code of the runner.
    status: types.Count
    # Length of the body in bytes, as announced by the runner.
    length: types.Count
    # Body of the answer.
    body: message_base.Body


@message_base.message('refused')
@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Confirm that one attempt has not run and never will at this endpoint."""

    # Attempt that is refused.
    attempt: types.Id
    # Reason for the refusal.
    reason: message_base.Reason
    # Whether the runner is at fault, rather than the load or the request.
    fault: bool = False


@message_base.message('failed')
@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """Report an attempt that reached the runner but got no complete answer."""

    # Attempt that failed.
    attempt: types.Id
    # Description of the failure.
    reason: message_base.Reason


@message_base.message('assign')
@dataclasses.dataclass(frozen=True, slots=True)
class Assign:
    """Assign a task to its home, as recorded in the log."""

    # Task to run.
    spec: types.TaskSpec
    # Epoch of the record.
    epoch: types.Count
    # Incarnation of the sidecar in the record.
    incarnation: types.Id
    # Checkpoint to resume from; empty for none.
    checkpoint: str = ''


@message_base.message('stop_task')
@dataclasses.dataclass(frozen=True, slots=True)
class StopTask:
    """Request that a home stops a task that was cancelled."""

    # Key of the task.
    task: str
    epoch: types.Count


@message_base.message('started')
@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """Report that a task was started."""

    # Key of the task.
    task: str
    # Epoch that was started.
    epoch: types.Count


@message_base.message('evicted')
@dataclasses.dataclass(frozen=True, slots=True)
class Evicted:
    """Report that an epoch has stopped before the end of the task."""

    # Key of the task.
    task: str
    # Epoch that stopped.
    epoch: types.Count
    # Checkpoint to resume from; empty for none.
    checkpoint: str
    # Reason for the eviction.
    reason: message_base.Reason


@message_base.message('finished')
@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """Report the end of a task; repeated until acknowledged."""

    # Key of the task.
    task: str
    # Epoch that ended.
    epoch: types.Count
    # How the task ended; `unknown` if that is not known.
    outcome: typing.Literal['done', 'failed', 'unknown']
    # Result or failure text from the worker.
    detail: str = ''


@message_base.message('report_ack')
@dataclasses.dataclass(frozen=True, slots=True)
class ReportAck:
    """Acknowledge that a report of a task is durable in the log."""

    # Key of the task.
    task: str
    # Epoch in the report.
    epoch: types.Count


@message_base.message('task_wait')
@dataclasses.dataclass(frozen=True, slots=True)
class TaskWait:
    """Report why an assigned task waits at its home."""

    # Key of the task.
    task: str
    # Epoch that waits.
    epoch: types.Count
    # Reason for the wait.
    reason: message_base.Reason


@message_base.message('heard_query')
@dataclasses.dataclass(frozen=True, slots=True)
class LastMessageQuery:
    """Query a peer for the age of the last message of a sidecar."""

    # Instance of the sidecar.
    instance: types.Id
    # Incarnation of the sidecar.
    incarnation: types.Id


@message_base.message('heard_reply')
@dataclasses.dataclass(frozen=True, slots=True)
class LastMessageReply:
    """Reply with the age of the last message of a sidecar."""

    # Instance of the sidecar.
    instance: types.Id
    # Incarnation of the sidecar.
    incarnation: types.Id
    # Age of the last message in ms; -1 if none was received.
    age_ms: types.Int


@message_base.message('peer_heartbeat')
@dataclasses.dataclass(frozen=True, slots=True)
class PeerHeartbeat:
    """Keep a connection between two entries alive and compare revisions."""

    # Number of the heartbeat.
    seq: types.Count
    # Document revision of the sender.
    revision: types.Count
    # Age of the sender's view of the log in ms; -1 if it is not fresh.
    log_age_ms: types.Int
    # Addresses of entries, as far as the sender has them.
    entries: tuple[str, ...] = ()


@message_base.message('document_request')
@dataclasses.dataclass(frozen=True, slots=True)
class DocumentRequest:
    """Request the document of a peer if it is newer."""

    # Revision that the sender follows.
    revision: types.Count
    # Environment of the sender.
    environment: str = ''


@message_base.message('document_offer')
@dataclasses.dataclass(frozen=True, slots=True)
class DocumentOffer:
    """Send a peer the document in force."""

    # Revision of the document.
    revision: types.Count
    # Digest of the text.
    digest: str
    # Text of the document, packed as in the log; empty if not requested.
    text: str
    # Environment in which it is in force.
    environment: str = ''
    # Whether the environment is a production environment.
    production: bool = False


@message_base.message('outcome_query')
@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeQuery:
    """Query the winner of a claim for the outcome of the request."""

    # Key of the request.
    request: str
    # Token that the reply repeats.
    token: types.Id


@message_base.message('outcome_reply')
@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeReply:
    """Reply with the outcome of a claimed request."""

    # Token of the query.
    token: types.Id
    # Outcome; `not_run` if the request was certainly not run.
    state: typing.Literal['running', 'done', 'not_run', 'unknown']
    # Status code of the answer if the state is `done`.
    status: types.Count = 0
    # Body of the answer if the state is `done`.
    body: message_base.Body = b''


@message_base.message('dump_request')
@dataclasses.dataclass(frozen=True, slots=True)
class DumpRequest:
    """Request a dump of the state of a process."""

    # Token that the reply repeats.
    token: types.Id


@message_base.message('dump_reply')
@dataclasses.dataclass(frozen=True, slots=True)
class DumpReply:
    """Reply with a dump."""

    # Token of the request.
    token: types.Id
    # Dump as JSON text.
    text: str

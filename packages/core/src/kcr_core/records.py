"""Define the items that the system writes to the log.

Readers apply records in offset order, and the first valid item decides. One
record of a stream is a batch of items, so that one append carries many of
them. The runtime validates and encodes the classes; their kinds and fields
are stored in the log.
"""

from collections import abc
import dataclasses
import typing

import annotated_types

from kcr_core import registry
from kcr_core import types

# Stream of documents.
CONFIG_STREAM = 'config'
# Stream of claims. All regions share it, because a caller may repeat a request
# in another region.
CLAIMS_STREAM = 'claims'
# Maximum number of items in one record.
MAX_ITEMS = 2000

RECORDS: registry.Registry[type[typing.Any]] = registry.Registry('record')
# Kind of each record class.
KINDS: dict[type[typing.Any], str] = {}
T = typing.TypeVar('T')


def record(kind: str) -> abc.Callable[[type[T]], type[T]]:
    """Register a record class under its kind in the log."""

    def decorate(cls: type[T]) -> type[T]:
        RECORDS.register(kind)(cls)
        KINDS[cls] = kind
        return cls

    return decorate


def tasks_stream(region: str) -> str:
    """Return the name of the task stream of a region."""
    return f'tasks.{region}'


@record('accepted')
@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """Accept a task; epoch 1 is assigned to `home` if there is one."""

    # The task.
    spec: types.TaskSpec
    # Home of epoch 1; None for a parked task.
    home: types.Home | None
    # Unix time of acceptance in ms.
    at_ms: types.Count
    # Why it is parked; empty with a home.
    reason: str = ''


@record('moved')
@dataclasses.dataclass(frozen=True, slots=True)
class Moved:
    """Assign the next epoch of a task to a home, or park the task."""

    # Key of the task.
    task: str
    # New epoch: the current one plus 1.
    epoch: types.Count
    # New home; None to park the task.
    home: types.Home | None
    # Checkpoint to resume from; empty for none.
    checkpoint: str = ''
    # Reason for the move or for parking.
    reason: str = ''
    # Instance on which the task failed; empty if it did not move for that.
    failed: str = ''


@record('finished')
@dataclasses.dataclass(frozen=True, slots=True)
class FinishedRecord:
    """End a task."""

    # Key of the task.
    task: str
    # Epoch that ended; must be the current one.
    epoch: types.Count
    # How the task ended; `unknown` if that is not known.
    outcome: typing.Literal['done', 'failed', 'unknown']
    # Result or failure text.
    detail: str = ''


@record('cancelled')
@dataclasses.dataclass(frozen=True, slots=True)
class Cancelled:
    """End a task because its caller cancelled it."""

    # Key of the task.
    task: str


@record('restated')
@dataclasses.dataclass(frozen=True, slots=True)
class Restated:
    """Repeat the state of a live task before its older records are trimmed."""

    # The task.
    spec: types.TaskSpec
    # Current epoch.
    epoch: types.Count
    # Home of the current epoch; None for a parked task.
    home: types.Home | None
    # Checkpoint to resume from; empty for none.
    checkpoint: str
    # Unix time of acceptance in ms.
    at_ms: types.Count
    # Why it is parked; empty with a home.
    reason: str = ''
    # Instances on which the task failed.
    failed_on: tuple[str, ...] = ()


@record('fenced')
@dataclasses.dataclass(frozen=True, slots=True)
class Fenced:
    """Revoke the authority of one sidecar incarnation."""

    # Instance of the sidecar.
    instance: types.Id
    # Incarnation that is fenced.
    incarnation: types.Id
    # Time that a reader waits before it moves the tasks of the incarnation.
    wait_s: types.Seconds


@record('claimed')
@dataclasses.dataclass(frozen=True, slots=True)
class Claimed:
    """Claim the right to send a non-idempotent request."""

    # Key of the request, `caller/id`.
    request: str
    # Digest of the content, to detect that another request reuses the id.
    digest: str
    # Incarnation of the claiming entry.
    entry: types.Id
    # Unix time at which the caller issued the request, in ms.
    issued_at_ms: types.Count
    # Unique name of this claim; a release refers to it.
    token: str = ''
    # Time after `issued_at_ms` for which the claim is valid, in ms. The record
    # contains it so that all readers decide alike when the document changes.
    hold_ms: types.Count = 600_000


@record('released')
@dataclasses.dataclass(frozen=True, slots=True)
class Released:
    """Release a claim whose request was never sent."""

    # Key of the request.
    request: str
    # Incarnation of the entry that owns the claim.
    entry: types.Id
    # Token of the claim.
    token: str = ''
    # Unix time until which the claim would have been valid, in ms.
    until_ms: types.Count = 0


@record('tried')
@dataclasses.dataclass(frozen=True, slots=True)
class Tried:
    """Put a document in force in a trial environment."""

    # Name of the trial environment.
    environment: types.Id
    # Revision in force that the operator edited.
    base: types.Count
    # Digest of the text.
    digest: str
    # Text of the document.
    text: str
    # Operator who published the document.
    operator: str = ''


@record('promoted')
@dataclasses.dataclass(frozen=True, slots=True)
class Promoted:
    """Put a document that is in force in trial in force in production."""

    # Name of the production environment.
    environment: types.Id
    # Revision in force in production when the operator promoted.
    base: types.Count
    # Digest of the document in trial.
    digest: str
    # Text of the document, so that this record is sufficient after a trim.
    text: str
    # Operator who promoted the document.
    operator: str = ''
    # Revision in force in trial when the operator promoted.
    tried: types.Count = 0


@record('document_restated')
@dataclasses.dataclass(frozen=True, slots=True)
class DocumentRestated:
    """Repeat a document in force before its record is trimmed.

    One log record restates all environments as they were at `read_to`.
    """

    # Environment of the document.
    environment: types.Id
    # Revision that stays in force.
    revision: types.Count
    # Digest of the text.
    digest: str
    # Text of the document; empty if an earlier item of the record has the same
    # digest.
    text: str
    # Whether the environment is a production environment.
    production: bool = False
    # Offset up to which the writer had read the stream.
    read_to: types.Count = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Represent one record of the log."""

    # Incarnation of the writer.
    writer: types.Id
    # Items in the order in which they are applied.
    items: typing.Annotated[
        tuple[typing.Any, ...], annotated_types.MaxLen(MAX_ITEMS)
    ]

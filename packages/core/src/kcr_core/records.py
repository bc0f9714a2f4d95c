"""Define every record that the system writes to the log.

Readers apply records in offset order; the first valid one decides. A record
of a stream is a batch of items, so that one append carries many of them.
"""

from collections import abc
import dataclasses
import typing

import annotated_types

from kcr_core import registry
from kcr_core import types

# Stream of documents.
CONFIG_STREAM = 'config'
# Stream of claims. It is one for all regions, because a caller may send a
# request again in another region.
CLAIMS_STREAM = 'claims'
# Largest batch in one record.
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
    """Make a task durable; epoch 1 belongs to `home` if one is named."""

    # The task.
    spec: types.TaskSpec
    # Home of epoch 1; none for a parked task.
    home: types.Home | None
    # Unix time of acceptance in ms.
    at_ms: types.Count
    # Why it is parked; empty with a home.
    reason: str = ''


@record('moved')
@dataclasses.dataclass(frozen=True, slots=True)
class Moved:
    """Give the next epoch of a task to a home, or park it."""

    # Key of the task.
    task: str
    # The new epoch: the current one plus 1.
    epoch: types.Count
    # New home; none to park the task.
    home: types.Home | None
    # Checkpoint to resume from; empty for none.
    checkpoint: str = ''
    # Why it moved or is parked.
    reason: str = ''
    # Instance on which the task failed; empty if it moves for other reasons.
    failed: str = ''


@record('finished')
@dataclasses.dataclass(frozen=True, slots=True)
class FinishedRecord:
    """End a task."""

    # Key of the task.
    task: str
    # Epoch that ended; must be the current one.
    epoch: types.Count
    # `done`, `failed` or `unknown`.
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
    """Repeat the state of a live task before its records are trimmed."""

    # The task.
    spec: types.TaskSpec
    # Its current epoch.
    epoch: types.Count
    # Its home.
    home: types.Home | None
    # Its checkpoint.
    checkpoint: str
    # Unix time of acceptance in ms.
    at_ms: types.Count
    # Why it is parked; empty with a home.
    reason: str = ''
    # Instances on which it failed.
    failed_on: tuple[str, ...] = ()


@record('fenced')
@dataclasses.dataclass(frozen=True, slots=True)
class Fenced:
    """Take away the authority of one sidecar incarnation."""

    # Instance of the sidecar.
    instance: types.Id
    # Incarnation that is fenced.
    incarnation: types.Id
    # Time that a reader waits before it moves the tasks.
    wait_s: types.Seconds


@record('claimed')
@dataclasses.dataclass(frozen=True, slots=True)
class Claimed:
    """Claim the right to send a non-idempotent request."""

    # Key of the request, `caller/id`.
    request: str
    # Digest of the content, to detect a second use of the id.
    digest: str
    # Incarnation of the claiming entry.
    entry: types.Id
    # Unix time at which the caller issued the request, in ms.
    issued_at_ms: types.Count
    # Name of this claim, never used again; a release names it.
    token: str = ''
    # Time after `issued_at_ms` for which the claim holds, in ms. It is in
    # the record so that all readers decide alike when the document changes.
    hold_ms: types.Count = 600_000


@record('released')
@dataclasses.dataclass(frozen=True, slots=True)
class Released:
    """Give back a claim whose request was never sent."""

    # Key of the request.
    request: str
    # Incarnation of the entry that held the claim.
    entry: types.Id
    # Name of the claim that is given back.
    token: str = ''
    # Unix time until which the claim would have held, in ms.
    until_ms: types.Count = 0


@record('tried')
@dataclasses.dataclass(frozen=True, slots=True)
class Tried:
    """Put a document in force in the trial environment."""

    # Environment, which is a trial environment.
    environment: types.Id
    # Revision that the document was edited from.
    base: types.Count
    # Digest of the text.
    digest: str
    # Text of the document.
    text: str
    # Who published it.
    operator: str = ''


@record('promoted')
@dataclasses.dataclass(frozen=True, slots=True)
class Promoted:
    """Put the tried document in force in production."""

    # Environment, which is a production environment.
    environment: types.Id
    # Revision in force in production that the operator saw.
    base: types.Count
    # Digest of the tried document.
    digest: str
    # Text of the document, so that one record is enough after a trim.
    text: str
    # Who promoted it.
    operator: str = ''
    # Revision in force in trial that the operator saw.
    tried: types.Count = 0


@record('document_restated')
@dataclasses.dataclass(frozen=True, slots=True)
class DocumentRestated:
    """Repeat the document in force before its record is trimmed.

    One log record restates all environments as they were at `read_to`.
    """

    # Environment of the document.
    environment: types.Id
    # Revision that stays in force.
    revision: types.Count
    # Digest of the text.
    digest: str
    # Text of the document; empty if an item before it has the same digest.
    text: str
    # Whether the environment is a production environment.
    production: bool = False
    # Offset up to which the writer had read the stream.
    read_to: types.Count = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Hold the items of one log record."""

    # Incarnation of the writer.
    writer: types.Id
    # Items in the order in which they are applied.
    items: typing.Annotated[
        tuple[typing.Any, ...], annotated_types.MaxLen(MAX_ITEMS)
    ]

"""Define the queries about documents, and their replies.

The HTTP front end sends the queries for operators to the owner of the
document in force and to the task that tracks the processes.
"""

import dataclasses
import typing

from kcr_core import configuration


@dataclasses.dataclass(frozen=True, slots=True)
class GetDocument:
    """Query the document in force in an environment."""

    # Environment; empty for the entry's own.
    environment: str


@dataclasses.dataclass(frozen=True, slots=True)
class GetHistory:
    """Query the newest verdicts of an environment."""

    # Environment of the verdicts.
    environment: str


@dataclasses.dataclass(frozen=True, slots=True)
class Publish:
    """Request a trial or a promotion."""

    # `trial` for a trial, `production` for a promotion.
    kind: configuration.DocumentKind
    # Environment in which the document is to be in force.
    environment: str
    # Canonical text of a trial; empty for a promotion.
    text: str
    # Digest of the text.
    digest: str
    # Revision that the operator edited; None for the one in force.
    base: int | None
    # Operator who publishes.
    operator: str


@dataclasses.dataclass(frozen=True, slots=True)
class InForceNow:
    """Report that the published document is in force."""

    # Revision of the document.
    revision: int
    # Digest of the document.
    digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """Report that another document is in force and this one will not be."""

    # Reason shown to the operator.
    reason: str
    # Revision that is in force instead; 0 for none.
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class NotKnown:
    """Report that the outcome of the query is unknown.

    A published document may or may not come in force.
    """

    # Reason shown to the operator.
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Report that the query was refused and nothing was written."""

    # Reason shown to the operator.
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """Represent the reply to `GetDocument`."""

    # Document with its packed text; None if none is in force.
    doc: configuration.DocumentInForce | None


@dataclasses.dataclass(frozen=True, slots=True)
class History:
    """Represent the reply to `GetHistory`."""

    # Verdicts, the oldest first.
    verdicts: tuple[configuration.Verdict, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class GetVersions:
    """Query the revision that each connected process follows."""


@dataclasses.dataclass(frozen=True, slots=True)
class Versions:
    """Represent the reply to `GetVersions`."""

    # Revision of the entry itself.
    revision: int
    # One mapping per process: process, role, region, revision, behind.
    processes: tuple[dict[str, typing.Any], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class GetDump:
    """Query the dump of a process."""

    # Name of the process.
    process: str


@dataclasses.dataclass(frozen=True, slots=True)
class Dump:
    """Represent the reply to `GetDump`."""

    # Dump as JSON text.
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReadyChanged:
    """Report to the front end whether the document in force is known."""

    # Whether it is known; the health check fails until then.
    ready: bool


class GetReadiness:
    """Request a `ReadyChanged` for the front end."""

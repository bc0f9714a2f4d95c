"""Define the questions about documents and their answers."""

import dataclasses
import typing

from kcr_core import configuration


@dataclasses.dataclass(frozen=True, slots=True)
class GetDocument:
    """Ask for the document in force in an environment."""

    # Environment; empty for that of the entry.
    environment: str


@dataclasses.dataclass(frozen=True, slots=True)
class GetHistory:
    """Ask for the newest verdicts of an environment."""

    # Environment.
    environment: str


@dataclasses.dataclass(frozen=True, slots=True)
class Publish:
    """Ask for a trial or a promotion."""

    # Whether the document is tried or promoted.
    kind: configuration.Kind
    # Environment in which it is put in force.
    environment: str
    # Canonical text of a trial; empty for a promotion.
    text: str
    # Digest of the text.
    digest: str
    # Revision that the operator edited; None for the one in force.
    base: int | None
    # Who asks.
    operator: str


@dataclasses.dataclass(frozen=True, slots=True)
class InForceNow:
    """State that a document is in force."""

    # Its revision.
    revision: int
    # Its digest.
    digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """State that a document is not in force and will not be."""

    # Why.
    reason: str
    # Revision in force instead; 0 for none.
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class NotKnown:
    """State that a document may or may not come in force."""

    # Why.
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """State that nothing was written."""

    # Why.
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """Carry a document in force."""

    # The document, with its packed text; None when there is none.
    doc: configuration.DocumentInForce | None


@dataclasses.dataclass(frozen=True, slots=True)
class History:
    """Carry verdicts, the oldest first."""

    # The verdicts.
    verdicts: tuple[configuration.Verdict, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class GetVersions:
    """Ask which revision each connected process follows."""


@dataclasses.dataclass(frozen=True, slots=True)
class Versions:
    """Carry the revisions of the connected processes."""

    # Revision of the entry itself.
    revision: int
    # One mapping per process: process, role, region, revision, behind.
    processes: tuple[dict[str, typing.Any], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class GetDump:
    """Ask for the dump of a process."""

    # Name of the process.
    process: str


@dataclasses.dataclass(frozen=True, slots=True)
class Dump:
    """Carry the dump of a process as JSON text."""

    # The text.
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReadyChanged:
    """Tell the front end whether the document in force is known."""

    # Whether it is known.
    ready: bool


class AskReady:
    """Ask for a report of the readiness to the front end."""

"""Define the outcomes of requests and of appends to the log.

Each outcome has a class of its own, whose name is a label of metrics.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """Represent a request with a complete answer."""

    # Status code of the runner's answer.
    status: int
    # Complete body of the answer.
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """Represent a request that did not run and will not run."""

    # Why it did not run.
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """Represent a request that may or may not have run."""

    # Why the outcome is unknown.
    reason: str


Outcome = Done | NotRun | Unknown


@dataclasses.dataclass(frozen=True, slots=True)
class Appended:
    """Represent a durable record."""

    # Offset of the record.
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class NotAppended:
    """Represent a record that is not in the log and will not be."""

    # Why it was not appended.
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class AppendUnknown:
    """Represent a record that may or may not be in the log."""

    # Why it is unknown.
    reason: str


AppendOutcome = Appended | NotAppended | AppendUnknown

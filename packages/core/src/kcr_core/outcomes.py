"""Define the tagged outcomes of requests, submissions and appends."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """Carry the whole answer to a request."""

    # Status code of the runner's answer.
    status: int
    # Body of the answer, complete.
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """State that a request did not run and will not run."""

    # Why it did not run.
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """State that a request may or may not have run."""

    # Why its end is not known.
    reason: str


Outcome = Done | NotRun | Unknown


@dataclasses.dataclass(frozen=True, slots=True)
class Appended:
    """State that a record is durable."""

    # Offset of the record.
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class NotAppended:
    """State that a record is not in the log and will not get there."""

    # Why it was not appended.
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class AppendUnknown:
    """State that a record may or may not be in the log."""

    # Why it is not known.
    reason: str


AppendOutcome = Appended | NotAppended | AppendUnknown

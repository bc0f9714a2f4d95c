"""Define the replies to callers about durable tasks.

The entry decides them, and its front end encodes them.
"""

import dataclasses

from kcr_core import live_task
from kcr_core import types


@dataclasses.dataclass(frozen=True, slots=True)
class TaskState:
    """Describe a task as known to one entry."""

    # Key of the task.
    key: str
    # `parked`, `assigned`, `running`, `done`, `failed`, `unknown` or
    # `cancelled`.
    state: str
    # Current or last epoch.
    epoch: int
    # Home of the epoch; none while parked or after the end.
    home: types.Home | None
    # Why it waits, or its result.
    reason: str
    # Past and current epochs, newest last.
    history: tuple[live_task.HistoryEntry, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """Report that the task is durable."""

    state: TaskState


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """Report that the task itself is not acceptable."""

    # Why it is rejected.
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotAccepted:
    """Report that nothing was written; the caller may retry."""

    # Why nothing was written.
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Uncertain:
    """Report that it is unknown whether the record is in the log."""

    # Why it is unknown.
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """Report that the id was used before with other content."""

    # Key of the task.
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class NoTask:
    """Report that no task with this key is known."""

    # Requested key.
    key: str
    # Whether the view of the log was up to date at the look-up.
    certain: bool

"""Define the answers to callers about durable tasks."""

import dataclasses

from kcr_core import live_task
from kcr_core import types


@dataclasses.dataclass(frozen=True, slots=True)
class TaskState:
    """State what an entry knows of a task."""

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
    # Epochs so far, newest last.
    history: tuple[live_task.HistoryEntry, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """State that the task is durable."""

    # The task.
    state: TaskState


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """State that the task is refused for what it is."""

    # Why.
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotAccepted:
    """State that nothing was written; the caller may ask again."""

    # Why.
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Uncertain:
    """State that the record may or may not be in the log."""

    # Why it is not known.
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """State that the id was used before with other content."""

    # Key of the task.
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class NoTask:
    """State that no task of this key is known."""

    # Key that was asked for.
    key: str
    # Whether the view of the log was complete when it was looked up.
    certain: bool

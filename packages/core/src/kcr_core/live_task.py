"""Define the state of one durable task and functions of it alone.

Each entry keeps this state for every task of its region; `ledger` computes it
from the log.
"""

import dataclasses
import hashlib
import sys

from kcr_core import health
from kcr_core import records
from kcr_core import types


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryEntry:
    """Describe one epoch of a task."""

    epoch: int
    # Home of the epoch; none while parked.
    home: types.Home | None
    # Why the epoch began.
    reason: str


@dataclasses.dataclass(slots=True)
class LiveTask:
    """Represent a task that has not ended."""

    spec: types.TaskSpec
    # Current epoch.
    epoch: int
    # Home of the epoch; none while parked.
    home: types.Home | None
    # Checkpoint to resume from; empty for none.
    checkpoint: str
    # Unix time of acceptance in ms.
    at_ms: int
    # Why it is parked or was moved.
    reason: str
    # Lower bound of the Unix time at which its newest record was written,
    # in ms.
    written_ms: int
    # Monotonic time at which this reader applied the epoch.
    since: float
    # Known epochs, newest last; empty while there is only one.
    history: tuple[HistoryEntry, ...] = ()
    # Distinct instances on which it failed, oldest first.
    failed_on: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class EndedTask:
    """Represent the outcome of a task that has ended."""

    # Digest of the task as submitted.
    digest: str
    # Epoch that ended.
    epoch: int
    # `done`, `failed`, `unknown` or `cancelled`.
    outcome: str
    # Result or failure text.
    detail: str


@dataclasses.dataclass(slots=True)
class Fence:
    """Represent the fence of one incarnation as applied by this reader."""

    # The record.
    record: records.Fenced
    # Monotonic time from which this reader may move the tasks.
    movable_at: float
    # Lower bound of the Unix time at which its newest record was written,
    # in ms.
    written_ms: int


def digest_spec(spec: types.TaskSpec) -> str:
    """Return a digest of a task, to detect a second use of its id."""
    return hashlib.sha256(repr(spec).encode()).hexdigest()[:32]


def list_history(task: LiveTask) -> tuple[HistoryEntry, ...]:
    """Return the known epochs of a task, newest last."""
    return task.history or (HistoryEntry(task.epoch, task.home, task.reason),)


def add_failed(hosts: tuple[str, ...], instance: str) -> tuple[str, ...]:
    """Return the distinct hosts with one more; only the newest are kept."""
    if not instance or instance in hosts:
        return hosts
    return (*hosts, instance)[-health.BAD_WORK_HOSTS :]


def intern_names(spec: types.TaskSpec) -> types.TaskSpec:
    """Return the task with interned names, which many tasks share."""
    return dataclasses.replace(
        spec,
        caller=sys.intern(spec.caller),
        team=sys.intern(spec.team),
        kind=sys.intern(spec.kind),
        job=sys.intern(spec.job),
    )


def infer_live(
    item: records.Restated, now: float, written_ms: int
) -> LiveTask:
    """Return the live task that a `Restated` record describes."""
    return LiveTask(
        spec=intern_names(item.spec),
        epoch=item.epoch,
        home=item.home,
        checkpoint=item.checkpoint,
        at_ms=item.at_ms,
        reason=item.reason,
        written_ms=written_ms,
        since=now,
        failed_on=item.failed_on,
    )


def is_successor(old: types.Home | None, new: types.Home | None) -> bool:
    """Return whether `new` is provably a later incarnation of `old`."""
    return (
        old is not None
        and new is not None
        and old.instance == new.instance
        and old.incarnation != new.incarnation
        and 0 < old.controller_epoch < new.controller_epoch
    )


def make_restated(task: LiveTask, home: types.Home | None) -> records.Restated:
    """Return the record that repeats a live task with the given home."""
    return records.Restated(
        spec=task.spec,
        epoch=task.epoch,
        home=home,
        checkpoint=task.checkpoint,
        at_ms=task.at_ms,
        reason=task.reason,
        failed_on=task.failed_on,
    )

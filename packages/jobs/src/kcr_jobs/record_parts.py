"""Split a record that is too large for the store into several.

The parts are applied one after the other, and other records may come between
them. A reader that knows the job is never worse informed after a part than
before it, as a part changes only the tasks that it names.
"""

from collections import abc
import dataclasses
import typing

from kcr_core import registry
from kcr_jobs import job_table
from kcr_jobs import records

Splitter = abc.Callable[[typing.Any], tuple[records.Record, ...]]
# Splitters by the tag of their records; other records can't be split.
SPLITTERS: registry.Registry[Splitter] = registry.Registry('splitter')


def split(rec: records.Record) -> tuple[records.Record, ...]:
    """Return the parts of a record; none if it can't be split."""
    tag = records.TAGS[type(rec)]
    if tag not in SPLITTERS.names():
        return ()
    return SPLITTERS.get(tag)(rec)


@SPLITTERS.register('started')
def split_started(rec: records.Started) -> tuple[records.Record, ...]:
    """Return two records of starts."""
    middle = len(rec.rows) // 2
    if not middle:
        return ()
    return (
        records.Started(rec.rows[:middle]),
        records.Started(rec.rows[middle:]),
    )


@SPLITTERS.register('ended')
def split_ended(rec: records.Ended) -> tuple[records.Record, ...]:
    """Return two records of ends."""
    middle = len(rec.rows) // 2
    if not middle:
        return ()
    return records.Ended(rec.rows[:middle]), records.Ended(rec.rows[middle:])


@SPLITTERS.register('restated')
def split_restated(rec: records.Restated) -> tuple[records.Record, ...]:
    """Return the job with half of its tasks, and a part with the others.

    A job with one task is split into the job and the task.
    """
    middle = len(rec.tasks) // 2
    if not rec.tasks or (not middle and not rec.spec.steps):
        return ()
    return (
        dataclasses.replace(rec, tasks=rec.tasks[:middle]),
        dataclasses.replace(
            rec,
            spec=job_table.strip_spec(rec.spec),
            tasks=rec.tasks[middle:],
            part=True,
        ),
    )

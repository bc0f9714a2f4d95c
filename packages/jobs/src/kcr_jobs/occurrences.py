"""Decide when the tasks of an occurrence of a scheduled job are made.

A job may have any number of occurrences, and all of them may be overdue. Only
a few that wait for their first start are made at a time, so that memory and
the time of a plan depend on what runs and not on the numbers in a request.
"""

from collections import abc
import itertools

from kcr_jobs import job_table

# Maximum number of occurrences of a job of which no task runs. More than one
# plan can start are made between two ticks of the controller.
MAX_WAITING = 32
# Maximum number of occurrences of a job that have not ended. Each takes a few
# bytes in the record that restates the job.
MAX_LIVE = 2000
# Maximum number of tasks of all open jobs; each takes about 510 bytes, and a
# scheduler has 200 MB at least.
MAX_OPEN_TASKS = 150_000


def is_due(job: job_table.Job, wall_ms: float) -> bool:
    """Return whether the next occurrence of a job is due."""
    return (
        job.occurrences < job.spec.repeat
        and job.due_ms(job.occurrences) <= wall_ms
    )


def make_due(
    jobs: abc.Iterable[job_table.Job], wall_ms: float, open_tasks: int
) -> int:
    """Make the occurrences that are due, within the limits; return how many.

    `open_tasks` is the number of tasks of all open jobs. A job without an
    occurrence that waits gets one in any case.
    """
    made = 0
    for job in jobs:
        waiting = _count_waiting(job)
        while is_due(job, wall_ms) and len(job.live) < MAX_LIVE:
            size = job.occurrence_tasks
            full = open_tasks + size > MAX_OPEN_TASKS
            if waiting >= MAX_WAITING or (waiting and full):
                break
            job.make_occurrence()
            waiting, made, open_tasks = (
                waiting + 1,
                made + 1,
                open_tasks + size,
            )
    return made


def _count_waiting(job: job_table.Job) -> int:
    """Return the number of live occurrences of which no task runs.

    It is at most MAX_WAITING, and that for a job that gets no more anyway.
    """
    if len(job.live) >= MAX_LIVE:
        return MAX_WAITING
    running = {task.occurrence for task in job.tasks.values() if task.instance}
    waiting = (number for number in job.live if number not in running)
    return sum(1 for _ in itertools.islice(waiting, MAX_WAITING))

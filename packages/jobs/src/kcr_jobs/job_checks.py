"""Check jobs and job records beyond the types of their fields.

The border calls this for each job that a caller submits, a peer forwards or
the log contains. What passes can be planned and folded without an error: steps
depend on earlier steps only, and the numbers of steps and tasks are bounded.
"""

import re

from kcr_jobs import records
from kcr_jobs import types

# Maximum number of steps of a job; each takes about 350 bytes before
# compression in the log, whose records hold 256 KiB by default. A job that
# does not fit into one is refused.
MAX_STEPS = 256
# Maximum number of tasks of a job over all its steps; each takes about 510
# bytes in memory.
MAX_TASKS = 20_000
# Shortest interval of a job that repeats, in milliseconds; a shorter one would
# make all its occurrences due at once.
MIN_INTERVAL_MS = 1.0
# Maximum number of live occurrences in a record. The owner makes far fewer
# (see occurrences); earlier builds made all that were due.
MAX_LIVE_OCCURRENCES = 300_000
# Job id, occurrence, step and index, joined by dots.
TASK_NAME = re.compile(r'[^.]{1,128}\.\d{1,9}\.\d{1,4}\.\d{1,6}', re.ASCII)


class BadJob(ValueError):
    """Report a job or a record that can't be handled."""

    def __init__(self, text: str, field: str = 'Phases') -> None:
        super().__init__(text)
        # Field of the request that a caller has to correct.
        self.field = field


def check_spec(spec: types.JobSpec) -> None:
    """Raise BadJob, with the step, if a job can't be planned."""
    if '.' in spec.job_id:
        raise BadJob('job id must not contain a dot')
    if len(spec.steps) > MAX_STEPS:
        raise BadJob(f'more than {MAX_STEPS} steps')
    if sum(step.count for step in spec.steps) > MAX_TASKS:
        raise BadJob(f'more than {MAX_TASKS} tasks')
    if spec.repeat > 1 and spec.interval_ms < MIN_INTERVAL_MS:
        text = f'interval must be at least {MIN_INTERVAL_MS} ms'
        raise BadJob(text, 'IntervalMs')
    for number, step in enumerate(spec.steps):
        if any(before >= number for before in step.after):
            raise BadJob(
                f'step {number} depends on a step that is not earlier'
            )


def check_record(rec: records.Record) -> None:
    """Raise BadJob if a record can't be folded."""
    if isinstance(rec, (records.Accepted, records.Restated)):
        check_spec(rec.spec)
    if isinstance(rec, (records.Started, records.Ended)):
        for row in rec.rows:
            _check_name(row.task)
    if isinstance(rec, records.Restated):
        _check_occurrences(rec)
        for task in rec.tasks:
            _check_name(task.task)
            if not task.task.startswith(f'{rec.spec.job_id}.'):
                raise BadJob(f'task {task.task[:80]!r} is of another job')


def _check_occurrences(rec: records.Restated) -> None:
    """Raise BadJob unless the live occurrences are ascending and bounded."""
    before, total = -1, 0
    for first, last in rec.live:
        if not before < first <= last < rec.occurrences:
            raise BadJob('live occurrences are not in order')
        before, total = last, total + last - first + 1
    if total > MAX_LIVE_OCCURRENCES:
        raise BadJob(f'more than {MAX_LIVE_OCCURRENCES} live occurrences')


def _check_name(name: str) -> None:
    if not TASK_NAME.fullmatch(name):
        raise BadJob(f'invalid name of a task: {name[:80]!r}')

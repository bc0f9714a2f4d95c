"""Count outcomes and violated guarantees of a demo or test run.

The demo and the process tests pass in the outcomes that callers received and
the counts that the emulators report. Runs, overlaps and overcommitment are
taken from the emulated runners and workers only, never from the processes
under test.
"""

import collections
from collections import abc
import dataclasses
import typing

from kcr_emulator import load

# Tolerance for a stop and a start that are reported out of order, in ms.
CLOCK_TOLERANCE_MS = 1
# End assumed for an interval that is still open, in Unix ms.
OPEN_END_MS = 1 << 60
# States that an accepted task may have when a test ends.
ACCOUNTED = ('done', 'failed', 'cancelled', 'running')


@dataclasses.dataclass(slots=True)
class Tally:
    """Store the counters of a run."""

    # Requests sent.
    sent: int = 0
    # Requests answered as done with the expected, complete body.
    whole: int = 0
    # Requests answered as done with any other body.
    wrong: int = 0
    # Requests refused as not run.
    not_run: int = 0
    # Requests whose outcome is unknown to the caller.
    unknown: int = 0
    # Requests refused as not run although a runner had run them.
    false_refusals: int = 0
    # Non-idempotent requests that ran more than once.
    requests_twice: int = 0
    # Tasks that were accepted.
    accepted: int = 0
    # Accepted tasks in a state of `ACCOUNTED` that is consistent with the
    # runs at the workers.
    accounted: int = 0
    # Overlapping runs of one task, and epochs that were started twice.
    tasks_twice: int = 0
    # Requests and tasks reported as done that never ran, and accepted tasks
    # in a state outside `ACCOUNTED`.
    lost: int = 0
    # Times that calls exceeded the slots of a runner, or reservations the
    # capacity of a worker.
    overcommitted: int = 0
    # Times that the actual use of tasks exceeded the capacity of a worker.
    overused: int = 0

    def list_violations(self) -> list[str]:
        """Return the names of the nonzero counts that must be zero."""
        names = (
            'wrong', 'false_refusals', 'requests_twice', 'tasks_twice',
            'lost', 'overcommitted', 'overused',
        )  # fmt: skip
        return [name for name in names if getattr(self, name)]


def count_requests(
    tally: Tally,
    results: abc.Iterable[load.Result],
    runner_counts: abc.Iterable[dict[str, typing.Any]],
) -> None:
    """Add the outcomes of requests, compared with the runs at runners."""
    runs: collections.Counter[str] = collections.Counter()
    for counts in runner_counts:
        runs.update(counts['runs'])
        tally.overcommitted += counts['overcommitted']
    for result in results:
        tally.sent += 1
        run_count = runs[result.key]
        if result.outcome == 'done':
            tally.whole += result.whole
            tally.wrong += not result.whole
            tally.lost += run_count == 0
        elif result.outcome == 'not_run':
            tally.not_run += 1
            tally.false_refusals += run_count > 0
        else:
            tally.unknown += 1
        tally.requests_twice += not result.idempotent and run_count > 1


def count_overlaps(
    intervals: abc.Iterable[tuple[str, int, int]],
) -> int:
    """Return how often a task started before its previous run had ended.

    Each interval is (task, start in ms, end in ms).
    """
    overlaps = 0
    ends: dict[str, int] = {}
    for task, start, end in sorted(intervals, key=lambda item: item[1]):
        if start < ends.get(task, 0) - CLOCK_TOLERANCE_MS:
            overlaps += 1
        ends[task] = max(end, ends.get(task, 0))
    return overlaps


def count_tasks(
    tally: Tally,
    accepted: abc.Mapping[str, str],
    worker_counts: abc.Sequence[dict[str, typing.Any]],
) -> None:
    """Add the accepted tasks, compared with the runs at the workers.

    `accepted` holds the final state of each accepted task by its key.
    """
    starts: collections.Counter[str] = collections.Counter()
    intervals = []
    for counts in worker_counts:
        starts.update(counts['starts'])
        tally.overcommitted += counts['overgranted']
        tally.overused += counts['overcommitted']
        for task, runs in counts['intervals'].items():
            intervals += [(task, begin, end) for _, begin, end in runs]
    tasks_run = {task for task, _, _ in intervals}
    tally.tasks_twice += count_overlaps(
        [(task, begin, end or OPEN_END_MS) for task, begin, end in intervals]
    )
    tally.tasks_twice += sum(count > 1 for count in starts.values())
    for task, state in accepted.items():
        tally.accepted += 1
        never_ran = state == 'done' and task not in tasks_run
        tally.accounted += state in ACCOUNTED and not never_ran
        tally.lost += state not in ACCOUNTED or never_ran

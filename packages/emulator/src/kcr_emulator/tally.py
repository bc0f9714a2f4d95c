"""Count what became of every request and task, from the stand-ins.

The counts of runs, overlaps and overcommitment come from the emulated
runners, workers and log, never from the processes under test.
"""

import collections
from collections import abc
import dataclasses
import typing

from kcr_emulator import load

# Time by which a stop and a start may be reported out of order, in ms.
CLOCK_TOLERANCE_MS = 1
# End of an interval that has not ended, in Unix ms.
OPEN_END_MS = 1 << 60
# States in which a task is accounted for.
ACCOUNTED = ('done', 'failed', 'cancelled', 'running')


@dataclasses.dataclass(slots=True)
class Tally:
    """Hold the counts that the promises are judged by."""

    # Requests sent.
    sent: int = 0
    # Requests answered with the expected whole answer.
    whole: int = 0
    # Requests with an answer that was not the expected one.
    wrong: int = 0
    # Requests refused as not run.
    not_run: int = 0
    # Requests whose end is unknown to the caller.
    unknown: int = 0
    # Requests refused as not run that a runner did run.
    false_refusals: int = 0
    # Non-idempotent requests that ran more than once.
    requests_twice: int = 0
    # Tasks that were accepted.
    accepted: int = 0
    # Tasks that ended or still run as they should.
    accounted: int = 0
    # Tasks that ran in two places at once, or an epoch started twice.
    tasks_twice: int = 0
    # Requests or tasks that were answered or accepted and never ran.
    lost: int = 0
    # Calls above the slots and grants above the capacity.
    overcommitted: int = 0
    # Times that the real use of tasks went over the capacity of a worker.
    overused: int = 0

    def list_violations(self) -> list[str]:
        """Return the names of the counts that must be zero and are not."""
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
    """Compare the callers' outcomes with the runs at the runners."""
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
    """Return how often a task began before its last run had ended.

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
    """Compare the accepted tasks and their states with the workers' counts.

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

"""Test that each job is restated before the store drops its records."""

import job_harness
import pytest

from kcr_jobs import job_table
from kcr_jobs import records
from kcr_jobs import snapshots
from kcr_jobs import types


TICK_S = 0.05


def find_gap(
    keep_s: float, jobs: int, ownership_s: float, tasks: int = 1
) -> float:
    """Return the longest time during which a job is not restated.

    An ownership ends after a time, also within a snapshot; its successor
    begins anew.
    """
    table = job_table.JobTable()
    step = types.Step(tasks, types.Demand(500, 10))
    for number in range(jobs):
        spec = job_harness.make_job(f'j{number}', step)
        table.apply(records.Accepted(spec, 1))
    restated_at = dict.fromkeys(table.jobs, 0.0)
    gap = 0.0
    chosen = snapshots.Snapshots(0, 0.0, keep_s)
    taken_over_at = 0.0
    for tick in range(int(3 * keep_s / TICK_S)):
        now = tick * TICK_S
        if now - taken_over_at >= ownership_s:
            chosen, taken_over_at = snapshots.Snapshots(0, now, keep_s), now
        for rec in chosen.choose_records(table, now):
            if isinstance(rec, records.Restated):
                gap = max(gap, now - restated_at[rec.spec.job_id])
                restated_at[rec.spec.job_id] = now
    return max(gap, *(now - at for at in restated_at.values()))


@pytest.mark.parametrize('keep_s', [10.0, 30.0, 300.0])
@pytest.mark.parametrize('jobs, tasks', [(5, 1), (500, 400)])
def test_jobs_are_restated_before_their_records_are_dropped(
    keep_s: float, jobs: int, tasks: int
) -> None:
    """Guard against a snapshot that comes or ends too late."""
    assert find_gap(keep_s, jobs, 1e9, tasks) <= keep_s / 2


@pytest.mark.parametrize('keep_s', [30.0, 300.0])
def test_short_ownerships_restate_the_jobs(keep_s: float) -> None:
    """Guard against jobs that are lost as each owner starts to wait anew."""
    assert find_gap(keep_s, 20, 0.3 * keep_s) <= keep_s / 2

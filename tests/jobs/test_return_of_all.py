"""Test what starts first when everything was lost and room is short.

After a loss of power all runners return empty, one after the other, and the
owner knows only the log. Tasks that serve callers until they are cancelled go
before batch work, whoever was accepted first.
"""

import job_harness
import pytest

from kcr_jobs import types

RUNNER_CPU = 4000
SERVE = types.Step(4, types.Demand(2000, 10), lasts=True)
BATCH = types.Step(40, types.Demand(1000, 10), estimate_ms=1000.0)
URGENT = types.Queue('urgent', 'svc', priority=0, max_attempts=2)
PLAIN = types.Queue('plain', 'svc', priority=1, max_attempts=2)


def lose_everything(*batch_first: types.JobSpec) -> job_harness.Harness:
    """Return a new owner after all runs of three runners were lost."""
    names = ('r0', 'r1', 'r2')
    harness = job_harness.Harness(
        *(job_harness.FakeRunner(name, RUNNER_CPU) for name in names)
    )
    for spec in batch_first:
        harness.submit(spec)
    harness.step()
    assert sum(len(r.runs) for r in harness.runners.values()) > 0
    for runner in harness.runners.values():
        runner.restart(2)
        runner.connected = False
    harness.now += 1.0
    harness.take_over()
    return harness


def return_runner(harness: job_harness.Harness, name: str) -> list[str]:
    """Let a runner return empty; return the jobs of its runs, sorted."""
    runner = harness.runners[name]
    runner.connected = True
    harness.attach(runner)
    harness.step(0.05)
    return sorted(task.partition('.')[0] for task in runner.runs)


@pytest.mark.parametrize('order', [(0, 1, 2), (2, 1, 0)])
def test_serving_tasks_return_before_batch_work(
    order: tuple[int, ...],
) -> None:
    """Guard against callers who wait while batch work takes the room."""
    specs = (
        job_harness.make_job('batch', BATCH, queue=PLAIN),
        job_harness.make_job('serve', SERVE, queue=PLAIN),
        job_harness.make_job('fast', BATCH, queue=URGENT),
    )
    harness = lose_everything(*(specs[n] for n in order))
    found = []
    for name in harness.runners:
        found += return_runner(harness, name)
    # The capacity is 12 cores: four serving tasks of 2 and urgent ones of 1.
    assert found.count('serve') == 4
    assert found.count('fast') == 4
    assert 'batch' not in found


def test_no_runner_is_waited_for_by_work_that_it_did_not_have() -> None:
    """Guard against idle runners while others have not returned.

    Tasks of a runner that is silent wait for the end of its lease; tasks that
    never ran, or ran on the runner that is back, don't.
    """
    harness = lose_everything(
        job_harness.make_job('serve', SERVE, queue=PLAIN),
        job_harness.make_job('batch', BATCH, queue=PLAIN),
    )
    assert len(return_runner(harness, 'r2')) == 4

"""Test real processes with zones that operators evacuate."""

import itertools
import pathlib
import signal
import time
import typing

import deployment as deployments
import pytest

# Time after the write in which starts are allowed: EvacuateMs of the
# requirements, in seconds.
EVACUATE_S = 5.0
# Time for which jobs are submitted after the write, in seconds.
LOAD_S = 8.0
# Time between jobs, in seconds; one runner has capacity for them.
JOB_INTERVAL_S = 0.4


@pytest.fixture
def deployment(
    tmp_path: pathlib.Path,
) -> typing.Iterator[deployments.Deployment]:
    """Run a deployment with a runner in each of two zones."""
    made = deployments.Deployment(tmp_path, schedulers=3)
    for number, runner in enumerate(made.runners.values(), 1):
        runner.zone = f'z{number}'
    try:
        yield made
    finally:
        made.close()


def test_zone_is_evacuated_while_the_owner_is_killed(
    deployment: deployments.Deployment,
) -> None:
    """Guard against an evacuation that is lost with the owner."""
    starts = deployment.checker.start_orders
    jobs: list[str] = []
    # The runners attach one after the other.
    while not starts['z1']:
        jobs.append(f'{len(jobs):016x}')
        deployment.submit(jobs[-1])
        deployment.wait_completed(jobs[-1])
    owner = deployment.find_owner()
    deployment.evacuate('z1', EVACUATE_S)
    deployment.processes[owner].send_signal(signal.SIGKILL)
    deployment.processes[owner].wait()
    end = time.monotonic() + LOAD_S
    while time.monotonic() < end:
        jobs.append(f'{len(jobs):016x}')
        deployment.submit(jobs[-1])
        time.sleep(JOB_INTERVAL_S)
    deployment.start(owner)
    for job in jobs:
        deployment.wait_completed(job)
    assert deployment.checker.violations == []
    # The zone is used again after the removal.
    deployment.end_evacuation('z1')
    before, last = starts['z1'], 'b' * 16
    deployment.submit(last, count=16)
    deployment.wait(lambda: starts['z1'] > before)
    deployment.wait_completed(last)
    assert deployment.checker.violations == []


def test_jobs_are_refused_while_every_zone_is_evacuated(
    deployment: deployments.Deployment,
) -> None:
    """Guard against callers that wait for an evacuation to end."""
    deployment.submit('a' * 16)
    deployment.wait_completed('a' * 16)
    for zone in ('z1', 'z2'):
        deployment.evacuate(zone, EVACUATE_S)
    job = {'Spec': 'x', 'Phases': [{'Cpu': 500, 'MemMb': 10}]}
    numbers = itertools.count()

    def is_refused() -> bool:
        path = f'/q/{next(numbers):016x}'
        return deployment.call('POST', path, job)[0] == 503

    deployment.wait(is_refused)
    for zone in ('z1', 'z2'):
        deployment.end_evacuation(zone)
    deployment.submit('c' * 16)
    deployment.wait_completed('c' * 16)
    assert deployment.checker.violations == []

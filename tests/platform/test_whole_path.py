"""Test real scheduler and agent processes with fakes of the platform."""

import pathlib
import signal
import time
import typing

import deployment as deployments
import pytest


@pytest.fixture
def deployment(
    tmp_path: pathlib.Path,
) -> typing.Iterator[deployments.Deployment]:
    """Run a deployment for one test."""
    made = deployments.Deployment(tmp_path)
    try:
        yield made
    finally:
        made.close()


def test_jobs_complete(deployment: deployments.Deployment) -> None:
    """Guard against a break anywhere between caller and runner."""
    jobs = [f'{n:016x}' for n in range(5)]
    for job in jobs:
        deployment.submit(job)
        deployment.submit(job)
    for job in jobs:
        deployment.wait_completed(job)
    assert deployment.checker.violations == []
    assert len(deployment.checker.done) == 25
    assert deployment.call('GET', '/q/ffffffffffffffff')[0] == 410
    assert deployment.call('GET', '/other/')[0] == 404
    assert deployment.call('POST', '/q/ffffffffffffffff', {})[0] == 400
    assert deployment.call('GET', '/q/')[1] == {'Pending': 0}


def test_killed_owner_is_replaced(deployment: deployments.Deployment) -> None:
    """Guard against jobs that are lost or run twice if the owner is killed."""
    jobs = [f'{n:016x}' for n in range(6)]
    for job in jobs:
        deployment.submit(job)
    owner = deployment.find_owner()
    deployment.processes[owner].send_signal(signal.SIGKILL)
    deployment.processes[owner].wait()
    deployment.submit('a' * 16)
    deployment.start(owner)
    for job in [*jobs, 'a' * 16]:
        deployment.wait_completed(job)
    assert deployment.checker.violations == []


def test_all_processes_killed_at_once(
    deployment: deployments.Deployment,
) -> None:
    """Guard against accepted jobs that were only in memory."""
    jobs = [f'{n:016x}' for n in range(4)]
    for job in jobs:
        deployment.submit(job)
    for name, item in deployment.processes.items():
        item.send_signal(signal.SIGKILL)
        item.wait()
        deployment.start(name)
    for job in jobs:
        deployment.wait_completed(job)
    assert deployment.checker.violations == []


def test_store_outage_ends(deployment: deployments.Deployment) -> None:
    """Guard against a scheduler that does not resume after an outage."""
    deployment.submit('1' * 16)
    deployment.store.down = True
    time.sleep(2.0)
    deployment.store.down = False
    deployment.submit('2' * 16)
    for job in ('1' * 16, '2' * 16):
        deployment.wait_completed(job)
    assert deployment.checker.violations == []


def test_graceful_stop_and_reload(deployment: deployments.Deployment) -> None:
    """Guard against a process that SIGHUP ends or SIGTERM does not end."""
    deployment.submit('1' * 16)
    for item in deployment.processes.values():
        item.send_signal(signal.SIGHUP)
    deployment.wait_completed('1' * 16)
    for item in deployment.processes.values():
        assert item.poll() is None
        item.send_signal(signal.SIGTERM)
    for item in deployment.processes.values():
        assert item.wait(timeout=deployments.WAIT_TIMEOUT_S) == 0


def test_signals_while_starting(deployment: deployments.Deployment) -> None:
    """Guard against a SIGHUP that kills a process during its imports."""
    deployment.submit('1' * 16)
    # The tests may run under nohup, and processes inherit ignored signals.
    inherited = signal.signal(signal.SIGHUP, signal.SIG_DFL)
    try:
        check_signals_while_starting(deployment)
    finally:
        signal.signal(signal.SIGHUP, inherited)


def check_signals_while_starting(deployment: deployments.Deployment) -> None:
    """Send SIGHUP and SIGTERM to processes that have just been started."""
    for name in ('s1', 'a1'):
        deployment.processes[name].send_signal(signal.SIGKILL)
        deployment.processes[name].wait()
        deployment.start(name)
        item = deployment.processes[name]
        bit = 1 << (signal.SIGHUP - 1)
        deployment.wait(lambda: read_mask(item.pid, 'Ign', 'Cgt') & bit != 0)
        assert read_mask(item.pid, 'Ign') & bit, (
            'SIGHUP is caught before it is ignored'
        )
        item.send_signal(signal.SIGHUP)
        item.send_signal(signal.SIGTERM)
        assert item.wait(timeout=deployments.WAIT_TIMEOUT_S) == 0


def test_repeated_stop_is_graceful(deployment: deployments.Deployment) -> None:
    """Guard against a second SIGTERM that kills a process while it exits.

    The interpreter restores the default action of signals while it exits.
    Found by the fault soak with seed 203.
    """
    deployment.submit('1' * 16)
    for item in deployment.processes.values():
        while item.poll() is None:
            item.send_signal(signal.SIGTERM)
            time.sleep(0.002)
        assert item.returncode == 0


def read_mask(pid: int, *kinds: str) -> int:
    """Return the mask of signals that a process ignores or catches."""
    mask = 0
    for line in pathlib.Path(f'/proc/{pid}/status').read_text().splitlines():
        for kind in kinds:
            if line.startswith(f'Sig{kind}:'):
                mask |= int(line.split()[1], 16)
    return mask

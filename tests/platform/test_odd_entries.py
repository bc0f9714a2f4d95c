"""Test real processes with odd entries of another writer in their lists.

One entry in the list of schedulers that named no port raised in the session
that dialed it. After ten such failures in a minute every process that read the
list ended.
"""

import pathlib
import signal
import struct
import time
import typing

import deployment as deployments
import pytest

from kcr_jobs import records
from kcr_jobs import types
from kcr_scheduler.work import codec

ODD_ADDRESSES = (
    b'', b'x', b'127.0.0.1', b'127.0.0.1:', b'127.0.0.1:http',
    b'127.0.0.1:70000', b'127.0.0.1:-1', b'127.0.0.1:99999999999999999999',
    b'[::1]:80', b'\xff\xfe', b'x' * 100_000, b'[' * 50_000, b'127.0.0.1:0',
    '127.0.0.1:8\u00b2'.encode(),
)  # fmt: skip
# Time for which an odd entry is read again and again, in seconds; the agents
# read the list each second while they search an owner.
EXPOSURE_S = 6.0


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


def put(
    deployment: deployments.Deployment, topic: str, key: bytes, value: bytes
) -> None:
    """Write a value of a key, as any writer can."""
    store = deployment.store
    with store.lock:
        record = struct.pack('B', len(key)) + key + value
        store.topics[topic].append(record)
        store.lock.notify_all()


def check_alive(deployment: deployments.Deployment) -> None:
    """Check that no process has ended or restarted a task."""
    for name, item in deployment.processes.items():
        assert item.poll() is None, f'{name} has ended'
        log = (deployment.folder / f'{name}.log').read_text()
        assert '"task failed"' not in log, log[-3000:]


def test_odd_entries_among_the_schedulers(
    deployment: deployments.Deployment,
) -> None:
    """Guard against processes that end by one entry of the list."""
    for number, odd in enumerate(ODD_ADDRESSES):
        put(deployment, 'keyed.schedulers', f'odd{number}'.encode(), odd)
    deployment.submit('1' * 16)
    # The restarted agents read the list with the odd entries in it.
    for name in list(deployment.runners):
        deployment.processes[name].send_signal(signal.SIGKILL)
        deployment.processes[name].wait()
        deployment.start(name)
    for number, odd in enumerate(ODD_ADDRESSES):
        put(deployment, 'keyed.schedulers', f'late{number}'.encode(), odd)
    time.sleep(EXPOSURE_S)
    check_alive(deployment)
    # A good entry after the odd ones is still followed.
    owner = deployment.find_owner()
    deployment.processes[owner].send_signal(signal.SIGKILL)
    deployment.processes[owner].wait()
    deployment.submit('2' * 16)
    deployment.start(owner)
    for job in ('1' * 16, '2' * 16):
        deployment.wait_completed(job)
    assert deployment.checker.violations == []
    check_alive(deployment)


def test_odd_configuration(deployment: deployments.Deployment) -> None:
    """Guard against a configuration that ends who watches it."""
    deployment.submit('1' * 16)
    odd = (
        b'{"Version": 900, "Routes": [{"Name": "r", "PathPrefix": "/q/",'
        b' "Service": "s", "TimeoutMs": 1e999}]}',
        b'{"Version": 1' + b'0' * 400 + b'}',
        b'[' * 100_000,
        b'{"Version": 901, "Routes": ' + b'[' * 50_000 + b']' * 50_000 + b'}',
        b'\xff' * 50,
        b'{"Version": NaN}',
    )
    for value in odd:
        put(deployment, 'keyed.op', b'config', value)
    deployment.publish_next()
    path = f'/v{deployment.version}/{"2" * 16}'
    body = {'Spec': 'x', 'Phases': [{'Count': 1, 'Cpu': 500, 'MemMb': 10}]}
    deployment.wait(lambda: deployment.call('POST', path, body)[0] == 200)
    deployment.wait_completed('1' * 16)
    check_alive(deployment)


def test_odd_records_in_the_job_log(
    deployment: deployments.Deployment,
) -> None:
    """Guard against a record of another writer that ends every owner."""
    deployment.submit('1' * 16)
    step = types.Step(1, after=(7,))
    queue = types.Queue('q', 'svc')
    start = records.Started((records.StartRow('x', 1, '', ''),))
    job = records.Accepted(types.JobSpec('odd', queue, '', (step,)), 1)
    odd = [
        b'', b'\x83' * 9000, b'\x02' + b'\xff' * 40, b'\x02',
        b'\x81' * 100_000, codec.encode('x', [start]),
        codec.encode('x', [job]),
    ]  # fmt: skip
    store = deployment.store
    for record in odd:
        with store.lock:
            store.topics['jobs'].append(record)
    # The owner finds that it was replaced; the next reads past the records.
    deployment.submit('2' * 16)
    for job_id in ('1' * 16, '2' * 16):
        deployment.wait_completed(job_id)
    assert deployment.checker.violations == []
    check_alive(deployment)


def test_odd_published_claim(deployment: deployments.Deployment) -> None:
    """Guard against a start that fails by the published claim."""
    deployment.submit('1' * 16)
    for value in (b'\x02\xff', b'', b'[' * 9000, b'x' * 90_000):
        put(deployment, 'keyed.owner', b'jobs', value)
    for name, item in deployment.processes.items():
        item.send_signal(signal.SIGKILL)
        item.wait()
        deployment.start(name)
    deployment.submit('2' * 16)
    for job in ('1' * 16, '2' * 16):
        deployment.wait_completed(job)
    check_alive(deployment)

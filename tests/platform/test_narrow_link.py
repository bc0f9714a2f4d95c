"""Test takeovers by real schedulers whose links to the store are narrow.

At 2 Mbit/s a claimant that reads pages of a mebibyte with a timeout of a
second never reads one: the log had no owner to the end of the day (large
deployment, trouble-1 at small size, seed 5).
"""

import pathlib
import random
import signal
import typing

import deployment as deployments
import platform_fakes
import pytest

from kcr_jobs import records
from kcr_jobs import types
from kcr_scheduler.work import codec

# 2 Mbit/s, in bytes a second.
RATE = 250_000
# Size of the log that is there at the start, in bytes; its records are of
# ended jobs.
LOG_BYTES = 2_000_000


def fill_log(store: platform_fakes.LogStore) -> None:
    """Write jobs that were cancelled, whose payloads don't compress."""
    rng = random.Random(1)
    queue = types.Queue('old', 'svc')
    step = types.Step(1, types.Demand(500, 10))
    number, size = 0, LOG_BYTES
    while size > 0:
        number += 1
        job_id = f'{number:016x}'
        payload = rng.randbytes(8000).hex()
        spec = types.JobSpec(job_id, queue, payload, (step,))
        data = codec.encode(
            'old', [records.Accepted(spec, 1), records.Cancelled(job_id)]
        )
        store.topics['jobs'].append(data)
        size -= len(data)


@pytest.fixture
def narrow(
    tmp_path: pathlib.Path,
) -> typing.Iterator[deployments.Deployment]:
    """Run a deployment with a long log and narrow links to the store."""
    made = deployments.Deployment(
        tmp_path, linked=True, log_filler=fill_log, store_rate=RATE
    )
    try:
        yield made
    finally:
        made.close()


def test_owner_is_found_after_the_loss_of_all(
    narrow: deployments.Deployment,
) -> None:
    """Guard against a claim that never ends, at the start and afterwards."""
    narrow.submit('a' * 16)
    for name, item in narrow.processes.items():
        item.send_signal(signal.SIGKILL)
        item.wait()
        narrow.start(name)
    narrow.wait_completed('a' * 16)
    assert narrow.checker.violations == []


def test_killed_owner_is_replaced_by_one_that_follows(
    narrow: deployments.Deployment,
) -> None:
    """Guard against a successor that reads the whole log at the takeover."""
    narrow.submit('a' * 16)
    owner = narrow.find_owner()
    other = next(name for name in narrow.fronts if name != owner)
    log = narrow.folder / f'{other}.log'
    narrow.wait(lambda: '"successor changed"' in log.read_text())
    narrow.processes[owner].send_signal(signal.SIGKILL)
    narrow.processes[owner].wait()
    narrow.submit('b' * 16)
    for job in ('a' * 16, 'b' * 16):
        narrow.wait_completed(job)
    assert narrow.checker.violations == []


def test_stopping_owner_hands_over(narrow: deployments.Deployment) -> None:
    """Guard against a hand-over after which nobody owns the jobs."""
    narrow.submit('a' * 16)
    owner = narrow.find_owner()
    narrow.processes[owner].send_signal(signal.SIGTERM)
    narrow.submit('b' * 16)
    assert narrow.processes[owner].wait(deployments.WAIT_TIMEOUT_S) == 0
    narrow.start(owner)
    for job in ('a' * 16, 'b' * 16):
        narrow.wait_completed(job)
    assert narrow.checker.violations == []

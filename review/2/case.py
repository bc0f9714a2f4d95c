"""An order without an answer is carried out late; its repeat gets 503."""

import asyncio
import json
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import stand_deployment as deployment  # noqa: E402
import stand_play as play  # noqa: E402
import stand_rules as rules  # noqa: E402
import stand_runner as runner  # noqa: E402

# Eleven runners of 16 cores, as on the pages of tzc-planning.
RUNNERS = 11
CPU, MEM_MB = 16_000, 64_000
# One job; each runner gets four of its tasks.
TASKS, TASK_CPU, TASK_MEM_MB = 44, 1000, 500
# Work of a task, in milliseconds.
WORK_MS = (4000, 5000)
# Time after which the order is carried out, in seconds; the pages name
# seconds, and the bench 2 to 12.
LATE_S = 3.0
# Time for which the runner answers orders with 503, in seconds; the site file
# has 6.5.
UNHEALTHY_S = 5.0


class Unhealthy:
    """One order gets no answer and is carried out late, the others 503."""

    def __init__(self):
        self._until = time.monotonic() + UNHEALTHY_S
        self._is_first = True

    def __call__(self, path, msg):
        """Return what becomes of an order."""
        if time.monotonic() > self._until:
            return None
        if path == '/-/run-start' and self._is_first:
            self._is_first = False
            return LATE_S
        return 503


async def run(case):
    """Play the case; return what breaks the rule."""
    await case.start(
        deployment.make_config(3, [{'Name': 'q', 'PathPrefix': '/q/'}])
    )
    for number in range(1, RUNNERS + 1):
        await case.add_runner(
            runner.Runner(f'i-{number}', case.record, CPU, MEM_MB)
        )
    await case.wait_ready()
    consumer = deployment.Consumer(case.record, case.deploy)
    spec = json.dumps({'ms': WORK_MS, 'cpu': TASK_CPU, 'mem': TASK_MEM_MB})
    step = {
        'Count': TASKS, 'Cpu': TASK_CPU, 'MemMb': TASK_MEM_MB,
        'EstimateMs': sum(WORK_MS) // 2,
    }
    if play.TROUBLE:
        case.runners[0].disturb = Unhealthy()
    job = deployment.make_job_id(random.Random(2))
    if not await consumer.submit(job, {'Spec': spec, 'Phases': [step]}):
        raise play.CannotRun('the job was not accepted')
    until = time.monotonic() + 40.0
    while time.monotonic() < until:
        if await consumer.state(job) == 'completed':
            break
        await asyncio.sleep(0.5)
    await asyncio.sleep(2 * LATE_S)
    return rules.find_twice(case.runners)


play.main(FOLDER, 'TWICE', run)

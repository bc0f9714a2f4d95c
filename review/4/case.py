"""The open channels between agents and runners go silent for good."""

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

# Runners of 64 cores and 250 GB, as the pages of mouldhub-fj name them.
RUNNERS = 2
CPU, MEM_MB = 64_000, 250_000
# A job like `cavity-sim`, with tasks that checkpoint nothing; each runner gets
# 16 of them.
TASKS, TASK_CPU, TASK_MEM_MB = 32, 1500, 3200
WORK_MS = (45_000, 50_000)
# Time from the last hand-in until the channels go silent, and time after that
# for which the case looks on, in seconds.
SILENT_AFTER_S, AFTER_S = 8.0, 30.0
# `finish_s`: time from the end of the traffic from which the rule counts.
FINISH_S = 14.0


async def run(case):
    """Play the case; return what breaks the rule."""
    await case.start(
        deployment.make_config(3, [{'Name': 'q', 'PathPrefix': '/q/'}])
    )
    ways = [
        await case.add_runner(
            runner.Runner(f'i-{n}', case.record, CPU, MEM_MB), channel=True
        )
        for n in range(1, RUNNERS + 1)
    ]
    await case.wait_ready()
    consumer = deployment.Consumer(case.record, case.deploy)
    spec = {'ms': WORK_MS, 'cpu': TASK_CPU, 'mem': TASK_MEM_MB}
    step = {
        'Count': TASKS, 'Cpu': TASK_CPU, 'MemMb': TASK_MEM_MB,
        'EstimateMs': sum(WORK_MS) // 2,
    }
    job = deployment.make_job_id(random.Random(3))
    body = {'Spec': json.dumps(spec), 'Phases': [step]}
    if not await consumer.submit(job, body):
        raise play.CannotRun('the job was not accepted')
    began = time.monotonic()
    watch = rules.Watch(case.runners)
    watch.add(job, began, TASKS, (TASK_CPU, TASK_MEM_MB))
    is_silent = False
    while (now := time.monotonic()) < began + SILENT_AFTER_S + AFTER_S:
        if play.TROUBLE and not is_silent and now >= began + SILENT_AFTER_S:
            is_silent = True
            counts = [way.silence() for way in ways]
            case.record.write('case', f'channels go silent: {counts}')
        watch.sample(now, began + FINISH_S)
        await asyncio.sleep(0.05)
    return watch.find_lost()


play.main(FOLDER, 'LOST', run)

"""Case 9: a job that fills without `Cpu` waits while serving tasks are busy.

Three runners each have a task that serves, with a target of 50 ms. Its tail
latency is 20 ms, and with TROUBLE 42 ms from some time on, which is still
below the target. Then a job comes whose two tasks fill and ask for no `Cpu`,
and an ordinary job each 2 s.
"""

import os
import pathlib
import sys
import time

import stand2_deployment as deployment
import stand2_record as record

FOLDER = pathlib.Path(__file__).resolve().parent
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
CALM_TAIL_MS, BUSY_TAIL_MS, TARGET_MS = 20, 42, 50
# Traffic after the job that fills, and the pause before jobs are judged
# (finish_s), in seconds.
TRAFFIC_S, FINISH_S = 40.0, 14.0
FILLER = 'f' * 16


def play(log: record.Record, deploy: deployment.Deployment) -> int:
    """Play the case; return the exit status."""
    if not deploy.wait_ready():
        log.say('the deployment did not become ready')
        return 2
    client = deployment.Client(deploy)
    serving = {
        'Count': 3, 'Cpu': 2000, 'MemMb': 500, 'LongRunning': True,
        'Image': 'serve', 'TargetMs': TARGET_MS, 'AntiAffinity': 1,
    }
    if not client.submit(
        f'/watch/{"a" * 16}', {'lasts': True, 'tail_ms': CALM_TAIL_MS},
        [serving],
    ):
        log.say('the serving job was not accepted')
        return 2
    end = log.now() + 15.0
    while sum(len(r.running) for r in deploy.runners) < 3:
        if log.now() > end:
            log.say('the serving tasks did not start')
            return 2
        time.sleep(0.1)
    time.sleep(4.0)
    if TROUBLE:
        log.say('tail latency of the serving tasks rises')
        for item in deploy.runners:
            item.tail_ms = BUSY_TAIL_MS
    time.sleep(2.0)
    filler = {'Count': 2, 'MemMb': 100, 'EstimateMs': 1000, 'Fills': True,
              'Image': 'fill'}
    path = f'/batch/{FILLER}'
    if not client.submit(path, {'run_s': 1.0, 'cpu': 500}, [filler]):
        log.say('the job that fills was not accepted')
    began = log.now()
    number = 0
    while log.now() < began + TRAFFIC_S:
        number += 1
        step = {'Count': 2, 'Cpu': 500, 'MemMb': 100, 'EstimateMs': 500}
        client.submit(
            f'/batch/{number:016x}', {'run_s': 0.5, 'cpu': 500}, [step], 3
        )
        time.sleep(2.0)
    log.say('end of the traffic;', len(client.accepted), 'jobs accepted')
    time.sleep(FINISH_S)
    return judge(log, deploy, client)


def judge(
    log: record.Record, deploy: deployment.Deployment,
    client: deployment.Client,
) -> int:
    """Ask for the accepted jobs; return 1 if the rule LOST is broken."""
    broken = []
    for path, accepted_at in client.accepted.items():
        job = path[-16:]
        starts = [
            at for r in deploy.runners for at, what, task, _ in r.history
            if what == 'start' and task.startswith(job)
        ]
        state = client.ask(path)
        first = min(starts, default=None)
        log.write('job', path, 'accepted', round(accepted_at, 2),
                  'first start', first, 'state', state or 'no answer')
        if not state or state == 'unknown':
            broken.append(f'{path} has no answer')
        elif first is None and log.now() - accepted_at > 3.0:
            # Each runner has 14 of 16 cores free.
            broken.append(
                f'{path} has nothing running for'
                f' {log.now() - accepted_at:.0f} s'
            )
    log.say('processes that ended by themselves:', len(deploy.exits),
            sorted({name for _, name, _ in deploy.exits}))
    log.say('failures of the task that owns the jobs:',
            deploy.count_logged('ZeroDivisionError: '))
    deploy.quote_logs('ZeroDivisionError', 1)
    for text in broken:
        log.say('LOST:', text)
    if deploy.exits:
        log.say('a process crashed')
    return 1 if broken or deploy.exits else 0


def main() -> int:
    """Run the case and end all that it started."""
    log = record.Record(FOLDER)
    log.say('TROUBLE', int(TROUBLE))
    routes = [
        deployment.make_route('r-watch', '/watch/', 2),
        deployment.make_route('r-batch', '/batch/', 3, 2),
    ]
    labels = [['a', f'r1-{n}'] for n in range(1, 4)]
    deploy = deployment.Deployment(log, 3, labels, routes)
    try:
        status = play(log, deploy)
    finally:
        deploy.close()
    log.say('status', status)
    return status


if __name__ == '__main__':
    sys.exit(main())

"""Case 7: a scheduled job with many overdue occurrences that can't be done.

With TROUBLE a client hands in one job that is due each two minutes since a
year, of one task, which asks for a label that no runner has. Ordinary jobs
come before and after it. The service is nearly empty all the time.
"""

import os
import pathlib
import sys
import time

import stand2_deployment as deployment
import stand2_record as record

FOLDER = pathlib.Path(__file__).resolve().parent
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
INTERVAL_MS, COUNT = 120_000, 262_800
# Ordinary jobs before the scheduled one, which is one of 20 (a share of 0.05).
BEFORE = 20
# Traffic after the scheduled job, and the pause before jobs are asked for
# (finish_s), in seconds.
TRAFFIC_S, FINISH_S = 30.0, 14.0
POISON = 'c' * 16


def play(log: record.Record, deploy: deployment.Deployment) -> int:
    """Play the case; return the exit status."""
    if not deploy.wait_ready():
        log.say('the deployment did not become ready')
        return 2
    client = deployment.Client(deploy)
    number = 0

    def submit_ordinary() -> bool:
        nonlocal number
        number += 1
        step = {'Count': 2, 'Cpu': 500, 'MemMb': 100, 'EstimateMs': 500}
        return client.submit(
            f'/batch/{number:016x}', {'run_s': 0.5, 'cpu': 500}, [step], 3
        )

    for _ in range(BEFORE):
        if not submit_ordinary():
            log.say('a job before the disruption was not accepted')
            return 2
        time.sleep(0.2)
    time.sleep(2.0)
    if TROUBLE:
        step = {'Count': 1, 'Cpu': 100, 'MemMb': 10, 'Constraints': 'none'}
        since = int(time.time() * 1000) - COUNT * INTERVAL_MS
        accepted = client.submit(
            f'/batch/{POISON}', {'run_s': 0.1}, [step],
            StartAtMs=since, RepeatCount=COUNT, IntervalMs=INTERVAL_MS,
        )
        log.say('scheduled job accepted:', accepted)
    end = log.now() + TRAFFIC_S
    refused = 0
    while log.now() < end:
        refused += not submit_ordinary()
        time.sleep(1.0)
    if TROUBLE:
        log.say('cancel of the scheduled job:',
                client.cancel(f'/batch/{POISON}') or 'no answer')
    log.say(len(client.accepted), 'jobs accepted,', refused, 'not in 3 tries')
    time.sleep(FINISH_S)
    return judge(log, deploy, client)


def judge(
    log: record.Record, deploy: deployment.Deployment,
    client: deployment.Client,
) -> int:
    """Ask for the accepted jobs; return 1 if the rule LOST is broken."""
    broken = []
    asked_at = log.now()
    for path, accepted_at in client.accepted.items():
        job = path[-16:]
        if job == POISON:
            continue
        starts = [
            at for r in deploy.runners for at, what, task, _ in r.history
            if what == 'start' and task.startswith(job) and at <= asked_at
        ]
        state = client.ask(path, 2)
        log.write('job', path, 'accepted', round(accepted_at, 2), 'starts',
                  starts, 'state', state or 'no answer')
        if not state or state == 'unknown':
            broken.append(f'{path} has no answer')
        elif not starts:
            broken.append(
                f'{path} has nothing running for'
                f' {asked_at - accepted_at:.0f} s'
            )
        if len(broken) >= 3:
            break
    log.say('takeovers:', deploy.count_logged('"event": "leading"'),
            'processes that ended by themselves:', len(deploy.exits))
    for text in broken:
        log.say('LOST:', text)
    return 1 if broken else 0


def main() -> int:
    """Run the case and end all that it started."""
    log = record.Record(FOLDER)
    log.say('TROUBLE', int(TROUBLE))
    routes = [deployment.make_route('r-batch', '/batch/', 3, 2)]
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

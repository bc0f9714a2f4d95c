"""Case 10: the only runner with a label fails its starts for some seconds.

Seven runners; one has the label `b`, and holds one task of a job that lasts.
With TROUBLE all that is started on it fails for 6.5 s (`srv_grey`, errors),
which an ordinary job with that label meets. Afterwards the runner is sound
again. A job that asks for the label is accepted and must run.
"""

import os
import pathlib
import sys
import time

import stand2_deployment as deployment
import stand2_record as record

FOLDER = pathlib.Path(__file__).resolve().parent
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
RUNNERS = 7
# Length of the disruption, the pause after it until the job of the check
# comes (three times ContactMs), and the pause before it is judged (finish_s),
# in seconds.
GREY_S, CALM_S, FINISH_S = 6.5, 12.0, 14.0
LASTS, DURING, AFTER = 'a' * 16, 'd' * 16, 'e' * 16


def find_starts(deploy: deployment.Deployment, job: str) -> list[float]:
    """Return the times at which tasks of a job were started."""
    return [
        at for r in deploy.runners for at, what, task, _ in r.history
        if what == 'start' and task.startswith(job)
    ]


def play(log: record.Record, deploy: deployment.Deployment) -> int:
    """Play the case; return the exit status."""
    if not deploy.wait_ready():
        log.say('the deployment did not become ready')
        return 2
    client = deployment.Client(deploy)
    special = deploy.runners[0]
    watch = {'Count': 1, 'Cpu': 1000, 'MemMb': 500, 'LongRunning': True,
             'Constraints': 'b'}
    if not client.submit(f'/watch/{LASTS}', {'lasts': True}, [watch]):
        log.say('the job that lasts was not accepted')
        return 2
    end = log.now() + 15.0
    while not special.running:
        if log.now() > end:
            log.say('the task that lasts did not start')
            return 2
        time.sleep(0.1)
    time.sleep(2.0)
    if TROUBLE:
        log.say('the runner with the label fails all that it starts')
        special.fails_all = True
    step = {'Count': 4, 'Cpu': 500, 'MemMb': 100, 'EstimateMs': 300,
            'Constraints': 'b'}
    client.submit(f'/batch/{DURING}', {'run_s': 0.3, 'cpu': 500}, [step])
    time.sleep(GREY_S)
    special.fails_all = False
    log.say('the runner is sound again')
    time.sleep(CALM_S)
    step = {'Count': 1, 'Cpu': 500, 'MemMb': 100, 'EstimateMs': 300,
            'Constraints': 'b'}
    if not client.submit(f'/batch/{AFTER}', {'run_s': 0.3, 'cpu': 500}, [step]):
        log.say('the job of the check was not accepted')
        return 2
    time.sleep(FINISH_S)
    log.say('job during the disruption:', client.ask(f'/batch/{DURING}'),
            find_starts(deploy, DURING))
    state = client.ask(f'/batch/{AFTER}')
    starts = find_starts(deploy, AFTER)
    waited = (starts[0] if starts else log.now()) - client.accepted[
        f'/batch/{AFTER}'
    ]
    log.say('job of the check:', state or 'no answer', 'starts', starts)
    log.say('runs on the runner with the label:', list(special.running))
    # 15 of its 16 cores are free, and all of the other runners.
    if state not in ('running', 'completed') and waited > 3.0:
        log.say(f'LOST: nothing of the job runs for {waited:.0f} s')
        return 1
    return 0


def main() -> int:
    """Run the case and end all that it started."""
    log = record.Record(FOLDER)
    log.say('TROUBLE', int(TROUBLE))
    routes = [
        deployment.make_route('r-watch', '/watch/', 2),
        deployment.make_route('r-batch', '/batch/', 3, 2),
    ]
    labels = [
        ['b' if n == 0 else 'a', f'r1-{n}'] for n in range(RUNNERS)
    ]
    deploy = deployment.Deployment(log, 3, labels, routes)
    try:
        status = play(log, deploy)
    finally:
        deploy.close()
    log.say('status', status)
    return status


if __name__ == '__main__':
    sys.exit(main())

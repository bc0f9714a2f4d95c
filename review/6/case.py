"""Case 6: the owner of the jobs is killed while a wide job runs.

A job of one step with 1,500 tasks is accepted and runs on three runners of 16
cores. With TROUBLE the scheduler that owns the jobs is killed once, 20 s after
the acceptance, and started again. Another scheduler takes over.
"""

import os
import pathlib
import sys
import time

import stand2_deployment as deployment
import stand2_record as record

FOLDER = pathlib.Path(__file__).resolve().parent
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
TASKS, RUN_S = 1500, 1.0
# Time from the acceptance to the kill, and longest time until the job has to
# be done, in seconds; 48 tasks run at a time.
KILL_AFTER_S, LIMIT_S = 20.0, 85.0
JOB = 'b' * 16


def find_done(deploy: deployment.Deployment) -> set[str]:
    """Return the tasks of the job that have ended `done`."""
    return {
        task for r in deploy.runners for _, what, task, _ in r.history
        if what == 'done' and task.startswith(JOB)
    }


def play(log: record.Record, deploy: deployment.Deployment) -> int:
    """Play the case; return the exit status."""
    if not deploy.wait_ready():
        log.say('the deployment did not become ready')
        return 2
    client = deployment.Client(deploy)
    step = {'Count': TASKS, 'Cpu': 1000, 'MemMb': 100, 'EstimateMs': 1000}
    path = f'/batch/{JOB}'
    if not client.submit(path, {'run_s': RUN_S, 'cpu': 1000}, [step]):
        log.say('the job was not accepted')
        return 2
    accepted_at = client.accepted[path]
    log.say('job accepted with', TASKS, 'tasks')
    killed = not TROUBLE
    while True:
        time.sleep(0.5)
        age_s = log.now() - accepted_at
        if not killed and age_s >= KILL_AFTER_S:
            killed = True
            owner = deploy.find_owner()
            log.say(len(find_done(deploy)), 'tasks are done')
            deploy.kill(owner)
        state = client.ask(path)
        done = len(find_done(deploy))
        if state == 'completed' and done < TASKS:
            # The rule holds at any time, so that nothing has to be awaited.
            log.say(f'MIXED: shown as completed with {done} of {TASKS} tasks'
                    ' done')
            time.sleep(14.0)
            running = sum(len(r.running) for r in deploy.runners)
            log.say('14 s later:', len(find_done(deploy)), 'tasks done,',
                    running, 'running, state', client.ask(path))
            return 1
        if state == 'completed':
            log.say('completed with', done, 'tasks done after', round(age_s))
            return 0
        if state in ('unknown', 'failed', 'cancelled'):
            log.say('LOST: the job is shown as', state)
            return 1
        if age_s > LIMIT_S:
            log.say('not completed in time; state', state, 'with', done,
                    'tasks done')
            return 1 if TROUBLE else 2


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

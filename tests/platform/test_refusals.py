"""Bring about, with real processes, refusals beside a changing owner.

A refusal (429 or 503) of a submission promises that the job never runs.
"""

import json
import pathlib
import threading
import time

import deployment as deployments
import http_calls

# Delay of each message between the schedulers, and time for which the store
# refuses every call, in seconds. The owner refuses a submission, and the store
# answers again before it reads the copy that is sent a second later.
PEER_DELAY_S = 0.7
STORE_DOWN_S = 2.0
BODY = json.dumps(
    {'Spec': 'x', 'Phases': [{'Count': 1, 'Cpu': 500, 'MemMb': 10}]}
).encode()


def test_refused_jobs_never_run(tmp_path: pathlib.Path) -> None:
    """Guard against a job that runs though each of its tries was refused.

    Its submission was sent to the owner twice, the first copy was refused and
    the second one accepted (REFUSED on mouldhub-fj-grown).
    """
    made = deployments.Deployment(tmp_path, linked=True)
    refused: list[str] = []

    def submit(job: str, front: str) -> None:
        status, _ = http_calls.call_once(front, 'POST', f'/q/{job}', BODY)
        if status in (429, 503):
            refused.append(job)

    try:
        made.submit('f' * 16, count=1)
        made.wait_completed('f' * 16)
        owner = made.find_owner()
        other = next(name for name in made.fronts if name != owner)
        for name in made.fronts:
            made.links[name].set_faults(delay_s=PEER_DELAY_S)
        made.store.down = True
        threads = []
        until = time.monotonic() + STORE_DOWN_S
        number = 0
        while time.monotonic() < until:
            number += 1
            threads.append(
                threading.Thread(
                    target=submit,
                    args=(f'{number:016x}', made.fronts[other]),
                )
            )
            threads[-1].start()
            time.sleep(0.05)
        made.store.down = False
        for thread in threads:
            thread.join()
        for name in made.fronts:
            made.links[name].set_faults()
        made.submit('e' * 16, count=1)
        made.wait_completed('e' * 16)
        began = {task.partition('.')[0] for task in made.checker.started}
        assert sorted(began & set(refused)) == [], made.read_logs()
        assert made.checker.violations == []
    finally:
        made.close()

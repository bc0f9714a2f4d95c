"""Replace the owner again and again, with real processes, after a loss."""

import pathlib
import signal
import time

import deployment as deployments
import platform_fakes
import pytest
import test_operator_reports as operator_reports

JOB = 'a' * 16
TASK = f'{JOB}.0.0.0'
STEP = {'Count': 1, 'Cpu': 500, 'MemMb': 10, 'LongRunning': True}
# Time from the restart of an owner until the next one is stopped, which takes
# up to 3 s; together they are shorter than a lease. Number of restarts.
INTERVAL_S = 1.0
RESTARTS = 8


def test_task_of_a_lost_runner_starts_though_owners_are_restarted(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against a task that waits a lease from each take-over (LOST).

    Its runner is lost for good, and the agent beside it serves on. The task
    must not start before the lease of the lost run has ended either.
    """
    monkeypatch.setattr(platform_fakes, 'TASK_DURATION_S', 1000.0)
    made = deployments.Deployment(tmp_path)
    checker = made.checker
    body = {'Spec': 'x', 'Phases': [STEP]}
    try:
        made.wait(lambda: made.call('POST', f'/q/{JOB}', body)[0] == 200)
        made.wait(lambda: TASK in checker.running)
        lost = checker.running[TASK]
        # The lease is extended once more before the runner is lost.
        made.wait(lambda: lost.lease_until_ms > 0)
        lost.unreachable = True
        for _ in range(RESTARTS):
            owner = operator_reports.find_newest_owner(made)
            process = made.processes[owner]
            process.send_signal(signal.SIGTERM)
            made.restart_stopped({owner: process})
            time.sleep(INTERVAL_S)
            if checker.started[TASK] > checker.first_start[TASK]:
                break
        assert checker.started[TASK] > checker.first_start[TASK], (
            made.read_logs()
        )
        assert checker.violations == []
    finally:
        made.close()

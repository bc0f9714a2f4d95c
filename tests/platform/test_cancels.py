"""Bring about, with real processes, runs that go on after a cancel."""

import json
import pathlib
import signal
import socket
import time

import deployment as deployments
import http_calls
import platform_fakes
import pytest

# Time for which each connection between the agent and the scheduler falls
# silent as soon as it is established, in seconds.
SILENCE_S = 2.5
BODY = json.dumps(
    {'Spec': 'x', 'Phases': [{'Count': 1, 'Cpu': 500, 'MemMb': 10}]}
).encode()


def send_submission(front: str, job: str) -> socket.socket:
    """Send a whole submission; return its connection."""
    host, _, port = front.partition(':')
    conn = socket.create_connection(
        (host, int(port)), http_calls.CALL_TIMEOUT_S
    )
    head = (
        f'POST /q/{job} HTTP/1.1\r\nHost: {http_calls.HOST}\r\n'
        f'Content-Length: {len(BODY)}\r\n\r\n'
    )
    conn.sendall(head.encode() + BODY)
    return conn


def wait_logged(made: deployments.Deployment, name: str, event: str) -> None:
    """Wait until a process, which may still be starting, logs an event."""
    log = made.folder / f'{name}.log'
    made.wait(lambda: f'"{event}"' in log.read_text())


def test_submission_in_a_suspended_scheduler_never_runs_after_its_cancel(
    tmp_path: pathlib.Path,
) -> None:
    """Guard against a job that runs though its cancel was confirmed (UNASKED).

    The caller gets no answer, cancels the job at another scheduler and leaves.
    The first scheduler forwards the submission when it is resumed.
    """
    made = deployments.Deployment(tmp_path)
    try:
        made.submit('f' * 16, count=1)
        made.wait_completed('f' * 16)
        owner = made.find_owner()
        other = next(name for name in made.fronts if name != owner)
        wait_logged(made, other, 'owner changed')
        job = 'a' * 16
        made.processes[other].send_signal(signal.SIGSTOP)
        conn = send_submission(made.fronts[other], job)
        status, _ = http_calls.call_once(
            made.fronts[owner], 'DELETE', f'/q/{job}'
        )
        assert status in (200, 410), made.read_logs()
        made.processes[other].send_signal(signal.SIGCONT)
        conn.settimeout(deployments.WAIT_TIMEOUT_S)
        assert conn.recv(4096).startswith(b'HTTP/1.1 '), made.read_logs()
        conn.close()
        made.submit('e' * 16, count=1)
        made.wait_completed('e' * 16)
        began = {task.partition('.')[0] for task in made.checker.started}
        assert job not in began, made.read_logs()
        assert made.checker.violations == []
    finally:
        made.close()


def test_cancel_without_an_owner_is_carried_out_later(
    tmp_path: pathlib.Path,
) -> None:
    """Guard against a job that runs on after a cancel that was refused.

    The owner is killed while the store is away; the caller tries once.
    """
    made = deployments.Deployment(tmp_path)
    step = {'Count': 2, 'Cpu': 500, 'MemMb': 10, 'LongRunning': True}
    # Lasting tasks don't end on their own.
    body = {'Spec': 'inf', 'Phases': [step]}
    job = 'a' * 16
    try:
        made.submit('f' * 16, count=1)
        made.wait_completed('f' * 16)
        owner = made.find_owner()
        other = next(name for name in made.fronts if name != owner)
        wait_logged(made, other, 'owner changed')
        made.wait(lambda: made.call('POST', f'/q/{job}', body)[0] == 200)
        made.wait(lambda: f'{job}.0.0.1' in made.checker.started)
        made.store.down = True
        made.processes[owner].kill()
        made.processes[owner].wait()
        wait_logged(made, other, 'owner lost')
        status, _ = http_calls.call_once(
            made.fronts[other], 'DELETE', f'/q/{job}'
        )
        assert status == 503, made.read_logs()
        made.store.down = False
        made.wait(
            lambda: (
                made.call('GET', f'/q/{job}')[1].get('State') == 'cancelled'
            )
        )
        made.wait(lambda: not made.checker.running)
        for task in (f'{job}.0.0.0', f'{job}.0.0.1'):
            assert made.checker.list_outcomes(task) == ['stopped']
        assert made.checker.violations == []
    finally:
        made.close()


def test_cancel_without_a_configuration_is_carried_out_later(
    tmp_path: pathlib.Path,
) -> None:
    """Guard against a job that runs on after a cancel was refused (503).

    The schedulers were restarted while the store was away (fault soak, seed
    201); the caller tries once.
    """
    made = deployments.Deployment(tmp_path)
    step = {'Count': 1, 'Cpu': 500, 'MemMb': 10, 'LongRunning': True}
    # A lasting task doesn't end on its own.
    body = {'Spec': 'inf', 'Phases': [step]}
    job = 'a' * 16
    try:
        made.wait(lambda: made.call('POST', f'/q/{job}', body)[0] == 200)
        made.store.down = True
        for name in made.fronts:
            made.processes[name].kill()
            made.processes[name].wait()
            made.start(name)
        made.wait(
            lambda: (
                http_calls.call_once(made.fronts['s1'], 'GET', f'/q/{job}')[0]
                == 503
            )
        )
        status, _ = http_calls.call_once(
            made.fronts['s1'], 'DELETE', f'/q/{job}'
        )
        assert status == 503, made.read_logs()
        made.store.down = False
        made.wait(
            lambda: (
                made.call('GET', f'/q/{job}')[1].get('State') == 'cancelled'
            )
        )
        made.wait(lambda: not made.checker.running)
    finally:
        made.close()


def test_run_is_stopped_after_sessions_fell_silent(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against a run of a cancelled job that ends with its lease only.

    Connections of the agent fall silent while they are established, and it
    has no owner for seconds after that; a lease of 10 s ends late (UNASKED).
    """
    monkeypatch.setattr(platform_fakes, 'TASK_DURATION_S', 1000.0)
    monkeypatch.setattr(
        deployments,
        'SETTINGS',
        deployments.SETTINGS.replace('MaxHoldMs = 6000', 'MaxHoldMs = 10000'),
    )
    made = deployments.Deployment(
        tmp_path, schedulers=1, agents=1, linked=True
    )
    job = 'a' * 16
    body = {'Spec': 'x', 'Phases': [{'Count': 1, 'Cpu': 500, 'MemMb': 10}]}
    try:
        made.wait(lambda: made.call('POST', f'/q/{job}', body)[0] == 200)
        made.wait(lambda: f'{job}.0.0.0' in made.checker.running)
        # A scan of the agent later, its lease is extended.
        made.wait(lambda: made.runners['a1'].lease_until_ms > 0)
        until = time.monotonic() + SILENCE_S
        while time.monotonic() < until:
            made.links['s1'].silence()
            time.sleep(0.002)
        assert made.call('DELETE', f'/q/{job}')[0] == 200
        runner = made.runners['a1']

        def is_ended() -> bool:
            with runner.lock:
                runner.update()
            return not runner.running

        made.wait(is_ended)
        outcomes = made.checker.list_outcomes(f'{job}.0.0.0')
        assert outcomes == ['stopped'], made.read_logs()
    finally:
        made.close()

"""Bring about, with real processes, a cancel that overtakes its submission."""

import json
import pathlib
import signal
import socket

import deployment as deployments
import http_calls

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
    body = {'Spec': 'x', 'Phases': [step]}
    job = 'a' * 16
    try:
        made.wait(lambda: made.call('POST', f'/q/{job}', body)[0] == 200)
        made.wait(lambda: f'{job}.0.0.1' in made.checker.started)
        owner = made.find_owner()
        other = next(name for name in made.fronts if name != owner)
        made.store.down = True
        made.processes[owner].kill()
        made.processes[owner].wait()
        made.wait(lambda: '"owner lost"' in made.read_logs())
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
        assert made.checker.violations == []
    finally:
        made.close()

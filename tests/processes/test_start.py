"""Check the output and the exit status of a daemon that cannot start."""

import socket
import subprocess
import sys

# Time within which a daemon that cannot start must exit, in seconds.
TIMEOUT_S = 60.0


def run_daemon(*args: str) -> subprocess.CompletedProcess[str]:
    """Run a daemon until it exits."""
    return subprocess.run(
        [sys.executable, '-m', 'kcr_daemon.main', *args],
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )


def test_port_in_use_ends_the_process() -> None:
    """Guard against a daemon that keeps running without its port."""
    with socket.socket() as listener:
        listener.bind(('127.0.0.1', 0))
        listener.listen()
        port = listener.getsockname()[1]
        flags = ['--process', 'e', '--region', 'r', '--zone', 'z']
        flags += ['--listen', f'127.0.0.1:{port}']
        flags += ['--http', '127.0.0.1:1', '--log', '127.0.0.1:1']
        ended = run_daemon('entry', *flags)
    assert ended.returncode == 1
    # Log lines go to standard output, where operators collect them.
    assert 'cannot listen' in ended.stdout


def test_unknown_role_names_the_roles() -> None:
    """Guard against an unknown role that starts another one."""
    ended = run_daemon('runner')
    assert ended.returncode == 2
    assert 'entry,sidecar' in ended.stderr

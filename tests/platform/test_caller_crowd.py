"""Send crowds of unbounded callers to each listener of real processes.

A caller outside of our control made a process run out of memory. The settings
of the test have lower limits than a real instance. What is checked does not
depend on the speed of the machine.
"""

import pathlib
import time

import pytest

import caller_crowd
import deployment as deployments

# Limits of the instances in the settings file of the test.
LIMITS = """
[Limits]
MemoryMb = 100
MaxFds = 320
"""
# Bounds of what a process may use: resident memory and open temporary files
# in MiB, and open descriptors.
MAX_MEMORY_MB = 100
MAX_FDS = 110
JOB = 'a' * 16
JOB_PATH = f'/q/{"b" * 16}'
HEARTBEAT_PATH = '/-/Instances.Heartbeat/a1'
HTTP = [
    'large chunks', 'small chunks', 'stops short', 'chunk extensions',
    'trailers', 'large length', 'headers', 'open head', 'long header',
    'pipelined, unread', 'deep JSON', 'wide JSON', 'empty lists',
    'wrong items',
]  # fmt: skip
CONTROL = [
    'headers', 'open head', 'long header', 'open frame', 'pings, unread',
]  # fmt: skip
# Process, listener, path and patterns; the port of the metrics page is fixed.
LISTENERS = [
    ('s1', 'front', JOB_PATH, HTTP),
    ('s1', 'ready', '/-/readyz', HTTP),
    ('s1', 'metrics', '/metrics', HTTP),
    ('s1', 'control', '/', CONTROL),
    ('a1', 'control', HEARTBEAT_PATH, HTTP),
    ('a1', 'metrics', '/metrics', HTTP),
]


@pytest.mark.parametrize(('name', 'listener', 'path', 'patterns'), LISTENERS)
def test_crowd_stays_within_the_limits(
    tmp_path: pathlib.Path,
    name: str,
    listener: str,
    path: str,
    patterns: list[str],
) -> None:
    """Guard against a process that callers fill up, or that stops to serve."""
    made = deployments.Deployment(
        tmp_path, schedulers=1, agents=1, extra_settings=LIMITS
    )
    try:
        made.publish({**deployments.CONFIG, 'Version': 4, 'Limits': {}})
        made.submit(JOB, count=1)
        made.wait_completed(JOB)
        address = made.find_listener(name, listener)
        process = made.processes[name]
        faults = []
        for pattern in patterns:
            data = caller_crowd.PATTERNS.get(pattern)('POST', path)
            used = caller_crowd.play(address, data, process.pid)
            used.sample(process.pid)
            sent_at = time.monotonic()
            assert process.poll() is None, f'{pattern}: {made.read_logs()}'
            if used.memory_mb > MAX_MEMORY_MB or used.fds > MAX_FDS:
                faults.append(f'{pattern}: {used}')
            made.wait(lambda: made.is_completed(JOB))
            waited_s = time.monotonic() - sent_at
            print(f'{name} {listener} {pattern}: {used} {waited_s:.1f} s')
        made.submit('c' * 16, count=1)
        made.wait_completed('c' * 16)
        assert faults == []
    finally:
        made.close()

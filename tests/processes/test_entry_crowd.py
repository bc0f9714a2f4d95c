"""Send crowds of unbounded callers to each listener of a real entry.

The crowd and the bounds are those of the test with schedulers and agents. What
is checked does not depend on the speed of the machine.
"""

import pytest

import caller_crowd
from kcr_emulator import harness
import process_world

# Limits of the entry, lower than those of a real one.
LIMITS = ('--process-mb', '100', '--max-fds', '320')
# Bounds of what the entry may use: resident memory and open temporary files
# in MiB, and open descriptors.
MAX_MEMORY_MB = 100
MAX_FDS = 110
CONTROL = [
    'headers', 'open head', 'long header', 'open frame', 'pings, unread',
]  # fmt: skip
HTTP = [
    name
    for name in caller_crowd.PATTERNS.names()
    if name not in ('open frame', 'pings, unread')
]
# Listener, path and patterns.
LISTENERS = [
    ('callers', '/v1/requests', HTTP),
    ('callers', '/v1/tasks', HTTP),
    ('callers', '/v1/dump', ['pipelined, unread']),
    ('metrics', '/metrics', HTTP),
    ('control', '/', CONTROL),
]


@pytest.mark.parametrize(('listener', 'path', 'patterns'), LISTENERS)
def test_crowd_stays_within_the_limits(
    listener: str, path: str, patterns: list[str]
) -> None:
    """Guard against an entry that callers fill up, or that stops to serve."""
    held = harness.HeldPorts(1)
    metrics = f'{harness.LOOPBACK}:{held.numbers[0]}'
    shape = harness.Shape(
        entries=1, instances=1, entry_flags=(*LIMITS, '--metrics', metrics)
    )
    with process_world.deploy(shape) as world:
        entry = world.process('entry-0')
        ports = world.deployment.entries['entry-0']
        address = {
            'callers': f'{harness.LOOPBACK}:{ports.http}',
            'metrics': metrics,
            'control': f'{harness.LOOPBACK}:{ports.wire}',
        }[listener]
        assert entry.popen is not None
        faults = []
        for pattern in patterns:
            data = caller_crowd.PATTERNS.get(pattern)('POST', path)
            used = caller_crowd.play(address, data, entry.popen.pid)
            used.sample(entry.popen.pid)
            log = entry.log_path.read_text()[-1500:]
            assert entry.is_running(), f'{pattern}: {log}'
            if used.memory_mb > MAX_MEMORY_MB or used.fds > MAX_FDS:
                faults.append(f'{pattern}: {used}')
            process_world.wait_for(
                lambda: world.health(0) == 200, f'{pattern}: entry answers'
            )
            print(f'{listener} {path} {pattern}: {used}')
        world.wait_ready()
        assert world.ask(0, 'after')['outcome'] == 'done'
        assert faults == []
    held.release()

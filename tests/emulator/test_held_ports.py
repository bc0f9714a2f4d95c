"""Check that the ports of a deployment stay free for its processes."""

import pathlib
import socket
import subprocess
import sys

import pytest

from kcr_emulator import harness

# Listens as the processes of a deployment do, and ends.
LISTEN = """
import sys
from twisted.internet import protocol, reactor
port = reactor.listenTCP(
    int(sys.argv[1]), protocol.Factory(), interface='127.0.0.1'
)
reactor.callLater(0, reactor.stop)
reactor.run()
"""
# Prints ports of the harness, and holds them until its input ends.
HOLD = """
import sys
from kcr_emulator import harness
held = harness.HeldPorts(500)
print(*held.numbers, flush=True)
sys.stdin.read()
"""


@pytest.mark.parametrize(
    ('outgoing', 'ports'),
    [
        ('32768\t60999\n', range(10_000, 32_768)),
        ('1024\t40000\n', range(40_001, 65_536)),
        ('15000\t65535\n', range(10_000, 15_000)),
    ],
)
def test_ports_are_not_those_of_connections(
    outgoing: str, ports: range
) -> None:
    """Guard against a connection that gets the port of a process."""
    assert harness.list_ports(outgoing) == ports


def test_held_port_is_only_for_the_process() -> None:
    """Guard against a port that another run takes before its process."""
    held = harness.HeldPorts(3)
    port = held.numbers[0]
    with socket.socket() as other, pytest.raises(OSError):
        other.bind((harness.LOOPBACK, port))
    with socket.socket() as caller, pytest.raises(ConnectionRefusedError):
        caller.connect((harness.LOOPBACK, port))
    for _ in range(2):
        command = [sys.executable, '-c', LISTEN, str(port)]
        assert subprocess.run(command, timeout=60.0).returncode == 0
    held.release()


def test_two_runs_at_the_same_time_get_different_ports() -> None:
    """Guard against two deployments with one port, as it was free before."""
    text = pathlib.Path(harness.OUTGOING_PORTS).read_text()
    count = min(500, len(harness.list_ports(text)) // 8)
    command = [sys.executable, '-c', HOLD.replace('500', str(count))]
    runs = [
        subprocess.Popen(
            command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )
        for _ in range(4)
    ]
    found: list[str] = []
    for run in runs:
        assert run.stdout is not None
        found += run.stdout.readline().split()
    for run in runs:
        run.communicate(timeout=60.0)
    assert len(found) == 4 * count
    assert len(set(found)) == 4 * count

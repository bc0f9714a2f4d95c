"""Start and stop the processes of a whole deployment on loopback.

The demo, the process tests and the benchmarks describe a deployment by a
`Shape` and run it as a `Deployment`: an emulated log, an emulated runner and
worker per instance, and the entries and sidecars under test. Leaving the
`with` block kills every process by its pid, also after an exception.
"""

import dataclasses
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import types
import typing

from kcr_runtime import memory

# Time within which a process must exit after a signal, in seconds.
STOP_TIMEOUT_S = 40.0
LOOPBACK = '127.0.0.1'
# Instances in one rack.
RACK_SIZE = 3


# Ports that are tried: below those of outgoing connections, which Linux takes
# from the range in this file, or above them if there is little room below.
LOWEST_PORT = 10_000
HIGHEST_PORT = 65_535
OUTGOING_PORTS = pathlib.Path('/proc/sys/net/ipv4/ip_local_port_range')


def list_ports(outgoing: str) -> range:
    """Return the ports to choose from, given those of connections."""
    low, high = map(int, outgoing.split())
    below = range(LOWEST_PORT, low)
    above = range(high + 1, HIGHEST_PORT + 1)
    return max(below, above, key=len)


class HeldPorts:
    """Hold free TCP ports of the loopback address until they are released.

    A socket is bound to each port, so that no other run and no connection
    takes it. A process that sets SO_REUSEADDR, as servers do, can listen on
    it, again after a restart too, as the socket that holds it doesn't listen.
    """

    def __init__(self, count: int) -> None:
        # Ports that are held.
        self.numbers: list[int] = []
        self._sockets: list[socket.socket] = []
        ports = list(list_ports(OUTGOING_PORTS.read_text()))
        random.SystemRandom().shuffle(ports)
        for port in ports:
            if len(self.numbers) == count:
                return
            self._try(port)
        self.release()
        raise OSError(f'fewer than {count} ports are free')

    def _try(self, port: int) -> None:
        sock = socket.socket()
        try:
            # Without SO_REUSEADDR, it fails if anybody has bound the port.
            sock.bind((LOOPBACK, port))
        except OSError:
            sock.close()
            return
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.numbers.append(port)
        self._sockets.append(sock)

    def release(self) -> None:
        """Let others take the ports."""
        for sock in self._sockets:
            sock.close()


@dataclasses.dataclass
class Managed:
    """Run one process with its output redirected to a log file."""

    # Name of the process.
    name: str
    # Command line.
    command: list[str]
    # File to which standard output and standard error are appended.
    log_path: pathlib.Path
    # Process of the latest start; none before the first start.
    popen: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        assert not self.is_running(), f'{self.name} is already running'
        with open(self.log_path, 'ab') as out:
            self.popen = subprocess.Popen(
                self.command,
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=out,
                start_new_session=True,
            )

    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self.popen is not None and self.popen.poll() is None

    def signal(self, signum: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.popen is not None, f'{self.name} has not been started'
        self.popen.send_signal(signum)

    def kill(self) -> None:
        """Kill the process with SIGKILL and wait until it has exited."""
        if self.is_running():
            self.signal(signal.SIGKILL)
        if self.popen is not None:
            self.popen.wait(STOP_TIMEOUT_S)

    def resident_kb(self) -> int:
        """Return the resident memory in KiB; 0 if it is not running."""
        if self.popen is None or not self.is_running():
            return 0
        return memory.resident_kb(self.popen.pid)

    def cpu_seconds(self) -> float:
        """Return the CPU time used so far, in s; 0 if it is not running."""
        if self.popen is None or not self.is_running():
            return 0.0
        path = pathlib.Path(f'/proc/{self.popen.pid}/stat')
        fields = path.read_text().rpartition(')')[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf('SC_CLK_TCK')


@dataclasses.dataclass(frozen=True, slots=True)
class EntryPorts:
    """Store the ports of one entry."""

    # Port for messages from sidecars and other entries.
    wire: int
    # Port of the HTTP interface for callers.
    http: int


@dataclasses.dataclass(frozen=True, slots=True)
class InstancePorts:
    """Store the ports of one emulated instance."""

    # Port of the emulated runner.
    runner: int
    # Port of the emulated worker.
    worker: int


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """Describe the size and the emulated behavior of a deployment."""

    # Number of entries.
    entries: int = 2
    # Number of instances, each with runner, worker and sidecar.
    instances: int = 3
    # Number of availability zones; instances go to them in turn.
    zones: int = 2
    # Mean service time of the runners, in ms.
    service_ms: float = 5.0
    # Slowdown of each runner by tasks on the same instance: `kind=share`,
    # as in `noise.infer_effects`; empty for no slowdown.
    noise: tuple[str, ...] = ()
    # Calls that each runner serves at the same time.
    slots: int = 8
    # Cores of each worker that tasks can use.
    processors: float = 16.0
    # Memory of each worker that tasks can use, in MiB.
    memory_mb: float = 60_000.0
    # Seed of every random choice.
    seed: int = 1
    # Further flags of each entry.
    entry_flags: tuple[str, ...] = ()


class Deployment:
    """Own the processes of one deployment; use it in a `with` block."""

    def __init__(self, shape: Shape) -> None:
        # Size and behavior of the deployment.
        self.shape = shape
        # Directory of the log files.
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='kcr-'))
        # Processes by name.
        self.processes: dict[str, Managed] = {}
        self._held = HeldPorts(3 + 2 * shape.entries + 2 * shape.instances)
        ports = list(self._held.numbers)
        # Port of the emulated log.
        self.log_port = ports.pop()
        # Ports of the entry that serves the trial environment.
        self.trial = EntryPorts(ports.pop(), ports.pop())
        # Ports of the entries by name.
        self.entries = {
            f'entry-{n}': EntryPorts(ports.pop(), ports.pop())
            for n in range(shape.entries)
        }
        # Ports of the instances by name.
        self.instances = {
            f'instance-{n}': InstancePorts(ports.pop(), ports.pop())
            for n in range(shape.instances)
        }

    def __enter__(self) -> 'Deployment':
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        for process in self.processes.values():
            process.kill()
        self._held.release()

    def start(self) -> None:
        """Start every process, the emulated platform first."""
        self._add('log', self._emulator('log', self.log_port))
        for name, ports in self.instances.items():
            self._add(f'runner/{name}', self._runner(ports))
            self._add(f'worker/{name}', self._worker(ports))
        for number, name in enumerate(self.entries):
            self._add(name, self._entry(name, number))
        self._add('trial-entry', self._trial_entry())
        for number, name in enumerate(self.instances):
            self._add(f'sidecar/{name}', self._sidecar(name, number))

    def stop(self) -> dict[str, int | None]:
        """Stop entries and sidecars with SIGTERM; return exit statuses.

        A process that has not exited in time is killed. The emulators keep
        running, so that their counts can be read.
        """
        daemons = [
            p
            for name, p in self.processes.items()
            if name in self.entries or name.startswith(('sidecar/', 'trial-'))
        ]
        for process in daemons:
            if process.is_running():
                process.signal(signal.SIGTERM)
        deadline = time.monotonic() + STOP_TIMEOUT_S
        for process in daemons:
            assert process.popen is not None
            try:
                process.popen.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
        return {p.name: p.popen.returncode for p in daemons if p.popen}

    def entry_urls(self) -> list[str]:
        """Return the base URL of each entry."""
        return [f'http://{LOOPBACK}:{p.http}' for p in self.entries.values()]

    def addresses(self) -> str:
        """Return the addresses of all entries in the form of KCR_ENTRIES."""
        ports = [p.http for p in self.entries.values()]
        return ','.join(f'{LOOPBACK}:{p}' for p in (*ports, self.trial.http))

    def log_url(self) -> str:
        """Return the base URL of the emulated log."""
        return f'http://{LOOPBACK}:{self.log_port}'

    def runner_urls(self) -> list[str]:
        """Return the base URL of each emulated runner."""
        ports = self.instances.values()
        return [f'http://{LOOPBACK}:{p.runner}' for p in ports]

    def worker_urls(self) -> list[str]:
        """Return the base URL of each emulated worker."""
        ports = self.instances.values()
        return [f'http://{LOOPBACK}:{p.worker}' for p in ports]

    def _add(self, name: str, command: list[str]) -> None:
        path = self.folder / f'{name.replace("/", "-")}.log'
        self.processes[name] = Managed(name, command, path)
        self.processes[name].start()

    def _emulator(self, kind: str, port: int, *more: str) -> list[str]:
        module = 'kcr_emulator.serve'
        head = [sys.executable, '-m', module, kind, '--port', str(port)]
        return [*head, '--seed', str(self.shape.seed), *more]

    def _runner(self, ports: InstancePorts) -> list[str]:
        shape = self.shape
        noise = ['--worker', f'{LOOPBACK}:{ports.worker}', '--noise']
        return self._emulator(
            'runner',
            ports.runner,
            '--slots',
            str(shape.slots),
            '--service-ms',
            str(shape.service_ms),
            *((*noise, *shape.noise) if shape.noise else ()),
        )

    def _worker(self, ports: InstancePorts) -> list[str]:
        shape = self.shape
        return self._emulator(
            'worker',
            ports.worker,
            '--processors',
            str(shape.processors),
            '--memory-mb',
            str(shape.memory_mb),
        )

    def _daemon(self, role: str, process: str, number: int) -> list[str]:
        place = make_place(self.shape, number)
        flags = {
            '--process': process,
            '--seed': str(self.shape.seed + number),
            **{f'--{name}': value for name, value in place.items()},
        }
        pairs = [part for pair in flags.items() for part in pair]
        return [sys.executable, '-m', 'kcr_daemon.main', role, *pairs]

    def _entry(self, name: str, number: int) -> list[str]:
        others = [p.wire for n, p in self.entries.items() if n != name]
        command = self._daemon('entry', name, number)
        command += self._entry_ports(self.entries[name])
        for port in others:
            command += ['--peers', f'{LOOPBACK}:{port}']
        return [*command, *self.shape.entry_flags]

    def _entry_ports(self, ports: EntryPorts) -> list[str]:
        return [
            '--listen',
            f'{LOOPBACK}:{ports.wire}',
            '--http',
            f'{LOOPBACK}:{ports.http}',
            '--log',
            f'{LOOPBACK}:{self.log_port}',
        ]

    def _trial_entry(self) -> list[str]:
        command = self._daemon('entry', 'trial-entry', 0)
        command[command.index('region-0')] = 'trial-region'
        return [
            *command,
            *self._entry_ports(self.trial),
            '--environment',
            'trial',
        ]

    def _sidecar(self, name: str, number: int) -> list[str]:
        ports = self.instances[name]
        shape = self.shape
        command = self._daemon('sidecar', f'sidecar-{name}', number)
        command += ['--instance', name, '--service', 'web']
        command += ['--runner', f'{LOOPBACK}:{ports.runner}']
        command += ['--worker', f'{LOOPBACK}:{ports.worker}']
        command += ['--slots', str(shape.slots)]
        command += ['--processors', str(shape.processors)]
        command += ['--memory-mb', str(shape.memory_mb)]
        for entry in self.entries.values():
            command += ['--entries', f'{LOOPBACK}:{entry.wire}']
        return command


def make_place(shape: Shape, number: int) -> dict[str, str]:
    """Return region, zone and rack of the process with a number."""
    zone = f'zone-{number % shape.zones}'
    rack = f'{zone}-rack-{number // RACK_SIZE}'
    return {'region': 'region-0', 'zone': zone, 'rack': rack}


def make_places(shape: Shape) -> dict[str, dict[str, str]]:
    """Return region, zone and rack of each instance by its name."""
    return {
        f'instance-{number}': make_place(shape, number)
        for number in range(shape.instances)
    }


def wait_for(
    check: typing.Callable[[], bool], timeout_s: float, what: str
) -> None:
    """Poll until `check` returns true; raise TimeoutError if it does not."""
    deadline = time.monotonic() + timeout_s
    while not check():
        if time.monotonic() > deadline:
            raise TimeoutError(
                f'{what}: condition not met within {timeout_s:.0f} s'
            )
        time.sleep(0.05)

"""Run real scheduler and agent processes with fakes of the platform.

The tests with real processes and the fault soak start, stop and call the
processes through the class Deployment.
"""

from collections import abc
import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import threading
import time
import typing

import http_calls
import platform_fakes
import proxy

from kcr_platform import settings

# Timeout of waiting for an expected state, in seconds; long, as the test
# machine may be busy.
WAIT_TIMEOUT_S = 60.0
# Timeout of a process after SIGTERM, in seconds: GraceS of the settings, and a
# margin for a busy test machine.
STOP_TIMEOUT_S = 10.0
# Time in which the interpreter starts and runs the first line of the program,
# in seconds; before that the process can't handle a signal.
INTERPRETER_START_S = 1.0
CONFIG: dict[str, typing.Any] = {
    'Version': 3,
    'Routes': [
        {
            'Name': 'r',
            'Host': http_calls.HOST,
            'PathPrefix': '/q/',
            'Service': 'svc',
            'MaxAttempts': 3,
            'SlackFactor': 2.0,
            'TargetLatencyMs': 600,
        }
    ],
    'Services': [],
    'Limits': {'MaxBodyBytes': 10000, 'IdleTimeoutMs': 15000},
}
SETTINGS = """
NodeName = "{name}"
Ip = "{ip}"
Zone = "z"
Region = "r"
Seeds = [{seeds}]
app = "{app}"
advertise = "{advertise}"
[Listen]
Front = "{front}"
Ready = "{ready}"
Control = "{control}"
[Bounds]
MaxHoldMs = 6000
GraceS = 6
[platform]
Addr = "{store}"
"""


def find_ports(count: int) -> list[int]:
    """Return free ports of the loopback interface."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for item in sockets:
            item.bind(('127.0.0.1', 0))
        return [item.getsockname()[1] for item in sockets]


class Deployment:
    """Run schedulers and agents with fakes of the store and of runners.

    If `linked` is set, the processes connect to the store, to their runners
    and to the schedulers through links into which a test can inject faults.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        schedulers: int = 2,
        agents: int = 2,
        linked: bool = False,
        log_filler: abc.Callable[[platform_fakes.LogStore], None] = (
            lambda store: None
        ),
        store_rate: int = 0,
        extra_settings: str = '',
        heartbeat_interval_s: float = 0.3,
    ) -> None:
        self.folder = folder
        # Time between heartbeats of each runner, in seconds.
        self._heartbeat_interval_s = heartbeat_interval_s
        # Tables that are added to each settings file.
        self._extra_settings = extra_settings
        # Bytes a second between each scheduler and the store; 0 for any
        # number.
        self._store_rate = store_rate
        self.store = platform_fakes.LogStore()
        # Writes what the store holds before the first process starts.
        log_filler(self.store)
        # Version of the newest published configuration.
        self.version = CONFIG['Version']
        self.publish(CONFIG)
        self.checker = platform_fakes.RunChecker()
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.started_at: dict[str, float] = {}
        self.fronts: dict[str, str] = {}
        self.runners: dict[str, platform_fakes.Runner] = {}
        self.controls: dict[str, str] = {}
        self.settings: dict[str, tuple[str, pathlib.Path]] = {}
        # Address of each listener by name, by process.
        self._listeners: dict[str, dict[str, str]] = {}
        self.network = proxy.Network() if linked else None
        # Links by name, such as `store of a1`; a scheduler's is its own name.
        self.links: dict[str, proxy.Link] = {}
        self._ended = threading.Event()
        # Scheduler that is suspended while callers submit through it; empty
        # for none. Whether there is no owner, and callers cancel once.
        # Number of callers that wait for the answer to a cancel.
        self.held = ''
        self.ownerless = False
        self.cancelling = 0
        # Each process has its own loopback address, as the port of the metrics
        # page is the same for all. Other test runs may go on beside this one.
        group, number = divmod(os.getpid(), 250)
        self._hosts = (
            f'127.{1 + group % 250}.{number}.{n}' for n in range(2, 250)
        )
        ports = find_ports(3)
        hosts = {f's{n}': next(self._hosts) for n in range(1, schedulers + 1)}
        self.seeds = [
            self._link(name, f'{host}:{ports[2]}')
            for name, host in hosts.items()
        ]
        for (name, host), seed in zip(hosts.items(), self.seeds):
            self.fronts[name] = f'{host}:{ports[0]}'
            self._write(name, 'scheduler', host, ports, advertise=seed)
        for number in range(1, agents + 1):
            name = f'a{number}'
            runner = platform_fakes.Runner(name, self.checker)
            self.runners[name] = runner
            host = next(self._hosts)
            self.controls[name] = f'{host}:{ports[2]}'
            app = self._link(f'runner of {name}', runner.address)
            self._write(name, 'agent', host, ports, app)
        for name in self.runners:
            threading.Thread(
                target=self._send_heartbeats, args=(name,), daemon=True
            ).start()

    def publish(self, config: dict[str, typing.Any]) -> None:
        """Publish a configuration in the store."""
        self.store.put('keyed.op', 'config', config)

    def evacuate(self, zone: str, allowed_s: float) -> None:
        """Evacuate a zone; starts are a violation after a time."""
        self.store.put('keyed.op', f'evacuate/{zone}', {})
        self.checker.closed_from[zone] = time.monotonic() + allowed_s

    def end_evacuation(self, zone: str) -> None:
        """End the evacuation of a zone."""
        self.checker.closed_from.pop(zone, None)
        self.store.remove('keyed.op', f'evacuate/{zone}')

    def _link(self, name: str, target: str) -> str:
        """Return the address to use for a target: a link or the target."""
        if self.network is None:
            return target
        self.links[name] = self.network.connect(target)
        if name.startswith('store of s'):
            self.links[name].rate = self._store_rate
        return self.links[name].address

    def _write(
        self,
        name: str,
        role: str,
        ip: str,
        ports: list[int],
        app: str = '',
        advertise: str = '',
    ) -> None:
        path = self.folder / f'{name}.toml'
        path.write_text(
            SETTINGS.format(
                name=name,
                ip=ip,
                seeds=', '.join(f'"{s}"' for s in self.seeds[:3]),
                app=app,
                advertise=advertise,
                front=f'{ip}:{ports[0]}',
                ready=f'{ip}:{ports[1]}',
                control=f'{ip}:{ports[2]}',
                store=self._link(f'store of {name}', self.store.address),
            )
            + self._extra_settings
        )
        self._listeners[name] = {
            'front': f'{ip}:{ports[0]}',
            'ready': f'{ip}:{ports[1]}',
            'control': f'{ip}:{ports[2]}',
            'metrics': f'{ip}:{settings.METRICS_PORT}',
        }
        self.settings[name] = (role, path)
        self.start(name)

    def find_listener(self, name: str, listener: str) -> str:
        """Return the address of a listener of a process."""
        return self._listeners[name][listener]

    def start(self, name: str) -> None:
        """Start one process."""
        role, path = self.settings[name]
        self.started_at[name] = time.monotonic()
        with (self.folder / f'{name}.log').open('ab') as out:
            self.processes[name] = subprocess.Popen(
                [sys.executable, '-m', 'kcr_platform.main', role],
                env={**os.environ, 'KINGCUPROUTER_CONFIG': str(path)},
                stdout=out,
                stderr=out,
            )

    def restart_stopped(
        self, items: abc.Mapping[str, subprocess.Popen[bytes]]
    ) -> None:
        """Wait for processes that were signalled to stop; start them again.

        Record an unexpected exit status. A process that another fault has
        already replaced is skipped.
        """
        for name, item in items.items():
            if self.processes[name] is not item:
                continue
            # A suspended process can't handle SIGTERM.
            item.send_signal(signal.SIGCONT)
            try:
                status = item.wait(timeout=STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                self.checker.violations.append(
                    f'{name} did not end in time after SIGTERM'
                )
                item.send_signal(signal.SIGKILL)
                status = item.wait()
            if status not in (0, -signal.SIGKILL):
                self.checker.violations.append(
                    f'{name} ended with status {status}'
                )
            self.start(name)

    def list_running(self) -> list[str]:
        """Return the names of running processes that can handle signals."""
        now = time.monotonic()
        return [
            name
            for name, item in sorted(self.processes.items())
            if item.poll() is None
            and now - self.started_at[name] >= INTERPRETER_START_S
        ]

    def publish_next(self) -> None:
        """Publish a next version, with an extra route named after it."""
        self.version += 1
        extra = {
            **CONFIG['Routes'][0],
            'Name': f'v{self.version}',
            'PathPrefix': f'/v{self.version}/',
        }
        routes = [*CONFIG['Routes'], extra]
        self.publish({**CONFIG, 'Version': self.version, 'Routes': routes})

    def _send_heartbeats(self, name: str) -> None:
        runner, seq = self.runners[name], 0
        while not self._ended.wait(self._heartbeat_interval_s):
            seq += 1
            beats = time.monotonic() >= runner.beats_from
            if beats and not runner.unreachable:
                runner.send_heartbeat(self.controls[name], seq)

    def call(
        self, method: str, path: str, body: typing.Any = None
    ) -> tuple[int, typing.Any]:
        """Call the first scheduler that answers."""
        data = None if body is None else json.dumps(body).encode()
        for front in self.fronts.values():
            status, answer = http_calls.call_once(front, method, path, data)
            if 200 <= status < 300:
                return status, answer
        return status, {}

    def wait(self, condition: typing.Callable[[], bool]) -> None:
        """Wait until a condition holds; else fail with the logs."""
        end = time.monotonic() + WAIT_TIMEOUT_S
        while not condition():
            assert time.monotonic() < end, self.read_logs()
            time.sleep(0.05)

    def read_logs(self) -> str:
        """Return the last part of each log."""
        return '\n'.join(
            f'{p.name}: {p.read_text()[-1500:]}'
            for p in sorted(self.folder.glob('*.log'))
        )

    def submit(self, job: str, count: int = 4) -> None:
        """Submit a job of two steps; retry until it is accepted."""
        step = {'Count': count, 'Cpu': 500, 'MemMb': 10}
        body = {
            'Spec': 'x',
            'Phases': [step, {**step, 'Count': 1, 'DependsOn': [0]}],
        }
        self.wait(lambda: self.call('POST', f'/q/{job}', body)[0] == 200)

    def is_completed(self, job: str) -> bool:
        """Return whether a job is reported as completed."""
        state = self.call('GET', f'/q/{job}')[1].get('State')
        return bool(state == 'completed')

    def wait_completed(self, job: str) -> None:
        """Wait until a job is reported as completed."""
        self.wait(lambda: self.is_completed(job))

    def find_owner(self) -> str:
        """Return the scheduler whose log reports ownership most often."""
        counts = {
            name: (self.folder / f'{name}.log').read_text().count('"leading"')
            for name in self.fronts
        }
        return max(counts, key=lambda name: counts[name])

    def close(self) -> None:
        """Kill the processes and close the fakes and links."""
        self._ended.set()
        for item in self.processes.values():
            if item.poll() is None:
                item.send_signal(signal.SIGKILL)
            item.wait()
        self.store.close()
        for runner in self.runners.values():
            runner.close()
        if self.network is not None:
            self.network.close()

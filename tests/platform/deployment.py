"""Run real schedulers and agents beside stand-ins of the platform."""

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
import proxy
import stand_ins

# Time in which an expected state is reached, in seconds; generous, as the
# machine may be busy.
LIMIT_S = 60.0
# Time in which a process that was told to stop has ended, in seconds: GraceS
# of the settings, and a margin for a busy machine.
STOP_S = 10.0
# Time in which the interpreter has run its first line of ours, in seconds;
# before that no process can handle a signal.
INTERPRETER_S = 1.0
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
    """Return free ports."""
    with contextlib.ExitStack() as stack:
        held = [stack.enter_context(socket.socket()) for _ in range(count)]
        for item in held:
            item.bind(('127.0.0.1', 0))
        return [item.getsockname()[1] for item in held]


class Deployment:
    """Run schedulers and agents beside stand-ins.

    With links, each process reaches the store and its runner, and each
    scheduler is reached by others, through a link that a test can harm.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        schedulers: int = 2,
        agents: int = 2,
        linked: bool = False,
    ) -> None:
        self.folder = folder
        self.store = stand_ins.LogStore()
        # Version of the newest configuration.
        self.version = CONFIG['Version']
        self.publish(CONFIG)
        self.tally = stand_ins.Tally()
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.started_at: dict[str, float] = {}
        self.fronts: dict[str, str] = {}
        self.runners: dict[str, stand_ins.Runner] = {}
        self.controls: dict[str, str] = {}
        self.settings: dict[str, tuple[str, pathlib.Path]] = {}
        self.network = proxy.Network() if linked else None
        # Links by what they lead to, as in `store of a1`.
        self.links: dict[str, proxy.Link] = {}
        self._ended = threading.Event()
        # Each process has a loopback address of its own, as the metrics page
        # has the same port everywhere.
        self._hosts = (f'127.0.{os.getpid() % 250}.{n}' for n in range(2, 250))
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
            runner = stand_ins.Runner(name, self.tally)
            self.runners[name] = runner
            host = next(self._hosts)
            self.controls[name] = f'{host}:{ports[2]}'
            app = self._link(f'runner of {name}', runner.address)
            self._write(name, 'agent', host, ports, app)
        threading.Thread(target=self._beat, daemon=True).start()

    def publish(self, config: dict[str, typing.Any]) -> None:
        """Put a configuration into force."""
        self.store.put('keyed.op', 'config', config)

    def _link(self, name: str, target: str) -> str:
        """Return the address at which a target is reached."""
        if self.network is None:
            return target
        self.links[name] = self.network.connect(target)
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
        )
        self.settings[name] = (role, path)
        self.start(name)

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

    def revive(self, items: abc.Mapping[str, subprocess.Popen[bytes]]) -> None:
        """Start processes again that were told to end, and check the end.

        A process that has been replaced since is left alone.
        """
        for name, item in items.items():
            if self.processes[name] is not item:
                continue
            # A paused process can't follow SIGTERM.
            item.send_signal(signal.SIGCONT)
            try:
                status = item.wait(timeout=STOP_S)
            except subprocess.TimeoutExpired:
                self.tally.wrong.append(f'{name} goes on after SIGTERM')
                item.send_signal(signal.SIGKILL)
                status = item.wait()
            if status not in (0, -signal.SIGKILL):
                self.tally.wrong.append(f'{name} ended with status {status}')
            self.start(name)

    def list_running(self) -> list[str]:
        """Return the processes whose interpreter has started."""
        now = time.monotonic()
        return [
            name
            for name, item in sorted(self.processes.items())
            if item.poll() is None
            and now - self.started_at[name] >= INTERPRETER_S
        ]

    def publish_next(self) -> None:
        """Put a configuration into force that replaces an extra route."""
        self.version += 1
        extra = {
            **CONFIG['Routes'][0],
            'Name': f'v{self.version}',
            'PathPrefix': f'/v{self.version}/',
        }
        routes = [*CONFIG['Routes'], extra]
        self.publish({**CONFIG, 'Version': self.version, 'Routes': routes})

    def _beat(self) -> None:
        seq = 0
        while not self._ended.wait(0.3):
            seq += 1
            for name, runner in self.runners.items():
                if not runner.dead:
                    runner.beat(self.controls[name], seq)

    def call(
        self, method: str, path: str, body: typing.Any = None
    ) -> tuple[int, typing.Any]:
        """Call the first scheduler that answers."""
        data = None if body is None else json.dumps(body).encode()
        for front in self.fronts.values():
            status, answer = http_calls.ask_once(front, method, path, data)
            if 200 <= status < 300:
                return status, answer
        return status, {}

    def wait(self, condition: typing.Callable[[], bool]) -> None:
        """Wait until a condition holds."""
        end = time.monotonic() + LIMIT_S
        while not condition():
            assert time.monotonic() < end, self.read_logs()
            time.sleep(0.05)

    def read_logs(self) -> str:
        """Return the ends of the logs."""
        return '\n'.join(
            f'{p.name}: {p.read_text()[-1500:]}'
            for p in sorted(self.folder.glob('*.log'))
        )

    def submit(self, job: str, count: int = 4) -> None:
        """Submit a job of two steps until it is accepted."""
        step = {'Count': count, 'Cpu': 500, 'MemMb': 10}
        body = {
            'Spec': 'x',
            'Phases': [step, {**step, 'Count': 1, 'DependsOn': [0]}],
        }
        self.wait(lambda: self.call('POST', f'/q/{job}', body)[0] == 200)

    def is_completed(self, job: str) -> bool:
        """Tell whether a job is shown as completed."""
        state = self.call('GET', f'/q/{job}')[1].get('State')
        return bool(state == 'completed')

    def wait_completed(self, job: str) -> None:
        """Wait until a job is shown as completed."""
        self.wait(lambda: self.is_completed(job))

    def find_owner(self) -> str:
        """Return the scheduler that leads by its log."""
        led = {
            name: (self.folder / f'{name}.log').read_text().count('"leading"')
            for name in self.fronts
        }
        return max(led, key=lambda name: led[name])

    def close(self) -> None:
        """End what was started."""
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

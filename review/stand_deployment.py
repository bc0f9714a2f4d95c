"""Start the project's programs with the commands of the deploy file."""

import asyncio
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

import stand_http as http

ROOT = pathlib.Path(__file__).resolve().parents[1]
METRICS_PORT = 9464
HOST = 'jobs.example'
SETTINGS = """
NodeName = "{name}"
Role = "{role}"
MachineClass = "{machine}"
Ip = "{ip}"
Zone = "z1"
Region = "r1"
Seeds = [{seeds}]
Bootstrap = true
HeartbeatMs = 1500
CommandMode = "push"
{extra}
[Listen]
{listen}
[Limits]
CpuShare = 1.0
Cores = 1
MemoryMb = 300
MaxFds = 4096
LinkMbps = 1000.0
[Bounds]
ContactMs = 4000
GraceS = 6
ConfigApplyMs = 3000
MaxHoldMs = {hold_ms}
KillGraceMs = 400
GangTimeoutMs = 3000
LeaseMs = 3000
[platform]
Addr = "{store}"
form = "log"
MaxRecordBytes = 262144
MaxCallBytes = 2097152
keep_s = 300
"""
# `MaxHoldMs` of the sites, in milliseconds.
MAX_HOLD_MS = {'tzc-planning': 6000, 'mouldhub-fj': 10_000}


class Record:
    """Write what is sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self.began = time.monotonic()

    def write(self, who, text):
        """Add one line; what ends with the case has no place any more."""
        if self._file.closed:
            return
        now = time.monotonic() - self.began
        self._file.write(f'{now:9.3f} {who:12} {text}\n')

    def close(self):
        """Write out what is left."""
        self._file.close()


def _is_free(ip, port):
    with socket.socket() as item:
        try:
            item.bind((ip, port))
        except OSError:
            return False
    return True


def _find_network():
    """Return two octets of loopback addresses that nobody uses."""
    for _ in range(200):
        net = f'127.{random.randint(16, 250)}.{random.randint(1, 250)}'
        if all(_is_free(f'{net}.{n}', METRICS_PORT) for n in (2, 3, 4)):
            return net
    raise RuntimeError('no free loopback addresses')


def _find_ports(ip):
    """Return three ports that are free at an address."""
    sockets = [socket.socket() for _ in range(3)]
    for item in sockets:
        item.bind((ip, 0))
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


class Deployment:
    """Run some schedulers, and an agent beside each runner."""

    def __init__(self, record, store, site, schedulers=2, advice=''):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self._store = store
        self._advice = advice
        self._hold_ms = MAX_HOLD_MS[site]
        self._net = _find_network()
        self._ips = (f'{self._net}.{n}' for n in range(2, 250))
        self._roles = tomllib.loads(
            (ROOT / 'deploy/system.toml').read_text()
        )['roles']
        self.processes = {}
        self.fronts, self.ready, self.controls = {}, {}, {}
        self._names = [f'frontend-{n + 1}' for n in range(schedulers)]
        ips = {name: next(self._ips) for name in self._names}
        self._ports = _find_ports(ips[self._names[0]])
        self._seeds = [f'{ip}:{self._ports[2]}' for ip in ips.values()]
        self._scheduler_ips = ips

    def start_schedulers(self):
        """Start every scheduler."""
        for name, ip in self._scheduler_ips.items():
            front, ready, control = (f'{ip}:{p}' for p in self._ports)
            self.fronts[name], self.ready[name] = front, ready
            listen = (
                f'Front = "{front}"\nReady = "{ready}"\n'
                f'Control = "{control}"'
            )
            extra = f'Advice = "{self._advice}"' if self._advice else ''
            self._start(name, 'scheduler', ip, listen, extra)

    def start_agent(self, name, app, service='svc'):
        """Start the agent of a runner; return its Control address."""
        ip = next(self._ips)
        control = f'{ip}:{self._ports[2]}'
        extra = f'app = "{app}"\nService = "{service}"'
        if self._advice:
            extra += f'\nAdvice = "{self._advice}"'
        self._start(name, 'agent', ip, f'Control = "{control}"', extra)
        self.controls[name] = control
        return control

    def _start(self, name, role, ip, listen, extra):
        path = self.folder / f'{name}.toml'
        path.write_text(
            SETTINGS.format(
                name=name, role=role, machine=self._roles[role]['on'], ip=ip,
                seeds=', '.join(f'"{s}"' for s in self._seeds[:3]),
                extra=extra, listen=listen, store=self._store,
                hold_ms=self._hold_ms,
            )
        )
        env = {
            k: v for k, v in os.environ.items()
            if k in ('PATH', 'HOME', 'LANG')
        }
        env['KINGCUPROUTER_CONFIG'] = str(path)
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        with open(self.folder / f'{name}.log', 'ab') as out:
            self.processes[name] = subprocess.Popen(
                self._roles[role]['run'].split(' '), cwd=ROOT, env=env,
                stdin=subprocess.DEVNULL, stdout=out, stderr=out,
            )
        self.record.write(name, 'process started')

    def signal(self, name, signum):
        """Send a signal to a process."""
        self.record.write(name, f'signal {signal.Signals(signum).name}')
        self.processes[name].send_signal(signum)

    async def wait_ready(self, runners, timeout_s=25.0):
        """Wait until all fronts are ready and hold every runner."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            states = [
                (await http.call(a, 'GET', '/-/readyz', timeout=1.0))[0]
                for a in self.ready.values()
            ]
            held = [r.lease_until_ms > r.clock_ms() for r in runners]
            if all(s == 200 for s in states) and all(held):
                return True
            await asyncio.sleep(0.2)
        return False

    def find_ended(self):
        """Return the processes that have ended."""
        return [n for n, p in self.processes.items() if p.poll() is not None]

    def close(self, keep=None):
        """End all processes; keep their logs in a folder, if one is named."""
        for item in self.processes.values():
            if item.poll() is None:
                item.send_signal(signal.SIGCONT)
                item.kill()
        for item in self.processes.values():
            item.wait()
        if keep is not None:
            pathlib.Path(keep).mkdir(parents=True, exist_ok=True)
            for path in self.folder.glob('*.log'):
                shutil.copy(path, keep)
        shutil.rmtree(self.folder, ignore_errors=True)


class Consumer:
    """Submit jobs and ask for their state, as consumers do."""

    def __init__(self, record, deployment, prefix='/q/'):
        self.record = record
        self._deployment = deployment
        self.prefix = prefix
        # Time of the acceptance of each job.
        self.accepted = {}
        # Answers to each submission.
        self.answers = {}
        self._turn = 0

    def _next_front(self):
        fronts = list(self._deployment.fronts.values())
        self._turn += 1
        return fronts[self._turn % len(fronts)]

    async def call(self, method, name, body=None, prefix=None):
        """Send one request to the next front."""
        path = (prefix or self.prefix) + name
        status, out = await http.call(
            self._next_front(), method, path, body,
            {'Host': HOST, 'X-Deadline-Ms': '3000'}, 3.2,
        )
        shown = '' if not out else str(out)[:80]
        self.record.write(
            'consumer', f'{method} {path} -> {status or "no answer"} {shown}'
        )
        return status, out

    async def submit(self, job, body, prefix=None):
        """Hand a job in, with four retries; return whether it is accepted."""
        for _ in range(5):
            status, _ = await self.call('POST', job, body, prefix)
            self.answers.setdefault(job, []).append(status)
            if 200 <= status < 300:
                self.accepted[job] = time.monotonic()
                return True
            if status not in (0, 429, 502, 503, 504):
                return False
            await asyncio.sleep(0.5)
        return False

    async def state(self, job, prefix=None):
        """Return the state of a job, 410, or an empty text for no answer."""
        for _ in range(3):
            status, out = await self.call('GET', job, None, prefix)
            if status == 200:
                return out.get('State', '')
            if status == 410:
                return '410'
            await asyncio.sleep(0.3)
        return ''


def make_job_id(rng):
    """Return a new id of a job."""
    return f'{rng.getrandbits(64):016x}'


def make_config(version, routes, enforces=False):
    """Return a configuration; `routes` are fields beside the usual ones."""
    return {
        'Version': version,
        'Routes': [
            {
                'Host': HOST, 'Kind': 'non_idempotent', 'TimeoutMs': 3000,
                'TargetLatencyMs': 1000, 'Priority': 0, 'Service': 'svc',
                'MaxAttempts': 3, 'SlackFactor': 2.0, **route,
            }
            for route in routes
        ],
        'Services': [
            {
                'Name': 'svc', 'HealthPath': '/healthz', 'MaxConns': 64,
                'Protocol': 'h1', 'Tls': False, 'EnforcesCapacity': enforces,
                'Standby': False,
            }
        ],
        'Limits': {
            'MaxHeaderBytes': 16384, 'MaxBodyBytes': 262144,
            'HeaderTimeoutMs': 3000, 'IdleTimeoutMs': 15000,
        },
    }

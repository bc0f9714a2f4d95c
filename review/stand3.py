"""Run the project's processes beside stand-ins of the platform.

The store and the base of the runners are the project's own stand-ins
(tests/platform/platform_fakes.py), which build-3.sh copies. The settings are
those of a small deployment.
"""

import collections
import http.client
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

import platform_fakes

# The stand-in reports a runner as overcommitted above this.
platform_fakes.RUNNER_CPU = 1_000_000
ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = 'jobs.example'
SERVICE = 'svc'
# Bounds of sites/mouldhub-fj.toml.
FINISH_S = 14.0
HEARTBEAT_S = 1.5
CONFIG = {
    'Version': 3,
    'Routes': [
        {
            'Name': 'r', 'Host': HOST, 'PathPrefix': '/q/',
            'Kind': 'non_idempotent', 'TimeoutMs': 3000,
            'TargetLatencyMs': 600, 'Priority': 0, 'Service': SERVICE,
            'MaxAttempts': 3, 'SlackFactor': 1.5,
        },
    ],
    'Services': [{'Name': SERVICE, 'EnforcesCapacity': False}],
    'Limits': {
        'MaxBodyBytes': 262144, 'IdleTimeoutMs': 15000,
        'MaxHeaderBytes': 16384, 'HeaderTimeoutMs': 3000,
    },
}  # fmt: skip
SETTINGS = """
NodeName = "{name}"
Role = "{role}"
MachineClass = "{cls}"
Serves = {serves}
Ip = "{ip}"
Zone = "z1"
Region = "r1"
InternalPorts = [7720,7735]
Seeds = [{seeds}]
Bootstrap = true
CountsAsLoss = false
Discovery = "local"
Entry = "vip"
HeartbeatMs = 1500
Contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
CommandMode = "push"
{extra}
[Zones]
z1 = "r1"
[Listen]
{listen}
[Limits]
CpuShare = 1.0
Cores = 1
MemoryMb = 300
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 2
Zones = 0
Regions = 0
[Bounds]
SeedLagS = 3
AddrReuseS = 2
ContactMs = 4000
AckMs = 5000
CatchUpS = 4
DrainMs = 3000
GraceS = 6
LossSlackMs = 200
ConfigApplyMs = 3000
RollbackSlackMs = 250
MaxStretchMs = 6000
RecoveryS = 12
MaxHoldMs = 10000
KillGraceMs = 200
GangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
RemoteFactor = 1.5
CheckpointS = 1
RestoreMs = 600
RequireFencing = true
LeaseMs = 3000
ThawSlackMs = 300
PacingMs = 100
InterferenceMs = 4000
[platform]
Addr = "{store}"
form = "log"
WritesPerS = 800
ReadsPerS = 2000
parts = 32
AppendMs = 2.0
PartitionMbS = 20.0
ReadMbS = 80.0
MaxRecordBytes = 262144
MaxCallBytes = 2097152
keep_s = 300
PartitionMb = 200
MinTtlMs = 1000
"""


class Record:
    """Write what was sent, answered and run, with seconds from the start."""

    def __init__(self, path):
        self._file = open(path, 'w', buffering=1)
        self._lock = threading.Lock()
        self._began = time.monotonic()

    def __call__(self, *words):
        with self._lock:
            since = time.monotonic() - self._began
            self._file.write(f'{since:8.3f} ' + ' '.join(map(str, words)) + '\n')


class Runner(platform_fakes.Runner):
    """A runner with labels that records what it is told to run."""

    def __init__(self, name, checker, labels, record):
        self.labels, self.record = labels, record
        # Starts by task: list of (time, attempt).
        self.starts = collections.defaultdict(list)
        super().__init__(name, checker)

    def _start(self, msg):
        task, attempt = msg['Task'], msg['Attempt']
        known = self.running.get(task, (0,))[0] == attempt
        status, body = super()._start(msg)
        if status == 200 and not known:
            self.starts[task].append((time.monotonic(), attempt))
            self.record('start', self.runner_id, task, 'attempt', attempt)
        return status, body

    def _end(self, task, outcome, ended_at):
        attempt = self.running[task][0]
        super()._end(task, outcome, ended_at)
        self.record('end', self.runner_id, task, 'attempt', attempt, outcome)

    def make_heartbeat(self, seq):
        return {
            'Service': SERVICE, 'Addr': self.address, 'Zone': 'z1',
            'Version': 'v1', 'Slots': 8, 'State': 'ready',
            'ColdRemainingMs': 0,
            'Capacity': {'Cpu': 16000, 'MemMb': 32768, 'Gpu': 0},
            'Labels': self.labels, 'ClockMs': self.clock_ms(), 'Seq': seq,
            'born': self.born_ms,
        }  # fmt: skip


def post(address, path, body, timeout=1.0):
    """POST a JSON body; return the status, 0 for none."""
    conn = http.client.HTTPConnection(address, timeout=timeout)
    try:
        data = json.dumps(body).encode() if body is not None else b''
        conn.request(
            'POST', path, data, {'Content-Type': 'application/json'}
        )
        got = conn.getresponse()
        got.read()
        return got.status
    except (OSError, http.client.HTTPException):
        return 0
    finally:
        conn.close()


class Site:
    """Schedulers, agents, runners and the store on loopback addresses."""

    def __init__(self, record, labels, schedulers=3, runner_class=Runner):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review3-'))
        self.store = platform_fakes.LogStore()
        self.store.put('keyed.op', 'config', CONFIG)
        self.checker = platform_fakes.RunChecker()
        self.processes, self.commands = {}, {}
        self.fronts, self.controls, self.runners = {}, {}, {}
        self.seqs = collections.Counter()
        self.paused_beats = set()
        self._ended = threading.Event()
        base = f'127.{1 + os.getpid() % 250}.{1 + os.getpid() // 250 % 250}'
        hosts = iter(f'{base}.{n}' for n in range(2, 250))
        ports = self._find_ports(next(hosts))
        names = [f's{n}' for n in range(1, schedulers + 1)]
        ips = {name: next(hosts) for name in names}
        seeds = ', '.join(f'"{ip}:{ports[2]}"' for ip in ips.values())
        for name, ip in ips.items():
            self.fronts[name] = f'{ip}:{ports[0]}'
            listen = (
                f'Front = "{ip}:{ports[0]}"\nReady = "{ip}:{ports[1]}"\n'
                f'Control = "{ip}:{ports[2]}"'
            )
            self._write(
                name, 'scheduler', 'frontend',
                '["frontend","control_plane"]', ip, seeds, '', listen,
            )  # fmt: skip
        for number, kinds in enumerate(labels, 1):
            name, ip = f'a{number}', next(hosts)
            runner = runner_class(name, self.checker, kinds, record)
            self.runners[name] = runner
            self.controls[name] = f'{ip}:{ports[2]}'
            extra = f'app = "{runner.address}"\nService = "{SERVICE}"'
            self._write(
                name, 'agent', 'side', '["side"]', ip, seeds, extra,
                f'Control = "{ip}:{ports[2]}"',
            )  # fmt: skip
        for name in self.runners:
            threading.Thread(
                target=self._beat, args=(name,), daemon=True
            ).start()

    @staticmethod
    def _find_ports(host):
        sockets = [socket.socket() for _ in range(3)]
        for item in sockets:
            item.bind((host, 0))
        ports = [item.getsockname()[1] for item in sockets]
        for item in sockets:
            item.close()
        return ports

    def _write(self, name, role, cls, serves, ip, seeds, extra, listen):
        path = self.folder / f'{name}.toml'
        path.write_text(
            SETTINGS.format(
                name=name, role=role, cls=cls, serves=serves, ip=ip,
                seeds=seeds, extra=extra, listen=listen,
                store=self.store.address,
            )
        )  # fmt: skip
        self.commands[name] = (role, path)
        self.start(name)

    def start(self, name):
        """Start one process with the command of the deploy file."""
        role, path = self.commands[name]
        with (self.folder / f'{name}.log').open('ab') as out:
            self.processes[name] = subprocess.Popen(
                ['python3', '-m', 'kcr_platform.main', role],
                cwd=ROOT,
                env={
                    'PATH': os.environ['PATH'],
                    'HOME': os.environ.get('HOME', '/'),
                    'PYTHONPATH': str(ROOT / 'target/deps'),
                    'KINGCUPROUTER_CONFIG': str(path),
                },
                stdout=out, stderr=out,
            )  # fmt: skip
        self.record('process', name, 'started')

    def signal(self, name, number):
        self.processes[name].send_signal(number)
        self.record('process', name, signal.Signals(number).name)

    def _beat(self, name):
        while not self._ended.is_set():
            if name not in self.paused_beats:
                self.beat(name)
            self._ended.wait(HEARTBEAT_S)

    def beat(self, name):
        """Send the next ping of a runner."""
        runner = self.runners[name]
        self.seqs[name] += 1
        body = runner.make_heartbeat(self.seqs[name])
        status = post(
            self.controls[name],
            f'/-/Instances.Heartbeat/{runner.runner_id}', body,
        )  # fmt: skip
        self.after_beat(name, status)

    def after_beat(self, name, status):
        """Called after each ping of a runner."""

    def call(self, method, path, body=None, front=None, timeout=4.0):
        """Call a scheduler as a client; return status and body."""
        address = self.fronts[front or 's1']
        conn = http.client.HTTPConnection(address, timeout=timeout)
        data = None if body is None else json.dumps(body).encode()
        try:
            conn.request(
                method, path, data,
                {'Host': HOST, 'Content-Type': 'application/json',
                 'X-Deadline-Ms': '3000'},
            )  # fmt: skip
            got = conn.getresponse()
            text = got.read()
            status, out = got.status, json.loads(text) if text else {}
        except (OSError, http.client.HTTPException, ValueError):
            status, out = 0, {}
        finally:
            conn.close()
        self.record('client', method, path, 'at', front or 's1', '->', status, out)
        return status, out

    def submit(self, job, phases, spec='x', patience_s=20.0, **more):
        """Submit until it is accepted, at each scheduler in turn."""
        end = time.monotonic() + patience_s
        body = {'Spec': spec, 'Phases': phases, **more}
        while time.monotonic() < end:
            for front in self.fronts:
                status, _ = self.call('POST', f'/q/{job}', body, front)
                if status == 200:
                    return True
            time.sleep(0.5)
        return False

    def state(self, job):
        for front in self.fronts:
            status, out = self.call('GET', f'/q/{job}', None, front)
            if status == 200:
                return out.get('State')
            if status == 410:
                return 'unknown'
        return None

    def wait_state(self, job, wanted, seconds):
        """Return whether a job gets a state in time."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if self.state(job) == wanted:
                return True
            time.sleep(0.5)
        return False

    def is_running(self, job):
        """Return whether any task of a job runs on a runner."""
        for runner in self.runners.values():
            with runner.lock:
                runner.update()
                if any(t.startswith(job + '.') for t in runner.running):
                    return True
        return False

    def count_starts(self, job):
        return sum(
            len(starts)
            for runner in self.runners.values()
            for task, starts in runner.starts.items()
            if task.startswith(job + '.')
        )

    def find_owner(self):
        """Return the scheduler that has last reported that it owns the jobs."""
        found = {}
        for name in self.fronts:
            for line in (self.folder / f'{name}.log').read_text().splitlines():
                if '"leading"' in line:
                    try:
                        found[name] = json.loads(line)['timestamp']
                    except (ValueError, KeyError):
                        pass
        return max(found, key=found.get) if found else None

    def close(self):
        """End all processes that were started."""
        self._ended.set()
        for item in self.processes.values():
            if item.poll() is None:
                item.send_signal(signal.SIGKILL)
            item.wait()
        self.store.close()
        for runner in self.runners.values():
            runner.close()


def run(case, path, make):
    """Play a case; exit with 1 if the rule was broken, 0 if not, 2 if not run."""
    record = Record(path)
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record('case', case, 'trouble', trouble)
    status, site = 2, None
    # A run that is cut off still ends the processes that it started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        site = make(record)
        status = site.play(trouble)
    except BaseException as exc:  # The case could not run.
        record('error', repr(exc))
    finally:
        if site is not None:
            site.close()
            if os.environ.get('KEEP'):
                record('logs', site.folder)
            else:
                shutil.rmtree(site.folder, ignore_errors=True)
    record('exit', status)
    sys.exit(status)

"""Print what stands between the return of all processes and the first call.

Run by `make bench`. All schedulers and agents of a deployment with fakes of
the platform are killed and started again, and the runners begin a new
incarnation, as after a loss of power. For each stage the table has the time
since the start of the processes and the processor time that the process which
reached the stage first had used by then. `--imports` prints instead what the
imports of each role cost, by package as `python -X importtime` reports it.
`--before CHECKOUT` measures the code of another checkout in turn with this
one.
"""

import argparse
import collections
from collections import abc
import datetime
import json
import os
import pathlib
import signal
import statistics
import subprocess
import sys
import tempfile
import threading
import time
import typing

import deployment as deployments
import http_calls

from kcr_platform import main as platform_main

ROUNDS = 5
# Starts of each role whose processor time is measured.
IMPORT_ROUNDS = 11
SCHEDULERS = 3
AGENTS = 3
JOBS = 12
TASKS_PER_JOB = 40
POLL_INTERVAL_S = 0.005
CALL_INTERVAL_S = 0.05
# Time between heartbeats of a runner of the platform, in seconds.
HEARTBEAT_INTERVAL_S = 1.5
TICKS_PER_S = os.sysconf('SC_CLK_TCK')
# Events of the logs that end a stage, by role.
EVENTS = {
    'scheduler': (
        'started', 'configuration in force', 'claiming', 'leading',
        'runner ready',
    ),
    'agent': (
        'started', 'runner incarnation started', 'owner found',
        'lease granted', 'run started',
    ),
}  # fmt: skip
QUERY, SUBMISSION = 'first 200 to a query', 'first 200 to a submission'
TIMEOUT_S = 30.0
# Packages that cost most, of each role.
PACKAGES_SHOWN = 25

Stage = tuple[str, str]


class Watch:
    """Note when each stage was reached first, and at what cost."""

    def __init__(self, deployment: deployments.Deployment) -> None:
        self._deployment = deployment
        self._positions = {
            name: self._find_log(name).stat().st_size
            for name in deployment.processes
        }
        self.began = time.time()
        # Seconds since the start and processor seconds of the process.
        self.reached: dict[Stage, tuple[float, float]] = {}

    def _find_log(self, name: str) -> pathlib.Path:
        return self._deployment.folder / f'{name}.log'

    def read_logs(self) -> None:
        """Read what the processes have logged since the last time."""
        for name, process in self._deployment.processes.items():
            with self._find_log(name).open('rb') as log:
                log.seek(self._positions[name])
                data = log.read().rpartition(b'\n')
            if not data[1]:
                continue
            self._positions[name] += len(data[0]) + 1
            used_s = read_processor_s(process.pid)
            role = self._deployment.settings[name][0]
            for line in data[0].splitlines():
                if line.startswith(b'{'):
                    self._record(role, json.loads(line), used_s)

    def _record(
        self, role: str, line: dict[str, typing.Any], used_s: float
    ) -> None:
        if line['event'] not in EVENTS[role]:
            return
        at = datetime.datetime.fromisoformat(line['timestamp']).timestamp()
        stage = (role, line['event'])
        if at - self.began < self.reached.get(stage, (TIMEOUT_S, 0))[0]:
            self.reached[stage] = (at - self.began, used_s)

    def call(self, stage: str, front: str, method: str, path: str) -> None:
        """Call a scheduler until it answers with 200."""
        body = json.dumps(
            {'Spec': 'x', 'Phases': [{'Count': 1, 'Cpu': 500, 'MemMb': 10}]}
        ).encode()
        data = body if method == 'POST' else None
        while ('callers', stage) not in self.reached:
            if http_calls.call_once(front, method, path, data)[0] == 200:
                took_s = time.time() - self.began
                self.reached.setdefault(('callers', stage), (took_s, 0.0))
            time.sleep(CALL_INTERVAL_S)

    def is_complete(self) -> bool:
        """Return whether each stage was reached."""
        count = sum(map(len, EVENTS.values()))
        return len(self.reached) == count + 2


def read_processor_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    text = pathlib.Path(f'/proc/{pid}/stat').read_text()
    fields = text.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def restart_all(deployment: deployments.Deployment) -> Watch:
    """Kill and start everything; return the stages."""
    for item in deployment.processes.values():
        item.send_signal(signal.SIGKILL)
        item.wait()
    for runner in deployment.runners.values():
        runner.start_incarnation()
    watch = Watch(deployment)
    for name in list(deployment.processes):
        deployment.start(name)
    threads = [
        threading.Thread(target=watch.call, args=(stage, front, *args))
        for front in deployment.fronts.values()
        for stage, args in (
            (QUERY, ('GET', f'/q/{0:016x}')),
            (SUBMISSION, ('POST', f'/q/{time.time_ns():016x}')),
        )
    ]
    for thread in threads:
        thread.start()
    while not watch.is_complete():
        assert time.time() - watch.began < TIMEOUT_S, deployment.read_logs()
        watch.read_logs()
        time.sleep(POLL_INTERVAL_S)
    for thread in threads:
        thread.join()
    return watch


def run_round(folder: pathlib.Path) -> dict[Stage, tuple[float, float]]:
    """Run a deployment with open jobs and restart all of it."""
    folder.mkdir()
    deployment = deployments.Deployment(
        folder, SCHEDULERS, AGENTS, heartbeat_interval_s=HEARTBEAT_INTERVAL_S
    )
    try:
        for job in range(JOBS):
            deployment.submit(f'{job:016x}', TASKS_PER_JOB)
        return restart_all(deployment).reached
    finally:
        deployment.close()


def print_stages(
    code: str, rounds: abc.Sequence[dict[Stage, typing.Any]]
) -> None:
    """Print the median and the range of each stage."""
    print(f'{code}: s since the start of all processes, processor s of the')
    print(f'first that reached the stage; medians of {len(rounds)}')
    print(f'{"stage":<40} {"s":>6} {"range":>13} {"cpu s":>6}')
    medians = {
        stage: [statistics.median(r[stage][n] for r in rounds) for n in (0, 1)]
        for stage in rounds[0]
    }
    for stage, (at, used) in sorted(medians.items(), key=lambda m: m[1]):
        every = [r[stage][0] for r in rounds]
        spread = f'{min(every):.2f}-{max(every):.2f}'
        cpu = f'{used:>6.2f}' if used else f'{"":>6}'
        name = f'{stage[0]}: {stage[1]}'
        print(f'{name:<40} {at:>6.2f} {spread:>13} {cpu}')


def measure_import(role: str, *flags: str) -> tuple[float, float, str]:
    """Return processor s, MiB and standard error of the imports of a role.

    The program ends after its imports, as there is no settings file.
    """
    process = subprocess.Popen(
        [sys.executable, *flags, '-m', 'kcr_platform.main', role],
        env={**os.environ, 'KINGCUPROUTER_CONFIG': os.devnull + '/none'},
        stderr=subprocess.PIPE,
        text=True,
    )
    assert process.stderr is not None
    text = process.stderr.read()
    _, _, used = os.wait4(process.pid, 0)
    return used.ru_utime + used.ru_stime, used.ru_maxrss / 1024.0, text


def print_imports(paths: dict[str, str]) -> None:
    """Print processor time and the most expensive packages of each role."""
    for role in platform_main.ADAPTERS:
        found = collections.defaultdict(list)
        for _ in range(IMPORT_ROUNDS):
            for code, path in paths.items():
                os.environ['PYTHONPATH'] = path
                found[code].append(measure_import(role)[:2])
        for code, used in found.items():
            # The first start compiles the modules.
            cpu_s, mib = (statistics.median(u) for u in zip(*used[1:]))
            print(f'{code}: {role} imports {cpu_s:.3f} cpu s, {mib:.1f} MiB')
        own: collections.Counter[str] = collections.Counter()
        for line in measure_import(role, '-X', 'importtime')[2].splitlines():
            own_us, _, rest = line.removeprefix('import time:').partition('|')
            name = rest.rpartition('|')[2]
            if own_us.strip().isdigit():
                own[name.strip().partition('.')[0]] += int(own_us)
        for name, total_us in own.most_common(PACKAGES_SHOWN):
            print(f'{total_us / 1000:>8.1f} ms {name}')


def find_sources(checkout: pathlib.Path) -> str:
    """Return the search path of the packages of a checkout."""
    found = [*checkout.glob('packages/*/src'), checkout / 'platform/src']
    return os.pathsep.join(map(str, found))


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--imports', action='store_true')
    parser.add_argument('--rounds', type=int, default=ROUNDS)
    parser.add_argument('--before', type=pathlib.Path)
    args = parser.parse_args()
    paths = {'this code': find_sources(pathlib.Path(__file__).parents[2])}
    if args.before is not None:
        paths = {'before': find_sources(args.before.resolve()), **paths}
    with tempfile.TemporaryDirectory() as name:
        # On the platform the build has compiled the modules; here the first
        # start of each process does.
        os.environ.pop('PYTHONDONTWRITEBYTECODE', None)
        os.environ['PYTHONPYCACHEPREFIX'] = f'{name}/bytecode'
        if args.imports:
            print_imports(paths)
            return
        rounds: dict[str, list[typing.Any]] = {code: [] for code in paths}
        for number in range(args.rounds):
            for code, path in paths.items():
                os.environ['PYTHONPATH'] = path
                folder = pathlib.Path(name) / f'{code} {number}'
                rounds[code].append(run_round(folder))
        for code, found in rounds.items():
            print_stages(code, found)


if __name__ == '__main__':
    main()

"""Run a whole deployment under load, inject failures, check the guarantees.

`make demo` runs it. The exit status is 0 only if no request or task ran twice,
no capacity was exceeded, nothing accepted was lost and no refusal was false,
as counted by the emulators of the platform.
"""

import dataclasses
import random
import signal
import subprocess
import sys
import time
import typing

import defopt

from kcr_emulator import documents
from kcr_emulator import harness
from kcr_emulator import http
from kcr_emulator import load_tool
from kcr_emulator import tally

# Time for which requests are sent, in seconds.
LOAD_S = 18.0
# Number of tasks submitted.
TASKS = 40
# Timeouts of starting and of waiting for the tasks, in seconds.
READY_TIMEOUT_S = 15.0
TASKS_TIMEOUT_S = 40.0
# States after which a task does not change.
FINAL_STATES = ('done', 'failed', 'cancelled', 'unknown')


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedFailure:
    """Describe one failure to inject."""

    # Time after the start of the load, in seconds.
    at_s: float
    # Short name for the progress line.
    text: str
    # Name of the process that gets the signal.
    process: str
    signum: signal.Signals
    # Delay until the process is restarted, in seconds; none for never.
    restart_after_s: float | None


def plan_failures(rng: random.Random) -> list[PlannedFailure]:
    """Return the kills and the drain, ordered by their random times."""
    term, kill = signal.SIGTERM, signal.SIGKILL
    return sorted(
        [
            PlannedFailure(
                rng.uniform(3.0, 6.0), 'SIGKILL', 'entry-1', kill, 2.0
            ),
            PlannedFailure(
                rng.uniform(5.0, 9.0),
                'SIGKILL',
                'sidecar/instance-0',
                kill,
                1.0,
            ),
            PlannedFailure(
                rng.uniform(9.0, 12.0),
                'drain',
                'sidecar/instance-2',
                term,
                None,
            ),
        ],
        key=lambda failure: failure.at_s,
    )


class Demo:
    """Run one deployment under load and inject failures."""

    def __init__(self, seed: int, verbose: bool = True) -> None:
        # Seed of the load, the task sizes and the times of the failures.
        self.seed = seed
        # Counters of outcomes and violations.
        self.tally = tally.Tally()
        # Deployment under test.
        self.deployment = harness.Deployment(harness.Shape(seed=seed))
        self._verbose = verbose
        self._rng = random.Random(seed)
        self._started_at = time.monotonic()
        self._accepted: dict[str, str] = {}
        self._submitted = 0
        self._resident_kb: dict[str, int] = {}

    def print_progress(self, text: str) -> None:
        """Print a line of progress."""
        if self._verbose:
            elapsed = time.monotonic() - self._started_at
            print(f'[{elapsed:5.1f} s] {text}', flush=True)

    def run(self) -> dict[str, float]:
        """Run the demo; return the percentiles of the latency in ms."""
        with self.deployment as deployment:
            deployment.start()
            self.print_progress(
                f'processes started, logs in {deployment.folder}'
            )
            harness.wait_for(self._is_ready, READY_TIMEOUT_S, 'deployment')
            self.print_progress('all endpoints are up at every entry')
            self._publish()
            out = deployment.folder / 'load.json'
            sender = self._start_load(out)
            self._inject_failures(sender)
            self._wait_for_tasks()
            results, percentiles = load_tool.read(out)
            self._count(results)
            statuses = deployment.stop()
            self.print_progress(
                f'stopped with SIGTERM, exit statuses {statuses}'
            )
        return percentiles

    def _is_ready(self) -> bool:
        for url in self.deployment.entry_urls():
            status, dump = http.call('GET', f'{url}/v1/dump')
            if status != 200:
                return False
            endpoints = dump['fleet/membership']['endpoints'].values()
            up = sum(e['phase'] == 'up' for e in endpoints)
            if up < len(self.deployment.instances):
                return False
        return True

    def _publish(self) -> None:
        path = self.deployment.folder / 'document.yaml'
        path.write_text(documents.make_document(self.deployment.shape))
        entries = self.deployment.addresses()
        for command in (
            ['check', str(path)],
            ['try', str(path), '--operator', 'demo'],
            ['promote', '--operator', 'demo'],
        ):
            done = subprocess.run(
                [sys.executable, '-m', 'kcr_cli.main', *command],
                capture_output=True,
                text=True,
                timeout=30,
                env={'KCR_ENTRIES': entries, 'PATH': '/usr/bin:/bin'},
            )
            if done.returncode:
                raise RuntimeError(
                    f'{command[0]}: {done.stdout} {done.stderr}'
                )
        self.print_progress('document tried, promoted and in force')

    def _start_load(self, out: typing.Any) -> harness.Managed:
        command = [sys.executable, '-m', 'kcr_emulator.load_tool']
        command += ['--out', str(out), '--seconds', str(LOAD_S)]
        command += ['--seed', str(self.seed)]
        command += ['--entries', *self.deployment.entry_urls()]
        sender = harness.Managed(
            'load', command, self.deployment.folder / 'load.log'
        )
        self.deployment.processes['load'] = sender
        sender.start()
        return sender

    def _inject_failures(self, sender: harness.Managed) -> None:
        load_started_at = time.monotonic()
        planned = plan_failures(self._rng)
        restarts: list[tuple[float, str]] = []
        while sender.is_running():
            elapsed = time.monotonic() - load_started_at
            if planned and elapsed >= planned[0].at_s:
                failure = planned.pop(0)
                self._inject(failure)
                if failure.restart_after_s is not None:
                    restarts.append(
                        (elapsed + failure.restart_after_s, failure.process)
                    )
            for restart_at, name in list(restarts):
                if elapsed >= restart_at:
                    restarts.remove((restart_at, name))
                    self.deployment.processes[name].start()
                    self.print_progress(f'{name} restarted')
            self._submit_next()
            time.sleep(0.1)
        assert sender.popen is not None
        if sender.popen.returncode:
            raise RuntimeError(sender.log_path.read_text())
        self.print_progress('load finished')

    def _inject(self, failure: PlannedFailure) -> None:
        process = self.deployment.processes[failure.process]
        if failure.signum == signal.SIGKILL:
            process.kill()
        else:
            process.signal(failure.signum)
        self.print_progress(f'{failure.text} of {failure.process}')
        for name, other in self.deployment.processes.items():
            kb = other.resident_kb()
            self._resident_kb[name] = max(kb, self._resident_kb.get(name, 0))

    def _submit_next(self) -> None:
        if self._submitted >= TASKS:
            return
        self._submitted += 1
        body = documents.make_task(self._rng, f't{self._submitted}')
        urls = self.deployment.entry_urls()
        for url in self._rng.sample(urls, len(urls)):
            _, answer = http.call('POST', f'{url}/v1/tasks', body)
            if answer.get('outcome') == 'accepted':
                self._accepted[f'{body["caller"]}/{body["id"]}'] = 'accepted'
                return

    def _wait_for_tasks(self) -> None:
        self.print_progress(
            f'{len(self._accepted)} tasks accepted, waiting until they end'
        )
        try:
            harness.wait_for(
                lambda: not self._live_tasks(), TASKS_TIMEOUT_S, 'tasks'
            )
        except TimeoutError:
            self.print_progress(f'tasks not ended: {self._live_tasks()}')
        else:
            self.print_progress('all tasks ended')

    def _live_tasks(self) -> list[str]:
        url = self.deployment.entry_urls()[0]
        for key, state in self._accepted.items():
            if state not in FINAL_STATES:
                _, answer = http.call('GET', f'{url}/v1/tasks/{key}')
                self._accepted[key] = answer.get('state', 'no answer')
        return [k for k, s in self._accepted.items() if s not in FINAL_STATES]

    def _count(self, results: list[typing.Any]) -> None:
        counts = [
            http.call('GET', f'{url}/counts')[1]
            for url in self.deployment.runner_urls()
        ]
        tally.count_requests(self.tally, results, counts)
        workers = [
            http.call('GET', f'{url}/counts')[1]
            for url in self.deployment.worker_urls()
        ]
        tally.count_tasks(self.tally, self._accepted, workers)

    def report(self, percentiles: dict[str, float]) -> None:
        """Print the table of outcomes and the resident memory."""
        counts = dataclasses.asdict(self.tally)
        for name, value in counts.items():
            print(f'  {name.replace("_", " "):18} {value:8}')
        # The latencies include the delay after which a caller of a killed
        # entry submits to another one.
        for name, milliseconds in percentiles.items():
            print(f'  latency {name:10} {milliseconds:8.1f} ms')
        for name, kb in sorted(self._resident_kb.items()):
            if name.startswith(('entry', 'sidecar')):
                print(f'  resident {name:22} {kb / 1024:6.1f} MB')


def run(*, seed: int = 1) -> None:
    """Run the demo; exit with 1 if a guarantee was violated.

    :param seed: seed of the load and of the times of the failures
    """
    demo = Demo(seed)
    percentiles = demo.run()
    demo.report(percentiles)
    violations = demo.tally.list_violations()
    if violations:
        print(f'BROKEN: {", ".join(violations)} (seed {seed})')
        raise SystemExit(1)
    print(f'every promise held (seed {seed})')


def main() -> None:
    """Run the command line."""
    defopt.run(run)


if __name__ == '__main__':
    main()

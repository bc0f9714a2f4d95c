"""Stand in for a runner: leases, runs, ends and heartbeats.

The text of a job (`Spec`) tells the runner what its tasks do, as JSON:
`run_s` (how long a task works), `cpu` (what it uses, in thousandths of a
core), `lasts` (it runs until it is stopped) and `tail_ms` (its tail latency).
"""

import dataclasses
import json
import threading
import time
import typing

import stand2_record as record
import stand2_web as web

# Time between heartbeats (HeartbeatMs), and time in which a task that lasts
# starts up, in seconds.
HEARTBEAT_S = 1.5
STARTUP_S = 0.3
MAX_LISTED_ENDS = 500


@dataclasses.dataclass
class Run:
    """Store one run."""

    task: str
    attempt: int
    work: dict[str, typing.Any]
    began_at: float


class Runner(web.StandIn):
    """Keep what runs and what has ended; guard nothing, as EnforcesCapacity
    is false.
    """

    def __init__(
        self,
        host: str,
        name: str,
        service: str,
        zone: str,
        labels: list[str],
        log: record.Record,
        cpu: int = 16000,
        mem_mb: int = 64000,
    ) -> None:
        self.name = name
        self.runner_id = f'i-{name}'
        self.service, self.zone, self.labels = service, zone, labels
        self.cpu, self.mem_mb = cpu, mem_mb
        self.log = log
        # Whether all that is started here fails (`srv_grey`, errors).
        self.fails_all = False
        # Tail latency of the tasks that serve, where it is not their own.
        self.tail_ms: float | None = None
        self.control = ''
        self.seq = 0
        self._changed = threading.Condition()
        self._clock_zero = time.monotonic() - 100.0
        self._born = int(time.time() * 1000)
        self._token = 0
        self._deadline_ms = 0
        self.running: dict[str, Run] = {}
        self._ends: list[list[typing.Any]] = []
        self._last_end = 0
        self._highest: dict[str, int] = {}
        # Start and end of each run, for the checks of the case.
        self.history: list[tuple[float, str, str, int]] = []
        self._ended = threading.Event()
        super().__init__(host)
        threading.Thread(target=self._advance, daemon=True).start()

    # Time.

    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._clock_zero) * 1000)

    def _advance(self) -> None:
        while not self._ended.wait(0.02):
            with self._changed:
                self._update()

    def _update(self) -> None:
        if self.running and self._clock_ms() >= self._deadline_ms:
            for run in list(self.running.values()):
                self._end(run, 'lapsed')
        now = time.monotonic()
        for run in list(self.running.values()):
            if run.work.get('fails') and now - run.began_at >= 0.05:
                self._end(run, 'failed')
            elif not run.work.get('lasts') and (
                now - run.began_at >= run.work.get('run_s', 0.5)
            ):
                self._end(run, 'done')

    def _end(self, run: Run, how: str) -> None:
        del self.running[run.task]
        self._last_end += 1
        self._ends.append([self._last_end, run.task, run.attempt, how, ''])
        self._highest[run.task] = max(
            run.attempt, self._highest.get(run.task, 0)
        )
        self.history.append((self.log.now(), how, run.task, run.attempt))
        self.log.write('run ends', self.name, run.task, run.attempt, how)
        self._changed.notify_all()

    # Calls of the agent.

    def answer(
        self,
        path: str,
        fields: dict[str, str],
        body: bytes,
        headers: typing.Any,
    ) -> tuple[int, typing.Any] | None:
        """Answer an order or the extension of the lease."""
        if headers.get('X-Expect-Instance') != self.runner_id:
            return 421, {}
        msg = json.loads(body)
        with self._changed:
            self._update()
            token = msg.get('FencingToken', 0)
            if token < self._token:
                return self._refuse('fence')
            self._token = token
            if path == '/-/run-start':
                return self._start(msg)
            if path == '/-/run-stop':
                return self._stop(msg)
            if path == '/-/pace':
                return 200, {'ClockMs': self._clock_ms()}
            if path == '/-/hold':
                return self._hold(msg)
        return 404, {}

    def _refuse(self, reason: str) -> tuple[int, typing.Any]:
        return 409, {'ClockMs': self._clock_ms(), 'Reason': reason}

    def _start(self, msg: dict[str, typing.Any]) -> tuple[int, typing.Any]:
        task, attempt = msg['Task'], msg['Attempt']
        deadline = msg.get('DeadlineMs', 0)
        if deadline <= self._clock_ms():
            return self._refuse('late')
        self._deadline_ms = max(self._deadline_ms, deadline)
        known = self.running.get(task)
        if known is not None and known.attempt == attempt:
            return 200, {'ClockMs': self._clock_ms()}
        if attempt <= self._highest.get(task, 0):
            return self._refuse('old')
        work = json.loads(msg['Spec'] or '{}')
        if self.fails_all:
            work = {**work, 'fails': True}
        self.running[task] = Run(task, attempt, work, time.monotonic())
        self.history.append((self.log.now(), 'start', task, attempt))
        self.log.write('run starts', self.name, task, attempt)
        return 200, {'ClockMs': self._clock_ms()}

    def _stop(self, msg: dict[str, typing.Any]) -> tuple[int, typing.Any]:
        task, attempt = msg['Task'], msg['Attempt']
        run = self.running.get(task)
        if run is not None and run.attempt == attempt:
            self._end(run, 'stopped')
        self._highest[task] = max(attempt, self._highest.get(task, 0))
        return 200, {'ClockMs': self._clock_ms()}

    def _hold(self, msg: dict[str, typing.Any]) -> tuple[int, typing.Any]:
        self._deadline_ms = max(self._deadline_ms, msg.get('DeadlineMs', 0))
        cursor = msg.get('AckCursor', 0)
        self._ends = [end for end in self._ends if end[0] > cursor]
        until = time.monotonic() + min(2000, msg.get('WaitMs', 0)) / 1000.0
        while not self._ends and time.monotonic() < until:
            self._changed.wait(until - time.monotonic())
        return 200, {
            'ClockMs': self._clock_ms(),
            'born': self._born,
            'Running': [self._row(run) for run in self.running.values()],
            'Finished': self._ends[:MAX_LISTED_ENDS],
        }

    def _row(self, run: Run) -> list[typing.Any]:
        age_s = time.monotonic() - run.began_at
        if run.work.get('lasts'):
            tail = self.tail_ms or run.work.get('tail_ms', 0)
            percent = 100 if age_s >= STARTUP_S else 0
            return [run.task, run.attempt, '', percent, int(tail)]
        percent = min(99, int(100 * age_s / run.work.get('run_s', 0.5)))
        return [run.task, run.attempt, '', percent, run.work.get('cpu', 0)]

    # Heartbeats.

    def make_heartbeat(self) -> dict[str, typing.Any]:
        """Return the next heartbeat."""
        self.seq += 1
        return {
            'Service': self.service,
            'Addr': self.address,
            'Zone': self.zone,
            'Version': 'v1',
            'Slots': 8,
            'State': 'ready',
            'ColdRemainingMs': 0,
            'Capacity': {'Cpu': self.cpu, 'MemMb': self.mem_mb, 'Gpu': 0},
            'Labels': self.labels,
            'ClockMs': self._clock_ms(),
            'Seq': self.seq,
            'born': self._born,
        }

    def begin_heartbeats(self, control: str) -> None:
        """Send heartbeats to the agent at an address until the end."""
        self.control = control

        def beat() -> None:
            while not self._ended.is_set():
                status, _, _ = web.call(
                    control, 'POST',
                    f'/-/Instances.Heartbeat/{self.runner_id}',
                    self.make_heartbeat(), 1.0,
                )
                self._ended.wait(HEARTBEAT_S if status == 200 else 0.5)

        threading.Thread(target=beat, daemon=True).start()

    def end(self) -> None:
        """End heartbeats and close the port."""
        self._ended.set()
        self.close()

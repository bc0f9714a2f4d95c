"""Stand-in of a runner: leases, fences, lists, tickets, late orders."""

import asyncio
import dataclasses
import json
import random
import time
import zlib

import stand_http as http

# Ends that one list returns at most.
MAX_LISTED_ENDS = 500
# Longest wait of a list, in milliseconds.
MAX_WAIT_MS = 2000
# Time that a stop takes, in seconds; KillGraceMs of the settings is 400.
STOP_S = 0.05
# Time between two looks at the lease, in seconds.
TICK_S = 0.02


@dataclasses.dataclass(eq=False)
class Run:
    """One run of a task."""

    task: str
    attempt: int
    runner: str
    started: float
    # Times of the end and of the note of it; none before.
    ended: float | None = None
    noted: float | None = None
    # Number and outcome of the end.
    number: int = 0
    how: str = ''
    # Whether the lease lapsed between the end and its note.
    excused: bool = False
    # Processors and memory that it reserves.
    demand: tuple[int, int] = (0, 0)
    # Time at which it ends by itself, and how; none for one that lasts.
    due: float | None = None
    outcome: str = 'done'


class Task:
    """What a runner reads from the text that a task is started with."""

    def __init__(self, name, text):
        fields = json.loads(text)
        low, high = fields['ms']
        # The same duration in each run, spread over the tasks of a job.
        share = zlib.crc32(name.encode()) % 1000 / 1000.0
        self.duration_s = (low + share * (high - low)) / 1000.0
        self.lasts = fields.get('lasts', False)
        self.cpu = fields.get('cpu', 0)
        self.mem_mb = fields.get('mem', 0)


class Runner:
    """One lifetime of a runner on a machine."""

    def __init__(
        self, name, record, cpu, mem_mb, labels=('a', 'r1'), service='svc',
        max_hold_ms=6000, adviser=None,
    ):
        self.name = name
        self.record = record
        self.cpu, self.mem_mb = cpu, mem_mb
        self.labels, self.service = labels, service
        self.max_hold_ms = max_hold_ms
        # The advice service; whether each start needs one of its tickets.
        self.adviser = adviser
        self.needs_ticket = adviser is not None
        self.born_ms = int(time.time() * 1000)
        self._origin = time.monotonic() - random.uniform(100, 900)
        self.up = True
        self.token = 0
        self.lease_until_ms = 0.0
        self.running = {}
        self.ended = []
        self.end_count = 0
        self.highest_ended = {}
        # All runs of this lifetime.
        self.runs = []
        # Called for each order: None, a number of seconds after which it is
        # carried out without an answer, or a status to refuse it with.
        self.disturb = lambda path, msg: None
        self.seq = 0
        self.acked_beats = 0
        # Lists that wait for an end.
        self._waiting = set()
        self._late = set()
        self._tasks = []
        self.server = http.Server(self._answer)

    async def start(self, port=0):
        """Listen and watch the lease."""
        await self.server.start(port=port)
        self._tasks.append(asyncio.ensure_future(self._watch()))
        return self

    def start_beats(self, control, every_s=1.5):
        """Send a heartbeat to the agent's address from time to time."""
        self._tasks.append(asyncio.ensure_future(self._beat(control, every_s)))

    def crash(self):
        """End for good: nothing runs, nothing is answered."""
        self.up = False
        now = time.monotonic()
        for run in self.running.values():
            run.ended, run.how = now, 'crashed'
        self.running.clear()
        self.record.write(self.name, 'crashed')
        self.close()

    def close(self):
        """End everything."""
        for item in [*self._tasks, *self._late]:
            item.cancel()
        self.server.close()

    def clock_ms(self):
        """Return the time of the runner's own steady clock."""
        return int((time.monotonic() - self._origin) * 1000)

    def used(self):
        """Return the processors and the memory that its runs reserve."""
        demands = [run.demand for run in self.running.values()]
        return sum(d[0] for d in demands), sum(d[1] for d in demands)

    # Heartbeats.

    def beat_body(self):
        """Return what it says of itself."""
        self.seq += 1
        return {
            'Service': self.service, 'Addr': self.server.address, 'Zone': 'z1',
            'Version': 'v1', 'Slots': 8, 'State': 'ready',
            'ColdRemainingMs': 0,
            'Capacity': {'Cpu': self.cpu, 'MemMb': self.mem_mb, 'Gpu': 0},
            'Labels': list(self.labels), 'ClockMs': self.clock_ms(),
            'Seq': self.seq, 'born': self.born_ms,
        }

    async def _beat(self, control, every_s):
        while True:
            status, _ = await http.call(
                control, 'POST', f'/-/Instances.Heartbeat/{self.name}',
                self.beat_body(), timeout=1.0,
            )
            if status == 200:
                self.acked_beats += 1
            # Without an acknowledgement the next one is sent sooner.
            await asyncio.sleep(every_s if status == 200 else 0.3)

    # Time.

    async def _watch(self):
        while True:
            await asyncio.sleep(TICK_S)
            self._update()

    def _update(self):
        if self.clock_ms() > self.lease_until_ms:
            for run in self.runs:
                if run.ended is not None and run.noted is None:
                    run.excused = True
            for task in list(self.running):
                self._end(task, 'lapsed')
        now = time.monotonic()
        for task, run in list(self.running.items()):
            if run.due is not None and now >= run.due:
                self._end(task, run.outcome)

    def _end(self, task, how):
        run = self.running.pop(task)
        self.end_count += 1
        run.ended, run.how, run.number = time.monotonic(), how, self.end_count
        self.highest_ended[task] = max(
            self.highest_ended.get(task, 0), run.attempt
        )
        self.ended.append(run)
        self.record.write(
            self.name, f'end {run.number}: {task} run {run.attempt} {how}'
        )
        for item in self._waiting:
            if not item.done():
                item.set_result(None)

    # Calls of the agent.

    async def _answer(self, req):
        if not self.up:
            return http.NO_ANSWER
        msg = req.json()
        if req.path == '/-/hold':
            return await self._hold(req, msg)
        got = self.disturb(req.path, msg)
        if isinstance(got, int) and not isinstance(got, bool):
            self.record.write(
                self.name, f'refused with {got}: {req.path} {msg.get("Task")}'
                f' run {msg.get("Attempt")}'
            )
            return got, {}
        if isinstance(got, float):
            self.record.write(
                self.name, f'no answer, carried out in {got:.1f} s: {req.path}'
                f' {msg.get("Task")} run {msg.get("Attempt")}'
            )
            item = asyncio.ensure_future(self._carry_out_late(req, msg, got))
            self._late.add(item)
            await asyncio.sleep(got + 5)
            return http.NO_ANSWER
        return self._order(req, msg)

    async def _carry_out_late(self, req, msg, delay_s):
        await asyncio.sleep(delay_s)
        status, out = self._order(req, msg)
        self.record.write(
            self.name, f'late {req.path} {msg.get("Task")}'
            f' run {msg.get("Attempt")}: {status} {out.get("Reason", "")}'
        )

    def _refuse(self, reason):
        return 409, {'ClockMs': self.clock_ms(), 'Reason': reason}

    def _check(self, req, msg):
        """Return a refusal by lifetime or fence; else extend the lease."""
        if req.headers.get('x-expect-instance') not in (None, self.name):
            return 421, {}
        token = msg.get('FencingToken', 0)
        if token < self.token:
            return self._refuse('fence')
        self.token = token
        deadline = msg.get('DeadlineMs', 0)
        if req.path == '/-/run-start' and deadline <= self.clock_ms():
            return self._refuse('late')
        limit = self.clock_ms() + self.max_hold_ms
        self.lease_until_ms = max(self.lease_until_ms, min(deadline, limit))
        return None

    def _order(self, req, msg):
        refusal = self._check(req, msg)
        if refusal is not None:
            return refusal
        answer = 200, {'ClockMs': self.clock_ms()}
        task, attempt = msg['Task'], msg['Attempt']
        if req.path == '/-/run-start':
            return self._start(msg, task, attempt) or answer
        if req.path == '/-/run-stop':
            self.highest_ended[task] = max(
                self.highest_ended.get(task, 0), attempt
            )
            run = self.running.get(task)
            if run is not None and run.attempt == attempt:
                run.due, run.outcome = time.monotonic() + STOP_S, 'stopped'
            return answer
        return answer

    def _start(self, msg, task, attempt):
        current = self.running.get(task)
        if current is not None and current.attempt == attempt:
            return None
        if attempt <= self.highest_ended.get(task, 0):
            return self._refuse('old')
        if self.needs_ticket and not self.adviser.is_valid(
            task.rpartition('.')[0], self.name, msg.get('Ticket', '')
        ):
            self.record.write(
                self.name, f'refused, ticket: {task} run {attempt}'
            )
            return self._refuse('ticket')
        spec = Task(task, msg['Spec'])
        now = time.monotonic()
        run = Run(task, attempt, self.name, now)
        run.demand = (spec.cpu, spec.mem_mb)
        run.due = None if spec.lasts else now + spec.duration_s
        self.running[task] = run
        self.runs.append(run)
        self.record.write(self.name, f'start {task} run {attempt}')
        return None

    async def _hold(self, req, msg):
        refusal = self._check(req, msg)
        if refusal is not None:
            return refusal
        now = time.monotonic()
        cursor = msg.get('AckCursor', 0)
        for run in self.ended:
            if run.number <= cursor and run.noted is None:
                run.noted = now
                self.record.write(
                    self.name, f'end {run.number} is noted'
                )
        self.ended = [run for run in self.ended if run.number > cursor]
        wait_s = min(MAX_WAIT_MS, msg.get('WaitMs', 0)) / 1000.0
        if wait_s and not self.ended:
            item = asyncio.get_running_loop().create_future()
            self._waiting.add(item)
            await asyncio.wait({item}, timeout=wait_s)
            self._waiting.discard(item)
        if not self.up:
            return http.NO_ANSWER
        return 200, {
            'ClockMs': self.clock_ms(), 'born': self.born_ms,
            'Running': [
                [r.task, r.attempt, '', 100 if r.due is None else 50,
                 r.demand[0]]
                for r in self.running.values()
            ],
            'Finished': [
                [r.number, r.task, r.attempt, r.how, '']
                for r in self.ended[:MAX_LISTED_ENDS]
            ],
        }

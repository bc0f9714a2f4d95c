"""Stand in for the platform's store and runners, at their published pages."""

import base64
import collections
from collections import abc
import contextlib
import dataclasses
from http import server
import json
import random
import struct
import sys
import threading
import time
import typing
from urllib import parse
import urllib.request

# Time that a task works, in seconds.
WORK_S = 0.3
# Capacity of a runner, and what each task takes of it, in thousandths of a
# core.
CAPACITY = 4000
TASK_CPU = 500
# Bounds of the delay of an order that is done late, in seconds.
LATE_S = (2.0, 5.0)
# Stands for an answer that does not come; the connection is closed.
NO_ANSWER: tuple[int, typing.Any] = (0, None)


class Handler(server.BaseHTTPRequestHandler):
    """Hand each request to the stand-in of the server."""

    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True

    def handle_any(self) -> None:
        """Answer one request."""
        size = int(self.headers.get('content-length') or 0)
        body = self.rfile.read(size)
        path, _, query = self.path.partition('?')
        fields = dict(parse.parse_qsl(query))
        owner: typing.Any = self.server
        status, out = owner.stand_in.answer(path, fields, body, self.headers)
        if (status, out) == NO_ANSWER:
            self.close_connection = True
            return
        data = out if isinstance(out, bytes) else json.dumps(out).encode()
        with contextlib.suppress(OSError):
            self.send_response(status)
            self.send_header('content-length', str(len(data)))
            self.end_headers()
            self.wfile.write(data)

    do_GET = do_POST = handle_any  # noqa: N815

    def log_message(self, *args: typing.Any) -> None:
        """Write nothing."""


class Server(server.ThreadingHTTPServer):
    """Serve each connection in a thread, and survive its reset."""

    daemon_threads = True

    def handle_error(self, request: typing.Any, address: typing.Any) -> None:
        """Show errors of the stand-in, but no connections that were reset."""
        if not isinstance(sys.exc_info()[1], ConnectionError):
            super().handle_error(request, address)


class StandIn:
    """Serve one stand-in on a free port."""

    def __init__(self) -> None:
        self.lock = threading.Condition()
        self.http = Server(('127.0.0.1', 0), Handler)
        vars(self.http)['stand_in'] = self
        self.address = f'127.0.0.1:{self.http.server_port}'
        threading.Thread(target=self.http.serve_forever, daemon=True).start()

    def answer(
        self,
        path: str,
        fields: dict[str, str],
        body: bytes,
        headers: abc.Mapping[str, str],
    ) -> tuple[int, typing.Any]:
        """Return status and body; subclasses override it."""
        raise NotImplementedError

    def close(self) -> None:
        """Close the port."""
        self.http.shutdown()
        self.http.server_close()


def cut_records(body: bytes) -> list[bytes]:
    """Return the records of a body, each with its length before it."""
    out, place = [], 0
    while place < len(body):
        (size,) = struct.unpack_from('>I', body, place)
        out.append(body[place + 4 : place + 4 + size])
        place += 4 + size
    return out


class LogStore(StandIn):
    """Keep topics in memory."""

    def __init__(self) -> None:
        super().__init__()
        self.topics: dict[str, list[bytes]] = collections.defaultdict(list)
        self.down = False
        # Seconds that each call takes.
        self.slow_s = 0.0
        # Share of the appends that are done and not answered, and how many
        # seconds late they are done.
        self.lost = 0.0
        self.late_s = 0.0
        # Chooses the appends that are lost.
        self.rng = random.Random(0)

    def put(self, topic: str, key: str, value: typing.Any) -> None:
        """Write a key as the operator does."""
        with self.lock:
            record = bytes((len(key),)) + key.encode()
            self.topics[topic].append(record + json.dumps(value).encode())
            self.lock.notify_all()

    def answer(
        self,
        path: str,
        fields: dict[str, str],
        body: bytes,
        headers: abc.Mapping[str, str],
    ) -> tuple[int, typing.Any]:
        """Serve appends and reads."""
        if self.down:
            return 503, {}
        time.sleep(self.slow_s)
        is_append = path == '/-/log-append'
        lost = is_append and self.rng.random() < self.lost
        if lost:
            time.sleep(self.late_s)
        with self.lock:
            part = self.topics[fields['Topic']]
            if is_append:
                got = self._append(part, fields, body)
                return NO_ANSWER if lost else got
            if path == '/-/log-newest':
                return 200, self._newest(part)
            return 200, self._read(part, fields)

    def _append(
        self, part: list[bytes], fields: dict[str, str], body: bytes
    ) -> tuple[int, typing.Any]:
        if 'At' in fields and int(fields['At']) != len(part):
            return 412, {'EndOffset': len(part)}
        offset = len(part)
        part += cut_records(body)
        self.lock.notify_all()
        return 200, {'Offset': offset, 'EndOffset': len(part)}

    def _newest(self, part: list[bytes]) -> typing.Any:
        newest = {}
        for offset, data in enumerate(part):
            key = data[1 : 1 + data[0]].decode()
            value = base64.b64encode(data[1 + data[0] :]).decode()
            newest[key] = {'Key': key, 'Value': value, 'Offset': offset}
        return {
            'items': list(newest.values()),
            'HasMore': False,
            'EndOffset': len(part),
        }

    def _read(self, part: list[bytes], fields: dict[str, str]) -> bytes:
        start = int(fields['From'])
        if len(part) <= start:
            self.lock.wait(int(fields.get('WaitMs', 0)) / 1000.0)
        out = struct.pack('>QQ', len(part), 0)
        for data in part[start:]:
            out += struct.pack('>I', len(data)) + data
        return out


@dataclasses.dataclass
class End:
    """Hold one end that a runner lists."""

    # Number of the end in this life.
    number: int
    # Name of the task.
    task: str
    # Attempt.
    attempt: int
    # How it ended.
    how: str
    # Whether the cursor has passed it.
    noted: bool = False
    # Whether the task was started again afterwards.
    repeated: bool = False
    # Whether the lease lapsed before it was noted.
    lapsed: bool = False


class Runner(StandIn):
    """Run tasks by the clock, and report what the rules forbid."""

    def __init__(self, name: str, tally: 'Tally') -> None:
        super().__init__()
        self.runner_id = f'i-{name}'
        self.tally = tally
        # One lock for all runners, as the tally compares them.
        self.lock = threading.Condition(tally.lock)
        # Speed and offset of the runner's clock.
        self.rate = 1.0
        self.offset_s = 0.0
        # Share of the orders that get no answer and are done later.
        self.late = 0.0
        self.rng = random.Random(0)
        # Whether the runner is away.
        self.dead = False
        self.begin()

    def begin(self) -> None:
        """Begin a new life, which has seen nothing."""
        with self.lock:
            for task in list(vars(self).get('running', ())):
                self.tally.running.pop(task, None)
            self.born = int(time.time() * 1000)
            self.token = 0
            self.running: dict[str, tuple[int, float]] = {}
            self.ended: list[End] = []
            self.ends = 0
            self.stopped: dict[str, int] = {}
            self.until = 0.0

    def clock_ms(self) -> int:
        """Return the runner's clock."""
        return int((time.monotonic() * self.rate + self.offset_s) * 1000)

    def answer(
        self,
        path: str,
        fields: dict[str, str],
        body: bytes,
        headers: abc.Mapping[str, str],
    ) -> tuple[int, typing.Any]:
        """Serve the orders of the agent."""
        late = path != '/-/hold' and self.rng.random() < self.late
        if late:
            born = self.born
            time.sleep(self.rng.uniform(*LATE_S))
            if self.born != born:
                # An order ends with the life that took it.
                return NO_ANSWER
        got = self._obey(path, json.loads(body), headers)
        return NO_ANSWER if late else got

    def _obey(
        self,
        path: str,
        msg: dict[str, typing.Any],
        headers: abc.Mapping[str, str],
    ) -> tuple[int, typing.Any]:
        with self.lock:
            if self.dead:
                return NO_ANSWER
            if headers.get('X-Expect-Instance') != self.runner_id:
                return 421, {}
            self.pass_time()
            self.token = max(self.token, msg['FencingToken'])
            if msg['FencingToken'] < self.token:
                return self._refuse('fence')
            deadline = msg.get('DeadlineMs', 0)
            if path == '/-/run-start' and deadline <= self.clock_ms():
                return self._refuse('late')
            self.until = max(self.until, deadline)
            if path == '/-/run-start':
                return self._start(msg)
            if path == '/-/run-stop':
                return self._stop(msg)
            return self._hold(msg)

    def _refuse(self, reason: str) -> tuple[int, typing.Any]:
        return 409, {'ClockMs': self.clock_ms(), 'Reason': reason}

    def pass_time(self) -> None:
        """End what is done; let everything lapse once the lease has."""
        if self.until < self.clock_ms():
            # The lease lapses whether anything runs or not.
            for end in self.ended:
                end.lapsed = True
            for task in list(self.running):
                self._end(task, 'lapsed')
        now = time.monotonic()
        for task, (_, done_at) in list(self.running.items()):
            if now >= done_at:
                self._end(task, 'done')

    def _end(self, task: str, how: str) -> None:
        attempt, _ = self.running.pop(task)
        self.ends += 1
        end = End(self.ends, task, attempt, how)
        self.ended.append(end)
        self.stopped[task] = attempt
        self.tally.end(task, end)
        self.lock.notify_all()

    def _start(self, msg: dict[str, typing.Any]) -> tuple[int, typing.Any]:
        task, attempt = msg['Task'], msg['Attempt']
        held = self.running.get(task)
        if held is None or held[0] != attempt:
            if attempt <= self.stopped.get(task, 0):
                return self._refuse('old')
            self.tally.start(task, self)
            self.running[task] = (attempt, time.monotonic() + WORK_S)
            if len(self.running) * TASK_CPU > CAPACITY:
                self.tally.wrong.append(f'{self.runner_id} is overcommitted')
        return 200, {'ClockMs': self.clock_ms()}

    def _stop(self, msg: dict[str, typing.Any]) -> tuple[int, typing.Any]:
        task, attempt = msg['Task'], msg['Attempt']
        self.stopped[task] = max(self.stopped.get(task, 0), attempt)
        if task in self.running and self.running[task][0] == attempt:
            self._end(task, 'stopped')
        return 200, {'ClockMs': self.clock_ms()}

    def _hold(self, msg: dict[str, typing.Any]) -> tuple[int, typing.Any]:
        cursor = msg['AckCursor']
        for end in self.ended:
            if end.number <= cursor:
                self.tally.note(end)
        self.ended = [e for e in self.ended if e.number > cursor]
        born = self.born
        until = time.monotonic() + msg.get('WaitMs', 0) / 1000.0
        while not self.ended and time.monotonic() < until:
            self.lock.wait(0.05)
            self.pass_time()
        if self.dead or self.born != born:
            return NO_ANSWER
        rows = [[t, a, '', 50, 0] for t, (a, _) in self.running.items()]
        return 200, {
            'ClockMs': self.clock_ms(),
            'born': self.born,
            'Running': rows,
            'Finished': [
                [e.number, e.task, e.attempt, e.how, ''] for e in self.ended
            ],
        }

    def beat(self, control: str, seq: int) -> bool:
        """Send one heartbeat; return whether it was acknowledged."""
        body = {
            'Service': 'svc',
            'Addr': self.address,
            'Zone': 'z',
            'Version': 'v1',
            'Slots': 8,
            'State': 'ready',
            'Capacity': {'Cpu': CAPACITY, 'MemMb': 8000, 'Gpu': 0},
            'Labels': ['a', 'r1'],
            'Seq': seq,
            'born': self.born,
        }
        url = f'http://{control}/-/Instances.Heartbeat/{self.runner_id}'
        data = json.dumps(body).encode()
        try:
            with urllib.request.urlopen(url, data, timeout=1.0) as got:
                return bool(got.status == 200)
        except OSError:
            return False


class Tally:
    """Compare starts and ends over all runners."""

    def __init__(self) -> None:
        # Shared with the runners.
        self.lock = threading.RLock()
        # Runner of each task that runs.
        self.running: dict[str, Runner] = {}
        # Tasks that a runner has ended as done.
        self.done: set[str] = set()
        # Times of the first and the last start, and of the first end as
        # done, by task.
        self.first_start: dict[str, float] = {}
        self.started: dict[str, float] = {}
        self.first_done: dict[str, float] = {}
        # What broke a rule.
        self.wrong: list[str] = []
        self._ends: dict[str, list[End]] = collections.defaultdict(list)

    def start(self, task: str, runner: Runner) -> None:
        """Take a start."""
        held = self.running.get(task)
        if held is not None:
            # Its lease may have ended unseen, as nobody asked it since.
            held.pass_time()
            if task in self.running:
                self.wrong.append(
                    f'{task} runs on {held.runner_id} and {runner.runner_id}'
                )
        for end in self._ends[task]:
            end.repeated = True
            if end.noted and end.how == 'done':
                self.wrong.append(f'{task} starts after it was done')
        self.running[task] = runner
        self.started[task] = time.monotonic()
        self.first_start.setdefault(task, self.started[task])

    def end(self, task: str, end: End) -> None:
        """Take an end."""
        self.running.pop(task, None)
        self._ends[task].append(end)
        if end.how == 'done':
            self.done.add(task)
            self.first_done.setdefault(task, time.monotonic())

    def note(self, end: End) -> None:
        """Take a cursor that has passed an end."""
        if end.noted or end.lapsed:
            return
        end.noted = True
        if end.how == 'done' and end.repeated:
            self.wrong.append(f'{end.task} was started again, then noted')

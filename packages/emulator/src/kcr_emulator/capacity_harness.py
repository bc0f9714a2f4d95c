"""Run whole entries and sidecars with the emulators on one fake clock.

The CPU measurements and the tests of restarts use it. The roles are built from
the registry of roles as in a daemon, so that a measurement covers the whole
role: its supervisor tree, codec, connections and tasks.
"""

import collections
import importlib
import logging
import random
import time
import typing

import structlog
from twisted.internet import defer

from kcr_core import message_base
from kcr_emulator import capacity_net
from kcr_emulator import log as log_emulator
from kcr_emulator import runner as runner_emulator
from kcr_emulator import worker as worker_emulator
from kcr_emulator import worker_state
from kcr_runtime import http_client
from kcr_runtime import metrics
from kcr_runtime import roles
from kcr_runtime import task
from kcr_runtime.wire import connection
from kcr_runtime.wire import session

# Port of the log, and first port of each other interface; the number of the
# entry or of the instance is added to it.
LOG_PORT = 1000
HTTP_PORTS = 2000
WIRE_PORTS = 3000
RUNNER_PORTS = 4000
WORKER_PORTS = 5000
# Fake time for the start, in seconds: all connections are open, the streams
# are read, and the sidecars hold the leases of their workers.
STARTUP_S = 4.0
# Module of each role, as in the table of the daemon.
MODULES = ('kcr_entry.role', 'kcr_sidecar.role')


def prepare_roles() -> None:
    """Register the roles and suppress their log lines."""
    for name in MODULES:
        importlib.import_module(name)
    quiet = structlog.make_filtering_bound_logger(logging.CRITICAL)
    structlog.configure(wrapper_class=quiet)


class Harness:
    """Own the emulated log, the entries and the instances."""

    def __init__(self, entries: int, instances: int) -> None:
        # Network between the processes.
        self.net = capacity_net.Network()
        # Hosts of the entries and of the sidecars.
        self.entries: list[capacity_net.Host] = []
        self.sidecars: list[capacity_net.Host] = []
        # Contexts of the entries.
        self.contexts: list[task.Context] = []
        # Contexts of the sidecars.
        self.sidecar_contexts: list[task.Context] = []
        host = self.net.add('log')
        self.log = log_emulator.LogEmulator(host)
        host.listenTCP(LOG_PORT, self.log.site())
        # Host of the callers.
        self.caller = self.net.add('caller')
        self._clients = [
            http_client.HttpClient(
                self.caller, _format_address(HTTP_PORTS + n), 64
            )
            for n in range(entries)
        ]
        for number in range(entries):
            self._add_entry(number, entries)
        for number in range(instances):
            self._add_instance(number, entries)
        self.net.run(STARTUP_S)

    def _start(
        self, role_name: str, name: str, values: dict[str, typing.Any]
    ) -> capacity_net.Host:
        role = roles.ROLES.get(role_name)
        host = self.net.add(name)
        common = {'process': name, 'region': 'region-0', 'zone': 'zone-0'}
        ctx = task.Context(
            reactor=host,
            directory=task.Directory(),
            rng=random.Random(name),
            cfg=role.options.model_validate({**common, **values}),
            metrics=metrics.Metrics(name),
            incarnation=f'{random.Random(name).getrandbits(64):016x}',
        )
        contexts_by_role = {
            'entry': self.contexts,
            'sidecar': self.sidecar_contexts,
        }
        contexts_by_role[role_name].append(ctx)
        host.measure(role.root(ctx, '').begin)
        return host

    def _add_entry(self, number: int, entries: int) -> None:
        others = [n for n in range(entries) if n != number]
        values = {
            'listen': _format_address(WIRE_PORTS + number),
            'http': _format_address(HTTP_PORTS + number),
            'log': _format_address(LOG_PORT),
            'peers': [_format_address(WIRE_PORTS + n) for n in others],
        }
        name = f'entry-{number}'
        self.entries.append(self._start('entry', name, values))

    def _add_instance(self, number: int, entries: int) -> None:
        host = self.net.add(f'platform-{number}')
        runner = runner_emulator.RunnerEmulator(host, 64, 0.0, number)
        host.listenTCP(RUNNER_PORTS + number, runner.site())
        machine = worker_state.Machine(
            {'processors': 64.0, 'memory_mb': 64000.0, 'accelerators': 0},
            worker_state.Factors((1.0, 1.0), (1.0, 1.0)),
            1.0,
            number,
        )
        worker = worker_emulator.WorkerEmulator(host, machine, number)
        host.listenTCP(WORKER_PORTS + number, worker.site())
        values = {
            'instance': f'instance-{number}',
            'service': 'web',
            'runner': _format_address(RUNNER_PORTS + number),
            'worker': _format_address(WORKER_PORTS + number),
            'slots': 64,
            'processors': 64.0,
            'memory_mb': 64000.0,
            'entries': [
                _format_address(WIRE_PORTS + n) for n in range(entries)
            ],
        }
        name = f'sidecar-{number}'
        self.sidecars.append(self._start('sidecar', name, values))

    def call(
        self, method: str, path: str, value: typing.Any, entry: int = 0
    ) -> defer.Deferred[http_client.HttpOutcome]:
        """Send an HTTP request of a caller to an entry."""
        return self._clients[entry].request_json(method, path, value, 20.0)


class Recorder:
    """Record sent messages and the CPU time spent on them.

    Inside the `with` block, `Connection.send` and `Task._handle` are replaced
    by versions that record.
    """

    def __init__(self) -> None:
        # Latest message of each tag, and the number sent.
        self.samples: dict[str, message_base.Message] = {}
        self.sent: collections.Counter[str] = collections.Counter()
        # CPU seconds by tag and step: `send` is encoding and framing in the
        # sending session, `route` is the receiving session, `handle` is the
        # receiving task.
        self.spent: collections.defaultdict[tuple[str, str], float] = (
            collections.defaultdict(float)
        )
        self._send = connection.Connection.send
        self._handle = task.Task._handle

    def __enter__(self) -> 'Recorder':
        recorder = self

        def send(conn: connection.Connection, msg: typing.Any) -> bool:
            tag = message_base.TAGS[type(msg)]
            recorder.samples[tag] = msg
            recorder.sent[tag] += 1
            return recorder._send(conn, msg)

        def handle(receiver: task.Task, msg: typing.Any) -> None:
            tag = message_base.TAGS.get(type(getattr(msg, 'msg', None)), '')
            started_at = time.thread_time()
            recorder._handle(receiver, msg)
            spent = time.thread_time() - started_at
            recorder.spent[tag, infer_step(receiver, msg)] += spent

        setattr(connection.Connection, 'send', send)
        setattr(task.Task, '_handle', handle)
        return self

    def __exit__(self, *exc: object) -> None:
        setattr(connection.Connection, 'send', self._send)
        setattr(task.Task, '_handle', self._handle)

    def step_us(self, tag: str, step: str) -> float:
        """Return the mean CPU time of one step, in microseconds."""
        return self.spent[tag, step] / max(1, self.sent[tag]) * 1e6


def infer_step(receiver: task.Task, msg: typing.Any) -> str:
    """Return the step of processing to which a handler call belongs."""
    if isinstance(msg, session.Send):
        return 'send'
    if isinstance(msg, session.Received):
        return 'handle'
    return 'route' if isinstance(receiver, session.Session) else 'other'


def _format_address(port: int) -> str:
    return f'{capacity_net.LOOPBACK}:{port}'

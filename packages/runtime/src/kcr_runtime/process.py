"""Run one role as a process: reactor, root supervisor, signals.

SIGTERM and SIGINT start a graceful shutdown; the role's drain task posts
`Drained` to the process when nothing is left, or the bound ends it. The life
of the process is an automat machine.
"""

import dataclasses
import json
import logging
import random
import secrets
import signal
import sys
import time
import typing

import automat
import structlog
from twisted.internet import defer
from twisted.internet import error

from kcr_runtime import log_sink
from kcr_runtime import memory
from kcr_runtime import metrics
from kcr_runtime import roles
from kcr_runtime import settings
from kcr_runtime import task

# Longest graceful shutdown, in seconds, whatever the document says.
SHUTDOWN_LIMIT_S = 60.0
# Descriptor of standard output, where log lines go.
LOG_DESCRIPTOR = 1
# Address at which the drain task reports that it is done.
PROCESS_ADDRESS = 'process'
# Signals that begin a graceful shutdown, and all that a process handles.
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
SIGNALS = (*STOP_SIGNALS, signal.SIGUSR1, signal.SIGHUP)


class Drained:
    """Tell the process that the role has nothing left to do."""


@dataclasses.dataclass(frozen=True, slots=True)
class Fatal:
    """Tell the process to end with a failure."""

    # Why it cannot go on.
    reason: str


def configure_logs(process: str, incarnation: str) -> None:
    """Write log lines as JSON to standard output."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso'),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.WriteLoggerFactory(
            file=typing.cast(typing.TextIO, log_sink.LogSink(LOG_DESCRIPTOR))
        ),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(
        process=process, incarnation=incarnation[:8]
    )


class Life(typing.Protocol):
    """List the inputs of the life cycle of a process."""

    def begin(self) -> None:
        """Start the root supervisor."""

    def drain(self) -> None:
        """Begin a graceful shutdown."""

    def stop(self) -> None:
        """Stop the root supervisor and end."""


class Process:
    """Own the root supervisor and the signals of one process."""

    def __init__(self, role: roles.Role, cfg: settings.Options) -> None:
        from twisted.internet import reactor  # Installed on first import.

        use_monotonic_clock(reactor)
        # Role that runs.
        self.role = role
        # Exit status of the process.
        self.status = 0
        incarnation = secrets.token_hex(8)
        configure_logs(cfg.process, incarnation)
        seed = cfg.seed or secrets.randbits(32)
        self.ctx = task.Context(
            reactor=reactor,
            directory=task.Directory(),
            rng=random.Random(seed),
            cfg=cfg,
            metrics=metrics.Metrics(cfg.process),
            incarnation=incarnation,
        )
        self._log = structlog.get_logger()
        self._root = role.root(self.ctx, '')
        self._root.on_failure = self._root_failed
        # Phase of the life cycle, for the dump.
        self.phase = 'new'
        self._life = LIFE(self)

    def run(self) -> int:
        """Run until stopped; return the exit status."""
        reactor = self.ctx.reactor
        self.ctx.directory.add(PROCESS_ADDRESS, self)
        reactor.callWhenRunning(self._start)
        reactor.run(installSignalHandlers=False)
        # The interpreter restores the default actions while it ends, and a
        # second SIGTERM would then report the process as killed.
        for signum in SIGNALS:
            signal.signal(signum, signal.SIG_IGN)
        return self.status

    def post(self, msg: typing.Any) -> bool:
        """Accept the report that the role is drained or cannot go on."""
        if isinstance(msg, Drained):
            self._life.stop()
            return True
        if isinstance(msg, Fatal):
            self._log.error('process cannot go on', reason=msg.reason)
            self.status = 1
            self._life.stop()
            return True
        return False

    def begin(self) -> None:
        """Do nothing; the process begins with `run`."""

    def end(self) -> defer.Deferred[None]:
        """Do nothing; the process ends with its root."""
        return defer.succeed(None)

    def dump(self) -> dict[str, typing.Any]:
        """Return the metrics and the memory of the process."""
        return {
            'incarnation': self.ctx.incarnation,
            'phase': self.phase,
            'rss_kb': memory.resident_kb(),
            'metrics': self.ctx.metrics.read(),
        }

    def _start(self) -> None:
        call = self.ctx.reactor.callFromThread
        for signum in STOP_SIGNALS:
            signal.signal(signum, lambda *_: call(self._life.drain))
        signal.signal(signal.SIGUSR1, lambda *_: call(self._print_dump))
        signal.signal(signal.SIGHUP, lambda *_: call(self._reload))
        self._life.begin()

    def begin_root(self) -> None:
        """Start the root; a port that is in use ends the process."""
        try:
            self._root.begin()
        except error.CannotListenError as exc:
            self._log.error('cannot listen', error=str(exc))
            self.status = 1
            self.ctx.reactor.callLater(0, self._life.stop)
            return
        self._log.info('started')

    def begin_drain(self) -> None:
        """Ask the role to finish what it has, with an upper bound."""
        self._log.info('draining')
        self.ctx.reactor.callLater(SHUTDOWN_LIMIT_S, self._life.stop)
        if not self.ctx.directory.send(
            self.role.drain_task, self.role.drain()
        ):
            self.ctx.reactor.callLater(0, self._life.stop)

    def end_root(self) -> None:
        """Stop the root and then the reactor."""
        self._root.end().addBoth(lambda _: self._exit())

    def _exit(self) -> None:
        self._log.info('stopped')
        if self.ctx.reactor.running:
            self.ctx.reactor.stop()

    def _root_failed(self, exc: BaseException) -> None:
        self._log.error('root supervisor failed', error=str(exc))
        self.status = 1
        self._life.stop()

    def _reload(self) -> None:
        self._log.info('reloading')
        if self.role.reload is not None:
            self.role.reload(self.ctx)

    def _print_dump(self) -> None:
        text = json.dumps(self.ctx.directory.dump(), default=str)
        print(text, file=sys.stderr, flush=True)


def _build_life() -> typing.Any:
    builder = automat.TypeMachineBuilder(Life, Process)
    new = builder.state('new')
    running = builder.state('running')
    draining = builder.state('draining')
    stopping = builder.state('stopping')

    @new.upon(Life.begin).to(running)
    def on_begin(life: Life, process: Process) -> None:
        process.phase = 'running'
        process.begin_root()

    @running.upon(Life.drain).to(draining)
    def on_drain(life: Life, process: Process) -> None:
        process.phase = 'draining'
        process.begin_drain()

    def on_stop(life: Life, process: Process) -> None:
        process.phase = 'stopping'
        process.end_root()

    for state in (running, draining):
        state.upon(Life.stop).to(stopping)(on_stop)

    def ignore(life: Life, process: Process) -> None:
        """Take no notice of an input that comes too late."""

    for state in (draining, stopping):
        state.upon(Life.drain).to(state)(ignore)
    stopping.upon(Life.stop).to(stopping)(ignore)
    return builder.build()


LIFE = _build_life()


def use_monotonic_clock(reactor: typing.Any) -> None:
    """Make a reactor tell a time that no clock correction moves.

    Twisted reads the wall clock, which can step back and so prolong the
    authority of a sidecar. This clock also counts time in suspension.
    """
    reactor.seconds = lambda: time.clock_gettime(time.CLOCK_BOOTTIME)

"""Run one role as a process: reactor, root supervisor and signals.

The daemon creates a `Process` from a registered role and its settings, and
runs it. SIGTERM and SIGINT start a graceful shutdown: the role's drain task
finishes the work in progress and posts `Drained` to the process, which then
stops. `SHUTDOWN_TIMEOUT_S` limits the shutdown. SIGUSR1 prints the dump,
which is the state of all tasks as JSON, and SIGHUP reloads settings. The life
cycle is an automat state machine.
"""

import dataclasses
import gc
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

# Longest graceful shutdown, in seconds, whatever `drain_s` of the document
# allows.
SHUTDOWN_TIMEOUT_S = 60.0
# File descriptor of standard output, to which log lines are written.
LOG_DESCRIPTOR = 1
# Address in the directory to which tasks post `Drained` and `Fatal`.
PROCESS_ADDRESS = 'process'
# Signals that start a graceful shutdown, and all signals that are handled.
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
SIGNALS = (*STOP_SIGNALS, signal.SIGUSR1, signal.SIGHUP)


class Drained:
    """Notify the process that the role has finished all work."""


@dataclasses.dataclass(frozen=True, slots=True)
class Fatal:
    """Request the process to stop with a failure status."""

    # Why the process cannot continue.
    reason: str


def configure_logs(process: str, incarnation: str) -> None:
    """Configure structlog to write JSON lines to standard output."""
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


class Lifecycle(typing.Protocol):
    """Define the inputs of the life cycle of a process."""

    def begin(self) -> None:
        """Start the root supervisor."""

    def drain(self) -> None:
        """Start a graceful shutdown."""

    def stop(self) -> None:
        """Stop the root supervisor, then the process."""


class Process:
    """Own the root supervisor and the signals of one process."""

    def __init__(self, role: roles.Role, cfg: settings.Options) -> None:
        from twisted.internet import reactor  # Installed on first import.

        use_monotonic_clock(reactor)
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
        # State of the life cycle, for the dump.
        self.phase = 'new'
        self._lifecycle = LIFECYCLE(self)

    def run(self) -> int:
        """Run until stopped; return the exit status."""
        reactor = self.ctx.reactor
        self.ctx.directory.add(PROCESS_ADDRESS, self)
        reactor.callWhenRunning(self._start)
        # What exists by now lives as long as the process, so collections need
        # not visit it.
        gc.freeze()
        gc.enable()
        reactor.run(installSignalHandlers=False)
        # The interpreter restores the default actions when it exits, and a
        # second SIGTERM would then report the process as killed.
        for signum in SIGNALS:
            signal.signal(signum, signal.SIG_IGN)
        return self.status

    def post(self, msg: typing.Any) -> bool:
        """Handle `Drained` and `Fatal` by stopping; refuse anything else."""
        if isinstance(msg, Drained):
            self._lifecycle.stop()
            return True
        if isinstance(msg, Fatal):
            self._log.error('process cannot go on', reason=msg.reason)
            self.status = 1
            self._lifecycle.stop()
            return True
        return False

    def begin(self) -> None:
        """Do nothing, because `run` starts the process."""

    def end(self) -> defer.Deferred[None]:
        """Do nothing, because the process ends when its root has stopped."""
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
            signal.signal(signum, lambda *_: call(self._lifecycle.drain))
        signal.signal(signal.SIGUSR1, lambda *_: call(self._print_dump))
        signal.signal(signal.SIGHUP, lambda *_: call(self._reload))
        self._lifecycle.begin()

    def begin_root(self) -> None:
        """Start the root; stop the process if a port cannot be bound."""
        try:
            self._root.begin()
        except error.CannotListenError as exc:
            self._log.error('cannot listen', error=str(exc))
            self.status = 1
            self.ctx.reactor.callLater(0, self._lifecycle.stop)
            return
        self._log.info('started')

    def begin_drain(self) -> None:
        """Request the drain task to finish, and schedule a forced stop."""
        self._log.info('draining')
        self.ctx.reactor.callLater(SHUTDOWN_TIMEOUT_S, self._lifecycle.stop)
        if not self.ctx.directory.send(
            self.role.drain_task, self.role.drain()
        ):
            self.ctx.reactor.callLater(0, self._lifecycle.stop)

    def end_root(self) -> None:
        """Stop the root, then the reactor."""
        self._root.end().addBoth(lambda _: self._exit())

    def _exit(self) -> None:
        self._log.info('stopped')
        if self.ctx.reactor.running:
            self.ctx.reactor.stop()

    def _root_failed(self, exc: BaseException) -> None:
        self._log.error('root supervisor failed', error=str(exc))
        self.status = 1
        self._lifecycle.stop()

    def _reload(self) -> None:
        self._log.info('reloading')
        if self.role.reload is not None:
            self.role.reload(self.ctx)

    def _print_dump(self) -> None:
        text = json.dumps(self.ctx.directory.dump(), default=str)
        print(text, file=sys.stderr, flush=True)


def _build_lifecycle() -> typing.Any:
    builder = automat.TypeMachineBuilder(Lifecycle, Process)
    new = builder.state('new')
    running = builder.state('running')
    draining = builder.state('draining')
    stopping = builder.state('stopping')

    @new.upon(Lifecycle.begin).to(running)
    def on_begin(lifecycle: Lifecycle, process: Process) -> None:
        process.phase = 'running'
        process.begin_root()

    @running.upon(Lifecycle.drain).to(draining)
    def on_drain(lifecycle: Lifecycle, process: Process) -> None:
        process.phase = 'draining'
        process.begin_drain()

    def on_stop(lifecycle: Lifecycle, process: Process) -> None:
        process.phase = 'stopping'
        process.end_root()

    for state in (running, draining):
        state.upon(Lifecycle.stop).to(stopping)(on_stop)

    def ignore(lifecycle: Lifecycle, process: Process) -> None:
        """Ignore an input that has no effect in this state."""

    for state in (draining, stopping):
        state.upon(Lifecycle.drain).to(state)(ignore)
    stopping.upon(Lifecycle.stop).to(stopping)(ignore)
    return builder.build()


LIFECYCLE = _build_lifecycle()


def use_monotonic_clock(reactor: typing.Any) -> None:
    """Make a reactor use a clock that clock corrections do not change.

    Twisted reads the wall clock, which can step back. That would extend the
    authority of a sidecar to run tasks, which must expire without renewal.
    This clock also advances while the instance is suspended.
    """
    reactor.seconds = lambda: time.clock_gettime(time.CLOCK_BOOTTIME)

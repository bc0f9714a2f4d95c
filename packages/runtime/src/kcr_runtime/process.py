"""Run one role as a process: reactor, root supervisor, signals.

SIGTERM and SIGINT start a graceful shutdown; the role's drain task posts
`Drained` to the process when nothing is left, or the bound ends it.
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

import structlog
from twisted.internet import defer

from kcr_runtime import metrics
from kcr_runtime import roles
from kcr_runtime import settings
from kcr_runtime import task

# Longest graceful shutdown, in seconds, whatever the document says.
SHUTDOWN_LIMIT_S = 60.0
# Address at which the drain task reports that it is done.
PROCESS_ADDRESS = 'process'


class Drained:
    """Tell the process that the role has nothing left to do."""


@dataclasses.dataclass(frozen=True, slots=True)
class Fatal:
    """Tell the process to end with a failure."""

    # Why it cannot go on.
    reason: str


def configure_logs(process: str, incarnation: str) -> None:
    """Write log lines as JSON to standard error."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso'),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.WriteLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(
        process=process, incarnation=incarnation[:8]
    )


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
        self._draining = False
        self._stopping = False

    def run(self) -> int:
        """Run until stopped; return the exit status."""
        reactor = self.ctx.reactor
        self.ctx.directory.add(PROCESS_ADDRESS, self)
        reactor.callWhenRunning(self._start)
        reactor.run(installSignalHandlers=False)
        return self.status

    def post(self, msg: typing.Any) -> bool:
        """Accept the report that the role is drained or cannot go on."""
        if isinstance(msg, Drained):
            self._stop()
            return True
        if isinstance(msg, Fatal):
            self._log.error('process cannot go on', reason=msg.reason)
            self.status = 1
            self._stop()
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
            'draining': self._draining,
            'rss_kb': resident_kb(),
            'metrics': self.ctx.metrics.read(),
        }

    def _start(self) -> None:
        reactor = self.ctx.reactor
        for signum in (signal.SIGTERM, signal.SIGINT):
            signal.signal(
                signum,
                lambda *_: reactor.callFromThread(self._drain),
            )
        signal.signal(
            signal.SIGUSR1,
            lambda *_: reactor.callFromThread(self._print_dump),
        )
        self._root.begin()
        self._log.info('started')

    def _drain(self) -> None:
        if self._draining:
            return
        self._draining = True
        self._log.info('draining')
        self.ctx.reactor.callLater(SHUTDOWN_LIMIT_S, self._stop)
        if not self.ctx.directory.send(
            self.role.drain_task, self.role.drain()
        ):
            self._stop()

    def _stop(self) -> None:
        if self._stopping:
            return
        self._stopping = True
        done = self._root.end()
        done.addBoth(lambda _: self._exit())

    def _exit(self) -> None:
        self._log.info('stopped')
        if self.ctx.reactor.running:
            self.ctx.reactor.stop()

    def _root_failed(self, exc: BaseException) -> None:
        self._log.error('root supervisor failed', error=str(exc))
        self.status = 1
        self._stop()

    def _print_dump(self) -> None:
        text = json.dumps(self.ctx.directory.dump(), default=str)
        print(text, file=sys.stderr, flush=True)


def use_monotonic_clock(reactor: typing.Any) -> None:
    """Make a reactor tell a time that no clock correction moves.

    Twisted reads the wall clock, which can step back and so prolong the
    authority of a sidecar. This clock also counts time in suspension.
    """
    reactor.seconds = lambda: time.clock_gettime(time.CLOCK_BOOTTIME)


def resident_kb() -> int:
    """Return the resident memory of this process in KiB; 0 if not known."""
    try:
        with open('/proc/self/smaps_rollup', encoding='ascii') as lines:
            for line in lines:
                if line.startswith('Rss:'):
                    return int(line.split()[1])
    except OSError:
        return 0
    return 0

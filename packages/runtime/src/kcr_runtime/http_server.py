"""Serve HTTP within bounds of memory, descriptors and time.

Every HTTP listener uses this server. The task that owns it gives it a page and
its share of the descriptors. The decisions are in `kcr_core.caller_budget`,
and the connections in `http_channel`. One timer, which runs only while there
are connections, closes those whose time is up.
"""

import collections
import typing

import structlog
from twisted.internet import defer
from twisted.web import resource
from twisted.web import server

from kcr_core import caller_budget
from kcr_runtime import early_ports
from kcr_runtime import http_channel
from kcr_runtime import task

# Interval of the checks for expired connections, in seconds.
SWEEP_S = 0.25
# Shortest interval between two log lines on closed connections, in seconds.
LOG_INTERVAL_S = 10.0
# Limits of pages that are only read: readiness and metrics.
PAGE_LIMITS = caller_budget.Limits(body_bytes=1024)
# Shares of the descriptors for sockets, by purpose; the rest is for outgoing
# connections.
CALLERS_SHARE = 3 / 8
CONTROL_SHARE = 1 / 2
PAGE_SHARE = 1 / 32


class Server(server.Site):
    """Own the port and the connections of one listener."""

    protocol: typing.Any = http_channel.Channel

    def __init__(
        self,
        ctx: task.Context,
        name: str,
        page: resource.IResource,
        share: float,
        limits: caller_budget.Limits = caller_budget.Limits(),
    ) -> None:
        server.Site.__init__(
            self, page, http_channel.Request, timeout=None,
            reactor=ctx.reactor,
            parsePOSTFormSubmission=False,
        )  # fmt: skip
        # Label of the metrics and the log.
        self.name = name
        self.budget = caller_budget.Budget(
            caller_budget.derive_bounds(
                ctx.cfg.process_mb, ctx.cfg.max_fds, share
            ),
            limits,
        )
        self._ctx = ctx
        self._log = structlog.get_logger().bind(listener=name)
        self._channels: dict[caller_budget.Account, http_channel.Channel] = {}
        self._port: typing.Any = None
        self._sweeping = False
        # Whether the next turn of a waiting connection is scheduled.
        self._turning = False
        # Connections closed by reason since the last log line, and its time.
        self._counts: collections.Counter[str] = collections.Counter()
        self._logged_at = -LOG_INTERVAL_S

    def startFactory(self) -> None:  # noqa: N802
        """Start no access log, whose timer would run each second."""

    def stopFactory(self) -> None:  # noqa: N802
        """Do nothing, as there is no access log."""

    def listen(self, address: str, backlog: int = 50) -> None:
        """Bind the port, or take over the socket that was opened early."""
        early = early_ports.take(address)
        if early is not None:
            with early:
                self._port = self._ctx.reactor.adoptStreamPort(
                    early.fileno(), early.family, self
                )
            return
        host, port = address.rsplit(':', 1)
        self._port = self._ctx.reactor.listenTCP(
            int(port), self, interface=host, backlog=backlog
        )

    def stop_listening(self) -> defer.Deferred[None]:
        """Close the port; open connections are still served."""
        if self._port is None:
            return defer.succeed(None)
        return defer.maybeDeferred(self._port.stopListening)

    def close(self) -> defer.Deferred[None]:
        """Close the port and the open connections."""
        closed = self.stop_listening()
        for channel in list(self._channels.values()):
            typing.cast(typing.Any, channel).loseConnection()
        return closed

    def set_limits(self, limits: caller_budget.Limits) -> None:
        """Set the limits of the requests that begin from now on."""
        self.budget.set_limits(limits)

    def dump(self) -> dict[str, typing.Any]:
        """Return what the connections occupy."""
        return {
            'connections': len(self._channels),
            'max_connections': self.budget.bounds.connections,
            'bytes': self.budget.total,
            'max_bytes': self.budget.bounds.total_bytes,
            'waiting_for_turn': self.budget.waiting,
        }

    # Events of the connections.

    def opened(self, channel: http_channel.Channel) -> None:
        """Add a connection; close others if there are too many."""
        self._channels[channel.account] = channel
        self.budget.open(channel.account, self._now())
        self._evict('connections')
        if not self._sweeping:
            self._sweeping = True
            self._ctx.reactor.callLater(SWEEP_S, self._sweep)

    def closed(self, channel: http_channel.Channel) -> None:
        """Remove a connection."""
        self._channels.pop(channel.account, None)
        self.budget.close(channel.account, self._now())

    def received(self, channel: http_channel.Channel, count: int) -> None:
        """Count received bytes; close others if there are too many."""
        self.budget.receive(channel.account, count, self._now())
        self._evict('memory')

    def enter(
        self, channel: http_channel.Channel, phase: caller_budget.Phase
    ) -> None:
        """Note the phase of a connection."""
        self.budget.enter(channel.account, phase, self._now())

    def handle(self, channel: http_channel.Channel, count: int) -> bool:
        """Return whether there is room to handle a complete request."""
        if not self.budget.handle(channel.account, count, self._now()):
            return False
        self._evict('memory')
        return True

    def finished(self, channel: http_channel.Channel, count: int) -> None:
        """Note the end of a handled request."""
        self.budget.finish(channel.account, count, self._now())

    def end_turn(self, channel: http_channel.Channel) -> bool:
        """Return whether a connection has to wait for its next turn."""
        if not self.budget.end_turn(channel.account, self._now()):
            return False
        self._schedule_turn()
        return True

    def refused(self, channel: http_channel.Channel, reason: str) -> None:
        """Note a refusal."""
        self.enter(channel, caller_budget.Phase.REFUSED)
        self.budget.hold(channel.account, 0)
        self.count_closed(reason)

    def count_closed(self, reason: str) -> None:
        """Count a connection that is closed by this side."""
        self._ctx.metrics.count(
            'caller_closed', reason=reason, listener=self.name
        )
        if reason != 'idle':
            self._counts[reason] += 1

    def _now(self) -> float:
        return float(self._ctx.reactor.seconds())

    def _schedule_turn(self) -> None:
        if self.budget.waiting and not self._turning:
            self._turning = True
            self._ctx.reactor.callLater(0, self._begin_turn)

    def _begin_turn(self) -> None:
        # One turn each time, as the reactor then asks the other connections.
        self._turning = False
        account = self.budget.begin_turn(self._now())
        if account is not None:
            self._channels[account].begin_turn()
        self._schedule_turn()

    def _evict(self, reason: str) -> None:
        for account in self.budget.find_excess():
            self._channels[account].evict(reason)

    def _sweep(self) -> None:
        now = self._now()
        for account in self.budget.find_expired(now):
            self._channels[account].expire()
        if self._counts and now - self._logged_at >= LOG_INTERVAL_S:
            self._log.warning('callers closed', **self._counts, **self.dump())
            self._counts.clear()
            self._logged_at = now
        self._sweeping = self.budget.busy
        if self._sweeping:
            self._ctx.reactor.callLater(SWEEP_S, self._sweep)

"""Emulate the slowdown of a service by tasks on the same instance.

The emulated runner polls the emulated worker for the cores in use by kind of
task and multiplies its service time by the slowdown returned here. The effect
depends on the kind, grows with the load of the service and starts after a lag.
"""

import collections
from collections import abc
import typing

import treq
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import task
from twisted.web import client

# Interval between two polls of the worker, in seconds.
POLL_INTERVAL_S = 0.25
# Timeout of one poll, in seconds.
POLL_TIMEOUT_S = 1.0
# Observations kept until they take effect.
MAX_OBSERVATIONS = 256


class Noise:
    """Compute the slowdown of a service from the cores that tasks use."""

    def __init__(
        self, effects: abc.Mapping[str, float], lag_s: float = 0.0
    ) -> None:
        # Share by which one core of a kind slows a fully loaded service, by
        # kind.
        self.effects = dict(effects)
        # Delay until a change of the cores in use has effect, in seconds.
        self.lag_s = lag_s
        # Number of failed polls.
        self.failed = 0
        self._observations: collections.deque[
            tuple[float, dict[str, float]]
        ] = collections.deque(maxlen=MAX_OBSERVATIONS)

    def observe(self, cores: abc.Mapping[str, float], now: float) -> None:
        """Record the cores in use by kind at `now`."""
        self._observations.append((now, dict(cores)))

    def slowdown(self, load: float, now: float) -> float:
        """Return the factor on the service time at a load of 0 to 1."""
        observed = [
            cores for at, cores in self._observations if at <= now - self.lag_s
        ]
        if not observed:
            return 1.0
        return 1.0 + load * sum(
            self.effects.get(kind, 0.0) * used
            for kind, used in observed[-1].items()
        )

    def poll(self, reactor: typing.Any, worker: str) -> None:
        """Start polling the worker at `host:port` for its load."""
        loop = task.LoopingCall(
            self._start_poll, reactor, f'http://{worker}/load'
        )
        loop.clock = reactor
        loop.start(POLL_INTERVAL_S)

    def _start_poll(
        self, reactor: typing.Any, url: str
    ) -> defer.Deferred[None]:
        return defer.ensureDeferred(self._fetch(reactor, url))

    async def _fetch(self, reactor: typing.Any, url: str) -> None:
        try:
            reply = await treq.get(
                url, timeout=POLL_TIMEOUT_S, reactor=reactor
            )
            load_report = await reply.json()
        except (
            client.ResponseFailed,
            defer.CancelledError,
            error.ConnectError,
            error.ConnectionClosed,
            ValueError,
        ):
            self.failed += 1
            return
        self.observe(load_report['cores'], float(reactor.seconds()))


def infer_effects(options: abc.Iterable[str]) -> dict[str, float]:
    """Parse options of the form `kind=share` into effects by kind."""
    effects = {}
    for option in options:
        kind, _, share = option.partition('=')
        effects[kind] = float(share)
    return effects

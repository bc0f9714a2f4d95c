"""Emulate the slowdown of a service by the tasks on the same instance.

The runner emulator asks the worker emulator which cores each kind of task
uses. The effect of a kind depends on the kind and grows with the load of the
service, and it shows only after a lag.
"""

import collections
from collections import abc
import typing

import treq
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import task
from twisted.web import client

# Time between questions for the cores in use, in seconds.
POLL_S = 0.25
# Time that one question may take, in seconds.
POLL_TIMEOUT_S = 1.0
# Answers that are kept until their lag is over.
MAX_OBSERVATIONS = 256


class Noise:
    """Hold which tasks slow the service, and by how much."""

    def __init__(
        self, effects: abc.Mapping[str, float], lag_s: float = 0.0
    ) -> None:
        # Share by which one core of a kind slows a fully loaded service.
        self.effects = dict(effects)
        # Time after which a change of the cores in use shows, in seconds.
        self.lag_s = lag_s
        # Questions that got no answer.
        self.failed = 0
        self._observations: collections.deque[
            tuple[float, dict[str, float]]
        ] = collections.deque(maxlen=MAX_OBSERVATIONS)

    def observe(self, cores: abc.Mapping[str, float], now: float) -> None:
        """Take the cores that each kind uses at `now`."""
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
        """Ask the worker at `host:port` for its load from now on."""
        loop = task.LoopingCall(
            self._start_poll, reactor, f'http://{worker}/load'
        )
        loop.clock = reactor
        loop.start(POLL_S)

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
    """Return the effects that options of the form `kind=share` name."""
    effects = {}
    for option in options:
        kind, _, share = option.partition('=')
        effects[kind] = float(share)
    return effects

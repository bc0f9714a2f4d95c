"""Emulate a runner: a service that answers calls after a random time.

Sidecars call it over HTTP. It counts the runs of each request and the calls
above its slots, so that tests can check that no request ran twice and that no
slot was overcommitted. `/control` sets the behavior while it runs.
"""

import collections
import json
import random
import typing

import klein
from twisted.internet import defer
from twisted.internet import task
from twisted.web import iweb
from twisted.web import server

from kcr_emulator import noise


class RunnerEmulator:
    """Serve one emulated runner over HTTP."""

    def __init__(
        self, reactor: typing.Any, slots: int, service_ms: float, seed: int
    ) -> None:
        # Reactor of the process.
        self.reactor = reactor
        # Calls that may be served at the same time.
        self.slots = slots
        # Mean service time in ms.
        self.service_ms = service_ms
        # Factor on the service time, to emulate a slow runner.
        self.slowdown = 1.0
        # Slowdown by tasks on the same instance; none by default.
        self.noise = noise.Noise({})
        # Share of calls that fail immediately.
        self.failing = 0.0
        # Whether calls are blocked until the runner is resumed.
        self.paused = False
        # Attempts that are being served.
        self.active: set[str] = set()
        # Number of runs of each request.
        self.runs: collections.Counter[str] = collections.Counter()
        # Number of calls that arrived while all slots were in use.
        self.overcommitted = 0
        self._rng = random.Random(seed)
        self._app = klein.Klein()
        route = self._app.route
        route('/v1/execute', methods=['POST'])(self._execute)
        route('/v1/status', methods=['GET'])(self._status)
        route('/control', methods=['POST'])(self._control)
        route('/counts', methods=['GET'])(self._counts)

    def site(self) -> server.Site:
        """Return the HTTP site to listen with."""
        return server.Site(self._app.resource(), timeout=60)

    async def _execute(self, req: iweb.IRequest) -> bytes:
        headers = req.requestHeaders
        attempt = (headers.getRawHeaders('x-attempt') or [''])[0]
        request = (headers.getRawHeaders('x-request') or [''])[0]
        body = bytes(typing.cast(typing.Any, req).content.read())
        self.active.add(attempt)
        self.runs[request] += 1
        if len(self.active) > self.slots:
            self.overcommitted += 1
        # Klein cancels the handler when the caller disconnects; a real runner
        # continues to serve such a call, which occupies its slot.
        call = defer.ensureDeferred(self._serve(attempt))
        completed: defer.Deferred[bool] = defer.Deferred()
        call.addCallback(
            lambda succeeded: (
                None if completed.called else completed.callback(succeeded)
            )
        )
        if not await completed:
            req.setResponseCode(500)
            return b'failed'
        return f'{request}:'.encode() + body

    async def _serve(self, attempt: str) -> bool:
        try:
            if self._rng.random() < self.failing:
                return False
            await self._work()
        finally:
            self.active.discard(attempt)
        return True

    async def _work(self) -> None:
        mean_s = self.service_ms / 1000.0 * self.slowdown
        # The load on a call is the share of slots used by other calls.
        load = min(1.0, (len(self.active) - 1) / max(1, self.slots))
        mean_s *= self.noise.slowdown(load, float(self.reactor.seconds()))
        delay = self._rng.expovariate(1.0 / mean_s) if mean_s else 0.0
        await _sleep(self.reactor, delay)
        while self.paused:
            await _sleep(self.reactor, 0.02)

    def _status(self, req: iweb.IRequest) -> bytes:
        return _json({'attempts': sorted(self.active), 'slots': self.slots})

    def _control(self, req: iweb.IRequest) -> bytes:
        values = json.load(typing.cast(typing.Any, req).content)
        for name in ('slowdown', 'failing', 'paused', 'service_ms'):
            if name in values:
                setattr(self, name, values[name])
        return _json({})

    def _counts(self, req: iweb.IRequest) -> bytes:
        return _json(
            {'runs': dict(self.runs), 'overcommitted': self.overcommitted}
        )


def _sleep(reactor: typing.Any, delay: float) -> defer.Deferred[None]:
    return task.deferLater(reactor, delay, lambda: None)


def _json(value: typing.Any) -> bytes:
    return json.dumps(value).encode()

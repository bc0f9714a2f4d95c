"""Emulate a worker of the platform over HTTP.

A sidecar acquires the controller lease and then starts, stops, throttles and
lists tasks; commands under an expired lease or an older controller epoch are
refused. The worker starts every task it is sent, without a check of capacity,
and counts overcommitment instead. `/control` makes it unavailable or slow, or
has it drop answers after a command took effect.
"""

import json
import random
import time
import typing
from urllib import parse

import klein
from twisted.internet import defer
from twisted.internet import task
from twisted.web import iweb
from twisted.web import server

from kcr_emulator import worker_state

# Interval at which the emulated tasks advance, in seconds.
STEP_S = 0.05
# Path of one task.
TASK_PATH = '/v1/tasks/<string:name>'

Json = dict[str, typing.Any]


class WorkerEmulator:
    """Serve one emulated worker over HTTP."""

    def __init__(
        self, reactor: typing.Any, machine: worker_state.Machine, seed: int
    ) -> None:
        # Reactor of the process.
        self.reactor = reactor
        # State of the tasks and the counters.
        self.machine = machine
        # Holder, epoch and expiry time of the controller lease.
        self.holder = ''
        self.epoch = 0
        self.lease_until = 0.0
        # Commands refused for an older controller epoch or an expired lease.
        self.refused = 0
        # Whether every call of the interface is dropped.
        self.outage = False
        # Delay of every answer, in seconds.
        self.delay_s = 0.0
        # Share of answers that are dropped after the command took effect.
        self.losing = 0.0
        self._rng = random.Random(seed)
        self._app = klein.Klein()
        self._route('/v1/controller', 'POST', self._controller)
        self._route('/v1/tasks', 'GET', self._list)
        self._route(TASK_PATH, 'PUT', self._start)
        self._route(TASK_PATH, 'DELETE', self._forget)
        self._route(TASK_PATH + '/renew', 'POST', self._renew)
        self._route(TASK_PATH + '/checkpoint', 'POST', self._checkpoint)
        self._route(TASK_PATH + '/throttle', 'POST', self._throttle)
        self._route(TASK_PATH + '/stop', 'POST', self._stop)
        self._route('/v1/usage', 'GET', self._usage)
        self._app.route('/load', methods=['GET'])(self._load)
        self._app.route('/control', methods=['POST'])(self._control)
        self._app.route('/counts', methods=['GET'])(self._counts)
        self._loop = task.LoopingCall(self._step)
        self._loop.clock = reactor
        self._loop.start(STEP_S)

    def site(self) -> server.Site:
        """Return the HTTP site to listen with."""
        return server.Site(self._app.resource(), timeout=60)

    def _step(self) -> None:
        self.machine.step(self.now(), unix_ms())

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return float(self.reactor.seconds())

    def _route(self, path: str, method: str, handler: typing.Any) -> None:
        async def serve(req: iweb.IRequest, name: str = '') -> bytes:
            if self.outage:
                return await self._drop_connection(req)
            raw = typing.cast(typing.Any, req).content.read()
            body = json.loads(raw) if raw else {}
            status, value = handler(parse.unquote(name), body)
            if self.delay_s:
                await _sleep(self.reactor, self.delay_s)
            if self._rng.random() < self.losing:
                return await self._drop_connection(req)
            req.setResponseCode(status)
            return json.dumps(value).encode()

        endpoint = handler.__name__
        self._app.route(path, methods=[method], endpoint=endpoint)(serve)

    async def _drop_connection(self, req: iweb.IRequest) -> bytes:
        typing.cast(typing.Any, req).transport.abortConnection()
        return b''

    def _controller(self, name: str, body: Json) -> tuple[int, Json]:
        expired = self.now() >= self.lease_until
        expected_epoch = body.get('epoch')
        if expected_epoch is not None and (
            expected_epoch != self.epoch or body['holder'] != self.holder
        ):
            self.refused += 1
            return 409, {'holder': self.holder, 'epoch': self.epoch}
        if expected_epoch is None or expired or body.get('advance'):
            self.epoch += 1
        self.holder = body['holder']
        self.lease_until = self.now() + body['ttl_ms'] / 1000.0
        return 200, {'epoch': self.epoch}

    def _check_controller(self, body: Json) -> tuple[int, Json] | None:
        current = body.get('controller') == self.epoch
        if current and self.now() < self.lease_until:
            return None
        self.refused += 1
        return 409, {'reason': 'controller', 'epoch': self.epoch}

    def _list(self, name: str, body: Json) -> tuple[int, Json]:
        self._step()
        runs = self.machine.runs.values()
        return 200, {
            'epoch': self.epoch,
            'tasks': [infer_list_item(run) for run in runs],
        }

    def _start(self, name: str, body: Json) -> tuple[int, Json]:
        refusal = self._check_controller(body)
        if refusal is not None:
            return refusal
        self._step()
        status, reason = self.machine.start(name, body, self.now(), unix_ms())
        return status, {'reason': reason}

    def _find(
        self, name: str, body: Json
    ) -> tuple[worker_state.Run | None, tuple[int, Json]]:
        refusal = self._check_controller(body)
        if refusal is not None:
            return None, refusal
        self._step()
        run = self.machine.runs.get(name)
        if run is None or run.epoch != body['epoch']:
            return None, (404, {'reason': 'epoch is not known'})
        return run, (200, {})

    def _renew(self, name: str, body: Json) -> tuple[int, Json]:
        run, answer = self._find(name, body)
        if run is None:
            return answer
        if run.state != 'running':
            return 404, {'reason': f'epoch has ended: {run.state}'}
        run.lease_until = self.now() + body['lease_s']
        run.reserved = body['reserved']
        return 200, {}

    def _checkpoint(self, name: str, body: Json) -> tuple[int, Json]:
        run, answer = self._find(name, body)
        if run is None:
            return answer
        return 200, {'checkpoint': self.machine.checkpoint(run, self.now())}

    def _throttle(self, name: str, body: Json) -> tuple[int, Json]:
        run, answer = self._find(name, body)
        if run is not None:
            run.speed = min(1.0, max(0.0, float(body['speed'])))
        return answer

    def _stop(self, name: str, body: Json) -> tuple[int, Json]:
        run, answer = self._find(name, body)
        if run is None:
            return answer
        self.machine.stop(run, self.now(), unix_ms())
        return 200, infer_list_item(run)

    def _forget(self, name: str, body: Json) -> tuple[int, Json]:
        run, answer = self._find(name, body)
        if run is None:
            return answer
        if run.state == 'running':
            return 409, {'reason': 'epoch runs'}
        del self.machine.runs[name]
        return 200, {}

    def _usage(self, name: str, body: Json) -> tuple[int, Json]:
        return 200, {'tasks': self.machine.usage(self.now())}

    def _load(self, req: iweb.IRequest) -> bytes:
        self._step()
        return json.dumps({'cores': self.machine.cores()}).encode()

    def _control(self, req: iweb.IRequest) -> bytes:
        values = json.load(typing.cast(typing.Any, req).content)
        for name in ('outage', 'delay_s', 'losing'):
            if name in values:
                setattr(self, name, values[name])
        if 'failing' in values:
            self.machine.failing = values['failing']
        return b'{}'

    def _counts(self, req: iweb.IRequest) -> bytes:
        self._step()
        machine = self.machine
        return json.dumps(
            {
                'starts': dict(machine.starts),
                'resumed': machine.resumed,
                'overcommitted': machine.overcommitted,
                'overgranted': machine.overgranted,
                'refused': self.refused,
                'intervals': machine.intervals,
            }
        ).encode()


def infer_list_item(run: worker_state.Run) -> Json:
    """Return the item of a run in the list of tasks."""
    return {
        'task': run.task,
        'epoch': run.epoch,
        'state': run.state,
        'spec': run.spec,
        'reserved': run.reserved,
        'checkpoint': run.checkpoint,
        'detail': run.detail,
        'share': run.speed,
    }


def unix_ms() -> int:
    """Return the Unix time in ms."""
    return int(time.time() * 1000)


def _sleep(reactor: typing.Any, delay: float) -> defer.Deferred[None]:
    return task.deferLater(reactor, delay, lambda: None)

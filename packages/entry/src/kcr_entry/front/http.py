"""Serve callers, operators and the load balancer over HTTP.

The task owns the listening port. It validates bodies, asks the owner of the
state by message, and turns the answer into a response.
"""

import base64
import dataclasses
import typing

import klein
from twisted.internet import defer
from twisted.protocols import policies
from twisted.python import failure
from twisted.web import http
from twisted.web import iweb
from twisted.web import server

from kcr_core import outcomes
from kcr_entry import addresses
from kcr_entry.configuration import questions
from kcr_entry import events
from kcr_entry.front import models
from kcr_entry.front import operator_routes
from kcr_entry.front import replies
from kcr_entry.front import task_routes
from kcr_entry.work import explanations
from kcr_entry.work import submit as submit_model
from kcr_runtime import process
from kcr_runtime import query
from kcr_runtime import task

# Time that the load balancer gets to see the failing health check.
BALANCER_S = 0.5
# How often a draining entry looks whether requests are left.
DRAIN_POLL_S = 0.1
# Reasons of a refusal by the front end itself.
RESTARTED = 'front end was restarted'
NOT_READY = 'entry is not ready'
# Time that a question within the process may take, in seconds. The owner of
# the state answers earlier; only a restart of it leaves a question open.
ASK_LIMIT_S = 30.0
# Time that the outcome of a request may take beyond its deadline, in seconds.
ANSWER_GRACE_S = 5.0


class Drain:
    """Ask the front end to finish and report to the process."""


class _CloseListener:
    pass


class _CheckIdle:
    pass


class Http(task.Task):
    """Own the HTTP port of an entry."""

    def __init__(self, ctx: task.Context, address: str) -> None:
        super().__init__(ctx, address)
        self._app = klein.Klein()
        self._port: typing.Any = None
        # Knows the open connections.
        self._connections: typing.Any = None
        self._questions: dict[str, defer.Deferred[typing.Any]] = {}
        self._asked = 0
        # A restarted front end must not use a token again, because an answer
        # to the older one would be taken for that of another request.
        self._life = f'{ctx.rng.getrandbits(48):012x}'
        self._open_requests = 0
        self._draining = False
        self._ready = True
        self._add_routes()

    def started(self) -> None:
        """Bind the port."""
        host, port = self.ctx.cfg.http.rsplit(':', 1)
        site = server.Site(self._app.resource(), timeout=60)
        self._connections = policies.WrappingFactory(site)
        self._port = self.ctx.reactor.listenTCP(
            int(port), self._connections, interface=host
        )
        self.send(addresses.IN_FORCE, questions.AskReady())

    def stopped(self) -> defer.Deferred[None]:
        """Close the port and the connections that callers keep open."""
        closed = defer.maybeDeferred(self._port.stopListening)
        for connection in list(self._connections.protocols):
            connection.loseConnection()
        return closed

    def dump(self) -> dict[str, typing.Any]:
        """Return the requests in the front end."""
        return {
            **super().dump(),
            'open_requests': self._open_requests,
            'draining': self._draining,
        }

    def _add_routes(self) -> None:
        add = replies.add_route
        add(self._app, 'GET', '/healthz', self._get_health)
        add(self._app, 'GET', '/v1/dump', self._get_dump)
        add(self._app, 'POST', '/v1/requests', self._post_request)
        path = '/v1/requests/<caller>/<name>'
        add(self._app, 'GET', path, self._get_request)
        task_routes.TaskRoutes(self._ask_open, self.ctx.cfg.region).add(
            self._app
        )
        operator_routes.OperatorRoutes(self._ask, self.ctx).add(self._app)

    @task.handles(Drain)
    def _on_drain(self, msg: Drain) -> None:
        self._draining = True
        self.send(addresses.FENCES, events.Stopping())
        self.after(BALANCER_S, _CloseListener())

    @task.handles(questions.ReadyChanged)
    def _on_ready(self, msg: questions.ReadyChanged) -> None:
        self._ready = msg.ready

    @task.handles(_CloseListener)
    def _on_close_listener(self, msg: _CloseListener) -> None:
        self._port.stopListening()
        self.post(_CheckIdle())

    @task.handles(_CheckIdle)
    def _on_check_idle(self, msg: _CheckIdle) -> None:
        if self._open_requests == 0:
            self.send(process.PROCESS_ADDRESS, process.Drained())
            return
        self.after(DRAIN_POLL_S, _CheckIdle())

    @task.handles(query.Reply)
    def _on_answer(self, msg: query.Reply) -> None:
        fut = self._questions.pop(msg.token, None)
        if fut is not None:
            fut.callback(msg.value)

    def _ask(
        self, address: str, body: typing.Any, limit_s: float = ASK_LIMIT_S
    ) -> defer.Deferred[typing.Any]:
        if not self._running:
            # A connection of the older life is still served by this object.
            return defer.succeed(outcomes.NotRun(RESTARTED))
        self._asked += 1
        token = f'{self._life}:{self._asked}'
        fut: defer.Deferred[typing.Any] = defer.Deferred()
        self._questions[token] = fut
        if not self.send(address, query.Query(token, self.address, body)):
            del self._questions[token]
            return defer.succeed(outcomes.NotRun(NOT_READY))
        fut.addTimeout(limit_s, self.ctx.reactor)
        fut.addErrback(lambda fail: self._give_up(token, fail))
        return fut

    def _give_up(self, token: str, fail: failure.Failure) -> outcomes.Unknown:
        fail.trap(defer.TimeoutError)
        self._questions.pop(token, None)
        return outcomes.Unknown('the entry lost track of the request')

    async def _ask_open(self, address: str, body: typing.Any) -> typing.Any:
        """Ask, and keep a draining entry up until the answer is there."""
        self._open_requests += 1
        try:
            return await self._ask(address, body)
        finally:
            self._open_requests -= 1

    def _get_health(self, req: iweb.IRequest) -> bytes:
        if self._draining:
            return replies.respond(req, 503, {'status': 'draining'})
        if not self._ready:
            return replies.respond(req, 503, {'status': 'starting'})
        return replies.respond(req, 200, {'status': 'ok'})

    def _get_dump(self, req: iweb.IRequest) -> bytes:
        return replies.respond(req, 200, self.ctx.directory.dump())

    async def _get_request(
        self, req: iweb.IRequest, caller: str, name: str
    ) -> bytes:
        body = explanations.Explain(f'{caller}/{name}')
        value = await self._ask(addresses.REQUESTS, body)
        found = getattr(value, 'found', None)
        if found is None:
            reason = f'{caller}/{name} is not remembered by this entry'
            return replies.respond(req, http.NOT_FOUND, {'error': reason})
        shown = {
            'request': body.key,
            'outcome': found.name,
            'reason': found.reason,
            'took_ms': round(found.took_ms, 3),
            'tried': [dataclasses.asdict(item) for item in found.tried],
        }
        return replies.respond(req, http.OK, shown)

    async def _post_request(self, req: iweb.IRequest) -> bytes:
        model = replies.read(req, models.RequestModel)
        if isinstance(model, bytes):
            return model
        self._open_requests += 1
        try:
            submit = model.to_submit()
            limit_s = submit.budget_s + ANSWER_GRACE_S
            value = await self._ask(addresses.REQUESTS, submit, limit_s)
        finally:
            self._open_requests -= 1
        if self._draining or not self._running:
            req.setHeader(b'connection', b'close')
        here = (outcomes.NotRun(RESTARTED), outcomes.NotRun(NOT_READY))
        if submit.resubmitted and value in here:
            reason = f'{value.reason}; an earlier submission may have run'
            value = outcomes.Unknown(reason)
        return _respond_outcome(req, value)


def _show(body: bytes) -> dict[str, typing.Any]:
    """Return the whole body as text, or as base64 if it is no UTF-8."""
    try:
        return {'body': body.decode(), 'length': len(body)}
    except UnicodeDecodeError:
        encoded = base64.b64encode(body).decode()
        return {'body_base64': encoded, 'length': len(body)}


def _respond_outcome(req: iweb.IRequest, value: typing.Any) -> bytes:
    if isinstance(value, outcomes.Done):
        shown = {'outcome': 'done', 'status': value.status}
        return replies.respond(req, http.OK, {**shown, **_show(value.body)})
    if isinstance(value, outcomes.NotRun):
        return replies.respond(
            req,
            http.SERVICE_UNAVAILABLE,
            {'outcome': 'not_run', 'reason': value.reason},
        )
    if isinstance(value, submit_model.Conflict):
        return replies.respond(
            req,
            http.CONFLICT,
            {
                'outcome': 'conflict',
                'reason': f'id {value.key} was used with other content; '
                'choose a new id',
            },
        )
    return replies.respond(
        req,
        http.GATEWAY_TIMEOUT,
        {'outcome': 'unknown', 'reason': value.reason},
    )

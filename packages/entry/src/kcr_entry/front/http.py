"""Serve callers, operators and the load balancer over HTTP.

The task owns the listening port. It validates the body of a request, queries
the task that owns the state, and converts the reply to a response.
"""

import base64
import dataclasses
import typing

import klein
from twisted.internet import defer
from twisted.python import failure
from twisted.web import http
from twisted.web import iweb

from kcr_core import caller_budget
from kcr_core import message_base
from kcr_core import outcomes
from kcr_entry import addresses
from kcr_entry.configuration import queries
from kcr_entry import events
from kcr_entry.front import models
from kcr_entry.front import operator_routes
from kcr_entry.front import replies
from kcr_entry.front import task_routes
from kcr_entry.work import explanations
from kcr_entry.work import submitted_request
from kcr_runtime import http_server
from kcr_runtime import process
from kcr_runtime import query
from kcr_runtime import task

# Time for the load balancer to notice the failing health check before the
# port is closed, in seconds.
LISTENER_CLOSE_DELAY_S = 0.5
# Interval at which a draining entry checks for open requests, in seconds.
DRAIN_CHECK_INTERVAL_S = 0.1
# Reasons of a refusal by the front end itself.
RESTARTED = 'front end was restarted'
NOT_READY = 'entry is not ready'
# Timeout of a query within the process, in seconds. The owner of the state
# replies sooner, unless it is restarted.
QUERY_TIMEOUT_S = 30.0
# Time after its deadline for which the outcome of a request is awaited, in
# seconds.
OUTCOME_GRACE_S = 5.0
# Limits of a request; a connection without a request is closed after a minute.
LIMITS = caller_budget.Limits(
    body_bytes=message_base.MAX_BODY_BYTES, idle_s=60.0
)


class Drain:
    """Request that the front end drains and reports `Drained`."""


class _CloseListener:
    pass


class _CheckIdle:
    pass


class Http(task.Task):
    """Own the HTTP port of an entry."""

    def __init__(self, ctx: task.Context, address: str) -> None:
        super().__init__(ctx, address)
        self._app = klein.Klein()
        self._server: http_server.Server | None = None
        self._pending: dict[str, defer.Deferred[typing.Any]] = {}
        self._last_token = 0
        # Tokens differ after a restart of the front end; otherwise a reply to
        # an earlier query would be matched with another request.
        self._token_prefix = f'{ctx.rng.getrandbits(48):012x}'
        self._open_requests = 0
        self._draining = False
        self._ready = True
        self._add_routes()

    def started(self) -> None:
        """Bind the port."""
        self._server = http_server.Server(
            self.ctx, 'callers', self._app.resource(),
            http_server.CALLERS_SHARE, LIMITS,
        )  # fmt: skip
        self._server.listen(self.ctx.cfg.http)
        self.send(addresses.IN_FORCE, queries.GetReadiness())

    def stopped(self) -> defer.Deferred[None] | None:
        """Close the port and the open connections."""
        return None if self._server is None else self._server.close()

    def dump(self) -> dict[str, typing.Any]:
        """Return the number of open requests and whether it is draining."""
        return {
            **super().dump(),
            'open_requests': self._open_requests,
            'draining': self._draining,
            'callers': self._server.dump() if self._server else None,
        }

    def _add_routes(self) -> None:
        add_route = replies.add_route
        add_route(self._app, 'GET', '/healthz', self._get_health)
        add_route(self._app, 'GET', '/v1/dump', self._get_dump)
        add_route(self._app, 'POST', '/v1/requests', self._post_request)
        path = '/v1/requests/<caller>/<name>'
        add_route(self._app, 'GET', path, self._get_request)
        task_routes.TaskRoutes(
            self._query_counted, self.ctx.cfg.region
        ).add_routes(self._app)
        operator_routes.OperatorRoutes(self._query, self.ctx).add_routes(
            self._app
        )

    @task.handles(Drain)
    def _on_drain(self, msg: Drain) -> None:
        self._draining = True
        self.send(addresses.FENCES, events.Stopping())
        self.after(LISTENER_CLOSE_DELAY_S, _CloseListener())

    @task.handles(queries.ReadyChanged)
    def _on_ready(self, msg: queries.ReadyChanged) -> None:
        self._ready = msg.ready

    @task.handles(_CloseListener)
    def _on_close_listener(self, msg: _CloseListener) -> None:
        if self._server is not None:
            self._server.stop_listening()
        self.post(_CheckIdle())

    @task.handles(_CheckIdle)
    def _on_check_idle(self, msg: _CheckIdle) -> None:
        if self._open_requests == 0:
            self.send(process.PROCESS_ADDRESS, process.Drained())
            return
        self.after(DRAIN_CHECK_INTERVAL_S, _CheckIdle())

    @task.handles(query.Reply)
    def _on_reply(self, msg: query.Reply) -> None:
        fut = self._pending.pop(msg.token, None)
        if fut is not None:
            fut.callback(msg.value)

    def _query(
        self,
        address: str,
        body: typing.Any,
        timeout_s: float = QUERY_TIMEOUT_S,
    ) -> defer.Deferred[typing.Any]:
        if not self._running:
            # The task has ended, but a connection still uses this object.
            return defer.succeed(outcomes.NotRun(RESTARTED))
        self._last_token += 1
        token = f'{self._token_prefix}:{self._last_token}'
        fut: defer.Deferred[typing.Any] = defer.Deferred()
        self._pending[token] = fut
        if not self.send(address, query.Query(token, self.address, body)):
            del self._pending[token]
            return defer.succeed(outcomes.NotRun(NOT_READY))
        fut.addTimeout(timeout_s, self.ctx.reactor)
        fut.addErrback(lambda fail: self._on_timeout(token, fail))
        return fut

    def _on_timeout(
        self, token: str, fail: failure.Failure
    ) -> outcomes.Unknown:
        fail.trap(defer.TimeoutError)
        self._pending.pop(token, None)
        return outcomes.Unknown('the entry lost track of the request')

    async def _query_counted(
        self, address: str, body: typing.Any
    ) -> typing.Any:
        """Query a task; a draining entry does not exit before the reply."""
        self._open_requests += 1
        try:
            return await self._query(address, body)
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
        value = await self._query(addresses.REQUESTS, body)
        explanation = getattr(value, 'found', None)
        if explanation is None:
            reason = f'{caller}/{name} is not remembered by this entry'
            return replies.respond(req, http.NOT_FOUND, {'error': reason})
        answer = {
            'request': body.key,
            'outcome': explanation.name,
            'reason': explanation.reason,
            'took_ms': round(explanation.took_ms, 3),
            'tried': [dataclasses.asdict(item) for item in explanation.tried],
        }
        return replies.respond(req, http.OK, answer)

    async def _post_request(self, req: iweb.IRequest) -> bytes:
        model = replies.read(req, models.RequestModel)
        if isinstance(model, bytes):
            return model
        self._open_requests += 1
        try:
            submit = model.to_submit()
            timeout_s = submit.budget_s + OUTCOME_GRACE_S
            value = await self._query(addresses.REQUESTS, submit, timeout_s)
        finally:
            self._open_requests -= 1
        if self._draining or not self._running:
            req.setHeader(b'connection', b'close')
        refusals = (outcomes.NotRun(RESTARTED), outcomes.NotRun(NOT_READY))
        if submit.resubmitted and value in refusals:
            reason = f'{value.reason}; an earlier submission may have run'
            value = outcomes.Unknown(reason)
        return _respond_outcome(req, value)


def _render_body(body: bytes) -> dict[str, typing.Any]:
    """Return the body as text, or as base64 if it is not UTF-8."""
    try:
        return {'body': body.decode(), 'length': len(body)}
    except UnicodeDecodeError:
        encoded = base64.b64encode(body).decode()
        return {'body_base64': encoded, 'length': len(body)}


def _respond_outcome(req: iweb.IRequest, value: typing.Any) -> bytes:
    if isinstance(value, outcomes.Done):
        body = {'outcome': 'done', 'status': value.status}
        return replies.respond(
            req, http.OK, {**body, **_render_body(value.body)}
        )
    if isinstance(value, outcomes.NotRun):
        return replies.respond(
            req,
            http.SERVICE_UNAVAILABLE,
            {'outcome': 'not_run', 'reason': value.reason},
        )
    if isinstance(value, submitted_request.Conflict):
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

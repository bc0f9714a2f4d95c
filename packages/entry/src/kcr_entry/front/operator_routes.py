"""Serve operators over HTTP: documents, versions, dumps and metrics.

The HTTP front end adds these routes. They validate the body, query the owner
of the document in force or the task that tracks the processes, and convert
the reply to a response.
"""

from collections import abc
import dataclasses
import typing

import pydantic
from twisted.internet import defer
from twisted.web import http
from twisted.web import iweb

from kcr_core import document_text
from kcr_core import outcomes
from kcr_document import document
from kcr_document import problems
from kcr_entry import addresses
from kcr_entry.configuration import queries
from kcr_entry.front import replies
from kcr_runtime import task

SendQuery = abc.Callable[[str, typing.Any], defer.Deferred[typing.Any]]
# Status for an invalid document.
UNPROCESSABLE = 422
# Maximum length of YAML that an entry parses, in characters. Longer text would
# block the reactor, so that heartbeats are not answered; canonical text is
# read 30 times faster.
MAX_YAML_CHARS = 64 * 1024
CANONICAL_HINT = 'send the canonical text, as the command line does'

Name = typing.Annotated[str, pydantic.Field(min_length=1, max_length=128)]


class TryModel(pydantic.BaseModel):
    """Validate the body of `POST /v1/document/E/try`."""

    model_config = pydantic.ConfigDict(extra='forbid', strict=True)

    text: str = pydantic.Field(min_length=1)
    base: int | None = pydantic.Field(None, ge=0)
    operator: Name


class PromoteModel(pydantic.BaseModel):
    """Validate the body of `POST /v1/document/E/promote`."""

    model_config = pydantic.ConfigDict(extra='forbid', strict=True)

    digest: str = pydantic.Field(pattern=r'^[0-9a-f]{64}$')
    base: int | None = pydantic.Field(None, ge=0)
    operator: Name


class OperatorRoutes:
    """Convert HTTP requests of operators to queries, and back."""

    def __init__(self, query: SendQuery, ctx: task.Context) -> None:
        # Function that queries another task of the entry.
        self.query = query
        # Context of the process.
        self.ctx = ctx

    def add_routes(self, app: typing.Any) -> None:
        """Add the routes to the application."""
        path = '/v1/document/<environment>'
        add_route = replies.add_route
        add_route(app, 'GET', path, self._get)
        add_route(app, 'GET', path + '/history', self._get_history)
        add_route(app, 'POST', path + '/try', self._post_try)
        add_route(app, 'POST', path + '/promote', self._post_promote)
        add_route(app, 'GET', '/v1/versions', self._get_versions)
        add_route(app, 'GET', '/v1/dump/<process>', self._get_dump)
        add_route(app, 'GET', '/v1/metrics', self._get_metrics)

    async def _get(self, req: iweb.IRequest, environment: str) -> bytes:
        body = queries.GetDocument(environment)
        value = await self.query(addresses.IN_FORCE, body)
        if not isinstance(value, queries.Document):
            return respond_failure(req, value)
        doc = value.doc
        if doc is None:
            reason = f'no document is in force in {environment!r}'
            return replies.respond(req, http.NOT_FOUND, {'error': reason})
        found = {
            'environment': doc.environment,
            'kind': doc.kind,
            'revision': doc.revision,
            'digest': doc.digest,
            'text': document_text.unpack(doc.text),
        }
        return replies.respond(req, http.OK, found)

    async def _get_history(
        self, req: iweb.IRequest, environment: str
    ) -> bytes:
        body = queries.GetHistory(environment)
        value = await self.query(addresses.IN_FORCE, body)
        if not isinstance(value, queries.History):
            return respond_failure(req, value)
        found = [dataclasses.asdict(item) for item in value.verdicts]
        return replies.respond(req, http.OK, {'history': found})

    async def _post_try(self, req: iweb.IRequest, environment: str) -> bytes:
        model = replies.read(req, TryModel)
        if isinstance(model, bytes):
            return model
        try:
            text = document_text.unpack(model.text)
        except ValueError as exc:
            error = {'error': f'text: cannot be unpacked: {exc}'}
            return replies.respond(req, http.BAD_REQUEST, error)
        if len(text) > MAX_YAML_CHARS and not document.is_canonical(text):
            reason = (
                f'YAML exceeds {MAX_YAML_CHARS} characters; {CANONICAL_HINT}'
            )
            return replies.respond(
                req, http.REQUEST_ENTITY_TOO_LARGE, {'error': reason}
            )
        try:
            file = document.read(text)
        except problems.InvalidDocument as exc:
            found = [dataclasses.asdict(item) for item in exc.problems]
            body = {'outcome': 'wrong', 'problems': found}
            return replies.respond(req, UNPROCESSABLE, body)
        doc = file.find_kind('trial')
        if doc is None or doc.environment.name != environment:
            reason = f'the file holds no trial document for {environment!r}'
            return respond_refused(req, reason)
        return await self._publish(
            req,
            queries.Publish(
                'trial',
                environment,
                file.text,
                file.digest,
                model.base,
                model.operator,
            ),
        )

    async def _post_promote(
        self, req: iweb.IRequest, environment: str
    ) -> bytes:
        model = replies.read(req, PromoteModel)
        if isinstance(model, bytes):
            return model
        return await self._publish(
            req,
            queries.Publish(
                'production',
                environment,
                '',
                model.digest,
                model.base,
                model.operator,
            ),
        )

    async def _publish(
        self, req: iweb.IRequest, body: queries.Publish
    ) -> bytes:
        value = await self.query(addresses.IN_FORCE, body)
        if isinstance(value, queries.InForceNow):
            found = {
                'outcome': 'in_force',
                'revision': value.revision,
                'digest': value.digest,
            }
            return replies.respond(req, http.OK, found)
        if isinstance(value, queries.Lost):
            found = {
                'outcome': 'lost',
                'reason': value.reason,
                'revision': value.revision,
            }
            return replies.respond(req, http.CONFLICT, found)
        return respond_failure(req, value)

    async def _get_versions(self, req: iweb.IRequest) -> bytes:
        value = await self.query(addresses.PROCESSES, queries.GetVersions())
        if not isinstance(value, queries.Versions):
            return respond_failure(req, value)
        found = {
            'entry': self.ctx.cfg.process,
            'environment': self.ctx.cfg.environment,
            'revision': value.revision,
            'processes': list(value.processes),
        }
        return replies.respond(req, http.OK, found)

    async def _get_dump(self, req: iweb.IRequest, process: str) -> bytes:
        body = queries.GetDump(process)
        value = await self.query(addresses.PROCESSES, body)
        if not isinstance(value, queries.Dump):
            return respond_failure(req, value)
        req.setHeader(b'content-type', b'application/json')
        return value.text.encode()

    def _get_metrics(self, req: iweb.IRequest) -> bytes:
        req.setHeader(b'content-type', b'text/plain; charset=utf-8')
        lines = render_metrics(self.ctx.metrics.read())
        return ''.join(f'{line}\n' for line in lines).encode()


def render_metrics(values: dict[str, typing.Any]) -> abc.Iterator[str]:
    """Return one line per counter, and several lines per histogram."""
    for name, value in sorted(values.items()):
        if not isinstance(value, dict):
            yield f'{name} {value}'
            continue
        base, brace, labels = name.partition('{')
        yield f'{base}_count{brace}{labels} {value["count"]}'
        yield f'{base}_sum{brace}{labels} {value["sum"]}'
        inner = labels.rstrip('}') + ',' if labels else ''
        total = 0
        for bound, count in zip(
            [*value['bounds'], 'inf'], value['buckets'], strict=True
        ):
            total += count
            yield f'{base}_bucket{{{inner}le={bound}}} {total}'


def respond_refused(req: iweb.IRequest, reason: str) -> bytes:
    """Respond that nothing was written."""
    body = {'outcome': 'not_in_force', 'reason': reason}
    return replies.respond(req, http.SERVICE_UNAVAILABLE, body)


def respond_failure(req: iweb.IRequest, value: typing.Any) -> bytes:
    """Respond to a query that was refused or whose outcome is unknown."""
    if isinstance(value, queries.NotKnown):
        body = {'outcome': 'not_known', 'reason': value.reason}
        return replies.respond(req, http.GATEWAY_TIMEOUT, body)
    assert isinstance(value, queries.Refused | outcomes.NotRun)
    return respond_refused(req, value.reason)

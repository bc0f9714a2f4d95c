"""Serve the operators' HTTP interface from a table, on a fake clock."""

import json
import typing

import klein
from treq import testing
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import task
from twisted.web import iweb

from kcr_core import document_text


class Cluster:
    """Hold the documents and processes that fake entries show."""

    def __init__(self) -> None:
        # Document in force by environment.
        self.documents: dict[str, dict[str, typing.Any]] = {}
        # Revision of each process by entry address.
        self.processes: dict[str, dict[str, int]] = {}
        # Environment of each entry.
        self.environments: dict[str, str] = {}
        # Verdicts by environment.
        self.history: dict[str, list[dict[str, typing.Any]]] = {}
        # Answer to publications instead of the regular one.
        self.instead: tuple[int, typing.Any] | None = None
        # Whether the next publication takes effect without an answer.
        self.lose_next = False
        # Publications that arrived.
        self.posted: list[dict[str, typing.Any]] = []
        # Seconds from a publication until the processes follow it.
        self.lag_s = 1.0
        # Clock of the command line.
        self.clock = task.Clock()
        self._stubs: dict[str, typing.Any] = {}
        self._last = 0

    def add(self, address: str, environment: str, *names: str) -> None:
        """Add an entry that knows some processes."""
        self.environments[address] = environment
        self.processes[address] = dict.fromkeys(names, 0)
        make_client: typing.Any = testing.StubTreq
        self._stubs[address] = make_client(Entry(self, address).resource())

    def publish(self, name: str, kind: str, text: str, digest: str) -> int:
        """Put a document in force; processes follow after a lag."""
        self._last += 1
        revision = self._last
        self.documents[name] = {
            'environment': name,
            'kind': kind,
            'revision': revision,
            'digest': digest,
            'text': text,
        }

        def follow() -> None:
            for address, known in self.processes.items():
                if self.environments[address] == name:
                    for process in known:
                        if process != 'stuck':
                            known[process] = revision

        self.clock.callLater(self.lag_s, follow)
        return revision

    def request(
        self, method: str, url: str, data: bytes | None = None
    ) -> defer.Deferred[typing.Any]:
        """Stand in for `treq.request`."""
        address = url.split('/')[2]
        if address not in self._stubs:
            return defer.fail(error.ConnectionRefusedError('refused'))
        stub = self._stubs[address]
        fut: defer.Deferred[typing.Any] = stub.request(method, url, data=data)
        stub.flush()
        if method == 'POST' and self.lose_next:
            self.lose_next = False
            return defer.fail(error.ConnectionLost('lost'))
        return fut


class Entry:
    """Serve one fake entry."""

    def __init__(self, cluster: Cluster, address: str) -> None:
        # Shared state.
        self.cluster = cluster
        # Address of the entry.
        self.address = address

    def resource(self) -> typing.Any:
        """Return the HTTP resource."""
        app = klein.Klein()
        app.route('/v1/document/<name>', methods=['GET'])(self._get)
        app.route('/v1/document/<name>/history')(self._get_history)
        app.route('/v1/document/<name>/<verb>', methods=['POST'])(self._post)
        app.route('/v1/versions')(self._get_versions)
        app.route('/v1/dump/<name>')(self._get_dump)
        app.route('/v1/tasks/<caller>/<name>')(self._get_task)
        return app.resource()

    def _get(self, req: iweb.IRequest, name: str) -> bytes:
        doc = self.cluster.documents.get(name)
        if doc is None:
            return respond(req, 404, {'error': 'none in force'})
        return respond(req, 200, doc)

    def _get_history(self, req: iweb.IRequest, name: str) -> bytes:
        found = self.cluster.history.get(name, [])
        return respond(req, 200, {'history': found})

    def _post(self, req: iweb.IRequest, name: str, verb: str) -> bytes:
        body = json.load(typing.cast(typing.Any, req).content)
        self.cluster.posted.append(body)
        if self.cluster.instead is not None:
            return respond(req, *self.cluster.instead)
        docs = self.cluster.documents
        current = docs[name]['revision'] if name in docs else 0
        if body['base'] != current:
            found = {'outcome': 'lost', 'reason': 'stale', 'revision': current}
            return respond(req, 409, found)
        kind, text = 'trial', document_text.unpack(body.get('text', ''))
        if verb == 'promote':
            kind, text = 'production', docs['trial']['text']
        digest = body.get('digest') or document_text.infer_digest(text)
        revision = self.cluster.publish(name, kind, text, digest)
        found = {'outcome': 'in_force', 'revision': revision}
        return respond(req, 200, found)

    def _get_versions(self, req: iweb.IRequest) -> bytes:
        found = [
            {
                'process': process,
                'role': 'sidecar',
                'region': 'r',
                'revision': revision,
                'behind': False,
            }
            for process, revision in self.cluster.processes[
                self.address
            ].items()
        ]
        environment = self.cluster.environments[self.address]
        return respond(
            req, 200, {'environment': environment, 'processes': found}
        )

    def _get_dump(self, req: iweb.IRequest, name: str) -> bytes:
        if name not in self.cluster.processes[self.address]:
            return respond(req, 503, {'reason': 'not connected'})
        return respond(req, 200, {'process': name})

    def _get_task(self, req: iweb.IRequest, caller: str, name: str) -> bytes:
        if name != 'known':
            return respond(req, 404, {'reason': 'no such task'})
        return respond(
            req, 200, {'task': f'{caller}/{name}', 'reason': 'quota is used'}
        )


def respond(req: iweb.IRequest, status: int, value: typing.Any) -> bytes:
    """Return a JSON answer."""
    req.setResponseCode(status)
    return json.dumps(value).encode()

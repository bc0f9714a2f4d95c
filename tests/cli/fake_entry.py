"""Serve the operators' HTTP interface from fake entries, on a fake clock."""

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
    """Store the documents and processes that the fake entries serve."""

    def __init__(self) -> None:
        # Document in force by environment.
        self.documents: dict[str, dict[str, typing.Any]] = {}
        # Revision of each process by entry address.
        self.processes: dict[str, dict[str, int]] = {}
        # Environment of each entry.
        self.environments: dict[str, str] = {}
        # Rows of the history by environment.
        self.history: dict[str, list[dict[str, typing.Any]]] = {}
        # Status and body of every answer to a publication, if set.
        self.override: tuple[int, typing.Any] | None = None
        # Whether the next publication takes effect but its answer is lost.
        self.drop_next_answer = False
        # Bodies of the publications received.
        self.publications: list[dict[str, typing.Any]] = []
        # Time from a publication until the processes follow it.
        self.rollout_delay_s = 1.0
        # Clock of the command line.
        self.clock = task.Clock()
        self._stubs: dict[str, typing.Any] = {}
        self._last_revision = 0

    def add(self, address: str, environment: str, *names: str) -> None:
        """Add an entry that lists some processes."""
        self.environments[address] = environment
        self.processes[address] = dict.fromkeys(names, 0)
        make_client: typing.Any = testing.StubTreq
        self._stubs[address] = make_client(Entry(self, address).resource())

    def publish(self, name: str, kind: str, text: str, digest: str) -> int:
        """Put a document in force; processes follow after the delay.

        A process named `stuck` never follows.
        """
        self._last_revision += 1
        revision = self._last_revision
        self.documents[name] = {
            'environment': name,
            'kind': kind,
            'revision': revision,
            'digest': digest,
            'text': text,
        }

        def follow() -> None:
            for address, revisions in self.processes.items():
                if self.environments[address] == name:
                    for process in revisions:
                        if process != 'stuck':
                            revisions[process] = revision

        self.clock.callLater(self.rollout_delay_s, follow)
        return revision

    def request(
        self, method: str, url: str, data: bytes | None = None
    ) -> defer.Deferred[typing.Any]:
        """Replace `treq.request`."""
        address = url.split('/')[2]
        if address not in self._stubs:
            return defer.fail(error.ConnectionRefusedError('refused'))
        stub = self._stubs[address]
        fut: defer.Deferred[typing.Any] = stub.request(method, url, data=data)
        stub.flush()
        if method == 'POST' and self.drop_next_answer:
            self.drop_next_answer = False
            return defer.fail(error.ConnectionLost('lost'))
        return fut


class Entry:
    """Serve one fake entry."""

    def __init__(self, cluster: Cluster, address: str) -> None:
        self.cluster = cluster
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
        self.cluster.publications.append(body)
        if self.cluster.override is not None:
            return respond(req, *self.cluster.override)
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
    """Set the status and return the JSON body."""
    req.setResponseCode(status)
    return json.dumps(value).encode()

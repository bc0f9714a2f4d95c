"""Check the operators' HTTP interface with the real configuration tasks."""

import json
import typing

import klein
import pytest
from treq import testing
from twisted.internet import defer
import yaml

import config_harness
from kcr_core import document_text
from kcr_document import document
from kcr_entry.front import operator_routes
from kcr_entry.front import task_routes
from kcr_runtime import query
import log_harness


class Front:
    """Answer HTTP requests of one entry in memory."""

    def __init__(self) -> None:
        # Harness with the clock and the log.
        self.harness = log_harness.Harness()
        # Entry that answers the requests.
        self.entry = config_harness.Entry(self.harness, 'a', 'trial')
        self._last_token = 0
        app = klein.Klein()
        routes = operator_routes.OperatorRoutes(self._query, self.entry.ctx)
        # Both classes add routes to one application, as in the front end. By
        # default klein names an endpoint after its function, so functions of
        # the same name would replace each other.
        routes.add_routes(app)
        task_routes.TaskRoutes(self._query, 'r1').add_routes(app)
        make_client: typing.Any = testing.StubTreq
        self._client = make_client(app.resource())
        self.harness.run(1.5)

    def _query(self, address: str, body: typing.Any) -> typing.Any:
        self._last_token += 1
        token = f'http-{self._last_token}'
        fut: defer.Deferred[typing.Any] = defer.Deferred()

        def poll() -> None:
            value = self.entry.find_reply(token)
            if value is not None:
                fut.callback(value)
            else:
                self.harness.clock.callLater(0.01, poll)

        self.entry.send(address, query.Query(token, 'requester', body))
        poll()
        return fut

    def call(
        self, method: str, path: str, body: typing.Any = None
    ) -> tuple[int, typing.Any]:
        """Return the status and the body of an answer."""
        fut = self._client.request(
            method, f'http://e{path}', data=json.dumps(body).encode()
        )
        self.harness.run(1.5)
        self._client.flush()
        found: list[typing.Any] = []
        fut.addCallback(lambda r: r.text().addCallback(
            lambda text: found.append((r.code, text))))  # fmt: skip
        self._client.flush()
        code, text = found[0]
        return code, json.loads(text) if text[:1] in '{[' else text


@pytest.fixture
def front() -> Front:
    """Return the front end of one entry."""
    return Front()


def test_document_goes_from_trial_to_production(front: Front) -> None:
    """Guard against an operator's step that the entry does not support."""
    file = config_harness.read_file()
    assert front.call('GET', '/v1/document/trial')[0] == 404
    body = {'text': config_harness.TEXT, 'operator': 'ann'}
    status, tried = front.call('POST', '/v1/document/trial/try', body)
    assert (status, tried['outcome'], tried['revision']) == (
        200, 'in_force', 1,
    )  # fmt: skip
    promotion = {'digest': file.digest, 'base': 0, 'operator': 'bob'}
    path = '/v1/document/production/promote'
    assert front.call('POST', path, promotion)[1]['revision'] == 2
    status, found = front.call('GET', '/v1/document/production')
    assert (found['digest'], found['text']) == (file.digest, file.text)
    status, found = front.call('GET', '/v1/document/production/history')
    assert [v['operator'] for v in found['history']] == ['bob']
    status, found = front.call('GET', '/v1/versions')
    assert (found['environment'], found['revision']) == ('trial', 1)


def test_document_of_the_design_size_is_accepted(front: Front) -> None:
    """Guard against a bound that a document of the design size exceeds."""
    value = list(yaml.safe_load_all(config_harness.TEXT))
    value[1]['instances'] = [
        {
            'name': f'instance-{n:05d}',
            'region': f'r{n // 2400}',
            'zone': f'r{n // 2400}-{n // 700}',
            'rack': f'r{n // 2400}-{n // 700}-{n // 3:04d}',
            'size': 'standard',
            'drained': n == 77,
        }
        for n in range(9100)
    ]
    value[1]['teams'] = [
        {'name': f'team-{n}', 'processors': 10} for n in range(250)
    ]
    file = document.parse(yaml.safe_dump_all(value).encode())
    body = {'text': document_text.pack(file.text), 'operator': 'ann'}
    status, found = front.call('POST', '/v1/document/trial/try', body)
    assert (status, found['digest']) == (200, file.digest)
    promotion = {'digest': file.digest, 'operator': 'ann'}
    path = '/v1/document/production/promote'
    assert front.call('POST', path, promotion)[0] == 200
    late = config_harness.Entry(front.harness, 'late')
    front.harness.run(1.5)
    assert late.settings()[-1].settings.drained == ('instance-00077',)
    assert len(late.settings()[-1].quotas) == 250


def test_losing_publication_reports_the_revision_in_force(
    front: Front,
) -> None:
    """Guard against a refusal without the revision that is in force."""
    path = '/v1/document/trial/try'
    for budget, expected in ((0.2, 200), (0.3, 409)):
        text = config_harness.read_file(budget).text
        body = {'text': text, 'base': 0, 'operator': 'ann'}
        status, found = front.call('POST', path, body)
        assert status == expected
    assert (found['outcome'], found['revision']) == ('lost', 1)


@pytest.mark.parametrize(
    ('path', 'body', 'status', 'text'),
    [
        ('trial/try', {'operator': 'a'}, 400, 'text'),
        ('trial/try', {'text': 'x: 1', 'operator': 'a'}, 422, 'environment'),
        ('trial/try', {'text': 'x', 'more': 1, 'operator': 'a'}, 400, 'more'),
        ('trial/try', {'text': 'zlib:?', 'operator': 'a'}, 400, 'unpacked'),
        ('other/try', {'text': config_harness.TEXT, 'operator': 'a'}, 503,
         'no trial document'),
        ('trial/try', {'text': '#' * 70_000, 'operator': 'a'}, 413,
         'canonical'),
        ('production/promote', {'digest': 'x', 'operator': 'a'}, 400,
         'digest'),
        ('production/promote', {'digest': '0' * 64, 'operator': 'a'}, 503,
         'try it first'),
    ],
)  # fmt: skip
def test_invalid_publication_names_the_field(
    front: Front, path: str, body: typing.Any, status: int, text: str
) -> None:
    """Guard against an invalid body that is accepted or not explained."""
    found = front.call('POST', f'/v1/document/{path}', body)
    assert found[0] == status
    assert text in json.dumps(found[1])


def test_metrics_are_text(front: Front) -> None:
    """Guard against metrics that cannot be read without a collector."""
    front.entry.ctx.metrics.count('made_up', kind='x')
    front.entry.ctx.metrics.record_ms('made_up_ms', 3.0)
    status, text = front.call('GET', '/v1/metrics')
    assert 'kcr.made_up{kind=x} 1\n' in text
    assert 'kcr.made_up_ms_bucket{le=5.0} 1\n' in text
    assert 'kcr.made_up_ms_count 1\n' in text


def test_dump_of_the_entry(front: Front) -> None:
    """Guard against a dump that lacks the owner of the document."""
    status, found = front.call('GET', '/v1/dump/a')
    assert 'configuration/in_force' in found
    assert front.call('GET', '/v1/dump/none')[0] == 503

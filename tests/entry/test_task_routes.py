"""Check the HTTP interface of tasks with a fake owner of the tasks."""

import json
import typing

import klein
import pytest
from treq import testing
from twisted.internet import defer

from kcr_core import live_task
from kcr_core import outcomes
from kcr_core import task_outcomes
from kcr_core import types
from kcr_entry.front import task_routes
from kcr_entry.work import submissions

HOME = types.Home('i', 'i-1', 1)
STATE = task_outcomes.TaskState(
    'c/t', 'running', 2, HOME, '', (live_task.HistoryEntry(2, HOME, 'lost'),)
)
CANCELLED = task_outcomes.TaskState('c/t', 'cancelled', 2, None, '')
BODY: dict[str, typing.Any] = {
    'id': 't',
    'caller': 'c',
    'team': 'x',
    'kind': 'k',
    'demand': {'processors': 1.5, 'memory_mb': 10, 'accelerators': 1},
    'urgent': True,
    'run_s': 3.5,
    'job': 'j',
    'payload': 'p',
}


class Front:
    """Serve the routes with one fixed reply to every query."""

    def __init__(self, answer: typing.Any) -> None:
        # Queries that were sent.
        self.queries: list[typing.Any] = []
        self._answer = answer
        app = klein.Klein()
        task_routes.TaskRoutes(self._query, 'r1').add_routes(app)
        make_client: typing.Any = testing.StubTreq
        self._treq = make_client(app.resource())

    def _query(self, address: str, body: typing.Any) -> typing.Any:
        assert address == 'work/tasks'
        self.queries.append(body)
        return defer.succeed(self._answer)

    def call(
        self, method: str, path: str, body: typing.Any = None
    ) -> tuple[int, typing.Any]:
        """Return the status and the decoded body of a response."""
        data = None if body is None else json.dumps(body).encode()
        found: list[typing.Any] = []
        url = f'http://127.0.0.1{path}'
        self._treq.request(method, url, data=data).addCallback(found.append)
        self._treq.flush()
        response = found.pop()
        self._treq.json_content(response).addCallback(found.append)
        self._treq.flush()
        return response.code, found.pop()


def test_task_is_converted_to_a_data_class() -> None:
    """Guard against a field that is lost in the conversion."""
    front = Front(task_outcomes.Accepted(STATE))
    status, answer = front.call('POST', '/v1/tasks', BODY)
    assert status == 200
    assert answer['outcome'] == 'accepted'
    assert answer['moves'] == [{'epoch': 2, 'home': 'i', 'reason': 'lost'}]
    demand = types.Demand(1.5, 10.0, 1)
    spec = types.TaskSpec(
        't', 'c', 'x', 'k', demand, True, True, 3.5, 'j', 'p'
    )
    assert front.queries == [submissions.SubmitTask(spec)]


@pytest.mark.parametrize(
    ('answer', 'status', 'outcome'),
    [
        (task_outcomes.Rejected('why'), 422, 'rejected'),
        (task_outcomes.NotAccepted('why'), 503, 'not_accepted'),
        (outcomes.NotRun('why'), 503, 'not_accepted'),
        (task_outcomes.Uncertain('why'), 504, 'unknown'),
        (task_outcomes.Conflict('c/t'), 409, 'conflict'),
    ],
)
def test_each_outcome_has_its_status(
    answer: typing.Any, status: int, outcome: str
) -> None:
    """Guard against a refusal that a caller reads as an acceptance."""
    found = Front(answer).call('POST', '/v1/tasks', BODY)
    assert found[0] == status
    assert found[1]['outcome'] == outcome
    assert found[1]['reason']


def test_task_of_another_region_is_not_accepted() -> None:
    """Guard against one task that is accepted and runs in two regions."""
    front = Front(task_outcomes.Accepted(STATE))
    body = {**BODY, 'region': 'r2'}
    status, answer = front.call('POST', '/v1/tasks', body)
    assert (status, answer['outcome']) == (503, 'not_accepted')
    assert "'r2'" in answer['reason']
    assert front.queries == []
    status, _ = front.call('POST', '/v1/tasks', {**body, 'region': 'r1'})
    assert status == 200


@pytest.mark.parametrize(
    ('change', 'field'),
    [
        ({'id': 'a/b'}, 'id'),
        ({'caller': ''}, 'caller'),
        ({'demand': {'processors': -1}}, 'demand.processors'),
        ({'demand': {'accelerators': 1.5}}, 'demand.accelerators'),
        ({'payload': 'x' * 5000}, 'payload'),
        ({'urgnt': True}, 'urgnt'),
    ],
)
def test_bad_field_is_named(change: dict[str, typing.Any], field: str) -> None:
    """Guard against an invalid field that is accepted or not named."""
    front = Front(None)
    status, answer = front.call('POST', '/v1/tasks', {**BODY, **change})
    assert status == 400
    assert answer['error'].startswith(field)
    assert front.queries == []


@pytest.mark.parametrize(
    ('method', 'answer', 'status', 'part'),
    [
        ('GET', STATE, 200, 'running'),
        ('GET', task_outcomes.NoTask('c/t', True), 404, ''),
        ('GET', task_outcomes.NoTask('c/t', False), 503, ''),
        ('DELETE', STATE, 200, 'ended'),
        ('DELETE', task_outcomes.NoTask('c/t', True), 404, ''),
        ('DELETE', CANCELLED, 200, 'cancelled'),
        ('DELETE', task_outcomes.NotAccepted('why'), 503, 'not_cancelled'),
        ('DELETE', task_outcomes.Uncertain('y'), 504, 'unknown'),
    ],
)
def test_state_and_cancel(
    method: str, answer: typing.Any, status: int, part: str
) -> None:
    """Guard against a wrong response about a known or missing task."""
    front = Front(answer)
    found = front.call(method, '/v1/tasks/c/t')
    assert found[0] == status
    shown = found[1].get('outcome', found[1].get('state', ''))
    assert shown == part
    cls = submissions.GetTask if method == 'GET' else submissions.CancelTask
    assert front.queries == [cls('c/t')]


@pytest.mark.parametrize(
    ('value', 'error'),
    [
        ({str(n): 0 for n in range(101)}, 'object of 101 fields'),
        (
            {**BODY, 'demand': {str(n): 0 for n in range(200)}},
            'object of 200 fields',
        ),
        ({'id': 't', 'x': [[]] * 9}, 'x: Extra inputs are not permitted'),
        ([], 'Input should be a valid dictionary'),
    ],
)
def test_wrong_body_is_described_in_part(
    value: typing.Any, error: str
) -> None:
    """Guard against bodies whose errors fill the memory."""
    front = Front(None)
    status, answer = front.call('POST', '/v1/tasks', value)
    assert (status, error in answer['error']) == (400, True), answer
    assert front.queries == []
    assert len(answer['error']) < 1000

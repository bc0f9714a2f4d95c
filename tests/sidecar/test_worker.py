"""Check how the worker adapter interprets responses."""

import json
import typing

import pytest

from kcr_core import local_task
from kcr_core import task_actions as actions
from kcr_core import types
from kcr_runtime import http_client
from kcr_runtime.wire import codec
from kcr_sidecar.platform import worker

SPEC = types.TaskSpec('a', 'c', 'team', 'kind', types.Demand(1.0, 10.0))


def reply(status: int, **value: typing.Any) -> http_client.Reply:
    """Return a response with a JSON body."""
    return http_client.Reply(status, json.dumps(value).encode())


@pytest.mark.parametrize(
    ('outcome', 'result'),
    [
        (reply(200, reason='started'), 'started'),
        (reply(409, reason='controller'), 'refused'),
        (http_client.NotSent('refused'), 'refused'),
        (http_client.NoAnswer('timeout'), 'unknown'),
        (reply(409, reason='epoch 2 runs'), 'unknown'),
        (reply(500), 'unknown'),
        (http_client.Reply(409, b'no JSON'), 'unknown'),
        (http_client.Reply(409, b'[]'), 'unknown'),
    ],
)
def test_start_is_refused_only_with_proof(
    outcome: http_client.HttpOutcome, result: str
) -> None:
    """Guard against a second start of a task that may have started."""
    assert worker.infer_start(outcome) == result


def test_list_with_an_invalid_task_is_rejected() -> None:
    """Guard against taking an invalid response for an empty list."""
    valid = codec.to_plain(actions.WorkerTask('c/a', 1, 'running', SPEC))
    found = worker.infer_tasks({'tasks': [valid]})
    assert found is not None and found[0].holder == ('c/a', 1)
    broken = {**valid, 'epoch': -1}
    assert worker.infer_tasks({'tasks': [valid, broken]}) is None
    assert worker.infer_tasks({}) is None


def test_key_is_one_segment_of_the_path() -> None:
    """Guard against keys that lead to the path of another resource."""
    path = worker.task_path(('c/../x?y', 1))
    assert path == '/v1/tasks/c%252F..%252Fx%253Fy'


def test_oversized_checkpoint_is_not_reported() -> None:
    """Guard against a report that no frame can carry."""
    local = local_task.LocalTask(SPEC, 1, 'older', 0.0)
    oversized = 'x' * (local_task.MAX_CHECKPOINT_CHARS + 1)
    report = local_task.infer_report(local, 'stopped', oversized, '')
    assert getattr(report, 'checkpoint') == 'older'

"""Check that a role keeps working after any task of its tree has failed."""

import typing

import pytest

from kcr_emulator import capacity_cpu
from kcr_emulator import capacity_harness
from kcr_runtime import task

# Tasks of an entry that a supervisor restarts.
ENTRY_TASKS = (
    'configuration/in_force', 'configuration/processes', 'fleet/listener',
    'fleet/membership', 'fleet/peers', 'front/http', 'log/appender',
    'log/reader_claims', 'log/reader_config', 'log/reader_tasks',
    'work/claims', 'work/fences', 'work/requests', 'work/tasks',
)  # fmt: skip
# The same for a sidecar; a failure of its task control ends the process
# instead.
SIDECAR_TASKS = (
    'capacity/admission', 'capacity/interference', 'capacity/shutdown',
    'links/announcer', 'links/control', 'platform/runner', 'platform/worker',
)  # fmt: skip


def fail(ctx: task.Context, address: str) -> None:
    """Make a task fail as if while handling a message."""
    failing_task: typing.Any = ctx.directory._tasks[address]
    failing_task.on_failure(RuntimeError('injected failure'))


def check_service(harness: capacity_harness.Harness, number: int) -> None:
    """Check that an idempotent request, another request and a task succeed.

    Their ids are made from `number`, which must differ between calls.
    """
    replies: list[typing.Any] = []
    for offset, idempotent in enumerate((True, False)):
        body = capacity_cpu.make_request(number + offset, idempotent)
        harness.call('POST', '/v1/requests', body).addCallback(replies.append)
    body = capacity_cpu.make_task(number, 0.2)
    harness.call('POST', '/v1/tasks', body).addCallback(replies.append)
    harness.net.run(4.0)
    assert [b'"done"' in reply.body for reply in replies[:2]] == [True, True]
    assert b'"accepted"' in replies[2].body
    state = harness.contexts[0].directory.dump()['work/tasks']
    assert state['live'] == 0, 'the task has not ended'


@pytest.mark.parametrize(
    ('process', 'address'),
    [
        *((0, address) for address in ENTRY_TASKS),
        *((1, address) for address in SIDECAR_TASKS),
    ],
)
def test_role_serves_on_after_a_task_failed(
    process: int, address: str
) -> None:
    """Guard against a restarted task that does not recover its state."""
    capacity_harness.prepare_roles()
    harness = capacity_harness.Harness(1, 1)
    check_service(harness, 10)
    # `process` is 0 for the entry and 1 for the sidecar.
    ctx = (harness.contexts[0], harness.sidecar_contexts[0])[process]
    fail(ctx, address)
    harness.net.run(8.0)
    check_service(harness, 20)

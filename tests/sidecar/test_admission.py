"""Check that the admission task never overcommits the slots."""

import typing

import fakes
import pytest

from kcr_core import message_base
from kcr_core import messages
from kcr_core import types
from kcr_runtime import http_client
from kcr_runtime.wire import session
from kcr_sidecar import addresses
from kcr_sidecar.capacity import admission
from kcr_sidecar.platform import runner

DONE = http_client.Reply(200, b'')
NO_ANSWER = http_client.NoAnswer('time is up')


@pytest.fixture
def harness() -> fakes.TaskHarness:
    """Return a harness with a ready admission task for two slots."""
    harness = fakes.TaskHarness(
        'links/e', addresses.RUNNER, addresses.ANNOUNCER
    )
    harness.ctx.cfg.slots, harness.ctx.cfg.connections = 2, 4
    subject = admission.Admission(harness.ctx, addresses.ADMISSION)
    harness.ctx.directory.add(addresses.ADMISSION, subject)
    subject.begin()
    harness.advance(0.1)
    reply_to_query(harness, query_status(harness), ())
    return harness


def query_status(harness: fakes.TaskHarness) -> runner.StatusQuery:
    """Return the latest query for the calls of the runner."""
    harness.advance(admission.STATUS_INTERVAL_S + 0.1)
    queries = harness.recorders[addresses.RUNNER].pop_all(runner.StatusQuery)
    return typing.cast(runner.StatusQuery, queries[-1])


def reply_to_query(
    harness: fakes.TaskHarness,
    query: runner.StatusQuery,
    served: tuple[str, ...],
) -> None:
    """Reply to a query for the calls of the runner."""
    status = runner.Status(frozenset(served), query.number)
    harness.post(query.reply_to, status)


def execute(harness: fakes.TaskHarness, attempt: str) -> None:
    """Deliver an attempt."""
    place = types.Place('r', 'z', 'k', 'e')
    hello = message_base.Hello(1, 'entry', 'e', 'e', place)
    msg = messages.Execute(attempt, f'c/{attempt}', 'svc', 5000, False, b'')
    harness.post(addresses.ADMISSION, session.Received('links/e', hello, msg))


def take_calls(harness: fakes.TaskHarness) -> list[str]:
    """Return the attempts sent to the runner since the last call."""
    sent = harness.recorders[addresses.RUNNER].pop_all(runner.Call)
    return [call.attempt for call in sent]


def end_call(
    harness: fakes.TaskHarness, attempt: str, outcome: typing.Any
) -> None:
    """End a call."""
    harness.post(addresses.ADMISSION, runner.CallEnded(attempt, outcome))


def take_replies(harness: fakes.TaskHarness) -> list[typing.Any]:
    """Return the messages sent to the entry since the last call."""
    return [
        sent.msg for sent in harness.recorders['links/e'].pop_all(session.Send)
    ]


def test_attempt_received_twice_runs_once_and_is_not_refused(
    harness: fakes.TaskHarness,
) -> None:
    """Guard against refusing a repeated attempt whose first copy runs."""
    for attempt in ('z', 'a', 'b', 'b', 'a'):
        execute(harness, attempt)
    assert (take_calls(harness), take_replies(harness)) == (['z', 'a'], [])
    end_call(harness, 'a', DONE)
    execute(harness, 'a')
    assert take_calls(harness) == ['b']
    end_call(harness, 'b', DONE)
    kinds = [type(msg) for msg in take_replies(harness)]
    assert kinds == [messages.Executed, messages.Executed]


def test_slow_list_of_calls_does_not_free_an_abandoned_slot(
    harness: fakes.TaskHarness,
) -> None:
    """Guard against a third call while the runner still serves two.

    The reply to a query from before a call was abandoned may not list it.
    """
    execute(harness, 'a')
    end_call(harness, 'a', NO_ANSWER)
    slow = query_status(harness)
    execute(harness, 'b')
    end_call(harness, 'b', NO_ANSWER)
    reply_to_query(harness, slow, ())
    execute(harness, 'c')
    execute(harness, 'd')
    assert take_calls(harness) == ['a', 'b', 'c']
    reply_to_query(harness, query_status(harness), ())
    assert take_calls(harness) == ['d']


def test_abandoned_calls_share_one_timer(harness: fakes.TaskHarness) -> None:
    """Guard against queries that multiply per abandoned call, or stop."""
    for attempt in ('a', 'b'):
        execute(harness, attempt)
        end_call(harness, attempt, NO_ANSWER)
    harness.advance(5 * admission.STATUS_INTERVAL_S)
    for _ in range(3):
        queries = harness.recorders[addresses.RUNNER].pop_all(
            runner.StatusQuery
        )
        assert len(queries) == 1
        reply_to_query(harness, queries[0], ('a', 'b'))
        harness.advance(admission.STATUS_INTERVAL_S)
    harness.advance(2 * admission.STATUS_TIMEOUT_S)
    assert harness.recorders[addresses.RUNNER].pop_all(runner.StatusQuery)


def test_call_of_a_restarted_task_is_ignored(
    harness: fakes.TaskHarness,
) -> None:
    """Guard against a restart loop after a restart of the admission task."""
    end_call(harness, 'older', DONE)
    execute(harness, 'a')
    assert take_calls(harness) == ['a']
    end_call(harness, 'a', DONE)
    assert [type(msg) for msg in take_replies(harness)] == [messages.Executed]


def test_answer_503_is_no_proof_of_not_run(harness: fakes.TaskHarness) -> None:
    """Guard against reporting "not run" for a request that failed midway."""
    execute(harness, 'a')
    end_call(harness, 'a', http_client.Reply(503, b''))
    assert [type(msg) for msg in take_replies(harness)] == [messages.Failed]

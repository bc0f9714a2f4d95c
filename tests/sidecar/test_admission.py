"""Check that the slots of the runner are never overcommitted."""

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
def bench() -> fakes.Bench:
    """Return the admission of a runner with two slots, ready."""
    bench = fakes.Bench('links/e', addresses.RUNNER, addresses.ANNOUNCER)
    bench.ctx.cfg.slots, bench.ctx.cfg.connections = 2, 4
    node = admission.Admission(bench.ctx, addresses.ADMISSION)
    bench.ctx.directory.add(addresses.ADMISSION, node)
    node.begin()
    bench.advance(0.1)
    answer_status(bench, ask(bench), ())
    return bench


def ask(bench: fakes.Bench) -> runner.AskStatus:
    """Return the newest question for the calls of the runner."""
    bench.advance(admission.FOREIGN_POLL_S + 0.1)
    found = bench.nodes[addresses.RUNNER].take(runner.AskStatus)
    return typing.cast(runner.AskStatus, found[-1])


def answer_status(
    bench: fakes.Bench, question: runner.AskStatus, served: tuple[str, ...]
) -> None:
    """Answer a question for the calls of the runner."""
    status = runner.Status(frozenset(served), question.number)
    bench.post(question.reply_to, status)


def execute(bench: fakes.Bench, attempt: str) -> None:
    """Deliver an attempt."""
    place = types.Place('r', 'z', 'k', 'e')
    hello = message_base.Hello(1, 'entry', 'e', 'e', place)
    msg = messages.Execute(attempt, f'c/{attempt}', 'svc', 5000, False, b'')
    bench.post(addresses.ADMISSION, session.Received('links/e', hello, msg))


def calls(bench: fakes.Bench) -> list[str]:
    """Return the attempts that were sent to the runner since the last look."""
    found = bench.nodes[addresses.RUNNER].take(runner.Call)
    return [call.attempt for call in found]


def end(bench: fakes.Bench, attempt: str, outcome: typing.Any) -> None:
    """End a call."""
    bench.post(addresses.ADMISSION, runner.CallEnded(attempt, outcome))


def answers(bench: fakes.Bench) -> list[typing.Any]:
    """Return what the entry got since the last look."""
    return [sent.msg for sent in bench.nodes['links/e'].take(session.Send)]


def test_attempt_received_twice_runs_once_and_is_not_refused(
    bench: fakes.Bench,
) -> None:
    """Guard against a refusal of an attempt that runs later."""
    for attempt in ('z', 'a', 'b', 'b', 'a'):
        execute(bench, attempt)
    assert (calls(bench), answers(bench)) == (['z', 'a'], [])
    end(bench, 'a', DONE)
    execute(bench, 'a')
    assert calls(bench) == ['b']
    end(bench, 'b', DONE)
    kinds = [type(msg) for msg in answers(bench)]
    assert kinds == [messages.Executed, messages.Executed]


def test_slow_list_of_calls_does_not_free_an_abandoned_slot(
    bench: fakes.Bench,
) -> None:
    """Guard against a third call while the runner still serves two."""
    execute(bench, 'a')
    end(bench, 'a', NO_ANSWER)
    slow = ask(bench)
    execute(bench, 'b')
    end(bench, 'b', NO_ANSWER)
    answer_status(bench, slow, ())
    execute(bench, 'c')
    execute(bench, 'd')
    assert calls(bench) == ['a', 'b', 'c']
    answer_status(bench, ask(bench), ())
    assert calls(bench) == ['d']


def test_abandoned_calls_share_one_timer(bench: fakes.Bench) -> None:
    """Guard against questions that grow with each call, or that stop."""
    for attempt in ('a', 'b'):
        execute(bench, attempt)
        end(bench, attempt, NO_ANSWER)
    bench.advance(5 * admission.FOREIGN_POLL_S)
    for _ in range(3):
        found = bench.nodes[addresses.RUNNER].take(runner.AskStatus)
        assert len(found) == 1
        answer_status(bench, found[0], ('a', 'b'))
        bench.advance(admission.FOREIGN_POLL_S)
    bench.advance(2 * admission.STATUS_LIMIT_S)
    assert bench.nodes[addresses.RUNNER].take(runner.AskStatus)


def test_call_of_a_restarted_task_is_ignored(bench: fakes.Bench) -> None:
    """Guard against a restart loop after the admission was restarted."""
    end(bench, 'older', DONE)
    execute(bench, 'a')
    assert calls(bench) == ['a']
    end(bench, 'a', DONE)
    assert [type(msg) for msg in answers(bench)] == [messages.Executed]


def test_answer_503_is_no_proof_of_not_run(bench: fakes.Bench) -> None:
    """Guard against "not run" after a service that failed on the way."""
    execute(bench, 'a')
    end(bench, 'a', http_client.Reply(503, b''))
    assert [type(msg) for msg in answers(bench)] == [messages.Failed]

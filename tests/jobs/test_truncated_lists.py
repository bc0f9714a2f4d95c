"""Check what the owner takes a truncated or parted list to show."""

import dataclasses
import typing

import job_harness
import pytest

from kcr_jobs import messages
from kcr_jobs import report_parts
from kcr_jobs import types
from kcr_runtime.wire import codec

LIMIT = 500
STEP = types.Step(660, types.Demand(10, 10))


class Runner(job_harness.FakeRunner):
    """List a bounded number of ended runs, as the agent reports it."""

    def report(self) -> messages.RunnerReport:
        """Return a report that is complete unless the list is truncated."""
        whole = super().report()
        truncated = len(whole.ended) >= LIMIT
        return dataclasses.replace(
            whole, ended=whole.ended[:LIMIT], complete=not truncated
        )


def make_ended(
    count: int, how: typing.Callable[[int], str]
) -> tuple[job_harness.Harness, Runner]:
    """Return a runner whose runs have ended while the store was down."""
    runner = Runner('a')
    harness = job_harness.Harness(runner)
    harness.submit(job_harness.make_job('j', STEP))
    for _ in range(3):
        harness.step()
    assert len(runner.runs) == count
    harness.store_available = False
    for number, task in enumerate(list(runner.runs)):
        runner.end(task, how(number))
    for _ in range(8):
        harness.step()
    assert not runner.runs
    return harness, runner


def find_events(harness: job_harness.Harness, event: str) -> list[str]:
    """Return the tasks of the log events of a kind."""
    return [
        item.fields['task']
        for item in harness.log_events
        if item.event == event
    ]


@pytest.mark.parametrize('takes_over', [False, True])
def test_ends_beyond_the_limit_are_not_lost(takes_over: bool) -> None:
    """Guard against 160 tasks that run twice after an outage (review/1)."""
    harness, runner = make_ended(660, lambda number: 'done')
    if takes_over:
        harness.take_over()
        harness.attach_all()
    harness.store_available = True
    for _ in range(4):
        harness.step()
    assert find_events(harness, 'run lost') == []
    assert not runner.runs
    assert harness.find_state('j') == 'completed'


def test_failure_beyond_the_limit_counts_as_an_attempt() -> None:
    """Guard against an attempt too many of a task that has failed."""
    harness, runner = make_ended(
        660, lambda number: 'failed' if number >= LIMIT else 'done'
    )
    harness.store_available = True
    for _ in range(3):
        harness.step()
    assert len(runner.runs) == 160
    assert {run.attempt for run in runner.runs.values()} == {2}
    for task in list(runner.runs):
        runner.end(task, 'failed')
    for _ in range(3):
        harness.step()
    assert harness.find_state('j') == 'failed'


def test_report_that_does_not_fit_is_complete_with_its_last_part() -> None:
    """Guard against a long list that no message can carry, or that is lost."""
    text = 'x' * 4096
    running = tuple(types.ReportedRun(f'r{n}', 1, text) for n in range(400))
    ended = tuple(
        types.ReportedEnd(n, f'e{n}', 1, 'done', text) for n in range(1, 400)
    )
    parts = report_parts.split(running, ended)
    assert len(parts) > 2
    joiner = report_parts.Joiner()
    joined: list[typing.Any] = []
    for number, part in enumerate(parts, 1):
        msg = messages.RunnerReport(
            7, 10 + number, types.RunnerInfo(), number == len(parts),
            tuple(part.running), tuple(part.ended), part=number,
        )  # fmt: skip
        received = codec.decode(codec.encode(msg))
        assert received == msg
        joined.append(joiner.join(received))
    assert joined[:-1] == [None] * (len(parts) - 1)
    assert joined[-1] == running
    assert sum((tuple(part.ended) for part in parts), ()) == ended


def test_list_with_a_missing_part_is_not_complete() -> None:
    """Guard against tasks that count as lost with a part of their list."""
    rows = [types.ReportedRun(f'r{n}', 1) for n in range(4)]

    def make(seq: int, part: int, last: int = 3) -> messages.RunnerReport:
        return messages.RunnerReport(
            7, seq, types.RunnerInfo(), part == last, (rows[part],), (),
            part=part,
        )  # fmt: skip

    joiner = report_parts.Joiner()
    assert joiner.join(make(1, 1)) is None
    assert joiner.join(make(3, 3)) is None
    # The second part of another list.
    assert joiner.join(make(4, 1)) is None
    assert joiner.join(make(6, 2, last=2)) is None
    assert [joiner.join(make(n + 6, n)) for n in (1, 2, 3)] == [
        None, None, tuple(rows[1:]),
    ]  # fmt: skip


def test_unknown_run_in_a_truncated_list_is_stopped() -> None:
    """Guard against a run of a cancelled job that goes on (UNASKED).

    It began late, and no list of the runner is complete.
    """
    harness, runner = make_ended(660, lambda number: 'done')
    harness.submit(job_harness.make_job('c', types.Step(1)))
    harness.ctl.cancel(('', 'c'), 'c', harness.now)
    runner.runs['c.0.0.0'] = job_harness.FakeRun(1)
    harness.step()
    assert not harness.store_available
    assert ('c.0.0.0', 1) in runner.stops
    assert not runner.runs


def test_runner_with_an_unknown_run_in_a_truncated_list_gets_no_start() -> (
    None
):
    """Guard against a start beyond the capacity, which the run still uses."""
    harness, runner = make_ended(660, lambda number: 'done')
    harness.store_available = True
    runner.runs['c.0.0.0'] = job_harness.FakeRun(1)
    state = harness.ctl.runners['a']
    harness.ctl.report(
        's-a', dataclasses.replace(runner.report(), complete=False),
        harness.now, 6000,
    )  # fmt: skip
    assert state.unknown_runs == 1
    assert not state.is_schedulable()

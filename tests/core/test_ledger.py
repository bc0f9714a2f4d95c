"""Check the fold of the task stream into the ledger."""

import pathlib
import typing

import pytest
import yaml

from kcr_core import ledger
from kcr_core import records
from kcr_core import restating
from kcr_core import types

CASES = yaml.safe_load(
    pathlib.Path(__file__).with_name('ledger_cases.yaml').read_text()
)


def make_spec(name: str) -> types.TaskSpec:
    """Return a task of team `x` in job `j`."""
    demand = types.Demand(2.0, 100.0, 1)
    return types.TaskSpec(name, 'c', 'x', 'kind', demand, job='j')


def parse_home(text: str) -> types.Home | None:
    """Return the home that a case names."""
    if text == '-':
        return None
    instance, incarnation, epoch = text.split(':')
    return types.Home(instance, incarnation, int(epoch))


def parse_record(text: str) -> typing.Any:
    """Return the record that a case names."""
    kind, name, *rest = text.split()
    if kind == 'accepted':
        return records.Accepted(make_spec(name), parse_home(rest[0]), 1000)
    if kind == 'moved':
        return records.Moved(
            f'c/{name}', int(rest[0]), parse_home(rest[1]), 'k'
        )
    if kind == 'finished':
        return records.FinishedRecord(f'c/{name}', int(rest[0]), 'done')
    if kind == 'restated':
        home = parse_home(rest[1])
        return records.Restated(make_spec(name), int(rest[0]), home, '', 1000)
    if kind == 'fenced':
        return records.Fenced(name, rest[0], 17.0)
    assert kind == 'cancelled', kind
    return records.Cancelled(f'c/{name}')


def fold(*texts: str, now: float = 0.0) -> ledger.Ledger:
    """Return the ledger after some records."""
    state = ledger.Ledger()
    for text in texts:
        state.apply(parse_record(text), now, 2000)
    return state


@pytest.mark.parametrize('case', CASES, ids=lambda case: str(case['name']))
def test_records_decide_in_offset_order(case: dict[str, typing.Any]) -> None:
    """Guard against two readers that consider different records valid."""
    state = ledger.Ledger()
    for step in case['steps']:
        text, effect = step.split(' > ')
        assert state.apply(parse_record(text), 0.0, 2000).effect == effect
    live = {key: (task.epoch, task.home) for key, task in state.live.items()}
    expected = {
        key: (int(text.split()[0]), parse_home(text.split()[1]))
        for key, text in case.get('live', {}).items()
    }
    assert live == expected
    ended = {key: end.outcome for key, end in state.ended.items()}
    assert ended == case.get('ended', {})


def test_tables_empty_after_the_last_task() -> None:
    """Guard against indexes that keep ended tasks."""
    state = fold('accepted t a:a1:1', 'accepted u -')
    assert state.demand_by_team == {'x': types.Demand(4.0, 200.0, 2)}
    assert state.count_by_home == {('a', 'a1'): 1}
    for text in ('moved t 2 b:b1:1', 'finished t 2', 'cancelled u'):
        state.apply(parse_record(text), 0.0, 2000)
    assert not (
        state.demand_by_team
        or state.count_by_home
        or state.keys_by_job
        or state.keys_by_instance
    )
    assert not (state.parked or state.live)
    assert state.check_count > 0


def test_earliest_wait_of_two_fences_counts() -> None:
    """Guard against a repeated fence that makes the moves late or early."""
    state = fold('fenced a a1', now=10.0)
    state.apply(records.Fenced('a', 'a1', 3600.0), 11.0, 2000)
    assert state.fences['a', 'a1'].movable_at == 27.0
    state.apply(records.Fenced('a', 'a1', 2.0), 12.0, 2000)
    assert state.fences['a', 'a1'].movable_at == 14.0


def test_late_restatement_of_an_ended_task_is_answered() -> None:
    """Guard against an ended task that counts as live after a trim."""
    stream = ['accepted t a:a1:1', 'finished t 1', 'restated t 1 a:a1:1']
    state = fold(*stream)
    schedule = restating.RewriteSchedule('e1', (), 3600.0, 2000)
    items = restating.choose_restated(state, schedule, 10)
    assert items == [records.FinishedRecord('c/t', 1, 'done')]
    late = fold(stream[-1])
    assert 'c/t' in late.live
    for reader in (state, late):
        reader.apply(items[0], 0.0, 2000)
        assert not reader.live and not reader.revived
    assert restating.choose_restated(state, schedule, 10) == []


def test_live_records_are_written_again_before_the_trim() -> None:
    """Guard against live tasks and fences that the log trims."""
    state = fold('accepted t a:a1:1', 'fenced a a1')
    retention_ms = 3_600_000

    def choose(own: str, others: tuple[str, ...], age: float) -> list[str]:
        now_ms = 1000 + int(age * retention_ms)
        schedule = restating.RewriteSchedule(own, others, 3600.0, now_ms)
        items = restating.choose_restated(state, schedule, 10)
        return [type(item).__name__ for item in items]

    assert choose('e1', (), 0.49) == []
    both = ['Fenced', 'Restated']
    names = ('e1', 'e2', 'e3')
    early = [
        choose(own, tuple(n for n in names if n != own), 0.5625)
        for own in names
    ]
    assert sorted(name for found in early for name in found) == both
    for own in names:
        others = tuple(n for n in names if n != own)
        assert choose(own, others, 0.7) == both

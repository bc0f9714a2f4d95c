"""Check the decisions after failed tasks and the quarantine of workers."""

import random
import typing

from kcr_core import health
from kcr_core import homes
from kcr_core import ledger
from kcr_core import live_task
from kcr_core import placement
from kcr_core import records
from kcr_core import types
from kcr_core import work_failures

POLICY = placement.POLICIES.get('spread')


def make_spec(name: str, **fields: typing.Any) -> types.TaskSpec:
    """Return a task of one processor."""
    demand = types.Demand(1.0, 10.0)
    return types.TaskSpec(name, 'c', 'team', 'kind', demand, **fields)


def make_home_table(*names: str) -> homes.HomeTable:
    """Return a home table in which every instance has free capacity."""
    home_table = homes.HomeTable(ledger.Ledger(), random.Random(1))
    capacity = types.Demand(8.0, 800.0)
    for name in names:
        place = types.Place('r', 'z', name, name)
        home = types.Home(name, f'{name}-1', 1)
        offer = homes.Offer(home, place, capacity, capacity, True, frozenset())
        home_table.update_offer(offer)
    return home_table


def accept(state: ledger.Ledger, spec: types.TaskSpec, instance: str) -> None:
    """Give epoch 1 of a task to an instance."""
    home = types.Home(instance, f'{instance}-1', 1)
    state.apply(records.Accepted(spec, home, 1), 0.0, 1)


def fail(state: ledger.Ledger, key: str, instance: str, to: str) -> None:
    """Move a task away from an instance on which it failed."""
    epoch = state.live[key].epoch + 1
    home = types.Home(to, f'{to}-1', 1)
    moved = records.Moved(key, epoch, home, '', 'failed', instance)
    state.apply(moved, 0.0, 1)


def test_task_ends_after_failing_on_enough_distinct_workers() -> None:
    """Guard against an end by one bad worker, and against endless retries."""
    state = ledger.Ledger()
    accept(state, make_spec('t'), 'a')
    task = state.live['c/t']
    fail(state, 'c/t', 'a', 'b')
    fail(state, 'c/t', 'a', 'b')
    assert task.failed_on == ('a',)
    assert work_failures.choose_end(task, 'a', 'why') is None
    fail(state, 'c/t', 'b', 'c')
    end = work_failures.choose_end(task, 'c', 'why')
    text = 'failed on 3 workers (a, b, c): why'
    assert end == records.FinishedRecord('c/t', task.epoch, 'failed', text)
    assert len(task.failed_on) + 1 == health.BAD_WORK_HOSTS


def test_task_that_must_not_run_again_ends_at_once() -> None:
    """Guard against a second run of a task that is not restartable."""
    state = ledger.Ledger()
    accept(state, make_spec('t', restartable=False), 'a')
    end = work_failures.choose_end(state.live['c/t'], 'a', 'why')
    assert end == records.FinishedRecord('c/t', 1, 'failed', 'why')


def test_failed_hosts_survive_a_trim_of_the_log() -> None:
    """Guard against a reader after a trim that counts failures from zero."""
    state, later = ledger.Ledger(), ledger.Ledger()
    accept(state, make_spec('t'), 'a')
    fail(state, 'c/t', 'a', 'b')
    task = state.live['c/t']
    later.apply(live_task.make_restated(task, task.home), 0.0, 1)
    assert later.live['c/t'].failed_on == ('a',)


def test_failed_hosts_are_avoided_and_named() -> None:
    """Guard against a task that is placed where it failed before."""
    home_table = make_home_table('a', 'b')
    spec = make_spec('t')
    accept(home_table.state, spec, 'a')
    fail(home_table.state, 'c/t', 'a', 'b')
    choice = home_table.choose(POLICY, spec, 9.0)
    assert isinstance(choice, placement.Placed)
    assert choice.home.instance == 'b'
    fail(home_table.state, 'c/t', 'b', 'b')
    waits = home_table.choose(POLICY, spec, 9.0)
    assert isinstance(waits, placement.NoCapacity)
    assert 'not on a, b, where it failed' in waits.reason


def test_bad_workers_are_quarantined_probed_and_bounded() -> None:
    """Guard against a worker that attracts tasks because it fails at once."""
    names = [f'w{n}' for n in range(6)]
    home_table = make_home_table(*names)
    for number in range(40):
        for name in names:
            home = types.Home(name, f'{name}-1', 1)
            key = f'c/{name}-{number}'
            outcome = 'failed' if name in names[:3] else 'done'
            change = ledger.Change('finished', key, home, 1, outcome)
            home_table.record_result(change, 0.0)
    closed = home_table.health.quarantined
    assert len(closed) == 2 and closed < set(names[:3])
    only = make_spec('new')
    avoided = set(names) - closed
    waits = home_table.choose(POLICY, only, 0.0, avoided)
    assert isinstance(waits, placement.NoCapacity)
    assert '2 workers in quarantine' in waits.reason
    probe = home_table.choose(POLICY, only, 2.0, avoided)
    assert isinstance(probe, placement.Placed)
    # The next probe of the same worker must wait, and urgent or not
    # restartable tasks are never used as probes.
    avoided.add(probe.home.instance)
    for fields in ({'urgent': True}, {'restartable': False}):
        spec = make_spec('x', **fields)
        choice = home_table.choose(POLICY, spec, 99.0, avoided)
        assert isinstance(choice, placement.NoCapacity)
    assert home_table.health.access(probe.home.instance, 2.1) == 'closed'

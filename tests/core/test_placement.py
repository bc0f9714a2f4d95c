"""Test the choice of homes and the quotas of teams."""

import pathlib
import random
import typing

import pytest
import yaml

from kcr_core import homes
from kcr_core import ledger
from kcr_core import placement
from kcr_core import quotas
from kcr_core import records
from kcr_core import types

CASES = yaml.safe_load(
    pathlib.Path(__file__).with_name('placement_cases.yaml').read_text()
)


def parse_demand(text: str) -> types.Demand:
    """Return the demand of a case."""
    processors, memory, accelerators = text.split(',')
    return types.Demand(float(processors), float(memory), int(accelerators))


def make_offer(name: str, instance: list[str]) -> homes.Offer:
    """Return the offer of an instance of a case."""
    zone, rack = instance[0].split('/')
    return homes.Offer(
        home=types.Home(name, f'{name}1', 1),
        place=types.Place('r', zone, rack, name),
        capacity=parse_demand(instance[1]),
        free=parse_demand(instance[2]),
        open='closed' not in instance,
        running=frozenset(),
    )


def make_home_table(case: dict[str, typing.Any]) -> homes.HomeTable:
    """Return the instances of a case with the tasks of its job."""
    state = ledger.Ledger()
    home_table = homes.HomeTable(state, random.Random(1))
    for name, instance in case['instances'].items():
        home_table.update_offer(make_offer(name, instance))
    for name, count in case.get('job', {}).items():
        for number in range(count):
            spec = types.TaskSpec(
                f'{name}{number}', 'c', 'x', 'k', types.Demand(), job='j'
            )
            home = types.Home(name, f'{name}1', 1)
            state.apply(records.Accepted(spec, home, 0), 0.0, 0)
    return home_table


@pytest.mark.parametrize('case', CASES, ids=lambda case: str(case['name']))
def test_home_is_chosen_by_policy(case: dict[str, typing.Any]) -> None:
    """Guard against a wrong home and a wrong reason."""
    home_table = make_home_table(case)
    name, text, *home = case['choose'].split()
    spec = types.TaskSpec('t', 'c', 'x', 'k', parse_demand(text), job='j')
    policy = placement.POLICIES.get(name)
    choice = home_table.choose(policy, spec, 100.0)
    if home:
        assert isinstance(choice, placement.Placed)
        assert choice.home.instance == home[0]
    elif 'waits' in case:
        assert isinstance(choice, placement.NoCapacity)
        assert case['waits'] in choice.reason
    else:
        assert isinstance(choice, placement.Infeasible)
        assert case['never'] in choice.reason


def test_reserved_capacity_is_not_assigned_twice() -> None:
    """Guard against placing two tasks in the free capacity of one."""
    home_table = make_home_table(
        {'instances': {'a': ['z/r', '8,100,0', '4,100,0']}}
    )
    spec = types.TaskSpec('t', 'c', 'x', 'k', types.Demand(3.0))
    policy = placement.POLICIES.get('spread')
    assert isinstance(home_table.choose(policy, spec, 0.0), placement.Placed)
    home_table.reserve('c/t', 'a', spec.demand)
    assert isinstance(
        home_table.choose(policy, spec, 0.0), placement.NoCapacity
    )
    home_table.release('c/t')
    assert isinstance(home_table.choose(policy, spec, 0.0), placement.Placed)


def test_size_factor_follows_the_settings() -> None:
    """Guard against a preference that ignores the document in force."""
    instances = {
        'a': ['z/r', '16,100,0', '8,100,0'],
        'b': ['z/r', '6,100,0', '5,100,0'],
    }
    home_table = make_home_table({'instances': instances})
    spec = types.TaskSpec('t', 'c', 'x', 'k', types.Demand(3.0))
    policy = placement.POLICIES.get('spread')
    found = {}
    for factor in (2.0, 1.0):
        home_table.set_size_factor(factor)
        choice = home_table.choose(policy, spec, 0.0)
        assert isinstance(choice, placement.Placed)
        found[factor] = choice.home.instance
    assert found == {2.0: 'a', 1.0: 'b'}


def test_recent_tasks_count_at_the_size_that_is_reserved() -> None:
    """Guard against a burst that fills a home before its next heartbeat."""
    instances = {
        'a': ['z/r', '16,100,0', '8,100,0'],
        'b': ['z/r', '64,100,0', '9,100,0'],
    }
    home_table = make_home_table({'instances': instances})
    policy = placement.POLICIES.get('spread')
    demand = types.Demand(2.0)
    homes_in_order = []
    for number in range(4):
        spec = types.TaskSpec(f't{number}', 'c', 'x', 'k', demand)
        choice = home_table.choose(policy, spec, 0.0)
        assert isinstance(choice, placement.Placed)
        home_table.reserve(spec.key, choice.home.instance, demand)
        homes_in_order.append(choice.home.instance)
    assert homes_in_order == ['a', 'a', 'b', 'b']


QUOTAS = {'x': types.Demand(4.0, 100.0, 1)}


@pytest.mark.parametrize(
    ('team', 'demand', 'reason'),
    [
        ('x', types.Demand(2.0, 50.0, 0), ''),
        ('x', types.Demand(2.5, 50.0, 0), 'processors 4.5 of 4'),
        ('x', types.Demand(1.0, 51.0, 0), 'memory_mb 101 of 100'),
        ('x', types.Demand(1.0, 50.0, 2), 'accelerators 2 of 1'),
        ('y', types.Demand(900.0, 0.0, 0), ''),
    ],
)
def test_quota_of_a_team(team: str, demand: types.Demand, reason: str) -> None:
    """Guard against a team that takes more than its quota."""
    used = types.Demand(2.0, 50.0, 0)
    found = quotas.check_quota(team, demand, used, QUOTAS)
    assert reason in found
    assert bool(reason) == bool(found)


def test_urgent_tasks_are_placed_first() -> None:
    """Guard against urgent work that waits behind earlier batch work."""
    state = ledger.Ledger()
    for name, urgent, at_ms in (
        ('a', False, 1),
        ('b', True, 3),
        ('d', True, 2),
    ):
        spec = types.TaskSpec(name, 'c', 'x', 'k', types.Demand(), urgent)
        state.apply(records.Accepted(spec, None, at_ms), 0.0, 0)
    order = quotas.order_waiting(state.live.values())
    assert [task.spec.task_id for task in order] == ['d', 'b', 'a']

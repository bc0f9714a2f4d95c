"""Check the size estimates by kind and the reservations of an instance."""

import dataclasses

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from kcr_core import resources
from kcr_core import sizes
from kcr_core import types

CAPACITY = types.Demand(8.0, 8000.0, 2)
SPEC = types.TaskSpec('t', 'c', 'team', 'kind', types.Demand(2.0, 100.0, 1))


def test_unmeasured_kind_gets_the_safety_factor() -> None:
    """Guard against reserving only the declared size without measurements."""
    estimates = sizes.Sizes(2.0)
    assert estimates.estimate(SPEC, 0.0) == types.Demand(4.0, 200.0, 1)


def measure(estimates: sizes.Sizes, tasks: int) -> None:
    """Add measurements of tasks that use half of their declared size."""
    for _ in range(tasks):
        for sample in range(1, sizes.MIN_SAMPLES + 1):
            estimates.observe(SPEC, types.Demand(1.0, 50.0, 1), sample, 0.0)


def test_few_tasks_do_not_make_a_kind_measured() -> None:
    """Guard against estimates from a few tasks that happen to be small."""
    estimates = sizes.Sizes(2.0)
    measure(estimates, sizes.MIN_TASKS - 1)
    assert estimates.estimate(SPEC, 0.0) == types.Demand(4.0, 200.0, 1)


def test_measured_kind_gets_a_decaying_peak() -> None:
    """Guard against reserving for an old peak for ever."""
    estimates = sizes.Sizes(2.0)
    measure(estimates, sizes.MIN_TASKS)
    assert estimates.estimate(SPEC, 0.0) == types.Demand(1.25, 62.5, 1)
    later = estimates.estimate(SPEC, sizes.HALF_LIFE_S)
    assert later == types.Demand(0.625, 31.25, 1)


def test_larger_task_of_a_measured_kind_gets_more() -> None:
    """Guard against reserving for a large task what small ones need."""
    estimates = sizes.Sizes(2.0)
    measure(estimates, sizes.MIN_TASKS)
    large = dataclasses.replace(SPEC, demand=types.Demand(20.0, 1000.0))
    assert estimates.estimate(large, 0.0) == types.Demand(12.5, 625.0, 1)


def test_kinds_are_bounded() -> None:
    """Guard against memory use that grows with the number of kinds."""
    estimates = sizes.Sizes(2.0)
    for number in range(sizes.MAX_KINDS + 9):
        spec = dataclasses.replace(SPEC, kind=f'k{number}')
        estimates.observe(spec, types.Demand(), 1, 0.0)
    assert len(estimates.kinds()) == sizes.MAX_KINDS


STEPS = strategies.tuples(
    strategies.sampled_from(['reserve', 'adopt', 'resize', 'release']),
    strategies.integers(0, 9),
    strategies.floats(0.0, 12.0),
)


@settings(derandomize=True)
@given(strategies.lists(STEPS, max_size=60))
def test_ledger_never_exceeds_the_capacity(
    steps: list[tuple[str, int, float]],
) -> None:
    """Guard against overcommitment by any order of changes."""
    ledger = resources.ReservationLedger(CAPACITY)
    for action, pick, cores in steps:
        holder = (f't{pick}', 1)
        demand = types.Demand(cores, cores * 900.0, pick % 3)
        if ledger.reserved(holder) is None:
            if action == 'reserve':
                ledger.reserve(holder, demand)
            elif action == 'adopt':
                ledger.adopt(holder, demand)
        elif action == 'resize':
            ledger.resize(holder, demand)
        elif action == 'release':
            ledger.release(holder)
        assert ledger.total().processors <= CAPACITY.processors + 1e-6
        assert ledger.total().memory_mb <= CAPACITY.memory_mb + 1e-6
        assert ledger.total().accelerators <= CAPACITY.accelerators


def test_short_task_leaves_no_free_capacity_and_grows_later() -> None:
    """Guard against admission while a task needs more than its reservation."""
    ledger = resources.ReservationLedger(types.Demand(8.0, 8000.0))
    assert ledger.reserve(('a', 1), types.Demand(3.0, 10.0))
    assert ledger.reserve(('b', 1), types.Demand(4.0, 10.0))
    ledger.resize(('a', 1), types.Demand(6.0, 10.0))
    assert ledger.is_short()
    assert not ledger.reserve(('c', 1), types.Demand(0.5, 10.0))
    ledger.release(('b', 1))
    assert not ledger.is_short()
    assert ledger.reserved(('a', 1)) == types.Demand(6.0, 10.0)

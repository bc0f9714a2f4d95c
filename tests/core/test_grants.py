"""Check the distribution of free slots as grants."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from kcr_core import grants

SLOTS = 8
STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(['open', 'close', 'run', 'end', 'divide']),
        strategies.integers(0, 4),
    ),
    max_size=100,
)


@settings(derandomize=True)
@given(STEPS)
def test_grants_and_attempts_stay_within_the_slots(
    steps: list[tuple[str, int]],
) -> None:
    """Guard against a grant for a slot that another attempt uses."""
    runner_grants = grants.Grants()
    used = 0
    for action, pick in steps:
        entry = f'entry-{pick}'
        if action == 'open':
            runner_grants.add_entry(entry)
        elif action == 'close':
            runner_grants.remove_entry(entry)
        elif action == 'run' and used < SLOTS:
            used += 1
            runner_grants.count_request(entry)
            runner_grants.attempt_started(entry, SLOTS - used)
        elif action == 'end' and runner_grants.active.get(entry, 0):
            used -= 1
            runner_grants.attempt_ended(entry, SLOTS - used)
        elif action == 'divide':
            runner_grants.distribute(SLOTS - used)
        assert sum(runner_grants.active.values()) == used
        assert sum(runner_grants.free.values()) + used <= SLOTS
        assert all(count >= 0 for count in runner_grants.free.values())


def test_ended_attempt_returns_its_slot_to_the_entry() -> None:
    """Guard against an entry that waits for a heartbeat after each answer."""
    runner_grants = grants.Grants()
    runner_grants.add_entry('a')
    runner_grants.distribute(2)
    runner_grants.attempt_started('a', 1)
    runner_grants.attempt_ended('a', 2)
    assert runner_grants.slots_of('a') == 2


def test_demand_decides_the_distribution() -> None:
    """Guard against idle slots granted to an entry without requests."""
    runner_grants = grants.Grants()
    runner_grants.add_entry('busy')
    runner_grants.add_entry('idle')
    for _ in range(20):
        runner_grants.count_request('busy')
    runner_grants.distribute(8)
    assert runner_grants.slots_of('busy') > runner_grants.slots_of('idle')


def test_every_entry_gets_the_only_slot_in_rotation() -> None:
    """Guard against an entry that never gets the only slot."""
    runner_grants = grants.Grants()
    names = ['a', 'b', 'c']
    for name in names:
        runner_grants.add_entry(name)
    granted: set[str] = set()
    for _ in names:
        runner_grants.distribute(1)
        granted.update(n for n in names if runner_grants.free[n])
    assert granted == set(names)

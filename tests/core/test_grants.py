"""Check that grants never promise a slot that is not free."""

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
    """Guard against granting a slot that another attempt uses."""
    owner = grants.Grants()
    used = 0
    for action, pick in steps:
        entry = f'entry-{pick}'
        if action == 'open':
            owner.add_entry(entry)
        elif action == 'close':
            owner.remove_entry(entry)
        elif action == 'run' and used < SLOTS:
            used += 1
            owner.count_request(entry)
            owner.attempt_started(entry, SLOTS - used)
        elif action == 'end' and owner.active.get(entry, 0):
            used -= 1
            owner.attempt_ended(entry, SLOTS - used)
        elif action == 'divide':
            owner.distribute(SLOTS - used)
        assert sum(owner.active.values()) == used
        assert sum(owner.free.values()) + used <= SLOTS
        assert all(count >= 0 for count in owner.free.values())


def test_ended_attempt_returns_its_slot_to_the_entry() -> None:
    """Guard against an entry that waits for a heartbeat after each answer."""
    owner = grants.Grants()
    owner.add_entry('a')
    owner.distribute(2)
    owner.attempt_started('a', 1)
    owner.attempt_ended('a', 2)
    assert owner.slots_of('a') == 2


def test_demand_decides_the_division() -> None:
    """Guard against slots that lie idle at an entry without requests."""
    owner = grants.Grants()
    owner.add_entry('busy')
    owner.add_entry('idle')
    for _ in range(20):
        owner.count_request('busy')
    owner.distribute(8)
    assert owner.slots_of('busy') > owner.slots_of('idle')


def test_every_entry_gets_a_turn() -> None:
    """Guard against an entry that never gets the only slot."""
    owner = grants.Grants()
    names = ['a', 'b', 'c']
    for name in names:
        owner.add_entry(name)
    seen: set[str] = set()
    for _ in names:
        owner.distribute(1)
        seen.update(n for n in names if owner.free[n])
    assert seen == set(names)

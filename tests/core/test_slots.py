"""Check that the slots of a runner are never overcommitted."""

from hypothesis import given
from hypothesis import strategies

from kcr_core import slots


@given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(['admit', 'finish', 'abandon', 'late']),
            strategies.integers(0, 9),
        ),
        max_size=80,
    )
)
def test_slots_never_overcommitted(
    steps: list[tuple[str, int]],
) -> None:
    """Guard against admitting more attempts than the runner has slots."""
    runner_slots = slots.Slots(slots=3, connections=5)
    now = 0.0
    for number, (action, pick) in enumerate(steps):
        now += 1.0
        if action == 'admit':
            runner_slots.admit(f'a{number}', now + pick, now)
        elif action == 'late':
            runner_slots.advance(now)
        elif runner_slots.active:
            attempt = sorted(runner_slots.active)[
                pick % len(runner_slots.active)
            ]
            if action == 'finish':
                runner_slots.finish(attempt, now)
            else:
                runner_slots.abandon(attempt, now)
        assert runner_slots.used() <= 3
        assert runner_slots.used() + len(runner_slots.waiting) <= 5


def test_refused_attempt_never_runs() -> None:
    """Guard against running an attempt after its refusal was sent."""
    runner_slots = slots.Slots(slots=1, connections=1)
    assert isinstance(runner_slots.admit('a', 10.0, 0.0), slots.Run)
    assert isinstance(runner_slots.admit('b', 10.0, 0.0), slots.Refuse)
    runner_slots.finish('a', 1.0)
    assert isinstance(runner_slots.admit('b', 10.0, 1.0), slots.Refuse)


def test_orphaned_calls_occupy_slots() -> None:
    """Guard against overcommitting while calls of an earlier sidecar run."""
    runner_slots = slots.Slots(slots=2, connections=8)
    runner_slots.reconcile({'old-1', 'old-2'}, runner_slots.next_query(), 0.0)
    assert isinstance(runner_slots.admit('a', 10.0, 0.0), slots.Queued)
    assert runner_slots.reconcile(
        {'old-2'}, runner_slots.next_query(), 1.0
    ) == [slots.Run('a')]


def test_attempt_that_is_received_twice_is_not_refused() -> None:
    """Guard against refusing an attempt that waits, runs or ran.

    The state machine of requests found it: an attempt that was delivered twice
    while it waited for a slot was refused and ran afterwards.
    """
    runner_slots = slots.Slots(slots=1, connections=4)
    assert isinstance(runner_slots.admit('a', 10.0, 0.0), slots.Run)
    assert isinstance(runner_slots.admit('b', 10.0, 0.0), slots.Queued)
    assert runner_slots.admit('b', 10.0, 0.0) == slots.Repeated('b')
    assert runner_slots.finish('a', 1.0) == [slots.Run('b')]
    assert runner_slots.admit('b', 10.0, 1.0) == slots.Repeated('b')
    runner_slots.finish('b', 2.0)
    assert runner_slots.admit('b', 10.0, 2.0) == slots.Repeated('b')


def test_old_list_of_calls_does_not_free_an_abandoned_slot() -> None:
    """Guard against overcommitting a runner that lists its calls slowly.

    The state machine of requests found it: the list was made before the call
    reached the runner and was received after the call was abandoned.
    """
    runner_slots = slots.Slots(slots=1, connections=4)
    query = runner_slots.next_query()
    runner_slots.admit('a', 10.0, 0.0)
    runner_slots.abandon('a', 1.0)
    assert runner_slots.reconcile(set(), query, 1.0) == []
    assert isinstance(runner_slots.admit('b', 10.0, 1.0), slots.Queued)
    later_query = runner_slots.next_query()
    assert runner_slots.reconcile({'a'}, later_query, 2.0) == []
    assert runner_slots.reconcile(set(), runner_slots.next_query(), 3.0) == [
        slots.Run('b')
    ]
    assert runner_slots.reconcile({'a'}, later_query, 4.0) == []
    assert not runner_slots.orphaned

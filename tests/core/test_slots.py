"""Check that the runner's slots are never given out twice."""

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
    owner = slots.Slots(slots=3, connections=5)
    now = 0.0
    for number, (action, pick) in enumerate(steps):
        now += 1.0
        if action == 'admit':
            owner.admit(f'a{number}', now + pick, now)
        elif action == 'late':
            owner.advance(now)
        elif owner.active:
            attempt = sorted(owner.active)[pick % len(owner.active)]
            if action == 'finish':
                owner.finish(attempt, now)
            else:
                owner.abandon(attempt, now)
        assert owner.used() <= 3
        assert owner.used() + len(owner.waiting) <= 5


def test_refused_attempt_never_runs() -> None:
    """Guard against running an attempt after its refusal was sent."""
    owner = slots.Slots(slots=1, connections=1)
    assert isinstance(owner.admit('a', 10.0, 0.0), slots.Run)
    assert isinstance(owner.admit('b', 10.0, 0.0), slots.Refuse)
    owner.finish('a', 1.0)
    assert isinstance(owner.admit('b', 10.0, 1.0), slots.Refuse)


def test_foreign_calls_hold_their_slots() -> None:
    """Guard against overcommitting while an older life's calls run on."""
    owner = slots.Slots(slots=2, connections=8)
    owner.reconcile({'old-1', 'old-2'}, owner.next_query(), 0.0)
    assert isinstance(owner.admit('a', 10.0, 0.0), slots.Queued)
    assert owner.reconcile({'old-2'}, owner.next_query(), 1.0) == [
        slots.Run('a')
    ]


def test_attempt_that_is_received_twice_is_not_refused() -> None:
    """Guard against a false proof that a waiting or ended attempt never ran.

    Found by the machine of requests: an attempt was delivered twice while it
    waited for a slot, was refused, and ran afterwards.
    """
    owner = slots.Slots(slots=1, connections=4)
    assert isinstance(owner.admit('a', 10.0, 0.0), slots.Run)
    assert isinstance(owner.admit('b', 10.0, 0.0), slots.Queued)
    assert owner.admit('b', 10.0, 0.0) == slots.Repeated('b')
    assert owner.finish('a', 1.0) == [slots.Run('b')]
    assert owner.admit('b', 10.0, 1.0) == slots.Repeated('b')
    owner.finish('b', 2.0)
    assert owner.admit('b', 10.0, 2.0) == slots.Repeated('b')


def test_old_list_of_calls_does_not_free_an_abandoned_slot() -> None:
    """Guard against overcommitting a runner whose list of calls is slow.

    Found by the machine of requests: the list was made before the call
    reached the runner, and was read after the call was abandoned.
    """
    owner = slots.Slots(slots=1, connections=4)
    question = owner.next_query()
    owner.admit('a', 10.0, 0.0)
    owner.abandon('a', 1.0)
    assert owner.reconcile(set(), question, 1.0) == []
    assert isinstance(owner.admit('b', 10.0, 1.0), slots.Queued)
    later = owner.next_query()
    assert owner.reconcile({'a'}, later, 2.0) == []
    assert owner.reconcile(set(), owner.next_query(), 3.0) == [slots.Run('b')]
    assert owner.reconcile({'a'}, later, 4.0) == []
    assert not owner.orphaned

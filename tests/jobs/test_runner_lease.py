"""Check that a lease is never prolonged beyond what the owner allows."""

from kcr_jobs import runner_lease


def make(now: float = 100.0) -> runner_lease.RunnerLease:
    """Return a keeper with a lease and the runner's clock."""
    keeper = runner_lease.RunnerLease()
    keeper.start(7)
    keeper.set_clock(5000, now)
    return keeper


def test_lease_counts_from_the_sending_of_the_report() -> None:
    """Guard against a late confirmation that prolongs a lease."""
    keeper = make()
    seq = keeper.next_report(100.0)
    keeper.confirm(seq, 6000, 0)
    assert keeper.expires_at == 106.0
    # The deadline on the runner's clock does not move with the time of ask.
    assert keeper.deadline_ms(100.0) == 11000
    assert keeper.deadline_ms(105.9) == 11000
    assert keeper.deadline_ms(106.0) is None


def test_confirmation_of_an_older_lease_counts_for_nothing() -> None:
    """Guard against a lease that an owner before the takeover prolongs."""
    keeper = make()
    seq = keeper.next_report(100.0)
    keeper.start(8)
    keeper.confirm(seq, 6000, 5)
    assert keeper.expires_at == 0.0


def test_time_in_suspension_ends_the_lease() -> None:
    """Guard against a frozen agent that starts tasks when it wakes."""
    keeper = make()
    keeper.confirm(keeper.next_report(100.0), 6000, 0)
    assert keeper.deadline_ms(100.0 + 30.0) is None


def test_list_that_was_asked_before_an_answer_does_not_settle_it() -> None:
    """Guard against a run that is given up while it is starting."""
    keeper = make()
    order = runner_lease.StartOrder(1, 1)
    keeper.start_orders['t'] = order
    assert keeper.list_unconfirmed_starts(100.0) == ('t',)
    order.answered_at = 100.5
    assert keeper.list_unconfirmed_starts(100.2) == ('t',)
    keeper.drop_confirmed_starts(100.2)
    assert keeper.list_unconfirmed_starts(100.6) == ()
    keeper.drop_confirmed_starts(100.6)
    assert not keeper.start_orders


def test_silence_of_the_owner_is_counted_from_the_oldest_report() -> None:
    """Guard against an agent that stays with an owner that is frozen."""
    keeper = make()
    first = keeper.next_report(100.0)
    keeper.next_report(100.5)
    assert keeper.infer_unconfirmed_s(101.5) == 1.5
    keeper.drop_confirmed_reports(first + 1)
    assert keeper.infer_unconfirmed_s(101.5) == 1.0

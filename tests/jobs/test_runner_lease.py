"""Test that a lease is never extended beyond what the owner grants."""

from kcr_jobs import runner_lease


def make_lease(now: float = 100.0) -> runner_lease.RunnerLease:
    """Return a lease with the runner's clock set."""
    lease = runner_lease.RunnerLease()
    lease.start(7)
    lease.set_clock(5000, now)
    return lease


def test_lease_counts_from_the_sending_of_the_report() -> None:
    """Guard against a late confirmation that extends a lease."""
    lease = make_lease()
    seq = lease.next_report(100.0)
    lease.confirm(seq, 6000, 0)
    assert lease.expires_at == 106.0
    # The deadline on the runner's clock does not depend on the time of call.
    assert lease.deadline_ms(100.0) == 11000
    assert lease.deadline_ms(105.9) == 11000
    assert lease.deadline_ms(106.0) is None


def test_confirmation_of_an_older_lease_is_ignored() -> None:
    """Guard against a lease that a replaced owner extends."""
    lease = make_lease()
    seq = lease.next_report(100.0)
    lease.start(8)
    lease.confirm(seq, 6000, 5)
    assert lease.expires_at == 0.0


def test_lease_expires_during_a_suspension() -> None:
    """Guard against an agent that starts tasks after it was suspended."""
    lease = make_lease()
    lease.confirm(lease.next_report(100.0), 6000, 0)
    assert lease.deadline_ms(100.0 + 30.0) is None


def test_list_queried_before_an_answer_does_not_confirm_the_start() -> None:
    """Guard against a run that is recorded as lost while it is starting."""
    lease = make_lease()
    order = runner_lease.StartOrder(1, 1)
    lease.start_orders['t'] = order
    assert lease.list_unconfirmed_starts(100.0) == ('t',)
    order.answered_at = 100.5
    assert lease.list_unconfirmed_starts(100.2) == ('t',)
    lease.drop_confirmed_starts(100.2)
    assert lease.list_unconfirmed_starts(100.6) == ()
    lease.drop_confirmed_starts(100.6)
    assert not lease.start_orders


def test_unconfirmed_time_counts_from_the_oldest_report() -> None:
    """Guard against an agent that stays attached to a hanging owner."""
    lease = make_lease()
    first = lease.next_report(100.0)
    lease.next_report(100.5)
    assert lease.infer_unconfirmed_s(101.5) == 1.5
    lease.drop_confirmed_reports(first + 1)
    assert lease.infer_unconfirmed_s(101.5) == 1.0


def test_lease_has_expired_only_after_each_deadline_given() -> None:
    """Guard against a run that is taken as ended on a runner that goes on.

    Deadlines of older leases hold, and the runner's clock may be slow.
    """
    lease = make_lease()
    lease.confirm(lease.next_report(102.0), 6000, 0)
    # 108 is confirmed, and no deadline was given to the runner yet.
    assert lease.has_expired(100.0)
    assert lease.deadline_ms(103.0) == 13000
    lease.start(8)
    slow_end = 100.0 + 8.0 / 0.98
    assert not lease.has_expired(slow_end)
    assert lease.has_expired(100.0 + 8.0 * 1.03 + 0.3)


def test_lease_of_an_earlier_process_has_not_expired() -> None:
    """Guard against an agent that ignores what the one before it extended."""
    lease = runner_lease.RunnerLease(106.0)
    lease.start(7)
    assert not lease.has_expired(105.9)
    assert lease.has_expired(106.0)

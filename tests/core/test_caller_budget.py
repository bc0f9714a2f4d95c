"""Test which connections a listener closes, without a network."""

import typing

from kcr_core import caller_budget

KIB = 1024
BOUNDS = caller_budget.Bounds(total_bytes=1000 * KIB, connections=10)
PHASES = caller_budget.Phase


def make(count: int) -> tuple[caller_budget.Budget, list[typing.Any]]:
    """Return a budget with open connections, a second apart."""
    budget = caller_budget.Budget(BOUNDS, caller_budget.Limits())
    accounts = [caller_budget.Account() for _ in range(count)]
    for now, account in enumerate(accounts):
        budget.open(account, float(now))
    return budget, accounts


def test_connection_that_sent_least_recently_is_closed_first() -> None:
    """Guard against a crowd that pushes out the caller that is active."""
    budget, accounts = make(10)
    budget.receive(accounts[0], 100, 20.0)
    budget.open(caller_budget.Account(), 21.0)
    assert budget.find_excess() == [accounts[1]]


def test_open_bodies_stay_within_the_memory() -> None:
    """Guard against memory that grows with the number of open bodies."""
    budget, accounts = make(5)
    for now, account in enumerate(accounts):
        budget.receive(account, 1, 10.0 + now)
        budget.enter(account, PHASES.BODY, 10.0 + now)
        budget.hold(account, 250 * KIB)
    assert budget.find_excess() == [accounts[0]]
    budget.close(accounts[0], 20.0)
    assert budget.find_excess() == []
    assert budget.total == 1000 * KIB


def test_idle_connection_is_kept_if_memory_is_short() -> None:
    """Guard against closing connections that hold no memory."""
    budget, accounts = make(3)
    budget.receive(accounts[1], 900 * KIB, 10.0)
    budget.receive(accounts[2], 200 * KIB, 11.0)
    assert budget.find_excess() == [accounts[1]]


def test_handled_request_is_never_closed() -> None:
    """Guard against a job that runs though its caller was refused."""
    budget, accounts = make(2)
    assert budget.handle(accounts[0], 600 * KIB, 5.0)
    budget.receive(accounts[1], 600 * KIB, 6.0)
    assert budget.find_excess() == [accounts[1]]
    assert budget.find_expired(1e9) == [accounts[1]]


def test_decoded_bodies_count_until_they_are_released() -> None:
    """Guard against decoded jobs that many callers hold at once."""
    budget, accounts = make(4)
    assert budget.handle(accounts[0], 700 * KIB, 5.0)
    assert not budget.handle(accounts[1], 300 * KIB, 5.0)
    # A small request is still handled.
    assert budget.handle(accounts[2], 100 * KIB, 5.0)
    # A caller that hangs up does not release what its handler holds.
    budget.close(accounts[0], 6.0)
    assert not budget.handle(accounts[1], 300 * KIB, 6.0)
    budget.find_expired(6.0 + caller_budget.ABANDONED_S)
    assert budget.handle(accounts[1], 300 * KIB, 11.0)
    budget.finish(accounts[1], 0, 12.0)
    budget.finish(accounts[2], 0, 12.0)
    assert (budget.total, budget.handled) == (0, 0)


def test_single_request_is_always_handled() -> None:
    """Guard against a limit of the memory below that of one body."""
    budget, accounts = make(1)
    assert budget.handle(accounts[0], 5000 * KIB, 1.0)
    assert budget.find_excess() == []


def test_head_that_trickles_expires() -> None:
    """Guard against a head whose bytes extend its own timeout."""
    budget, accounts = make(1)
    for now in range(10, 14):
        budget.receive(accounts[0], 1, float(now))
    assert budget.find_expired(12.9) == []
    assert budget.find_expired(13.0) == accounts


def test_body_expires_only_without_progress() -> None:
    """Guard against closing a caller with a narrow link."""
    budget, accounts = make(1)
    budget.enter(accounts[0], PHASES.BODY, 0.0)
    for now in range(10, 100, 10):
        budget.receive(accounts[0], 1, float(now))
        assert budget.find_expired(float(now)) == []
    assert budget.find_expired(105.0) == accounts


def test_wait_for_a_turn_is_not_held_against_the_caller() -> None:
    """Guard against closing a caller whose requests wait for others."""
    budget, accounts = make(3)
    for account in accounts[:2]:
        for _ in range(caller_budget.TURN_REQUESTS):
            assert not budget.end_turn(account, 5.0)
            budget.handle(account, 100, 5.0)
            budget.finish(account, 50, 5.0)
        assert budget.end_turn(account, 5.0)
    assert budget.find_expired(1e9) == [accounts[2]]
    assert [budget.begin_turn(1e9)] == accounts[:1]
    assert not budget.end_turn(accounts[0], 1e9)
    budget.enter(accounts[1], PHASES.REFUSED, 1e9)
    assert budget.begin_turn(1e9) is None
    # A read begins a turn too.
    accounts[0].served = caller_budget.TURN_REQUESTS
    budget.receive(accounts[0], 1, 1e9)
    assert not budget.end_turn(accounts[0], 1e9)


def test_bounds_of_an_instance() -> None:
    """Guard against bounds above those of the machine."""
    bounds = caller_budget.derive_bounds(200.0, 4100, 3 / 8)
    assert bounds == caller_budget.Bounds(25 * KIB * KIB, 1462)

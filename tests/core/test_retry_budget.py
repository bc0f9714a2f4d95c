"""Check the retry budget and the delay of hedges."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from kcr_core import request_state
from kcr_core import retry_budget


@settings(derandomize=True)
@given(
    strategies.floats(0.0, 1.0),
    strategies.lists(
        strategies.sampled_from(['request', 'spend', 'refund']),
        max_size=300,
    ),
)
def test_budget_is_never_exceeded(share: float, steps: list[str]) -> None:
    """Guard against more retries than the share of requests allows."""
    budget = retry_budget.RetryBudget(share)
    requests = spent = 0
    for step in steps:
        if step == 'request':
            budget.deposit()
            requests += 1
        elif step == 'spend':
            spent += budget.spend()
        elif spent:
            budget.refund()
            spent -= 1
        burst = retry_budget.INITIAL_TOKENS if share else 0.0
        assert spent <= share * requests + burst + 1e-6


def test_burst_is_bounded_after_many_requests() -> None:
    """Guard against a retry storm after a long time without failures."""
    budget = retry_budget.RetryBudget(0.5)
    for _ in range(10_000):
        budget.deposit()
    burst = sum(budget.spend() for _ in range(10_000))
    assert burst <= retry_budget.MAX_TOKENS


def test_refused_retries_on_credit_are_paid_by_later_requests() -> None:
    """Guard against retries that multiply the load during overload."""
    budget = retry_budget.RetryBudget(0.1)
    retries = 0
    for number in range(10_000):
        budget.deposit()
        if budget.can_lend():
            budget.lend(str(number))
            retries += 1
        # Refusals arrive late, up to 50 requests after the retry.
        if number % 50 == 0:
            for earlier in range(number - 50, number + 1):
                budget.settle(str(earlier), refused=True)
    burst = retry_budget.INITIAL_TOKENS + retry_budget.MAX_CREDITS
    assert retries <= 0.1 * 10_000 + burst


def test_retry_that_finds_room_is_not_paid() -> None:
    """Guard against a burst at one endpoint that uses up the budget."""
    budget = retry_budget.RetryBudget(0.1)
    for number in range(retry_budget.MAX_CREDITS):
        assert budget.can_lend()
        budget.lend(str(number))
    assert not budget.can_lend()
    for number in range(retry_budget.MAX_CREDITS):
        budget.settle(str(number), refused=False)
        budget.settle(str(number), refused=True)
    assert budget.can_lend()
    assert budget.tokens == retry_budget.INITIAL_TOKENS


def test_quantile_follows_recent_latencies() -> None:
    """Guard against a hedge delay from outdated latencies."""
    latencies = retry_budget.Latencies()
    assert latencies.quantile(0.95) is None
    for value in (1.0, 0.01):
        for _ in range(retry_budget.MAX_LATENCIES):
            latencies.add(value)
    assert latencies.quantile(0.95) == 0.01
    assert retry_budget.infer_hedge_delay(0.0, 0.95, latencies) == 0.01
    assert retry_budget.infer_hedge_delay(0.05, 0.95, latencies) == 0.05
    assert retry_budget.infer_hedge_delay(0.0, 0.0, latencies) is None


def test_declined_retry_keeps_the_true_outcome() -> None:
    """Guard against "not run" for a lost attempt that is not retried."""
    state = request_state.RequestState('c/1', True, 10.0, 3)
    state.begin('a')
    state.lost('a', 'connection closed', 1.0)
    step = state.decline_retry('retry budget is used up')
    assert type(step).__name__ == 'Unknown'

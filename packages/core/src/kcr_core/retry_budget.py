"""Bound retries and hedges to a share of the requests.

Retries and hedges spend from one budget. Only the entry spends from it, so
that nothing is retried by two layers.
"""

import bisect
import collections

# Tokens that the budget holds at most: retries that may come in one burst.
MAX_TOKENS = 100.0
# Tokens at the start, so that the first failures of a quiet entry are retried.
INITIAL_TOKENS = 10.0
# Recent latencies that the quantile is taken from.
LATENCIES = 512
# Latencies needed before a quantile is used.
MIN_LATENCIES = 50


class RetryBudget:
    """Hold the tokens of one entry."""

    def __init__(self, share: float) -> None:
        # Tokens that each request adds.
        self.share = share
        # Tokens that are left.
        self.tokens = INITIAL_TOKENS if share > 0 else 0.0
        # Requests that were counted.
        self.requests = 0
        # Retries and hedges that were allowed.
        self.spent = 0
        # Retries and hedges that were declined.
        self.declined = 0

    def deposit(self) -> None:
        """Count a new request."""
        self.requests += 1
        self.tokens = min(MAX_TOKENS, self.tokens + self.share)

    def spend(self) -> bool:
        """Take one token for a retry or hedge; return False without one."""
        if self.tokens < 1.0:
            self.declined += 1
            return False
        self.tokens -= 1.0
        self.spent += 1
        limit = INITIAL_TOKENS + self.requests * max(self.share, 0.0)
        assert self.spent <= limit + 1e-6, 'retry budget is exceeded'
        return True

    def refund(self) -> None:
        """Give back the token of an attempt that was not sent."""
        assert self.spent > 0, 'refund without a spent token'
        self.spent -= 1
        self.tokens = min(MAX_TOKENS, self.tokens + 1.0)


class Latencies:
    """Keep recent latencies in order, for quantiles."""

    def __init__(self) -> None:
        self._recent: collections.deque[float] = collections.deque()
        self._ordered: list[float] = []

    def add(self, value_s: float) -> None:
        """Add a latency and drop the oldest beyond the bound."""
        if len(self._recent) >= LATENCIES:
            oldest = self._recent.popleft()
            del self._ordered[bisect.bisect_left(self._ordered, oldest)]
        self._recent.append(value_s)
        bisect.insort(self._ordered, value_s)

    def quantile(self, share: float) -> float | None:
        """Return a quantile in seconds; none with too few latencies."""
        if len(self._ordered) < MIN_LATENCIES:
            return None
        index = min(len(self._ordered) - 1, int(share * len(self._ordered)))
        return self._ordered[index]


def infer_hedge_delay(
    hedge_s: float, quantile: float, latencies: Latencies
) -> float | None:
    """Return the delay before a hedge in seconds; none for no hedge.

    The larger of the fixed delay and the quantile counts: a fixed delay below
    the usual latency would hedge every request of a slow spell.
    """
    measured = latencies.quantile(quantile) if quantile > 0 else None
    if measured is None:
        return hedge_s if hedge_s > 0 else None
    return max(hedge_s, measured)

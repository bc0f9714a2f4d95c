"""Limit retries and hedges to a share of the requests of an entry.

The entry's task of requests deposits a share of a token for each request and
spends a token for each retry or hedge. The first retry after a refusal by a
full endpoint spends it only if it is refused too, so that a burst at one slow
endpoint can go to others, and an overload of all is still bounded. Only the
entry retries, so that retries of several layers do not multiply. The delay of
a hedge is computed from the configured delay and a quantile of recent
latencies.
"""

import bisect
import collections

# Maximum number of tokens, which bounds a burst of retries.
MAX_TOKENS = 100.0
# Initial tokens, so that an entry with few requests can retry its first
# failures.
INITIAL_TOKENS = 10.0
# Maximum number of retries on credit at the same time.
MAX_CREDITS = 100
# Number of recent latencies from which a quantile is computed.
MAX_LATENCIES = 512
# Minimum number of latencies for a quantile.
MIN_LATENCIES = 50


class RetryBudget:
    """Own the tokens for retries and hedges of one entry."""

    def __init__(self, share: float) -> None:
        # Tokens per request.
        self.share = share
        # Remaining tokens.
        self.tokens = INITIAL_TOKENS if share > 0 else 0.0
        # Number of requests.
        self.requests = 0
        # Number of retries and hedges that were allowed.
        self.spent = 0
        # Number of retries and hedges that were declined.
        self.declined = 0
        # Attempts on credit, whose token is spent if they are refused.
        self._credits: set[str] = set()

    def deposit(self) -> None:
        """Count a new request."""
        self.requests += 1
        self.tokens = min(MAX_TOKENS, self.tokens + self.share)

    def spend(self) -> bool:
        """Spend a token on a retry or hedge; return False if none is left."""
        if self.tokens < 1.0:
            self.declined += 1
            return False
        self.tokens -= 1.0
        self.spent += 1
        limit = INITIAL_TOKENS + self.requests * max(self.share, 0.0)
        assert self.spent <= limit + 1e-6, 'retry budget is exceeded'
        return True

    def can_lend(self) -> bool:
        """Return whether a retry may be made on credit."""
        return self.tokens >= 1.0 and len(self._credits) < MAX_CREDITS

    def lend(self, attempt: str) -> None:
        """Record an attempt on credit."""
        self._credits.add(attempt)

    def settle(self, attempt: str, refused: bool) -> None:
        """End the credit of an attempt, if it has one.

        Refused attempts may exceed the tokens; no retry is allowed until the
        deposits of later requests have made up for it.
        """
        if attempt not in self._credits:
            return
        self._credits.remove(attempt)
        if refused:
            self.tokens -= 1.0
            self.spent += 1

    def refund(self) -> None:
        """Return the token of an attempt that was not sent."""
        assert self.spent > 0, 'refund without a spent token'
        self.spent -= 1
        self.tokens = min(MAX_TOKENS, self.tokens + 1.0)


class Latencies:
    """Keep recent latencies sorted, for quantiles."""

    def __init__(self) -> None:
        # In order of arrival.
        self._recent: collections.deque[float] = collections.deque()
        self._ordered: list[float] = []

    def add(self, value_s: float) -> None:
        """Add a latency; drop the oldest beyond `MAX_LATENCIES`."""
        if len(self._recent) >= MAX_LATENCIES:
            oldest = self._recent.popleft()
            del self._ordered[bisect.bisect_left(self._ordered, oldest)]
        self._recent.append(value_s)
        bisect.insort(self._ordered, value_s)

    def quantile(self, share: float) -> float | None:
        """Return a quantile in seconds, or none with too few latencies."""
        if len(self._ordered) < MIN_LATENCIES:
            return None
        index = min(len(self._ordered) - 1, int(share * len(self._ordered)))
        return self._ordered[index]


def infer_hedge_delay(
    hedge_s: float, quantile: float, latencies: Latencies
) -> float | None:
    """Return the delay before a hedge in seconds, or none for no hedge.

    It is the larger of the fixed delay and the quantile. A fixed delay below
    the usual latency would hedge every request in a slow period.
    """
    measured = latencies.quantile(quantile) if quantile > 0 else None
    if measured is None:
        return hedge_s if hedge_s > 0 else None
    return max(hedge_s, measured)

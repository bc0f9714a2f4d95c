"""Collect the latencies of a service until their tail can be told."""

import math

# Calls needed before a tail is reported: with fewer, p99 is the maximum of a
# handful.
MIN_CALLS = 100
# Latencies that are kept; later ones of the same window are counted out.
MAX_CALLS = 4096

# Time without a call after which the service counts as idle, in seconds.
IDLE_S = 10.0


class LatencyWindow:
    """Hold the latencies since one moment."""

    def __init__(self, since: float) -> None:
        # Monotonic time at which the window began.
        self.since = since
        # Time of the last call that ended, or of the beginning.
        self.last_at = since
        self._values_ms: list[float] = []

    def add(self, value_ms: float, now: float) -> None:
        """Add the latency of one call that ended at `now`."""
        self.last_at = now
        if len(self._values_ms) < MAX_CALLS:
            self._values_ms.append(value_ms)

    def quantile_ms(self, share: float) -> float | None:
        """Return a quantile; none while the window has too few calls."""
        if len(self._values_ms) < MIN_CALLS:
            return None
        ordered = sorted(self._values_ms)
        rank = math.ceil(share * len(ordered))
        return ordered[max(1, rank) - 1]

    def is_idle(self, now: float) -> bool:
        """Tell whether no call has ended for so long that none is slowed."""
        return now - self.last_at >= IDLE_S

"""Collect the latencies of a service until it can report a quantile.

The admission task of the sidecar adds the latency of each ended call. Once
there are enough, it reports the 99th percentile and starts a new window.
"""

import math

# Minimum number of calls for a quantile: with fewer, p99 is the maximum of a
# few calls.
MIN_CALLS = 100
# Maximum number of latencies in a window; further ones are ignored.
MAX_CALLS = 4096

# Time without an ended call after which the service is idle, in seconds. The
# latency of an idle service is not affected by other work.
IDLE_S = 10.0


class LatencyWindow:
    """Store the latencies since a point in time."""

    def __init__(self, since: float) -> None:
        # Monotonic time of the start of the window.
        self.since = since
        # Monotonic time of the last end of a call, or of the start.
        self.last_at = since
        self._latencies_ms: list[float] = []

    def add(self, value_ms: float, now: float) -> None:
        """Add the latency of one call that ended at `now`."""
        self.last_at = now
        if len(self._latencies_ms) < MAX_CALLS:
            self._latencies_ms.append(value_ms)

    def quantile_ms(self, share: float) -> float | None:
        """Return a quantile in ms, or none with too few calls."""
        if len(self._latencies_ms) < MIN_CALLS:
            return None
        ordered = sorted(self._latencies_ms)
        rank = math.ceil(share * len(ordered))
        return ordered[max(1, rank) - 1]

    def is_idle(self, now: float) -> bool:
        """Return whether no call has ended for `IDLE_S` seconds."""
        return now - self.last_at >= IDLE_S

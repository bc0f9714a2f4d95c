"""Collect the latencies of a service until their tail can be told."""

# Calls needed before a tail is reported: with fewer, p99 is the maximum of a
# handful.
MIN_CALLS = 100
# Latencies that are kept; later ones of the same window are counted out.
MAX_CALLS = 4096


class Window:
    """Hold the latencies since one moment."""

    def __init__(self, since: float) -> None:
        # Monotonic time at which the window began.
        self.since = since
        self._values_ms: list[float] = []

    def add(self, value_ms: float) -> None:
        """Add the latency of one call."""
        if len(self._values_ms) < MAX_CALLS:
            self._values_ms.append(value_ms)

    def quantile_ms(self, share: float) -> float | None:
        """Return a quantile; none while the window has too few calls."""
        if len(self._values_ms) < MIN_CALLS:
            return None
        ordered = sorted(self._values_ms)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]

"""Measure how much work the runners of a service complete.

Admission uses the rate while work has been waiting for a while: then it shows
what the runners really do, with fragmentation, throttled fillers and failures.
"""

import collections

# Time over which completed work is averaged, in seconds.
WINDOW_S = 10.0
# Time for which work must have been waiting before the rate counts, in
# seconds; shorter than that, the runners may have been idle in the window.
MIN_BACKLOGGED_S = 5.0
# Number of completed tasks in the window before the rate counts.
MIN_ENDS = 20
# Time without a look at the queue after which it counts as empty meanwhile.
MAX_LOOK_GAP_S = 2.0


class WorkWindow:
    """Sum work over the last seconds."""

    def __init__(self) -> None:
        # Time and work, in core-seconds.
        self._rows: collections.deque[tuple[float, float]] = (
            collections.deque()
        )

    def record(self, work: float, now: float) -> None:
        """Record work."""
        self._rows.append((now, work))

    def count(self, now: float) -> int:
        """Return the number of records in the window."""
        while self._rows and self._rows[0][0] <= now - WINDOW_S:
            self._rows.popleft()
        return len(self._rows)

    def infer_cores(self, now: float, window_s: float = WINDOW_S) -> float:
        """Return the work per second in the last seconds of the window."""
        self.count(now)
        recent = sum(work for at, work in self._rows if at > now - window_s)
        return recent / window_s


class DrainRate:
    """Measure the work that one kind of tasks completes while some wait."""

    def __init__(self) -> None:
        self._ended = WorkWindow()
        self._backlogged_since: float | None = None
        self._looked_at = 0.0

    def record_end(self, work: float, now: float) -> None:
        """Record a task that is done."""
        self._ended.record(work, now)

    def look(self, backlogged: bool, now: float) -> None:
        """Record whether ready tasks are waiting now."""
        if now - self._looked_at > MAX_LOOK_GAP_S or not backlogged:
            self._backlogged_since = None
        if backlogged and self._backlogged_since is None:
            self._backlogged_since = now
        self._looked_at = now

    def infer_backlogged_s(self, now: float) -> float:
        """Return for how long tasks have been waiting without a break."""
        since = self._backlogged_since
        return 0.0 if since is None else now - since

    def infer_cores(self, now: float) -> float | None:
        """Return the work per second; none if it doesn't show the capacity."""
        passed_s = self.infer_backlogged_s(now)
        if passed_s < MIN_BACKLOGGED_S or self._ended.count(now) < MIN_ENDS:
            return None
        return self._ended.infer_cores(now, min(WINDOW_S, passed_s))

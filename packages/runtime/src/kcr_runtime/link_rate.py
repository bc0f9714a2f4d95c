"""Estimate the rate of the link to a service and size transfers by it.

A process shares its link between the bulk reads of the job log, its appends,
the configuration and the heartbeats. A transfer that takes a quarter of a
second at most delays the others by no more than that.
"""

# Time that one bulk transfer may occupy the link, in seconds.
TRANSFER_S = 0.25
# Bounds of one bulk transfer, in bytes.
MIN_TRANSFER_BYTES = 32 * 1024
MAX_TRANSFER_BYTES = 1024 * 1024
# Smallest transfer from which the rate is estimated, in bytes; the latency
# dominates smaller ones.
MIN_SAMPLE_BYTES = 8 * 1024
# Shortest time of a transfer that is told from zero, in seconds.
MIN_SAMPLE_S = 0.001
# Largest increase of the estimate by one sample, as a multiple; a transfer out
# of the buffers on the way shows a higher rate than the link has.
MAX_INCREASE = 2.0
# Weight of a sample that is below the estimate.
DECREASE_WEIGHT = 0.5
# Lowest estimate, in bytes a second.
MIN_RATE = 16 * 1024.0
# Timeout of a transfer, as a multiple of the time that it should take.
TIMEOUT_FACTOR = 4.0


class LinkRate:
    """Estimate the bytes a second that one direction of a link carries."""

    def __init__(self, link_mbps: float) -> None:
        # Estimate in bytes a second; starts at half of what the link is
        # declared to carry, as other traffic shares it.
        self.rate = max(MIN_RATE, link_mbps * 125_000.0 / 2)

    def record(self, size: int, took_s: float) -> None:
        """Update the estimate with one transfer."""
        if size < MIN_SAMPLE_BYTES:
            return
        sample = size / max(MIN_SAMPLE_S, took_s)
        if sample >= self.rate:
            self.rate = min(sample, self.rate * MAX_INCREASE)
        else:
            self.rate += DECREASE_WEIGHT * (sample - self.rate)
        self.rate = max(MIN_RATE, self.rate)

    def infer_transfer_bytes(self) -> int:
        """Return the largest size of one bulk transfer."""
        size = int(self.rate * TRANSFER_S)
        return min(MAX_TRANSFER_BYTES, max(MIN_TRANSFER_BYTES, size))

    def infer_timeout_s(self, size: int) -> float:
        """Return the time to allow for a transfer beyond the latency."""
        return TIMEOUT_FACTOR * size / self.rate

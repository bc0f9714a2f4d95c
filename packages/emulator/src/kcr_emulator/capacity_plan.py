"""Define the design size and the arithmetic of the capacity figures.

`capacity_figures` calls it with measured slopes. Nothing is measured here, so
that the arithmetic of docs/CAPACITY.md can be tested.
"""

from collections import abc
import dataclasses
import math

# Headers of one TCP segment: IPv4 20, TCP 20, TCP timestamps 12 bytes.
HEADER_BYTES = 52
# Payload of one segment at an MTU of 1,500 bytes.
SEGMENT_BYTES = 1448
# Bytes on the wire per byte of a long stream.
SEGMENT_SHARE = (SEGMENT_BYTES + HEADER_BYTES) / SEGMENT_BYTES
# Masking key of a WebSocket frame; only the dialing side masks.
MASK_BYTES = 4
SECONDS_PER_DAY = 86_400.0


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """Store the design size and the assumptions beyond it."""

    # Workers, each with a sidecar.
    workers: int = 9100
    # Regions.
    regions: int = 4
    # Running tasks.
    running: int = 158_000
    # Task starts a second at the peak.
    starts_per_s: float = 4500.0
    # Jobs a day.
    jobs_per_day: float = 48_000.0
    # Changes of the configuration a day.
    changes_per_day: float = 13_000.0
    # Instances that fail, are restarted or are replaced a day.
    gone_per_day: float = 900.0
    # Assumed: entries of each region.
    entries_per_region: int = 3
    # Assumed: time for which the log keeps a record, in seconds.
    retention_s: float = 7200.0
    # Heartbeat interval in seconds, the default of the document.
    heartbeat_s: float = 1.0
    # Time in which an entry collects items for one append, in seconds.
    collect_s: float = 0.01
    # Assumed: time of an append at the log, in seconds.
    append_s: float = 0.005

    def sidecars(self) -> float:
        """Return the number of sidecars in one region."""
        return self.workers / self.regions

    def live(self) -> float:
        """Return the number of live tasks in one region."""
        return self.running / self.regions

    def tasks_per_worker(self) -> float:
        """Return the mean number of running tasks per worker."""
        return self.running / self.workers

    def entries(self) -> int:
        """Return the number of entries in all regions."""
        return self.regions * self.entries_per_region


@dataclasses.dataclass(frozen=True, slots=True)
class Fit:
    """Store a straight line through measured points."""

    # Increase per unit.
    slope: float
    # Value at 0.
    base: float


@dataclasses.dataclass(frozen=True, slots=True)
class Figure:
    """Store one figure at the design size with its arithmetic."""

    # Name of the process or link, and what is counted.
    name: str
    # Sum of the terms.
    value: float
    # Unit of the value.
    unit: str
    # Upper limit of the design; none if it sets none.
    limit: float | None
    # Arithmetic as text.
    terms: str

    def is_within_limit(self) -> bool:
        """Return whether the figure is within its limit."""
        return self.limit is None or self.value <= self.limit


def fit(points: abc.Sequence[tuple[float, float]]) -> Fit:
    """Return the least-squares line through the points.

    Raise ValueError unless the points have at least two different sizes.
    """
    count = len(points)
    mean_x = sum(x for x, _ in points) / max(1, count)
    mean_y = sum(y for _, y in points) / max(1, count)
    sum_of_squares = sum((x - mean_x) ** 2 for x, _ in points)
    if not sum_of_squares:
        raise ValueError(
            'a slope needs points of two sizes; all points have one size'
        )
    slope = (
        sum((x - mean_x) * (y - mean_y) for x, y in points) / sum_of_squares
    )
    return Fit(slope, mean_y - slope * mean_x)


def frame_bytes(payload: int, masked: bool) -> int:
    """Return the bytes of a WebSocket frame with its header."""
    header = 2 if payload < 126 else 4 if payload < 65_536 else 10
    return payload + header + (MASK_BYTES if masked else 0)


def wire_bytes(payload: int, masked: bool) -> int:
    """Return the bytes of one message with WebSocket, TCP and IP headers."""
    frame = frame_bytes(payload, masked)
    return frame + HEADER_BYTES * math.ceil(frame / SEGMENT_BYTES)


def exchange_bytes(query: int, reply: int) -> int:
    """Return the bytes of a message of a sidecar and the reply to it.

    The reply carries the TCP acknowledgement of the message; the reply
    itself is acknowledged by a separate segment.
    """
    return wire_bytes(query, True) + wire_bytes(reply, False) + HEADER_BYTES


def make_figure(
    name: str,
    unit: str,
    limit: float | None,
    terms: abc.Sequence[tuple[float, float, str]],
    scale: float = 1.0,
) -> Figure:
    """Return the sum of the terms (slope, number, label) times `scale`."""
    value = sum(slope * number for slope, number, _ in terms) * scale
    text = ' + '.join(
        f'{slope:.6g} x {number:.6g} ({what})' for slope, number, what in terms
    )
    if scale != 1.0:
        text = f'({text}) x {scale:.4g}'
    return Figure(name, value, unit, limit, text)


def infer_appends_per_s(items_per_s: float, size: Size) -> float:
    """Return the appends per second of one entry to one stream.

    An entry has at most one append per stream in flight and collects items
    for the next one meanwhile.
    """
    return min(items_per_s, 1.0 / (size.collect_s + size.append_s))

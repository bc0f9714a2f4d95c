"""Record the counters and durations of a process.

Importing the OpenTelemetry SDK takes 0.07 s of processor time, which would
delay a process that recovers from a power failure. Values recorded before the
first read are therefore kept here, and passed to the SDK at that read. Every
label has a fixed set of values, which bounds the number of series.
"""

import collections
import importlib
import typing

# Durations that are kept before the SDK is imported. When there are this many,
# the SDK is imported without waiting for the first read.
MAX_EARLY_DURATIONS = 4000

Labels = tuple[tuple[str, str], ...]


class Metrics:
    """Record the counters and durations of one process."""

    def __init__(self, process: str) -> None:
        self._process = process
        # Instruments of the SDK; None until it is imported.
        self._instruments: typing.Any = None
        self._counts: collections.Counter[tuple[str, Labels]] = (
            collections.Counter()
        )
        self._durations: list[tuple[str, float, Labels]] = []

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Add to a counter; every label has a fixed set of values."""
        if self._instruments is not None:
            self._instruments.count(name, amount, **labels)
            return
        self._counts[name, tuple(labels.items())] += amount

    def record_ms(self, name: str, value_ms: float, **labels: str) -> None:
        """Add a duration to a histogram."""
        if self._instruments is not None:
            self._instruments.record_ms(name, value_ms, **labels)
            return
        self._durations.append((name, value_ms, tuple(labels.items())))
        if len(self._durations) >= MAX_EARLY_DURATIONS:
            self._load()

    def read(self) -> dict[str, typing.Any]:
        """Return all current values as plain data, by name and labels."""
        if self._instruments is None:
            self._load()
        found: dict[str, typing.Any] = self._instruments.read()
        return found

    def _load(self) -> None:
        """Import the SDK and pass on the values kept so far."""
        module: typing.Any = importlib.import_module('kcr_runtime.instruments')
        self._instruments = module.Instruments(self._process)
        for (name, labels), amount in self._counts.items():
            self._instruments.count(name, amount, **dict(labels))
        for name, value_ms, labels in self._durations:
            self._instruments.record_ms(name, value_ms, **dict(labels))
        self._counts.clear()
        self._durations.clear()

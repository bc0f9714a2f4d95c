"""Count and time what a process does.

The OpenTelemetry SDK takes 0.07 s of processor time to import, and a process
that comes back from a loss of power has better use for it. What is counted
before the first reader asks is kept here and handed over then. Label values
come from fixed sets only.
"""

import collections
import importlib
import typing

# Durations that are kept before the SDK is imported; it is imported earlier
# than the first reader asks where there are more.
EARLY_RECORDS = 4000

Labels = tuple[tuple[str, str], ...]


class Metrics:
    """Take the counts and durations of one process."""

    def __init__(self, process: str) -> None:
        self._process = process
        # The SDK's instruments; none before they are needed.
        self._instruments: typing.Any = None
        self._counts: collections.Counter[tuple[str, Labels]] = (
            collections.Counter()
        )
        self._durations: list[tuple[str, float, Labels]] = []

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Add to a counter; label values must come from a fixed set."""
        if self._instruments is not None:
            self._instruments.count(name, amount, **labels)
            return
        self._counts[name, tuple(labels.items())] += amount

    def record_ms(self, name: str, value_ms: float, **labels: str) -> None:
        """Record a duration in milliseconds."""
        if self._instruments is not None:
            self._instruments.record_ms(name, value_ms, **labels)
            return
        self._durations.append((name, value_ms, tuple(labels.items())))
        if len(self._durations) >= EARLY_RECORDS:
            self._load()

    def read(self) -> dict[str, typing.Any]:
        """Return all current values as plain data, by name and labels."""
        if self._instruments is None:
            self._load()
        found: dict[str, typing.Any] = self._instruments.read()
        return found

    def _load(self) -> None:
        """Import the SDK and hand over what was kept."""
        module: typing.Any = importlib.import_module('kcr_runtime.instruments')
        self._instruments = module.Instruments(self._process)
        for (name, labels), amount in self._counts.items():
            self._instruments.count(name, amount, **dict(labels))
        for name, value_ms, labels in self._durations:
            self._instruments.record_ms(name, value_ms, **dict(labels))
        self._counts.clear()
        self._durations.clear()

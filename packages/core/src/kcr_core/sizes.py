"""Learn how much each kind of task needs.

A kind that was never measured is reserved at its declared size times a
safety factor; a measured kind at a decayed peak plus a margin.
"""

import collections
import dataclasses

from kcr_core import types

# Kinds that are remembered; the one unused for longest is dropped.
MAX_KINDS = 512
# Reports before a kind counts as measured: the first ones of a task cover
# its start, in which it has not reached its size.
MIN_SAMPLES = 3
# Share that is added to a measured peak.
MARGIN = 0.25
# Time in which a peak that is not reached again halves, in seconds.
HALF_LIFE_S = 1800.0


@dataclasses.dataclass(slots=True)
class _Peak:
    # Decayed peak of the measured use.
    used: types.Demand
    # Time of the last measurement.
    at: float
    # Measurements taken.
    samples: int = 1


class Sizes:
    """Hold the decayed peaks by kind."""

    def __init__(self, factor: float) -> None:
        # Factor on the declared size of an unmeasured kind.
        self.factor = factor
        self._kinds: collections.OrderedDict[str, _Peak] = (
            collections.OrderedDict()
        )

    def observe(self, kind: str, used: types.Demand, now: float) -> None:
        """Take one measurement of a running task."""
        peak = self._kinds.get(kind)
        if peak is None:
            self._kinds[kind] = _Peak(used, now)
            if len(self._kinds) > MAX_KINDS:
                self._kinds.popitem(last=False)
            return
        self._kinds.move_to_end(kind)
        peak.used = used.at_least(_decayed(peak, now))
        peak.at = now
        peak.samples += 1

    def is_measured(self, kind: str) -> bool:
        """Tell whether a kind has enough measurements."""
        peak = self._kinds.get(kind)
        return peak is not None and peak.samples >= MIN_SAMPLES

    def estimate(self, spec: types.TaskSpec, now: float) -> types.Demand:
        """Return the reservation for a task that does not run yet."""
        if not self.is_measured(spec.kind):
            return spec.demand.scaled(max(1.0, self.factor))
        measured = _decayed(self._kinds[spec.kind], now).scaled(1.0 + MARGIN)
        # Accelerators are whole and exclusive, so use says little of them.
        count = max(measured.accelerators, spec.demand.accelerators)
        return dataclasses.replace(measured, accelerators=count)

    def kinds(self) -> dict[str, types.Demand]:
        """Return the stored peaks by kind."""
        return {kind: peak.used for kind, peak in self._kinds.items()}


def _decayed(peak: _Peak, now: float) -> types.Demand:
    return peak.used.scaled(0.5 ** (max(0.0, now - peak.at) / HALF_LIFE_S))


def limit_to(demand: types.Demand, most: types.Demand) -> types.Demand:
    """Return the smaller quantity of each resource."""
    return types.Demand(
        min(demand.processors, most.processors),
        min(demand.memory_mb, most.memory_mb),
        min(demand.accelerators, most.accelerators),
    )

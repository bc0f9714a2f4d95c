"""Learn how far the tasks of each kind are from their declared size.

A kind that was not measured on enough tasks is reserved at the declared size
times a safety factor; a measured kind at the declared size times a decayed
peak of the ratio of used to declared, plus a margin. Tasks of one kind may
declare different sizes, so an absolute peak would not fit all of them.
"""

import collections
import dataclasses

from kcr_core import types

# Kinds that are remembered; the one unused for longest is dropped.
MAX_KINDS = 512
# Measurements after which a task counts as measured: the first ones cover
# its start, in which it has not reached its size.
MIN_SAMPLES = 3
# Tasks after which a kind counts as measured. With ratios spread evenly over
# 0.5 to 2.0, the chance that 16 tasks all stay so low that the margin does
# not cover the largest is 0.7%.
MIN_TASKS = 16
# Share that is added to a measured peak.
MARGIN = 0.25
# Time in which a peak that is not reached again halves, in seconds.
HALF_LIFE_S = 1800.0
# Least declared size that a ratio is taken of.
LEAST = types.Demand(0.01, 1.0, 0)


@dataclasses.dataclass(slots=True)
class _Peak:
    # Decayed peak of used over declared, for processors and memory.
    processors: float = 0.0
    memory: float = 0.0
    # Most accelerators that a task used.
    accelerators: int = 0
    # Time of the last measurement.
    at: float = 0.0
    # Tasks that were measured.
    tasks: int = 0


class Sizes:
    """Hold the decayed peaks by kind."""

    def __init__(self, factor: float) -> None:
        # Factor on the declared size of an unmeasured kind.
        self.factor = factor
        self._kinds: collections.OrderedDict[str, _Peak] = (
            collections.OrderedDict()
        )

    def observe(
        self,
        spec: types.TaskSpec,
        used: types.Demand,
        samples: int,
        now: float,
    ) -> None:
        """Take the measurement number `samples` of a running task."""
        peak = self._kinds.setdefault(spec.kind, _Peak(at=now))
        self._kinds.move_to_end(spec.kind)
        if len(self._kinds) > MAX_KINDS:
            self._kinds.popitem(last=False)
        declared = spec.demand.elementwise_max(LEAST)
        share = _decay(peak, now)
        peak.processors = max(
            peak.processors * share, used.processors / declared.processors
        )
        peak.memory = max(
            peak.memory * share, used.memory_mb / declared.memory_mb
        )
        peak.accelerators = max(peak.accelerators, used.accelerators)
        peak.at = now
        if samples == MIN_SAMPLES:
            peak.tasks += 1

    def is_measured(self, kind: str) -> bool:
        """Tell whether enough tasks of a kind were measured."""
        peak = self._kinds.get(kind)
        return peak is not None and peak.tasks >= MIN_TASKS

    def estimate(self, spec: types.TaskSpec, now: float) -> types.Demand:
        """Return the reservation for a task that does not run yet."""
        if not self.is_measured(spec.kind):
            return spec.demand.scaled(max(1.0, self.factor))
        peak = self._kinds[spec.kind]
        share = _decay(peak, now) * (1.0 + MARGIN)
        declared = spec.demand.elementwise_max(LEAST)
        return types.Demand(
            declared.processors * peak.processors * share,
            declared.memory_mb * peak.memory * share,
            # Accelerators are whole and exclusive.
            max(peak.accelerators, spec.demand.accelerators),
        )

    def kinds(self) -> tuple[str, ...]:
        """Return the kinds that are remembered."""
        return tuple(self._kinds)


def _decay(peak: _Peak, now: float) -> float:
    return float(0.5 ** (max(0.0, now - peak.at) / HALF_LIFE_S))


def limit_to(demand: types.Demand, most: types.Demand) -> types.Demand:
    """Return the smaller quantity of each resource."""
    return types.Demand(
        min(demand.processors, most.processors),
        min(demand.memory_mb, most.memory_mb),
        min(demand.accelerators, most.accelerators),
    )

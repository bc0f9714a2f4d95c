"""Estimate the size of tasks from measurements of their kind.

The home reserves these estimates and reports the measured use of its running
tasks. The estimate is the declared size times a safety factor while too few
tasks of the kind were measured. After that, it is the declared size times a
decaying peak of the ratio of used to declared, plus a margin. Tasks of one
kind may declare different sizes, so an absolute peak would not fit them all.
"""

import collections
import dataclasses

from kcr_core import types

# Kinds to keep; the least recently measured one is dropped.
MAX_KINDS = 512
# Measurements after which a task counts as measured: the first ones are taken
# during its start, before it reaches its full size.
MIN_SAMPLES = 3
# Tasks after which a kind counts as measured. With ratios spread evenly over
# 0.5 to 2.0, the chance that 16 tasks all stay so low that the margin does
# not cover the largest is 0.7%.
MIN_TASKS = 16
# Share that is added to a measured peak.
MARGIN = 0.25
# Half-life of a peak that is not reached again, in seconds.
HALF_LIFE_S = 1800.0
# Lower bound of the declared size as the divisor of a ratio.
MIN_DECLARED = types.Demand(0.01, 1.0, 0)


@dataclasses.dataclass(slots=True)
class _Peak:
    # Decayed peak of used over declared, for processors and memory.
    processors: float = 0.0
    memory: float = 0.0
    # Largest number of accelerators that a task used.
    accelerators: int = 0
    # Time of the last measurement.
    at: float = 0.0
    # Number of tasks that were measured.
    tasks: int = 0


class Sizes:
    """Store the decaying peaks by kind."""

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
        """Add a measurement of a running task, the `samples`-th one of it."""
        peak = self._kinds.setdefault(spec.kind, _Peak(at=now))
        self._kinds.move_to_end(spec.kind)
        if len(self._kinds) > MAX_KINDS:
            self._kinds.popitem(last=False)
        declared = spec.demand.elementwise_max(MIN_DECLARED)
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
        """Return whether enough tasks of a kind were measured."""
        peak = self._kinds.get(kind)
        return peak is not None and peak.tasks >= MIN_TASKS

    def estimate(self, spec: types.TaskSpec, now: float) -> types.Demand:
        """Return the reservation for a task that is about to start."""
        if not self.is_measured(spec.kind):
            return spec.demand.scaled(max(1.0, self.factor))
        peak = self._kinds[spec.kind]
        share = _decay(peak, now) * (1.0 + MARGIN)
        declared = spec.demand.elementwise_max(MIN_DECLARED)
        return types.Demand(
            declared.processors * peak.processors * share,
            declared.memory_mb * peak.memory * share,
            # Accelerators are assigned whole and exclusively.
            max(peak.accelerators, spec.demand.accelerators),
        )

    def kinds(self) -> tuple[str, ...]:
        """Return the kinds that are kept."""
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

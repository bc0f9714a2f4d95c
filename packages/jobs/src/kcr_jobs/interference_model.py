"""Estimate how much a filler of one image slows a serving task of another.

The controller feeds the model with the reported values of the tasks on each
runner; placement and throttling read its estimates. A serving task's tail
latency is its own latency, which varies with its own load, plus what each
filler beside it adds. The excess over the lowest observed latency is an upper
bound of what any one filler adds. The lowest bound that is observed while
the two run side by side separates harmless pairs from harmful ones within
seconds, however the own load varies. Latency that the estimates of all pairs
together don't explain raises them in proportion to their current values.
"""

import dataclasses

from kcr_jobs import job_table

# Usage of an image's fillers from which their effect is measurable, in cores.
MIN_FILLER_CORES = 0.5
# Estimate for a pair that was never observed, in ms of latency per core; it
# lets one filler of typical size start beside a serving task with a typical
# target.
DEFAULT_ADDED_MS = 6.0
# Lower bound of an estimate, in ms of latency per core. It is above 0 so that
# an estimate can rise again.
MIN_ADDED_MS = 0.1
# Weight of an observed bound that is below the estimate: it shows that the
# filler adds less than estimated.
LOWER_WEIGHT = 0.5
# Weight of latency that the estimates don't explain. It is divided by the
# number of filler images at work, as the cause is unknown.
RAISE_WEIGHT = 0.5
# Latency over the base that a serving task's own load may explain, as a part
# of the base; the users' loads vary by half.
OWN_LOAD_SHARE = 0.6
# Weight with which the lowest latency of an image follows a higher one.
BASE_WEIGHT = 0.002


@dataclasses.dataclass(slots=True)
class InterferenceModel:
    """Store the estimates by serving image and filler image."""

    # Lowest latency of a serving image, in ms.
    base_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    # Added latency by serving image and filler image, in ms per core.
    added_ms: dict[tuple[str, str], float] = dataclasses.field(
        default_factory=dict
    )

    def predict(self, serving: str, filler: str) -> float:
        """Return the added latency of a pair, in ms per core."""
        return self.added_ms.get((serving, filler), DEFAULT_ADDED_MS)

    def is_known(self, serving: str, filler: str) -> bool:
        """Return whether a pair was ever observed."""
        return (serving, filler) in self.added_ms

    def observe(self, tasks: list[job_table.Task]) -> None:
        """Update the estimates with the tasks that run on one runner."""
        cores = sum_filler_cores(tasks)
        for task in tasks:
            if task.spec.target_ms and task.percent >= 100 and task.usage:
                self._observe_serving_task(
                    task.spec.image, float(task.usage), cores
                )

    def _observe_serving_task(
        self, serving: str, latency_ms: float, cores: dict[str, float]
    ) -> None:
        base = self.base_ms.get(serving, latency_ms)
        if latency_ms < base:
            base = latency_ms
        else:
            base += BASE_WEIGHT * (latency_ms - base)
        self.base_ms[serving] = base
        excess = latency_ms - base
        active = {f: c for f, c in cores.items() if c >= MIN_FILLER_CORES}
        predicted = {f: self.predict(serving, f) for f in active}
        predicted_total = sum(
            predicted[f] * used for f, used in active.items()
        )
        unexplained = excess - OWN_LOAD_SHARE * base - predicted_total
        for filler, used in active.items():
            added = predicted[filler]
            if excess / used < added:
                added += LOWER_WEIGHT * (excess / used - added)
            elif unexplained > 0.0:
                # Its part of the predicted total, per core.
                share = added / predicted_total
                added += RAISE_WEIGHT * unexplained * share / len(active)
            self.added_ms[serving, filler] = max(MIN_ADDED_MS, added)


def sum_filler_cores(tasks: list[job_table.Task]) -> dict[str, float]:
    """Return the processors that fillers use, in cores by image."""
    cores: dict[str, float] = {}
    for task in tasks:
        if task.spec.fills:
            image = task.spec.image
            cores[image] = cores.get(image, 0.0) + task.usage / 1000.0
    return cores

"""Learn how much a filler of one image slows a serving task of another.

A serving task's tail latency is its own latency, which swings with its own
load, plus what each filler beside it adds. The excess over the lowest latency
seen bounds what any one filler adds, so the lowest bound that is seen while
the two run side by side tells harmless pairs from harmful ones within
seconds, however the own load swings. Latency that the estimates of all pairs
together don't explain raises them, each by the part that it is believed to
have in it.
"""

import dataclasses

from kcr_jobs import job_table

# Processors of a filler from which its effect can be told, in cores.
MIN_FILLER_CORES = 0.5
# Effect of a pair that was never seen, in ms of latency per core; it lets one
# filler of usual size start beside a serving task of usual target.
DEFAULT_ADDED_MS = 6.0
# Least effect of a pair, in ms of latency per core, so that it can be found
# to be larger.
MIN_ADDED_MS = 0.1
# Weight of a bound below the estimate: evidence of harmlessness.
LOWER_WEIGHT = 0.5
# Weight of latency that the estimates don't explain. It is divided by the
# number of images that work there, as it isn't known whose it is.
RAISE_WEIGHT = 0.5
# Latency over the base that a serving task's own load may explain, as a share
# of the base; the users' loads swing by half.
OWN_LOAD_SHARE = 0.6
# Weight by which the lowest latency of an image follows upwards.
BASE_WEIGHT = 0.002


@dataclasses.dataclass(slots=True)
class InterferenceModel:
    """Hold the effects by serving image and filler image."""

    # Lowest latency of a serving image, in ms.
    base_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    # Added latency in ms per core.
    added_ms: dict[tuple[str, str], float] = dataclasses.field(
        default_factory=dict
    )

    def predict(self, serving: str, filler: str) -> float:
        """Return the added latency of a pair, in ms per core."""
        return self.added_ms.get((serving, filler), DEFAULT_ADDED_MS)

    def is_known(self, serving: str, filler: str) -> bool:
        """Tell whether a pair was ever seen."""
        return (serving, filler) in self.added_ms

    def observe(self, tasks: list[job_table.Task]) -> None:
        """Learn from the figures of the tasks on one runner."""
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
                # Its part of the whole, for each of its cores.
                share = added / predicted_total
                added += RAISE_WEIGHT * unexplained * share / len(active)
            self.added_ms[serving, filler] = max(MIN_ADDED_MS, added)


def sum_filler_cores(tasks: list[job_table.Task]) -> dict[str, float]:
    """Return the cores that fillers use, by image."""
    cores: dict[str, float] = {}
    for task in tasks:
        if task.spec.fills:
            image = task.spec.image
            cores[image] = cores.get(image, 0.0) + task.usage / 1000.0
    return cores

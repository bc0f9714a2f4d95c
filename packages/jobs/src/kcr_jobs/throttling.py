"""Throttle the fillers of a runner by the tail latency of its serving tasks.

The controller calls this with the tasks of a runner after each complete
report. The pressure on a serving task is its tail latency divided by its
target. Reports lag by half a second, so a filler's share of its processors is
changed again only once the last change is visible. The fillers that add most
latency to a serving task under pressure are throttled most; those that add
none keep their share.
"""

import dataclasses

from kcr_jobs import interference_model
from kcr_jobs import job_table

# Pressure from which fillers are throttled.
THROTTLE_PRESSURE = 0.82
# Pressure that a change aims at.
TARGET_PRESSURE = 0.68
# Pressure from which every filler of the runner is throttled, whatever its
# estimate: above its target a serving task loses four times its value.
OVERLOAD_PRESSURE = 0.97
# Part of the target that all fillers of a runner must add together before
# they are throttled; below that the task's own load is the cause.
MIN_ADDED_SHARE = 0.04
# Margin of error of what fillers add, as a part of the target.
ADDED_MARGIN = 0.15
# Time until a change is visible in reports, in seconds.
MEASUREMENT_DELAY_S = 0.55
# Largest cut at once, as a part of the current share of a filler; 1 sets no
# limit. For some reports a serving task's own load looks like the effect of
# its fillers.
MAX_CUT = 1.0
# Largest rise of a share at once, in percentage points.
MAX_RISE_PERCENT = 34
# Granularity of shares, in percent; a finer one needs more orders.
PERCENT_STEP = 5
# Lowest share other than 0, in percent.
MIN_PERCENT = 10
# Time at or below STALLED_PERCENT after which a filler is moved, in seconds.
STALL_TIMEOUT_S = 3.0
# Share up to which a filler counts as stalled, in percent.
STALLED_PERCENT = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Adjustment:
    """Describe the change for one filler."""

    # The filler.
    task: job_table.Task
    # Share of its processors that it may use, in percent.
    percent: int
    # Whether it should be moved to another runner.
    move: bool = False


def infer_pressures(
    tasks: list[job_table.Task],
) -> list[tuple[job_table.Task, float]]:
    """Return the serving tasks that are at work, each with its pressure."""
    return [
        (task, task.usage / task.spec.target_ms)
        for task in tasks
        if task.spec.target_ms and task.percent >= 100
    ]


def infer_pressure(tasks: list[job_table.Task]) -> float:
    """Return the highest pressure; 0.0 without serving tasks."""
    return max((p for _, p in infer_pressures(tasks)), default=0.0)


def choose_adjustments(
    tasks: list[job_table.Task],
    interference: interference_model.InterferenceModel,
    now: float,
) -> list[Adjustment]:
    """Return the changes for the fillers of one runner."""
    fillers = [
        t for t in tasks if t.spec.fills and t.listed and not t.stopping
    ]
    if not fillers:
        return []
    pressures = infer_pressures(tasks)
    adjustments = []
    for filler in fillers:
        if now - filler.throttled_at < MEASUREMENT_DELAY_S:
            continue
        percent = _choose(filler, fillers, pressures, interference)
        stalled = (
            filler.throttle_percent <= STALLED_PERCENT
            and percent <= STALLED_PERCENT
        )
        move = stalled and now - filler.not_stalled_at >= STALL_TIMEOUT_S
        if percent != filler.throttle_percent or move:
            adjustments.append(Adjustment(filler, percent, move))
    return adjustments


def _choose(
    filler: job_table.Task,
    fillers: list[job_table.Task],
    pressures: list[tuple[job_table.Task, float]],
    interference: interference_model.InterferenceModel,
) -> int:
    """Return the share, in percent, that every serving task allows."""
    share = float(min(100, filler.throttle_percent + MAX_RISE_PERCENT))
    for serving, pressure in pressures:
        target = serving.spec.target_ms
        added = {
            other: interference.predict(serving.spec.image, other.spec.image)
            * _cores(other)
            / target
            for other in fillers
        }
        total = sum(added.values())
        # Pressure without fillers that add up to twice their estimate.
        own_pressure = pressure - 2 * total - ADDED_MARGIN
        if pressure >= OVERLOAD_PRESSURE and own_pressure < 1.0:
            # The estimates were too low; halve the share of every filler.
            share = min(share, filler.throttle_percent * 0.5)
        if pressure >= THROTTLE_PRESSURE:
            if total < MIN_ADDED_SHARE:
                share = min(share, filler.throttle_percent)
                continue
            # Cut each filler in proportion to the latency that it adds.
            excess = min(MAX_CUT, (pressure - TARGET_PRESSURE) / total)
            weight = added[filler] / max(max(added.values()), 1e-6)
            share = min(
                share, filler.throttle_percent * (1.0 - excess * weight)
            )
            continue
        headroom = max(0.0, TARGET_PRESSURE - pressure)
        per_percent = (
            interference.predict(serving.spec.image, filler.spec.image)
            * filler.spec.demand.cpu
            / 1000.0
            / target
            / 100.0
        )
        # All fillers of the runner may rise, so they share the headroom.
        rise = headroom / max(per_percent * len(fillers), 1e-6)
        share = min(share, filler.throttle_percent + rise)
    percent = int(share // PERCENT_STEP) * PERCENT_STEP
    return percent if percent >= MIN_PERCENT else 0


def _cores(task: job_table.Task) -> float:
    return max(task.usage, 1) / 1000.0

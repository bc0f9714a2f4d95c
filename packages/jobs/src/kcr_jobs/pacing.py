"""Pace the fillers of a runner by the tail latency of its serving tasks.

The figures lag by half a second, so a filler's share is changed again only
once its effect can show. Fillers that add much latency to a pressed serving
task are slowed first; those that add none keep their share.
"""

import dataclasses

from kcr_jobs import book
from kcr_jobs import pair_effects

# Tail latency against its target from which fillers are slowed down.
SLOW_DOWN_RATIO = 0.82
# Ratio that a change aims at.
AIM_RATIO = 0.68
# Ratio from which every filler of the runner is slowed, whatever it adds by
# estimate: above its target a serving task loses four times what it earns.
STOP_RATIO = 0.97
# Share of the target that the fillers of a runner must add together before
# they are slowed for it; below that the task's own load is the cause.
LEAST_ADDED = 0.04
# Margin of the estimate of what fillers add, as a share of the target.
ADDED_MARGIN = 0.15
# Time in which a change shows in the figures, in seconds.
SETTLE_S = 0.55
# Largest cut at once, as a share of what a filler works; the own load of a
# serving task looks like the effect of its fillers for some reports.
MAX_CUT = 1.0
# Largest rise of a share at once, in percent.
RISE_STEP = 34
# Shares are ordered in these steps, in percent; finer ones cost orders.
STEP = 5
# Share below which a filler stands still.
LOWEST_PERCENT = 10
# Time below a fifth of its speed after which a filler is moved, in seconds.
STANDSTILL_S = 3.0
# Share that counts as standing still.
STILL_PERCENT = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Advice:
    """Say what to do with one filler."""

    # The filler.
    task: book.Task
    # Share at which it should work.
    percent: int
    # Whether it should be moved away.
    move: bool = False


def infer_pressures(tasks: list[book.Task]) -> list[tuple[book.Task, float]]:
    """Return the serving tasks with their latency against the target."""
    return [
        (task, task.usage / task.spec.target_ms)
        for task in tasks
        if task.spec.target_ms and task.percent >= 100
    ]


def infer_pressure(tasks: list[book.Task]) -> float:
    """Return the highest latency against the target."""
    return max((p for _, p in infer_pressures(tasks)), default=0.0)


def decide(
    tasks: list[book.Task], effects: pair_effects.PairEffects, now: float
) -> list[Advice]:
    """Return the changes for the fillers of one runner."""
    fillers = [t for t in tasks if t.spec.fills and t.seen and not t.stopping]
    if not fillers:
        return []
    pressures = infer_pressures(tasks)
    out = []
    for filler in fillers:
        if now - filler.paced_at < SETTLE_S:
            continue
        percent = _choose(filler, fillers, pressures, effects)
        still = filler.pace <= STILL_PERCENT and percent <= STILL_PERCENT
        move = still and now - filler.paced_up_at >= STANDSTILL_S
        if percent != filler.pace or move:
            out.append(Advice(filler, percent, move))
    return out


def _choose(
    filler: book.Task,
    fillers: list[book.Task],
    pressures: list[tuple[book.Task, float]],
    effects: pair_effects.PairEffects,
) -> int:
    """Return the share of a filler that every serving task allows."""
    share = float(min(100, filler.pace + RISE_STEP))
    for serving, pressure in pressures:
        target = serving.spec.target_ms
        added = {
            other: effects.predict(serving.spec.image, other.spec.image)
            * _cores(other)
            / target
            for other in fillers
        }
        whole = sum(added.values())
        own = pressure - 2 * whole - ADDED_MARGIN
        if pressure >= STOP_RATIO and own < 1.0:
            # The estimate did not hold; halve whatever works there.
            share = min(share, filler.pace * 0.5)
        if pressure >= SLOW_DOWN_RATIO:
            if whole < LEAST_ADDED:
                share = min(share, filler.pace)
                continue
            # Take the excess from each filler by what it adds.
            excess = min(MAX_CUT, (pressure - AIM_RATIO) / whole)
            weight = added[filler] / max(max(added.values()), 1e-6)
            share = min(share, filler.pace * (1.0 - excess * weight))
            continue
        room = max(0.0, AIM_RATIO - pressure)
        per_percent = (
            effects.predict(serving.spec.image, filler.spec.image)
            * filler.spec.demand.cpu
            / 1000.0
            / target
            / 100.0
        )
        # The room is shared by all fillers that may want to rise.
        rise = room / max(per_percent * len(fillers), 1e-6)
        share = min(share, filler.pace + rise)
    percent = int(share // STEP) * STEP
    return percent if percent >= LOWEST_PERCENT else 0


def _cores(task: book.Task) -> float:
    return max(task.usage, 1) / 1000.0

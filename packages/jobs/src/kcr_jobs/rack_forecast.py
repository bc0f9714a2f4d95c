"""Forecast when the runners of a rack have free capacity.

`locality` makes a forecast for a rack that a waiting step prefers, from the
free capacity of its runners and the expected ends of the tasks there. A task
that is to wait books the first place that becomes free, so that the forecast
for the next task is later.
"""

from collections import abc
import dataclasses
import heapq

from kcr_jobs import durations
from kcr_jobs import job_table
from kcr_jobs import placement

# Factor by which the rest of a running task is prolonged in a forecast. Half
# of the tasks take longer than expected, and one that is given up just before
# its place becomes free has waited for nothing.
WAIT_MARGIN = 1.25
# Shortest expected rest of a running task, in seconds; its end is reported up
# to half a second later.
MIN_REST_S = 0.25


@dataclasses.dataclass(slots=True)
class Capacity:
    """Store capacity that is free, or that becomes free with an end."""

    # Unreserved processors, memory and accelerators, as in a Candidate.
    cpu: float
    mem_mb: float
    gpu: float
    # Processors that are expected to be idle; fillers use them.
    spare_cpu: float

    def change(self, other: 'Capacity', sign: int) -> None:
        """Add another capacity, or subtract it with the sign -1."""
        self.cpu += sign * other.cpu
        self.mem_mb += sign * other.mem_mb
        self.gpu += sign * other.gpu
        self.spare_cpu += sign * other.spare_cpu

    def count_slots(self, task: job_table.Task) -> int:
        """Return for how many tasks of a step it suffices."""
        demand = task.spec.demand
        cpu = self.spare_cpu if task.spec.fills else self.cpu
        slots = [
            free // need
            for free, need in (
                (cpu, demand.cpu),
                (self.mem_mb, demand.mem_mb),
                (self.gpu, demand.gpu),
            )
            if need
        ]
        return int(max(0.0, min(slots))) if slots else task.spec.count


def measure_free(candidate: placement.Candidate) -> Capacity:
    """Return the free capacity of a candidate."""
    return Capacity(
        candidate.cpu, candidate.mem_mb, candidate.gpu, candidate.spare_cpu
    )


def measure_demand(task: job_table.Task) -> Capacity:
    """Return what a task takes from a runner."""
    demand = task.spec.demand
    return Capacity(
        0.0 if task.spec.fills else demand.cpu,
        demand.mem_mb,
        demand.gpu,
        placement.infer_expected_cpu(task),
    )


class RackForecast:
    """Store the expected free capacity of the runners of one rack."""

    def __init__(
        self,
        candidates: abc.Iterable[placement.Candidate],
        model: durations.Durations,
        now: float,
    ) -> None:
        self.candidates = list(candidates)
        # Time up to which the expected ends are in `_free`.
        self._time = now
        self._free = [measure_free(c) for c in self.candidates]
        # Time, order and runner of each expected end, with what it frees.
        self._ends: list[tuple[float, int, int, Capacity]] = []
        self._made = 0
        for index, candidate in enumerate(self.candidates):
            for task in candidate.runner.tasks.values():
                if not task.spec.lasts:
                    rest_s = max(MIN_REST_S, model.remaining_s(task, now))
                    self._add_end(now + WAIT_MARGIN * rest_s, index, task)
        # Number of the starts of this plan that are in it, by runner.
        self._seen = [0] * len(self.candidates)
        for index, candidate in enumerate(self.candidates):
            # The free capacity of the candidate is without them.
            self._add_starts(index, candidate, model, now)

    def _add_starts(
        self,
        index: int,
        candidate: placement.Candidate,
        model: durations.Durations,
        now: float,
    ) -> None:
        for task in candidate.started[self._seen[index] :]:
            run_s = model.expected_s(task) * task.slowdown
            self._add_end(now + WAIT_MARGIN * run_s, index, task)
        self._seen[index] = len(candidate.started)

    def update(self, model: durations.Durations, now: float) -> None:
        """Take in the starts that were chosen since the last call."""
        for index, candidate in enumerate(self.candidates):
            for task in candidate.started[self._seen[index] :]:
                self._free[index].change(measure_demand(task), -1)
            self._add_starts(index, candidate, model, now)

    def copy(self) -> 'RackForecast':
        """Return a copy, for trials."""
        other = RackForecast.__new__(RackForecast)
        other.candidates, other._time = self.candidates, self._time
        other._free = [dataclasses.replace(free) for free in self._free]
        other._ends, other._made = list(self._ends), self._made
        other._seen = list(self._seen)
        return other

    def _add_end(self, at: float, index: int, task: job_table.Task) -> None:
        self._made += 1
        heapq.heappush(
            self._ends, (at, self._made, index, measure_demand(task))
        )

    def book(
        self,
        task: job_table.Task,
        usable: set[int],
        count: int,
        run_s: float,
        until: float,
    ) -> float | None:
        """Book places for tasks that start together; return their time.

        `usable` are the indexes of the runners that may take such a task once
        they have capacity. Without places until a time, none is booked.
        """
        found = self._advance(task, usable, count, until)
        if found is None:
            return None
        for index in found[:count]:
            self._free[index].change(measure_demand(task), -1)
            self._add_end(self._time + WAIT_MARGIN * run_s, index, task)
        return self._time

    def _advance(
        self,
        task: job_table.Task,
        usable: set[int],
        count: int,
        until: float,
    ) -> list[int] | None:
        """Go on to the time when tasks fit; return a runner for each.

        Without such a time, nothing changes.
        """
        if self._time > until:
            return None
        began = self._time
        passed: list[tuple[float, int, int, Capacity]] = []
        slots = {n: self._free[n].count_slots(task) for n in usable}
        while sum(slots.values()) < count:
            if not self._ends or self._ends[0][0] > until:
                for end in passed:
                    heapq.heappush(self._ends, end)
                    self._free[end[2]].change(end[3], -1)
                self._time = began
                return None
            end = heapq.heappop(self._ends)
            passed.append(end)
            at, _, index, freed = end
            self._time = max(self._time, at)
            self._free[index].change(freed, 1)
            if index in slots:
                slots[index] = self._free[index].count_slots(task)
        # A runner may have room for far more tasks than are asked for.
        return [n for n in sorted(slots) for _ in range(min(slots[n], count))]

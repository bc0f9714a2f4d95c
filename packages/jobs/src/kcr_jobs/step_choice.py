"""Choose runners for the tasks of whole steps at little cost.

The planner uses it while it makes one plan. During a plan a runner changes
only by the starts that are chosen for it, so most ratings stay valid: of the
tasks of a step for each other, and of a demand that no runner takes for all
larger ones.
"""

import heapq

from kcr_jobs import job_table
from kcr_jobs import placement
from kcr_jobs import regions


class StepChoice:
    """Choose candidates for the tasks of one step, one after the other.

    All tasks of a step score alike, unless they have failed on a runner or
    were moved off one. Each candidate is scored once, and again only after a
    start on it, so that a start does not cost more with more runners. The
    result is that of `choose`.
    """

    def __init__(
        self,
        task: job_table.Task,
        candidates: list[placement.Candidate],
        now: float,
    ) -> None:
        self._candidates = candidates
        self._now = now
        self._score = placement.SCORES.get(
            placement.find_score_name(task.spec)
        )
        # Score, index and version of each candidate that the tasks fit.
        self._heap: list[tuple[float, int, int]] = []
        for index, candidate in enumerate(candidates):
            entry = self._rate(task, index, candidate)
            if entry is not None:
                self._heap.append(entry)
        heapq.heapify(self._heap)

    def _rate(
        self, task: job_table.Task, index: int, candidate: placement.Candidate
    ) -> tuple[float, int, int] | None:
        if not placement.fits(task, candidate):
            return None
        value = self._score(task, candidate, self._now)
        return None if value is None else (value, index, candidate.version)

    def choose(self, task: job_table.Task) -> placement.Candidate | None:
        """Return the best candidate for the next task; none without one."""
        while self._heap:
            _, index, version = self._heap[0]
            candidate = self._candidates[index]
            if candidate.version == version:
                return candidate
            heapq.heappop(self._heap)
            entry = self._rate(task, index, candidate)
            if entry is not None:
                heapq.heappush(self._heap, entry)
        return None


class RejectedDemands:
    """Remember which demands no candidate takes while starts are chosen.

    Candidates only get fuller meanwhile, so a step that demands at least as
    much as a rejected one, and is equal otherwise, is rejected as well.
    """

    def __init__(self, rules: regions.Rules) -> None:
        self._rules = rules
        self._rejected: dict[tuple[str, ...], list[tuple[int, int, int]]] = {}

    def add(self, task: job_table.Task) -> None:
        """Record that no candidate takes a task."""
        key = _find_kind(task, self._rules)
        if key is not None:
            demand = task.spec.demand
            self._rejected.setdefault(key, []).append(
                (demand.cpu, demand.mem_mb, demand.gpu)
            )

    def covers(self, task: job_table.Task) -> bool:
        """Return whether a task can't be placed either."""
        key = _find_kind(task, self._rules)
        demand = task.spec.demand
        return key is not None and any(
            cpu <= demand.cpu and mem_mb <= demand.mem_mb and gpu <= demand.gpu
            for cpu, mem_mb, gpu in self._rejected.get(key, ())
        )


def _find_kind(
    task: job_table.Task, rules: regions.Rules
) -> tuple[str, ...] | None:
    """Return what decides besides the demand; none if the task is special."""
    spec = task.spec
    if spec.max_per_runner or task.avoided_instance:
        return None
    return (
        task.job.spec.queue.service,
        spec.label,
        placement.find_score_name(spec),
        spec.image,
        *rules.find_allowed(task.job.spec.queue),
    )

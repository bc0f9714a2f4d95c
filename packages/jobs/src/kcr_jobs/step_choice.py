"""Choose runners for the tasks of whole steps at little cost.

The planner uses it while it makes one plan. During a plan a runner changes
only by the starts that are chosen for it, so most ratings stay valid: of the
tasks of a step for each other, and of a demand that no runner takes for all
larger ones.
"""

import collections
import heapq

from kcr_jobs import cold_runners
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


class JobChoices:
    """Choose candidates for the tasks of one job in one plan."""

    def __init__(
        self, job: job_table.Job, candidates: list[placement.Candidate]
    ) -> None:
        # Whether the last task without a candidate waits for a warm runner,
        # though a cold one has capacity.
        self.kept_warm = False
        self._candidates = candidates
        self._warm = [c for c in candidates if not c.cold]
        self._cold = {c.runner.name for c in candidates if c.cold}
        # Choices by occurrence, step and whether only of warm runners.
        self._choices: dict[tuple[int, int, bool], StepChoice] = {}
        # Number of waiting tasks by occurrence and step; only with cold
        # runners.
        self._waiting: collections.Counter[tuple[int, int]] = (
            collections.Counter()
        )
        if self._cold:
            self._waiting.update(
                (task.occurrence, task.step)
                for task in job.tasks.values()
                if not task.done and not task.instance
            )

    def clear(self) -> None:
        """Drop the choices after a start that they did not choose."""
        self._choices.clear()

    def choose(
        self, task: job_table.Task, now: float
    ) -> placement.Candidate | None:
        """Return the best candidate for a task; none without one."""
        self.kept_warm = False
        step = (task.occurrence, task.step)
        waiting = self._waiting[step]
        self._waiting[step] -= 1
        if not self._cold or not cold_runners.needs_warm(task, waiting, now):
            return self._choose(task, False, now)
        found = self._choose(task, True, now)
        if found is not None:
            return found
        if cold_runners.may_use_cold(task, self._cold, now):
            return self._choose(task, False, now)
        self.kept_warm = True
        return None

    def _choose(
        self, task: job_table.Task, warm: bool, now: float
    ) -> placement.Candidate | None:
        key = (task.occurrence, task.step, warm)
        if key not in self._choices:
            candidates = self._warm if warm else self._candidates
            self._choices[key] = StepChoice(task, candidates, now)
        return self._choices[key].choose(task)


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

"""Decide whether a task waits for a place in the rack that it prefers.

A step prefers the rack of its data or, if its tasks are slower in more than
one rack, the rack where they run already or where all of them end first. On
another rack a task takes a multiple of its run time. The planner asks here for
each task that could start now: in the preferred rack, elsewhere, or later. A
task waits while the expected time until a place is free in the rack plus the
run time there is shorter than the run time elsewhere (see rack_choice). The
decision is made anew with each plan.
"""

import collections
import dataclasses
import typing

from kcr_jobs import durations
from kcr_jobs import job_table
from kcr_jobs import placement
from kcr_jobs import rack_choice
from kcr_jobs import rack_forecast
from kcr_jobs import step_choice

# Maximum number of racks that are tried for a step, those with most capacity;
# with 40 racks, trials of all took 0.5 s for a burst of 80 steps.
MAX_TRIALS = 6
# Maximum number of steps that the dump explains.
MAX_EXPLAINED = 50


@dataclasses.dataclass(frozen=True, slots=True)
class StepWait:
    """Describe the wait of a step for a rack."""

    step: str
    rack: str
    # Expected wait of the last of its tasks that wait, in seconds.
    wait_s: float
    # Time that is left until this task stops waiting, in seconds.
    longest_s: float
    # Expected run time there and elsewhere, in seconds.
    local_s: float
    remote_s: float
    # Number of runs from which the run time was learnt, and the age of the
    # newest one in seconds; -1 for none.
    samples: int
    age_s: float
    # Number of its tasks that wait.
    tasks: int


class Locality:
    """Choose between places in a preferred rack, elsewhere and later."""

    def __init__(self, model: durations.Durations, factor: float) -> None:
        self._model = model
        # Run time of a task away from its rack, as a multiple.
        self.factor = factor
        # Number of tasks by effect (waited, left, placed) since the last
        # call of `take_counts`.
        self._counts: collections.Counter[str] = collections.Counter()
        # Steps whose wait was logged.
        self._logged: set[str] = set()
        # Racks that tasks wait for in this plan.
        self._awaited: set[str] = set()
        # Waits of the plan by step, and those that are to be logged.
        self.waits: dict[str, StepWait] = {}
        self.new_waits: list[StepWait] = []
        # Runners that accept starts, and caches of the plan: candidates and
        # forecast by rack, rack by instance, and choice by step, which is
        # none for a step that goes anywhere.
        self._candidates: list[placement.Candidate] = []
        self._racks: dict[str, list[placement.Candidate]] = {}
        self._rack_by_instance: dict[str, str] = {}
        self._forecasts: dict[str, rack_forecast.RackForecast] = {}
        self._choices: dict[str, rack_choice.RackChoice | None] = {}

    def begin_plan(self, candidates: list[placement.Candidate]) -> None:
        """Start a plan, with the runners that accept starts."""
        self._candidates = candidates
        self._racks, self._rack_by_instance = {}, {}
        self._forecasts, self._choices = {}, {}
        self.waits, self.new_waits = {}, []
        awaited, self._awaited = self._awaited, set()
        if awaited:
            for candidate in candidates:
                candidate.awaited = not awaited.isdisjoint(candidate.labels)

    def forget(self, job: job_table.Job) -> None:
        """Discard what is known of the steps of a job."""
        for step in list(self._logged):
            if step.startswith(f'{job.spec.job_id}.'):
                self._logged.discard(step)

    def forget_step(self, name: str) -> None:
        """Discard what is known of a step."""
        self._logged.discard(name)

    def take_counts(self) -> dict[str, int]:
        """Return the numbers of tasks by effect, and reset them."""
        counts, self._counts = dict(self._counts), collections.Counter()
        return counts

    def explain(self) -> dict[str, dict[str, typing.Any]]:
        """Return the waits of the last plan by step, for the dump."""
        return {
            step: dataclasses.asdict(wait)
            for step, wait in list(self.waits.items())[:MAX_EXPLAINED]
        }

    def applies(self, task: job_table.Task) -> bool:
        """Return whether the place of a task decides how long it runs.

        Tickets of advised queues expire during a wait; their tasks don't wait.
        """
        spec = task.spec
        return (
            self.factor > 1.0
            and bool(spec.near_rack or (spec.rack_local and spec.count > 1))
            and not spec.lasts
            and not task.job.spec.queue.ticket_ms
        )

    # Plain tasks and fillers.

    def choose(
        self, task: job_table.Task, best: placement.Candidate, now: float
    ) -> placement.Candidate | None:
        """Return the candidate for a task that fits `best`; none to wait."""
        choice = self._find_choice(task, now)
        if choice is None or choice.rack in best.labels:
            return best
        local = self._choose_in_rack(choice, task, now)
        if local is not None:
            if local.runner.name in task.failed_on:
                return best
            faster = self._is_faster_elsewhere(task, local, best)
            return best if faster else local
        return None if self._waits(choice, [task], now) else best

    def _choose_in_rack(
        self,
        choice: rack_choice.RackChoice,
        task: job_table.Task,
        now: float,
    ) -> placement.Candidate | None:
        candidates = choice.forecast.candidates
        if task.failed_on or task.avoided_instance:
            # It scores unlike the other tasks of its step.
            return placement.choose(task, candidates, now)
        if choice.local is None:
            choice.local = step_choice.StepChoice(task, candidates, now)
        return choice.local.choose(task)

    def _is_faster_elsewhere(
        self,
        task: job_table.Task,
        local: placement.Candidate,
        best: placement.Candidate,
    ) -> bool:
        """Return whether a filler gets a much lower share in its rack."""
        if not task.spec.fills:
            return False
        local_share = local.infer_start_percent(task)
        return local_share * self.factor < best.infer_start_percent(task)

    def _waits(
        self,
        choice: rack_choice.RackChoice,
        members: list[job_table.Task],
        now: float,
    ) -> bool:
        """Return whether a task, or all members of a gang, wait."""
        task = members[0]
        choice.forecast.update(self._model, now)
        policy = rack_choice.POLICIES.get(rack_choice.POLICY_NAME)
        free_at = policy(choice, task, len(members), now)
        if free_at is None:
            return False
        self._awaited.add(choice.rack)
        for member in members:
            member.awaited_rack = choice.rack
            if member.rack_wait is None:
                member.rack_wait = job_table.RackWait(
                    choice.rack, now, choice.find_wait_limit(free_at, now),
                )  # fmt: skip
                self._counts['waited'] += 1
        self._explain(choice, task, free_at - now, len(members), now)
        return True

    def _explain(
        self,
        choice: rack_choice.RackChoice,
        task: job_table.Task,
        wait_s: float,
        tasks: int,
        now: float,
    ) -> None:
        step = task.step_name
        if step in self.waits:
            tasks += self.waits[step].tasks
        assert task.rack_wait is not None
        longest_s = task.rack_wait.until - now
        learnt_at = self._model.updated_at(task)
        wait = self.waits[step] = StepWait(
            step, choice.rack, round(wait_s, 3), round(longest_s, 3),
            round(choice.local_s, 3),
            round(choice.remote_s, 3), self._model.samples(task),
            -1.0 if learnt_at is None else round(now - learnt_at, 3), tasks,
        )  # fmt: skip
        if step not in self._logged:
            self._logged.add(step)
            self.new_waits.append(wait)

    # Gangs.

    def find_racks(
        self, task: job_table.Task
    ) -> list[list[placement.Candidate]]:
        """Return the racks in which a whole gang may fit, the freest first."""
        names = [task.spec.near_rack]
        if not task.spec.near_rack:
            names = self._find_rack_names()
        found = []
        for name in names:
            slots = rack_choice.count_slots(task, self._find_in_rack(name))
            if slots >= task.spec.count:
                found.append((slots, name))
        found.sort(reverse=True)
        return [self._find_in_rack(name) for _, name in found]

    def gang_waits(self, members: list[job_table.Task], now: float) -> bool:
        """Return whether a gang that could start now waits for a rack."""
        choice = self._find_choice(members[0], now)
        return choice is not None and self._waits(choice, members, now)

    # Choice of the rack.

    def _find_choice(
        self, task: job_table.Task, now: float
    ) -> rack_choice.RackChoice | None:
        step = task.step_name
        if step not in self._choices:
            rack = self._find_preferred_rack(task, now)
            self._choices[step] = (
                self._make_choice(task, rack, now) if rack else None
            )
        return self._choices[step]

    def _find_in_rack(self, rack: str) -> list[placement.Candidate]:
        if rack not in self._racks:
            self._racks[rack] = [
                c for c in self._candidates if rack in c.labels
            ]
        return self._racks[rack]

    def _find_rack_names(self) -> list[str]:
        return sorted(set(self._map_instances().values()) - {''})

    def _map_instances(self) -> dict[str, str]:
        """Return the rack of each runner that accepts starts."""
        if not self._rack_by_instance:
            for candidate in self._candidates:
                assert candidate.runner.info is not None
                rack = candidate.runner.info.rack
                self._rack_by_instance[candidate.runner.name] = rack
        return self._rack_by_instance

    def _find_used_racks(self, task: job_table.Task) -> set[str]:
        """Return the known racks in which tasks of a step run."""
        rack_by_instance = self._map_instances()
        return {
            rack_by_instance.get(member.instance, '')
            for member in task.find_gang()
        } - {''}

    def _find_forecast(
        self, rack: str, now: float
    ) -> rack_forecast.RackForecast:
        if rack not in self._forecasts:
            self._forecasts[rack] = rack_forecast.RackForecast(
                self._find_in_rack(rack), self._model, now
            )
        return self._forecasts[rack]

    def _make_choice(
        self, task: job_table.Task, rack: str, now: float
    ) -> rack_choice.RackChoice:
        forecast = self._find_forecast(rack, now)
        local_s = self._model.expected_s(task)
        return rack_choice.RackChoice(
            rack,
            forecast,
            rack_choice.find_usable(task, forecast.candidates),
            local_s,
            local_s * self.factor,
            rack_choice.infer_slack_s(task, self._model, self.factor, now),
            not any(t.instance for t in task.job.tasks.values()),
        )

    def _find_preferred_rack(self, task: job_table.Task, now: float) -> str:
        """Return the rack that a step prefers; empty for none."""
        if task.spec.near_rack:
            return task.spec.near_rack
        used = self._find_used_racks(task)
        if used:
            return used.pop() if len(used) == 1 else ''
        return self._find_earliest_rack(task, now)

    def _find_earliest_rack(self, task: job_table.Task, now: float) -> str:
        """Return the rack in which the rest of a step ends first.

        It is empty if the step ends earlier when it is spread.
        """
        count = sum(not t.done for t in task.find_gang())
        run_s = self._model.expected_s(task)
        slots = {
            rack: rack_choice.count_slots(task, self._find_in_rack(rack))
            for rack in self._find_rack_names()
        }
        # Without room for all, the others run after the first ones.
        waves = -(-count // max(1, sum(slots.values())))
        best, best_end = '', now + waves * self.factor * run_s
        sizes = [count] if task.spec.gang else [1] * count
        freest = sorted(slots, key=lambda name: -slots[name])
        for rack in freest[:MAX_TRIALS]:
            if slots[rack] >= count:
                return rack
            trial = self._find_forecast(rack, now).copy()
            usable = rack_choice.find_usable(task, trial.candidates)
            free_at: float | None = now
            for size in sizes:
                free_at = trial.book(
                    task, usable, size, run_s, best_end - run_s
                )
                if free_at is None:
                    break
            if free_at is not None and free_at + run_s < best_end:
                best, best_end = rack, free_at + run_s
        return best

    # Starts.

    def record_start(
        self,
        task: job_table.Task,
        candidate: placement.Candidate,
        now: float,
    ) -> None:
        """Update a task that starts, and the others of its step."""
        spec = task.spec
        if self.factor <= 1.0 or not (spec.near_rack or spec.rack_local):
            return
        away = bool(spec.near_rack) and spec.near_rack not in candidate.labels
        task.slowdown = self.factor if away else 1.0
        if spec.rack_local and len(self._find_used_racks(task)) > 1:
            self._prolong_step(task, now)
        choice = self._choices.get(task.step_name)
        if choice is not None:
            choice.idle = False
        if task.rack_wait is not None:
            placed = task.rack_wait.rack in candidate.labels
            self._counts['placed' if placed else 'left'] += 1
        task.rack_wait, task.awaited_rack = None, ''

    def _prolong_step(self, task: job_table.Task, now: float) -> None:
        """Slow down the runs of a step that runs in more than one rack."""
        for other in task.find_gang():
            if not other.instance or other.slowdown >= self.factor:
                continue
            if other is not task:
                self._model.advance(other, now)
            other.slowdown = self.factor

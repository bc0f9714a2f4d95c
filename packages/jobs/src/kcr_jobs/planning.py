"""Plan which waiting tasks start on which runners.

The controller calls the planner with its open jobs and the runners that
accept starts. The planner goes through the jobs in the order of `ordering`,
lets `placement` choose a runner for each task that is ready, and returns a
Plan; `advice_planning` keeps the tickets of advised steps.
"""

from collections import abc
import dataclasses

from kcr_jobs import advice_planning
from kcr_jobs import conditions
from kcr_jobs import durations
from kcr_jobs import effects
from kcr_jobs import interference_model
from kcr_jobs import job_table
from kcr_jobs import locality
from kcr_jobs import ordering
from kcr_jobs import placement
from kcr_jobs import runners
from kcr_jobs import step_choice

# Registered order in which waiting jobs get capacity, without shares.
ORDER_NAME = 'deadline'
# Time after which a job with no running task is placed on any runner that it
# fits, in seconds; the users allow 3 s where there is capacity.
STARVATION_TIMEOUT_S = 1.0
# Time between log events of why a step waits, in seconds.
WAIT_LOG_INTERVAL_S = 5.0
# Maximum number of such events of one plan; each looks at every runner.
MAX_WAITS_PER_PLAN = 8


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingStep:
    """Describe why a step waits."""

    # Name of the step: job id, occurrence and step, joined by dots.
    step: str
    # Number of runners by the reason of their rejection.
    reasons: dict[str, int]
    # Number of steps that get a request to the adviser before it.
    steps_ahead: int = 0


@dataclasses.dataclass(slots=True)
class Plan:
    """Store the starts and requests that the planner has chosen."""

    # Tasks to start; instance and incarnation are set in them.
    starts: list[job_table.Task] = dataclasses.field(default_factory=list)
    # Requests for tickets.
    requests: list[effects.RequestAdvice] = dataclasses.field(
        default_factory=list
    )
    # Steps for which no runner has capacity.
    waits: list[WaitingStep] = dataclasses.field(default_factory=list)
    # First task of each step without a runner, in the order of the jobs.
    unplaced: list[job_table.Task] = dataclasses.field(default_factory=list)


class Planner:
    """Choose the tasks to start."""

    def __init__(
        self,
        interference: interference_model.InterferenceModel,
        model: durations.Durations,
        remote_factor: float,
        order_name: str = ORDER_NAME,
    ) -> None:
        self._order = ordering.ORDERS.get(order_name)
        # Estimates of what fillers add to the latency of serving tasks.
        self._interference = interference
        # Tickets of advised steps, and the requests for them.
        self.advice = advice_planning.AdvicePlanner()
        # Decides whether tasks wait for a place in a rack.
        self.locality = locality.Locality(model, remote_factor)
        # Time of the last log event of why a step waits, by its name.
        self._logged_at: dict[str, float] = {}

    def forget(self, job: job_table.Job) -> None:
        """Discard the tickets of a job and the times of its log events."""
        self.advice.forget(job)
        self.locality.forget(job)
        for step in list(self._logged_at):
            if step.startswith(f'{job.spec.job_id}.'):
                self._logged_at.pop(step)

    def forget_occurrence(self, job: job_table.Job, number: int) -> None:
        """Discard what is known of the steps of an occurrence."""
        for step in range(len(job.spec.steps)):
            name = f'{job.spec.job_id}.{number}.{step}'
            self.advice.forget_step(name)
            self.locality.forget_step(name)
            self._logged_at.pop(name, None)

    def plan(
        self,
        jobs: abc.Iterable[job_table.Job],
        schedulable: list[runners.RunnerState],
        now: float,
        limits: conditions.Conditions = conditions.Conditions(),
    ) -> Plan:
        """Choose starts job by job while runners have capacity."""
        suspects = runners.find_suspects(schedulable, now)
        candidates = [
            placement.make_candidate(
                r, now, r in suspects, self._interference, limits
            )
            for r in schedulable
        ]
        plan = Plan()
        rejected = step_choice.RejectedDemands(limits.region_rules)
        self.advice.begin_plan()
        self.locality.begin_plan(candidates)
        for job in sorted(jobs, key=lambda j: self._order(j, now)):
            self._plan_job(job, candidates, now, plan, rejected)
        plan.requests = self.advice.finish_plan(now)
        return plan

    def _plan_job(
        self,
        job: job_table.Job,
        candidates: list[placement.Candidate],
        now: float,
        plan: Plan,
        rejected: step_choice.RejectedDemands,
    ) -> None:
        # Steps that can't start, by whether a task is at its last attempt.
        blocked: set[tuple[int, int, bool]] = set()
        choices = step_choice.JobChoices(job, candidates)
        gangs: dict[tuple[int, int], list[job_table.Task]] = {}
        # Whether the job is starved; none before it matters, as it takes a
        # look at all tasks.
        starved: bool | None = None
        for task in job.tasks.values():
            key = (task.occurrence, task.step)
            if task.done or task.instance:
                continue
            kind = (*key, placement.is_last_attempt(task))
            if kind in blocked:
                continue
            if not job.is_ready(*key):
                blocked |= {(*key, False), (*key, True)}
                continue
            if task.spec.gang:
                gangs.setdefault(key, []).append(task)
                continue
            task.awaited_rack = ''
            steps_ahead = self.advice.steps_ahead
            allowed = candidates
            if job.spec.queue.ticket_ms:
                allowed = self.advice.find_allowed(task, candidates, now)
            candidate = _choose(task, allowed, choices, rejected, now)
            if candidate is not None and self.locality.applies(task):
                candidate = self.locality.choose(task, candidate, now)
                if candidate is None:
                    # Another task of the step may be placed elsewhere.
                    self._log_waiting(task, candidates, now, plan, steps_ahead)
                    continue
            if candidate is None and starved is None:
                starved = _is_starved(job, now)
            if candidate is None and starved:
                candidate = placement.choose_least_disturbed(task, allowed)
                choices.clear()
            if candidate is None:
                # All tasks of a step have the same demand.
                blocked.add(kind)
                plan.unplaced.append(task)
                self._log_waiting(task, candidates, now, plan, steps_ahead)
                continue
            _assign(task, candidate, plan)
            starved, job.starved_since = False, None
            self.locality.record_start(task, candidate, now)
        for members in gangs.values():
            self._plan_gang(members, candidates, now, plan)

    def _log_waiting(
        self,
        task: job_table.Task,
        candidates: list[placement.Candidate],
        now: float,
        plan: Plan,
        steps_ahead: int,
    ) -> None:
        step = task.step_name
        if len(plan.waits) >= MAX_WAITS_PER_PLAN:
            return
        if (
            now - self._logged_at.get(step, -WAIT_LOG_INTERVAL_S)
            < WAIT_LOG_INTERVAL_S
        ):
            return
        self._logged_at[step] = now
        if task.job.spec.queue.ticket_ms:
            reasons = self.advice.count_rejections(task, candidates, now)
        else:
            reasons = placement.count_rejections(task, candidates)
        plan.waits.append(WaitingStep(step, reasons, steps_ahead))

    def _plan_gang(
        self,
        members: list[job_table.Task],
        candidates: list[placement.Candidate],
        now: float,
        plan: Plan,
    ) -> None:
        """Plan the start of all members of a gang, or of none."""
        first = members[0]
        if len(members) < first.spec.count:
            return
        for task in members:
            task.awaited_rack = ''
        advised = bool(first.job.spec.queue.ticket_ms)
        steps_ahead = self.advice.steps_ahead
        allowed = candidates
        if advised:
            allowed = self.advice.find_allowed_for_gang(first, candidates, now)
        chosen = self._choose_rack_for_gang(members, now, plan)
        if chosen is None:
            chosen = self._choose_for_gang(members, allowed, now, plan)
            if chosen is not None and self.locality.applies(first):
                if self.locality.gang_waits(members, now):
                    chosen = None
        if chosen is None:
            if advised and self.advice.may_request(first, now):
                self._request_for_gang(members, allowed, candidates, now, plan)
            self._log_waiting(first, candidates, now, plan, steps_ahead)
            return
        attempt = max(task.attempt for task in members)
        saved = max(task.checkpoint for task in members)
        for task, candidate in zip(members, chosen):
            task.attempt, task.checkpoint = attempt, saved
            _assign(task, candidate, plan)
        for task, candidate in zip(members, chosen):
            self.locality.record_start(task, candidate, now)

    def _choose_rack_for_gang(
        self,
        members: list[job_table.Task],
        now: float,
        plan: Plan,
    ) -> list[placement.Candidate] | None:
        """Return a candidate for each member in one rack; none without."""
        if not self.locality.applies(members[0]):
            return None
        for rack in self.locality.find_racks(members[0]):
            chosen = self._choose_for_gang(members, rack, now, plan)
            if chosen is not None:
                return chosen
        return None

    def _choose_for_gang(
        self,
        members: list[job_table.Task],
        candidates: list[placement.Candidate],
        now: float,
        plan: Plan,
    ) -> list[placement.Candidate] | None:
        """Return a candidate for each member; none if some find no room."""
        copies = [
            placement.make_candidate(
                candidate.runner,
                now,
                candidate.suspect,
                self._interference,
                candidate.limits,
            )
            for candidate in candidates
        ]
        for task in plan.starts:
            for candidate in copies:
                if candidate.runner.name == task.instance:
                    candidate.reserve(task)
        chosen = []
        for task in members:
            found = placement.choose(task, copies, now)
            if found is None:
                return None
            found.reserve(task)
            chosen.append(found.runner.name)
        by_instance = {
            candidate.runner.name: candidate for candidate in candidates
        }
        return [by_instance[name] for name in chosen]

    def _request_for_gang(
        self,
        members: list[job_table.Task],
        allowed: list[placement.Candidate],
        candidates: list[placement.Candidate],
        now: float,
        plan: Plan,
    ) -> None:
        """Request the tickets that a gang lacks, if it would find room."""
        unknown = self.advice.find_unknown(members[0], candidates, now)
        chosen = self._choose_for_gang(members, allowed + unknown, now, plan)
        if chosen is not None:
            # Those that the gang would use go first.
            unknown.sort(key=lambda c: c not in chosen)
            self.advice.request(members[0], unknown, now)


def _choose(
    task: job_table.Task,
    allowed: list[placement.Candidate],
    choices: step_choice.JobChoices,
    rejected: step_choice.RejectedDemands,
    now: float,
) -> placement.Candidate | None:
    """Return the best runner for a task, at little cost if it may be."""
    if task.job.spec.queue.ticket_ms:
        return placement.choose(task, allowed, now)
    if task.failures or task.failed_on or task.avoided_instance:
        choices.clear()
        return placement.choose(task, allowed, now)
    if rejected.covers(task):
        return None
    candidate = choices.choose(task, now)
    if candidate is None and not choices.kept_warm:
        rejected.add(task)
    return candidate


def _is_starved(job: job_table.Job, now: float) -> bool:
    """Return whether a job has waited too long with no task running."""
    if any(task.instance for task in job.tasks.values()):
        job.starved_since = None
        return False
    if job.starved_since is None:
        job.starved_since = now
    return now - job.starved_since >= STARVATION_TIMEOUT_S


def _assign(
    task: job_table.Task, candidate: placement.Candidate, plan: Plan
) -> None:
    assert candidate.runner.info is not None
    task.throttle_percent = (
        candidate.infer_start_percent(task) if task.spec.fills else 100
    )
    candidate.reserve(task)
    task.instance, task.incarnation = (
        candidate.runner.name,
        candidate.runner.info.incarnation,
    )
    plan.starts.append(task)

"""Plan which waiting tasks start on which runners.

The controller calls the planner with its open jobs and the runners that
accept starts. The planner goes through the jobs in the order of `ordering`,
lets `placement` choose a runner for each task that is ready, and returns a
Plan; it keeps the tickets of advised steps between calls.
"""

from collections import abc
import dataclasses
import math

from kcr_jobs import advice_window
from kcr_jobs import effects
from kcr_jobs import interference_model
from kcr_jobs import job_table
from kcr_jobs import ordering
from kcr_jobs import placement
from kcr_jobs import runners
from kcr_jobs import step_choice
from kcr_jobs import tickets

# Registered order in which waiting jobs get capacity.
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
    # Number of steps so far that wait for their turn at the adviser.
    steps_ahead: int = 0
    # Tasks of steps whose runners the adviser has all refused before, with
    # the runners of which to ask again.
    repeats: list[tuple[job_table.Task, list[placement.Candidate]]] = (
        dataclasses.field(default_factory=list)
    )


class Planner:
    """Choose the tasks to start; store the tickets of advised steps."""

    def __init__(
        self, interference: interference_model.InterferenceModel
    ) -> None:
        # Estimates of what fillers add to the latency of serving tasks.
        self._interference = interference
        # Tickets by name of the step.
        self._tickets: dict[str, tickets.StepTickets] = {}
        # Bounds the requests to the adviser.
        self.window = advice_window.AdviceWindow()
        # Number of steps that waited for their turn in the last plan.
        self.steps_waiting = 0
        # Time of the last log event of why a step waits, by its name.
        self._logged_at: dict[str, float] = {}

    def find_tickets(self, step: str) -> tickets.StepTickets:
        """Return the tickets of a step."""
        return self._tickets.setdefault(step, tickets.StepTickets())

    def find_ticket(self, task: job_table.Task, now: float) -> str:
        """Return the ticket that a start carries; empty for none."""
        ticket = self._find_ticket(task)
        return ticket.text if ticket and now < ticket.used_until else ''

    def _find_ticket(self, task: job_table.Task) -> tickets.Ticket | None:
        step_tickets = self._tickets.get(_step_name(task))
        if step_tickets is None:
            return None
        return step_tickets.granted.get(task.incarnation)

    def has_expired(self, task: job_table.Task, now: float) -> bool:
        """Return whether the ticket of a start may have expired.

        The members of a gang run together, so one expired ticket is enough.
        """
        if not task.job.spec.queue.ticket_ms:
            return False
        members = [task]
        if task.spec.gang:
            members = task.find_gang()
        found = [self._find_ticket(member) for member in members]
        return any(t is not None and now >= t.expires_at for t in found)

    def reject_ticket(self, task: job_table.Task, now: float) -> bool:
        """Stop to use the ticket of a failed start; return if it was valid.

        A start that needs no ticket counts as one with a valid ticket.
        """
        step_tickets = self._tickets.get(_step_name(task))
        return step_tickets is None or step_tickets.reject(
            task.incarnation, now
        )

    def record_advice(
        self,
        request: effects.RequestAdvice,
        reply: tickets.Reply,
        valid_s: float,
        now: float,
    ) -> float:
        """Store the tickets of a reply; return how long they can be used."""
        step_tickets = self._tickets.get(request.step)
        if reply.granted is None:
            self.window.record_failure(request.number, reply.overloaded, now)
            if step_tickets is not None:
                step_tickets.record_failure(now)
            return 0.0
        granted_at = self.window.record_reply(request.number, now)
        left_s = granted_at + valid_s * tickets.USABLE_SHARE - now
        if left_s < tickets.LATE_USE_S:
            self.window.record_late_reply()
        # The job may have ended meanwhile.
        if step_tickets is not None:
            step_tickets.record_reply(
                request.runners, reply.granted, granted_at, valid_s, now
            )
        return left_s

    def forget(self, job: job_table.Job) -> None:
        """Discard the tickets of a job and the times of its log events."""
        for by_step in (self._tickets, self._logged_at):
            for step in list(by_step):
                if step.startswith(f'{job.spec.job_id}.'):
                    by_step.pop(step)

    def plan(
        self,
        jobs: abc.Iterable[job_table.Job],
        schedulable: list[runners.RunnerState],
        now: float,
    ) -> Plan:
        """Choose starts job by job while runners have capacity."""
        suspects = runners.find_suspects(schedulable)
        candidates = [
            placement.make_candidate(r, now, r in suspects, self._interference)
            for r in schedulable
        ]
        order = ordering.ORDERS.get(ORDER_NAME)
        plan = Plan()
        rejected = step_choice.RejectedDemands()
        for job in sorted(jobs, key=lambda j: order(j, now)):
            self._plan_job(job, candidates, now, plan, rejected)
        for task, refused in plan.repeats:
            step_tickets = self.find_tickets(_step_name(task))
            if step_tickets.may_request(now) and self.window.may_send(now):
                self._send_request(task, refused, now, plan)
        self.steps_waiting = plan.steps_ahead
        return plan

    def _plan_job(
        self,
        job: job_table.Job,
        candidates: list[placement.Candidate],
        now: float,
        plan: Plan,
        rejected: step_choice.RejectedDemands,
    ) -> None:
        blocked: set[tuple[int, int]] = set()
        choices: dict[tuple[int, int], step_choice.StepChoice] = {}
        gangs: dict[tuple[int, int], list[job_table.Task]] = {}
        for task in job.tasks.values():
            key = (task.occurrence, task.step)
            if task.done or task.instance or key in blocked:
                continue
            if not job.is_ready(*key):
                blocked.add(key)
                continue
            if task.spec.gang:
                gangs.setdefault(key, []).append(task)
                continue
            allowed = candidates
            candidate: placement.Candidate | None = None
            steps_ahead = plan.steps_ahead
            if job.spec.queue.ticket_ms:
                allowed = self._find_allowed_candidates(
                    task, candidates, now, plan
                )
                candidate = placement.choose(task, allowed, now)
            elif task.failed_on or task.avoided_instance:
                candidate = placement.choose(task, allowed, now)
                choices.clear()
            elif not rejected.covers(task):
                if key not in choices:
                    choices[key] = step_choice.StepChoice(task, allowed, now)
                candidate = choices[key].choose(task)
                if candidate is None:
                    rejected.add(task)
            if candidate is None and _is_starved(job, now):
                candidate = placement.choose_least_disturbed(task, allowed)
                choices.clear()
            if candidate is None:
                # All tasks of a step have the same demand.
                blocked.add(key)
                self._log_waiting(task, candidates, now, plan, steps_ahead)
                continue
            _assign(task, candidate, plan)
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
        step = _step_name(task)
        if len(plan.waits) >= MAX_WAITS_PER_PLAN:
            return
        if (
            now - self._logged_at.get(step, -WAIT_LOG_INTERVAL_S)
            < WAIT_LOG_INTERVAL_S
        ):
            return
        self._logged_at[step] = now
        allowed, unknown, refused = candidates, 0, 0
        if task.job.spec.queue.ticket_ms:
            allowed, unknown, refused = self._split_by_ticket(
                task, candidates, now
            )
        reasons = placement.count_rejections(task, allowed)
        if unknown:
            reasons['no ticket yet'] = unknown
        if refused:
            reasons['ticket refused'] = refused
        plan.waits.append(WaitingStep(step, reasons, steps_ahead))

    def _split_by_ticket(
        self,
        task: job_table.Task,
        candidates: list[placement.Candidate],
        now: float,
    ) -> tuple[list[placement.Candidate], int, int]:
        """Return who has a ticket or does not fit, and count the others.

        They are counted as without a reply of the adviser, and as refused.
        """
        step_tickets = self.find_tickets(_step_name(task))
        allowed = []
        unknown = refused = 0
        for candidate in candidates:
            info = candidate.runner.info
            assert info is not None
            if step_tickets.find(info.incarnation, now) or not placement.fits(
                task, candidate
            ):
                allowed.append(candidate)
            elif step_tickets.is_refused(info.incarnation, now):
                refused += 1
            else:
                unknown += 1
        return allowed, unknown, refused

    def _find_allowed_candidates(
        self,
        task: job_table.Task,
        candidates: list[placement.Candidate],
        now: float,
        plan: Plan,
    ) -> list[placement.Candidate]:
        """Return the candidates with a ticket; request more if none fits."""
        step_tickets = self.find_tickets(_step_name(task))
        if not step_tickets.has_any(now) and not self._may_request(
            step_tickets, now, plan
        ):
            return []
        allowed = [
            candidate
            for candidate in candidates
            if step_tickets.find(_incarnation(candidate), now)
        ]
        if not any(
            placement.fits(task, c) for c in allowed
        ) and self._may_request(step_tickets, now, plan):
            unknown = _find_unknown(task, candidates, step_tickets, now)
            self._request_tickets(task, unknown, now, plan)
        return allowed

    def _may_request(
        self, step_tickets: tickets.StepTickets, now: float, plan: Plan
    ) -> bool:
        """Return whether it is the turn of a step at the adviser."""
        if not step_tickets.may_request(now):
            return False
        if self.window.may_send(now):
            return True
        plan.steps_ahead += 1
        return False

    def _request_tickets(
        self,
        task: job_table.Task,
        unknown: list[placement.Candidate],
        now: float,
        plan: Plan,
    ) -> None:
        """Request tickets of runners, of those that were refused last."""
        step_tickets = self.find_tickets(_step_name(task))
        new = [
            candidate
            for candidate in unknown
            if _incarnation(candidate) not in step_tickets.refused
        ]
        if new:
            self._send_request(task, new, now, plan)
        elif unknown:
            plan.repeats.append((task, unknown))

    def _send_request(
        self,
        task: job_table.Task,
        unknown: list[placement.Candidate],
        now: float,
        plan: Plan,
    ) -> None:
        """Request tickets of the first runners in a list."""
        step = _step_name(task)
        queue = task.job.spec.queue
        chosen = unknown[: tickets.infer_max_runners(queue)]
        number = self.window.send(
            tickets.infer_handling_s(queue, len(chosen)), now
        )
        self.find_tickets(step).in_flight = True
        plan.requests.append(
            effects.RequestAdvice(
                step,
                tuple(
                    (c.runner.info.runner_id, c.runner.info.incarnation)
                    for c in chosen
                    if c.runner.info is not None
                ),
                number,
                self.window.infer_timeout(),
            )
        )

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
        allowed = candidates
        step_tickets = self.find_tickets(_step_name(first))
        if first.job.spec.queue.ticket_ms:
            if not step_tickets.has_any(now) and not self._may_request(
                step_tickets, now, plan
            ):
                return
            # A member whose start is rejected breaks the gang.
            allowed = [
                candidate
                for candidate in candidates
                if step_tickets.find(_incarnation(candidate), now, late=False)
            ]
        chosen = self._choose_for_gang(members, allowed, now, plan)
        if chosen is None:
            if allowed is not candidates and self._may_request(
                step_tickets, now, plan
            ):
                self._request_gang_tickets(
                    members, allowed, candidates, now, plan
                )
            return
        attempt = max(task.attempt for task in members)
        saved = max(task.checkpoint for task in members)
        for task, candidate in zip(members, chosen):
            task.attempt, task.checkpoint = attempt, saved
            _assign(task, candidate, plan)

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
                candidate.starts_left <= 1,
                self._interference,
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

    def _request_gang_tickets(
        self,
        members: list[job_table.Task],
        allowed: list[placement.Candidate],
        candidates: list[placement.Candidate],
        now: float,
        plan: Plan,
    ) -> None:
        """Request the tickets that a gang lacks, if it would find room."""
        first = members[0]
        step_tickets = self.find_tickets(_step_name(first))
        unknown = _find_unknown(first, candidates, step_tickets, now)
        chosen = self._choose_for_gang(members, allowed + unknown, now, plan)
        if chosen is None:
            return
        # Those that the gang would use go first.
        unknown.sort(key=lambda c: c not in chosen)
        self._request_tickets(first, unknown, now, plan)


def _incarnation(candidate: placement.Candidate) -> str:
    assert candidate.runner.info is not None
    return candidate.runner.info.incarnation


def _find_unknown(
    task: job_table.Task,
    candidates: list[placement.Candidate],
    step_tickets: tickets.StepTickets,
    now: float,
) -> list[placement.Candidate]:
    """Return the fitting candidates without a reply, best first."""
    score = placement.SCORES.get(placement.find_score_name(task.spec))
    rated = []
    for candidate in candidates:
        incarnation = _incarnation(candidate)
        # A gang can't use a ticket that may have expired.
        if step_tickets.find(
            incarnation, now, late=not task.spec.gang
        ) or step_tickets.is_refused(incarnation, now):
            continue
        if placement.fits(task, candidate):
            value = score(task, candidate, now)
            rated.append((math.inf if value is None else value, candidate))
    rated.sort(key=lambda item: item[0])
    return [candidate for _, candidate in rated]


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


def _step_name(task: job_table.Task) -> str:
    return task.name.rpartition('.')[0]

"""Decide which tickets to request and which starts they allow.

Tasks of an advised queue may start only on runners for which the adviser has
granted a ticket. While the planner makes a plan it asks here, in the order of
the jobs, which candidates a step may use; a step without a candidate gets a
request if the window has room for it, and waits for its turn otherwise.
"""

import math

from kcr_jobs import advice_window
from kcr_jobs import effects
from kcr_jobs import job_table
from kcr_jobs import placement
from kcr_jobs import tickets


class AdvicePlanner:
    """Store the tickets of all steps; choose the requests of each plan."""

    def __init__(self) -> None:
        # Bounds the requests to the adviser.
        self.window = advice_window.AdviceWindow()
        # Number of steps so far that wait for their turn in the plan.
        self.steps_ahead = 0
        # Tickets by name of the step.
        self._tickets: dict[str, tickets.StepTickets] = {}
        # Requests of the plan.
        self._requests: list[effects.RequestAdvice] = []
        # Tasks of steps whose fitting runners the adviser has all refused
        # before, with the runners to name again.
        self._repeats: list[
            tuple[job_table.Task, list[placement.Candidate]]
        ] = []

    def begin_plan(self) -> None:
        """Start to collect the requests of a plan."""
        self.steps_ahead = 0
        self._requests, self._repeats = [], []

    def finish_plan(self, now: float) -> list[effects.RequestAdvice]:
        """Return the requests of the plan, those for refused runners last."""
        for task, refused in self._repeats:
            step_tickets = self._find_tickets(task)
            if step_tickets.may_request(now) and self.window.may_send(now):
                self._send(task, refused, now)
        return self._requests

    def forget(self, job: job_table.Job) -> None:
        """Discard the tickets of a job."""
        for step in list(self._tickets):
            if step.startswith(f'{job.spec.job_id}.'):
                self._tickets.pop(step)

    def forget_step(self, name: str) -> None:
        """Discard the tickets of a step."""
        self._tickets.pop(name, None)

    # Tickets.

    def _find_tickets(self, task: job_table.Task) -> tickets.StepTickets:
        return self._tickets.setdefault(task.step_name, tickets.StepTickets())

    def find_ticket(self, task: job_table.Task, now: float) -> str:
        """Return the ticket that a start carries; empty for none."""
        step_tickets = self._tickets.get(task.step_name)
        if step_tickets is None:
            return ''
        ticket = step_tickets.find(task.incarnation, now)
        return ticket.text if ticket else ''

    def has_expired(self, task: job_table.Task, now: float) -> bool:
        """Return whether the ticket of a start may have expired.

        The members of a gang run together, so one expired ticket is enough.
        """
        step_tickets = self._tickets.get(task.step_name)
        if step_tickets is None:
            return False
        members = task.find_gang() if task.spec.gang else [task]
        found = [step_tickets.granted.get(m.incarnation) for m in members]
        return any(t is not None and now >= t.expires_at for t in found)

    def reject_ticket(self, task: job_table.Task, now: float) -> bool:
        """Stop using the ticket of a failed start; return if it was valid.

        A start that needs no ticket counts as one with a valid ticket.
        """
        step_tickets = self._tickets.get(task.step_name)
        return step_tickets is None or step_tickets.reject(
            task.incarnation, now
        )

    def record_reply(
        self,
        request: effects.RequestAdvice,
        reply: tickets.Reply,
        valid_s: float,
        now: float,
    ) -> float:
        """Store the tickets of a reply; return how long they can be used."""
        # The job may have ended meanwhile.
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
        if step_tickets is not None:
            step_tickets.record_reply(
                request.runners, reply.granted, granted_at, valid_s, now
            )
        return left_s

    # Candidates and requests of a plan.

    def find_allowed(
        self,
        task: job_table.Task,
        candidates: list[placement.Candidate],
        now: float,
    ) -> list[placement.Candidate]:
        """Return the candidates with a ticket; request more if none fits."""
        step_tickets = self._find_tickets(task)
        if not step_tickets.has_any(now) and not self.may_request(task, now):
            return []
        allowed = [
            candidate
            for candidate in candidates
            if step_tickets.find(candidate.incarnation, now)
        ]
        if not any(
            placement.fits(task, c) for c in allowed
        ) and self.may_request(task, now):
            self.request(task, self.find_unknown(task, candidates, now), now)
        return allowed

    def find_allowed_for_gang(
        self,
        task: job_table.Task,
        candidates: list[placement.Candidate],
        now: float,
    ) -> list[placement.Candidate]:
        """Return the candidates whose tickets are valid for sure.

        A member of a gang whose start is rejected ends the others.
        """
        step_tickets = self._find_tickets(task)
        if not step_tickets.has_any(now):
            return []
        return [
            candidate
            for candidate in candidates
            if step_tickets.find(candidate.incarnation, now, late=False)
        ]

    def may_request(self, task: job_table.Task, now: float) -> bool:
        """Return whether it is the turn of a step at the adviser."""
        if not self._find_tickets(task).may_request(now):
            return False
        if self.window.may_send(now):
            return True
        self.steps_ahead += 1
        return False

    def find_unknown(
        self,
        task: job_table.Task,
        candidates: list[placement.Candidate],
        now: float,
    ) -> list[placement.Candidate]:
        """Return the fitting candidates without a reply, best first."""
        step_tickets = self._find_tickets(task)
        score = placement.SCORES.get(placement.find_score_name(task.spec))
        # A gang can't use a ticket that may have expired.
        late = not task.spec.gang
        rated = []
        for candidate in candidates:
            incarnation = candidate.incarnation
            if (
                not step_tickets.find(incarnation, now, late)
                and not step_tickets.is_refused(incarnation, now)
                and placement.fits(task, candidate)
            ):
                value = score(task, candidate, now)
                rated.append((math.inf if value is None else value, candidate))
        rated.sort(key=lambda item: item[0])
        return [candidate for _, candidate in rated]

    def request(
        self,
        task: job_table.Task,
        unknown: list[placement.Candidate],
        now: float,
    ) -> None:
        """Request tickets of runners, of those that were refused last."""
        refused = self._find_tickets(task).refused
        new = [c for c in unknown if c.incarnation not in refused]
        if new:
            self._send(task, new, now)
        elif unknown:
            self._repeats.append((task, unknown))

    def _send(
        self,
        task: job_table.Task,
        unknown: list[placement.Candidate],
        now: float,
    ) -> None:
        queue = task.job.spec.queue
        named = unknown[: tickets.infer_max_runners(queue)]
        number = self.window.send(
            tickets.infer_handling_s(queue, len(named)), now
        )
        self._find_tickets(task).in_flight = True
        self._requests.append(
            effects.RequestAdvice(
                task.step_name,
                tuple((c.runner_id, c.incarnation) for c in named),
                number,
                self.window.infer_timeout(),
            )
        )

    def count_rejections(
        self,
        task: job_table.Task,
        candidates: list[placement.Candidate],
        now: float,
    ) -> dict[str, int]:
        """Return the number of candidates by the reason of their rejection."""
        step_tickets = self._find_tickets(task)
        allowed = []
        waiting = refused = 0
        for candidate in candidates:
            incarnation = candidate.incarnation
            if step_tickets.find(incarnation, now) or not placement.fits(
                task, candidate
            ):
                allowed.append(candidate)
            elif step_tickets.is_refused(incarnation, now):
                refused += 1
            else:
                waiting += 1
        found = placement.count_rejections(task, allowed)
        if waiting:
            found['no ticket yet'] = waiting
        if refused:
            found['ticket refused'] = refused
        return found

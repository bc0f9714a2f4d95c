"""Model an entry and its connections for the state machine of requests."""

import dataclasses
import random
import typing

from kcr_core import claimant
from kcr_core import claims
from kcr_core import dispatch
from kcr_core import membership
from kcr_core import message_base
from kcr_core import messages
from kcr_core import outcomes
from kcr_core import request_state
from kcr_core import retry_budget
from kcr_entry.work import request_claims

if typing.TYPE_CHECKING:
    from request_model import Endpoint
    from request_model import Harness

SERVICE = 's'


@dataclasses.dataclass
class Link:
    """Store one connection; each side detects its end separately."""

    name: str
    entry: 'Entry'
    endpoint: 'Endpoint'
    entry_open: bool = True
    endpoint_open: bool = True


@dataclasses.dataclass
class Submission:
    """Store one submission of a caller and its answer."""

    key: str
    resubmitted: bool
    answer: typing.Any = None
    # Whether the entry was killed before it answered.
    dropped: bool = False


@dataclasses.dataclass
class Active:
    """Store one request at an entry."""

    state: request_state.RequestState
    submissions: list[Submission]
    query: str = ''
    # Whether a claim was requested and is not decided.
    claim_pending: bool = False
    links: dict[str, Link] = dataclasses.field(default_factory=dict)


class Entry:
    """Model one entry incarnation with the real decisions."""

    def __init__(self, harness: 'Harness', name: str) -> None:
        self.harness = harness
        self.name = name
        self.view = membership.FleetView(1.0)
        self.dispatcher = dispatch.RequestDispatcher(
            self.view, random.Random(1)
        )
        self.budget = retry_budget.RetryBudget(harness.settings.retry_budget)
        self.claimant = claimant.Claimant(name, name, claims.Table(limit=50))
        self.position = 0
        self.in_flight: list[claimant.Write] = []
        self.active: dict[str, Active] = {}
        self.ended_outcomes: dict[str, outcomes.Outcome] = {}
        # Connections on which `Leaving` was received.
        self.leaving_links: set[str] = set()
        self.name_count = 0

    def submit(self, submission: Submission, budget_s: float) -> None:
        """Handle a submission as the entry's task of requests does."""
        key = submission.key
        active = self.active.get(key)
        if active is not None:
            active.submissions.append(submission)
            return
        if key in self.ended_outcomes:
            submission.answer = self.ended_outcomes[key]
            return
        idempotent = self.harness.idempotent(key)
        state = request_state.RequestState(
            key, idempotent, self.harness.now + budget_s, 3
        )
        active = self.active[key] = Active(state, [submission])
        self.budget.deposit()
        if idempotent:
            self.attempt(key, frozenset())
            return
        self.name_count += 1
        active.query = f'{self.name}?{self.name_count}'
        active.claim_pending = True
        self.perform(
            self.claimant.begin(
                active.query,
                key,
                'd',
                self.harness.issued[key],
                self.harness.now_ms(),
            )
        )

    def attempt(
        self, key: str, avoid: frozenset[str], hedge: bool = False
    ) -> None:
        """Begin an attempt and submit it to the dispatcher."""
        active = self.active[key]
        self.name_count += 1
        attempt = f'{self.name}:{self.name_count}'
        active.state.begin(attempt)
        self.harness.attempts[key].add(attempt)
        pending = dispatch.PendingAttempt(
            attempt,
            SERVICE,
            active.state.deadline,
            avoid,
            hedge,
            active.state.idempotent,
        )
        settings, now = self.harness.settings, self.harness.now
        decision = self.dispatcher.submit(pending, settings, now)
        self.apply_decision(key, decision)

    def apply_decision(self, key: str, decision: dispatch.Decision) -> None:
        """Send an attempt or record its refusal."""
        if isinstance(decision, dispatch.Queued):
            return
        state = self.active[key].state
        if isinstance(decision, dispatch.Rejected):
            self.apply(key, state.not_sent(decision.attempt, decision.reason))
            return
        endpoint = self.view.endpoints[decision.instance]
        [link] = [
            link
            for link in self.harness.links
            if link.name == endpoint.session
        ]
        assert state.outcome is None, 'attempt after the outcome'
        assert link.name not in self.leaving_links, (
            'attempt was sent to a leaving endpoint'
        )
        state.placed(decision.attempt, decision.instance)
        self.active[key].links[decision.attempt] = link
        msg = messages.Execute(
            decision.attempt,
            key,
            SERVICE,
            max(0, int((state.deadline - self.harness.now) * 1000)),
            state.idempotent,
            key.encode(),
        )
        self.harness.send(link, False, msg)

    def advance(self) -> None:
        """Dispatch the attempts that wait for a grant."""
        settings, now = self.harness.settings, self.harness.now
        for pending, decision in self.dispatcher.advance(settings, now):
            for key, active in list(self.active.items()):
                if pending.attempt in active.state.attempts:
                    self.apply_decision(key, decision)

    def receive(self, link: Link, msg: message_base.Message) -> None:
        """Handle a message from a sidecar."""
        endpoint = self.view.find(link.name, link.endpoint.name)
        if isinstance(msg, messages.Leaving):
            self.leaving_links.add(link.name)
            if endpoint is not None:
                endpoint.leaving = True
        elif isinstance(msg, messages.Heartbeat):
            if endpoint is not None:
                endpoint.heartbeat, endpoint.last_message_at = (
                    msg,
                    self.harness.now,
                )
        else:
            self.receive_answer(msg)
        self.advance()

    def receive_answer(self, msg: typing.Any) -> None:
        """Pass an answer to every request; each accepts only its own."""
        now = self.harness.now
        for key, active in list(self.active.items()):
            state = active.state
            own = self.release(active, msg.attempt, dispatch.infer_result(msg))
            if isinstance(msg, messages.Executed):
                self.apply(key, state.executed(msg.attempt, 200, msg.body))
            elif own and isinstance(msg, messages.Refused):
                self.apply(key, state.refused(msg.attempt, 'refused', now))
            elif own:
                self.apply(key, state.lost(msg.attempt, 'failed', now))

    def release(
        self, active: Active, attempt: str, result: dispatch.Result
    ) -> bool:
        """Record the end of a sent attempt; return False for others."""
        if active.links.pop(attempt, None) is None:
            return False
        instance = active.state.instances[attempt]
        now = self.harness.now
        self.dispatcher.attempt_ended(
            instance, active.state.key, result, 0.01, now
        )
        return True

    def closed(self, link: Link) -> None:
        """Handle the end of a connection."""
        self.view.session_closed(link.name)
        now = self.harness.now
        for key, active in list(self.active.items()):
            for attempt, used in list(active.links.items()):
                if used is link:
                    self.release(active, attempt, 'none')
                    self.apply(key, active.state.lost(attempt, 'broken', now))
        self.advance()

    def apply(self, key: str, step: request_state.Step) -> None:
        """Carry out the step that a request state returned."""
        if isinstance(step, request_state.Wait):
            return
        if not isinstance(step, request_state.Retry):
            self.finish(key, step)
        elif self.budget.spend():
            self.attempt(key, step.avoid)
        else:
            self.apply(key, self.active[key].state.decline_retry('no budget'))

    def finish(self, key: str, outcome: outcomes.Outcome) -> None:
        """Answer a request and finalize its claim."""
        active = self.active.pop(key)
        state = active.state
        if isinstance(outcome, outcomes.NotRun):
            outcome = request_claims.infer_refusal(
                outcome,
                any(s.resubmitted for s in active.submissions),
                not state.idempotent and bool(state.attempts),
            )
        for attempt in state.attempts:
            self.dispatcher.withdraw(attempt)
            self.release(active, attempt, 'none')
        if not state.idempotent:
            sent = not isinstance(outcome, outcomes.NotRun)
            self.perform(self.claimant.finalize(active.query, sent))
        kinds = (outcomes.Done, outcomes.Unknown)
        if state.idempotent or not state.attempts:
            kinds = (outcomes.Done,)  # type: ignore[assignment]
        if isinstance(outcome, kinds):
            self.ended_outcomes[key] = outcome
        for submission in active.submissions:
            assert submission.answer is None, 'caller was answered twice'
            submission.answer = outcome
            self.harness.check_answer(submission, set(state.attempts))

    def expire(self) -> None:
        """End the requests whose deadline has passed."""
        for key, active in list(self.active.items()):
            if self.harness.now < active.state.deadline:
                continue
            if active.claim_pending:
                self.perform(self.claimant.cancel(active.query))
            for attempt in list(active.state.attempts):
                if key in self.active and self.dispatcher.withdraw(attempt):
                    self.apply(key, active.state.not_sent(attempt, 'late'))
            if key in self.active:
                self.apply(key, active.state.expired())

    def perform(self, steps: list[claimant.Step]) -> None:
        """Carry out the steps of the claimant."""
        for step in steps:
            if isinstance(step, claimant.Write):
                self.in_flight.append(step)
            elif isinstance(step, claimant.Decided):
                self.apply_claim_decision(step)

    def apply_claim_decision(self, step: claimant.Decided) -> None:
        """Handle the decision on a claim."""
        won = isinstance(step.decision, claimant.Won)
        for key, active in list(self.active.items()):
            if active.query != step.query or not active.claim_pending:
                continue
            active.claim_pending = False
            if won:
                self.attempt(key, frozenset())
            elif isinstance(step.decision, claimant.NotClaimed):
                self.finish(key, outcomes.NotRun(step.decision.reason))
            else:
                self.finish(key, outcomes.Unknown('not the holder'))
            return
        if won:
            self.perform(self.claimant.finalize(step.query, False))

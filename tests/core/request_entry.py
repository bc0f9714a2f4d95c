"""Model an entry and its connections for the machine of requests."""

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
from kcr_entry.work import claim_path

if typing.TYPE_CHECKING:
    from request_model import Endpoint
    from request_model import World

SERVICE = 's'


@dataclasses.dataclass
class Link:
    """Hold one connection; each side notices its end for itself."""

    name: str
    entry: 'Entry'
    endpoint: 'Endpoint'
    entry_open: bool = True
    endpoint_open: bool = True


@dataclasses.dataclass
class Submission:
    """Hold one submission of a caller and its answer."""

    key: str
    resubmitted: bool
    answer: typing.Any = None
    # Whether its entry died before the answer.
    dropped: bool = False


@dataclasses.dataclass
class Active:
    """Hold one request at an entry."""

    state: request_state.RequestState
    submissions: list[Submission]
    question: str = ''
    # Whether the claim is asked for and not decided.
    undecided: bool = False
    links: dict[str, Link] = dataclasses.field(default_factory=dict)


class Entry:
    """Hold the decisions of one entry incarnation."""

    def __init__(self, world: 'World', name: str) -> None:
        self.world = world
        self.name = name
        self.view = membership.FleetView(1.0)
        self.dispatcher = dispatch.Dispatcher(self.view, random.Random(1))
        self.budget = retry_budget.RetryBudget(world.settings.retry_budget)
        self.claimant = claimant.Claimant(name, name, claims.Table(limit=50))
        self.position = 0
        self.in_flight: list[claimant.Write] = []
        self.active: dict[str, Active] = {}
        self.kept: dict[str, outcomes.Outcome] = {}
        # Connections whose goodbye was read.
        self.goodbyes: set[str] = set()
        self.numbers = 0

    def submit(self, submission: Submission, budget_s: float) -> None:
        """Take a submission as the owner of the requests does."""
        key = submission.key
        active = self.active.get(key)
        if active is not None:
            active.submissions.append(submission)
            return
        if key in self.kept:
            submission.answer = self.kept[key]
            return
        idempotent = self.world.idempotent(key)
        state = request_state.RequestState(
            key, idempotent, self.world.now + budget_s, 3
        )
        active = self.active[key] = Active(state, [submission])
        self.budget.deposit()
        if idempotent:
            self.attempt(key, frozenset())
            return
        self.numbers += 1
        active.question = f'{self.name}?{self.numbers}'
        active.undecided = True
        self.perform(
            self.claimant.begin(
                active.question,
                key,
                'd',
                self.world.issued[key],
                self.world.now_ms(),
            )
        )

    def attempt(
        self, key: str, avoid: frozenset[str], hedge: bool = False
    ) -> None:
        """Begin an attempt and offer it to the dispatcher."""
        active = self.active[key]
        self.numbers += 1
        attempt = f'{self.name}:{self.numbers}'
        active.state.begin(attempt)
        self.world.attempts[key].add(attempt)
        offer = dispatch.PendingAttempt(
            attempt,
            SERVICE,
            active.state.deadline,
            avoid,
            hedge,
            active.state.idempotent,
        )
        settings, now = self.world.settings, self.world.now
        decision = self.dispatcher.submit(offer, settings, now)
        self.dispatched(key, decision)

    def dispatched(self, key: str, decision: dispatch.Decision) -> None:
        """Send an attempt or take its refusal."""
        if isinstance(decision, dispatch.Queued):
            return
        state = self.active[key].state
        if isinstance(decision, dispatch.Rejected):
            self.apply(key, state.not_sent(decision.attempt, decision.reason))
            return
        endpoint = self.view.endpoints[decision.instance]
        [link] = [
            link for link in self.world.links if link.name == endpoint.session
        ]
        assert state.outcome is None, 'attempt after the outcome'
        assert link.name not in self.goodbyes, 'sent after the goodbye'
        state.placed(decision.attempt, decision.instance)
        self.active[key].links[decision.attempt] = link
        msg = messages.Execute(
            decision.attempt,
            key,
            SERVICE,
            max(0, int((state.deadline - self.world.now) * 1000)),
            state.idempotent,
            key.encode(),
        )
        self.world.send(link, False, msg)

    def advance(self) -> None:
        """Dispatch the attempts that wait for a grant."""
        settings, now = self.world.settings, self.world.now
        for offer, decision in self.dispatcher.advance(settings, now):
            for key, active in list(self.active.items()):
                if offer.attempt in active.state.attempts:
                    self.dispatched(key, decision)

    def receive(self, link: Link, msg: message_base.Message) -> None:
        """Take a message of a sidecar."""
        endpoint = self.view.find(link.name, link.endpoint.name)
        if isinstance(msg, messages.Leaving):
            self.goodbyes.add(link.name)
            if endpoint is not None:
                endpoint.leaving = True
        elif isinstance(msg, messages.Heartbeat):
            if endpoint is not None:
                endpoint.heartbeat, endpoint.last_message_at = (
                    msg,
                    self.world.now,
                )
        else:
            self.take_answer(msg)
        self.advance()

    def take_answer(self, msg: typing.Any) -> None:
        """Offer an answer to every request; each takes only its own."""
        now = self.world.now
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
        """Note the end of a sent attempt; False if it was not under way."""
        if active.links.pop(attempt, None) is None:
            return False
        instance = active.state.instances[attempt]
        now = self.world.now
        self.dispatcher.attempt_ended(
            instance, active.state.key, result, 0.01, now
        )
        return True

    def closed(self, link: Link) -> None:
        """Take the end of a connection."""
        self.view.session_closed(link.name)
        now = self.world.now
        for key, active in list(self.active.items()):
            for attempt, used in list(active.links.items()):
                if used is link:
                    self.release(active, attempt, 'none')
                    self.apply(key, active.state.lost(attempt, 'broken', now))
        self.advance()

    def apply(self, key: str, step: request_state.Step) -> None:
        """Follow what a request state decided."""
        if isinstance(step, request_state.Wait):
            return
        if not isinstance(step, request_state.Retry):
            self.finish(key, step)
        elif self.budget.spend():
            self.attempt(key, step.avoid)
        else:
            self.apply(key, self.active[key].state.decline_retry('no budget'))

    def finish(self, key: str, outcome: outcomes.Outcome) -> None:
        """Answer a request and settle its claim."""
        active = self.active.pop(key)
        state = active.state
        if isinstance(outcome, outcomes.NotRun):
            outcome = claim_path.infer_refusal(
                outcome,
                any(s.resubmitted for s in active.submissions),
                not state.idempotent and bool(state.attempts),
            )
        for attempt in state.attempts:
            self.dispatcher.withdraw(attempt)
            self.release(active, attempt, 'none')
        if not state.idempotent:
            sent = not isinstance(outcome, outcomes.NotRun)
            self.perform(self.claimant.finalize(active.question, sent))
        kinds = (outcomes.Done, outcomes.Unknown)
        if state.idempotent or not state.attempts:
            kinds = (outcomes.Done,)  # type: ignore[assignment]
        if isinstance(outcome, kinds):
            self.kept[key] = outcome
        for submission in active.submissions:
            assert submission.answer is None, 'caller was answered twice'
            submission.answer = outcome
            self.world.answered(submission, set(state.attempts))

    def expire(self) -> None:
        """End the requests whose deadline has passed."""
        for key, active in list(self.active.items()):
            if self.world.now < active.state.deadline:
                continue
            if active.undecided:
                self.perform(self.claimant.cancel(active.question))
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
                self.decided(step)

    def decided(self, step: claimant.Decided) -> None:
        """Take the decision about a claim."""
        won = isinstance(step.decision, claimant.Won)
        for key, active in list(self.active.items()):
            if active.question != step.query or not active.undecided:
                continue
            active.undecided = False
            if won:
                self.attempt(key, frozenset())
            elif isinstance(step.decision, claimant.NotClaimed):
                self.finish(key, outcomes.NotRun(step.decision.reason))
            else:
                self.finish(key, outcomes.Unknown('not the holder'))
            return
        if won:
            self.perform(self.claimant.finalize(step.query, False))

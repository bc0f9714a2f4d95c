"""Run the task that owns the requests in flight at an entry.

The front end sends it the submitted requests and queries for explanations.
For each request it starts attempts, which membership dispatches to endpoints,
and retries, hedges or ends the request as `kcr_core.request_state` decides
from the results. A non-idempotent request is sent only after `work/claims`
granted its claim. Callers get a reply when the request ends, which is soon
after its deadline at the latest.
"""

import dataclasses
import typing

from kcr_core import claimant
from kcr_core import dispatch
from kcr_core import messages
from kcr_core import outcomes
from kcr_core import recent_requests
from kcr_core import request_state
from kcr_core import retry_budget
from kcr_core import types
from kcr_entry import addresses
from kcr_entry import events
from kcr_entry.fleet import membership
from kcr_entry.work import claims
from kcr_entry.work import explanations
from kcr_entry.work import request_claims
from kcr_entry.work import submitted_request
from kcr_runtime import query
from kcr_runtime import task
from kcr_runtime.wire import session

# Maximum number of requests in flight; further ones are refused.
MAX_IN_FLIGHT = 5000
# Time to wait at the deadline for membership to return unsent attempts, in
# seconds. Without it such a request would end `unknown`, not `not_run`.
WITHDRAW_TIMEOUT_S = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class _Deadline:
    key: str
    # Whether unsent attempts were already withdrawn.
    withdrawn: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _Hedge:
    key: str


@dataclasses.dataclass(slots=True)
class _Active:
    submit: submitted_request.Submit
    state: request_state.RequestState
    # Queries of callers that wait for the outcome.
    waiters: list[query.Query]
    # Session of each attempt.
    sessions: dict[str, str]
    # Monotonic time of arrival.
    since: float
    # Whether a caller marked its submission as a repeat.
    resubmitted: bool
    # Monotonic time at which each attempt was sent.
    sent_at: dict[str, float] = dataclasses.field(default_factory=dict)


class Requests(task.Task):
    """Own the requests in flight and the recently ended ones."""

    def __init__(self, ctx: task.Context, address: str) -> None:
        super().__init__(ctx, address)
        # Settings of the document in force.
        self.settings = types.ControlSettings()
        self._revision = 0
        self._active: dict[str, _Active] = {}
        self._by_attempt: dict[str, str] = {}
        # A restarted task must not use the id of an attempt again, because a
        # late answer would be taken for that of another request.
        random_part = f'{ctx.rng.getrandbits(48):012x}'
        self._attempt_prefix = f'{ctx.incarnation}:{random_part}'
        self._attempt_count = 0
        self._budget = retry_budget.RetryBudget(self.settings.retry_budget)
        self._latencies = retry_budget.Latencies()
        self._hedges: set[str] = set()
        self._claims = request_claims.RequestClaims(self)
        self._recent = recent_requests.RecentRequests()

    def started(self) -> None:
        """Release the attempts sent before a restart of this task."""
        self.send(addresses.MEMBERSHIP, membership.RequestsRestarted())

    @task.handles(events.SettingsInForce)
    def _on_settings(self, event: events.SettingsInForce) -> None:
        if event.revision >= self._revision:
            self.settings, self._revision = event.settings, event.revision

    def dump(self) -> dict[str, typing.Any]:
        """Return the oldest requests in flight and the retry budget."""
        return {
            **super().dump(),
            'in_flight': len(self._active),
            'remembered': len(self._recent),
            'retry_budget': {
                'tokens': round(self._budget.tokens, 3),
                'spent': self._budget.spent,
                'declined': self._budget.declined,
            },
            'oldest': explanations.list_oldest(self._active, self.now()),
        }

    @task.handles(query.Query)
    def _on_query(self, caller_query: query.Query) -> None:
        submit = caller_query.body
        if isinstance(submit, explanations.Explain):
            self._explain(caller_query, submit.key)
            return
        assert isinstance(submit, submitted_request.Submit)
        digest = submit.digest()
        active = self._active.get(submit.key)
        if active is not None:
            if active.submit.digest() != digest:
                self._reply(
                    caller_query, submitted_request.Conflict(submit.key)
                )
            else:
                active.resubmitted |= submit.resubmitted
                active.waiters.append(caller_query)
            return
        ended = self._recent.find(submit.key)
        if ended is not None and ended.digest != digest:
            self._reply(caller_query, submitted_request.Conflict(submit.key))
            return
        if ended is not None and ended.outcome is not None:
            self._reply(caller_query, ended.outcome)
            return
        if len(self._active) >= MAX_IN_FLIGHT:
            self._reply(caller_query, outcomes.NotRun('entry is full'))
            return
        self._begin(caller_query, submit)

    def _explain(self, caller_query: query.Query, key: str) -> None:
        active = self._active.get(key)
        found = self._recent.find(key)
        if active is not None:
            took_ms = (self.now() - active.since) * 1000
            found = explanations.describe(active, None, None, took_ms)
        self._reply(caller_query, explanations.Explained(found))

    def _begin(
        self, caller_query: query.Query, submit: submitted_request.Submit
    ) -> None:
        now = self.now()
        state = request_state.RequestState(
            key=submit.key,
            idempotent=submit.idempotent,
            deadline=now + submit.budget_s,
            max_attempts=self.settings.max_attempts,
        )
        self._active[submit.key] = _Active(
            submit, state, [caller_query], {}, now, submit.resubmitted
        )
        self.after(submit.budget_s, _Deadline(submit.key))
        self._prepare_retries(submit)
        if submit.idempotent:
            self._attempt(submit.key, frozenset())
        elif not self._claims.begin(submit):
            refusal = outcomes.NotRun('claims are not ready')
            self._finish(submit.key, refusal)

    @task.handles(claims.ClaimEnded)
    def _on_claim_ended(self, event: claims.ClaimEnded) -> None:
        decision = self._claims.apply_result(event)
        if decision is None:
            return
        key, value = decision
        if not isinstance(value, claimant.Won):
            changed = isinstance(value, claimant.Changed)
            self._finish(
                key, submitted_request.Conflict(key) if changed else value
            )
            return
        state = self._active[key].state
        assert not state.attempts, 'request was sent before it was claimed'
        self.ctx.metrics.count('claim_used')
        self._attempt(key, frozenset())

    def _attempt(
        self, key: str, avoid: frozenset[str], hedge: bool = False
    ) -> str:
        active = self._active[key]
        self._attempt_count += 1
        attempt = f'{self._attempt_prefix}:{self._attempt_count}'
        self._by_attempt[attempt] = key
        active.state.begin(attempt)
        left = active.state.deadline - self.now()
        msg = messages.Execute(
            attempt=attempt,
            request=key,
            service=active.submit.service,
            budget_ms=max(0, int(left * 1000)),
            idempotent=active.submit.idempotent,
            body=active.submit.body,
        )
        self.ctx.metrics.count('attempt')
        if not self.send(
            addresses.MEMBERSHIP, membership.Dispatch(msg, avoid, hedge)
        ):
            self._apply(
                key, active.state.not_sent(attempt, 'entry is overloaded')
            )
        return attempt

    @task.handles(membership.Dispatched)
    def _on_dispatched(self, event: membership.Dispatched) -> None:
        active = self._find(event.attempt)
        if active is None or active.state.outcome is not None:
            ended = membership.AttemptEnded(event.instance)
            self.send(addresses.MEMBERSHIP, ended)
            return
        active.state.placed(event.attempt, event.instance)
        active.sessions[event.attempt] = event.session
        active.sent_at[event.attempt] = self.now()

    @task.handles(membership.NotDispatched)
    def _on_not_dispatched(self, event: membership.NotDispatched) -> None:
        active = self._find(event.attempt)
        if active is not None:
            self._refund_hedge(event.attempt)
            step = active.state.not_sent(event.attempt, event.reason)
            self._apply(active.submit.key, step)

    @task.handles(session.Received)
    def _on_received(self, event: session.Received) -> None:
        msg = event.msg
        if isinstance(msg, messages.OutcomeQuery):
            ended = self._recent.find(msg.request)
            stored = ended.outcome if ended else None
            self._claims.handle_outcome_query(
                event, msg.request in self._active, stored
            )
            return
        active = self._find(msg.attempt)
        if active is None or msg.attempt not in active.sessions:
            self.ctx.metrics.count('answer_late')
            return
        self._release(active, msg.attempt, dispatch.infer_result(msg))
        key, state = active.submit.key, active.state
        if isinstance(msg, messages.Refused):
            self._budget.settle(msg.attempt, refused=True)
            self._apply(
                key, state.refused(msg.attempt, msg.reason, self.now())
            )
        elif isinstance(msg, messages.Failed):
            self._apply(key, state.lost(msg.attempt, msg.reason, self.now()))
        elif msg.length != len(msg.body):
            reason = f'answer has {len(msg.body)} of {msg.length} bytes'
            self._apply(key, state.lost(msg.attempt, reason, self.now()))
        else:
            self._apply(key, state.executed(msg.attempt, msg.status, msg.body))

    @task.handles(session.SendRefused)
    def _on_send_refused(self, event: session.SendRefused) -> None:
        if not isinstance(event.msg, messages.Execute):
            return
        attempt = event.msg.attempt
        active = self._find(attempt)
        if active is None:
            return
        self._release(active, attempt)
        self._apply(
            active.submit.key,
            active.state.refused(attempt, 'was not sent', self.now()),
        )

    @task.handles(session.Opened)
    def _on_opened(self, event: session.Opened) -> None:
        """Ignore it; membership follows new sessions."""

    @task.handles(session.Closed)
    def _on_closed(self, event: session.Closed) -> None:
        for active in list(self._active.values()):
            for attempt, name in list(active.sessions.items()):
                if name == event.session:
                    self._release(active, attempt)
                    reason = f'connection to the endpoint: {event.reason}'
                    self._apply(
                        active.submit.key,
                        active.state.lost(attempt, reason, self.now()),
                    )

    @task.handles(_Deadline)
    def _on_deadline(self, event: _Deadline) -> None:
        active = self._active.get(event.key)
        if active is None or self.now() < active.state.deadline:
            # The timer belongs to an earlier request with this key.
            return
        if self._claims.cancel(event.key):
            self.after(request_claims.CANCEL_TIMEOUT_S, event)
            return
        if not event.withdrawn and self._withdraw(active):
            self.after(
                WITHDRAW_TIMEOUT_S, _Deadline(event.key, withdrawn=True)
            )
            return
        self._apply(event.key, active.state.expired())

    def _withdraw(self, active: _Active) -> bool:
        """Withdraw the unsent attempts; return whether there are any."""
        unplaced = [
            attempt
            for attempt, state in active.state.attempts.items()
            if state is request_state.AttemptState.PENDING
            and attempt not in active.state.instances
        ]
        for attempt in unplaced:
            self.send(addresses.MEMBERSHIP, membership.Withdraw(attempt))
        return bool(unplaced)

    def _find(self, attempt: str) -> _Active | None:
        key = self._by_attempt.get(attempt)
        return None if key is None else self._active.get(key)

    def _release(
        self, active: _Active, attempt: str, result: dispatch.Result = 'none'
    ) -> None:
        if active.sessions.pop(attempt, None) is None:
            return
        took_s = self.now() - active.sent_at.pop(attempt, self.now())
        if result == 'ok':
            self._latencies.add(took_s)
        ended = membership.AttemptEnded(
            active.state.instances[attempt],
            active.submit.key,
            result,
            took_s,
        )
        self.send(addresses.MEMBERSHIP, ended)

    def _apply(self, key: str, step: request_state.Step) -> None:
        if isinstance(step, request_state.Wait):
            return
        if not isinstance(step, request_state.Retry):
            self._finish(key, step)
        elif step.on_credit and self._budget.can_lend():
            self.ctx.metrics.count('retry')
            attempt = self._attempt(key, step.avoid)
            if key in self._active:
                self._budget.lend(attempt)
        elif self._budget.spend():
            self.ctx.metrics.count('retry')
            self._attempt(key, step.avoid)
        else:
            self.ctx.metrics.count('retry_declined')
            state = self._active[key].state
            self._apply(key, state.decline_retry('retry budget is used up'))

    def _prepare_retries(self, submit: submitted_request.Submit) -> None:
        """Count a new request in the retry budget and schedule its hedge."""
        self._budget.share = self.settings.retry_budget
        self._budget.deposit()
        delay_s = retry_budget.infer_hedge_delay(
            self.settings.hedge_s,
            self.settings.hedge_quantile,
            self._latencies,
        )
        if submit.idempotent and delay_s is not None:
            if delay_s < submit.budget_s:
                self.after(delay_s, _Hedge(submit.key))

    @task.handles(_Hedge)
    def _on_hedge(self, event: _Hedge) -> None:
        active = self._active.get(event.key)
        if active is None or not active.state.can_hedge():
            return
        # An attempt that was not dispatched yet is not hedged.
        if not active.sessions or not self._budget.spend():
            return
        self.ctx.metrics.count('hedge')
        avoid = frozenset(active.state.instances.values())
        attempt = self._attempt(event.key, avoid, hedge=True)
        if event.key in self._active:
            self._hedges.add(attempt)

    def _refund_hedge(self, attempt: str) -> None:
        if attempt in self._hedges:
            self._hedges.remove(attempt)
            self._budget.refund()

    def _finish(
        self, key: str, outcome: outcomes.Outcome | submitted_request.Conflict
    ) -> None:
        active = self._active.pop(key)
        if isinstance(outcome, outcomes.NotRun):
            outcome = request_claims.infer_refusal(
                outcome,
                active.resubmitted,
                not active.submit.idempotent and bool(active.state.attempts),
            )
        self._withdraw(active)
        self._claims.finish(key, outcome)
        for attempt in list(active.sessions):
            self._release(active, attempt)
        for attempt in list(active.state.attempts):
            self._by_attempt.pop(attempt, None)
            self._hedges.discard(attempt)
            self._budget.settle(attempt, refused=False)
        # An unknown outcome is stored only for a non-idempotent request that
        # this entry sent. If the claim was lost, the entry that holds it
        # stores the outcome.
        sent = bool(active.state.attempts) and not active.submit.idempotent
        stored_kinds = (
            (outcomes.Done, outcomes.Unknown) if sent else (outcomes.Done,)
        )
        took_ms = (self.now() - active.since) * 1000
        if not isinstance(outcome, submitted_request.Conflict):
            stored = outcome if isinstance(outcome, stored_kinds) else None
            self._recent.add(
                key, explanations.describe(active, outcome, stored, took_ms)
            )
        self.ctx.metrics.count('request', outcome=type(outcome).__name__)
        self.ctx.metrics.record_ms('request_ms', took_ms)
        for caller_query in active.waiters:
            self._reply(caller_query, outcome)

    def _reply(self, caller_query: query.Query, value: typing.Any) -> None:
        self.send(caller_query.sender, query.Reply(caller_query.token, value))

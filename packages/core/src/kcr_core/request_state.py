"""Decide the outcome of a request from the results of its attempts.

The entry's task of requests reports what happened to each attempt and gets
the next step: another attempt, a wait or the outcome. Attempts that provably
did not run are distinguished from those that may have run. The outcome "not
run" is given only if all attempts provably did not run.
"""

import dataclasses
import enum

from kcr_core import outcomes
from kcr_core import slots


class AttemptState(enum.Enum):
    """Enumerate the states of an attempt."""

    # Waiting to be sent, or sent and not answered yet.
    PENDING = 'pending'
    # Provably did not run.
    REFUSED = 'refused'
    # May have run; no complete answer was received.
    LOST = 'lost'


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """Request another attempt."""

    # Instances of the earlier attempts.
    avoid: frozenset[str]
    # Whether it spends of the retry budget only if it is refused too.
    on_credit: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Represent that nothing is to be done now."""


Step = Retry | Wait | outcomes.Done | outcomes.NotRun | outcomes.Unknown


@dataclasses.dataclass(slots=True)
class RequestState:
    """Store the attempts and the outcome of one request."""

    # Key of the request, `caller/id`.
    key: str
    # Whether it may run more than once.
    idempotent: bool
    # Monotonic time at which the caller stops waiting.
    deadline: float
    # Maximum number of attempts.
    max_attempts: int
    # State of each attempt.
    attempts: dict[str, AttemptState] = dataclasses.field(default_factory=dict)
    # Instance of each attempt that was sent.
    instances: dict[str, str] = dataclasses.field(default_factory=dict)
    # Attempt whose answer is the outcome; empty if there is none.
    answered: str = ''
    # Reason given by the last attempt that ended.
    reason: str = 'no attempt was made'
    # Whether a retry on credit was requested; there is one at most.
    had_credit: bool = False
    # Outcome; none until it is decided.
    outcome: outcomes.Outcome | None = None

    def begin(self, attempt: str) -> None:
        """Add an attempt, before it is sent."""
        assert self.outcome is None, 'attempt after the outcome'
        assert attempt not in self.attempts, 'attempt id is used twice'
        if not self.idempotent:
            assert all(
                state is AttemptState.REFUSED
                for state in self.attempts.values()
            ), 'non-idempotent request sent twice without a refusal'
        self.attempts[attempt] = AttemptState.PENDING

    def placed(self, attempt: str, instance: str) -> None:
        """Record the instance to which an attempt is sent."""
        assert attempt in self.attempts, 'attempt was not begun'
        self.instances[attempt] = instance

    def not_sent(self, attempt: str, reason: str) -> Step:
        """Record that an attempt was not sent; it is not retried."""
        if self.attempts.get(attempt) is not AttemptState.PENDING:
            return Wait()
        self.attempts[attempt] = AttemptState.REFUSED
        self.reason = reason
        if self.outcome is not None or self._pending():
            return Wait()
        return self._give_up()

    def executed(self, attempt: str, status: int, body: bytes) -> Step:
        """Record the complete answer of an attempt."""
        if attempt not in self.attempts or self.outcome is not None:
            return Wait()
        self.answered = attempt
        return self._decide(outcomes.Done(status, body))

    def refused(self, attempt: str, reason: str, now: float) -> Step:
        """Record that an attempt provably did not run."""
        return self._ended(attempt, AttemptState.REFUSED, reason, now)

    def lost(self, attempt: str, reason: str, now: float) -> Step:
        """Record that an attempt may have run and has no answer."""
        return self._ended(attempt, AttemptState.LOST, reason, now)

    def expired(self) -> Step:
        """Decide the outcome at the deadline."""
        if self.outcome is not None:
            return Wait()
        self.reason = f'deadline passed; {self.reason}'[:300]
        return self._give_up()

    def decline_retry(self, reason: str) -> Step:
        """Record that the requested retry will not be made."""
        if self.outcome is not None or self._pending():
            return Wait()
        self.reason = f'{reason}; {self.reason}'[:300]
        return self._give_up()

    def can_hedge(self) -> bool:
        """Return whether a second attempt may run concurrently."""
        return (
            self.idempotent
            and self.outcome is None
            and len(self.attempts) < self.max_attempts
            and self._pending() == 1
        )

    def _pending(self) -> int:
        states = self.attempts.values()
        return sum(state is AttemptState.PENDING for state in states)

    def _ended(
        self, attempt: str, state: AttemptState, reason: str, now: float
    ) -> Step:
        if self.attempts.get(attempt) is not AttemptState.PENDING:
            return Wait()
        if self.outcome is not None:
            return Wait()
        self.attempts[attempt] = state
        self.reason = reason
        if self._pending():
            return Wait()
        may_repeat = self.idempotent or state is AttemptState.REFUSED
        exhausted = len(self.attempts) >= self.max_attempts
        if may_repeat and not exhausted and now < self.deadline:
            on_credit = state is AttemptState.REFUSED and self._take_credit()
            return Retry(frozenset(self.instances.values()), on_credit)
        return self._give_up()

    def _take_credit(self) -> bool:
        """Return whether the last attempt was the first at a full endpoint.

        It cost no work, and others may have room: the refusals of one burst
        at a slow endpoint would use up the retry budget.
        """
        if self.reason != slots.FULL or self.had_credit:
            return False
        self.had_credit = True
        return True

    def _give_up(self) -> Step:
        states = self.attempts.values()
        if all(state is AttemptState.REFUSED for state in states):
            return self._decide(outcomes.NotRun(self.reason))
        return self._decide(outcomes.Unknown(self.reason))

    def _decide(self, outcome: outcomes.Outcome) -> Step:
        assert self.outcome is None, 'request already has an outcome'
        self.outcome = outcome
        return outcome

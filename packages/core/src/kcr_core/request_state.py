"""Decide what becomes of a request as its attempts end.

The state keeps apart attempts that are proved not to have run from those
that may have run, so that "not run" is only ever said when it is true.
"""

import dataclasses
import enum

from kcr_core import outcomes


class AttemptState(enum.Enum):
    """Name what is known of one attempt."""

    # Sent, no answer yet.
    PENDING = 'pending'
    # Proved not to have run.
    REFUSED = 'refused'
    # May have run; no whole answer.
    LOST = 'lost'


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """Ask for another attempt."""

    # Endpoints that were tried.
    avoid: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Ask for nothing; an attempt is still pending."""


Step = Retry | Wait | outcomes.Done | outcomes.NotRun | outcomes.Unknown


@dataclasses.dataclass(slots=True)
class RequestState:
    """Hold the attempts of one request at its entry."""

    # Key of the request, `caller/id`.
    key: str
    # Whether it may run more than once.
    idempotent: bool
    # Monotonic time at which the caller stops waiting.
    deadline: float
    # Attempts that it may use.
    max_attempts: int
    # State of each attempt.
    attempts: dict[str, AttemptState] = dataclasses.field(default_factory=dict)
    # Endpoint of each attempt.
    instances: dict[str, str] = dataclasses.field(default_factory=dict)
    # Attempt whose answer is the outcome; empty for none.
    answered: str = ''
    # Last reason given by an attempt.
    reason: str = 'no attempt was made'
    # The outcome, once it is decided.
    outcome: outcomes.Outcome | None = None

    def begin(self, attempt: str) -> None:
        """Note an attempt before anything of it is sent."""
        assert self.outcome is None, 'attempt after the outcome'
        assert attempt not in self.attempts, 'attempt id used again'
        if not self.idempotent:
            assert all(
                state is AttemptState.REFUSED
                for state in self.attempts.values()
            ), 'non-idempotent request sent twice without a refusal'
        self.attempts[attempt] = AttemptState.PENDING

    def placed(self, attempt: str, instance: str) -> None:
        """Note the endpoint of an attempt."""
        assert attempt in self.attempts, 'attempt was not begun'
        self.instances[attempt] = instance

    def not_sent(self, attempt: str, reason: str) -> Step:
        """Note that no endpoint was asked; the request ends without one."""
        if self.attempts.get(attempt) is not AttemptState.PENDING:
            return Wait()
        self.attempts[attempt] = AttemptState.REFUSED
        self.reason = reason
        if self.outcome is not None or self._pending():
            return Wait()
        return self._give_up()

    def executed(self, attempt: str, status: int, body: bytes) -> Step:
        """Take the whole answer of an attempt."""
        if attempt not in self.attempts or self.outcome is not None:
            return Wait()
        self.answered = attempt
        return self._decide(outcomes.Done(status, body))

    def refused(self, attempt: str, reason: str, now: float) -> Step:
        """Take the proof that an attempt did not run."""
        return self._ended(attempt, AttemptState.REFUSED, reason, now)

    def lost(self, attempt: str, reason: str, now: float) -> Step:
        """Note that an attempt may have run and has no answer."""
        return self._ended(attempt, AttemptState.LOST, reason, now)

    def expired(self) -> Step:
        """Note that the deadline has passed."""
        if self.outcome is not None:
            return Wait()
        self.reason = f'deadline passed; {self.reason}'[:300]
        return self._give_up()

    def decline_retry(self, reason: str) -> Step:
        """Note that the attempt that was asked for will not be made."""
        if self.outcome is not None or self._pending():
            return Wait()
        self.reason = f'{reason}; {self.reason}'[:300]
        return self._give_up()

    def can_hedge(self) -> bool:
        """Tell whether a second attempt may run beside the first."""
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
        used_up = len(self.attempts) >= self.max_attempts
        if may_repeat and not used_up and now < self.deadline:
            return Retry(frozenset(self.instances.values()))
        return self._give_up()

    def _give_up(self) -> Step:
        states = self.attempts.values()
        if all(state is AttemptState.REFUSED for state in states):
            return self._decide(outcomes.NotRun(self.reason))
        return self._decide(outcomes.Unknown(self.reason))

    def _decide(self, outcome: outcomes.Outcome) -> Step:
        assert self.outcome is None, 'a request has one outcome'
        self.outcome = outcome
        return outcome

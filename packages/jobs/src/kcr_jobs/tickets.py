"""Store the tickets that let runners run the steps of advised queues.

Tasks of such a queue may start only on runners for which an adviser outside
the scheduler has granted a ticket. The planner keeps one StepTickets for each
step and requests tickets through the controller's RequestAdvice effects.
"""

from collections import abc
import dataclasses

# Maximum number of runners in one request; the reply takes longer with each.
MAX_RUNNERS_PER_REQUEST = 30
# Part of a ticket's validity in which it is used; the rest is for orders in
# flight.
USABLE_SHARE = 0.8
# Pause after a request that failed, in seconds.
RETRY_DELAY_S = 0.5


@dataclasses.dataclass(slots=True)
class StepTickets:
    """Store the tickets of one step."""

    # Ticket and the time until which it is used, by incarnation of the
    # runner.
    granted: dict[str, tuple[str, float]] = dataclasses.field(
        default_factory=dict
    )
    # Time until which a refusal counts, by incarnation of the runner.
    refused: dict[str, float] = dataclasses.field(default_factory=dict)
    # Whether a request is in flight.
    in_flight: bool = False
    # Time before which no request is sent.
    not_before: float = 0.0

    def find(self, incarnation: str, now: float) -> str:
        """Return the ticket of a runner's incarnation; empty for none."""
        ticket, until = self.granted.get(incarnation, ('', 0.0))
        return ticket if now < until else ''

    def choose_runners(
        self, runners: abc.Iterable[tuple[str, str]], now: float
    ) -> tuple[tuple[str, str], ...]:
        """Return the runners to request tickets for, as id, incarnation."""
        if self.in_flight or now < self.not_before:
            return ()
        unknown = [
            (runner_id, incarnation)
            for runner_id, incarnation in runners
            if not self.find(incarnation, now)
            and now >= self.refused.get(incarnation, 0.0)
        ]
        return tuple(unknown[:MAX_RUNNERS_PER_REQUEST])

    def record_reply(
        self,
        requested: abc.Iterable[tuple[str, str]],
        granted: abc.Mapping[str, str] | None,
        requested_at: float,
        valid_s: float,
        now: float,
    ) -> None:
        """Store the reply to a request; `granted` is none if it failed."""
        self.in_flight = False
        if granted is None:
            self.not_before = now + RETRY_DELAY_S
            return
        until = requested_at + valid_s * USABLE_SHARE
        for runner_id, incarnation in requested:
            if runner_id in granted:
                self.granted[incarnation] = (granted[runner_id], until)
            else:
                # The adviser's policy for a step does not change.
                self.refused[incarnation] = now + valid_s

    def discard(self, incarnation: str) -> None:
        """Discard a ticket that a runner has rejected."""
        self.granted.pop(incarnation, None)

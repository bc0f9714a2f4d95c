"""Keep the tickets that let runners run the steps of advised queues."""

from collections import abc
import dataclasses

# Runners that one request asks about; the answer takes longer with each.
MAX_RUNNERS_PER_REQUEST = 30
# Part of a ticket's time that is used; the rest is for orders under way.
USABLE_SHARE = 0.8
# Pause after a request that failed, in seconds.
RETRY_PAUSE_S = 0.5


@dataclasses.dataclass(slots=True)
class StepTickets:
    """Hold the tickets of one step."""

    # Ticket and the time until which it is used, by life of the runner.
    granted: dict[str, tuple[str, float]] = dataclasses.field(
        default_factory=dict
    )
    # Time until which a refusal counts, by life of the runner.
    refused: dict[str, float] = dataclasses.field(default_factory=dict)
    # Whether a request is under way.
    in_flight: bool = False
    # Time before which no request is made.
    not_before: float = 0.0

    def find(self, incarnation: str, now: float) -> str:
        """Return the ticket of a runner; empty for none."""
        ticket, until = self.granted.get(incarnation, ('', 0.0))
        return ticket if now < until else ''

    def choose_runners(
        self, runners: abc.Iterable[tuple[str, str]], now: float
    ) -> tuple[tuple[str, str], ...]:
        """Return the runners to ask about, by id and life."""
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
        """Take the answer to a request; none if it failed."""
        self.in_flight = False
        if granted is None:
            self.not_before = now + RETRY_PAUSE_S
            return
        until = requested_at + valid_s * USABLE_SHARE
        for runner_id, incarnation in requested:
            if runner_id in granted:
                self.granted[incarnation] = (granted[runner_id], until)
            else:
                # What the policy allows a step does not change.
                self.refused[incarnation] = now + valid_s

    def discard(self, incarnation: str) -> None:
        """Forget a ticket that a runner has rejected."""
        self.granted.pop(incarnation, None)

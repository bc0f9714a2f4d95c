"""Store the tickets that let runners run the steps of advised queues.

Tasks of such a queue may start only on runners for which an adviser outside
the scheduler has granted a ticket. The planner keeps one StepTickets for each
step and requests tickets through the controller's RequestAdvice effects;
`advice_window` decides when.
"""

from collections import abc
import dataclasses
import math

from kcr_jobs import types

# Maximum number of runners in one request; the reply takes longer with each.
MAX_RUNNERS_PER_REQUEST = 30
# Part of a ticket's validity that the adviser may need for one request.
MAX_HANDLING_SHARE = 0.3
# Part of a ticket's validity in which it is used; the rest is for orders in
# flight.
USABLE_SHARE = 0.8
# Time for which a ticket is used that may have expired before it arrived, in
# seconds; a runner that rejects it has done nothing.
LATE_USE_S = 0.25
# Pause after a request for a step that failed, in seconds; it doubles with
# each failure up to the maximum.
RETRY_DELAY_S = 0.5
MAX_RETRY_DELAY_S = 8.0
# Maximum time until a runner that was refused is named again, in seconds. The
# adviser's policy for a step does not change.
MAX_REFUSAL_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Store what the adviser granted, or how a request failed."""

    # Tickets by runner id; none if the request failed.
    granted: dict[str, str] | None = None
    # Validity of the tickets, as the adviser says; 0 if it says nothing.
    valid_s: float = 0.0
    # Whether a request that failed got no answer or was refused for want of
    # room.
    overloaded: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """Store a ticket for one runner."""

    text: str
    # Time until which a start that is ordered reaches the runner in time.
    valid_until: float
    # Time until which starts use it; later than `valid_until` if the ticket
    # may have expired before it arrived.
    used_until: float
    # Earliest time at which it may expire; infinite if it may have expired
    # before it arrived, as only the runner can tell then.
    expires_at: float


def make_ticket(
    text: str, granted_at: float, valid_s: float, now: float
) -> Ticket:
    """Return a ticket that the adviser granted at the given time or later."""
    valid_until = granted_at + valid_s * USABLE_SHARE
    if valid_until < now + LATE_USE_S:
        return Ticket(text, valid_until, now + LATE_USE_S, math.inf)
    return Ticket(text, valid_until, valid_until, granted_at + valid_s)


def infer_handling_s(queue: types.Queue, runners: int) -> float:
    """Return how long the adviser needs for a request."""
    return (queue.advice_ms + runners * queue.advice_runner_ms) / 1000.0


def infer_max_runners(queue: types.Queue) -> int:
    """Return how many runners a request may name.

    A request that takes long delays the others and uses up the validity of
    its own tickets.
    """
    if not queue.advice_runner_ms:
        return MAX_RUNNERS_PER_REQUEST
    left_ms = queue.ticket_ms * MAX_HANDLING_SHARE - queue.advice_ms
    number = min(MAX_RUNNERS_PER_REQUEST, left_ms / queue.advice_runner_ms)
    return max(1, math.floor(number))


@dataclasses.dataclass(slots=True)
class StepTickets:
    """Store the tickets of one step."""

    # Tickets by incarnation of the runner.
    granted: dict[str, Ticket] = dataclasses.field(default_factory=dict)
    # Time until which a refusal counts, and how long the refusal counted, by
    # incarnation of the runner.
    refused: dict[str, tuple[float, float]] = dataclasses.field(
        default_factory=dict
    )
    # Whether a request is in flight.
    in_flight: bool = False
    # Time before which no request is sent, and the number of requests that
    # failed since the last reply.
    not_before: float = 0.0
    failures: int = 0

    def find(
        self, incarnation: str, now: float, late: bool = True
    ) -> Ticket | None:
        """Return the ticket of a runner's incarnation; none without one.

        `late` includes one that may have expired before it arrived.
        """
        ticket = self.granted.get(incarnation)
        if ticket is None:
            return None
        if now >= ticket.used_until or not late and now >= ticket.valid_until:
            return None
        return ticket

    def has_any(self, now: float) -> bool:
        """Return whether any runner has a ticket."""
        return any(now < t.used_until for t in self.granted.values())

    def is_refused(self, incarnation: str, now: float) -> bool:
        """Return whether the adviser has refused a runner."""
        return now < self.refused.get(incarnation, (0.0, 0.0))[0]

    def may_request(self, now: float) -> bool:
        """Return whether a request may be sent for the step."""
        return not self.in_flight and now >= self.not_before

    def record_reply(
        self,
        requested: abc.Iterable[tuple[str, str]],
        granted: abc.Mapping[str, str],
        granted_at: float,
        valid_s: float,
        now: float,
    ) -> None:
        """Store the tickets of a reply, granted at a time or later."""
        self.in_flight, self.failures = False, 0
        for runner_id, incarnation in requested:
            if runner_id in granted:
                self.granted[incarnation] = make_ticket(
                    granted[runner_id], granted_at, valid_s, now
                )
                self.refused.pop(incarnation, None)
                continue
            pause_s = self.refused.get(incarnation, (0.0, 0.0))[1]
            pause_s = min(MAX_REFUSAL_S, max(valid_s, 2.0 * pause_s))
            self.refused[incarnation] = (now + pause_s, pause_s)

    def record_failure(self, now: float) -> None:
        """Record that a request failed; let other steps go first."""
        self.in_flight = False
        delay_s = RETRY_DELAY_S * 2.0 ** min(self.failures, 8)
        self.not_before = now + min(MAX_RETRY_DELAY_S, delay_s)
        self.failures += 1

    def reject(self, incarnation: str, now: float) -> bool:
        """Stop using the ticket of a failed start; return if it was valid."""
        ticket = self.granted.get(incarnation)
        if ticket is None:
            return True
        self.granted[incarnation] = dataclasses.replace(
            ticket, used_until=min(now, ticket.used_until)
        )
        return now < ticket.valid_until

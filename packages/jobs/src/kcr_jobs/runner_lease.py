"""Keep the lease of a runner from the confirmations of the owner.

An owner confirms a report and says how long the lease holds from the moment
at which the report was sent. The keeper turns that into a time on the
runner's clock, which it knows from the runner's answers.
"""

import dataclasses

# Reports whose confirmation may still come.
MAX_UNCONFIRMED_REPORTS = 64


@dataclasses.dataclass(slots=True)
class StartOrder:
    """Hold a start that the runner may still carry out."""

    # Number of the order in its lease.
    number: int
    # Attempt.
    attempt: int
    # Time of the runner's answer; none before it.
    answered_at: float | None = None
    # Whether it was withdrawn by a stop.
    withdrawn: bool = False


class RunnerLease:
    """Hold one lease and the orders under it."""

    def __init__(self) -> None:
        # Token of the lease; 0 for none.
        self.token = 0
        # Number of the last report.
        self.last_report = 0
        # Time until which the owner lets the runner go on.
        self.expires_at = 0.0
        # Last end that the runner may forget.
        self.cursor = 0
        # Number of the last start order.
        self.last_order = 0
        # Starts by task.
        self.start_orders: dict[str, StartOrder] = {}
        self._sent: dict[int, float] = {}
        self._clock: tuple[int, float] | None = None

    def start(self, token: int) -> None:
        """Start a new lease; the older one ends."""
        self.token = token
        self.last_report = self.cursor = self.last_order = 0
        self.expires_at = 0.0
        self.start_orders.clear()
        self._sent.clear()

    def set_clock(self, clock_ms: int, received_at: float) -> None:
        """Take the runner's clock from an answer."""
        self._clock = (clock_ms, received_at)

    def forget_clock(self) -> None:
        """Drop the clock of an older life of the runner."""
        self._clock = None

    def next_report(self, now: float) -> int:
        """Return the number of a report that is sent now."""
        self.last_report += 1
        self._sent[self.last_report] = now
        if len(self._sent) > MAX_UNCONFIRMED_REPORTS:
            del self._sent[min(self._sent)]
        return self.last_report

    def confirm(self, seq: int, lease_ms: int, cursor: int) -> None:
        """Take the owner's confirmation of a report."""
        self.cursor = max(self.cursor, cursor)
        sent_at = self._sent.get(seq)
        if sent_at is not None:
            self.expires_at = max(self.expires_at, sent_at + lease_ms / 1000.0)

    def infer_unconfirmed_s(self, now: float) -> float:
        """Return the age of the newest confirmation that is missing."""
        return now - min(self._sent.values(), default=now)

    def drop_confirmed_reports(self, seq: int) -> None:
        """Forget the reports up to a confirmed one."""
        for number in [n for n in self._sent if n < seq]:
            del self._sent[number]

    def deadline_ms(self, now: float) -> int | None:
        """Return the end of the lease on the runner's clock, if it holds.

        The clock was read no later than it was received, so the deadline is
        never later than `until` but for the runner's slower clock.
        """
        if self._clock is None or now >= self.expires_at:
            return None
        clock_ms, received_at = self._clock
        return clock_ms + int((self.expires_at - received_at) * 1000.0)

    def list_unconfirmed_starts(self, queried_at: float) -> tuple[str, ...]:
        """Return the starts that a list asked for then may not show."""
        return tuple(
            name
            for name, order in self.start_orders.items()
            if order.answered_at is None or order.answered_at >= queried_at
        )

    def drop_confirmed_starts(self, queried_at: float) -> None:
        """Forget starts that a list asked for then has to show."""
        for name in list(self.start_orders):
            answered = self.start_orders[name].answered_at
            if answered is not None and answered < queried_at:
                del self.start_orders[name]

"""Track the lease of a runner and the start orders under it.

The agent's control task records here the reports that it sends, the owner's
confirmations and the runner's answers. A confirmation grants the lease for a
time that counts from the sending of the report. The lease is converted into a
deadline on the runner's clock, which the runner's answers give.
"""

import dataclasses

# Maximum number of reports whose confirmation is awaited.
MAX_UNCONFIRMED_REPORTS = 64
# Largest ratio of the clock rate of an owner or agent to a runner's.
CLOCK_FACTOR = 1.03
# Time that is added to a lease for messages in flight, in seconds.
LEASE_MARGIN_S = 0.3


def infer_expiry(now: float, lease_s: float) -> float:
    """Return the time by which a lease granted now has expired for sure."""
    return now + lease_s * CLOCK_FACTOR + LEASE_MARGIN_S


@dataclasses.dataclass(slots=True)
class StartOrder:
    """Store an order to start that the runner may still carry out."""

    # Number of the order in its lease.
    number: int
    # Attempt to start.
    attempt: int
    # Time at which the runner answered; none before that.
    answered_at: float | None = None
    # Whether a stop has withdrawn it.
    withdrawn: bool = False


class RunnerLease:
    """Store one lease and the start orders under it."""

    def __init__(self, expired_by: float = 0.0) -> None:
        # Token of the lease; 0 for none.
        self.token = 0
        # Number of the last report.
        self.last_report = 0
        # Time until which the owner's confirmations extend the lease.
        self.expires_at = 0.0
        # Number of the last ended run that is durable at the owner, so that
        # the runner may drop it.
        self.cursor = 0
        # Number of the last start order.
        self.last_order = 0
        # Start orders by task.
        self.start_orders: dict[str, StartOrder] = {}
        # Time of sending of each unconfirmed report, by its number.
        self._sent: dict[int, float] = {}
        # The runner's clock in milliseconds, and the time of receipt.
        self._clock: tuple[int, float] | None = None
        # Time by which each deadline that the runner may have been given has
        # passed for sure, under this lease or an older one.
        self._expired_by = expired_by

    def start(self, token: int) -> None:
        """Start a new lease and drop the older one; token 0 is no lease."""
        self.token = token
        self.last_report = self.cursor = self.last_order = 0
        self.expires_at = 0.0
        self.start_orders.clear()
        self._sent.clear()

    def set_clock(self, clock_ms: int, received_at: float) -> None:
        """Set the runner's clock from its answer."""
        self._clock = (clock_ms, received_at)

    def forget_clock(self) -> None:
        """Drop the clock of an older incarnation of the runner."""
        self._clock = None

    def next_report(self, now: float) -> int:
        """Return the number of a report that is sent now."""
        self.last_report += 1
        self._sent[self.last_report] = now
        if len(self._sent) > MAX_UNCONFIRMED_REPORTS:
            del self._sent[min(self._sent)]
        return self.last_report

    def confirm(self, seq: int, lease_ms: int, cursor: int) -> None:
        """Extend the lease by the owner's confirmation of a report."""
        self.cursor = max(self.cursor, cursor)
        sent_at = self._sent.get(seq)
        if sent_at is not None:
            self.expires_at = max(self.expires_at, sent_at + lease_ms / 1000.0)

    def infer_unconfirmed_s(self, now: float) -> float:
        """Return the age of the oldest report that is not confirmed."""
        return now - min(self._sent.values(), default=now)

    def drop_confirmed_reports(self, seq: int) -> None:
        """Drop the reports with a number below `seq`."""
        for number in [n for n in self._sent if n < seq]:
            del self._sent[number]

    def deadline_ms(self, now: float) -> int | None:
        """Return the end of the lease on the runner's clock; none if expired.

        The runner read its clock no later than the answer was received, so
        the deadline is never later than `expires_at`, except where the
        runner's clock is slow.
        """
        if self._clock is None or now >= self.expires_at:
            return None
        clock_ms, received_at = self._clock
        left_s = self.expires_at - received_at
        self._expired_by = max(
            self._expired_by, infer_expiry(received_at, left_s)
        )
        return clock_ms + int(left_s * 1000.0)

    def has_expired(self, now: float) -> bool:
        """Return whether no deadline that the runner was given is left."""
        return now >= self._expired_by

    def list_unconfirmed_starts(self, queried_at: float) -> tuple[str, ...]:
        """Return the tasks whose start a list queried then may not show."""
        return tuple(
            name
            for name, order in self.start_orders.items()
            if order.answered_at is None or order.answered_at >= queried_at
        )

    def drop_confirmed_starts(self, queried_at: float) -> None:
        """Drop the orders whose start a list queried then must show."""
        for name in list(self.start_orders):
            answered = self.start_orders[name].answered_at
            if answered is not None and answered < queried_at:
                del self.start_orders[name]

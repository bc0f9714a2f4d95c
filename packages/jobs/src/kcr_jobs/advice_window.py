"""Bound the requests to the adviser that wait for a reply.

The adviser handles the requests of one instance one at a time, in turn, and
also those that their sender has given up. The more of them wait, the later
each reply comes; beyond the validity of a ticket no reply can be used any
more. The planner therefore sends only what keeps the adviser busy. What waits
behind that waits in the planner, in the order of the jobs.
"""

import dataclasses

# Maximum number of unanswered requests; the adviser queues 32.
MAX_UNANSWERED = 8
# Time between a reply of the adviser and the arrival of the next request, in
# seconds: both ways of a message between regions and an append to the log. So
# much work waits at the adviser, so that it does not become idle meanwhile.
TURNAROUND_S = 0.1
# Timeout of a reply beyond the time that the adviser needs, in seconds.
REPLY_TIMEOUT_S = 5.0
# Pause after a request that failed, in seconds; it doubles with each failure
# up to the maximum, and so does the timeout.
RETRY_DELAY_S = 0.5
MAX_RETRY_DELAY_S = 4.0
MAX_TIMEOUT_S = 40.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Request:
    # Time at which it was sent.
    sent_at: float
    # Time that the adviser needs for it, in seconds.
    handling_s: float


class AdviceWindow:
    """Decide when the next request to the adviser may be sent."""

    def __init__(self) -> None:
        # Unanswered requests by number, in the order of sending.
        self._requests: dict[int, _Request] = {}
        self._last_number = 0
        # Number of the newest request with a reply, and the earliest time at
        # which the adviser can have completed it.
        self._answered_number = 0
        self._answered_at = 0.0
        # Number of the newest request that failed, and of the requests that
        # failed since the last reply.
        self._failed_number = 0
        self._failures = 0
        # Time before which no request is sent.
        self._not_before = 0.0
        # Whether only one request is sent at a time.
        self.congested = False

    @property
    def unanswered(self) -> int:
        """Return the number of unanswered requests."""
        return len(self._requests)

    def may_send(self, now: float) -> bool:
        """Return whether a request may be sent."""
        if now < self._not_before:
            return False
        if not self._requests:
            return True
        if self.congested or len(self._requests) >= MAX_UNANSWERED:
            return False
        # The reply to the first request may be on its way already.
        waiting = list(self._requests.values())[1:]
        return sum(req.handling_s for req in waiting) < TURNAROUND_S

    def send(self, handling_s: float, now: float) -> int:
        """Record a request; return its number."""
        self._last_number += 1
        self._requests[self._last_number] = _Request(now, handling_s)
        return self._last_number

    def infer_timeout(self) -> float:
        """Return how long to wait for the reply to the last request."""
        handling_s = sum(req.handling_s for req in self._requests.values())
        return min(
            MAX_TIMEOUT_S,
            REPLY_TIMEOUT_S * 2.0 ** min(self._failures, 8) + handling_s,
        )

    def record_reply(self, number: int, now: float) -> float:
        """Record a reply; return the earliest time of its completion.

        The adviser can't have completed a request before it has had the time
        for it, after it was sent and after the request before it.
        """
        req = self._requests.pop(number, None)
        if req is None:
            return now
        if number > self._failed_number:
            # The failed requests have left the adviser.
            self._failures, self._not_before = 0, 0.0
            self.congested = False
        began_at = req.sent_at
        if number > self._answered_number:
            began_at = max(began_at, self._answered_at)
        completed_at = min(now, began_at + req.handling_s)
        if number > self._answered_number:
            self._answered_number = number
            self._answered_at = completed_at
        return completed_at

    def record_late_reply(self) -> None:
        """Send one request at a time, as a reply came too late."""
        self.congested = True

    def record_failure(
        self, number: int, overloaded: bool, now: float
    ) -> None:
        """Record a request that failed.

        After one without an answer, or one that the adviser refused for want
        of room, requests are sent one at a time until there is a reply. The
        requests before it have then left the adviser.
        """
        self._requests.pop(number, None)
        if not overloaded:
            return
        delay_s = RETRY_DELAY_S * 2.0 ** min(self._failures, 8)
        self._not_before = now + min(MAX_RETRY_DELAY_S, delay_s)
        self._failed_number = max(number, self._failed_number)
        self._failures += 1
        self.congested = True

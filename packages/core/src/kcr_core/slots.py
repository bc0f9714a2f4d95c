"""Decide which attempts run in the slots of one runner.

The admission task of the sidecar passes in new attempts, ends of attempts and
the runner's lists of its calls, and carries out the decisions: run, queue or
refuse. The sidecar is the only one to decide about the slots. An attempt waits
for a slot until its deadline at the latest. A refused attempt never runs.
"""

import collections
import dataclasses

# Ended attempts that are kept, so that a repeated message does not run them
# again.
MAX_ENDED = 4096
# Reason of a refusal for lack of connections; an entry then sends the request
# to another endpoint.
FULL = 'endpoint is full'


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """Request that the attempt is run now."""

    # Id of the attempt.
    attempt: str


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Represent a refusal, which is final."""

    # Id of the attempt.
    attempt: str
    # Why it is refused.
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Queued:
    """Represent that the attempt waits for a slot."""

    # Id of the attempt.
    attempt: str


@dataclasses.dataclass(frozen=True, slots=True)
class Repeated:
    """Represent a repeated attempt that waits, runs or ran.

    It gets no second answer: the entry would take a refusal as proof that the
    attempt never ran.
    """

    # Id of the attempt.
    attempt: str


Decision = Run | Refuse | Queued | Repeated


class Slots:
    """Own the slots and connections of one runner."""

    def __init__(self, slots: int, connections: int) -> None:
        # Maximum number of attempts that run at the same time.
        self.slots = slots
        # Maximum number of attempts that run or wait at the same time.
        self.connections = connections
        # Calls that the runner still serves although no attempt waits for
        # their answer: those from an earlier incarnation of the sidecar and
        # those that were abandoned. They occupy slots.
        self.orphaned: set[str] = set()
        # Whether new attempts are refused.
        self.draining = False
        # Running attempts.
        self.active: set[str] = set()
        # Waiting attempts with their deadlines, oldest first.
        self.waiting: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        # Numbers of the last query for the runner's calls and of the last one
        # that was answered.
        self._last_query = 0
        self._last_answered = 0
        # Number of the last query before each call was abandoned. The reply
        # to that query or to an earlier one may not list the call.
        self._abandoned: dict[str, int] = {}
        # Ended attempts, oldest first, and whether each was refused.
        self._ended: collections.OrderedDict[str, bool] = (
            collections.OrderedDict()
        )

    def used(self) -> int:
        """Return the number of slots in use."""
        return len(self.active) + len(self.orphaned)

    def admit(
        self,
        attempt: str,
        deadline: float,
        now: float,
        service_s: float = 0.0,
    ) -> Decision:
        """Run, queue or refuse a new attempt.

        `service_s` is the expected run time. It is a reason to refuse only an
        attempt that would have to wait: with a free slot the attempt always
        runs, so that the run time is measured again.
        """
        if self._was_refused(attempt):
            return Refuse(attempt, 'attempt was refused before')
        if self._is_known(attempt):
            return Repeated(attempt)
        if self.draining:
            return self._refuse(attempt, 'endpoint is leaving')
        if now >= deadline:
            return self._refuse(attempt, 'deadline passed')
        if self.used() < self.slots and not self.waiting:
            return self._run(attempt)
        if self.used() + len(self.waiting) >= self.connections:
            return self._refuse(attempt, FULL)
        wait_s = service_s * (len(self.waiting) + 1) / max(1, self.slots)
        if now + wait_s + service_s > deadline:
            return self._refuse(attempt, 'deadline cannot be met')
        self.waiting[attempt] = deadline
        return Queued(attempt)

    def finish(self, attempt: str, now: float) -> list[Decision]:
        """Free the slot of an attempt and run waiting ones."""
        assert attempt in self.active, 'finished attempt was not running'
        self.active.remove(attempt)
        self._record_ended(attempt, refused=False)
        return self.advance(now)

    def abandon(self, attempt: str, now: float) -> list[Decision]:
        """End an attempt whose call may still run; its slot stays in use."""
        self.orphaned.add(attempt)
        self._abandoned[attempt] = self._last_query
        return self.finish(attempt, now)

    def next_query(self) -> int:
        """Return the number of a new query for the runner's calls."""
        self._last_query += 1
        return self._last_query

    def reconcile(
        self, served: set[str], query: int, now: float
    ) -> list[Decision]:
        """Free the slots of orphaned calls that the runner does not list.

        `served` is the reply to `query` and was made after that query. A call
        that was abandoned after the query keeps its slot until a later reply.
        """
        if query <= self._last_answered:
            return []
        self._last_answered = query
        self._abandoned = {
            attempt: last_query
            for attempt, last_query in self._abandoned.items()
            if last_query >= query
        }
        self.orphaned = served - self.active | set(self._abandoned)
        return self.advance(now)

    def advance(self, now: float) -> list[Decision]:
        """Run waiting attempts in free slots and refuse expired ones."""
        decisions: list[Decision] = []
        expired = [
            attempt
            for attempt, deadline in self.waiting.items()
            if now >= deadline
        ]
        for attempt in expired:
            del self.waiting[attempt]
            decisions.append(
                self._refuse(attempt, 'deadline passed in the queue')
            )
        while self.waiting and self.used() < self.slots:
            attempt, _ = self.waiting.popitem(last=False)
            decisions.append(self._run(attempt))
        return decisions

    def drain(self) -> list[Decision]:
        """Refuse all new and waiting attempts."""
        self.draining = True
        waiting = list(self.waiting)
        self.waiting.clear()
        return [
            self._refuse(attempt, 'endpoint is leaving') for attempt in waiting
        ]

    def _is_known(self, attempt: str) -> bool:
        return (
            attempt in self.active
            or attempt in self.waiting
            or attempt in self._ended
        )

    def _was_refused(self, attempt: str) -> bool:
        return self._ended.get(attempt, False)

    def _run(self, attempt: str) -> Run:
        self.active.add(attempt)
        assert self.used() <= self.slots, 'slots are overcommitted'
        return Run(attempt)

    def _refuse(self, attempt: str, reason: str) -> Refuse:
        self._record_ended(attempt, refused=True)
        return Refuse(attempt, reason)

    def _record_ended(self, attempt: str, refused: bool) -> None:
        self._ended[attempt] = refused
        if len(self._ended) > MAX_ENDED:
            self._ended.popitem(last=False)

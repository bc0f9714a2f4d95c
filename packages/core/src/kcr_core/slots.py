"""Admit attempts into the slots of one runner; the sidecar is the authority.

An attempt waits at most until its deadline for a slot; what is refused never
runs.
"""

import collections
import dataclasses

# Ended attempts that are remembered, so that a repeat is not run again.
REMEMBERED = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """Ask for the attempt to be run now."""

    # Attempt to run.
    attempt: str


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """State that the attempt is refused for good."""

    # Attempt that is refused.
    attempt: str
    # Why.
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Queued:
    """State that the attempt waits for a slot."""

    # Attempt that waits.
    attempt: str


@dataclasses.dataclass(frozen=True, slots=True)
class Repeated:
    """State that the attempt waits, runs or ran; it gets no second answer.

    A refusal would be taken for a proof that the attempt never ran.
    """

    # Attempt that was received again.
    attempt: str


Decision = Run | Refuse | Queued | Repeated


class Slots:
    """Own the slots and connections of one runner."""

    def __init__(self, slots: int, connections: int) -> None:
        # Requests that run at the same time.
        self.slots = slots
        # Requests that run or wait at the same time.
        self.connections = connections
        # Calls that the runner still serves and nobody waits for: those of
        # an older incarnation and those that ended without an answer.
        self.orphaned: set[str] = set()
        # Whether new attempts are refused.
        self.draining = False
        # Attempts that run.
        self.active: set[str] = set()
        # Waiting attempts with their deadlines, oldest first.
        self.waiting: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        # Questions to the runner for its calls, and the newest one answered.
        self._asked = 0
        self._answered = 0
        # Number of the last question before each call was abandoned. An
        # answer to that question or an older one may not list the call.
        self._abandoned: dict[str, int] = {}
        # Ended attempts and whether each was refused.
        self._ended: collections.OrderedDict[str, bool] = (
            collections.OrderedDict()
        )

    def used(self) -> int:
        """Return the slots in use."""
        return len(self.active) + len(self.orphaned)

    def admit(
        self,
        attempt: str,
        deadline: float,
        now: float,
        service_s: float = 0.0,
    ) -> Decision:
        """Decide about a new attempt; `service_s` is a usual run time.

        Only an attempt that would wait is refused for its expected time: a
        free slot always runs it, so that the run time is measured again.
        """
        if self._refused(attempt):
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
            return self._refuse(attempt, 'endpoint is full')
        wait_s = service_s * (len(self.waiting) + 1) / max(1, self.slots)
        if now + wait_s + service_s > deadline:
            return self._refuse(attempt, 'deadline cannot be met')
        self.waiting[attempt] = deadline
        return Queued(attempt)

    def finish(self, attempt: str, now: float) -> list[Decision]:
        """Free the slot of an attempt and admit waiting ones."""
        assert attempt in self.active, 'finished attempt was not running'
        self.active.remove(attempt)
        self._remember(attempt, refused=False)
        return self.advance(now)

    def abandon(self, attempt: str, now: float) -> list[Decision]:
        """Keep the slot of an attempt that may still run at the runner."""
        self.orphaned.add(attempt)
        self._abandoned[attempt] = self._asked
        return self.finish(attempt, now)

    def next_query(self) -> int:
        """Return the number of a new question for the runner's calls."""
        self._asked += 1
        return self._asked

    def reconcile(
        self, served: set[str], query: int, now: float
    ) -> list[Decision]:
        """Take the runner's list of calls; free slots that it has ended.

        The list was made after the question was asked; calls that were
        abandoned after that keep their slots until a later answer.
        """
        if query <= self._answered:
            return []
        self._answered = query
        self._abandoned = {
            attempt: asked
            for attempt, asked in self._abandoned.items()
            if asked >= query
        }
        self.orphaned = served - self.active | set(self._abandoned)
        return self.advance(now)

    def advance(self, now: float) -> list[Decision]:
        """Run waiting attempts that fit; refuse those past the deadline."""
        decisions: list[Decision] = []
        late = [a for a, deadline in self.waiting.items() if now >= deadline]
        for attempt in late:
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
        return [self._refuse(a, 'endpoint is leaving') for a in waiting]

    def _is_known(self, attempt: str) -> bool:
        return (
            attempt in self.active
            or attempt in self.waiting
            or attempt in self._ended
        )

    def _refused(self, attempt: str) -> bool:
        return self._ended.get(attempt, False)

    def _run(self, attempt: str) -> Run:
        self.active.add(attempt)
        assert self.used() <= self.slots, 'slots are overcommitted'
        return Run(attempt)

    def _refuse(self, attempt: str, reason: str) -> Refuse:
        self._remember(attempt, refused=True)
        return Refuse(attempt, reason)

    def _remember(self, attempt: str, refused: bool) -> None:
        self._ended[attempt] = refused
        if len(self._ended) > REMEMBERED:
            self._ended.popitem(last=False)

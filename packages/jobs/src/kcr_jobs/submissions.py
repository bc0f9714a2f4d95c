"""Decide whether a submission may be refused, by what was sent of it.

A scheduler forwards a submission to the owner of the jobs, and again if the
owner changes or does not reply. Each message is a copy with a token of its
own. The owner's refusal of one copy tells nothing of a copy that it has not
read yet, or that another owner may accept, but a refused job must never run.
"""

import collections
import dataclasses

# Time for which a copy is remembered, in seconds; callers retry within some
# seconds.
RETENTION_S = 60.0
# Maximum number of copies that are remembered.
MAX_COPIES = 20_000


@dataclasses.dataclass(slots=True)
class Copy:
    """Store one message with a submission."""

    # Job that it submits.
    job_id: str
    # Session over which it was sent, or address of the local owner; empty
    # once the connection of the session has closed.
    route: str
    # Number in the order of sending.
    number: int
    sent_at: float
    accepted: bool = False


class Submissions:
    """Store the copies that have been accepted or that may still be."""

    def __init__(self) -> None:
        # Copies by token; the oldest first.
        self._copies: collections.OrderedDict[str, Copy] = (
            collections.OrderedDict()
        )
        # Tokens by job.
        self._tokens: dict[str, set[str]] = {}
        self._count = 0

    def record_sent(
        self, token: str, job_id: str, route: str, now: float
    ) -> None:
        """Record that a copy was sent."""
        self._forget(now)
        self._count += 1
        self._copies[token] = Copy(job_id, route, self._count, now)
        self._tokens.setdefault(job_id, set()).add(token)

    def record_accepted(self, token: str) -> None:
        """Record that the job of a copy is durable."""
        copy = self._copies.get(token)
        if copy is not None:
            copy.accepted = True

    def record_refused(self, token: str) -> None:
        """Record that the owner has refused a copy.

        The owner reads a connection in order, and had looked for the job. So
        it had accepted none of the copies before it on that connection.
        """
        refused = self._copies.get(token)
        if refused is None:
            return
        for other in list(self._tokens[refused.job_id]):
            copy = self._copies[other]
            is_before = (
                refused.route
                and copy.route == refused.route
                and copy.number < refused.number
            )
            if (other == token or is_before) and not copy.accepted:
                self._drop(other)

    def record_returned(self, token: str) -> None:
        """Record that a copy came to a process that does not own the jobs."""
        if token in self._copies:
            self._drop(token)

    def record_closed(self, route: str) -> None:
        """Record that the connection of a session has closed.

        The session may connect again under the same address. The owner may
        read what was sent before after what is sent then.
        """
        for copy in self._copies.values():
            if copy.route == route:
                copy.route = ''

    def is_accepted(self, job_id: str) -> bool:
        """Return whether a copy of a job is known to be accepted."""
        return any(
            self._copies[token].accepted
            for token in self._tokens.get(job_id, ())
        )

    def may_be_accepted(self, job_id: str, now: float) -> bool:
        """Return whether a copy of a job may have been accepted, or be yet."""
        self._forget(now)
        return job_id in self._tokens

    def is_open(self, tokens: set[str], route: str) -> bool:
        """Return whether one of some copies awaits its answer on a route."""
        return any(
            token in self._copies and self._copies[token].route == route
            for token in tokens
        )

    def _forget(self, now: float) -> None:
        while self._copies:
            token, copy = next(iter(self._copies.items()))
            expired = now - copy.sent_at >= RETENTION_S
            if not expired and len(self._copies) < MAX_COPIES:
                return
            self._drop(token)

    def _drop(self, token: str) -> None:
        copy = self._copies.pop(token)
        tokens = self._tokens[copy.job_id]
        tokens.discard(token)
        if not tokens:
            del self._tokens[copy.job_id]

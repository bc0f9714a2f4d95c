"""Decide when cancels that the owner of the jobs has not confirmed are sent.

A caller whose cancel was refused for want of an owner, or unanswered, may not
try again. Its job would run to its end, so the scheduler that received the
cancel sends it until the owner has confirmed it.
"""

import dataclasses

# Time for which a cancel is kept, in seconds; an owner is found within some
# seconds once the store answers.
RETENTION_S = 60.0
# Time without a confirmation before a cancel is sent again, in seconds.
RESEND_AFTER_S = 1.0
# Maximum number of cancels that are kept; one takes 500 bytes. Further ones
# are not: their callers know that they are not confirmed.
MAX_CANCELS = 2000
# Maximum number of cancels that are sent at a time, so that a new owner is not
# flooded.
MAX_BATCH = 100


@dataclasses.dataclass(slots=True)
class Cancel:
    """Store a cancel that is not confirmed."""

    # Job that it cancels, and the queue of the job.
    job_id: str
    queue: str
    received_at: float
    # Time of the last message with it; none before that.
    sent_at: float | None = None


class UnconfirmedCancels:
    """Store the cancels that the owner has still to confirm."""

    def __init__(self) -> None:
        # By job; the oldest first.
        self._cancels: dict[str, Cancel] = {}

    def __len__(self) -> int:
        """Return the number of cancels that are kept."""
        return len(self._cancels)

    def add(self, job_id: str, queue: str, now: float) -> bool:
        """Keep a cancel; return whether there was room for it."""
        self._forget(now)
        if job_id in self._cancels:
            return True
        if len(self._cancels) >= MAX_CANCELS:
            return False
        self._cancels[job_id] = Cancel(job_id, queue, now)
        return True

    def confirm(self, job_id: str) -> bool:
        """Drop a confirmed cancel; return whether it was kept."""
        return self._cancels.pop(job_id, None) is not None

    def choose_due(self, now: float) -> list[Cancel]:
        """Return the cancels to send now, and record that they are sent."""
        self._forget(now)
        due = [
            cancel
            for cancel in self._cancels.values()
            if cancel.sent_at is None or now - cancel.sent_at >= RESEND_AFTER_S
        ][:MAX_BATCH]
        for cancel in due:
            cancel.sent_at = now
        return due

    def _forget(self, now: float) -> None:
        while self._cancels:
            job_id, cancel = next(iter(self._cancels.items()))
            if now - cancel.received_at < RETENTION_S:
                return
            del self._cancels[job_id]

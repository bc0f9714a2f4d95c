"""Decide when cancels that the owner of the jobs has not confirmed are sent.

A caller whose cancel was refused for want of an owner, or unanswered, may not
try again. Its job would run to its end, so the scheduler that received the
cancel sends it until the owner has confirmed it.
"""

import dataclasses

# Time for which a cancel is kept, in seconds; longer than the store or all
# schedulers are away.
RETENTION_S = 600.0
# Shortest and longest time without a confirmation before a cancel is sent
# again, in seconds; it doubles, as an owner that is late gets each copy.
MIN_RESEND_S = 1.0
MAX_RESEND_S = 8.0
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
    # Base URL of the call, as in messages.JobCall.
    base_url: str
    # Time of the caller's last try.
    received_at: float
    # Time from which it is sent, and the time after that until the next copy.
    due_at: float
    resend_s: float = MIN_RESEND_S


class UnconfirmedCancels:
    """Store the cancels that the owner has still to confirm."""

    def __init__(self) -> None:
        # By job and base URL; the one that was sent longest ago first.
        self._cancels: dict[tuple[str, str], Cancel] = {}

    def __len__(self) -> int:
        """Return the number of cancels that are kept."""
        return len(self._cancels)

    def add(
        self, job_id: str, queue: str, now: float, base_url: str = ''
    ) -> bool:
        """Keep a cancel; return whether there was room for it."""
        known = self._cancels.get((job_id, base_url))
        if known is not None:
            known.received_at = now
            return True
        if len(self._cancels) >= MAX_CANCELS:
            return False
        self._cancels[job_id, base_url] = Cancel(
            job_id, queue, base_url, now, now
        )
        return True

    def confirm(self, job_id: str, base_url: str = '') -> bool:
        """Drop a confirmed cancel; return whether it was kept."""
        return self._cancels.pop((job_id, base_url), None) is not None

    def make_due(self, now: float) -> None:
        """Send all cancels anew, as the owner has changed."""
        for cancel in self._cancels.values():
            cancel.due_at, cancel.resend_s = now, MIN_RESEND_S

    def choose_due(self, now: float) -> list[Cancel]:
        """Return the cancels to send now, and record that they are sent."""
        due: list[Cancel] = []
        for key, cancel in list(self._cancels.items()):
            if now - cancel.received_at >= RETENTION_S:
                del self._cancels[key]
            elif now >= cancel.due_at and len(due) < MAX_BATCH:
                due.append(cancel)
                cancel.due_at = now + cancel.resend_s
                cancel.resend_s = min(MAX_RESEND_S, 2 * cancel.resend_s)
                # The others go first the next time.
                self._cancels[key] = self._cancels.pop(key)
        return due

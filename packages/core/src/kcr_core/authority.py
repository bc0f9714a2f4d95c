"""Decide whether a sidecar has the authority to run tasks.

Entries renew the authority by acknowledging heartbeats. The sidecar's
announcer reports connections, refused connections and acknowledgements here
and forwards the time at which the authority expires. All times are on the
sidecar's monotonic clock.
"""

import dataclasses

from kcr_core import types

# Maximum number of entry processes stored; the sidecar dials no further
# addresses.
MAX_ENTRIES = 64
# An expiry time before any other time.
NEVER = float('-inf')


@dataclasses.dataclass(slots=True)
class _Entry:
    # Incarnation of the entry process.
    incarnation: str
    # Time from which its last renewal counts.
    renewed_at: float = NEVER


class Authority:
    """Store the renewals that the sidecar received from entries."""

    def __init__(self, settings: types.ControlSettings) -> None:
        # Settings of the document in force.
        self.settings = settings
        # Whether the log contains a fence for this incarnation.
        self.fenced = False
        # Time from which the last renewal with a fresh view of the log
        # counts.
        self.fresh_renewed_at = NEVER
        self._entries: dict[str, _Entry] = {}

    def add_entry(self, target: str, incarnation: str) -> bool:
        """Add the process at an address; return False at MAX_ENTRIES.

        A new process at an address proves that the previous one has ended.
        Until its first renewal, the new process counts as if it had renewed
        at the oldest renewal of the other entries, so that its arrival
        neither ends nor extends the authority.
        """
        previous = self._entries.get(target)
        if previous is not None and previous.incarnation == incarnation:
            return True
        if previous is None and len(self._entries) >= MAX_ENTRIES:
            return False
        others = [
            e.renewed_at for t, e in self._entries.items() if t != target
        ]
        if previous is not None and not others:
            others = [previous.renewed_at]
        self._entries[target] = _Entry(incarnation, min(others, default=NEVER))
        return True

    def remove_entry(self, target: str) -> None:
        """Remove the process at an address that refuses connections."""
        self._entries.pop(target, None)

    def renew(
        self,
        target: str,
        incarnation: str,
        sent_at: float,
        log_age_ms: int,
        fenced: bool,
    ) -> None:
        """Record the acknowledgement of a heartbeat sent at `sent_at`.

        The renewal counts from the time of the entry's view of the log; a
        `log_age_ms` of -1 says that this view is not fresh.
        """
        if fenced:
            self.fenced = True
            return
        counts_from = sent_at - max(0, log_age_ms) / 1000.0
        if log_age_ms >= 0:
            self.fresh_renewed_at = max(self.fresh_renewed_at, counts_from)
        entry = self._entries.get(target)
        if entry is not None and entry.incarnation == incarnation:
            entry.renewed_at = max(entry.renewed_at, counts_from)

    def expires_at(self) -> float:
        """Return the time at which the authority expires without renewal.

        It lasts for `isolation_s` after the last renewal with a fresh view of
        the log, or, in an outage of the log, for `isolation_s` after the
        oldest renewal of all known entries, but at most for `outage_s`. An
        incarnation without any renewal with a fresh view has no authority.
        """
        if self.fenced:
            return NEVER
        fresh_expiry = self.fresh_renewed_at + self.settings.isolation_s
        if not self._entries:
            return fresh_expiry
        oldest = min(entry.renewed_at for entry in self._entries.values())
        outage_expiry = min(
            oldest + self.settings.isolation_s,
            self.fresh_renewed_at + self.settings.outage_s,
        )
        return max(fresh_expiry, outage_expiry)

    def is_authorized(self, now: float) -> bool:
        """Return whether tasks may run at `now`."""
        return now < self.expires_at()

    def entry_addresses(self) -> tuple[str, ...]:
        """Return the addresses of the known entry processes."""
        return tuple(sorted(self._entries))

"""Decide whether a sidecar may run tasks.

Entries confirm the authority by answering heartbeats. All times are on the
monotonic clock of the sidecar.
"""

import dataclasses

from kcr_core import types

# Entry processes that are remembered; the sidecar dials no more addresses.
MAX_ENTRIES = 64
# An `until` that lies before every time.
NEVER = float('-inf')


@dataclasses.dataclass(slots=True)
class _Entry:
    # Incarnation of the entry process.
    incarnation: str
    # Time from which its last vouch counts.
    renewed_at: float = NEVER


class Authority:
    """Hold the vouches that the sidecar got."""

    def __init__(self, settings: types.ControlSettings) -> None:
        # Settings of the document in force.
        self.settings = settings
        # Whether the log holds a fence for this incarnation.
        self.fenced = False
        # Time from which the last vouch with a fresh log view counts.
        self.fresh_renewed_at = NEVER
        self._entries: dict[str, _Entry] = {}

    def add_entry(self, target: str, incarnation: str) -> bool:
        """Note the process at an address; return False at the bound.

        A new process at an address proves that the older one there is dead.
        Until its first vouch the new one counts as vouched when the least of
        the others was: its arrival neither ends nor prolongs the authority.
        """
        known = self._entries.get(target)
        if known is not None and known.incarnation == incarnation:
            return True
        if known is None and len(self._entries) >= MAX_ENTRIES:
            return False
        others = [
            e.renewed_at for t, e in self._entries.items() if t != target
        ]
        if known is not None and not others:
            others = [known.renewed_at]
        self._entries[target] = _Entry(incarnation, min(others, default=NEVER))
        return True

    def remove_entry(self, target: str) -> None:
        """Drop the process at an address that refuses connections."""
        self._entries.pop(target, None)

    def renew(
        self,
        target: str,
        incarnation: str,
        sent_at: float,
        log_age_ms: int,
        fenced: bool,
    ) -> None:
        """Take the answer to the heartbeat that was sent at `sent_at`."""
        if fenced:
            self.fenced = True
            return
        counted = sent_at - max(0, log_age_ms) / 1000.0
        if log_age_ms >= 0:
            self.fresh_renewed_at = max(self.fresh_renewed_at, counted)
        entry = self._entries.get(target)
        if entry is not None and entry.incarnation == incarnation:
            entry.renewed_at = max(entry.renewed_at, counted)

    def expires_at(self) -> float:
        """Return the time at which the authority ends without new vouches.

        An incarnation that never had a vouch with a fresh view has no
        outage limit to count from, and so no authority.
        """
        if self.fenced:
            return NEVER
        fresh = self.fresh_renewed_at + self.settings.isolation_s
        if not self._entries:
            return fresh
        oldest = min(entry.renewed_at for entry in self._entries.values())
        everyone = min(
            oldest + self.settings.isolation_s,
            self.fresh_renewed_at + self.settings.outage_s,
        )
        return max(fresh, everyone)

    def is_authorized(self, now: float) -> bool:
        """Tell whether tasks may run at `now`."""
        return now < self.expires_at()

    def entry_addresses(self) -> tuple[str, ...]:
        """Return the addresses of the known entry processes."""
        return tuple(sorted(self._entries))

"""Decide from which peer a scheduler requests a newer configuration.

Each scheduler reads the configuration from the store. A peer sends it only to
one that the store does not serve: with a version of 40 KB four times a second,
copies from every peer would fill a link of 2 Mbit/s.
"""

import dataclasses

# Time that the own read of the store has before a peer is asked, in seconds;
# a read that waits for a record returns after 0.7 s at the latest.
STORE_READ_S = 1.0
# Age of the store's last answer up to which the own read is waited for, in
# seconds.
MAX_STORE_AGE_S = 1.2
# Time without an answer after which the next peer is asked, in seconds.
REQUEST_TIMEOUT_S = 1.0


@dataclasses.dataclass(slots=True)
class ConfigRelay:
    """Store which versions the peers have, and the request under way."""

    # Version of the own configuration; 0 for none.
    version: int = 0
    # Version that each peer has announced, by its session.
    announced: dict[str, int] = dataclasses.field(default_factory=dict)
    # Time since which a newer version is known; none without one.
    _newer_since: float | None = None
    # Session that was asked last, and when.
    _asked: str = ''
    _asked_at: float | None = None

    def record_pulse(self, session: str, version: int, now: float) -> None:
        """Store the version that a peer announces."""
        self.announced[session] = version
        if version > self.version and self._newer_since is None:
            self._newer_since = now

    def record_closed(self, session: str) -> None:
        """Forget a peer whose session has closed."""
        self.announced.pop(session, None)
        if session == self._asked:
            self._asked_at = None

    def record_own(self, version: int, now: float) -> None:
        """Store the version that has come into force."""
        self.version = version
        newer = any(other > version for other in self.announced.values())
        self._newer_since = now if newer else None
        self._asked_at = None

    def choose_peer(self, now: float, store_age_s: float | None) -> str:
        """Return the session of the peer to ask now; empty for none."""
        if self._newer_since is None:
            return ''
        # A process that has just started reads the store first as well: the
        # peer that it sees first may have an older version.
        reads_store = store_age_s is None or store_age_s < MAX_STORE_AGE_S
        if reads_store and now - self._newer_since < STORE_READ_S:
            return ''
        if (
            self._asked_at is not None
            and now - self._asked_at < REQUEST_TIMEOUT_S
        ):
            return ''
        newest = max(self.announced.values(), default=0)
        if newest <= self.version:
            return ''
        holders = sorted(s for s, v in self.announced.items() if v == newest)
        # A peer that did not answer is asked again only if it is the only one.
        later = [s for s in holders if s > self._asked]
        self._asked = (later or holders)[0]
        self._asked_at = now
        return self._asked

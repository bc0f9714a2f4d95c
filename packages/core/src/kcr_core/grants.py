"""Distribute the free slots of one runner as grants to the entries.

Entries with a late-binding policy send an attempt only when they have a grant
for a slot. The admission task of the sidecar reports each request and each
start and end of an attempt, and redistributes the free slots periodically.
Free grants and running attempts together never exceed the slots. The sidecar
remains the authority: it admits an attempt without a grant if a slot is free,
and then withdraws a free grant.
"""

# Weight of the previous demand at each new distribution.
DEMAND_WEIGHT = 0.5
# Maximum number of entries with grants; others get none until one of these is
# removed.
MAX_ENTRIES = 64


class Grants:
    """Own the grants for the free slots of a runner."""

    def __init__(self) -> None:
        # Number of running attempts of each entry.
        self.active: dict[str, int] = {}
        # Unused grants of each entry.
        self.free: dict[str, int] = {}
        # Moving average of the requests of each entry per distribution.
        self._demand: dict[str, float] = {}
        # Requests of each entry since the last distribution.
        self._requests: dict[str, int] = {}
        # Number of distributions; it selects the entries that get the slots
        # left over by rounding.
        self._rotation = 0

    def add_entry(self, entry: str) -> bool:
        """Add an entry; return False if there are too many."""
        if entry in self.free:
            return True
        if len(self.free) >= MAX_ENTRIES:
            return False
        self.free[entry] = 0
        self._demand[entry] = 0.0
        return True

    def remove_entry(self, entry: str) -> None:
        """Withdraw the free grants of a disconnected entry."""
        self.free.pop(entry, None)
        self._demand.pop(entry, None)
        self._requests.pop(entry, None)

    def count_request(self, entry: str) -> None:
        """Count a request towards the demand of an entry."""
        if entry in self.free:
            self._requests[entry] = self._requests.get(entry, 0) + 1

    def attempt_started(self, entry: str, free_slots: int) -> None:
        """Record the start of an attempt; it uses a grant of its entry.

        `free_slots` is the number of free slots after the start.
        """
        self.active[entry] = self.active.get(entry, 0) + 1
        if self.free.get(entry, 0) > 0:
            self.free[entry] -= 1
        self._shrink(free_slots)

    def attempt_ended(self, entry: str, free_slots: int) -> None:
        """Record the end of an attempt; its entry gets a new grant.

        `free_slots` is the number of free slots after the end.
        """
        assert self.active.get(entry, 0) > 0, 'ended attempt was not running'
        self.active[entry] -= 1
        if not self.active[entry]:
            del self.active[entry]
        if entry in self.free and sum(self.free.values()) < free_slots:
            self.free[entry] += 1

    def distribute(self, free_slots: int) -> None:
        """Distribute the free slots by the recent demand of each entry."""
        entries = sorted(self.free)
        if not entries:
            return
        for entry in entries:
            recent = self._requests.pop(entry, 0)
            previous = self._demand[entry] * DEMAND_WEIGHT
            self._demand[entry] = previous + recent * (1 - DEMAND_WEIGHT)
        free_slots = max(0, free_slots)
        # An idle entry has a weight of 1, so that it can get a grant too.
        weights = {entry: 1.0 + self._demand[entry] for entry in entries}
        total = sum(weights.values())
        shares = {
            entry: free_slots * weights[entry] / total for entry in entries
        }
        self.free = {entry: int(shares[entry]) for entry in entries}
        remaining = free_slots - sum(self.free.values())
        self._rotation += 1
        start = self._rotation % len(entries)
        for entry in (entries[start:] + entries[:start])[:remaining]:
            self.free[entry] += 1
        self._shrink(free_slots)

    def slots_of(self, entry: str) -> int:
        """Return the free grants and running attempts of an entry."""
        return self.free.get(entry, 0) + self.active.get(entry, 0)

    def _shrink(self, free_slots: int) -> None:
        excess = sum(self.free.values()) - max(0, free_slots)
        while excess > 0:
            entry = max(self.free, key=lambda n: (self.free[n], n))
            self.free[entry] -= 1
            excess -= 1
        assert sum(self.free.values()) <= max(0, free_slots), (
            'more grants than free slots'
        )

"""Grant the free slots of one runner to the entries, for late binding.

A grant is a slot that one entry may fill without asking. Free grants and
attempts in the runner never exceed the slots together. The sidecar stays the
authority: an attempt without a grant is admitted when there is room, and
then takes a free grant away.
"""

# Share of the older demand that is kept at each new division.
DEMAND_KEPT = 0.5
# Entries that hold grants at the same time; more entries wait their turn.
MAX_ENTRIES = 64


class Grants:
    """Own the division of the free slots of a runner."""

    def __init__(self) -> None:
        # Attempts of each entry in the runner.
        self.active: dict[str, int] = {}
        # Free slots granted to each entry.
        self.free: dict[str, int] = {}
        self._demand: dict[str, float] = {}
        self._arrived: dict[str, int] = {}
        self._turn = 0

    def add_entry(self, entry: str) -> bool:
        """Add an entry; return False when it can hold no grants."""
        if entry in self.free:
            return True
        if len(self.free) >= MAX_ENTRIES:
            return False
        self.free[entry] = 0
        self._demand[entry] = 0.0
        return True

    def remove_entry(self, entry: str) -> None:
        """Take back the free grants of an entry that is gone."""
        self.free.pop(entry, None)
        self._demand.pop(entry, None)
        self._arrived.pop(entry, None)

    def count_request(self, entry: str) -> None:
        """Count a request of an entry as its demand."""
        if entry in self.free:
            self._arrived[entry] = self._arrived.get(entry, 0) + 1

    def attempt_started(self, entry: str, room: int) -> None:
        """Note that an attempt runs; `room` slots are free after it."""
        self.active[entry] = self.active.get(entry, 0) + 1
        if self.free.get(entry, 0) > 0:
            self.free[entry] -= 1
        self._shrink(room)

    def attempt_ended(self, entry: str, room: int) -> None:
        """Give a slot that is free again to the entry that used it."""
        assert self.active.get(entry, 0) > 0, 'ended attempt did not run'
        self.active[entry] -= 1
        if not self.active[entry]:
            del self.active[entry]
        if entry in self.free and sum(self.free.values()) < room:
            self.free[entry] += 1

    def distribute(self, room: int) -> None:
        """Divide the free slots anew by the recent demand of each entry."""
        names = sorted(self.free)
        if not names:
            return
        for name in names:
            fresh = self._arrived.pop(name, 0)
            kept = self._demand[name] * DEMAND_KEPT
            self._demand[name] = kept + fresh * (1 - DEMAND_KEPT)
        room = max(0, room)
        # One unit each keeps an idle entry from having no grant at all.
        weights = {name: 1.0 + self._demand[name] for name in names}
        whole = sum(weights.values())
        shares = {name: room * weights[name] / whole for name in names}
        self.free = {name: int(shares[name]) for name in names}
        left = room - sum(self.free.values())
        self._turn += 1
        start = self._turn % len(names)
        for name in (names[start:] + names[:start])[:left]:
            self.free[name] += 1
        self._shrink(room)

    def slots_of(self, entry: str) -> int:
        """Return the slots of an entry: its free grants and its attempts."""
        return self.free.get(entry, 0) + self.active.get(entry, 0)

    def _shrink(self, room: int) -> None:
        excess = sum(self.free.values()) - max(0, room)
        while excess > 0:
            name = max(self.free, key=lambda n: (self.free[n], n))
            self.free[name] -= 1
            excess -= 1
        assert sum(self.free.values()) <= max(0, room), 'grants above slots'

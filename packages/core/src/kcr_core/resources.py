"""Keep the reservations of one instance; the sum never exceeds its capacity.

A reservation that must grow and does not fit is kept at its old size and
noted as short, so that tasks are evicted and nothing new is admitted.
"""

import dataclasses

from kcr_core import sizes
from kcr_core import types

# One epoch of a task: its key and the epoch.
Holder = tuple[str, int]
# Rounding error of sums of fractions that is no overcommitment.
TOLERANCE = 1e-6


@dataclasses.dataclass(slots=True)
class _Reservation:
    # What is reserved.
    granted: types.Demand
    # What is needed; more than `granted` when it did not fit.
    needed: types.Demand


class ReservationLedger:
    """Own the processors, memory and accelerators of the instance."""

    def __init__(self, capacity: types.Demand) -> None:
        # What the instance offers to tasks.
        self.capacity = capacity
        # Times that the sum was compared with the capacity.
        self.checks = 0
        self._reserved: dict[Holder, _Reservation] = {}

    def reserve(self, holder: Holder, demand: types.Demand) -> bool:
        """Reserve for a task that is to start; return False if no room."""
        assert holder not in self._reserved, f'{holder} is reserved twice'
        if not demand.fits(self.free()):
            return False
        self._reserved[holder] = _Reservation(demand, demand)
        self._check()
        return True

    def adopt(self, holder: Holder, demand: types.Demand) -> None:
        """Reserve for a task that runs already; what does not fit is short."""
        assert holder not in self._reserved, f'{holder} is reserved twice'
        room = sizes.limit_to(demand, self._unreserved())
        self._reserved[holder] = _Reservation(room, demand)
        self._check()

    def resize(self, holder: Holder, demand: types.Demand) -> None:
        """Change a reservation; a growth that does not fit is short."""
        entry = self._reserved[holder]
        room = self._unreserved().plus(entry.granted)
        entry.granted = sizes.limit_to(demand, room)
        entry.needed = demand
        self._check()

    def release(self, holder: Holder) -> None:
        """Free a reservation on the worker's word that the task stopped."""
        del self._reserved[holder]
        for entry in self._reserved.values():
            room = self._unreserved().plus(entry.granted)
            entry.granted = sizes.limit_to(entry.needed, room)
        self._check()

    def reserved(self, holder: Holder) -> types.Demand | None:
        """Return what a task has reserved."""
        entry = self._reserved.get(holder)
        return entry.granted if entry else None

    def needed(self, holder: Holder) -> types.Demand:
        """Return what a task needs."""
        return self._reserved[holder].needed

    def total(self) -> types.Demand:
        """Return the sum of the reservations."""
        total = types.Demand()
        for entry in self._reserved.values():
            total = total.plus(entry.granted)
        return total

    def free(self) -> types.Demand:
        """Return the room for new tasks, after what others are short of."""
        needed = types.Demand()
        for entry in self._reserved.values():
            needed = needed.plus(entry.granted.elementwise_max(entry.needed))
        return self.capacity.minus(needed)

    def is_short(self) -> bool:
        """Tell whether a task needs more than it could be given."""
        return any(
            not entry.needed.fits(entry.granted)
            for entry in self._reserved.values()
        )

    def fits_without(self, leaving: set[Holder], demand: types.Demand) -> bool:
        """Tell whether all needs and `demand` fit once `leaving` ended."""
        total = demand
        for holder, entry in self._reserved.items():
            if holder not in leaving:
                total = total.plus(entry.needed)
        return total.fits(self.capacity)

    def _unreserved(self) -> types.Demand:
        return self.capacity.minus(self.total())

    def _check(self) -> None:
        self.checks += 1
        slack = types.Demand(TOLERANCE, TOLERANCE)
        assert self.total().fits(self.capacity.plus(slack)), (
            'instance is overcommitted'
        )

"""Track the reservations of one instance; their sum stays in its capacity.

The home reserves and releases here. A reservation that cannot grow to what
its task needs gets what is free and counts as short; the home then evicts
tasks, and no new task is admitted.
"""

import dataclasses

from kcr_core import sizes
from kcr_core import types

# Holder of a reservation: the key and the epoch of a task.
Holder = tuple[str, int]
# Rounding error of sums that does not count as overcommitment.
TOLERANCE = 1e-6


@dataclasses.dataclass(slots=True)
class _Reservation:
    # Reserved amount.
    granted: types.Demand
    # Needed amount; more than `granted` if that did not fit.
    needed: types.Demand


class ReservationLedger:
    """Track the reserved processors, memory and accelerators."""

    def __init__(self, capacity: types.Demand) -> None:
        # Capacity of the instance for tasks.
        self.capacity = capacity
        # Number of times that the sum was compared with the capacity.
        self.checks = 0
        self._reserved: dict[Holder, _Reservation] = {}

    def reserve(self, holder: Holder, demand: types.Demand) -> bool:
        """Reserve for a task to start; return whether it fits."""
        assert holder not in self._reserved, f'{holder} is reserved twice'
        if not demand.fits(self.free()):
            return False
        self._reserved[holder] = _Reservation(demand, demand)
        self._check_total()
        return True

    def adopt(self, holder: Holder, demand: types.Demand) -> None:
        """Reserve for a running task; it is short of what does not fit."""
        assert holder not in self._reserved, f'{holder} is reserved twice'
        granted = sizes.limit_to(demand, self._unreserved())
        self._reserved[holder] = _Reservation(granted, demand)
        self._check_total()

    def resize(self, holder: Holder, demand: types.Demand) -> None:
        """Change a reservation; it is short of what does not fit."""
        entry = self._reserved[holder]
        available = self._unreserved().plus(entry.granted)
        entry.granted = sizes.limit_to(demand, available)
        entry.needed = demand
        self._check_total()

    def release(self, holder: Holder) -> None:
        """Release a reservation after the worker confirmed the end."""
        del self._reserved[holder]
        for entry in self._reserved.values():
            available = self._unreserved().plus(entry.granted)
            entry.granted = sizes.limit_to(entry.needed, available)
        self._check_total()

    def reserved(self, holder: Holder) -> types.Demand | None:
        """Return the reservation of a task, if any."""
        entry = self._reserved.get(holder)
        return entry.granted if entry else None

    def needed(self, holder: Holder) -> types.Demand:
        """Return the needed amount of a task."""
        return self._reserved[holder].needed

    def total(self) -> types.Demand:
        """Return the sum of the reservations."""
        total = types.Demand()
        for entry in self._reserved.values():
            total = total.plus(entry.granted)
        return total

    def free(self) -> types.Demand:
        """Return the capacity for new tasks, less what others are short of."""
        needed = types.Demand()
        for entry in self._reserved.values():
            needed = needed.plus(entry.granted.elementwise_max(entry.needed))
        return self.capacity.minus(needed)

    def is_short(self) -> bool:
        """Return whether a task needs more than its reservation."""
        return any(
            not entry.needed.fits(entry.granted)
            for entry in self._reserved.values()
        )

    def fits_without(
        self, stopping: set[Holder], demand: types.Demand
    ) -> bool:
        """Return whether all needs and `demand` fit after `stopping` ended."""
        total = demand
        for holder, entry in self._reserved.items():
            if holder not in stopping:
                total = total.plus(entry.needed)
        return total.fits(self.capacity)

    def _unreserved(self) -> types.Demand:
        return self.capacity.minus(self.total())

    def _check_total(self) -> None:
        self.checks += 1
        slack = types.Demand(TOLERANCE, TOLERANCE)
        assert self.total().fits(self.capacity.plus(slack)), (
            'reservations exceed the capacity of the instance'
        )

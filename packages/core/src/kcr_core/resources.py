"""Track the reservations of one instance; their sum stays in its capacity.

The home reserves and releases here. A reservation that cannot grow to what
its task requires is granted what is free and counts as short; the home then
evicts tasks, and no new task is admitted.
"""

import dataclasses

from kcr_core import sizes
from kcr_core import types

# Holder of a reservation: the key and the epoch of a task.
Holder = tuple[str, int]
# Rounding error of sums that does not count as exceeding the capacity.
TOLERANCE = 1e-6


@dataclasses.dataclass(slots=True)
class _Reservation:
    # Reserved amount.
    granted: types.Demand
    # Amount that the task requires; more than `granted` if that did not fit.
    required: types.Demand


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
        reservation = self._reserved[holder]
        available = self._unreserved().plus(reservation.granted)
        reservation.granted = sizes.limit_to(demand, available)
        reservation.required = demand
        self._check_total()

    def release(self, holder: Holder) -> None:
        """Release a reservation after the worker confirmed the end."""
        del self._reserved[holder]
        for reservation in self._reserved.values():
            available = self._unreserved().plus(reservation.granted)
            reservation.granted = sizes.limit_to(
                reservation.required, available
            )
        self._check_total()

    def reserved(self, holder: Holder) -> types.Demand | None:
        """Return the reservation of a task, if any."""
        reservation = self._reserved.get(holder)
        return reservation.granted if reservation else None

    def required(self, holder: Holder) -> types.Demand:
        """Return the amount that a task requires."""
        return self._reserved[holder].required

    def total(self) -> types.Demand:
        """Return the sum of the reservations."""
        total = types.Demand()
        for reservation in self._reserved.values():
            total = total.plus(reservation.granted)
        return total

    def free(self) -> types.Demand:
        """Return the capacity for new tasks, less what others are short of."""
        required = types.Demand()
        for reservation in self._reserved.values():
            required = required.plus(
                reservation.granted.elementwise_max(reservation.required)
            )
        return self.capacity.minus(required)

    def is_short(self) -> bool:
        """Return whether a task needs more than its reservation."""
        return any(
            not reservation.required.fits(reservation.granted)
            for reservation in self._reserved.values()
        )

    def fits_without(
        self, stopping: set[Holder], demand: types.Demand
    ) -> bool:
        """Return whether `demand` fits beside all tasks except `stopping`."""
        total = demand
        for holder, reservation in self._reserved.items():
            if holder not in stopping:
                total = total.plus(reservation.required)
        return total.fits(self.capacity)

    def _unreserved(self) -> types.Demand:
        return self.capacity.minus(self.total())

    def _check_total(self) -> None:
        self.checks += 1
        slack = types.Demand(TOLERANCE, TOLERANCE)
        assert self.total().fits(self.capacity.plus(slack)), (
            'reservations exceed the capacity of the instance'
        )

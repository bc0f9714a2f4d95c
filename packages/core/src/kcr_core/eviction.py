"""Choose the tasks that are evicted to make room."""

from collections import abc

from kcr_core import local_task
from kcr_core import resources
from kcr_core import types


def choose_victims(
    tasks: abc.Iterable[local_task.LocalTask],
    ledger: resources.ReservationLedger,
    demand: types.Demand,
    spare_urgent: bool,
) -> list[local_task.LocalTask]:
    """Return the running tasks to evict so that `demand` fits.

    Batch tasks go before urgent ones, and young ones before old ones; a
    task that needs more than the instance has goes first. The list is empty
    if tasks that are stopping already make enough room, or if even evicting
    all of them would not.
    """
    held = list(tasks)
    leaving = {
        task.holder
        for task in held
        if task.phase is local_task.Phase.STOPPING or task.stop_reason
    }
    victims: list[local_task.LocalTask] = []
    running = [
        task
        for task in held
        if task.phase is local_task.Phase.RUNNING
        and not (spare_urgent and task.spec.urgent)
    ]
    running.sort(key=lambda task: _order(task, ledger))
    while not ledger.fits_without(leaving, demand):
        if not running:
            return []
        victims.append(running.pop(0))
        leaving.add(victims[-1].holder)
    return _without_needless(victims, leaving, ledger, demand)


def _order(
    task: local_task.LocalTask, ledger: resources.ReservationLedger
) -> tuple[bool, bool, float]:
    fits = ledger.needed(task.holder).fits(ledger.capacity)
    return (fits, task.spec.urgent, -task.started_at)


def _without_needless(
    victims: list[local_task.LocalTask],
    leaving: set[resources.Holder],
    ledger: resources.ReservationLedger,
    demand: types.Demand,
) -> list[local_task.LocalTask]:
    for task in list(victims):
        if ledger.fits_without(leaving - {task.holder}, demand):
            leaving.discard(task.holder)
            victims.remove(task)
    return victims

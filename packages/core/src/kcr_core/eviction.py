"""Choose the tasks to evict so that others fit on the instance.

The home calls this for an urgent task that does not fit, and when running
tasks need more than is reserved for them.
"""

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

    Tasks that need more than the whole instance are chosen first, then batch
    before urgent and later started before earlier started ones. The list is
    empty if the tasks that are already stopping free enough capacity, or if
    evicting all running tasks would not. With `spare_urgent`, no urgent task
    is chosen.
    """
    candidates = list(tasks)
    stopping = {
        task.holder
        for task in candidates
        if task.phase is local_task.Phase.STOPPING or task.stop_reason
    }
    victims: list[local_task.LocalTask] = []
    running = [
        task
        for task in candidates
        if task.phase is local_task.Phase.RUNNING
        and not (spare_urgent and task.spec.urgent)
    ]
    running.sort(key=lambda task: _rank(task, ledger))
    while not ledger.fits_without(stopping, demand):
        if not running:
            return []
        victims.append(running.pop(0))
        stopping.add(victims[-1].holder)
    return _drop_unneeded(victims, stopping, ledger, demand)


def _rank(
    task: local_task.LocalTask, ledger: resources.ReservationLedger
) -> tuple[bool, bool, float]:
    fits = ledger.required(task.holder).fits(ledger.capacity)
    return (fits, task.spec.urgent, -task.started_at)


def _drop_unneeded(
    victims: list[local_task.LocalTask],
    stopping: set[resources.Holder],
    ledger: resources.ReservationLedger,
    demand: types.Demand,
) -> list[local_task.LocalTask]:
    for task in list(victims):
        if ledger.fits_without(stopping - {task.holder}, demand):
            stopping.discard(task.holder)
            victims.remove(task)
    return victims

"""Choose the tasks that are evicted to make room."""

from collections import abc

from kcr_core import resources
from kcr_core import task_held
from kcr_core import types


def choose_victims(
    tasks: abc.Iterable[task_held.Held],
    ledger: resources.Ledger,
    demand: types.Demand,
    spare_urgent: bool,
) -> list[task_held.Held]:
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
        if task.phase is task_held.Phase.STOPPING or task.stop_reason
    }
    victims: list[task_held.Held] = []
    running = [
        task
        for task in held
        if task.phase is task_held.Phase.RUNNING
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
    task: task_held.Held, ledger: resources.Ledger
) -> tuple[bool, bool, float]:
    fits = ledger.needed(task.holder).fits(ledger.capacity)
    return (fits, task.spec.urgent, -task.started_at)


def _without_needless(
    victims: list[task_held.Held],
    leaving: set[resources.Holder],
    ledger: resources.Ledger,
    demand: types.Demand,
) -> list[task_held.Held]:
    for task in list(victims):
        if ledger.fits_without(leaving - {task.holder}, demand):
            leaving.discard(task.holder)
            victims.remove(task)
    return victims

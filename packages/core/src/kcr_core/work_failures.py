"""Decide what follows when a worker reports that a task failed.

The workers on which a task failed are in the log, so every entry decides the
end of the task alike.
"""

from kcr_core import health
from kcr_core import ledger
from kcr_core import live_task
from kcr_core import records


def choose_end(
    task: live_task.LiveTask, instance: str, detail: str
) -> records.FinishedRecord | None:
    """Return the end of a task that failed; none if it is to be moved."""
    key, epoch = task.spec.key, task.epoch
    if not task.spec.restartable:
        text = detail[: ledger.DETAIL_LIMIT]
        return records.FinishedRecord(key, epoch, 'failed', text)
    hosts = live_task.add_failed(task.failed_on, instance)
    if len(hosts) < health.BAD_WORK_HOSTS:
        return None
    text = f'failed on {len(hosts)} workers ({", ".join(hosts)}): {detail}'
    return records.FinishedRecord(
        key, epoch, 'failed', text[: ledger.DETAIL_LIMIT]
    )

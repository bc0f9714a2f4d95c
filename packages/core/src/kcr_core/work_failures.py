"""Decide whether a task that failed on a worker ends or runs again.

An entry calls this for a reported failure. The workers on which a task failed
are recorded in the log, so every entry decides the same.
"""

from kcr_core import health
from kcr_core import ledger
from kcr_core import live_task
from kcr_core import records


def choose_end(
    task: live_task.LiveTask, instance: str, detail: str
) -> records.FinishedRecord | None:
    """Return the final record of a failed task; none if it is to be moved."""
    key, epoch = task.spec.key, task.epoch
    if not task.spec.restartable:
        text = detail[: ledger.MAX_RECORDED_DETAIL_CHARS]
        return records.FinishedRecord(key, epoch, 'failed', text)
    hosts = live_task.add_failed(task.failed_on, instance)
    if len(hosts) < health.BAD_WORK_HOSTS:
        return None
    text = f'failed on {len(hosts)} workers ({", ".join(hosts)}): {detail}'
    return records.FinishedRecord(
        key, epoch, 'failed', text[: ledger.MAX_RECORDED_DETAIL_CHARS]
    )

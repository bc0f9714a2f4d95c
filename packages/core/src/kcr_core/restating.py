"""Decide which records to write again before the log trims them, and by whom.

An entry calls this periodically. It ranks itself among the connected entries
by a hash of the task, and waits longer the higher its rank number is, so that
usually one entry writes each record. Duplicates are harmless.
"""

from collections import abc
import dataclasses
import typing

from kcr_core import ledger
from kcr_core import live_task
from kcr_core import ranking
from kcr_core import records

# Share of the retention after which a record is written again.
DUE_SHARE = 0.5
# Share of the retention between the times of two successive ranks.
RANK_SHARE = 1 / 16


@dataclasses.dataclass(frozen=True, slots=True)
class RewriteSchedule:
    """Decide when this entry writes records again."""

    # Incarnation of this entry.
    incarnation: str
    # Incarnations of the other entries that are connected.
    others: tuple[str, ...]
    # Time for which the log keeps records, in seconds.
    retention_s: float
    # Unix time in ms.
    now_ms: int

    def is_due(self, key: str, written_ms: int) -> bool:
        """Return whether this entry should write the record of `key` now."""
        age_s = (self.now_ms - written_ms) / 1000.0
        if age_s < self.retention_s * DUE_SHARE:
            return False
        rank = ranking.infer_rank(key, self.incarnation, self.others)
        jitter = (ranking.score(key, '') & 0xFFFF) / 0xFFFF
        share = DUE_SHARE + RANK_SHARE * (rank + jitter)
        return age_s >= self.retention_s * share


def choose_restated(
    state: ledger.Ledger, schedule: RewriteSchedule, limit: int
) -> list[typing.Any]:
    """Return at most `limit` records that this entry should write again."""
    items: list[typing.Any] = list(_list_revived(state, schedule))[:limit]
    for name, fence in state.fences.items():
        if len(items) >= limit:
            return items
        if schedule.is_due('/'.join(name), fence.written_ms):
            items.append(fence.record)
    for key, task in state.live.items():
        if len(items) >= limit:
            return items
        if schedule.is_due(key, task.written_ms):
            items.append(live_task.make_restated(task, task.home))
    return items


def _list_revived(
    state: ledger.Ledger, schedule: RewriteSchedule
) -> abc.Iterator[typing.Any]:
    for key in state.revived:
        end = state.ended[key]
        if end.outcome == 'cancelled':
            yield records.Cancelled(key)
            continue
        outcome = typing.cast(
            typing.Literal['done', 'failed', 'unknown'], end.outcome
        )
        yield records.FinishedRecord(key, end.epoch, outcome, end.detail)

"""Fold the task stream of a region into the live tasks.

Every entry applies the same records in offset order and so computes the same
state. Of several conflicting records the first valid one takes effect, and
later ones are ignored.
"""

import collections
import dataclasses
import typing

from kcr_core import live_task
from kcr_core import records
from kcr_core import types

# Ended tasks to keep with their outcome: about one day of jobs.
MAX_ENDED = 50_000
# Fences to keep; 130 instances fail a day.
MAX_FENCES = 4096
# Epochs of one task that are shown to its caller.
MAX_HISTORY = 16
# Longest result text of an ended task, in characters.
MAX_RECORDED_DETAIL_CHARS = 512

Effect = typing.Literal[
    'accepted',
    'moved',
    'adopted',
    'finished',
    'cancelled',
    'restated',
    'fenced',
    'ignored',
]


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """Describe the effect of one record."""

    effect: Effect
    # Key of the task; empty for a fence.
    key: str = ''
    # Home before the record; none if it was parked or is new.
    before: types.Home | None = None
    # Epoch before the record; 0 for a new task.
    epoch: int = 0
    # Result at that home, such as `done` or `failed`; empty for none.
    outcome: str = ''


IGNORED = Change('ignored')


class Ledger:
    """Store the live tasks, ended tasks and fences of one region."""

    def __init__(self) -> None:
        # Live tasks by key, oldest first.
        self.live: dict[str, live_task.LiveTask] = {}
        # Ended tasks by key, oldest first.
        self.ended: collections.OrderedDict[str, live_task.EndedTask] = (
            collections.OrderedDict()
        )
        # Fences by instance and incarnation.
        self.fences: collections.OrderedDict[
            tuple[str, str], live_task.Fence
        ] = collections.OrderedDict()
        # Keys of live tasks by the instance of their home.
        self.keys_by_instance: dict[str, dict[str, None]] = {}
        # Number of live tasks by instance and incarnation of their home.
        self.count_by_home: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        # Keys of live tasks by job.
        self.keys_by_job: dict[str, dict[str, None]] = {}
        # Keys of live tasks without a home.
        self.parked: dict[str, None] = {}
        # Declared demand of the live tasks by team.
        self.demand_by_team: dict[str, types.Demand] = {}
        # Ended tasks that a late record restated as live. Their end must be
        # written again, because a reader that begins after a trim would
        # otherwise take them for live.
        self.revived: dict[str, None] = {}
        # Number of records by effect.
        self.counts: collections.Counter[str] = collections.Counter()
        # Number of times that the invariants of a task were asserted.
        self.check_count = 0
        # Acceptance time of the newest accepted record, in ms.
        self._last_accepted_ms = 0

    def reset(self) -> None:
        """Drop the live tasks before reading a trimmed stream again."""
        self.live.clear()
        self.keys_by_instance.clear()
        self.count_by_home.clear()
        self.keys_by_job.clear()
        self.parked.clear()
        self.demand_by_team.clear()
        self._last_accepted_ms = 0

    def apply(self, item: typing.Any, now: float, now_ms: int) -> Change:
        """Apply the next record; `now` is monotonic, `now_ms` Unix time."""
        change = self._apply(item, now, now_ms)
        self.counts[change.effect] += 1
        return change

    def _apply(self, item: typing.Any, now: float, now_ms: int) -> Change:
        if isinstance(item, records.Accepted):
            self._last_accepted_ms = item.at_ms
            return self._accept(item, now, now_ms)
        if isinstance(item, records.Moved):
            return self._move(item, now, now_ms)
        if isinstance(item, records.FinishedRecord):
            return self._finish(item)
        if isinstance(item, records.Cancelled):
            return self._end(item.task, 'cancelled', '')
        if isinstance(item, records.Restated):
            return self._restate(item, now, now_ms)
        if isinstance(item, records.Fenced):
            return self._fence(item, now, now_ms)
        return IGNORED

    def _accept(
        self, item: records.Accepted, now: float, now_ms: int
    ) -> Change:
        key = item.spec.key
        if key in self.live or key in self.ended:
            return IGNORED
        self._insert(
            live_task.LiveTask(
                spec=live_task.intern_names(item.spec),
                epoch=1,
                home=item.home,
                checkpoint='',
                at_ms=item.at_ms,
                reason=item.reason,
                written_ms=self._infer_written_ms(now_ms),
                since=now,
            )
        )
        return Change('accepted', key)

    def _move(self, item: records.Moved, now: float, now_ms: int) -> Change:
        task = self.live.get(item.task)
        if task is None or item.epoch != task.epoch + 1:
            return IGNORED
        before, epoch = task.home, task.epoch
        history = live_task.list_history(task)
        self._unindex(item.task, task)
        assert item.epoch > epoch, 'epoch does not increase'
        task.epoch, task.home = item.epoch, item.home
        task.checkpoint = item.checkpoint or task.checkpoint
        task.reason, task.since = item.reason, now
        task.written_ms = self._infer_written_ms(now_ms)
        step = live_task.HistoryEntry(item.epoch, item.home, item.reason)
        task.history = (*history, step)[-MAX_HISTORY:]
        task.failed_on = live_task.add_failed(task.failed_on, item.failed)
        self._index(item.task, task)
        outcome = 'failed' if item.failed else ''
        return Change('moved', item.task, before, epoch, outcome)

    def _finish(self, item: records.FinishedRecord) -> Change:
        task = self.live.get(item.task)
        if task is not None and item.epoch != task.epoch:
            return IGNORED
        return self._end(item.task, item.outcome, item.detail)

    def _end(self, key: str, outcome: str, detail: str) -> Change:
        task = self.live.pop(key, None)
        if task is None:
            self.revived.pop(key, None)
            return IGNORED
        self._unindex(key, task)
        team = task.spec.team
        self.demand_by_team[team] = self.demand_by_team[team].minus(
            task.spec.demand
        )
        if self.demand_by_team[team] == types.Demand():
            del self.demand_by_team[team]
        keys = self.keys_by_job.get(task.spec.job, {})
        keys.pop(key, None)
        if not keys:
            self.keys_by_job.pop(task.spec.job, None)
        self.ended[key] = live_task.EndedTask(
            live_task.digest_spec(task.spec),
            task.epoch,
            outcome,
            detail[:MAX_RECORDED_DETAIL_CHARS],
        )
        if len(self.ended) > MAX_ENDED:
            oldest, _ = self.ended.popitem(last=False)
            self.revived.pop(oldest, None)
        effect: Effect = 'cancelled' if outcome == 'cancelled' else 'finished'
        return Change(effect, key, task.home, task.epoch, outcome)

    def _restate(
        self, item: records.Restated, now: float, now_ms: int
    ) -> Change:
        key = item.spec.key
        if key in self.ended:
            self.revived[key] = None
            return IGNORED
        task = self.live.get(key)
        if task is None:
            self._insert(
                live_task.infer_live(item, now, self._infer_written_ms(now_ms))
            )
            return Change('restated', key)
        if item.epoch < task.epoch:
            return IGNORED
        if item.epoch > task.epoch:
            # The records in between were trimmed before they were read.
            before, epoch = task.home, task.epoch
            self._unindex(key, task)
            fresh = live_task.infer_live(
                item, now, self._infer_written_ms(now_ms)
            )
            moves = (
                *live_task.list_history(task),
                *live_task.list_history(fresh),
            )
            fresh.history = moves[-MAX_HISTORY:]
            self.live[key] = fresh
            self._index(key, fresh)
            return Change('moved', key, before, epoch)
        return self._adopt(key, task, item, now_ms)

    def _adopt(
        self,
        key: str,
        task: live_task.LiveTask,
        item: records.Restated,
        now_ms: int,
    ) -> Change:
        if item.home == task.home:
            task.written_ms = self._infer_written_ms(now_ms)
            return Change('restated', key, task.home, task.epoch)
        before = task.home
        if before is None or not live_task.is_successor(before, item.home):
            return IGNORED
        if (before.instance, before.incarnation) in self.fences:
            # Another reader of the fence may already move the task.
            return IGNORED
        step = live_task.HistoryEntry(
            task.epoch, item.home, 'adopted by a new incarnation'
        )
        task.history = (*live_task.list_history(task), step)[-MAX_HISTORY:]
        self._unindex(key, task)
        task.home = item.home
        self._index(key, task)
        task.written_ms = self._infer_written_ms(now_ms)
        return Change('adopted', key, before, task.epoch)

    def _fence(self, item: records.Fenced, now: float, now_ms: int) -> Change:
        name = (item.instance, item.incarnation)
        movable_at = now + item.wait_s
        known = self.fences.get(name)
        if known is not None:
            # Each record allows moves after its own wait, so the earliest
            # end applies.
            known.movable_at = min(known.movable_at, movable_at)
            if item.wait_s < known.record.wait_s:
                known.record = item
            known.written_ms = self._infer_written_ms(now_ms)
            return Change('fenced')
        self.fences[name] = live_task.Fence(
            item, movable_at, self._infer_written_ms(now_ms)
        )
        if len(self.fences) > MAX_FENCES:
            self.fences.popitem(last=False)
        return Change('fenced')

    def _insert(self, task: live_task.LiveTask) -> None:
        key = task.spec.key
        assert key not in self.live, 'live task is inserted twice'
        self.live[key] = task
        team = task.spec.team
        used = self.demand_by_team.get(team, types.Demand())
        self.demand_by_team[team] = used.plus(task.spec.demand)
        if task.spec.job:
            self.keys_by_job.setdefault(task.spec.job, {})[key] = None
        self._index(key, task)

    def _index(self, key: str, task: live_task.LiveTask) -> None:
        if task.home is None:
            self.parked[key] = None
        else:
            self.keys_by_instance.setdefault(task.home.instance, {})[key] = (
                None
            )
            self.count_by_home[task.home.instance, task.home.incarnation] += 1
        self._check_index(key, task)

    def _unindex(self, key: str, task: live_task.LiveTask) -> None:
        self._check_index(key, task)
        if task.home is None:
            del self.parked[key]
            return
        name = (task.home.instance, task.home.incarnation)
        self.count_by_home[name] -= 1
        if not self.count_by_home[name]:
            del self.count_by_home[name]
        keys = self.keys_by_instance[task.home.instance]
        del keys[key]
        if not keys:
            del self.keys_by_instance[task.home.instance]

    def _check_index(self, key: str, task: live_task.LiveTask) -> None:
        """Assert that the task is indexed by its home only."""
        self.check_count += 1
        if task.home is None:
            assert key in self.parked, 'parked task is not indexed as parked'
            return
        assert key not in self.parked, 'task with a home is indexed as parked'
        assert key in self.keys_by_instance[task.home.instance], (
            'task is not indexed by its instance'
        )

    def _infer_written_ms(self, now_ms: int) -> int:
        # Most records carry no time. The last accepted record before one was
        # written earlier, so its time is a lower bound.
        return min(self._last_accepted_ms, now_ms)

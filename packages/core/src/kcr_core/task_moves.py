"""Choose the records that adopt, move or place tasks.

The inputs are the ledger, the fences and the candidate homes. The entry calls
this periodically and appends the returned records to the log.
"""

from collections import abc
import dataclasses

from kcr_core import append_queue
from kcr_core import fencing
from kcr_core import homes
from kcr_core import ledger
from kcr_core import live_task
from kcr_core import placement
from kcr_core import quotas
from kcr_core import ranking
from kcr_core import records
from kcr_core import types

# Records that one scan returns at most; the next scan returns more.
RECORDS_PER_SCAN = 50
# Failed searches through all instances after which a scan ends.
FAILED_SEARCHES_PER_SCAN = 64


@dataclasses.dataclass(frozen=True, slots=True)
class ScanContext:
    """Carry the inputs of one scan of the tasks beside the state."""

    # Placement policy of the document in force.
    policy: placement.Policy
    # Keys with a record that is queued or being appended.
    busy: abc.Container[str]
    # Monotonic time.
    now: float


class TaskMover:
    """Find the tasks that must or can be assigned to another home."""

    def __init__(
        self,
        state: ledger.Ledger,
        home_table: homes.HomeTable,
        entry_ranking: ranking.Ranking,
    ) -> None:
        # The ledger of the region.
        self.state = state
        # Instances that can be homes.
        self.home_table = home_table
        # Rank of this entry for each task.
        self.ranking = entry_ranking
        # Instances with tasks whose home may have failed.
        self.instances_to_scan: set[str] = set()
        # Reason for which each parked task waits, from the last scan.
        self.wait_reasons: dict[str, str] = {}
        # Batch tasks scanned since all parked tasks were last scanned.
        self._scanned = 0

    def apply_change(self, change: ledger.Change) -> None:
        """Update the state after a change of the ledger."""
        self.ranking.forget(change.key)
        task = self.state.live.get(change.key)
        if task is None or task.home is not None:
            self.wait_reasons.pop(change.key, None)
        if task is not None and task.home is not None:
            self.instances_to_scan.add(task.home.instance)

    def choose_lost(self, scan: ScanContext) -> list[append_queue.QueuedItem]:
        """Return records for tasks whose home can no longer run them."""
        queued: list[append_queue.QueuedItem] = []
        for instance in sorted(self.instances_to_scan):
            if len(queued) >= RECORDS_PER_SCAN:
                break
            if not self._scan_instance(instance, scan, queued):
                self.instances_to_scan.discard(instance)
        return queued

    def _scan_instance(
        self,
        instance: str,
        scan: ScanContext,
        queued: list[append_queue.QueuedItem],
    ) -> bool:
        """Add the records of one instance; return whether to scan it again."""
        connected = self.home_table.last_sidecar(instance)
        unresolved = False
        for key in self.state.keys_by_instance.get(instance, {}):
            task = self.state.live[key]
            assert task.home is not None, (
                'task is listed at an instance, but is parked'
            )
            name = (instance, task.home.incarnation)
            fence = self.state.fences.get(name)
            same = connected is None or connected.home == task.home
            if fence is None and same:
                continue
            unresolved = True
            if key in scan.busy or len(queued) >= RECORDS_PER_SCAN:
                continue
            decision = fencing.decide_home(
                key, task, fence, connected, scan.now
            )
            if isinstance(decision, fencing.Stay):
                continue
            if self.ranking.is_due(key, scan.now):
                item = self._make_record(task, decision, scan)
                queued.append(append_queue.QueuedItem(key, item))
        return unresolved

    def _make_record(
        self,
        task: live_task.LiveTask,
        decision: fencing.HomeDecision,
        scan: ScanContext,
    ) -> records.Restated | records.Moved | records.FinishedRecord:
        if isinstance(decision, fencing.Adopt):
            return live_task.make_restated(task, decision.home)
        assert isinstance(decision, fencing.Move)
        return self.move(task, decision.reason, scan)

    def move(
        self,
        task: live_task.LiveTask,
        reason: str,
        scan: ScanContext,
        avoid: abc.Collection[str] = (),
    ) -> records.Moved | records.FinishedRecord:
        """Return the record that moves a task to another home, or parks it."""
        key, spec = task.spec.key, task.spec
        choice = self.home_table.choose(scan.policy, spec, scan.now, avoid)
        if isinstance(choice, placement.Placed):
            self.home_table.reserve(key, choice.home.instance, spec.demand)
            return fencing.choose_loss_record(task, choice.home, reason)
        return fencing.choose_loss_record(
            task, None, f'{reason}; {choice.reason}'
        )

    def choose_parked(
        self, scan: ScanContext
    ) -> list[append_queue.QueuedItem]:
        """Return records that assign homes to parked tasks, urgent ones first.

        If a scan ends before all tasks were scanned, the next one continues
        there, so that no batch task is starved by those before it.
        """
        order = quotas.order_waiting(
            self.state.live[key] for key in self.state.parked
        )
        urgent = sum(task.spec.urgent for task in order)
        if urgent + self._scanned >= len(order):
            self._scanned = 0
        order[urgent : urgent + self._scanned] = []
        failures: list[tuple[types.Demand | None, str]] = []
        queued: list[append_queue.QueuedItem] = []
        for task in order:
            if (
                len(queued) >= RECORDS_PER_SCAN
                or len(failures) >= FAILED_SEARCHES_PER_SCAN
            ):
                return queued
            if not task.spec.urgent:
                self._scanned += 1
            if task.spec.key not in scan.busy:
                self._place(task, scan, failures, queued)
        self._scanned = 0
        return queued

    def _place(
        self,
        task: live_task.LiveTask,
        scan: ScanContext,
        failures: list[tuple[types.Demand | None, str]],
        queued: list[append_queue.QueuedItem],
    ) -> None:
        key, spec = task.spec.key, task.spec
        # A task that needs at least as much as one that did not fit does not
        # fit either.
        for demand, reason in failures:
            if demand is not None and demand.fits(spec.demand):
                self.wait_reasons[key] = reason
                return
        choice = self.home_table.choose(scan.policy, spec, scan.now)
        if not isinstance(choice, placement.Placed):
            # Other tasks may run on the instances where this one failed, so
            # its demand says nothing about them.
            known = None if task.failed_on else spec.demand
            failures.append((known, choice.reason))
            self.wait_reasons[key] = choice.reason
            self.ranking.forget(key)
            return
        if not self.ranking.is_due(key, scan.now):
            return
        self.home_table.reserve(key, choice.home.instance, spec.demand)
        item = records.Moved(
            key, task.epoch + 1, choice.home, task.checkpoint, 'has room'
        )
        queued.append(append_queue.QueuedItem(key, item))

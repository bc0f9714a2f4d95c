"""Choose the records that adopt, move or place tasks from the known state."""

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

# Records that one look proposes; more follow at the next look.
RECORDS_PER_SCAN = 50
# Demands without room that one look searches all instances for.
FAILED_SEARCHES_PER_SCAN = 64


@dataclasses.dataclass(frozen=True, slots=True)
class ScanContext:
    """Carry what one look at the tasks needs beside the state."""

    # Placement policy in force.
    policy: placement.Policy
    # Keys with a record that waits or is being appended.
    busy: abc.Container[str]
    # Monotonic time.
    now: float


class TaskMover:
    """Find the tasks that must or can get another home."""

    def __init__(
        self,
        state: ledger.Ledger,
        home_table: homes.HomeTable,
        turn: ranking.Ranking,
    ) -> None:
        # The ledger of the region.
        self.state = state
        # Instances that can be homes.
        self.home_table = home_table
        # Which entry goes first.
        self.turns = turn
        # Instances with tasks that may have lost their home.
        self.instances_to_scan: set[str] = set()
        # Why each parked task waits, as last seen by this entry.
        self.wait_reasons: dict[str, str] = {}
        # Batch tasks that the looks since the last full one have seen.
        self._scanned = 0

    def apply_change(self, change: ledger.Change) -> None:
        """Note a change of the ledger."""
        self.turns.forget(change.key)
        task = self.state.live.get(change.key)
        if task is None or task.home is not None:
            self.wait_reasons.pop(change.key, None)
        if task is not None and task.home is not None:
            self.instances_to_scan.add(task.home.instance)

    def choose_lost(self, scan: ScanContext) -> list[append_queue.QueuedItem]:
        """Return records for tasks whose home cannot run them any more."""
        found: list[append_queue.QueuedItem] = []
        for instance in sorted(self.instances_to_scan):
            if len(found) >= RECORDS_PER_SCAN:
                break
            if not self._scan_instance(instance, scan, found):
                self.instances_to_scan.discard(instance)
        return found

    def _scan_instance(
        self,
        instance: str,
        scan: ScanContext,
        found: list[append_queue.QueuedItem],
    ) -> bool:
        """Add the records of one instance; False if none can follow."""
        present = self.home_table.present(instance)
        open_ends = False
        for key in self.state.keys_by_instance.get(instance, {}):
            task = self.state.live[key]
            assert task.home is not None, 'parked task has an instance'
            name = (instance, task.home.incarnation)
            fence = self.state.fences.get(name)
            same = present is None or present.home == task.home
            if fence is None and same:
                continue
            open_ends = True
            if key in scan.busy or len(found) >= RECORDS_PER_SCAN:
                continue
            verdict = fencing.decide_home(key, task, fence, present, scan.now)
            if isinstance(verdict, fencing.Stay):
                continue
            if self.turns.is_due(key, scan.now):
                item = self._leave(task, verdict, scan)
                found.append(append_queue.QueuedItem(key, item))
        return open_ends

    def _leave(
        self,
        task: live_task.LiveTask,
        verdict: fencing.Verdict,
        scan: ScanContext,
    ) -> records.Restated | records.Moved | records.FinishedRecord:
        if isinstance(verdict, fencing.Adopt):
            return live_task.make_restated(task, verdict.home)
        assert isinstance(verdict, fencing.Move)
        return self.move(task, verdict.reason, scan)

    def move(
        self,
        task: live_task.LiveTask,
        reason: str,
        scan: ScanContext,
        avoid: abc.Collection[str] = (),
    ) -> records.Moved | records.FinishedRecord:
        """Return the record that takes a task to another home, or parks it."""
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
        """Return records that give parked tasks a home, urgent ones first.

        A look that ends before all tasks were seen is continued by the next
        one, so that no task is kept back by those before it.
        """
        order = quotas.order_waiting(
            self.state.live[key] for key in self.state.parked
        )
        urgent = sum(task.spec.urgent for task in order)
        if urgent + self._scanned >= len(order):
            self._scanned = 0
        order[urgent : urgent + self._scanned] = []
        failed: list[tuple[types.Demand | None, str]] = []
        found: list[append_queue.QueuedItem] = []
        for task in order:
            if (
                len(found) >= RECORDS_PER_SCAN
                or len(failed) >= FAILED_SEARCHES_PER_SCAN
            ):
                return found
            if not task.spec.urgent:
                self._scanned += 1
            if task.spec.key not in scan.busy:
                self._place(task, scan, failed, found)
        self._scanned = 0
        return found

    def _place(
        self,
        task: live_task.LiveTask,
        scan: ScanContext,
        failed: list[tuple[types.Demand | None, str]],
        found: list[append_queue.QueuedItem],
    ) -> None:
        key, spec = task.spec.key, task.spec
        # What needs at least as much as a task without room has none either.
        for demand, reason in failed:
            if demand is not None and demand.fits(spec.demand):
                self.wait_reasons[key] = reason
                return
        choice = self.home_table.choose(scan.policy, spec, scan.now)
        if not isinstance(choice, placement.Placed):
            # Others may run where this task failed.
            known = None if task.failed_on else spec.demand
            failed.append((known, choice.reason))
            self.wait_reasons[key] = choice.reason
            self.turns.forget(key)
            return
        if not self.turns.is_due(key, scan.now):
            return
        self.home_table.reserve(key, choice.home.instance, spec.demand)
        item = records.Moved(
            key, task.epoch + 1, choice.home, task.checkpoint, 'has room'
        )
        found.append(append_queue.QueuedItem(key, item))

"""Convert the reports of sidecars about tasks into records.

The task `work/tasks` owns this object and passes it every report of a sidecar
and every change of the ledger. A report that a task has ended or was evicted
is acknowledged once its record was read from the log; the sidecar repeats it
until then. Reports that a task was started or waits are only stored, for the
state of the task that callers query.
"""

import typing

from kcr_core import ledger
from kcr_core import live_task
from kcr_core import messages
from kcr_core import placement
from kcr_core import records
from kcr_core import work_failures
from kcr_runtime.wire import session

if typing.TYPE_CHECKING:
    from kcr_entry.work import tasks

# Maximum number of tasks with a stored unacknowledged report, and of tasks
# with a stored time of reassignment. A report that is not stored is
# acknowledged when the sidecar repeats it, not as soon as its record is read.
MAX_TRACKED_TASKS = 5000
# Longest checkpoint in a record, in characters, because the size of a record
# is bounded. A task with a longer one resumes from its last recorded one.
MAX_RECORDED_CHECKPOINT_CHARS = 16_384
# Time between assignments of an epoch whose start was not reported, in
# seconds. They are repeated because the report of the start may be lost.
REASSIGN_INTERVAL_S = 2.0


class Reports:
    """Process the reports of sidecars about live tasks."""

    def __init__(self, owner: 'tasks.Tasks') -> None:
        # The task that owns the ledger.
        self.owner = owner
        # Reported epoch of each live task and the reason why it waits; the
        # reason is empty if it runs.
        self._wait_reasons: dict[str, tuple[int, str]] = {}
        # Session and epoch of the unacknowledged report about each task.
        self._unacknowledged: dict[str, tuple[str, int]] = {}
        # Monotonic time at which each task was last assigned again.
        self._reassigned_at: dict[str, float] = {}

    def find_wait_reason(self, key: str, epoch: int) -> str | None:
        """Return why an epoch waits; empty if it runs, none if unknown."""
        found = self._wait_reasons.get(key)
        return found[1] if found is not None and found[0] == epoch else None

    def reassign(self, key: str) -> None:
        """Assign an epoch again, so that its home reports whether it runs."""
        now = self.owner.now()
        # A home that was just assigned the epoch may still report its start.
        reassigned_at = self._reassigned_at.get(
            key, self.owner.state.live[key].since
        )
        if now - reassigned_at < REASSIGN_INTERVAL_S:
            return
        # The key moves to the end, so that the oldest one is dropped first.
        self._reassigned_at.pop(key, None)
        self._reassigned_at[key] = now
        if len(self._reassigned_at) > MAX_TRACKED_TASKS:
            del self._reassigned_at[next(iter(self._reassigned_at))]
        self.owner.dispatcher.requeue_assignment(key)
        self.owner.schedule_dispatch()

    def apply_change(self, change: ledger.Change) -> None:
        """Acknowledge the report whose record was read."""
        key = change.key
        if change.effect not in ('moved', 'finished', 'cancelled'):
            return
        self._wait_reasons.pop(key, None)
        waiting = self._unacknowledged.pop(key, None)
        if waiting is not None:
            self._acknowledge(waiting[0], key, waiting[1])

    def record_running(self, running: frozenset[tuple[str, int]]) -> None:
        """Record the running tasks; unknown tasks are not stopped."""
        state = self.owner.state
        for key, epoch in running:
            task = state.live.get(key)
            if task is not None and task.epoch == epoch:
                self._wait_reasons[key] = (epoch, '')
            elif key not in state.live and key not in state.ended:
                self.owner.ctx.metrics.count('running_task_unknown')
                self.owner.log.warning(
                    'running task has no record; not stopped', key=key
                )

    def _stop(self, address: str, key: str, epoch: int) -> None:
        """Stop an epoch that has ended, for example of a cancelled task."""
        self.owner.ctx.metrics.count('report_of_ended_epoch')
        stop = messages.StopTask(key, epoch)
        self.owner.send(address, session.Send(stop))

    def _acknowledge(self, address: str, key: str, epoch: int) -> None:
        ack = messages.ReportAck(key, epoch)
        self.owner.send(address, session.Send(ack))

    def handle_report(self, event: session.Received) -> None:
        """Process a report of a sidecar about a task."""
        msg, owner = event.msg, self.owner
        if not owner.caught_up:
            # The sidecar repeats reports that need an acknowledgement.
            return
        task = owner.state.live.get(msg.task)
        if isinstance(msg, messages.Started | messages.TaskWait):
            if task is not None and task.epoch == msg.epoch:
                reason = ''
                if isinstance(msg, messages.TaskWait):
                    reason = msg.reason or 'waits at its home'
                self._wait_reasons[msg.task] = (msg.epoch, reason)
            elif task is not None or msg.task in owner.state.ended:
                if task is None or msg.epoch < task.epoch:
                    self._stop(event.session, msg.task, msg.epoch)
            return
        if task is None and msg.task not in owner.state.ended:
            owner.ctx.metrics.count('report_unknown_task')
            return
        if task is None or msg.epoch < task.epoch:
            self._acknowledge(event.session, msg.task, msg.epoch)
            return
        self._handle_current(event, task)

    def _handle_current(
        self, event: session.Received, task: live_task.LiveTask
    ) -> None:
        msg, owner = event.msg, self.owner
        instance = event.hello.place.instance
        home = task.home
        if home is None or home.instance != instance:
            owner.ctx.metrics.count('report_foreign')
            return
        if msg.epoch != task.epoch or not owner.is_fresh():
            return
        if len(self._unacknowledged) < MAX_TRACKED_TASKS:
            self._unacknowledged[msg.task] = (event.session, msg.epoch)
        if msg.task in owner.queue.busy_keys:
            return
        item: typing.Any
        if isinstance(msg, messages.Evicted):
            item = self._make_moved(
                task, instance, f'evicted: {msg.reason}', msg.checkpoint
            )
        elif msg.outcome == 'failed':
            item = work_failures.choose_end(task, instance, msg.detail)
            if item is None:
                detail = msg.detail[: ledger.MAX_RECORDED_DETAIL_CHARS]
                reason = f'failed on {instance}: {detail}'
                item = self._make_moved(task, instance, reason, '', instance)
        else:
            detail = msg.detail[: ledger.MAX_RECORDED_DETAIL_CHARS]
            item = records.FinishedRecord(
                msg.task, msg.epoch, msg.outcome, detail
            )
        if not owner.append(msg.task, item, task.spec.urgent):
            owner.home_table.release(msg.task)

    def _make_moved(
        self,
        task: live_task.LiveTask,
        instance: str,
        reason: str,
        checkpoint: str,
        failed: str = '',
    ) -> records.Moved:
        """Return the record that moves a stopped task, or parks it."""
        owner = self.owner
        scan, key = owner.make_scan_context(), task.spec.key
        choice = owner.home_table.choose(
            scan.policy, task.spec, scan.now, (instance,)
        )
        home = None
        if isinstance(choice, placement.Placed):
            home = choice.home
            owner.home_table.reserve(key, home.instance, task.spec.demand)
        else:
            reason = f'{reason}; {choice.reason}'
        if len(checkpoint) > MAX_RECORDED_CHECKPOINT_CHARS:
            owner.ctx.metrics.count('checkpoint_too_large')
            checkpoint = ''
        return records.Moved(
            key, task.epoch + 1, home, checkpoint, reason, failed
        )

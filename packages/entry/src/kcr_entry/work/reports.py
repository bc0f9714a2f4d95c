"""Turn the reports of sidecars about tasks into records, and acknowledge them.

The table belongs to the task `work/tasks`, which hands it every report and
change of the ledger. A report without an answer is repeated by its sidecar.
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

# Reports that are acknowledged as soon as their record is read; the others
# are acknowledged when they are repeated.
WAITING_LIMIT = 5000
# Characters of a checkpoint name; a task with a longer one resumes from its
# last recorded checkpoint, because a record of the log is bounded.
CHECKPOINT_LIMIT = 16_384
# Time after which a home is asked again for an epoch that is not known to
# run, in seconds: a message that a task started may be lost.
ASK_AGAIN_S = 2.0


class Reports:
    """Hold what the sidecars report of live tasks."""

    def __init__(self, owner: 'tasks.Tasks') -> None:
        # The task that owns the ledger.
        self.owner = owner
        # Epoch of each live task and why it waits; empty once it runs.
        self._notes: dict[str, tuple[int, str]] = {}
        # Session and epoch of the report that waits for each task.
        self._waiting: dict[str, tuple[str, int]] = {}
        # Time at which the home of a task was last asked about it.
        self._asked: dict[str, float] = {}

    def find_note(self, key: str, epoch: int) -> str | None:
        """Return why an epoch waits, empty if it runs, none if not known."""
        note = self._notes.get(key)
        return note[1] if note is not None and note[0] == epoch else None

    def ask_again(self, key: str) -> None:
        """Assign an epoch again, so that its home says whether it runs."""
        now = self.owner.now()
        # A home that got the epoch just now is still going to answer.
        asked = self._asked.get(key, self.owner.state.live[key].since)
        if now - asked < ASK_AGAIN_S:
            return
        self._asked.pop(key, None)
        self._asked[key] = now
        if len(self._asked) > WAITING_LIMIT:
            del self._asked[next(iter(self._asked))]
        self.owner.orders.requeue_assignment(key)
        self.owner.start_orders()

    def follow(self, change: ledger.Change) -> None:
        """Acknowledge the report that a record settles."""
        key = change.key
        if change.effect not in ('moved', 'finished', 'cancelled'):
            return
        self._notes.pop(key, None)
        held = self._waiting.pop(key, None)
        if held is not None:
            self._acknowledge(held[0], key, held[1])

    def note_running(self, running: frozenset[tuple[str, int]]) -> None:
        """Note running tasks; those without a record are left to run."""
        state = self.owner.state
        for key, epoch in running:
            task = state.live.get(key)
            if task is not None and task.epoch == epoch:
                self._notes[key] = (epoch, '')
            elif key not in state.live and key not in state.ended:
                self.owner.ctx.metrics.count('running_task_unknown')
                self.owner.log.warning('task has no record', key=key)

    def _stop(self, name: str, key: str, epoch: int) -> None:
        """Stop an epoch that is over, for example a cancelled task."""
        self.owner.ctx.metrics.count('report_of_ended_epoch')
        stop = messages.StopTask(key, epoch)
        self.owner.send(name, session.Send(stop))

    def _acknowledge(self, name: str, key: str, epoch: int) -> None:
        ack = messages.ReportAck(key, epoch)
        self.owner.send(name, session.Send(ack))

    def report(self, event: session.Received) -> None:
        """Handle a report of a sidecar about a task."""
        msg, owner = event.msg, self.owner
        if not owner.caught_up:
            # The sidecar repeats reports that need an answer.
            return
        task = owner.state.live.get(msg.task)
        if isinstance(msg, messages.Started | messages.TaskWait):
            if task is not None and task.epoch == msg.epoch:
                reason = ''
                if isinstance(msg, messages.TaskWait):
                    reason = msg.reason or 'waits at its home'
                self._notes[msg.task] = (msg.epoch, reason)
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
        self._report_current(event, task)

    def _report_current(
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
        if len(self._waiting) < WAITING_LIMIT:
            self._waiting[msg.task] = (event.session, msg.epoch)
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
                detail = msg.detail[: ledger.DETAIL_LIMIT]
                reason = f'failed on {instance}: {detail}'
                item = self._make_moved(task, instance, reason, '', instance)
        else:
            detail = msg.detail[: ledger.DETAIL_LIMIT]
            item = records.FinishedRecord(
                msg.task, msg.epoch, msg.outcome, detail
            )
        if not owner.append(msg.task, item, task.spec.urgent):
            owner.places.release(msg.task)

    def _make_moved(
        self,
        task: live_task.LiveTask,
        instance: str,
        reason: str,
        checkpoint: str,
        failed: str = '',
    ) -> records.Moved:
        """Return the record of a task that has stopped for good."""
        owner = self.owner
        look, key = owner.look(), task.spec.key
        choice = owner.places.choose(
            look.policy, task.spec, look.now, (instance,)
        )
        home = None
        if isinstance(choice, placement.Placed):
            home = choice.home
            owner.places.reserve(key, home.instance, task.spec.demand)
        else:
            reason = f'{reason}; {choice.reason}'
        if len(checkpoint) > CHECKPOINT_LIMIT:
            owner.ctx.metrics.count('checkpoint_too_large')
            checkpoint = ''
        return records.Moved(
            key, task.epoch + 1, home, checkpoint, reason, failed
        )

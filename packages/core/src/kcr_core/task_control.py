"""Take the worker's answers into the state of the tasks at their home.

Nothing is assumed about a command without an answer; the worker's list
tells, and only a list that was asked after the command was settled.
"""

import typing

from kcr_core import eviction
from kcr_core import local_task
from kcr_core import resources
from kcr_core import task_actions as actions
from kcr_core import task_home
from kcr_core import types

Phase = local_task.Phase

# Difference between a share that is listed and one that was asked for, from
# which the command counts as lost; a worker may round.
SHARE_STEP = 0.05


class HomeControl(task_home.TaskHome):
    """Own the tasks, the reservations and the view of the worker."""

    def take_controller_epoch(self, controller_epoch: int, now: float) -> None:
        """Ask for the list after the controller lease was taken."""
        self.controller_epoch = controller_epoch
        for held in self.tasks.values():
            # A restarted adapter gives no answer to an older command.
            held.unconfirmed = held.phase is Phase.STARTING
        self._list_pending = True
        self._list_requested_at = now
        self._out.append(actions.RequestListing(self._next_sequence(), False))

    def apply_listing(self, listing: actions.Listing, now: float) -> None:
        """Take the worker's list; the first one rebuilds the state."""
        self._list_pending = False
        self.controller_epoch = max(
            self.controller_epoch, listing.controller_epoch
        )
        found = {task.holder: task for task in listing.tasks}
        for task in listing.tasks:
            self._take_listed(task, listing.sequence, now)
        for holder, held in list(self.tasks.items()):
            if holder not in found and held.is_alive():
                self._take_absent(held, listing, now)
        self.ready = True
        for msg in self._early_stops.values():
            self.stop_task(msg, now)
        self._early_stops.clear()
        self.tick(now)

    def _take_listed(
        self, task: actions.WorkerTask, sequence: int, now: float
    ) -> None:
        held = self.tasks.get(task.holder)
        if held is None and task.holder in self.ended:
            # The command to forget it was lost, or the list is older.
            if task.state != 'running':
                self._out.append(actions.Forget(task.holder))
            return
        if held is None or held.phase is Phase.WAITING:
            held = self._adopt(task, now)
        if held.phase is Phase.ENDED:
            return
        if task.state != 'running':
            self._conclude(held, task, now)
        elif held.phase is Phase.STARTING:
            self._confirm_start(held, now)
        elif (
            abs(task.share - held.share) > SHARE_STEP
            and held.share_sequence < sequence
        ):
            # The command was lost; the answer to it is not waited for.
            self._throttle(held, held.share)

    def _adopt(
        self, task: actions.WorkerTask, now: float
    ) -> local_task.LocalTask:
        held = local_task.LocalTask(
            task.spec, task.epoch, task.checkpoint, now
        )
        held.phase = Phase.RUNNING
        held.started_at = held.renewed_at = now
        held.renewed_at -= self.settings.task_lease_s
        held.sequence = held.share_sequence = self._next_sequence()
        # A task that was throttled stays so: at full speed it would slow the
        # service again before the interference task has measured anything.
        held.share = min(1.0, task.share)
        self.tasks[task.holder] = held
        self.ended.record_epoch(task.holder)
        self.counts['adopted'] += 1
        for other in self._other_epochs(held):
            if other.epoch < held.epoch:
                self.evict(other.holder, 'a newer epoch runs', now)
        if task.state == 'running':
            self.ledger.adopt(task.holder, task.reserved)
            self._relieve(now)
        return held

    def _take_absent(
        self, held: local_task.LocalTask, listing: actions.Listing, now: float
    ) -> None:
        if held.phase is Phase.STARTING:
            if (
                held.unconfirmed
                and listing.controller_epoch > held.start_controller_epoch
            ):
                self._not_started(held, now)
            return
        if held.sequence < listing.sequence:
            self._conclude(held, None, now)

    def apply_start_result(
        self,
        holder: resources.Holder,
        result: actions.StartResult,
        now: float,
    ) -> None:
        """Take the answer to a start; `refused` proves it had no effect."""
        held = self.tasks.get(holder)
        if held is None or held.phase is not Phase.STARTING:
            return
        if result == 'started':
            self._confirm_start(held, now)
        elif result == 'refused':
            self._not_started(held, now)
        else:
            held.unconfirmed = True
            self.counts['start_unsure'] += 1
        self._admit(now)

    def _confirm_start(self, held: local_task.LocalTask, now: float) -> None:
        held.phase = Phase.RUNNING
        held.unconfirmed = False
        held.kept_by_worker = True
        held.sequence = self._next_sequence()
        if held.stop_reason:
            self._stop(held, now)
            return
        self._report_started(held)

    def _not_started(self, held: local_task.LocalTask, now: float) -> None:
        self.ledger.release(held.holder)
        held.phase = Phase.WAITING
        held.unconfirmed = False
        held.retry_at = now + task_home.START_RETRY_S
        if held.stop_reason:
            report = local_task.infer_report(held, 'stopped', '', '')
            self._end(held, report, now)

    def apply_stop_result(
        self,
        holder: resources.Holder,
        task: actions.WorkerTask | None,
        now: float,
    ) -> None:
        """Take the worker's word that an epoch does not run any more.

        `task` is none when the worker does not know the epoch.
        """
        held = self.tasks.get(holder)
        if held is None or held.phase is not Phase.STOPPING:
            return
        if task is not None and task.state == 'running':
            return
        self._conclude(held, task, now)
        self._admit(now)

    def throttle_task(self, key: str, share: float) -> None:
        """Give the running epoch of a task a share of full speed."""
        held = self._find_alive(key)
        if held is not None and held.phase is Phase.RUNNING:
            self.counts['throttles'] += 1
            self._throttle(held, min(1.0, max(0.0, share)))

    def evict_task(self, key: str, reason: str, now: float) -> None:
        """Checkpoint and stop the epoch of a task that runs here.

        A second call needs no stronger command: an epoch that is being
        stopped gets no more renewals, so its lease ends it.
        """
        held = self._find_alive(key)
        if held is not None:
            self.evict(held.holder, reason, now)

    def list_alive(self) -> list[local_task.LocalTask]:
        """Return the epochs that the worker may run."""
        return [held for held in self.tasks.values() if held.is_alive()]

    def _find_alive(self, key: str) -> local_task.LocalTask | None:
        found = [held for held in self.list_alive() if held.spec.key == key]
        return max(found, key=lambda held: held.epoch, default=None)

    def _throttle(self, held: local_task.LocalTask, share: float) -> None:
        held.share, held.share_sequence = share, self._next_sequence()
        self._out.append(actions.Throttle(held.holder, share))

    def apply_renew_result(
        self, holder: resources.Holder, result: str
    ) -> None:
        """Take the answer to a renewal: `renewed`, `refused`, `unknown`."""
        held = self.tasks.get(holder)
        if held is None or held.pending_renewal is None:
            return
        told, held.pending_renewal = held.pending_renewal, None
        if result != 'renewed' or held.phase is not Phase.RUNNING:
            return
        # Only what the worker was told may be given to another task.
        wanted = held.target or self.ledger.needed(holder)
        self.ledger.resize(holder, wanted.elementwise_max(told))

    def apply_usages(
        self, usages: typing.Iterable[actions.Usage], now: float
    ) -> None:
        """Take lagging measurements; reservations follow them."""
        for usage in usages:
            held = self.tasks.get(usage.holder)
            if held is None or held.phase is not Phase.RUNNING:
                continue
            if held.share == 1.0:
                # A throttled task shows less than its kind needs.
                held.samples += 1
                self.sizes.observe(held.spec, usage.used, held.samples, now)
            self._fit(held, usage.used, now)
        self._relieve(now)
        self._admit(now)

    def _fit(
        self, held: local_task.LocalTask, used: types.Demand, now: float
    ) -> None:
        reserved = self.ledger.reserved(held.holder)
        assert reserved is not None, 'running task without reservation'
        wanted = used.elementwise_max(reserved)
        # After a restart the kinds are not measured, and a guess from the
        # declared size would evict adopted tasks that run well.
        if self.sizes.is_measured(held.spec.kind):
            wanted = used.elementwise_max(self._estimate(held.spec, now))
        held.target = wanted
        self.ledger.resize(held.holder, wanted.elementwise_max(reserved))
        assert used.fits(self.ledger.needed(held.holder)), (
            'reservation is below measured use'
        )

    def _relieve(self, now: float) -> None:
        if not self.ledger.is_short():
            return
        for victim in eviction.choose_victims(
            self.tasks.values(),
            self.ledger,
            types.Demand(),
            spare_urgent=False,
        ):
            self.evict(victim.holder, 'the tasks need more room', now)

    def _conclude(
        self,
        held: local_task.LocalTask,
        task: actions.WorkerTask | None,
        now: float,
    ) -> None:
        if self.ledger.reserved(held.holder) is not None:
            self.ledger.release(held.holder)
        held.kept_by_worker = task is not None
        if task is None:
            report = local_task.infer_report(held, 'lost', '', '')
        else:
            report = local_task.infer_report(
                held, task.state, task.checkpoint, task.detail
            )
        self._end(held, report, now)

    def _report_started(self, held: local_task.LocalTask) -> None:
        self._repeat_report(held, 0.0)

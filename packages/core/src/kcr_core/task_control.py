"""Apply the replies of the worker to the local tasks of a home.

The sidecar calls this with the results of commands, the worker's lists of
tasks and measurements of their use. The effect of a command without a reply
is unknown; only a list that the worker made after the command can no longer
take effect shows it.
"""

import typing

from kcr_core import eviction
from kcr_core import local_task
from kcr_core import resources
from kcr_core import task_actions as actions
from kcr_core import task_home
from kcr_core import types

Phase = local_task.Phase

# A throttle command counts as lost when the listed share differs from the
# requested one by more than this; a worker may round.
SHARE_TOLERANCE = 0.05


class HomeControl(task_home.TaskHome):
    """Combine the decisions of a home with the replies of its worker."""

    def take_controller_epoch(self, controller_epoch: int, now: float) -> None:
        """Set the epoch of a new controller lease and request the list."""
        self.controller_epoch = controller_epoch
        for local in self.tasks.values():
            # The adapter to the worker reports a lease after its start. It
            # sends no reply to commands from before that.
            local.unconfirmed = local.phase is Phase.STARTING
        self._list_pending = True
        self._list_requested_at = now
        self._actions.append(
            actions.RequestListing(self._next_sequence(), False)
        )

    def apply_listing(self, listing: actions.Listing, now: float) -> None:
        """Apply a list of the worker; the first one rebuilds the state."""
        self._list_pending = False
        self.controller_epoch = max(
            self.controller_epoch, listing.controller_epoch
        )
        listed = {task.holder: task for task in listing.tasks}
        for task in listing.tasks:
            self._apply_listed(task, listing.sequence, now)
        for holder, local in list(self.tasks.items()):
            if holder not in listed and local.is_alive():
                self._apply_absent(local, listing, now)
        self.ready = True
        for msg in self._early_stops.values():
            self.stop_task(msg, now)
        self._early_stops.clear()
        self.tick(now)

    def _apply_listed(
        self, task: actions.WorkerTask, sequence: int, now: float
    ) -> None:
        local = self.tasks.get(task.holder)
        if local is None and task.holder in self.ended:
            # The forget command was lost, or the list is older than it.
            if task.state != 'running':
                self._actions.append(actions.Forget(task.holder))
            return
        if local is None or local.phase is Phase.WAITING:
            local = self._adopt(task, now)
        if local.phase is Phase.ENDED:
            return
        if task.state != 'running':
            self._finalize(local, task, now)
        elif local.phase is Phase.STARTING:
            self._confirm_start(local, now)
        elif (
            abs(task.share - local.share) > SHARE_TOLERANCE
            and local.share_sequence < sequence
        ):
            # The command was lost: its reply is not awaited, so only a list
            # shows this.
            self._throttle(local, local.share)

    def _adopt(
        self, task: actions.WorkerTask, now: float
    ) -> local_task.LocalTask:
        local = local_task.LocalTask(
            task.spec, task.epoch, task.checkpoint, now
        )
        local.phase = Phase.RUNNING
        local.started_at = local.renewed_at = now
        local.renewed_at -= self.settings.task_lease_s
        local.sequence = local.share_sequence = self._next_sequence()
        # A throttled task stays throttled: at full speed it would slow the
        # service again before the interference task has measured anything.
        local.share = min(1.0, task.share)
        self.tasks[task.holder] = local
        self.ended.record_epoch(task.holder)
        self.counts['adopted'] += 1
        for other in self._other_epochs(local):
            if other.epoch < local.epoch:
                self.evict(other.holder, 'a newer epoch runs', now)
        if task.state == 'running':
            self.ledger.adopt(task.holder, task.reserved)
            self._evict_for_shortage(now)
        return local

    def _apply_absent(
        self, local: local_task.LocalTask, listing: actions.Listing, now: float
    ) -> None:
        if local.phase is Phase.STARTING:
            if (
                local.unconfirmed
                and listing.controller_epoch > local.start_controller_epoch
            ):
                self._return_to_waiting(local, now)
            return
        if local.sequence < listing.sequence:
            self._finalize(local, None, now)

    def apply_start_result(
        self,
        holder: resources.Holder,
        result: actions.StartResult,
        now: float,
    ) -> None:
        """Apply the result of a start; `refused` proves it had no effect."""
        local = self.tasks.get(holder)
        if local is None or local.phase is not Phase.STARTING:
            return
        if result == 'started':
            self._confirm_start(local, now)
        elif result == 'refused':
            self._return_to_waiting(local, now)
        else:
            local.unconfirmed = True
            self.counts['start_unsure'] += 1
        self._admit(now)

    def _confirm_start(self, local: local_task.LocalTask, now: float) -> None:
        local.phase = Phase.RUNNING
        local.unconfirmed = False
        local.listed_by_worker = True
        local.sequence = self._next_sequence()
        if local.stop_reason:
            self._stop(local, now)
            return
        self._report_started(local)

    def _return_to_waiting(
        self, local: local_task.LocalTask, now: float
    ) -> None:
        self.ledger.release(local.holder)
        local.phase = Phase.WAITING
        local.unconfirmed = False
        local.retry_at = now + task_home.START_RETRY_S
        if local.stop_reason:
            report = local_task.infer_report(local, 'stopped', '', '')
            self._end(local, report, now)

    def apply_stop_result(
        self,
        holder: resources.Holder,
        task: actions.WorkerTask | None,
        now: float,
    ) -> None:
        """Apply the result of a stop, which confirms that an epoch ended.

        `task` is none if the epoch is unknown to the worker.
        """
        local = self.tasks.get(holder)
        if local is None or local.phase is not Phase.STOPPING:
            return
        if task is not None and task.state == 'running':
            return
        self._finalize(local, task, now)
        self._admit(now)

    def throttle_task(self, key: str, share: float) -> None:
        """Run the current epoch of a task at a share of full speed."""
        local = self._find_alive(key)
        if local is not None and local.phase is Phase.RUNNING:
            self.counts['throttles'] += 1
            self._throttle(local, min(1.0, max(0.0, share)))

    def evict_task(self, key: str, reason: str, now: float) -> None:
        """Checkpoint and stop the running epoch of a task.

        A repeated call has no further effect: an epoch that is being stopped
        gets no renewals, so it ends at the latest when its lease expires.
        """
        local = self._find_alive(key)
        if local is not None:
            self.evict(local.holder, reason, now)

    def list_alive(self) -> list[local_task.LocalTask]:
        """Return the epochs that the worker may run."""
        return [local for local in self.tasks.values() if local.is_alive()]

    def _find_alive(self, key: str) -> local_task.LocalTask | None:
        matching = [
            local for local in self.list_alive() if local.spec.key == key
        ]
        return max(matching, key=lambda local: local.epoch, default=None)

    def _throttle(self, local: local_task.LocalTask, share: float) -> None:
        local.share, local.share_sequence = share, self._next_sequence()
        self._actions.append(actions.Throttle(local.holder, share))

    def apply_renew_result(
        self, holder: resources.Holder, result: str
    ) -> None:
        """Apply the result of a renewal: `renewed`, `refused` or `unknown`."""
        local = self.tasks.get(holder)
        if local is None or local.pending_renewal is None:
            return
        confirmed, local.pending_renewal = local.pending_renewal, None
        if result != 'renewed' or local.phase is not Phase.RUNNING:
            return
        # Only capacity that the worker confirmed may go to another task.
        target = local.target or self.ledger.required(holder)
        self.ledger.resize(holder, target.elementwise_max(confirmed))

    def apply_usages(
        self, usages: typing.Iterable[actions.Usage], now: float
    ) -> None:
        """Apply delayed measurements and adjust the reservations."""
        for usage in usages:
            local = self.tasks.get(usage.holder)
            if local is None or local.phase is not Phase.RUNNING:
                continue
            if local.share == 1.0:
                # A throttled task uses less than its kind needs.
                local.samples += 1
                self.sizes.observe(local.spec, usage.used, local.samples, now)
            self._fit_reservation(local, usage.used, now)
        self._evict_for_shortage(now)
        self._admit(now)

    def _fit_reservation(
        self, local: local_task.LocalTask, used: types.Demand, now: float
    ) -> None:
        reserved = self.ledger.reserved(local.holder)
        assert reserved is not None, 'running task has no reservation'
        target = used.elementwise_max(reserved)
        # No kind is measured after a restart, and an estimate from the
        # declared size could evict adopted tasks that fit.
        if self.sizes.is_measured(local.spec.kind):
            target = used.elementwise_max(self._estimate(local.spec, now))
        local.target = target
        self.ledger.resize(local.holder, target.elementwise_max(reserved))
        assert used.fits(self.ledger.required(local.holder)), (
            'reservation is below the measured use'
        )

    def _evict_for_shortage(self, now: float) -> None:
        if not self.ledger.is_short():
            return
        for victim in eviction.choose_victims(
            self.tasks.values(),
            self.ledger,
            types.Demand(),
            spare_urgent=False,
        ):
            self.evict(victim.holder, 'the tasks need more room', now)

    def _finalize(
        self,
        local: local_task.LocalTask,
        task: actions.WorkerTask | None,
        now: float,
    ) -> None:
        if self.ledger.reserved(local.holder) is not None:
            self.ledger.release(local.holder)
        local.listed_by_worker = task is not None
        if task is None:
            report = local_task.infer_report(local, 'lost', '', '')
        else:
            report = local_task.infer_report(
                local, task.state, task.checkpoint, task.detail
            )
        self._end(local, report, now)

    def _report_started(self, local: local_task.LocalTask) -> None:
        self._repeat_report(local, 0.0)

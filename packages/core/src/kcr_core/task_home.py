"""Decide which assigned tasks a home admits, renews, evicts and reports.

The inputs are assignments and stops from the entries, the authority to run
tasks, and time; the results are actions for the worker and reports for the
entries. A home is one incarnation of a sidecar, to which the log assigns
epochs of tasks. Only the home reserves resources of its instance. The
subclass in `task_control` applies the replies of the worker; the sidecar
calls both.
"""

import collections

from kcr_core import authority
from kcr_core import ended_epochs
from kcr_core import eviction
from kcr_core import local_task
from kcr_core import messages
from kcr_core import resources
from kcr_core import sizes
from kcr_core import task_actions as actions
from kcr_core import types

Phase = local_task.Phase

# Local tasks at the same time, including those with unacknowledged reports.
MAX_TASKS = 1024
# Interval between requests for the list of the worker.
LIST_INTERVAL_S = 0.5
# Time after which an unanswered request for the list is repeated.
LIST_TIMEOUT_S = 3.0
# Time after which an unacknowledged report is repeated.
REPORT_RETRY_S = 2.0
# Time after which a stop command is repeated.
STOP_RETRY_S = 1.0
# Time after which a refused start is retried.
START_RETRY_S = 0.5
# Time after which a start without a reply counts as unconfirmed.
START_TIMEOUT_S = 3.0
# Waiting time of a batch task after which later ones are no longer admitted
# before it.
BYPASS_TIMEOUT_S = 30.0
RENEWALS_PER_LEASE = 3.0


class TaskHome:
    """Own the local tasks and the reservations of one instance."""

    def __init__(
        self,
        incarnation: str,
        capacity: types.Demand,
        settings: types.ControlSettings,
    ) -> None:
        # Incarnation of this sidecar; an assignment must name it.
        self.incarnation = incarnation
        # Settings from the document in force.
        self.settings = settings
        # Reservations of the instance.
        self.ledger = resources.ReservationLedger(capacity)
        # Measured sizes by kind of task.
        self.sizes = sizes.Sizes(settings.unknown_size_factor)
        # Local tasks by key and epoch.
        self.tasks: dict[resources.Holder, local_task.LocalTask] = {}
        # Ended epochs and their reports.
        self.ended = ended_epochs.EndedEpochs()
        # Monotonic time at which the authority ends.
        self.authority_until = authority.NEVER
        # Whether this incarnation is fenced.
        self.fenced = False
        # Whether a list of the worker was read under the controller lease.
        self.ready = False
        # Whether the sidecar is shutting down.
        self.draining = False
        # Epoch of the controller lease.
        self.controller_epoch = 0
        # Counters of events, by fixed names.
        self.counts: collections.Counter[str] = collections.Counter()
        self._early_stops: dict[resources.Holder, messages.StopTask] = {}
        self._had_authority = False
        self._sequence = 0
        self._list_requested_at = authority.NEVER
        self._list_pending = False
        self._actions: list[actions.Action] = []

    def take_actions(self) -> list[actions.Action]:
        """Return the actions decided since the last call, in order."""
        taken, self._actions = self._actions, []
        return taken

    def is_authorized(self, now: float) -> bool:
        """Return whether tasks may run at `now`."""
        return not self.fenced and now < self.authority_until

    def is_drained(self) -> bool:
        """Return whether every task has ended and every report is durable."""
        if self.fenced:
            return not any(local.is_alive() for local in self.tasks.values())
        return not self.tasks

    def count_waiting(self) -> int:
        """Return the number of tasks that wait for free capacity."""
        return sum(
            local.phase is Phase.WAITING for local in self.tasks.values()
        )

    def list_running(self) -> tuple[types.RunningTask, ...]:
        """Return the epochs that may run or whose end is not durable yet.

        An entry may move an epoch that is not listed here at once.
        """
        return tuple(
            types.RunningTask(*local.holder)
            for local in self.tasks.values()
            if local.phase is not Phase.WAITING
        )

    # Messages from the entries.

    def assign(self, msg: messages.Assign, now: float) -> None:
        """Accept a task that a record of the log assigns to this home."""
        key, holder = msg.spec.key, (msg.spec.key, msg.epoch)
        if holder in self.tasks:
            self._repeat_report(self.tasks[holder], now)
            return
        if holder in self.ended:
            report = self.ended.report(holder)
            if report is not None:
                self._actions.append(actions.Report(report))
            return
        refusal = self._check_record(msg)
        if refusal:
            self.counts['assign_refused'] += 1
            wait = messages.TaskWait(key, msg.epoch, refusal)
            self._actions.append(actions.Report(wait))
            return
        local = local_task.LocalTask(msg.spec, msg.epoch, msg.checkpoint, now)
        if len(self.tasks) >= MAX_TASKS:
            report = messages.Evicted(
                key, msg.epoch, msg.checkpoint, 'home holds too many tasks'
            )
            self.ended.store(holder, report)
            self._actions.append(actions.Report(report))
            return
        self.tasks[holder] = local
        self.ended.record_epoch(holder)
        refusal = self._check_home(msg.spec)
        if refusal:
            self.evict(holder, refusal, now)
            return
        for other in self._other_epochs(local):
            self.evict(other.holder, 'a newer epoch was assigned', now)
        self._admit(now)

    def _check_record(self, msg: messages.Assign) -> str:
        if msg.incarnation != self.incarnation:
            return 'the record names another incarnation'
        if self.ended.newest(msg.spec.key) > msg.epoch:
            return 'a newer epoch is known'
        return ''

    def _check_home(self, spec: types.TaskSpec) -> str:
        if self.draining or self.fenced:
            return 'home is leaving'
        if not spec.demand.fits(self.ledger.capacity):
            return 'declared size exceeds the instance'
        return ''

    def _repeat_report(self, local: local_task.LocalTask, now: float) -> None:
        if local.phase is Phase.RUNNING:
            self._actions.append(
                actions.Report(messages.Started(*local.holder))
            )
        elif local.phase is Phase.ENDED:
            self._send_report(local, now)
        elif local.wait_reason:
            wait = messages.TaskWait(*local.holder, local.wait_reason)
            self._actions.append(actions.Report(wait))

    def stop_task(self, msg: messages.StopTask, now: float) -> None:
        """Stop an epoch of a cancelled task; never start an unknown one."""
        holder = (msg.task, msg.epoch)
        if not self.ready:
            # The worker may run the epoch for an earlier incarnation.
            if len(self._early_stops) < MAX_TASKS:
                self._early_stops[holder] = msg
            return
        if holder not in self.tasks:
            if self.ended.report(holder) is None:
                report = messages.Evicted(*holder, '', 'cancelled')
                if holder not in self.ended:
                    self.ended.store(holder, report)
                self._actions.append(actions.Report(report))
            return
        self.evict(holder, 'cancelled', now)

    def acknowledge(self, msg: messages.ReportAck) -> None:
        """Remove an ended epoch whose report is durable."""
        holder = (msg.task, msg.epoch)
        local = self.tasks.get(holder)
        if local is None:
            if holder in self.ended:
                self.ended.store(holder, None)
            return
        if local.phase is not Phase.ENDED:
            return
        if local.listed_by_worker:
            self._actions.append(actions.Forget(holder))
        del self.tasks[holder]
        self.ended.store(holder, None)

    # Decisions of this home.

    def evict(self, holder: resources.Holder, reason: str, now: float) -> bool:
        """Checkpoint and stop an epoch; return whether this call began it."""
        local = self.tasks.get(holder)
        if local is None or local.stop_reason or local.phase is Phase.ENDED:
            return False
        local.stop_reason = reason
        if local.is_alive():
            self.counts['evictions'] += 1
        if local.phase is Phase.WAITING:
            report = messages.Evicted(*holder, local.checkpoint, reason)
            self._end(local, report, now)
        elif local.phase is Phase.RUNNING:
            self._stop(local, now)
        return True

    def set_authority(self, until: float, fenced: bool, now: float) -> None:
        """Set the end of the authority and whether the home is fenced."""
        self.authority_until = until
        self.fenced = self.fenced or fenced
        self.tick(now)

    def drain(self, now: float) -> None:
        """Evict all tasks and refuse further assignments."""
        self.draining = True
        self._evict_all('home is leaving', now)

    def tick(self, now: float) -> None:
        """Send due renewals, repeats and list requests; admit tasks."""
        if self.is_authorized(now):
            self._had_authority = True
        elif self._had_authority or self.fenced:
            self._evict_running('home lost its authority', now)
        if self.draining:
            self._evict_all('home is leaving', now)
        for local in list(self.tasks.values()):
            self._tick_task(local, now)
        self._request_list(now)
        self._admit(now)

    def _tick_task(self, local: local_task.LocalTask, now: float) -> None:
        if local.phase is Phase.RUNNING:
            self._renew(local, now)
        elif local.phase is Phase.STARTING:
            local.unconfirmed |= now - local.started_at >= START_TIMEOUT_S
        elif local.phase is Phase.STOPPING:
            if now - local.stop_sent_at >= STOP_RETRY_S:
                self._stop(local, now)
        elif local.phase is Phase.ENDED:
            if now - local.reported_at >= REPORT_RETRY_S:
                self._send_report(local, now)

    def _renew(self, local: local_task.LocalTask, now: float) -> None:
        lease = self.settings.task_lease_s
        age = now - local.renewed_at
        if not self.is_authorized(now) or age < lease / RENEWALS_PER_LEASE:
            return
        if local.pending_renewal is not None and age < lease:
            return
        reserved = self.ledger.reserved(local.holder)
        assert reserved is not None, 'running task has no reservation'
        target = local.target or reserved
        local.renewed_at = now
        local.pending_renewal = sizes.limit_to(target, reserved)
        self._actions.append(
            actions.Renew(local.holder, local.pending_renewal)
        )

    def _request_list(self, now: float) -> None:
        unconfirmed = any(local.unconfirmed for local in self.tasks.values())
        timeout = LIST_TIMEOUT_S if self._list_pending else LIST_INTERVAL_S
        if (
            not self.controller_epoch
            or now - self._list_requested_at < timeout
        ):
            return
        self._list_pending = True
        self._list_requested_at = now
        self._actions.append(
            actions.RequestListing(self._next_sequence(), unconfirmed)
        )

    def _admit(self, now: float) -> None:
        waiting = [
            local
            for local in self.tasks.values()
            if local.phase is Phase.WAITING and now >= local.retry_at
        ]
        if not self.ready or not self.is_authorized(now):
            reason = 'the home has no authority to run tasks'
            if not self.ready:
                reason = "the worker's list of tasks was not read yet"
            for local in waiting:
                self._report_wait(local, reason)
            return
        waiting.sort(
            key=lambda local: (not local.spec.urgent, local.assigned_at)
        )
        for local in waiting:
            if any(other.is_alive() for other in self._other_epochs(local)):
                self._report_wait(local, 'an older epoch is stopping')
                continue
            demand = self._estimate(local.spec, now)
            if self.ledger.reserve(local.holder, demand):
                self._start(local, now)
                continue
            self._report_wait(local, 'no room at the home')
            if local.spec.urgent:
                self._evict_for(demand, now)
                return
            if now - local.assigned_at > BYPASS_TIMEOUT_S:
                return

    def _estimate(self, spec: types.TaskSpec, now: float) -> types.Demand:
        demand = self.sizes.estimate(spec, now)
        return sizes.limit_to(demand, self.ledger.capacity)

    def _evict_for(self, demand: types.Demand, now: float) -> None:
        for victim in eviction.choose_victims(
            self.tasks.values(), self.ledger, demand, spare_urgent=True
        ):
            self.evict(victim.holder, 'an urgent task needs the room', now)

    def _report_wait(self, local: local_task.LocalTask, reason: str) -> None:
        if local.wait_reason != reason:
            local.wait_reason = reason
            wait = messages.TaskWait(*local.holder, reason)
            self._actions.append(actions.Report(wait))

    def _start(self, local: local_task.LocalTask, now: float) -> None:
        assert local.phase is Phase.WAITING, (
            'epoch is started, but is not waiting'
        )
        assert local.holder not in self.ended, 'epoch is started after its end'
        assert self.is_authorized(now), (
            'task is started without authority to run tasks'
        )
        assert not any(
            other.is_alive() for other in self._other_epochs(local)
        ), 'task is started while another epoch of it may run'
        self.counts['place_checks'] += 1
        local.phase = Phase.STARTING
        local.started_at = local.renewed_at = now
        local.start_controller_epoch = self.controller_epoch
        local.unconfirmed = False
        self.counts['starts'] += 1
        reserved = self.ledger.reserved(local.holder)
        assert reserved is not None, 'task is started without a reservation'
        self._actions.append(
            actions.Start(
                local.holder,
                local.spec,
                reserved,
                local.checkpoint,
                local.start_controller_epoch,
            )
        )

    def _stop(self, local: local_task.LocalTask, now: float) -> None:
        local.phase = Phase.STOPPING
        local.stop_sent_at = now
        self._actions.append(actions.Stop(local.holder))

    def _evict_running(self, reason: str, now: float) -> None:
        for local in list(self.tasks.values()):
            if local.is_alive():
                # A start in flight may still take effect; only a list under a
                # newer controller epoch proves that it will not.
                local.unconfirmed = local.phase is Phase.STARTING
                self.evict(local.holder, reason, now)

    def _evict_all(self, reason: str, now: float) -> None:
        for holder in list(self.tasks):
            self.evict(holder, reason, now)

    # Local state.

    def _other_epochs(
        self, local: local_task.LocalTask
    ) -> list[local_task.LocalTask]:
        key = local.spec.key
        if self.ended.newest(key) == local.epoch == 1:
            return []
        return [
            other
            for other in self.tasks.values()
            if other.spec.key == key and other is not local
        ]

    def _end(
        self,
        local: local_task.LocalTask,
        report: messages.Finished | messages.Evicted,
        now: float,
    ) -> None:
        assert local.report is None, 'ended epoch already has a report'
        assert self.ledger.reserved(local.holder) is None, (
            'ended task still has a reservation'
        )
        self.counts['end_checks'] += 1
        local.phase = Phase.ENDED
        local.unconfirmed = False
        local.report = report
        self._send_report(local, now)

    def _send_report(self, local: local_task.LocalTask, now: float) -> None:
        assert local.report is not None, 'ended epoch has no report'
        local.reported_at = now
        self._actions.append(actions.Report(local.report))

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence

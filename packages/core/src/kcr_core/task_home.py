"""Decide which assigned tasks a home admits, renews, evicts and reports.

The home is the only authority over the instance's resources. What the
worker answers is handled in `task_control`.
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

# Tasks that are held at the same time, those with open reports included.
MAX_TASKS = 1024
# Time between questions for the worker's list.
LIST_S = 0.5
# Time after which a question for the list is asked again.
LIST_LIMIT_S = 3.0
# Time after which a report without acknowledgement is repeated.
REPORT_S = 2.0
# Time after which a stop command is repeated.
STOP_S = 1.0
# Time after which a refused start is tried again.
START_RETRY_S = 0.5
# Time after which a start without an answer is taken for unsure.
START_LIMIT_S = 3.0
# Wait of a batch task after which smaller ones no longer pass it.
BYPASS_S = 30.0
# Renewals per task lease.
RENEWALS = 3.0


class TaskHome:
    """Own the tasks and the reservations of the instance."""

    def __init__(
        self,
        incarnation: str,
        capacity: types.Demand,
        settings: types.ControlSettings,
    ) -> None:
        # Incarnation that a record must name.
        self.incarnation = incarnation
        # Settings of the document in force.
        self.settings = settings
        # Reservations of the instance.
        self.ledger = resources.ReservationLedger(capacity)
        # Learnt sizes by kind.
        self.sizes = sizes.Sizes(settings.unknown_size_factor)
        # Held epochs.
        self.tasks: dict[resources.Holder, local_task.LocalTask] = {}
        # Ended epochs.
        self.ended = ended_epochs.EndedEpochs()
        # Time at which the authority ends.
        self.authority_until = authority.NEVER
        # Whether the incarnation is fenced.
        self.fenced = False
        # Whether the worker's list was read under the controller lease.
        self.ready = False
        # Whether the sidecar is leaving.
        self.draining = False
        # Epoch of the controller lease.
        self.controller_epoch = 0
        # Counters of what happened, by fixed names.
        self.counts: collections.Counter[str] = collections.Counter()
        self._early_stops: dict[resources.Holder, messages.StopTask] = {}
        self._had_authority = False
        self._sequence = 0
        self._list_requested_at = authority.NEVER
        self._list_pending = False
        self._out: list[actions.Action] = []

    def take_actions(self) -> list[actions.Action]:
        """Return what was decided since the last call, in order."""
        out, self._out = self._out, []
        return out

    def is_authorized(self, now: float) -> bool:
        """Tell whether tasks may run at `now`."""
        return not self.fenced and now < self.authority_until

    def is_drained(self) -> bool:
        """Tell whether every task has ended and every report arrived."""
        if self.fenced:
            return not any(held.is_alive() for held in self.tasks.values())
        return not self.tasks

    def count_waiting(self) -> int:
        """Return the number of tasks that wait for room."""
        return sum(held.phase is Phase.WAITING for held in self.tasks.values())

    def list_running(self) -> tuple[types.RunningTask, ...]:
        """Return the epochs that may run or whose end is not durable yet.

        An entry that does not find an epoch here may move it at once.
        """
        return tuple(
            types.RunningTask(*held.holder)
            for held in self.tasks.values()
            if held.phase is not Phase.WAITING
        )

    # Messages of the entries.

    def assign(self, msg: messages.Assign, now: float) -> None:
        """Take a task that a record of the log gives to this home."""
        key, holder = msg.spec.key, (msg.spec.key, msg.epoch)
        if holder in self.tasks:
            self._repeat_report(self.tasks[holder], now)
            return
        if holder in self.ended:
            report = self.ended.report(holder)
            if report is not None:
                self._out.append(actions.Report(report))
            return
        refusal = self._check_record(msg)
        if refusal:
            self.counts['assign_refused'] += 1
            wait = messages.TaskWait(key, msg.epoch, refusal)
            self._out.append(actions.Report(wait))
            return
        held = local_task.LocalTask(msg.spec, msg.epoch, msg.checkpoint, now)
        if len(self.tasks) >= MAX_TASKS:
            report = messages.Evicted(
                key, msg.epoch, msg.checkpoint, 'home holds too many tasks'
            )
            self.ended.add(holder, report)
            self._out.append(actions.Report(report))
            return
        self.tasks[holder] = held
        self.ended.record_epoch(holder)
        refusal = self._check_home(msg.spec)
        if refusal:
            self.evict(holder, refusal, now)
            return
        for other in self._other_epochs(held):
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

    def _repeat_report(self, held: local_task.LocalTask, now: float) -> None:
        if held.phase is Phase.RUNNING:
            self._out.append(actions.Report(messages.Started(*held.holder)))
        elif held.phase is Phase.ENDED:
            self._send_report(held, now)
        elif held.wait_reason:
            wait = messages.TaskWait(*held.holder, held.wait_reason)
            self._out.append(actions.Report(wait))

    def stop_task(self, msg: messages.StopTask, now: float) -> None:
        """Stop an epoch of a cancelled task; an unknown one never starts."""
        holder = (msg.task, msg.epoch)
        if not self.ready:
            # The worker may run the epoch for an older incarnation.
            if len(self._early_stops) < MAX_TASKS:
                self._early_stops[holder] = msg
            return
        if holder not in self.tasks:
            if self.ended.report(holder) is None:
                report = messages.Evicted(*holder, '', 'cancelled')
                if holder not in self.ended:
                    self.ended.add(holder, report)
                self._out.append(actions.Report(report))
            return
        self.evict(holder, 'cancelled', now)

    def acknowledge(self, msg: messages.ReportAck) -> None:
        """Forget an ended epoch whose report is durable."""
        holder = (msg.task, msg.epoch)
        held = self.tasks.get(holder)
        if held is None:
            if holder in self.ended:
                self.ended.add(holder, None)
            return
        if held.phase is not Phase.ENDED:
            return
        if held.kept_by_worker:
            self._out.append(actions.Forget(holder))
        del self.tasks[holder]
        self.ended.add(holder, None)

    # Decisions of this home.

    def evict(self, holder: resources.Holder, reason: str, now: float) -> bool:
        """Checkpoint and stop an epoch; return whether it was new."""
        held = self.tasks.get(holder)
        if held is None or held.stop_reason or held.phase is Phase.ENDED:
            return False
        held.stop_reason = reason
        if held.is_alive():
            self.counts['evictions'] += 1
        if held.phase is Phase.WAITING:
            report = messages.Evicted(*holder, held.checkpoint, reason)
            self._end(held, report, now)
        elif held.phase is Phase.RUNNING:
            self._stop(held, now)
        return True

    def set_authority(self, until: float, fenced: bool, now: float) -> None:
        """Take the time at which the authority ends."""
        self.authority_until = until
        self.fenced = self.fenced or fenced
        self.tick(now)

    def drain(self, now: float) -> None:
        """Evict everything and take nothing more."""
        self.draining = True
        self._evict_all('home is leaving', now)

    def tick(self, now: float) -> None:
        """Renew, repeat, ask and admit what is due."""
        if self.is_authorized(now):
            self._had_authority = True
        elif self._had_authority or self.fenced:
            self._evict_running('home lost its authority', now)
        if self.draining:
            self._evict_all('home is leaving', now)
        for held in list(self.tasks.values()):
            self._tick_task(held, now)
        self._request_list(now)
        self._admit(now)

    def _tick_task(self, held: local_task.LocalTask, now: float) -> None:
        if held.phase is Phase.RUNNING:
            self._renew(held, now)
        elif held.phase is Phase.STARTING:
            held.unconfirmed |= now - held.started_at >= START_LIMIT_S
        elif held.phase is Phase.STOPPING:
            if now - held.stop_sent_at >= STOP_S:
                self._stop(held, now)
        elif held.phase is Phase.ENDED:
            if now - held.reported_at >= REPORT_S:
                self._send_report(held, now)

    def _renew(self, held: local_task.LocalTask, now: float) -> None:
        lease = self.settings.task_lease_s
        age = now - held.renewed_at
        if not self.is_authorized(now) or age < lease / RENEWALS:
            return
        if held.pending_renewal is not None and age < lease:
            return
        reserved = self.ledger.reserved(held.holder)
        assert reserved is not None, 'running task without reservation'
        wanted = held.target or reserved
        held.renewed_at = now
        held.pending_renewal = sizes.limit_to(wanted, reserved)
        self._out.append(actions.Renew(held.holder, held.pending_renewal))

    def _request_list(self, now: float) -> None:
        unsure = any(held.unconfirmed for held in self.tasks.values())
        limit = LIST_LIMIT_S if self._list_pending else LIST_S
        if not self.controller_epoch or now - self._list_requested_at < limit:
            return
        self._list_pending = True
        self._list_requested_at = now
        self._out.append(actions.RequestListing(self._next_sequence(), unsure))

    def _admit(self, now: float) -> None:
        waiting = [
            held
            for held in self.tasks.values()
            if held.phase is Phase.WAITING and now >= held.retry_at
        ]
        if not self.ready or not self.is_authorized(now):
            reason = 'the home has no authority to run tasks'
            if not self.ready:
                reason = "the worker's list of tasks was not read yet"
            for held in waiting:
                self._report_wait(held, reason)
            return
        waiting.sort(key=lambda h: (not h.spec.urgent, h.assigned_at))
        for held in waiting:
            if any(o.is_alive() for o in self._other_epochs(held)):
                self._report_wait(held, 'an older epoch is stopping')
                continue
            demand = self._estimate(held.spec, now)
            if self.ledger.reserve(held.holder, demand):
                self._start(held, now)
                continue
            self._report_wait(held, 'no room at the home')
            if held.spec.urgent:
                self._make_room(demand, now)
                return
            if now - held.assigned_at > BYPASS_S:
                return

    def _estimate(self, spec: types.TaskSpec, now: float) -> types.Demand:
        demand = self.sizes.estimate(spec, now)
        return sizes.limit_to(demand, self.ledger.capacity)

    def _make_room(self, demand: types.Demand, now: float) -> None:
        for victim in eviction.choose_victims(
            self.tasks.values(), self.ledger, demand, spare_urgent=True
        ):
            self.evict(victim.holder, 'an urgent task needs the room', now)

    def _report_wait(self, held: local_task.LocalTask, reason: str) -> None:
        if held.wait_reason != reason:
            held.wait_reason = reason
            wait = messages.TaskWait(*held.holder, reason)
            self._out.append(actions.Report(wait))

    def _start(self, held: local_task.LocalTask, now: float) -> None:
        assert held.phase is Phase.WAITING, 'epoch is started twice'
        assert held.holder not in self.ended, 'ended epoch is started'
        assert self.is_authorized(now), 'start without authority'
        assert not any(o.is_alive() for o in self._other_epochs(held)), (
            'task would run in two places'
        )
        self.counts['place_checks'] += 1
        held.phase = Phase.STARTING
        held.started_at = held.renewed_at = now
        held.start_controller_epoch = self.controller_epoch
        held.unconfirmed = False
        self.counts['starts'] += 1
        reserved = self.ledger.reserved(held.holder)
        assert reserved is not None, 'start without reservation'
        self._out.append(
            actions.Start(
                held.holder,
                held.spec,
                reserved,
                held.checkpoint,
                held.start_controller_epoch,
            )
        )

    def _stop(self, held: local_task.LocalTask, now: float) -> None:
        held.phase = Phase.STOPPING
        held.stop_sent_at = now
        self._out.append(actions.Stop(held.holder))

    def _evict_running(self, reason: str, now: float) -> None:
        for held in list(self.tasks.values()):
            if held.is_alive():
                # A start on its way must be proved to have no effect.
                held.unconfirmed = held.phase is Phase.STARTING
                self.evict(held.holder, reason, now)

    def _evict_all(self, reason: str, now: float) -> None:
        for holder in list(self.tasks):
            self.evict(holder, reason, now)

    # Bookkeeping.

    def _other_epochs(
        self, held: local_task.LocalTask
    ) -> list[local_task.LocalTask]:
        key = held.spec.key
        if self.ended.newest(key) == held.epoch == 1:
            return []
        return [
            other
            for other in self.tasks.values()
            if other.spec.key == key and other is not held
        ]

    def _end(
        self,
        held: local_task.LocalTask,
        report: messages.Finished | messages.Evicted,
        now: float,
    ) -> None:
        assert held.report is None, 'end of an epoch is reported twice'
        assert self.ledger.reserved(held.holder) is None, (
            'ended task holds room'
        )
        self.counts['end_checks'] += 1
        held.phase = Phase.ENDED
        held.unconfirmed = False
        held.report = report
        self._send_report(held, now)

    def _send_report(self, held: local_task.LocalTask, now: float) -> None:
        assert held.report is not None, 'ended epoch without a report'
        held.reported_at = now
        self._out.append(actions.Report(held.report))

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence

"""Own the durable tasks of the instance and report them to the entries.

Entries assign and stop tasks through their sessions, the announcer reports the
authority to run tasks, and the worker adapter reports results and listings.
`kcr_core.task_control` decides on these inputs; this task sends the resulting
commands to the worker adapter and the reports to the entries.
"""

import collections
import dataclasses
import typing

from kcr_core import message_base
from kcr_core import messages
from kcr_core import resources
from kcr_core import task_actions as actions
from kcr_core import task_control
from kcr_core import types
from kcr_runtime import process
from kcr_runtime import task
from kcr_runtime.wire import session
from kcr_sidecar import addresses
from kcr_sidecar.capacity import shutdown
from kcr_sidecar import events
from kcr_sidecar.platform import worker

# Interval between scans of leases, reports and waiting tasks, in seconds.
TICK_INTERVAL_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class TasksLoad:
    """Report the tasks of the instance; sent to the announcer."""

    # Resources that are not reserved.
    free: types.Demand
    # Number of tasks that wait for resources.
    waiting: int
    # Epoch of the controller lease; 0 until the worker's list is applied.
    controller_epoch: int
    # Epochs that run, and ended ones whose end is not yet durable.
    running: tuple[types.RunningTask, ...]


class _Tick:
    pass


class TaskControl(task.Task):
    """Own the state of the tasks whose home is this sidecar."""

    def __init__(self, ctx: task.Context, address: str) -> None:
        super().__init__(ctx, address)
        capacity = ctx.cfg.capacity().resources
        self._control = task_control.HomeControl(
            ctx.incarnation, capacity, types.ControlSettings()
        )
        self._sessions: list[str] = []
        # Sessions that assigned each epoch; at most one per open session.
        self._senders: dict[resources.Holder, dict[str, None]] = {}
        self._reported_counts: collections.Counter[str] = collections.Counter()
        self._reported_load: TasksLoad | None = None
        self._reported_running: events.TasksRunning | None = None

    def started(self) -> None:
        """Start the timer."""
        self.on_failure = self._stop_process
        self.post(_Tick())

    def _stop_process(self, exc: BaseException) -> None:
        # A restarted task would not know which commands this incarnation has
        # sent, so the process must stop and continue as a new incarnation.
        self.log.error('task control failed', exc_info=exc)
        reason = f'task control failed: {exc}'
        self.send(process.PROCESS_ADDRESS, process.Fatal(reason))

    def dump(self) -> dict[str, typing.Any]:
        """Return the local tasks and the reservations."""
        control = self._control
        return {
            **super().dump(),
            'ready': control.ready,
            'authorized': control.is_authorized(self.now()),
            'fenced': control.fenced,
            'tasks': {
                f'{key}:{epoch}': local.phase.value
                for (key, epoch), local in control.tasks.items()
            },
            'reserved': dataclasses.asdict(control.ledger.total()),
            'ended': len(control.ended),
            'counts': dict(control.counts),
            'capacity_checks': control.ledger.checks,
        }

    @task.handles(session.Opened)
    def _on_opened(self, event: session.Opened) -> None:
        self._sessions.append(event.session)
        self._resend_state()

    @task.handles(session.Closed)
    def _on_closed(self, event: session.Closed) -> None:
        if event.session in self._sessions:
            self._sessions.remove(event.session)
            for senders in self._senders.values():
                senders.pop(event.session, None)

    @task.handles(session.DialFailed)
    def _on_dial_failed(self, event: session.DialFailed) -> None:
        """Do nothing; the announcer counts the failure."""

    @task.handles(session.SendRefused)
    def _on_send_refused(self, event: session.SendRefused) -> None:
        """Do nothing; reports are repeated until they are acknowledged."""

    @task.handles(session.Received)
    def _on_received(self, event: session.Received) -> None:
        msg, now = event.msg, self.now()
        if isinstance(msg, messages.Assign):
            senders = self._senders.setdefault((msg.spec.key, msg.epoch), {})
            senders[event.session] = None
            self._control.assign(msg, now)
        elif isinstance(msg, messages.StopTask):
            self._control.stop_task(msg, now)
        elif isinstance(msg, messages.ReportAck):
            self._control.acknowledge(msg)
        self._carry_out()

    @task.handles(events.AuthorityChanged)
    def _on_authority(self, msg: events.AuthorityChanged) -> None:
        if msg.fenced and not self._control.fenced:
            self.log.error('incarnation is fenced; the process will end')
            self.send(addresses.SHUTDOWN, shutdown.Drain())
        self._control.set_authority(msg.until, msg.fenced, self.now())
        self._carry_out()

    @task.handles(events.SettingsInForce)
    def _on_settings(self, msg: events.SettingsInForce) -> None:
        self._control.settings = msg.settings
        self._control.sizes.factor = msg.settings.unknown_size_factor
        self._resend_state()

    def _resend_state(self) -> None:
        """Send the state again to tasks that may have been restarted."""
        self._reported_load = self._reported_running = None
        self._report_load()
        # Settings are redelivered periodically; the running tasks are sent
        # with each delivery, so that a restarted interference task gets them.
        self._reported_running = None
        self._report_running()

    @task.handles(worker.ControllerTaken)
    def _on_controller(self, msg: worker.ControllerTaken) -> None:
        self.log.info('controller lease taken', epoch=msg.epoch)
        self._control.take_controller_epoch(msg.epoch, self.now())
        self._carry_out()

    @task.handles(actions.Listing)
    def _on_listing(self, listing: actions.Listing) -> None:
        rebuilt = not self._control.ready
        self._control.apply_listing(listing, self.now())
        if rebuilt:
            self.log.info('tasks rebuilt', tasks=len(self._control.tasks))
        self._carry_out()

    @task.handles(worker.StartEnded)
    def _on_start_ended(self, msg: worker.StartEnded) -> None:
        self._control.apply_start_result(msg.holder, msg.result, self.now())
        self._carry_out()

    @task.handles(worker.RenewEnded)
    def _on_renew_ended(self, msg: worker.RenewEnded) -> None:
        self._control.apply_renew_result(msg.holder, msg.result)
        self._carry_out()

    @task.handles(worker.StopEnded)
    def _on_stop_ended(self, msg: worker.StopEnded) -> None:
        self._control.apply_stop_result(msg.holder, msg.task, self.now())
        self._carry_out()

    @task.handles(worker.UsageMeasured)
    def _on_usage_measured(self, msg: worker.UsageMeasured) -> None:
        self._control.apply_usages(msg.usages, self.now())
        self._carry_out()

    @task.handles(events.Evict)
    def _on_evict(self, msg: events.Evict) -> None:
        self._control.evict_task(msg.task, msg.reason, self.now())
        self._carry_out()

    @task.handles(events.Throttle)
    def _on_throttle(self, msg: events.Throttle) -> None:
        self._control.throttle_task(msg.task, msg.share)
        self._carry_out()

    def _report_running(self) -> None:
        running = events.TasksRunning(
            tuple(
                events.RunningWork(
                    local.spec.key,
                    local.spec.kind,
                    self._control.ledger.reserved(local.holder)
                    or local.spec.demand,
                    local.share,
                    local.spec.urgent,
                )
                for local in self._control.list_alive()
            )
        )
        if running != self._reported_running:
            self._reported_running = running
            self.send(addresses.INTERFERENCE, running)

    @task.handles(events.BeginDrain)
    def _on_begin_drain(self, msg: events.BeginDrain) -> None:
        self._control.drain(self.now())
        self._carry_out()

    @task.handles(_Tick)
    def _on_tick(self, msg: _Tick) -> None:
        self._control.tick(self.now())
        self._carry_out()
        self._update_metrics()
        if self._control.draining and self._control.is_drained():
            self.send(addresses.SHUTDOWN, events.PartDrained(self.address))
        self.after(TICK_INTERVAL_S, _Tick())

    def _carry_out(self) -> None:
        for action in self._control.take_actions():
            if isinstance(action, actions.Report):
                self._send_report(action.msg)
            else:
                self.send(addresses.WORKER, action)
        self._report_load()

    def _send_report(self, msg: message_base.Message) -> None:
        if not self._sessions:
            return
        holder = (msg.task, msg.epoch)
        if isinstance(msg, messages.Started | messages.TaskWait):
            # Every entry that assigned the epoch replies to callers about it.
            names = list(self._senders.get(holder, ()))
        else:
            # Only one entry gets the report; a repetition may go to another.
            names = list(self._senders.pop(holder, ()))[-1:]
        for name in names or [self.ctx.rng.choice(self._sessions)]:
            self.send(name, session.Send(msg))

    def _report_load(self) -> None:
        control = self._control
        epoch = control.controller_epoch if control.ready else 0
        load = TasksLoad(
            control.ledger.free(),
            control.count_waiting(),
            epoch,
            control.list_running(),
        )
        if load != self._reported_load:
            self._reported_load = load
            self.send(addresses.ANNOUNCER, load)
        self._report_running()

    def _update_metrics(self) -> None:
        for name, value in self._control.counts.items():
            if value > self._reported_counts[name]:
                amount = value - self._reported_counts[name]
                self.ctx.metrics.count(f'task_{name}', amount)
                self._reported_counts[name] = value
        for holder in list(self._senders):
            if holder not in self._control.tasks:
                del self._senders[holder]

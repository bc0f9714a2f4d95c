"""Model the worker and the sidecar of an instance around its home control.

`test_task_control_machine` drives it and models the log and an entry.
"""

import collections
import dataclasses

from kcr_core import authority
from kcr_core import message_base
from kcr_core import task_actions as actions
from kcr_core import task_control
from kcr_core import types

SETTINGS = types.ControlSettings()
CAPACITY = types.Demand(8.0, 8000.0, 1)
# Duration of the controller lease; the sidecar requests the same.
CONTROLLER_TTL_S = 5.0
FENCE_WAIT_S = (
    SETTINGS.isolation_s + SETTINGS.task_lease_s + SETTINGS.allowance_s
)


@dataclasses.dataclass
class Run:
    """Represent one epoch at a modelled worker."""

    task: actions.WorkerTask
    lease_until: float


class Worker:
    """Model a worker that starts whatever it is sent and counts the starts."""

    def __init__(self, starts: collections.Counter[tuple[str, int]]) -> None:
        self.controller_epoch = 0
        self.controller_until = 0.0
        self.runs: dict[tuple[str, int], Run] = {}
        self.starts = starts

    def expire_leases(self, now: float) -> None:
        """Stop tasks whose lease has expired."""
        for holder, run in self.runs.items():
            if run.task.state == 'running' and now >= run.lease_until:
                self.end(holder, 'stopped')

    def end(self, holder: tuple[str, int], state: actions.WorkerState) -> None:
        """End a running epoch."""
        run = self.runs[holder]
        if run.task.state == 'running':
            run.task = dataclasses.replace(
                run.task, state=state, checkpoint=f'c{holder[1]}'
            )

    def renew_controller_lease(self, advance: bool, now: float) -> None:
        """Renew the controller lease, or take it under a new epoch."""
        if advance or now >= self.controller_until:
            self.controller_epoch += 1
        self.controller_until = now + CONTROLLER_TTL_S

    def running(self) -> list[actions.WorkerTask]:
        """Return the running tasks."""
        tasks = [run.task for run in self.runs.values()]
        return [task for task in tasks if task.state == 'running']

    def start(self, cmd: actions.Start, now: float) -> actions.StartResult:
        """Start an epoch unless the controller epoch is outdated."""
        if cmd.controller_epoch < self.controller_epoch:
            return 'refused'
        if now >= self.controller_until:
            return 'refused'
        if cmd.holder in self.runs:
            return 'unknown'
        self.starts[cmd.holder] += 1
        task = actions.WorkerTask(
            *cmd.holder, 'running', cmd.spec, cmd.reserved
        )
        self.runs[cmd.holder] = Run(task, now + SETTINGS.task_lease_s)
        return 'started'


class Instance:
    """Connect a home, its authority and its worker; commands may be late."""

    def __init__(
        self, name: str, starts: collections.Counter[tuple[str, int]]
    ) -> None:
        self.name = name
        self.incarnation_number = 0
        self.worker = Worker(starts)
        self.paused = False
        self.connected = True
        # Whether commands are delivered in the step that sends them.
        self.prompt = True
        # Number of the incarnation, time of sending and command, oldest first.
        self.pending: list[tuple[int, float, actions.Action]] = []
        self.reports: list[message_base.Message] = []
        self.restart(0.0)

    @property
    def incarnation(self) -> str:
        """Return the incarnation of the sidecar."""
        return f'{self.name}-{self.incarnation_number}'

    def restart(self, now: float) -> None:
        """Begin a new incarnation; commands of older ones may still arrive."""
        self.incarnation_number += 1
        self.paused = False
        self.reports = []
        self.authority = authority.Authority(SETTINGS)
        self.authority.add_entry('entry', 'e1')
        self.control = task_control.HomeControl(
            self.incarnation, CAPACITY, SETTINGS
        )
        self.worker.renew_controller_lease(True, now)
        self.control.take_controller_epoch(self.worker.controller_epoch, now)
        self.collect(now)

    def collect(self, now: float) -> None:
        """Queue the actions that the control has decided."""
        for action in self.control.take_actions():
            if isinstance(action, actions.Report):
                self.reports.append(action.msg)
            else:
                self.pending.append((self.incarnation_number, now, action))

    def deliver(self, index: int, answer: bool, now: float) -> None:
        """Carry out one command; its reply may be lost."""
        number, sent_at, action = self.pending.pop(index)
        lost = not answer or number != self.incarnation_number or self.paused
        if isinstance(action, actions.Start):
            result = self.worker.start(action, now)
            if number == self.incarnation_number and not self.paused:
                self.control.apply_start_result(
                    action.holder, 'unknown' if lost else result, now
                )
        elif isinstance(action, actions.RequestListing):
            if number == self.incarnation_number:
                self.list(action, lost, now)
        elif now - sent_at < SETTINGS.allowance_s:
            # The wait of a fence allows for no later delivery.
            self.command(action, number, lost, now)
        self.collect(now)

    def list(
        self, request: actions.RequestListing, lost: bool, now: float
    ) -> None:
        """Reply to a request for the list."""
        self.worker.renew_controller_lease(request.barrier, now)
        if lost:
            return
        tasks = tuple(run.task for run in self.worker.runs.values())
        listing = actions.Listing(
            request.sequence, self.worker.controller_epoch, tasks
        )
        self.control.apply_listing(listing, now)

    def command(
        self, action: actions.Action, number: int, lost: bool, now: float
    ) -> None:
        """Carry out a renewal, stop or forget of the current incarnation."""
        if number != self.incarnation_number:
            return
        assert isinstance(
            action, (actions.Renew, actions.Stop, actions.Forget)
        )
        run = self.worker.runs.get(action.holder)
        if isinstance(action, actions.Renew):
            result = 'refused'
            if run is not None and run.task.state == 'running':
                run.lease_until = now + SETTINGS.task_lease_s
                run.task = dataclasses.replace(
                    run.task, reserved=action.reserved
                )
                result = 'renewed'
            self.control.apply_renew_result(
                action.holder, 'unknown' if lost else result
            )
        elif isinstance(action, actions.Stop):
            if run is not None:
                self.worker.end(action.holder, 'stopped')
            if not lost:
                self.control.apply_stop_result(
                    action.holder, run.task if run else None, now
                )
        else:
            self.worker.runs.pop(action.holder, None)

    def step(self, now: float, log_age_ms: int, fenced: bool) -> None:
        """Advance this instance by one step of time."""
        self.worker.expire_leases(now)
        if self.paused:
            return
        if self.prompt:
            self.worker.renew_controller_lease(False, now)
        if self.connected:
            self.authority.renew('entry', 'e1', now, log_age_ms, fenced)
        self.control.set_authority(
            self.authority.expires_at(), self.authority.fenced, now
        )
        self.collect(now)
        while self.prompt and self.pending:
            self.deliver(0, True, now)

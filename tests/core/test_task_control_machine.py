"""Check that each epoch starts once and no task runs twice, with faults.

Commands are late, lost or overtaken; sidecars pause, restart, disconnect and
are fenced; the log fails; all in random steps.
"""

import collections

import home_model
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from kcr_core import local_task
from kcr_core import message_base
from kcr_core import messages
from kcr_core import task_actions as actions
from kcr_core import types

PICK = strategies.integers(0, 11)
SIDE = strategies.integers(0, 1)
STEP_S = 0.5


class Homes(stateful.RuleBasedStateMachine):
    """Run two homes, their workers, the log and an entry with faults."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0
        self.starts: collections.Counter[tuple[str, int]] = (
            collections.Counter()
        )
        self.homes = [
            home_model.Instance('i0', self.starts),
            home_model.Instance('i1', self.starts),
        ]
        self.specs: dict[str, types.TaskSpec] = {}
        # Current epoch, home and incarnation by task, as in the log.
        self.log: dict[str, tuple[int, int, str]] = {}
        self.ended: set[str] = set()
        self.fences: dict[str, float] = {}
        self.log_up = True
        self.sent: list[tuple[int, messages.Assign]] = []

    @stateful.rule(
        side=SIDE,
        urgent=strategies.booleans(),
        cores=strategies.sampled_from([0.5, 1.0, 3.0, 8.0]),
        pick=PICK,
    )
    def submit(self, side: int, urgent: bool, cores: float, pick: int) -> None:
        """Accept a task with a home."""
        if not self.log_up or len(self.specs) > 40:
            return
        spec = types.TaskSpec(
            f't{len(self.specs)}',
            'c',
            'team',
            f'k{pick % 3}',
            types.Demand(cores, 100.0, pick // 11),
            urgent,
            restartable=bool(pick % 2),
        )
        self.specs[spec.key] = spec
        self.move(spec.key, 1, side)

    def move(self, key: str, epoch: int, side: int) -> None:
        """Append a record that assigns an epoch to a home."""
        self.log[key] = (epoch, side, self.homes[side].incarnation)
        msg = messages.Assign(
            self.specs[key], epoch, self.homes[side].incarnation
        )
        self.sent.append((side, msg))
        if self.homes[side].connected:
            self.assign(side, msg)

    def assign(self, side: int, msg: messages.Assign) -> None:
        """Deliver an assignment."""
        home = self.homes[side]
        if not home.paused:
            home.control.assign(msg, self.now)
            home.collect(self.now)

    @stateful.rule(pick=PICK)
    def assign_again(self, pick: int) -> None:
        """Deliver an earlier assignment again."""
        if self.sent:
            self.assign(*self.sent[pick % len(self.sent)])

    @stateful.rule(pick=PICK)
    def cancel(self, pick: int) -> None:
        """Cancel a task and inform its home."""
        if not self.log or not self.log_up:
            return
        key = sorted(self.log)[pick % len(self.log)]
        epoch, side, _ = self.log[key]
        self.ended.add(key)
        home = self.homes[side]
        if not home.paused and home.connected:
            home.control.stop_task(messages.StopTask(key, epoch), self.now)
            home.collect(self.now)

    @stateful.rule(side=SIDE, pick=PICK, answer=strategies.booleans())
    def deliver(self, side: int, pick: int, answer: bool) -> None:
        """Deliver a pending command out of order, or lose its reply."""
        home = self.homes[side]
        if home.pending:
            home.deliver(pick % len(home.pending), answer, self.now)

    @stateful.rule(side=SIDE)
    def overtake(self, side: int) -> None:
        """Deliver the request for the list before earlier commands."""
        home = self.homes[side]
        for index, (_, _, action) in enumerate(home.pending):
            if isinstance(action, actions.RequestListing):
                home.deliver(index, True, self.now)
                return

    @stateful.rule(side=SIDE, pick=PICK)
    def give_up(self, side: int, pick: int) -> None:
        """Let a start time out while its command is in flight."""
        home = self.homes[side]
        home.prompt = False
        self.submit(side, pick % 2 == 0, 0.5, pick)
        starts = [
            action
            for number, _, action in home.pending
            if isinstance(action, actions.Start)
            and number == home.incarnation_number
        ]
        if starts and not home.paused:
            home.control.apply_start_result(
                starts[pick % len(starts)].holder, 'unknown', self.now
            )
            home.collect(self.now)

    @stateful.rule(
        side=SIDE, pick=PICK, state=strategies.sampled_from(['done', 'failed'])
    )
    def end(self, side: int, pick: int, state: actions.WorkerState) -> None:
        """End a running task at its worker."""
        worker = self.homes[side].worker
        running = worker.running()
        if running:
            worker.end(running[pick % len(running)].holder, state)

    @stateful.rule(side=SIDE, pick=PICK)
    def evict(self, side: int, pick: int) -> None:
        """Request the eviction of a task at a home, perhaps repeatedly."""
        home = self.homes[side]
        holders = sorted(home.control.tasks)
        if holders and not home.paused:
            home.control.evict(holders[pick % len(holders)], 'noisy', self.now)
            home.collect(self.now)

    @stateful.rule(side=SIDE, factor=strategies.floats(0.1, 3.0))
    def measure(self, side: int, factor: float) -> None:
        """Report a use that differs from the declared size."""
        home = self.homes[side]
        if home.paused:
            return
        usages = [
            actions.Usage(task.holder, task.spec.demand.scaled(factor))
            for task in home.worker.running()
        ]
        home.control.apply_usages(usages, self.now)
        home.collect(self.now)

    @stateful.rule(side=SIDE)
    def read_all(self, side: int) -> None:
        """Process all reports of a home in order."""
        for _ in range(len(self.homes[side].reports)):
            self.read_report(side, 0, False)

    @stateful.rule(side=SIDE, pick=PICK, keep=strategies.booleans())
    def read_report(self, side: int, pick: int, keep: bool) -> None:
        """Append the record for a report and acknowledge it; it may repeat."""
        home = self.homes[side]
        if not (self.log_up and home.connected and home.reports):
            return
        index = pick % len(home.reports)
        report = home.reports[index]
        if not keep:
            home.reports.pop(index)
        if not isinstance(report, (messages.Evicted, messages.Finished)):
            return
        current = self.log.get(report.task)
        if report.task not in self.ended and current:
            if current[0] == report.epoch:
                self.apply(report, pick % 2)
        if not home.paused:
            ack = messages.ReportAck(report.task, report.epoch)
            home.control.acknowledge(ack)
            home.collect(self.now)

    def apply(self, report: message_base.Message, side: int) -> None:
        """Append the record that follows from a report."""
        if isinstance(report, messages.Finished):
            self.ended.add(report.task)
        else:
            self.move(report.task, report.epoch + 1, side)

    @stateful.rule(side=SIDE)
    def toggle_prompt(self, side: int) -> None:
        """Delay the commands of a home, or deliver them at once again."""
        self.homes[side].prompt = not self.homes[side].prompt

    @stateful.rule(side=SIDE)
    def toggle_connected(self, side: int) -> None:
        """Disconnect a home from the entries, or connect it again."""
        home = self.homes[side]
        home.connected = not home.connected

    @stateful.rule(side=SIDE)
    def toggle_paused(self, side: int) -> None:
        """Pause or resume a sidecar."""
        self.homes[side].paused = not self.homes[side].paused

    @stateful.rule()
    def toggle_log(self) -> None:
        """Make the log unavailable or available."""
        self.log_up = not self.log_up

    @stateful.rule(side=SIDE)
    def restart(self, side: int) -> None:
        """Kill a sidecar and start a new incarnation."""
        self.homes[side].restart(self.now)

    @stateful.rule(side=SIDE)
    def fence(self, side: int) -> None:
        """Fence an incarnation that is disconnected or paused."""
        home = self.homes[side]
        if self.log_up and (home.paused or not home.connected):
            self.fences.setdefault(
                home.incarnation, self.now + home_model.FENCE_WAIT_S
            )

    @stateful.rule(side=SIDE)
    def recover(self, side: int) -> None:
        """End all faults of a home, then submit tasks and advance the time."""
        home = self.homes[side]
        home.paused, home.connected, home.prompt = False, True, True
        self.log_up = True
        if home.incarnation in self.fences:
            home.restart(self.now)
        self.advance(3)
        for number in range(2):
            self.submit(side, False, 1.0, number)
        self.advance(2)

    @stateful.rule(steps=strategies.sampled_from([1, 3, 14, 40]))
    def advance(self, steps: int) -> None:
        """Advance the time."""
        for _ in range(steps):
            self.now += STEP_S
            for home in self.homes:
                age_ms = 0 if self.log_up else -1
                home.step(self.now, age_ms, self.is_fenced(home))
            self.move_fenced()
            self.check_places()

    def is_fenced(self, home: home_model.Instance) -> bool:
        """Return whether this incarnation or a waiting older one is fenced."""
        if not self.log_up:
            return False
        waits = [
            due
            for incarnation, due in self.fences.items()
            if incarnation.startswith(home.name)
        ]
        own = home.incarnation in self.fences
        return own or any(self.now <= due for due in waits)

    def move_fenced(self) -> None:
        """Move the tasks of fenced incarnations after the wait."""
        if not self.log_up:
            return
        for key, (epoch, side, incarnation) in list(self.log.items()):
            due = self.fences.get(incarnation)
            if due is None or self.now <= due or key in self.ended:
                continue
            if self.homes[1 - side].incarnation in self.fences:
                continue
            self.move(key, epoch + 1, 1 - side)

    def teardown(self) -> None:
        """Guard against tasks that stay starting or stopping for ever."""
        for side in (0, 1):
            self.recover(side)
        self.advance(20)
        in_transition = self.list_in_transition()
        self.advance(4)
        assert not in_transition & self.list_in_transition()

    def list_in_transition(self) -> set[tuple[str, str, int]]:
        """Return the epochs that are starting or stopping, with their home."""
        return {
            (home.incarnation, *holder)
            for home in self.homes
            for holder, local in home.control.tasks.items()
            if local.phase
            in (local_task.Phase.STARTING, local_task.Phase.STOPPING)
        }

    @stateful.invariant()
    def check_places(self) -> None:
        """Guard against a task at two workers, and an epoch started twice."""
        running: collections.Counter[str] = collections.Counter()
        for home in self.homes:
            home.worker.expire_leases(self.now)
            total = types.Demand()
            for task in home.worker.running():
                running[task.task] += 1
                total = total.plus(task.reserved)
            slack = types.Demand(1e-6, 1e-6)
            assert total.fits(home_model.CAPACITY.plus(slack)), (
                'reservations at the worker exceed the capacity'
            )
        assert all(n == 1 for n in running.values()), running
        assert all(n == 1 for n in self.starts.values()), self.starts


TestHomes = Homes.TestCase
TestHomes.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    stateful_step_count=60,
)

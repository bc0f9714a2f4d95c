"""Drive a controller against fakes of runners, their agents and the log."""

import dataclasses
import typing

from kcr_jobs import controller
from kcr_jobs import controller_state
from kcr_jobs import effects
from kcr_jobs import evacuation
from kcr_jobs import job_table
from kcr_jobs import messages
from kcr_jobs import regions
from kcr_jobs import types

LEASE_S = 6.0
WALL_MS = 1_700_000_000_000.0
QUEUE = types.Queue('q', 'svc', max_attempts=2)


def make_job(
    job_id: str, *steps: types.Step, **fields: typing.Any
) -> types.JobSpec:
    """Return a job; `fields` override the defaults of JobSpec."""
    return types.JobSpec(
        job_id, fields.pop('queue', QUEUE), 'payload', steps, **fields
    )


@dataclasses.dataclass
class FakeRun:
    """Store one run on a fake runner, with the values that it reports."""

    attempt: int
    percent: int = 0
    usage: int = 0
    saved: str = ''


class FakeRunner:
    """Represent one runner with its agent."""

    def __init__(self, name: str, cpu: int = 16000, born_ms: int = 1) -> None:
        self.name = name
        self.info = types.RunnerInfo(
            f'i-{name}', born_ms, 'svc', 'z', types.Demand(cpu, 64000),
            ('a', f'rack-{name}'),
        )  # fmt: skip
        self.runs: dict[str, FakeRun] = {}
        self.ended: list[types.ReportedEnd] = []
        self.cursor = 0
        self.last_end = 0
        self.last_report = 0
        self.token = 0
        self.last_order = 0
        self.connected = True
        self.stops: list[tuple[str, int]] = []
        self.throttles: dict[str, int] = {}

    def handle(self, msg: typing.Any) -> None:
        """Carry out a message of the owner."""
        if isinstance(msg, messages.Lease):
            self.token, self.last_order, self.last_report = msg.token, 0, 0
        elif isinstance(msg, messages.StartRun):
            assert msg.token == self.token
            self.last_order = msg.number
            assert msg.task not in self.runs, 'two runs of one task'
            self.runs[msg.task] = FakeRun(msg.attempt, saved=msg.saved)
            self.throttles[msg.task] = msg.percent
        elif isinstance(msg, messages.StopRun):
            self.stops.append((msg.task, msg.attempt))
            run = self.runs.get(msg.task)
            if run is not None and run.attempt == msg.attempt:
                self.end(msg.task, 'stopped')
        elif isinstance(msg, messages.ThrottleRun):
            self.throttles[msg.task] = msg.percent
        elif isinstance(msg, messages.RunnerReportAck):
            self.cursor = max(self.cursor, msg.cursor)
            self.ended = [e for e in self.ended if e.number > self.cursor]

    def end(self, task: str, how: str) -> None:
        """End a run."""
        run = self.runs.pop(task)
        self.last_end += 1
        self.ended.append(
            types.ReportedEnd(self.last_end, task, run.attempt, how, run.saved)
        )

    def restart(self, born_ms: int) -> None:
        """Start a new incarnation, without the runs of the older one."""
        self.info = dataclasses.replace(self.info, born_ms=born_ms)
        self.runs.clear()
        self.ended.clear()
        self.cursor = self.last_end = 0

    def report(self) -> messages.RunnerReport:
        """Return a complete report."""
        self.last_report += 1
        rows = tuple(
            types.ReportedRun(t, r.attempt, r.saved, r.percent, r.usage)
            for t, r in self.runs.items()
        )
        return messages.RunnerReport(
            self.token, self.last_report, self.info, True, rows,
            tuple(self.ended), self.last_order,
        )  # fmt: skip


class Harness:
    """Connect a controller with a log and fake runners."""

    overload = controller_state.Overload()

    def __init__(
        self, *runners: FakeRunner, remote_factor: float = 1.0
    ) -> None:
        self.now = 0.0
        self.remote_factor = remote_factor
        self.log: list[typing.Any] = []
        self.replies: list[effects.Reply] = []
        self.log_events: list[controller_state.LogEvent] = []
        self.runners = {runner.name: runner for runner in runners}
        self.store_available = True
        self.deferred: list[effects.Effect] = []
        self.epoch = 0
        self.evacuation = evacuation.View(0)
        self.regions = regions.Rules()
        self.take_over()
        self.attach_all()

    def take_over(self) -> None:
        """Start a new owner from the log."""
        self.epoch += 1
        table = job_table.JobTable()
        job_table.fold(self.log, table)
        self.deferred.clear()
        self.ctl = controller.Controller(
            table, self.epoch, LEASE_S, self.now,
            remote_factor=self.remote_factor, overload=self.overload,
        )  # fmt: skip
        self.ctl.set_evacuation(self.evacuation)
        self.ctl.set_regions(self.regions)

    def attach_all(self) -> None:
        """Attach every connected runner and deliver its report."""
        for runner in self.runners.values():
            if runner.connected:
                self.attach(runner)

    def attach(self, runner: FakeRunner) -> None:
        """Attach one runner and deliver its report."""
        self.ctl.attach(runner.name, f's-{runner.name}', runner.info, self.now)
        self.flush()
        self.report(runner)

    def report(self, runner: FakeRunner) -> None:
        """Deliver the report of one runner."""
        self.ctl.report(
            f's-{runner.name}', runner.report(), self.now,
            int(LEASE_S * 1000),
        )  # fmt: skip
        self.flush()

    def flush(self) -> None:
        """Append the pending records, if the store is available.

        Immediate effects are carried out in any case, deferred ones only
        after the append.
        """
        ctl = self.ctl
        self.log_events += ctl.log_events
        ctl.log_events.clear()
        immediate, ctl.immediate = ctl.immediate, []
        for effect in immediate:
            self.carry_out(effect)
        self.deferred += ctl.deferred
        ctl.deferred = []
        if not self.store_available:
            return
        self.log += ctl.pending_records
        ctl.pending_records = []
        deferred, self.deferred = self.deferred, []
        for effect in deferred:
            self.carry_out(effect)

    def carry_out(self, effect: effects.Effect) -> None:
        """Carry out one effect."""
        if isinstance(effect, effects.Reply):
            self.replies.append(effect)
        elif isinstance(effect, effects.FinalizeJob):
            self.ctl.finalize(effect.job_id, self.now)
        elif isinstance(effect, effects.ConfirmEnds):
            self.ctl.confirm_ends(
                effect.instance, effect.token, effect.number, 6000
            )
        elif isinstance(effect, effects.SendToAgent):
            runner = self.runners[effect.instance]
            if self.ctl.find_session(effect, self.now) and runner.connected:
                runner.handle(effect.msg)

    def submit(self, spec: types.JobSpec) -> None:
        """Submit a job."""
        self.ctl.submit(('', 't'), spec, self.now, WALL_MS)
        self.flush()

    def step(self, seconds: float = 0.5) -> None:
        """Advance the time, deliver all reports, and tick the controller."""
        self.now += seconds
        for runner in self.runners.values():
            if runner.connected:
                self.report(runner)
        self.ctl.tick(self.now, WALL_MS + self.now * 1000)
        self.flush()

    def find_placements(self, job_id: str) -> dict[str, str]:
        """Return the name of the runner of each running task of a job."""
        return {
            task: runner.name
            for runner in self.runners.values()
            for task in runner.runs
            if task.startswith(job_id)
        }

    def find_state(self, job_id: str) -> str:
        """Return the state of a job that callers see."""
        self.ctl.report_state(('', 's'), job_id)
        self.flush()
        reply = self.replies.pop()
        return reply.detail or reply.outcome

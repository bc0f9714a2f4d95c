"""Drive a controller against runners that keep the platform's rules."""

import dataclasses
import typing

from kcr_jobs import controller
from kcr_jobs import effects
from kcr_jobs import job_table
from kcr_jobs import messages
from kcr_jobs import types

LEASE_S = 6.0
WALL_MS = 1_700_000_000_000.0
QUEUE = types.Queue('q', 'svc', max_attempts=2)


def make_job(
    job_id: str, *steps: types.Step, **fields: typing.Any
) -> types.JobSpec:
    """Return a job with a short id."""
    return types.JobSpec(
        job_id, fields.pop('queue', QUEUE), 'payload', steps, **fields
    )


@dataclasses.dataclass
class Run:
    """Hold one run on a model runner."""

    attempt: int
    percent: int = 0
    usage: int = 0
    saved: str = ''


class FakeRunner:
    """Model one runner with its agent."""

    def __init__(self, name: str, cpu: int = 16000, born: int = 1) -> None:
        self.name = name
        self.info = types.RunnerInfo(
            f'i-{name}', born, 'svc', 'z', types.Demand(cpu, 64000),
            ('a', f'rack-{name}'),
        )  # fmt: skip
        self.runs: dict[str, Run] = {}
        self.ended: list[types.EndRow] = []
        self.cursor = 0
        self.ends = 0
        self.seq = 0
        self.token = 0
        self.orders = 0
        self.connected = True
        self.stops: list[tuple[str, int]] = []
        self.paces: dict[str, int] = {}

    def take(self, msg: typing.Any) -> None:
        """Carry out a message of the owner."""
        if isinstance(msg, messages.Lease):
            self.token, self.orders, self.seq = msg.token, 0, 0
        elif isinstance(msg, messages.StartRun):
            assert msg.token == self.token
            self.orders = msg.number
            assert msg.task not in self.runs, 'two runs of one task'
            self.runs[msg.task] = Run(msg.attempt, saved=msg.saved)
            self.paces[msg.task] = msg.percent
        elif isinstance(msg, messages.StopRun):
            self.stops.append((msg.task, msg.attempt))
            run = self.runs.get(msg.task)
            if run is not None and run.attempt == msg.attempt:
                self.end(msg.task, 'stopped')
        elif isinstance(msg, messages.ThrottleRun):
            self.paces[msg.task] = msg.percent
        elif isinstance(msg, messages.RunnerReportAck):
            self.cursor = max(self.cursor, msg.cursor)
            self.ended = [e for e in self.ended if e.number > self.cursor]

    def end(self, task: str, how: str) -> None:
        """End a run."""
        run = self.runs.pop(task)
        self.ends += 1
        self.ended.append(
            types.EndRow(self.ends, task, run.attempt, how, run.saved)
        )

    def restart(self, born: int) -> None:
        """Begin a new life that knows nothing of before."""
        self.info = dataclasses.replace(self.info, born_ms=born)
        self.runs.clear()
        self.ended.clear()
        self.cursor = self.ends = 0

    def report(self) -> messages.RunnerReport:
        """Return a complete report."""
        self.seq += 1
        rows = tuple(
            types.RunRow(t, r.attempt, r.saved, r.percent, r.usage)
            for t, r in self.runs.items()
        )
        return messages.RunnerReport(
            self.token, self.seq, self.info, True, rows, tuple(self.ended),
            self.orders,
        )  # fmt: skip


class Harness:
    """Join a controller, a log and runners."""

    def __init__(self, *runners: FakeRunner) -> None:
        self.now = 0.0
        self.log: list[typing.Any] = []
        self.replies: list[effects.Reply] = []
        self.noted: list[controller.LogEvent] = []
        self.runners = {runner.name: runner for runner in runners}
        self.stored = True
        self.waiting: list[effects.Effect] = []
        self.epoch = 0
        self.lead()
        self.attach_all()

    def lead(self) -> None:
        """Let a new owner read the log and take over."""
        self.epoch += 1
        state = job_table.JobTable()
        job_table.fold(self.log, state)
        self.waiting.clear()
        self.ctl = controller.Controller(state, self.epoch, LEASE_S, self.now)

    def attach_all(self) -> None:
        """Let every connected runner attach and report."""
        for runner in self.runners.values():
            if runner.connected:
                self.attach(runner)

    def attach(self, runner: FakeRunner) -> None:
        """Let one runner attach and report."""
        self.ctl.attach(runner.name, f's-{runner.name}', runner.info, self.now)
        self.flush()
        self.report(runner)

    def report(self, runner: FakeRunner) -> None:
        """Let one runner report."""
        self.ctl.report(
            f's-{runner.name}', runner.report(), self.now,
            int(LEASE_S * 1000),
        )  # fmt: skip
        self.flush()

    def flush(self) -> None:
        """Store the journal and carry out the effects."""
        ctl = self.ctl
        self.noted += ctl.log_events
        ctl.log_events.clear()
        direct, ctl.immediate = ctl.immediate, []
        for effect in direct:
            self.carry_out(effect)
        self.waiting += ctl.deferred
        ctl.deferred = []
        if not self.stored:
            return
        self.log += ctl.pending_records
        ctl.pending_records = []
        waiting, self.waiting = self.waiting, []
        for effect in waiting:
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
            if self.ctl.find_session(effect) and runner.connected:
                runner.take(effect.msg)

    def submit(self, spec: types.JobSpec) -> None:
        """Submit a job."""
        self.ctl.submit(('', 't'), spec, self.now, WALL_MS)
        self.flush()

    def step(self, seconds: float = 0.5) -> None:
        """Let time pass: reports, then a tick."""
        self.now += seconds
        for runner in self.runners.values():
            if runner.connected:
                self.report(runner)
        self.ctl.tick(self.now, WALL_MS + self.now * 1000)
        self.flush()

    def places(self, job_id: str) -> dict[str, str]:
        """Return where the tasks of a job run."""
        return {
            task: runner.name
            for runner in self.runners.values()
            for task in runner.runs
            if task.startswith(job_id)
        }

    def state(self, job_id: str) -> str:
        """Return the state that callers see; the reply is not kept."""
        self.ctl.report_state(('', 's'), job_id)
        self.flush()
        reply = self.replies.pop()
        return reply.detail or reply.outcome

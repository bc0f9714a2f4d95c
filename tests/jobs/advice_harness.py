"""Drive a controller against an adviser that handles one call at a time."""

import collections
import dataclasses
import math
import random
import typing

import job_harness

from kcr_jobs import effects
from kcr_jobs import messages
from kcr_jobs import tickets
from kcr_jobs import types

# Number of calls that wait at the adviser before it refuses more.
MAX_WAITING = 32
# Time between two looks at the world, in seconds.
STEP_S = 0.01
REPORT_INTERVAL_S = 0.45


@dataclasses.dataclass
class Call:
    """Store one call at the adviser."""

    request: effects.RequestAdvice
    # Time at which the adviser receives it, and time at which the scheduler
    # gives it up.
    arrives_at: float
    given_up_at: float
    # Ownership that sent it.
    epoch: int
    # Time of the reply, and what it says; none while there is none.
    reply_at: float = math.inf
    reply: tickets.Reply | None = None


@dataclasses.dataclass
class Adviser:
    """Represent the adviser: one call at a time, in turn."""

    base_ms: float
    runner_ms: float
    valid_ms: float
    # Time of a message, in seconds.
    latency_s: float = 0.002
    # Factor by which it is slower than its settings say.
    slowdown: float = 1.0
    # Share of the runners that its policy allows.
    allowed_share: float = 1.0
    # Steps that no runner may run.
    refused_steps: set[str] = dataclasses.field(default_factory=set)
    calls: list[Call] = dataclasses.field(default_factory=list)
    waiting: collections.deque[Call] = dataclasses.field(
        default_factory=collections.deque
    )
    # The call that is handled, and the time at which that ends.
    current: Call | None = None
    done_at: float = 0.0
    # Time until which a ticket is valid, by step, runner and ticket.
    valid_until: dict[tuple[str, str, str], float] = dataclasses.field(
        default_factory=dict
    )
    busy_s: float = 0.0
    handled: int = 0
    refused: int = 0

    def receive(self, call: Call) -> None:
        """Queue a call, or refuse it."""
        if len(self.waiting) >= MAX_WAITING:
            self.refused += 1
            call.reply = tickets.Reply(overloaded=True)
            call.reply_at = call.arrives_at + self.latency_s
            return
        self.waiting.append(call)

    def work(self, now: float) -> None:
        """Handle calls up to a time."""
        for call in self.calls:
            if call.reply is None and call.arrives_at <= now:
                if call is not self.current and call not in self.waiting:
                    self.receive(call)
        while True:
            if self.current is not None:
                if self.done_at > now:
                    return
                self.finish(self.current, self.done_at)
                self.current = None
            if not self.waiting:
                return
            self.current = self.waiting.popleft()
            took_s = self.infer_handling_s(self.current.request)
            self.busy_s += took_s
            began_at = max(self.done_at, self.current.arrives_at)
            self.done_at = began_at + took_s

    def infer_handling_s(self, request: effects.RequestAdvice) -> float:
        """Return the time that a call takes."""
        runners = len(request.runners)
        return self.slowdown * (self.base_ms + self.runner_ms * runners) / 1e3

    def finish(self, call: Call, now: float) -> None:
        """Grant the tickets of a call."""
        self.handled += 1
        granted = {}
        for runner_id, _ in call.request.runners:
            rng = random.Random(f'{call.request.step} {runner_id}')
            refused = call.request.step in self.refused_steps
            if not refused and rng.random() < self.allowed_share:
                text = f't{self.handled}-{runner_id}'
                granted[runner_id] = text
                key = (call.request.step, runner_id, text)
                self.valid_until[key] = now + self.valid_ms / 1e3
        call.reply = tickets.Reply(granted, self.valid_ms / 1e3)
        call.reply_at = now + self.latency_s


def make_foreign_call() -> Call:
    """Return a call of a process that has ended."""
    runners = tuple((f'i-{n}', f'i-{n}@0') for n in range(11))
    return Call(effects.RequestAdvice('x.0.0', runners), 0.0, 0.0, 0)


class Runner(job_harness.FakeRunner):
    """Represent a runner that checks tickets and ends its runs by itself."""

    def __init__(self, name: str, cpu: int = 16000) -> None:
        super().__init__(name, cpu)
        self.harness: Harness | None = None
        self.ends_at: dict[str, float] = {}

    def handle(self, msg: typing.Any) -> None:
        """Carry out a message of the owner."""
        if isinstance(msg, messages.StartRun):
            assert self.harness is not None
            self.last_order = msg.number
            step = msg.task.rpartition('.')[0]
            key = (step, self.info.runner_id, msg.ticket)
            until = self.harness.adviser.valid_until.get(key, 0.0)
            if self.harness.now >= until:
                self.harness.rejected.append(msg.task)
                return
            self.ends_at[msg.task] = self.harness.now + self.harness.draw_s()
        super().handle(msg)

    def restart(self, born_ms: int) -> None:
        """Start a new incarnation, which knows no tickets."""
        super().restart(born_ms)
        self.ends_at.clear()
        assert self.harness is not None
        for key in list(self.harness.adviser.valid_until):
            if key[1] == self.info.runner_id:
                del self.harness.adviser.valid_until[key]


class Harness(job_harness.Harness):
    """Play load on a queue with advice in small steps of time."""

    def __init__(self, adviser: Adviser, runners: int, seed: int = 4) -> None:
        self.adviser = adviser
        self.rng = random.Random(seed)
        self.work_s = (0.8, 1.6)
        self.queue = types.Queue(
            'q', 'svc', max_attempts=2, ticket_ms=adviser.valid_ms,
            advice_ms=adviser.base_ms, advice_runner_ms=adviser.runner_ms,
        )  # fmt: skip
        made = [Runner(f'{n:03}') for n in range(runners)]
        for runner in made:
            runner.harness = self
        # Time of acceptance, of the first start and of the completion, by id.
        self.accepted_at: dict[str, float] = {}
        # Number of jobs that waited for their first start at the acceptance.
        self.ahead: dict[str, int] = {}
        self.started_at: dict[str, float] = {}
        self.done_at: dict[str, float] = {}
        # Time in which steps waited for their turn at the adviser, and in
        # which the adviser was busy meanwhile.
        self.queued_s = self.queued_busy_s = 0.0
        # Tasks of the starts that were rejected for want of a ticket.
        self.rejected: list[str] = []
        self.next_report = 0.0
        super().__init__(*made)

    def draw_s(self) -> float:
        """Return how long a run takes."""
        return self.rng.uniform(*self.work_s)

    def carry_out(self, effect: effects.Effect) -> None:
        """Carry out one effect."""
        if not isinstance(effect, effects.RequestAdvice):
            super().carry_out(effect)
            return
        self.adviser.calls.append(
            Call(
                effect, self.now + self.adviser.latency_s,
                self.now + effect.timeout_s, self.epoch,
            )
        )  # fmt: skip

    def submit_job(self, *steps: types.Step) -> str:
        """Submit a job with the next id."""
        job_id = f'j{len(self.accepted_at):04}'
        self.ahead[job_id] = len(self.accepted_at) - len(self.started_at)
        self.accepted_at[job_id] = self.now
        self.submit(job_harness.make_job(job_id, *steps, queue=self.queue))
        return job_id

    def play(self, seconds: float) -> None:
        """Advance the time."""
        until = self.now + seconds
        while self.now < until:
            self.now += STEP_S
            self.adviser.work(self.now)
            self._deliver_replies()
            for runner in self.runners.values():
                assert isinstance(runner, Runner)
                for task, at in list(runner.ends_at.items()):
                    if self.now >= at and task in runner.runs:
                        del runner.ends_at[task]
                        runner.end(task, 'done')
            if self.now >= self.next_report:
                self.next_report = self.now + REPORT_INTERVAL_S
                for runner in self.runners.values():
                    self.report(runner)
            self.ctl.tick(self.now, job_harness.WALL_MS + self.now * 1000)
            self.flush()
            self._note_progress()
            if self.ctl.describe_advice()['steps_waiting']:
                self.queued_s += STEP_S
                if self.adviser.current is not None:
                    self.queued_busy_s += STEP_S

    def _deliver_replies(self) -> None:
        for call in list(self.adviser.calls):
            reply = call.reply
            given_up = self.now >= call.given_up_at
            if given_up and call.epoch != 0:
                # The adviser does not notice that nobody waits any more.
                reply = tickets.Reply(overloaded=True)
            elif self.now < call.reply_at:
                continue
            if call.reply is not None and self.now >= call.reply_at:
                self.adviser.calls.remove(call)
            if call.epoch == self.epoch and reply is not None:
                self.ctl.record_advice(call.request, reply, self.now)
                self.flush()
            if given_up:
                call.epoch = 0

    def _note_progress(self) -> None:
        for job_id in self.accepted_at:
            job = self.ctl.table.jobs[job_id]
            if job_id not in self.started_at and any(
                runner.runs.keys() & job.tasks.keys()
                for runner in self.runners.values()
            ):
                self.started_at[job_id] = self.now
            if job.is_completed() and job_id not in self.done_at:
                self.done_at[job_id] = self.now

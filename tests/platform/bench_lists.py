"""Print what the ends of one runner cost after an outage of the store.

Run by `make bench`. A runner has ended 5,000 runs while the store was down
for 4.2 s, and lists 500 at a time. The agent's control task, the owner's
controller and the codecs of lists and messages are those of the programs;
runner, store and the time are simulated. Counted is from the return of the
store until the runner has got the confirmation of all ends.
"""

import random
import time
import typing

import job_harness
import structlog
from twisted.internet import defer
from twisted.internet import task as twisted_task

from kcr_agent import addresses
from kcr_agent import events
from kcr_agent.runner import client
from kcr_agent.runner import control
from kcr_core import message_base
from kcr_core import types as core_types
from kcr_jobs import effects
from kcr_jobs import messages
from kcr_jobs import types
from kcr_platform import decode
from kcr_platform import decode_runner
from kcr_runtime import metrics
from kcr_runtime import task
from kcr_runtime.wire import codec
from kcr_runtime.wire import session

ENDS = 5000
OUTAGE_S = 4.2
# Latency of an append and of a message between the processes.
APPEND_S, MESSAGE_S = 0.004, 0.001
LEASE_MS = 6000
PLACE = core_types.Place('x', 'x', 'x', 'n')
HELLO = message_base.Hello(1, 'scheduler', 's', 'i', PLACE)


class Config:
    """Store the options that the control task reads."""

    process = 'a'
    runner = 'bench'
    service = ''


class World:
    """Connect the control task of an agent with a controller."""

    def __init__(self) -> None:
        self.clock = twisted_task.Clock()
        self.runner = job_harness.FakeRunner('a', cpu=1_000_000)
        self.harness = job_harness.Harness(self.runner)
        step = types.Step(ENDS, types.Demand(10, 10))
        self.harness.submit(job_harness.make_job('0' * 16, step))
        while len(self.runner.runs) < ENDS:
            self.harness.step()
        self.available = True
        # Number of lists, and bytes of lists, reports and confirmations.
        self.lists = self.list_bytes = self.report_bytes = self.ack_bytes = 0
        client.RUNNERS.register('bench')(lambda ctx: self)
        ctx = task.Context(
            self.clock, task.Directory(), random.Random(1), Config(),
            metrics.Metrics('bench'), 'me',
        )  # fmt: skip
        owner: typing.Any = self
        ctx.directory.add('s', owner)
        self.control = control.Control(ctx, addresses.CONTROL)
        self.control.begin()
        self.control.post(events.RunnerHeartbeat(self.runner.info, 1))
        self.control.post(events.OwnerSessionChanged('s'))
        self.advance(1.0)

    def advance(self, seconds: float) -> None:
        """Advance the time in steps of a millisecond."""
        for _ in range(round(seconds * 1000)):
            self.clock.advance(0.001)

    # The runner.

    def extend_lease(
        self,
        info: types.RunnerInfo,
        token: int,
        cursor: int,
        deadline_ms: int | None,
        wait_ms: int,
    ) -> defer.Deferred[typing.Any]:
        """Answer a list, at once if it has ends."""
        fake = self.runner
        fake.cursor = max(fake.cursor, cursor)
        fake.ended = [e for e in fake.ended if e.number > fake.cursor]
        body = decode.encode(
            {
                'ClockMs': int(self.clock.seconds() * 1000),
                'born': info.born_ms,
                'Running': [[t, r.attempt] for t, r in fake.runs.items()],
                'Finished': [
                    [e.number, e.task, e.attempt, e.how, '']
                    for e in fake.ended[: decode_runner.MAX_LISTED_ENDS]
                ],
            }
        )
        self.lists += 1
        self.list_bytes += len(body)
        view = decode.read(decode_runner.RunListBody, body)
        got = client.RunList(
            view.born, view.clock_ms, decode_runner.read_runs(view.running),
            decode_runner.read_ends(view.ended), view.is_truncated(),
        )  # fmt: skip
        wait_s = MESSAGE_S if fake.ended else wait_ms / 1000.0 + MESSAGE_S
        return twisted_task.deferLater(self.clock, wait_s, lambda: got)

    # The owner, behind the session of the agent.

    def post(self, msg: typing.Any) -> bool:
        """Deliver a message of the agent."""
        frame = codec.encode(msg.msg)
        self.report_bytes += len(frame)
        self.clock.callLater(MESSAGE_S, self._receive, frame)
        return True

    def dump(self) -> dict[str, typing.Any]:
        """Return no state."""
        return {}

    def _receive(self, frame: bytes) -> None:
        msg, now = codec.decode(frame), self.clock.seconds()
        ctl = self.harness.ctl
        if isinstance(msg, messages.Attach):
            ctl.attach('a', 's', msg.info, now)
        elif isinstance(msg, messages.RunnerReport):
            ctl.report('s', msg, now, LEASE_MS)
        immediate, ctl.immediate = ctl.immediate, []
        for effect in immediate:
            self._carry_out(effect)
        self._append()

    def _append(self) -> None:
        ctl = self.harness.ctl
        ctl.log_events.clear()
        if self.available and ctl.deferred:
            ctl.pending_records, deferred = [], ctl.deferred
            ctl.deferred = []
            self.clock.callLater(APPEND_S, self._durable, deferred)

    def _durable(self, deferred: list[effects.Effect]) -> None:
        ctl = self.harness.ctl
        for effect in deferred:
            if isinstance(effect, effects.ConfirmEnds):
                ctl.confirm_ends(
                    effect.instance, effect.token, effect.number, LEASE_MS
                )
        immediate, ctl.immediate = ctl.immediate, []
        for effect in immediate:
            self._carry_out(effect)

    def _carry_out(self, effect: effects.Effect) -> None:
        if isinstance(effect, effects.SendToAgent):
            frame = codec.encode(effect.msg)
            self.ack_bytes += len(frame)
            event = session.Received('s', HELLO, codec.decode(frame))
            self.clock.callLater(MESSAGE_S, self.control.post, event)

    def return_store(self) -> None:
        """Let the store take records again."""
        self.available = True
        self._append()


def main() -> None:
    """Print the cost."""
    structlog.configure(
        processors=[], logger_factory=structlog.ReturnLoggerFactory()
    )
    world = World()
    world.available = False
    for name in list(world.runner.runs):
        world.runner.end(name, 'done')
    world.advance(OUTAGE_S)
    before = (
        world.lists, world.list_bytes, world.report_bytes, world.ack_bytes
    )  # fmt: skip
    began, cpu = world.clock.seconds(), time.process_time()
    world.return_store()
    while world.runner.cursor < ENDS:
        world.advance(0.001)
        assert world.clock.seconds() < began + 60.0
    cpu = time.process_time() - cpu
    taken = world.clock.seconds() - began
    after = (
        world.lists, world.list_bytes, world.report_bytes, world.ack_bytes
    )  # fmt: skip
    lists, listed, reported, acked = (a - b for a, b in zip(after, before))
    print(
        f'{ENDS} ends after {OUTAGE_S} s without the store: {taken:.2f} s,'
        f' processor {cpu:.2f} s, {lists} lists, {listed / 1000:.0f} KB of'
        f' lists, {reported / 1000:.0f} KB of reports, {acked / 1000:.1f} KB'
        f' of confirmations; during the outage {before[0]} lists,'
        f' {before[1] / 1000:.0f} KB'
    )


if __name__ == '__main__':
    main()

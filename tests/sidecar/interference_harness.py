"""Run the capacity tasks of a sidecar with an emulated instance."""

import random
import typing

import fakes
import recorder

from kcr_core import message_base
from kcr_core import messages
from kcr_core import resources
from kcr_core import task_actions as actions
from kcr_core import types
from kcr_emulator import noise
from kcr_emulator import worker_state
from kcr_runtime import http_client
from kcr_runtime.wire import codec
from kcr_runtime.wire import session
from kcr_sidecar import addresses
from kcr_sidecar.capacity import admission
from kcr_sidecar.capacity import interference
from kcr_sidecar.capacity import task_control
from kcr_sidecar import events
from kcr_sidecar.platform import runner
from kcr_sidecar.platform import worker

LINK = 'links/sessions/127.0.0.1:1'
HELLO = message_base.Hello(
    1, 'entry', 'e', 'einc', types.Place('x', 'x', 'x', 'e')
)
STEP_S = 0.02
# Mean service time of an undisturbed call; its p99 is about 46 ms.
SERVICE_S = 0.01
SLOTS = fakes.Config.slots
CAPACITY = {'processors': 8.0, 'memory_mb': 8000.0, 'accelerators': 0}


class FakePlatform(recorder.Recorder):
    """Emulate the worker and the runner in place of their adapters."""

    def __init__(
        self, harness: fakes.TaskHarness, effects: dict[str, float]
    ) -> None:
        super().__init__()
        # Harness that provides the clock and the directory.
        self.task_harness = harness
        # Tasks of the emulated worker.
        self.machine = worker_state.Machine(
            CAPACITY, worker_state.Factors((1.0, 1.0), (1.0, 1.0)), 1.0, 1
        )
        # Slowdown of the service that the tasks cause.
        self.noise = noise.Noise(effects, 0.5)
        # Number of further throttle commands to drop.
        self.throttles_to_drop = 0
        # Time and key of each stop, and key and share of each throttle.
        self.stops: list[tuple[float, str]] = []
        self.shares: list[tuple[str, float]] = []
        self._rng = random.Random(1)
        self._active = 0

    @property
    def now(self) -> float:
        """Return the time of the clock."""
        return float(self.task_harness.clock.seconds())

    def post(self, msg: typing.Any) -> bool:
        """Carry out a command of the sidecar."""
        handler = getattr(self, f'_on_{type(msg).__name__.lower()}', None)
        if handler is not None:
            handler(msg)
        return True

    def report(self, msg: typing.Any) -> None:
        """Send a message to the task control."""
        self.task_harness.ctx.directory.send(addresses.TASK_CONTROL, msg)

    def step(self) -> None:
        """Run the emulated tasks up to the current time."""
        self.machine.step(self.now, 0)
        self.noise.observe(self.machine.cores(), self.now)

    def measure(self) -> None:
        """Report the delayed usage."""
        response = {'tasks': self.machine.usage(self.now)}
        self.report(worker.UsageMeasured(worker.infer_usages(response)))

    def _on_start(self, cmd: actions.Start) -> None:
        body = {
            'epoch': cmd.holder[1],
            'spec': codec.to_plain(cmd.spec),
            'reserved': codec.to_plain(cmd.reserved),
            'checkpoint': cmd.checkpoint,
            'lease_s': 5.0,
        }
        self.machine.start(cmd.holder[0], body, self.now, 0)
        self.report(worker.StartEnded(cmd.holder, 'started'))

    def _on_renew(self, cmd: actions.Renew) -> None:
        self.machine.runs[cmd.holder[0]].lease_until = self.now + 5.0
        self.report(worker.RenewEnded(cmd.holder, 'renewed'))

    def _on_throttle(self, cmd: actions.Throttle) -> None:
        self.shares.append((cmd.holder[0], cmd.share))
        if self.throttles_to_drop:
            self.throttles_to_drop -= 1
            return
        self.machine.runs[cmd.holder[0]].speed = cmd.share

    def _on_stop(self, cmd: actions.Stop) -> None:
        self.stops.append((self.now, cmd.holder[0]))
        self.machine.stop(self.machine.runs[cmd.holder[0]], self.now, 0)
        self.report(worker.StopEnded(cmd.holder, self._describe(cmd.holder)))

    def _on_requestlisting(self, request: actions.RequestListing) -> None:
        runs = list(self.machine.runs.values())
        listed = tuple(self._describe((r.task, r.epoch)) for r in runs)
        self.report(actions.Listing(request.sequence, 1, listed))

    def _describe(self, holder: resources.Holder) -> actions.WorkerTask:
        run = self.machine.runs[holder[0]]
        described = worker.infer_task(
            {
                'task': run.task,
                'epoch': run.epoch,
                'state': run.state,
                'spec': run.spec,
                'reserved': run.reserved,
                'checkpoint': run.checkpoint,
                'share': run.speed,
            }
        )
        assert described is not None
        return described

    def _on_statusquery(self, request: runner.StatusQuery) -> None:
        status = runner.Status(frozenset(), request.number)
        self.task_harness.ctx.directory.send(request.reply_to, status)

    def _on_call(self, call: runner.Call) -> None:
        # The load on a call consists of the other calls.
        factor = self.noise.slowdown(self._active / SLOTS, self.now)
        self._active += 1
        delay = self._rng.expovariate(1.0 / (SERVICE_S * factor))
        self.task_harness.clock.callLater(delay, self._end, call)

    def _end(self, call: runner.Call) -> None:
        self._active -= 1
        reply = http_client.Reply(200, b'')
        self.task_harness.ctx.directory.send(
            call.reply_to, runner.CallEnded(call.attempt, reply)
        )


class Relay(recorder.Recorder):
    """Record the measurements on their way to the interference task."""

    def __init__(self, target: interference.Interference) -> None:
        super().__init__()
        # The interference task.
        self.target = target

    def post(self, msg: typing.Any) -> bool:
        """Record and forward a message."""
        super().post(msg)
        return self.target.post(msg)


class InterferenceHarness:
    """Connect the capacity tasks, an instance and a stream of requests."""

    def __init__(
        self, control: types.ControlSettings, effects: dict[str, float]
    ) -> None:
        # Clock, directory and recorded messages.
        self.task_harness = fakes.TaskHarness(LINK, addresses.ANNOUNCER)
        # The instance.
        self.platform = FakePlatform(self.task_harness, effects)
        # Requests per second.
        self.rate = 150
        self._sent = 0
        self._control = control
        for address in (addresses.WORKER, addresses.RUNNER):
            self.task_harness.ctx.directory.add(address, self.platform)
        # Task that throttles and evicts.
        self.interference_task = interference.Interference(
            self.task_harness.ctx, 'policy'
        )
        self.interference_task.begin()
        # Messages to the interference task.
        self.relay = Relay(self.interference_task)
        self.task_harness.ctx.directory.add(addresses.INTERFERENCE, self.relay)
        admission.Admission(self.task_harness.ctx, addresses.ADMISSION).begin()
        self._task_control = self._begin()

    def restart(self) -> None:
        """Restart the task control, as a new incarnation would start it."""
        self._task_control.end()
        self._task_control = self._begin()

    def _begin(self) -> task_control.TaskControl:
        control = addresses.TASK_CONTROL
        subject = task_control.TaskControl(self.task_harness.ctx, control)
        subject.begin()
        for address in (control, addresses.INTERFERENCE):
            self.task_harness.post(
                address, events.SettingsInForce(1, self._control)
            )
        self.task_harness.post(control, session.Opened(LINK, HELLO))
        self.task_harness.post(
            control, events.AuthorityChanged(True, False, 1e9)
        )
        self.task_harness.post(control, worker.ControllerTaken(1))
        return subject

    def start(self, name: str, kind: str) -> None:
        """Assign a task of two cores."""
        demand = types.Demand(2.0, 10.0)
        spec = types.TaskSpec(name, 'c', 'team', kind, demand)
        self.send(messages.Assign(spec, 1, 'me'), addresses.TASK_CONTROL)

    def send(self, msg: message_base.Message, address: str) -> None:
        """Deliver a message of an entry."""
        event = session.Received(LINK, HELLO, msg)
        assert self.task_harness.ctx.directory.send(address, event)

    def run(self, seconds: int) -> None:
        """Advance the clock while requests arrive at the rate."""
        for _ in range(seconds):
            for _ in range(round(1.0 / STEP_S)):
                for _ in range(round(self.rate * STEP_S)):
                    self._sent += 1
                    call = messages.Execute(
                        f'a{self._sent}', 'c/r', 'svc', 2000, True, b''
                    )
                    self.send(call, addresses.ADMISSION)
                self.task_harness.clock.advance(STEP_S)
                self.platform.step()
            self.platform.measure()
            request = admission.DistributeGrants((LINK,))
            self.task_harness.post(addresses.ADMISSION, request)
            self.task_harness.recorders[LINK].recorded.clear()
            self.task_harness.recorders[addresses.ANNOUNCER].recorded.clear()

    def take_p99s_ms(self) -> list[float]:
        """Return the p99 latencies in ms measured since the last call."""
        return [m.p99_ms for m in self.relay.pop_all(events.ServiceMeasured)]

    def worker_shares(self) -> dict[str, float]:
        """Return the share of each task that the worker runs."""
        return {
            run.task: run.speed
            for run in self.platform.machine.runs.values()
            if run.state == 'running'
        }

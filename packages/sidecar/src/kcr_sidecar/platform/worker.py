"""Own the HTTP client to the worker and the controller lease.

A command without an answer is reported as unknown; the task control asks for
the list. Another holder of the lease ends the process, because that holder
is a newer sidecar of the instance.
"""

import dataclasses
import typing
from urllib import parse

from twisted.internet import defer

from kcr_core import resources
from kcr_core import task_actions as actions
from kcr_core import types
from kcr_runtime import http_client
from kcr_runtime import process
from kcr_runtime import task
from kcr_runtime.wire import codec
from kcr_sidecar import addresses
from kcr_sidecar import events

# Time for which the controller lease is taken, in seconds.
CONTROLLER_TTL_S = 5.0
# Time between renewals of the controller lease, in seconds.
CONTROLLER_RENEW_S = 1.0
# Time that one command may take; below the allowance of a fence's wait.
COMMAND_LIMIT_S = 1.0
# Time between questions for the lagging usage, in seconds.
USAGE_S = 1.0
# Connections to the worker.
CONNECTIONS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class ControllerTaken:
    """Tell that the controller lease is held."""

    # Epoch of the lease.
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class StartEnded:
    """Report what is known of a start."""

    # Epoch of the task.
    holder: resources.Holder
    # Whether it took effect.
    result: actions.StartResult


@dataclasses.dataclass(frozen=True, slots=True)
class RenewEnded:
    """Report what is known of a renewal."""

    # Epoch of the task.
    holder: resources.Holder
    # `renewed`, `refused` or `unknown`.
    result: str


@dataclasses.dataclass(frozen=True, slots=True)
class StopEnded:
    """Carry the worker's word on an epoch that was stopped."""

    # Epoch of the task.
    holder: resources.Holder
    # The ended epoch; none when the worker does not know it.
    task: actions.WorkerTask | None


@dataclasses.dataclass(frozen=True, slots=True)
class Measured:
    """Carry the lagging use of the running tasks."""

    # One measurement per task.
    usages: tuple[actions.Usage, ...]


class _RenewController:
    pass


class _AskUsage:
    pass


class Worker(task.Task):
    """Own the connections to the worker and the controller lease."""

    def __init__(self, ctx: task.Context, address: str) -> None:
        super().__init__(ctx, address)
        # Settings of the document in force.
        self.settings = types.ControlSettings()
        self._http = http_client.HttpClient(
            ctx.reactor, ctx.cfg.worker, CONNECTIONS
        )
        self._epoch: int | None = None
        self._told = False
        self._stops: set[resources.Holder] = set()

    def started(self) -> None:
        """Take the controller lease."""
        self.post(_RenewController())
        self.after(USAGE_S, _AskUsage())

    def stopped(self) -> defer.Deferred[None]:
        """Close idle connections."""
        return self._http.close()

    def dump(self) -> dict[str, typing.Any]:
        """Return the epoch of the controller lease."""
        return {**super().dump(), 'controller_epoch': self._epoch}

    @task.handles(events.SettingsInForce)
    def _on_settings(self, msg: events.SettingsInForce) -> None:
        self.settings = msg.settings

    @task.handles(_RenewController)
    def _on_renew_controller(self, msg: _RenewController) -> None:
        defer.ensureDeferred(self._renew_controller())

    async def _renew_controller(self) -> None:
        await self._control(False)
        if self._epoch is not None and not self._told:
            self._told = self._tell(ControllerTaken(self._epoch))
        self.after(CONTROLLER_RENEW_S, _RenewController())

    async def _control(self, advance: bool) -> bool:
        """Renew the lease, or advance its epoch; return whether it is held."""
        wanted: dict[str, typing.Any] = {
            'holder': self.ctx.incarnation,
            'ttl_ms': int(CONTROLLER_TTL_S * 1000),
            'advance': advance,
        }
        if self._epoch is not None:
            wanted['epoch'] = self._epoch
        outcome = await self._call('POST', '/v1/controller', wanted)
        if not isinstance(outcome, http_client.Reply):
            return False
        value = infer_json(outcome)
        epoch = value.get('epoch')
        if not isinstance(epoch, int):
            return False
        if outcome.status == 409 and value.get('holder') != (
            self.ctx.incarnation
        ):
            reason = 'the controller lease has another holder'
            self.send(process.PROCESS_ADDRESS, process.Fatal(reason))
            return False
        # The answer to an earlier advance may have been lost.
        self._epoch = max(epoch, self._epoch or 0)
        return outcome.status == 200

    @task.handles(actions.Start)
    def _on_start(self, cmd: actions.Start) -> None:
        defer.ensureDeferred(self._start(cmd))

    async def _start(self, cmd: actions.Start) -> None:
        body = {
            'epoch': cmd.holder[1],
            'controller': cmd.controller_epoch,
            'spec': codec.to_plain(cmd.spec),
            'reserved': codec.to_plain(cmd.reserved),
            'checkpoint': cmd.checkpoint,
            'lease_s': self.settings.task_lease_s,
        }
        outcome = await self._call('PUT', task_path(cmd.holder), body)
        self._tell(StartEnded(cmd.holder, infer_start(outcome)))

    @task.handles(actions.Renew)
    def _on_renew(self, cmd: actions.Renew) -> None:
        defer.ensureDeferred(self._renew(cmd))

    async def _renew(self, cmd: actions.Renew) -> None:
        body = {
            **self._command(cmd.holder),
            'reserved': codec.to_plain(cmd.reserved),
            'lease_s': self.settings.task_lease_s,
        }
        path = task_path(cmd.holder) + '/renew'
        outcome = await self._call('POST', path, body)
        result = 'unknown'
        if isinstance(outcome, http_client.Reply):
            result = 'renewed' if outcome.status == 200 else 'refused'
        self._tell(RenewEnded(cmd.holder, result))

    @task.handles(actions.Stop)
    def _on_stop(self, cmd: actions.Stop) -> None:
        if cmd.holder not in self._stops:
            self._stops.add(cmd.holder)
            defer.ensureDeferred(self._stop(cmd.holder))

    async def _stop(self, holder: resources.Holder) -> None:
        path = task_path(holder)
        body = self._command(holder)
        await self._call('POST', path + '/checkpoint', body)
        # A task is stopped even if its checkpoint failed.
        outcome = await self._call('POST', path + '/stop', body)
        self._stops.discard(holder)
        if not isinstance(outcome, http_client.Reply):
            return
        if outcome.status == 404:
            self._tell(StopEnded(holder, None))
        elif outcome.status == 200:
            found = infer_task(infer_json(outcome))
            if found is not None:
                self._tell(StopEnded(holder, found))

    @task.handles(actions.Forget)
    def _on_forget(self, cmd: actions.Forget) -> None:
        body = self._command(cmd.holder)
        defer.ensureDeferred(self._call('DELETE', task_path(cmd.holder), body))

    @task.handles(actions.Throttle)
    def _on_throttle(self, cmd: actions.Throttle) -> None:
        body = {**self._command(cmd.holder), 'speed': cmd.share}
        path = task_path(cmd.holder) + '/throttle'
        defer.ensureDeferred(self._call('POST', path, body))

    @task.handles(actions.RequestListing)
    def _on_ask_list(self, ask: actions.RequestListing) -> None:
        defer.ensureDeferred(self._list(ask))

    async def _list(self, ask: actions.RequestListing) -> None:
        if ask.barrier and not await self._control(True):
            return
        epoch = self._epoch
        outcome = await self._call('GET', '/v1/tasks')
        if epoch is None or not isinstance(outcome, http_client.Reply):
            return
        found = infer_tasks(infer_json(outcome))
        if outcome.status != 200 or found is None:
            self.ctx.metrics.count('worker_bad_answer')
            return
        self._tell(actions.Listing(ask.sequence, epoch, found))

    @task.handles(_AskUsage)
    def _on_ask_usage(self, msg: _AskUsage) -> None:
        defer.ensureDeferred(self._usage())

    async def _usage(self) -> None:
        outcome = await self._call('GET', '/v1/usage')
        if isinstance(outcome, http_client.Reply) and outcome.status == 200:
            self._tell(Measured(infer_usages(infer_json(outcome))))
        self.after(USAGE_S, _AskUsage())

    def _command(self, holder: resources.Holder) -> dict[str, typing.Any]:
        return {'epoch': holder[1], 'controller': self._epoch}

    def _call(
        self, method: str, path: str, body: typing.Any = None
    ) -> defer.Deferred[http_client.HttpOutcome]:
        return self._http.request_json(method, path, body, COMMAND_LIMIT_S)

    def _tell(self, msg: typing.Any) -> bool:
        return self.send(addresses.TASK_CONTROL, msg)


def task_path(holder: resources.Holder) -> str:
    """Return the path of a task; its key holds a slash."""
    name = parse.quote(parse.quote(holder[0], safe=''), safe='')
    return f'/v1/tasks/{name}'


def infer_start(outcome: http_client.HttpOutcome) -> actions.StartResult:
    """Return what an answer proves about a start."""
    if isinstance(outcome, http_client.NotSent):
        return 'refused'
    if isinstance(outcome, http_client.NoAnswer):
        return 'unknown'
    if outcome.status == 200:
        return 'started'
    if outcome.status == 409:
        if infer_json(outcome).get('reason') == 'controller':
            return 'refused'
    return 'unknown'


def infer_json(reply: http_client.Reply) -> dict[str, typing.Any]:
    """Return the object in an answer; empty when there is none."""
    try:
        value = reply.json()
    except ValueError:
        return {}
    return value if isinstance(value, dict) else {}


def infer_task(value: typing.Any) -> actions.WorkerTask | None:
    """Return one task of the worker's answer; none when it is invalid."""
    try:
        found = codec.from_plain(actions.WorkerTask, value)
    except codec.BadFrame:
        return None
    return typing.cast(actions.WorkerTask, found)


def infer_tasks(
    value: dict[str, typing.Any],
) -> tuple[actions.WorkerTask, ...] | None:
    """Return the listed tasks; none when any is invalid."""
    listed = value.get('tasks')
    if not isinstance(listed, list):
        return None
    found = [infer_task(item) for item in listed]
    if any(item is None for item in found):
        return None
    return tuple(item for item in found if item is not None)


def infer_usages(value: dict[str, typing.Any]) -> tuple[actions.Usage, ...]:
    """Return the valid measurements of an answer."""
    usages = []
    for item in value.get('tasks', ()):
        try:
            used = codec.from_plain(types.Demand, item['used'])
            holder = (str(item['task']), int(item['epoch']))
        except (codec.BadFrame, KeyError, TypeError, ValueError):
            continue
        usages.append(actions.Usage(holder, used))
    return tuple(usages)

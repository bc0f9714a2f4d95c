"""Own the HTTP client of the worker and the controller lease.

The task control sends commands for tasks and requests for the list; results
and measurements go back to it. A start or renewal without a response is
reported as unknown, and the task control then requests the list. If the lease
has another holder, the process ends, because that holder is a newer sidecar of
the instance.
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

# Duration of the controller lease, in seconds.
CONTROLLER_TTL_S = 5.0
# Interval between renewals of the controller lease, in seconds.
CONTROLLER_RENEW_INTERVAL_S = 1.0
# Timeout of one command, in seconds. It must be less than `allowance_s`,
# which is part of the wait of a fence.
COMMAND_TIMEOUT_S = 1.0
# Interval between requests for the delayed usage, in seconds.
USAGE_INTERVAL_S = 1.0
# Maximum number of connections to the worker.
MAX_CONNECTIONS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class ControllerTaken:
    """Report that this sidecar has taken the controller lease."""

    # Epoch of the lease.
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class StartEnded:
    """Report the result of a start."""

    # Key and epoch of the task.
    holder: resources.Holder
    # Whether it took effect, as far as the response proves it.
    result: actions.StartResult


@dataclasses.dataclass(frozen=True, slots=True)
class RenewEnded:
    """Report the result of a renewal."""

    # Key and epoch of the task.
    holder: resources.Holder
    # `renewed`, `refused` or `unknown`.
    result: str


@dataclasses.dataclass(frozen=True, slots=True)
class StopEnded:
    """Report the result of a stop."""

    # Key and epoch of the task.
    holder: resources.Holder
    # Ended epoch; none if the worker does not list it.
    task: actions.WorkerTask | None


@dataclasses.dataclass(frozen=True, slots=True)
class UsageMeasured:
    """Report the delayed usage of the running tasks."""

    # One measurement per task.
    usages: tuple[actions.Usage, ...]


class _RenewController:
    pass


class _RequestUsage:
    pass


class Worker(task.Task):
    """Own the connections to the worker and the controller lease."""

    def __init__(self, ctx: task.Context, address: str) -> None:
        super().__init__(ctx, address)
        # Settings of the document in force.
        self.settings = types.ControlSettings()
        self._http = http_client.HttpClient(
            ctx.reactor, ctx.cfg.worker, MAX_CONNECTIONS
        )
        self._epoch: int | None = None
        self._lease_reported = False
        self._pending_stops: set[resources.Holder] = set()

    def started(self) -> None:
        """Take the controller lease."""
        self.post(_RenewController())
        self.after(USAGE_INTERVAL_S, _RequestUsage())

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
        await self._renew_lease(False)
        if self._epoch is not None and not self._lease_reported:
            self._lease_reported = self._report(ControllerTaken(self._epoch))
        self.after(CONTROLLER_RENEW_INTERVAL_S, _RenewController())

    async def _renew_lease(self, advance: bool) -> bool:
        """Renew the lease or advance its epoch; return whether it worked."""
        body: dict[str, typing.Any] = {
            'holder': self.ctx.incarnation,
            'ttl_ms': int(CONTROLLER_TTL_S * 1000),
            'advance': advance,
        }
        if self._epoch is not None:
            body['epoch'] = self._epoch
        outcome = await self._call('POST', '/v1/controller', body)
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
        # The response to an earlier advance may have been lost.
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
        self._report(StartEnded(cmd.holder, infer_start(outcome)))

    @task.handles(actions.Renew)
    def _on_renew(self, cmd: actions.Renew) -> None:
        defer.ensureDeferred(self._renew(cmd))

    async def _renew(self, cmd: actions.Renew) -> None:
        body = {
            **self._command_body(cmd.holder),
            'reserved': codec.to_plain(cmd.reserved),
            'lease_s': self.settings.task_lease_s,
        }
        path = task_path(cmd.holder) + '/renew'
        outcome = await self._call('POST', path, body)
        result = 'unknown'
        if isinstance(outcome, http_client.Reply):
            result = 'renewed' if outcome.status == 200 else 'refused'
        self._report(RenewEnded(cmd.holder, result))

    @task.handles(actions.Stop)
    def _on_stop(self, cmd: actions.Stop) -> None:
        if cmd.holder not in self._pending_stops:
            self._pending_stops.add(cmd.holder)
            defer.ensureDeferred(self._stop(cmd.holder))

    async def _stop(self, holder: resources.Holder) -> None:
        path = task_path(holder)
        body = self._command_body(holder)
        await self._call('POST', path + '/checkpoint', body)
        # The task is stopped even if the checkpoint fails.
        outcome = await self._call('POST', path + '/stop', body)
        self._pending_stops.discard(holder)
        if not isinstance(outcome, http_client.Reply):
            return
        if outcome.status == 404:
            self._report(StopEnded(holder, None))
        elif outcome.status == 200:
            ended = infer_task(infer_json(outcome))
            if ended is not None:
                self._report(StopEnded(holder, ended))

    @task.handles(actions.Forget)
    def _on_forget(self, cmd: actions.Forget) -> None:
        body = self._command_body(cmd.holder)
        defer.ensureDeferred(self._call('DELETE', task_path(cmd.holder), body))

    @task.handles(actions.Throttle)
    def _on_throttle(self, cmd: actions.Throttle) -> None:
        body = {**self._command_body(cmd.holder), 'speed': cmd.share}
        path = task_path(cmd.holder) + '/throttle'
        defer.ensureDeferred(self._call('POST', path, body))

    @task.handles(actions.RequestListing)
    def _on_request_listing(self, request: actions.RequestListing) -> None:
        defer.ensureDeferred(self._fetch_listing(request))

    async def _fetch_listing(self, request: actions.RequestListing) -> None:
        if request.barrier and not await self._renew_lease(True):
            return
        epoch = self._epoch
        outcome = await self._call('GET', '/v1/tasks')
        if epoch is None or not isinstance(outcome, http_client.Reply):
            return
        tasks = infer_tasks(infer_json(outcome))
        if outcome.status != 200 or tasks is None:
            self.ctx.metrics.count('worker_bad_answer')
            return
        self._report(actions.Listing(request.sequence, epoch, tasks))

    @task.handles(_RequestUsage)
    def _on_request_usage(self, msg: _RequestUsage) -> None:
        defer.ensureDeferred(self._fetch_usage())

    async def _fetch_usage(self) -> None:
        outcome = await self._call('GET', '/v1/usage')
        if isinstance(outcome, http_client.Reply) and outcome.status == 200:
            self._report(UsageMeasured(infer_usages(infer_json(outcome))))
        self.after(USAGE_INTERVAL_S, _RequestUsage())

    def _command_body(self, holder: resources.Holder) -> dict[str, typing.Any]:
        return {'epoch': holder[1], 'controller': self._epoch}

    def _call(
        self, method: str, path: str, body: typing.Any = None
    ) -> defer.Deferred[http_client.HttpOutcome]:
        return self._http.request_json(method, path, body, COMMAND_TIMEOUT_S)

    def _report(self, msg: typing.Any) -> bool:
        return self.send(addresses.TASK_CONTROL, msg)


def task_path(holder: resources.Holder) -> str:
    """Return the path of a task, whose key contains a slash."""
    name = parse.quote(parse.quote(holder[0], safe=''), safe='')
    return f'/v1/tasks/{name}'


def infer_start(outcome: http_client.HttpOutcome) -> actions.StartResult:
    """Return what the outcome of a start command proves."""
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
    """Return the JSON object in a response; empty if there is none."""
    try:
        value = reply.json()
    except ValueError:
        return {}
    return value if isinstance(value, dict) else {}


def infer_task(value: typing.Any) -> actions.WorkerTask | None:
    """Return one task of a response of the worker; none if invalid."""
    try:
        decoded = codec.from_plain(actions.WorkerTask, value)
    except codec.BadFrame:
        return None
    return typing.cast(actions.WorkerTask, decoded)


def infer_tasks(
    value: dict[str, typing.Any],
) -> tuple[actions.WorkerTask, ...] | None:
    """Return the listed tasks; none if any is invalid."""
    listed = value.get('tasks')
    if not isinstance(listed, list):
        return None
    tasks = [infer_task(item) for item in listed]
    if any(item is None for item in tasks):
        return None
    return tuple(item for item in tasks if item is not None)


def infer_usages(value: dict[str, typing.Any]) -> tuple[actions.Usage, ...]:
    """Return the valid measurements of a response."""
    usages = []
    for item in value.get('tasks', ()):
        try:
            used = codec.from_plain(types.Demand, item['used'])
            holder = (str(item['task']), int(item['epoch']))
        except (codec.BadFrame, KeyError, TypeError, ValueError):
            continue
        usages.append(actions.Usage(holder, used))
    return tuple(usages)

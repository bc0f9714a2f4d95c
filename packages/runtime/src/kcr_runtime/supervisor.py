"""Supervise tasks: start in order, restart after failures, stop in reverse.

Every role subclasses `Supervisor` for its tree. A supervisor that restarts its
children too often fails itself, so that its own supervisor restarts it in
turn; a failure of the root supervisor ends the process.
"""

import collections
from collections import abc
import dataclasses
import enum
import typing

import structlog
from twisted.internet import defer

from kcr_runtime import task

# Restarts within the period above which the supervisor fails itself.
MAX_RESTARTS = 10
# Length of the period in which restarts are counted, in seconds.
RESTART_PERIOD_S = 60.0
# Delay before an isolated child is restarted, in seconds, and the largest one
# after repeated failures.
ISOLATED_RESTART_S = 0.2
MAX_ISOLATED_RESTART_S = 10.0
# Timeout for stopping one child, in seconds.
STOP_TIMEOUT_S = 35.0

Factory = abc.Callable[[task.Context, str], typing.Any]


class Strategy(enum.Enum):
    """Define which children are restarted when one fails."""

    # Restart the failed child alone.
    ONE_FOR_ONE = 'one_for_one'
    # Restart the failed child and those started after it.
    REST_FOR_ONE = 'rest_for_one'


@dataclasses.dataclass(frozen=True, slots=True)
class ChildSpec:
    """Define how one child is created."""

    # Name of the child under its supervisor.
    name: str
    # Returns the child for the context and its address.
    factory: Factory
    # Whether a child that fails is removed instead of restarted.
    temporary: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class StartChild:
    """Request a supervisor to add and start a child."""

    spec: ChildSpec


@dataclasses.dataclass(frozen=True, slots=True)
class StopChild:
    """Request a supervisor to stop and remove a child."""

    # Name of the child under its supervisor.
    name: str


class TooManyRestarts(Exception):
    """Signal that the children of a supervisor fail too often."""


class Supervisor:
    """Run children and restart those that fail."""

    # Subclasses override this.
    strategy: typing.ClassVar[Strategy] = Strategy.ONE_FOR_ONE
    # Whether the children serve one peer each, so that the failures of a child
    # concern only its peer: they delay its own restart and never make the
    # supervisor fail.
    isolated: typing.ClassVar[bool] = False

    def __init__(self, ctx: task.Context, address: str) -> None:
        self.ctx = ctx
        # Address in the tree; empty for the root.
        self.address = address
        # Called with the exception when the supervisor fails; set by its own
        # supervisor, or by the process for the root.
        self.on_failure: abc.Callable[[BaseException], None] | None = None
        self._log = structlog.get_logger().bind(task=address or 'root')
        self._specs: dict[str, ChildSpec] = {}
        self._children: dict[str, typing.Any] = {}
        self._restarts: collections.deque[float] = collections.deque()
        # Recent failures of each isolated child.
        self._failures: collections.Counter[str] = collections.Counter()
        self._running = False

    def children(self) -> abc.Sequence[ChildSpec]:
        """Return the specs of the children that `begin` starts, in order."""
        return ()

    def begin(self) -> None:
        """Start every child in order."""
        self._running = True
        self.ctx.directory.add(self.address or 'root', self)
        for spec in self.children():
            self._start(spec)

    async def _end(self) -> None:
        self._running = False
        for name in reversed(list(self._children)):
            await self._stop(name)
        self.ctx.directory.remove(self.address or 'root', self)

    def end(self) -> defer.Deferred[None]:
        """Stop every child in reverse order."""
        return defer.ensureDeferred(self._end())

    def post(self, msg: typing.Any) -> bool:
        """Handle StartChild and StopChild; refuse anything else."""
        if not self._running:
            return False
        if isinstance(msg, StartChild):
            assert msg.spec.name not in self._specs, msg.spec.name
            self._failures.pop(msg.spec.name, None)
            self._start(msg.spec)
            return True
        if isinstance(msg, StopChild):
            defer.ensureDeferred(self._stop(msg.name))
            return True
        return False

    def dump(self) -> dict[str, typing.Any]:
        """Return the names of the children and recent restarts."""
        return {
            'children': list(self._children),
            'restarts': len(self._restarts),
        }

    def child_address(self, name: str) -> str:
        """Return the address of a child."""
        return f'{self.address}/{name}' if self.address else name

    def _start(self, spec: ChildSpec) -> None:
        child = spec.factory(self.ctx, self.child_address(spec.name))
        child.on_failure = lambda exc: self._failed(spec.name, child, exc)
        self._specs[spec.name] = spec
        self._children[spec.name] = child
        child.begin()

    async def _stop(self, name: str) -> None:
        child = self._children.pop(name, None)
        self._specs.pop(name, None)
        if child is None:
            return
        done = child.end()
        done.addTimeout(STOP_TIMEOUT_S, self.ctx.reactor)
        try:
            await done
        except defer.TimeoutError:
            self._log.warning('stop timed out', child=name)

    def _failed(
        self, name: str, child: typing.Any, exc: BaseException
    ) -> None:
        if self._children.get(name) is not child or not self._running:
            return
        self._log.error('task failed', child=name, exc_info=exc)
        if self.isolated:
            self._replace_isolated(name)
            return
        now = float(self.ctx.reactor.seconds())
        self._restarts.append(now)
        while now - self._restarts[0] > RESTART_PERIOD_S:
            self._restarts.popleft()
        if len(self._restarts) > MAX_RESTARTS:
            self._give_up(name, TooManyRestarts(self.child_address(name)))
            return
        defer.ensureDeferred(self._restart_or_give_up(name))

    def _replace_isolated(self, name: str) -> None:
        spec = self._specs[name]
        self.ctx.metrics.count('session_failed')
        defer.ensureDeferred(self._stop(name))
        if spec.temporary:
            return
        self._failures[name] += 1
        delay_s = ISOLATED_RESTART_S * 2 ** min(10, self._failures[name])
        self._specs[name] = spec

        def restart() -> None:
            if self._running and self._specs.get(name) is spec:
                self._start(spec)

        self.ctx.reactor.callLater(
            min(MAX_ISOLATED_RESTART_S, delay_s), restart
        )

    def _give_up(self, name: str, exc: BaseException) -> None:
        self._log.error('supervisor gives up', child=name, error=str(exc))
        if self.on_failure is not None:
            self.on_failure(exc)

    async def _restart_or_give_up(self, name: str) -> None:
        try:
            await self._restart(name)
        except Exception as exc:  # The failure must not go unnoticed.
            self._give_up(name, exc)

    async def _restart(self, name: str) -> None:
        names = list(self._specs)
        affected = [name]
        if self.strategy is Strategy.REST_FOR_ONE:
            affected = names[names.index(name) :]
        specs = [self._specs[item] for item in affected]
        for item in reversed(affected):
            await self._stop(item)
        for spec in specs:
            if self._running and not spec.temporary:
                self._start(spec)

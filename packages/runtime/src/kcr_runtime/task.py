"""Define tasks: actors that own their state and communicate by messages.

A task has a bounded mailbox, handlers that the decorator `handles` registers
by message class, and timers that post messages. Supervisors start, restart
and stop tasks; the directory finds them by their address. All tasks of a
process run on its one reactor, so handlers must not block.
"""

import collections
from collections import abc
import dataclasses
import random
import typing

import structlog
from twisted.internet import defer
from twisted.internet import interfaces
from twisted.python import failure

from kcr_runtime import metrics

# Maximum number of messages in a mailbox.
MAX_MAILBOX_MESSAGES = 20_000
# Messages that a task handles before it yields to the reactor.
DRAIN_BATCH = 100

F = typing.TypeVar('F', bound=abc.Callable[..., None])


def handles(cls: type[typing.Any]) -> abc.Callable[[F], F]:
    """Register the decorated method as the handler of a message class."""

    def decorate(method: F) -> F:
        classes = getattr(method, 'handled_classes', ())
        setattr(method, 'handled_classes', (*classes, cls))
        return method

    return decorate


class Child(typing.Protocol):
    """Define what a supervisor and the directory require of a child."""

    def begin(self) -> None:
        """Register in the directory and start."""

    def end(self) -> defer.Deferred[None]:
        """Stop; the Deferred fires when everything is released."""

    def post(self, msg: typing.Any) -> bool:
        """Deliver a message; return False if it is refused."""

    def dump(self) -> dict[str, typing.Any]:
        """Return the state as plain data."""


class Directory:
    """Find running tasks by their address in the tree."""

    def __init__(self) -> None:
        # Running children by address.
        self._tasks: dict[str, Child] = {}
        # Number of running children by the address of their supervisor.
        self._children: collections.Counter[str] = collections.Counter()

    def add(self, address: str, child: Child) -> None:
        """Make a child reachable at an address."""
        if address not in self._tasks:
            self._children[address.rpartition('/')[0]] += 1
        self._tasks[address] = child

    def remove(self, address: str, child: Child) -> None:
        """Remove a child unless its address belongs to another by now."""
        if self._tasks.get(address) is child:
            del self._tasks[address]
            self._children[address.rpartition('/')[0]] -= 1

    def count_children(self, address: str) -> int:
        """Return the number of running children of a supervisor."""
        return self._children[address]

    def send(self, address: str, msg: typing.Any) -> bool:
        """Post to a task; return False if it is absent or refuses."""
        child = self._tasks.get(address)
        return child is not None and child.post(msg)

    def children(self, address: str) -> tuple[str, ...]:
        """Return the addresses of the running children of a supervisor."""
        return tuple(
            child
            for child in self.addresses()
            if child.rpartition('/')[0] == address
        )

    def addresses(self) -> tuple[str, ...]:
        """Return the addresses of all running tasks and supervisors."""
        return tuple(sorted(self._tasks))

    def dump(self) -> dict[str, typing.Any]:
        """Return the state of every running task and supervisor by address."""
        return {addr: self._tasks[addr].dump() for addr in self.addresses()}


@dataclasses.dataclass(frozen=True)
class Context:
    """Provide what all tasks of a process share."""

    # Reactor with timers, sockets and the monotonic clock.
    reactor: typing.Any
    directory: Directory
    # Random source, seeded from the settings.
    rng: random.Random
    # Options of the role.
    cfg: typing.Any
    # Counters and histograms of the process.
    metrics: metrics.Metrics
    # Random id of this incarnation of the process.
    incarnation: str


class Task:
    """Own a part of the state and handle messages one at a time."""

    # Name of the handler method by message class.
    _handlers: typing.ClassVar[dict[type[typing.Any], str]] = {}

    def __init_subclass__(cls, **kwargs: typing.Any) -> None:
        super().__init_subclass__(**kwargs)
        cls._handlers = dict(cls._handlers)
        for name, member in vars(cls).items():
            for handled in getattr(member, 'handled_classes', ()):
                cls._handlers[handled] = name

    def __init__(self, ctx: Context, address: str) -> None:
        self.ctx = ctx
        # Address in the tree.
        self.address = address
        # Logger bound to the address.
        self.log = structlog.get_logger().bind(task=address)
        # Called with the exception when the task fails; set by a supervisor.
        self.on_failure: abc.Callable[[BaseException], None] | None = None
        self._mailbox: collections.deque[typing.Any] = collections.deque()
        self._scheduled = False
        self._running = False
        self._timers: set[interfaces.IDelayedCall] = set()

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return float(self.ctx.reactor.seconds())

    def begin(self) -> None:
        """Register in the directory and call `started`."""
        self._running = True
        self.ctx.directory.add(self.address, self)
        self.started()

    def end(self) -> defer.Deferred[None]:
        """Discard timers and queued messages, and call `stopped`."""
        if not self._running:
            return defer.succeed(None)
        self._running = False
        self.ctx.directory.remove(self.address, self)
        for timer in self._timers:
            if timer.active():
                timer.cancel()
        self._timers.clear()
        self._mailbox.clear()
        return self.stopped() or defer.succeed(None)

    def started(self) -> None:
        """Open sockets and start timers; subclasses override this."""

    def stopped(self) -> defer.Deferred[None] | None:
        """Close sockets; subclasses override this."""
        return None

    def dump(self) -> dict[str, typing.Any]:
        """Return the state as plain data; subclasses extend this."""
        return {'mailbox': len(self._mailbox)}

    def post(self, msg: typing.Any) -> bool:
        """Queue a message; return False if stopped or the mailbox is full."""
        if not self._running:
            return False
        if len(self._mailbox) >= MAX_MAILBOX_MESSAGES:
            self.ctx.metrics.count('mailbox_refused', task=self.kind())
            return False
        self._mailbox.append(msg)
        if not self._scheduled:
            self._scheduled = True
            self.ctx.reactor.callLater(0, self._drain)
        return True

    def send(self, address: str, msg: typing.Any) -> bool:
        """Post a message to another task; return False if it is refused."""
        return self.ctx.directory.send(address, msg)

    def after(
        self, delay_s: float, msg: typing.Any
    ) -> interfaces.IDelayedCall:
        """Post a message to this task after a delay."""
        timer: interfaces.IDelayedCall

        def fire() -> None:
            self._timers.discard(timer)
            self.post(msg)

        timer = self.ctx.reactor.callLater(max(0.0, delay_s), fire)
        self._timers.add(timer)
        return timer

    def spawn(self, work: abc.Coroutine[typing.Any, typing.Any, None]) -> None:
        """Run a coroutine; if it fails, the task fails."""
        defer.ensureDeferred(work).addErrback(self._spawned_failed)

    def _spawned_failed(self, fail: failure.Failure) -> None:
        if not self._running:
            return
        self.ctx.metrics.count('task_failed', task=self.kind())
        if self.on_failure is None:
            fail.raiseException()
        else:
            assert fail.value is not None
            self.on_failure(fail.value)

    def kind(self) -> str:
        """Return the class name, which labels the metrics of the task."""
        return type(self).__name__

    def _drain(self) -> None:
        self._scheduled = False
        for _ in range(min(DRAIN_BATCH, len(self._mailbox))):
            if not self._mailbox or not self._running:
                return
            self._handle(self._mailbox.popleft())
        if self._mailbox and not self._scheduled and self._running:
            self._scheduled = True
            self.ctx.reactor.callLater(0, self._drain)

    def _handle(self, msg: typing.Any) -> None:
        name = self._handlers.get(type(msg))
        if name is None:
            self.ctx.metrics.count('message_unhandled', task=self.kind())
            return
        try:
            getattr(self, name)(msg)
        except Exception as exc:  # The supervisor handles the failure.
            self.ctx.metrics.count('task_failed', task=self.kind())
            if self.on_failure is None:
                raise
            self.on_failure(exc)

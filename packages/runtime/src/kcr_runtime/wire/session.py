"""Own one connection to another process: hello, routing and close.

A session uses an accepted connection or dials one, and dials again after a
loss. It exchanges hellos, passes each received message to the task that the
routes of the role name, and sends the messages that other tasks post to it.
It notifies subscribers when it opens and closes. The life cycle is an automat
state machine.
"""

from collections import abc
import dataclasses
import typing

import automat
from twisted.internet import endpoints
from twisted.internet import error

from kcr_core import message_base
from kcr_core import net_address
from kcr_core import types
from kcr_runtime import supervisor
from kcr_runtime import task
from kcr_runtime.wire import codec
from kcr_runtime.wire import connection

# Timeout for the hello of the peer, in seconds.
HELLO_TIMEOUT_S = 5.0
# Timeout for the handshake and the hello of an accepted connection, in
# seconds.
GREETING_TIMEOUT_S = 2 * HELLO_TIMEOUT_S
# Timeout for establishing a dialed connection, in seconds.
CONNECT_TIMEOUT_S = 3.0
# Timeout for the handshake and the hello on a dialed connection, in seconds. A
# connection can become silent after it is established; an agent without an
# owner can't stop its runs.
DIAL_TIMEOUT_S = 2.0
# Bounds of the delay before dialing again, without jitter, in seconds.
MIN_REDIAL_S = 0.1
MAX_REDIAL_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Opened:
    """Notify subscribers that a session has received a valid hello."""

    # Address of the session task.
    session: str
    # Hello of the peer.
    hello: message_base.Hello


@dataclasses.dataclass(frozen=True, slots=True)
class QueryOpened:
    """Query whether a session is open; it replies with `Opened` if so."""

    # Address of the task that gets the reply.
    sender: str


@dataclasses.dataclass(frozen=True, slots=True)
class Closed:
    """Notify subscribers that a session has closed."""

    # Address of the session task.
    session: str
    # Hello of the peer.
    hello: message_base.Hello
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class DialFailed:
    """Notify subscribers that dialing an address has failed.

    A connection that ends without a hello counts as well: what accepts it
    may be no process of the system.
    """

    # Address that was dialed.
    target: str
    # Whether the connection was refused: no process listens there.
    refused: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """Deliver a message from a peer to the task that handles it."""

    # Address of the session task, for replies.
    session: str
    # Hello of the peer.
    hello: message_base.Hello
    msg: message_base.Message


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Request a session to send a message."""

    msg: message_base.Message


@dataclasses.dataclass(frozen=True, slots=True)
class SendRefused:
    """Notify subscribers that a session did not send a message."""

    # Address of the session task.
    session: str
    msg: message_base.Message


@dataclasses.dataclass(frozen=True, slots=True)
class Close:
    """Request a session to close."""

    # Reason that the peer receives in the goodbye.
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class SetRevision:
    """Set the document revision that a session or listener sends in hellos."""

    # Revision of the document in force.
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Routes:
    """Define which tasks receive the messages and session events of a role."""

    # Address of the handling task by message class.
    tasks: abc.Mapping[type[typing.Any], str]
    # Addresses of the tasks that receive the events of sessions.
    subscribers: tuple[str, ...]
    # Returns the hello of this process.
    hello: abc.Callable[[], message_base.Hello]


@dataclasses.dataclass(frozen=True, slots=True)
class _Connected:
    conn: connection.Connection


@dataclasses.dataclass(frozen=True, slots=True)
class _Incoming:
    msg: message_base.Message


@dataclasses.dataclass(frozen=True, slots=True)
class _Lost:
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class _Dial:
    pass


@dataclasses.dataclass(frozen=True, slots=True)
class _DialError:
    refused: bool


class _GreetingTimeout:
    pass


@dataclasses.dataclass(frozen=True, slots=True)
class _DialTimeout:
    conn: connection.Connection


@dataclasses.dataclass(frozen=True, slots=True)
class _HelloTimeout:
    conn: connection.Connection


class Lifecycle(typing.Protocol):
    """Define the inputs of the life cycle of a session."""

    def connected(self) -> None:
        """Record that the WebSocket handshake is complete."""

    def hello_received(self) -> None:
        """Record that a valid hello was received."""

    def lost(self) -> None:
        """Record that the connection has ended."""


def _build_lifecycle() -> typing.Any:
    builder = automat.TypeMachineBuilder(Lifecycle, list)
    idle = builder.state('idle')
    greeting = builder.state('greeting')
    opened = builder.state('open')

    @idle.upon(Lifecycle.connected).to(greeting)
    def on_connected(lifecycle: Lifecycle, phase: list[str]) -> None:
        phase[:] = ['greeting']

    @greeting.upon(Lifecycle.hello_received).to(opened)
    def on_hello_received(lifecycle: Lifecycle, phase: list[str]) -> None:
        phase[:] = ['open']

    @greeting.upon(Lifecycle.lost).to(idle)
    def on_lost_early(lifecycle: Lifecycle, phase: list[str]) -> None:
        phase[:] = ['idle']

    @opened.upon(Lifecycle.lost).to(idle)
    def on_lost(lifecycle: Lifecycle, phase: list[str]) -> None:
        phase[:] = ['idle']

    @idle.upon(Lifecycle.lost).to(idle)
    def on_lost_again(lifecycle: Lifecycle, phase: list[str]) -> None:
        phase[:] = ['idle']

    return builder.build()


LIFECYCLE = _build_lifecycle()


class Session(task.Task):
    """Own one connection, accepted or dialed."""

    def __init__(
        self,
        ctx: task.Context,
        address: str,
        routes: Routes,
        target: str | None = None,
    ) -> None:
        super().__init__(ctx, address)
        self.routes = routes
        # Address to dial; None for an accepted connection.
        self.target = target
        # Document revision that the hello carries.
        self.revision = 0
        self._conn: connection.Connection | None = None
        self._hello: message_base.Hello | None = None
        self._phase: list[str] = ['idle']
        self._lifecycle = LIFECYCLE(self._phase)
        self._redial_s = MIN_REDIAL_S

    def started(self) -> None:
        """Dial if there is a target."""
        if self.target is not None:
            self.post(_Dial())
        else:
            self.after(GREETING_TIMEOUT_S, _GreetingTimeout())

    def stopped(self) -> None:
        """Close the connection."""
        if self._conn is not None:
            self._conn.close('shutting down')
        self._notify_closed('stopped')

    def dump(self) -> dict[str, typing.Any]:
        """Return the phase, the peer and the traffic."""
        peer = self._hello.process if self._hello else None
        conn = self._conn
        return {
            **super().dump(),
            'phase': self._phase[0],
            'peer': peer,
            'bytes_in': conn.bytes_in if conn else 0,
            'bytes_out': conn.bytes_out if conn else 0,
        }

    def build_connection(self) -> connection.Connection:
        """Return a new protocol that posts its events to this task."""
        conn = connection.Connection(
            self.target,
            on_open=lambda opened: self._inject(_Connected(opened)),
            on_message=lambda msg: self._inject(_Incoming(msg)),
            on_close=lambda reason: self._inject(_Lost(reason)),
        )
        self._conn = conn
        if self.target is not None:
            self.after(DIAL_TIMEOUT_S, _DialTimeout(conn))
        return conn

    def _inject(self, event: typing.Any) -> None:
        if not self.post(event) and self._running and self._conn:
            self._conn.abort()

    @task.handles(_Dial)
    def _on_dial(self, msg: _Dial) -> None:
        try:
            target = net_address.parse(self.target)
        except net_address.BadAddress as exc:
            self.log.error('address is malformed', error=str(exc))
            self._inject(_DialError(False))
            return
        point = endpoints.TCP4ClientEndpoint(
            self.ctx.reactor, target.host, target.port,
            timeout=CONNECT_TIMEOUT_S,
        )  # fmt: skip
        fut = point.connect(
            connection.ConnectionFactory(self.build_connection)
        )
        fut.addErrback(
            lambda fail: self._inject(
                _DialError(
                    fail.check(error.ConnectionRefusedError) is not None
                )
            )
        )

    @task.handles(_DialError)
    def _on_dial_error(self, msg: _DialError) -> None:
        self._conn = None
        self._notify_dial_failed(msg.refused)
        self._redial()

    def _notify_dial_failed(self, refused: bool) -> None:
        event = DialFailed(self.target or '', refused)
        for subscriber in self.routes.subscribers:
            self.send(subscriber, event)

    def _redial(self) -> None:
        delay = self._redial_s * self.ctx.rng.uniform(0.5, 1.5)
        self._redial_s = min(MAX_REDIAL_S, self._redial_s * 2)
        self.after(delay, _Dial())

    @task.handles(_Connected)
    def _on_connected(self, msg: _Connected) -> None:
        self._lifecycle.connected()
        hello = self.routes.hello()
        msg.conn.send(dataclasses.replace(hello, revision=self.revision))
        self.after(HELLO_TIMEOUT_S, _HelloTimeout(msg.conn))

    @task.handles(_HelloTimeout)
    def _on_hello_timeout(self, msg: _HelloTimeout) -> None:
        if self._conn is msg.conn and self._hello is None:
            msg.conn.close('no hello in time')

    @task.handles(_DialTimeout)
    def _on_dial_timeout(self, msg: _DialTimeout) -> None:
        if self._conn is msg.conn and self._hello is None:
            # A silent connection would never end by a close.
            msg.conn.abort()

    @task.handles(_GreetingTimeout)
    def _on_greeting_timeout(self, msg: _GreetingTimeout) -> None:
        # The handshake, which comes before the hello, may be incomplete.
        if self._conn is not None and not self._conn.greeted:
            self._conn.abort()

    @task.handles(_Incoming)
    def _on_incoming(self, event: _Incoming) -> None:
        msg = event.msg
        if isinstance(msg, message_base.Hello):
            self._handle_hello(msg)
            return
        if isinstance(msg, message_base.Goodbye):
            return
        if self._hello is None:
            self._close('the first message must be hello')
            return
        self.ctx.metrics.count('message_in', kind=message_base.TAGS[type(msg)])
        route = self.routes.tasks.get(type(msg))
        if route is None:
            self._close(f'{message_base.TAGS[type(msg)]} is not accepted here')
            return
        self.send(route, Received(self.address, self._hello, msg))

    def _handle_hello(self, hello: message_base.Hello) -> None:
        if hello.version != message_base.PROTOCOL_VERSION:
            self._close(
                f'protocol version {hello.version} is not supported; '
                f'this process speaks {message_base.PROTOCOL_VERSION}'
            )
            return
        if self._hello is not None:
            self._close('hello was sent twice')
            return
        self._hello = hello
        self._lifecycle.hello_received()
        self._redial_s = MIN_REDIAL_S
        for subscriber in self.routes.subscribers:
            self.send(subscriber, Opened(self.address, hello))

    @task.handles(Send)
    def _on_send(self, msg: Send) -> None:
        conn = self._conn
        if conn is not None and self._hello is not None:
            try:
                if conn.send(msg.msg):
                    return
            except codec.BadFrame as exc:
                self.log.error(
                    'message not sent', kind=message_base.TAGS[type(msg.msg)],
                    error=str(exc),
                )  # fmt: skip
        self.ctx.metrics.count('send_refused')
        for subscriber in self.routes.subscribers:
            self.send(subscriber, SendRefused(self.address, msg.msg))

    @task.handles(SetRevision)
    def _on_set_revision(self, msg: SetRevision) -> None:
        self.revision = msg.revision

    @task.handles(QueryOpened)
    def _on_query_opened(self, msg: QueryOpened) -> None:
        if self._hello is not None:
            self.send(msg.sender, Opened(self.address, self._hello))

    @task.handles(Close)
    def _on_close(self, msg: Close) -> None:
        self._close(msg.reason)

    def _close(self, reason: str) -> None:
        if self._conn is not None:
            self._conn.close(reason)

    @task.handles(_Lost)
    def _on_lost(self, msg: _Lost) -> None:
        self._lifecycle.lost()
        self._conn = None
        greeted = self._hello is not None
        self._notify_closed(msg.reason)
        if self.target is not None:
            if not greeted:
                self._notify_dial_failed(False)
            self._redial()
        else:
            parent, _, name = self.address.rpartition('/')
            self.send(parent, supervisor.StopChild(name))

    def _notify_closed(self, reason: str) -> None:
        hello, self._hello = self._hello, None
        if hello is None:
            return
        for subscriber in self.routes.subscribers:
            self.send(subscriber, Closed(self.address, hello, reason))


def query_open_sessions(
    ctx: task.Context, sender: str, parents: set[str]
) -> None:
    """Make all open sessions of some supervisors send `Opened` to a task.

    A restarted task calls this, because it has missed the earlier events.
    """
    for parent in sorted(parents):
        for address in ctx.directory.children(parent):
            ctx.directory.send(address, QueryOpened(sender))


def make_hello(
    ctx: task.Context, role: str, instance: str, address: str = ''
) -> abc.Callable[[], message_base.Hello]:
    """Return a function that returns the hello of this process."""
    cfg = ctx.cfg
    hello = message_base.Hello(
        version=message_base.PROTOCOL_VERSION,
        role=role,
        process=cfg.process,
        incarnation=ctx.incarnation,
        place=types.Place(cfg.region, cfg.zone, cfg.rack, instance),
        address=address,
    )
    return lambda: hello


def make_spec(
    target: str, make_routes: abc.Callable[[task.Context], Routes]
) -> supervisor.ChildSpec:
    """Return the child spec of a session that dials an address."""

    def factory(ctx: task.Context, address: str) -> Session:
        return Session(ctx, address, make_routes(ctx), target)

    return supervisor.ChildSpec(target, factory)

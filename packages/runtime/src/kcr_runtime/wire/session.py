"""Own one connection to another process: hello, routing, close.

A session accepts or dials, exchanges hellos, hands each message to the task
that the role's routes name, and sends what other tasks post to it. Its life
cycle is an automat machine.
"""

from collections import abc
import dataclasses
import typing

import automat
from twisted.internet import endpoints
from twisted.internet import error

from kcr_core import message_base
from kcr_core import types
from kcr_runtime import supervisor
from kcr_runtime import task
from kcr_runtime.wire import connection

# Time in which the peer must send its hello, in seconds.
HELLO_LIMIT_S = 5.0
# Time in which a dialed connection must be made, in seconds.
CONNECT_LIMIT_S = 3.0
# Bounds of the wait before dialing again, in seconds.
MIN_REDIAL_S = 0.1
MAX_REDIAL_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Opened:
    """Tell subscribers that a session has exchanged hellos."""

    # Address of the session task.
    session: str
    # Hello of the peer.
    hello: message_base.Hello


@dataclasses.dataclass(frozen=True, slots=True)
class QueryOpened:
    """Ask a session to tell a restarted task whether it is open."""

    # Address of the task.
    sender: str


@dataclasses.dataclass(frozen=True, slots=True)
class Closed:
    """Tell subscribers that a session has ended."""

    # Address of the session task.
    session: str
    # Hello of the peer.
    hello: message_base.Hello
    # Why it ended.
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class DialFailed:
    """Tell subscribers that an address could not be reached."""

    # Address that was dialed.
    target: str
    # Whether the peer's kernel refused: no process listens there.
    refused: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """Deliver a message of a peer to the task that handles it."""

    # Address of the session task, for replies.
    session: str
    # Hello of the peer.
    hello: message_base.Hello
    # The message.
    msg: message_base.Message


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Ask a session to send a message."""

    # The message.
    msg: message_base.Message


@dataclasses.dataclass(frozen=True, slots=True)
class SendRefused:
    """Tell the sender that a message was not sent."""

    # Address of the session.
    session: str
    # The message.
    msg: message_base.Message


@dataclasses.dataclass(frozen=True, slots=True)
class Close:
    """Ask a session to close."""

    # Why.
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class SetRevision:
    """Give a session or a listener the document revision for its hello."""

    # Revision of the document in force.
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Routes:
    """Say where a role's messages and session events go."""

    # Address of the handling task by message class.
    tasks: abc.Mapping[type[typing.Any], str]
    # Tasks that hear of opened and closed sessions.
    subscribers: tuple[str, ...]
    # Makes the hello of this process.
    hello: abc.Callable[[], message_base.Hello]


@dataclasses.dataclass(frozen=True, slots=True)
class _Made:
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


@dataclasses.dataclass(frozen=True, slots=True)
class _HelloLimit:
    conn: connection.Connection


class Life(typing.Protocol):
    """List the inputs of a session's life cycle."""

    def made(self) -> None:
        """Note that the websocket handshake is done."""

    def greeted(self) -> None:
        """Note that the peer's hello is valid."""

    def lost(self) -> None:
        """Note that the connection has ended."""


def _build_life() -> typing.Any:
    builder = automat.TypeMachineBuilder(Life, list)
    idle = builder.state('idle')
    greeting = builder.state('greeting')
    ready = builder.state('open')

    @idle.upon(Life.made).to(greeting)
    def on_made(life: Life, trail: list[str]) -> None:
        trail[:] = ['greeting']

    @greeting.upon(Life.greeted).to(ready)
    def on_greeted(life: Life, trail: list[str]) -> None:
        trail[:] = ['open']

    @greeting.upon(Life.lost).to(idle)
    def on_lost_early(life: Life, trail: list[str]) -> None:
        trail[:] = ['idle']

    @ready.upon(Life.lost).to(idle)
    def on_lost(life: Life, trail: list[str]) -> None:
        trail[:] = ['idle']

    @idle.upon(Life.lost).to(idle)
    def on_lost_again(life: Life, trail: list[str]) -> None:
        trail[:] = ['idle']

    return builder.build()


LIFE = _build_life()


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
        # Where messages go.
        self.routes = routes
        # Address to dial; none for an accepted connection.
        self.target = target
        # Document revision for the hello.
        self.revision = 0
        self._conn: connection.Connection | None = None
        self._hello: message_base.Hello | None = None
        self._phase: list[str] = ['idle']
        self._life = LIFE(self._phase)
        self._redial_s = MIN_REDIAL_S

    def started(self) -> None:
        """Dial, or wait for the accepted connection."""
        if self.target is not None:
            self.post(_Dial())

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

    def adopt(self) -> connection.Connection:
        """Return a protocol whose events come to this task."""
        conn = connection.Connection(
            self.target,
            on_open=lambda made: self._inject(_Made(made)),
            on_message=lambda msg: self._inject(_Incoming(msg)),
            on_close=lambda reason: self._inject(_Lost(reason)),
        )
        self._conn = conn
        return conn

    def _inject(self, event: typing.Any) -> None:
        if not self.post(event) and self._running and self._conn:
            self._conn.abort()

    @task.handles(_Dial)
    def _on_dial(self, msg: _Dial) -> None:
        assert self.target is not None
        host, port = self.target.rsplit(':', 1)
        point = endpoints.TCP4ClientEndpoint(
            self.ctx.reactor, host, int(port), timeout=CONNECT_LIMIT_S
        )
        fut = point.connect(connection.ConnectionFactory(self.adopt))
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
        event = DialFailed(self.target or '', msg.refused)
        for subscriber in self.routes.subscribers:
            self.send(subscriber, event)
        self._redial()

    def _redial(self) -> None:
        delay = self._redial_s * self.ctx.rng.uniform(0.5, 1.5)
        self._redial_s = min(MAX_REDIAL_S, self._redial_s * 2)
        self.after(delay, _Dial())

    @task.handles(_Made)
    def _on_made(self, msg: _Made) -> None:
        self._life.made()
        hello = self.routes.hello()
        msg.conn.send(dataclasses.replace(hello, revision=self.revision))
        self.after(HELLO_LIMIT_S, _HelloLimit(msg.conn))

    @task.handles(_HelloLimit)
    def _on_hello_limit(self, msg: _HelloLimit) -> None:
        if self._conn is msg.conn and self._hello is None:
            msg.conn.close('no hello in time')

    @task.handles(_Incoming)
    def _on_incoming(self, event: _Incoming) -> None:
        msg = event.msg
        if isinstance(msg, message_base.Hello):
            self._greet(msg)
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

    def _greet(self, hello: message_base.Hello) -> None:
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
        self._life.greeted()
        self._redial_s = MIN_REDIAL_S
        for subscriber in self.routes.subscribers:
            self.send(subscriber, Opened(self.address, hello))

    @task.handles(Send)
    def _on_send(self, msg: Send) -> None:
        conn = self._conn
        if conn is not None and self._hello is not None:
            if conn.send(msg.msg):
                return
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
        self._life.lost()
        self._conn = None
        self._notify_closed(msg.reason)
        if self.target is not None:
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
    """Ask the open sessions below some supervisors to tell of themselves.

    A restarted task knows none of the sessions that were opened before.
    """
    for parent in sorted(parents):
        for address in ctx.directory.children(parent):
            ctx.directory.send(address, QueryOpened(sender))


def make_hello(
    ctx: task.Context, role: str, instance: str, address: str = ''
) -> abc.Callable[[], message_base.Hello]:
    """Return what makes the hello of this process."""
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
    """Return the spec of a session that dials an address."""

    def factory(ctx: task.Context, address: str) -> Session:
        return Session(ctx, address, make_routes(ctx), target)

    return supervisor.ChildSpec(target, factory)

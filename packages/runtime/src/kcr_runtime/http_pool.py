"""Keep the connections of an HTTP client: reuse, limit, greet, give up.

A pool may bound the connections that are open at a time; requests beyond it
wait for one that becomes free. With a greeting, the first exchange on each
connection identifies the incarnation of the peer, and a request that is meant
for another incarnation is not sent on it.
"""

import collections
from collections import abc
import math
import typing
import weakref

import structlog
from twisted.internet import defer
from twisted.internet import protocol
from twisted.internet import task as twisted_task
from twisted.python import failure
from twisted.web import client


class NotGreeted(Exception):
    """Report a new connection whose greeting was not answered."""


class NoneFree(Exception):
    """Report that all connections stayed in use until the timeout."""


class OtherPeer(Exception):
    """Report that another incarnation of the peer answers by now."""

    def __init__(self, peer: int) -> None:
        super().__init__(f'incarnation {peer} answers')
        # Identity with which it has answered the greeting.
        self.peer = peer


# Sends the greeting on a connection; returns the identity of the peer, or
# none if there was no usable answer.
Greet = abc.Callable[[typing.Any], abc.Awaitable[int | None]]


# Twisted's stubs do not name it.
_Base: typing.Any = vars(client)['HTTP11ClientProtocol']


class _Connection(_Base):  # type: ignore[misc]
    """Notify the pool when the connection is lost."""

    on_lost: abc.Callable[[], None]

    def connectionLost(self, reason: failure.Failure) -> None:  # noqa: N802
        super().connectionLost(reason)
        self.on_lost()


class _Factory(protocol.Factory):
    noisy = False

    def __init__(
        self,
        on_idle: abc.Callable[[typing.Any], None],
        on_lost: abc.Callable[[], None],
    ) -> None:
        self._on_idle = on_idle
        self._on_lost = on_lost

    def buildProtocol(self, addr: typing.Any) -> _Connection:  # noqa: N802
        made = _Connection(self._on_idle)
        made.on_lost = self._on_lost
        return made


class Pool(client.HTTPConnectionPool):
    """Keep idle connections, but none that may have become silent.

    A connection can stop to carry bytes without being closed, and the others
    of the same path with it. Trying them in turn would take a timeout each.
    """

    def __init__(
        self,
        reactor: typing.Any,
        address: str,
        max_open: float = math.inf,
        greet: Greet | None = None,
        reuse_wait_s: float = 0.0,
    ) -> None:
        # Twisted does not annotate it.
        super().__init__(  # type: ignore[no-untyped-call]
            reactor, persistent=True
        )
        # By default Twisted resends some requests automatically.
        self.retryAutomatically = False
        self._log = structlog.get_logger().bind(peer=address)
        self._greet = greet
        # Maximum and present number of connections, with those being made.
        self._max_open = max_open
        self._open = 0
        # Time that a request waits for a connection in use before it opens
        # another one, in seconds.
        self._reuse_wait_s = reuse_wait_s
        # Requests that wait for a connection, the oldest first. They get an
        # idle one, or none once a new one may be made.
        self._waiting: collections.deque[defer.Deferred[typing.Any]] = (
            collections.deque()
        )
        # Connections on which a greeting is under way.
        self._greeting: set[typing.Any] = set()
        # Identity of the peer by greeted connection.
        self._peers: weakref.WeakKeyDictionary[typing.Any, int] = (
            weakref.WeakKeyDictionary()
        )
        # Time at which the newest request that got no answer was sent.
        self._suspect_before = -math.inf
        # Time at which each connection was last taken for a request.
        self._taken_at: weakref.WeakKeyDictionary[typing.Any, float] = (
            weakref.WeakKeyDictionary()
        )

    def suspect_older(self, sent_at: float) -> None:
        """Give up idle connections whose last request is older than this."""
        self._suspect_before = max(self._suspect_before, sent_at)

    async def take(
        self, key: typing.Any, endpoint: typing.Any, peer: int | None
    ) -> typing.Any:
        """Return a connection to `peer`; with none, whoever answers.

        Raise OtherPeer if a new connection leads to another incarnation, and
        NotGreeted if its greeting fails.
        """
        closed = 0
        while True:
            conn = await self._obtain(key, endpoint)
            now = float(self._reactor.seconds())
            fresh = conn not in self._taken_at
            if self._taken_at.get(conn, now) < self._suspect_before:
                conn.abort()
                closed += 1
                continue
            self._taken_at[conn] = now
            if fresh and self._greet is not None:
                await self._identify(conn, self._greet)
            known = self._peers.get(conn, peer)
            if peer is None or known == peer:
                break
            conn.abort()
            if fresh and known is not None:
                raise OtherPeer(known)
        if closed:
            self._log.info('silent connections closed', connections=closed)
        return conn

    async def _identify(self, conn: typing.Any, greet: Greet) -> None:
        self._greeting.add(conn)
        try:
            peer = await greet(conn)
            # The connection is free only after the callbacks of the answer.
            await twisted_task.deferLater(self._reactor, 0)
        except BaseException:
            conn.abort()
            raise
        finally:
            self._greeting.discard(conn)
        if peer is None or conn.state != 'QUIESCENT':
            conn.abort()
            raise NotGreeted('no answer to the first request')
        self._peers[conn] = peer

    async def _obtain(
        self, key: typing.Any, endpoint: typing.Any
    ) -> typing.Any:
        """Return an idle or new connection; wait while all are in use."""
        patient = self._open > 0 and self._reuse_wait_s > 0.0
        while True:
            conn = self._pop_idle(key)
            if conn is not None:
                return conn
            if self._open < self._max_open and not patient:
                self._open += 1
                try:
                    return await self._newConnection(key, endpoint)
                except BaseException:
                    self._on_closed()
                    raise
            await self._wait_for_free(self._reuse_wait_s if patient else None)
            patient = False

    async def _wait_for_free(self, longest_s: float | None) -> None:
        """Wait until a connection may be free, or for the longest time."""
        waiter: defer.Deferred[None] = defer.Deferred()
        self._waiting.append(waiter)
        timer = None
        if longest_s is not None:
            timer = self._reactor.callLater(longest_s, _fire, waiter)
        try:
            await waiter
        except defer.CancelledError as exc:
            # It may have been woken for a connection that is free.
            self._wake()
            raise NoneFree('no connection became free') from exc
        finally:
            if timer is not None and timer.active():
                timer.cancel()
            if waiter in self._waiting:
                self._waiting.remove(waiter)

    def _pop_idle(self, key: typing.Any) -> typing.Any:
        idle = self._connections.get(key)
        while idle:
            conn = idle.pop(0)
            self._timeouts.pop(conn).cancel()
            if conn.state == 'QUIESCENT':
                return conn
        return None

    def _newConnection(  # noqa: N802
        self, key: typing.Any, endpoint: typing.Any
    ) -> typing.Any:
        return endpoint.connect(
            _Factory(
                lambda conn: self._putConnection(key, conn), self._on_closed
            )
        )

    def _putConnection(  # noqa: N802
        self, key: typing.Any, connection: typing.Any
    ) -> None:
        if connection in self._greeting:
            return
        super()._putConnection(  # type: ignore[no-untyped-call]
            key, connection
        )
        self._wake()

    def _on_closed(self) -> None:
        self._open -= 1
        self._wake()

    def _wake(self) -> None:
        """Let the oldest waiting request look for a connection again.

        Twisted calls this before it has finished the last request.
        """
        if self._waiting:
            waiter = self._waiting.popleft()
            self._reactor.callLater(0, _fire, waiter)


def _fire(waiter: defer.Deferred[None]) -> None:
    if not waiter.called:
        waiter.callback(None)


class Chosen:
    """Give one request its connection: a certain one, or one to a peer.

    It takes the place of the pool of Twisted's agent for that request.
    """

    # Read by the agent.
    persistent = True

    def __init__(
        self, pool: Pool, peer: int | None = None, conn: typing.Any = None
    ) -> None:
        self._pool = pool
        self._peer = peer
        self._conn = conn

    def getConnection(  # noqa: N802
        self, key: typing.Any, endpoint: typing.Any
    ) -> defer.Deferred[typing.Any]:
        """Return the connection for the request."""
        if self._conn is not None:
            return defer.succeed(self._conn)
        return defer.ensureDeferred(self._pool.take(key, endpoint, self._peer))

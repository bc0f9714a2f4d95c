"""Send HTTP requests to the platform, the runner and the log service.

The outcome distinguishes a request that was certainly not sent from one that
may have taken effect, so that the caller can decide whether a retry is safe.
The client itself never retries.
"""

from collections import abc
import dataclasses
import functools
import json
import math
import typing

from twisted.internet import defer
from twisted.internet import error
from twisted.internet import protocol
from twisted.python import failure
from twisted.web import client
from twisted.web import http
from twisted.web import http_headers
from twisted.web import iweb
import zope.interface

from kcr_runtime import http_pool

# Timeout for establishing a connection, in seconds.
CONNECT_TIMEOUT_S = 2.0
# Longest transfer of a body that ends by lack of progress, in seconds; bounds
# a peer that sends a few bytes at a time.
MAX_TRANSFER_S = 20.0
# Reason of a body that stopped before its end.
NO_PROGRESS = 'no progress'


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Represent a complete HTTP response."""

    status: int
    body: bytes
    # Time from the headers to the end of the body, in seconds.
    transfer_s: float = 0.0

    def json(self) -> typing.Any:
        """Return the decoded JSON body; raise ValueError if it is invalid."""
        return json.loads(self.body)


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """Represent a request that the peer has certainly not received."""

    # Error of the connection attempt.
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class OtherPeer(NotSent):
    """Represent a request that was meant for another incarnation."""

    # Identity of the incarnation that answers by now.
    peer: int


@dataclasses.dataclass(frozen=True, slots=True)
class NoAnswer:
    """Represent a request that the peer may have received."""

    # Why there is no complete response.
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Truncated(NoAnswer):
    """Represent a response whose body ended early."""

    status: int
    # The part of the body that was received.
    body: bytes
    # Time from the headers to the last received byte, in seconds.
    transfer_s: float


HttpOutcome = Reply | NotSent | NoAnswer
# Sends a request with method, path, body, timeout and headers.
Send = abc.Callable[
    [str, str, bytes, float, abc.Mapping[str, str]],
    abc.Awaitable[HttpOutcome],
]


class _BodyReader(protocol.Protocol):
    """Collect a response body; stop it when no bytes arrive for a while."""

    def __init__(
        self, reactor: typing.Any, idle_s: float, max_transfer_s: float
    ) -> None:
        self._reactor = reactor
        self._idle_s = idle_s
        self._parts: list[bytes] = []
        self._started_at = self._received_at = float(reactor.seconds())
        # Fires with the reason why the body is incomplete; None if it is
        # complete.
        self.done: defer.Deferred[str | None] = defer.Deferred()
        self._timers = {
            NO_PROGRESS: reactor.callLater(idle_s, self._stop, NO_PROGRESS),
            'transfer took too long': reactor.callLater(
                max_transfer_s, self._stop, 'transfer took too long'
            ),
        }

    @property
    def body(self) -> bytes:
        """Return the bytes that were received."""
        return b''.join(self._parts)

    @property
    def transfer_s(self) -> float:
        """Return the time from the headers to the last received byte."""
        return self._received_at - self._started_at

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._parts.append(data)
        self._received_at = float(self._reactor.seconds())
        if not self.done.called:
            self._timers[NO_PROGRESS].reset(self._idle_s)

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        if reason.check(client.ResponseDone, http.PotentialDataLoss):
            self._finish(None)
        else:
            self._finish(
                f'{type(reason.value).__name__}: {reason.value}'[:300]
            )

    def _stop(self, reason: str) -> None:
        self._finish(reason)
        # A connection in the middle of a body can't be used again. Twisted
        # passes on only this call to the connection.
        if self.transport is not None:
            self.transport.loseConnection()

    def _finish(self, reason: str | None) -> None:
        if self.done.called:
            return
        for timer in self._timers.values():
            if timer.active():
                timer.cancel()
        self.done.callback(reason)


@zope.interface.implementer(iweb.IBodyProducer)
class _Body:
    """Send a request body that is held in memory."""

    def __init__(self, body: bytes) -> None:
        self._body = body
        # Length that Twisted sends as Content-Length.
        self.length = len(body)

    def startProducing(  # noqa: N802
        self, consumer: typing.Any
    ) -> defer.Deferred[None]:
        consumer.write(self._body)
        return defer.succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        pass

    def resumeProducing(self) -> None:  # noqa: N802
        pass

    def stopProducing(self) -> None:  # noqa: N802
        pass


class HttpClient:
    """Send requests to one HTTP service over persistent connections.

    `connections` is the number of idle connections that are kept; `max_open`
    bounds those in use as well, and a request waits for `reuse_wait_s` before
    it opens another one. `greet` gets a function that sends a request on a new
    connection, and returns the identity of the peer or none.
    """

    def __init__(
        self,
        reactor: typing.Any,
        address: str,
        connections: int = 8,
        max_open: float = math.inf,
        greet: abc.Callable[[Send], abc.Awaitable[int | None]] | None = None,
        reuse_wait_s: float = 0.0,
    ) -> None:
        self.reactor = reactor
        # Address `host:port` of the service.
        self.address = address
        self._greet = greet
        self._pool: typing.Any = http_pool.Pool(
            reactor,
            address,
            max_open,
            self._greet_on if greet else None,
            reuse_wait_s,
        )
        self._pool.maxPersistentPerHost = connections

    def request(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        timeout_s: float = 5.0,
        headers: abc.Mapping[str, str] | None = None,
        idle_s: float | None = None,
        peer: int | None = None,
    ) -> defer.Deferred[HttpOutcome]:
        """Send a request; the Deferred fires with an outcome, never a failure.

        The timeout applies to the response headers and to the body, each
        on its own. With `idle_s`, a body may take longer while it makes
        progress; one that stops is returned as Truncated. With `peer`, the
        request is sent only to the incarnation with that identity.
        """
        return defer.ensureDeferred(
            self._request(
                http_pool.Chosen(self._pool, peer), method, path, body,
                timeout_s, headers or {}, idle_s,
            )
        )  # fmt: skip

    async def _greet_on(self, conn: typing.Any) -> int | None:
        """Greet the peer on a new connection; return its identity."""

        def send(
            method: str,
            path: str,
            body: bytes,
            timeout_s: float,
            headers: abc.Mapping[str, str],
        ) -> abc.Awaitable[HttpOutcome]:
            return self._request(
                http_pool.Chosen(self._pool, conn=conn), method, path, body,
                timeout_s, headers, None,
            )  # fmt: skip

        assert self._greet is not None
        return await self._greet(send)

    def request_json(
        self,
        method: str,
        path: str,
        value: typing.Any = None,
        timeout_s: float = 5.0,
    ) -> defer.Deferred[HttpOutcome]:
        """Send a request with a JSON body, as `request` does."""
        body = b'' if value is None else json.dumps(value).encode()
        headers = {'Content-Type': 'application/json'}
        return self.request(method, path, body, timeout_s, headers)

    async def _request(
        self,
        chosen: typing.Any,
        method: str,
        path: str,
        body: bytes,
        timeout_s: float,
        headers: abc.Mapping[str, str],
        idle_s: float | None,
    ) -> HttpOutcome:
        url = f'http://{self.address}{path}'.encode()
        fields = http_headers.Headers({k: [v] for k, v in headers.items()})
        producer = _Body(body) if body else None
        sent_at = float(self.reactor.seconds())
        agent = self._make_agent(chosen)
        fut = agent.request(method.encode(), url, fields, producer)
        fut.addTimeout(
            timeout_s,
            self.reactor,
            functools.partial(self._on_timeout, sent_at),
        )
        try:
            response = await fut
            reader = _BodyReader(
                self.reactor,
                timeout_s if idle_s is None else idle_s,
                timeout_s if idle_s is None else MAX_TRANSFER_S,
            )
            response.deliverBody(reader)
            reason = await reader.done
            if reason is None:
                return Reply(response.code, reader.body, reader.transfer_s)
            if reason == NO_PROGRESS:
                self._pool.suspect_older(sent_at)
            return Truncated(
                reason, response.code, reader.body, reader.transfer_s
            )
        except http_pool.OtherPeer as exc:
            return OtherPeer(str(exc), exc.peer)
        except (
            error.ConnectError,
            error.ConnectingCancelledError,
            http_pool.NoneFree,
            http_pool.NotGreeted,
        ) as exc:
            return NotSent(f'{type(exc).__name__}: {exc}')
        except Exception as exc:  # Twisted's HTTP client raises many types.
            return NoAnswer(f'{type(exc).__name__}: {exc}'[:300])

    def _make_agent(self, pool: typing.Any) -> typing.Any:
        """Return the library's client for one request."""
        return client.Agent(
            self.reactor, pool=pool, connectTimeout=CONNECT_TIMEOUT_S
        )

    def _on_timeout(
        self, sent_at: float, result: typing.Any, timeout_s: float
    ) -> typing.Any:
        """Suspect the older connections, unless none could be made."""
        assert isinstance(result, failure.Failure)
        if not result.check(
            error.ConnectingCancelledError, http_pool.NoneFree
        ):
            self._pool.suspect_older(sent_at)
        result.trap(defer.CancelledError)
        raise defer.TimeoutError(f'no answer within {timeout_s} s')

    def close(self) -> defer.Deferred[None]:
        """Close idle connections."""
        return typing.cast(
            'defer.Deferred[None]', self._pool.closeCachedConnections()
        )

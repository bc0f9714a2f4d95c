"""Send HTTP requests to the platform, the runner and the log service.

The outcome distinguishes a request that was certainly not sent from one that
may have taken effect, so that the caller can decide whether a retry is safe.
The client itself never retries.
"""

from collections import abc
import dataclasses
import json
import typing

from twisted.internet import defer
from twisted.internet import error
from twisted.web import client
from twisted.web import http_headers
from twisted.web import iweb
import zope.interface

# Timeout for establishing a connection, in seconds.
CONNECT_TIMEOUT_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Represent a complete HTTP response."""

    status: int
    body: bytes

    def json(self) -> typing.Any:
        """Return the decoded JSON body; raise ValueError if it is invalid."""
        return json.loads(self.body)


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """Represent a request that the peer has certainly not received."""

    # Error of the connection attempt.
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class NoAnswer:
    """Represent a request that the peer may have received."""

    # Why there is no complete response.
    reason: str


HttpOutcome = Reply | NotSent | NoAnswer


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
    """Send requests to one HTTP service over persistent connections."""

    def __init__(
        self, reactor: typing.Any, address: str, connections: int = 8
    ) -> None:
        self.reactor = reactor
        # Address `host:port` of the service.
        self.address = address
        self._pool = client.HTTPConnectionPool(reactor, persistent=True)
        self._pool.maxPersistentPerHost = connections
        # By default Twisted resends some requests automatically.
        self._pool.retryAutomatically = False
        self._agent = client.Agent(
            reactor, pool=self._pool, connectTimeout=CONNECT_TIMEOUT_S
        )

    def request(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        timeout_s: float = 5.0,
        headers: abc.Mapping[str, str] | None = None,
    ) -> defer.Deferred[HttpOutcome]:
        """Send a request; the Deferred fires with an outcome, never a failure.

        The timeout applies to the response headers and to the body, each
        on its own.
        """
        return defer.ensureDeferred(
            self._request(method, path, body, timeout_s, headers or {})
        )

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
        method: str,
        path: str,
        body: bytes,
        timeout_s: float,
        headers: abc.Mapping[str, str],
    ) -> HttpOutcome:
        url = f'http://{self.address}{path}'.encode()
        fields = http_headers.Headers({k: [v] for k, v in headers.items()})
        producer = _Body(body) if body else None
        fut = self._agent.request(method.encode(), url, fields, producer)
        fut.addTimeout(timeout_s, self.reactor)
        try:
            response = await fut
            body_fut = client.readBody(response)
            body_fut.addTimeout(timeout_s, self.reactor)
            return Reply(response.code, await body_fut)
        except (error.ConnectError, error.ConnectingCancelledError) as exc:
            return NotSent(f'{type(exc).__name__}: {exc}')
        except Exception as exc:  # Twisted's HTTP client raises many types.
            return NoAnswer(f'{type(exc).__name__}: {exc}'[:300])

    def close(self) -> defer.Deferred[None]:
        """Close idle connections."""
        return typing.cast(
            'defer.Deferred[None]', self._pool.closeCachedConnections()
        )

"""Send HTTP requests to the platform and the runner.

The outcome keeps apart what surely was not sent from what may have had an
effect; nothing is retried here.
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

# Time in which a connection must be made, in seconds.
CONNECT_LIMIT_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Carry a whole HTTP answer."""

    # Status code.
    status: int
    # Whole body.
    body: bytes

    def json(self) -> typing.Any:
        """Return the body as JSON; raise ValueError if it is none."""
        return json.loads(self.body)


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """State that the peer received nothing."""

    # Why.
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class NoAnswer:
    """State that the peer may have received the request."""

    # Why there is no whole answer.
    reason: str


HttpOutcome = Reply | NotSent | NoAnswer


@zope.interface.implementer(iweb.IBodyProducer)
class _Body:
    """Produce a body that is in memory."""

    def __init__(self, body: bytes) -> None:
        self._body = body
        # Length that twisted announces.
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
    """Keep connections to one HTTP service."""

    def __init__(
        self, reactor: typing.Any, address: str, connections: int = 8
    ) -> None:
        # Reactor of the process.
        self.reactor = reactor
        # Base address `host:port`.
        self.address = address
        self._pool = client.HTTPConnectionPool(reactor, persistent=True)
        self._pool.maxPersistentPerHost = connections
        # Twisted would send some requests again by itself.
        self._pool.retryAutomatically = False
        self._agent = client.Agent(
            reactor, pool=self._pool, connectTimeout=CONNECT_LIMIT_S
        )

    def request(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        timeout_s: float = 5.0,
        headers: abc.Mapping[str, str] | None = None,
    ) -> defer.Deferred[HttpOutcome]:
        """Send a request; the result is an outcome, never a failure."""
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
        """Send a JSON body; the result is an outcome, never a failure."""
        body = b'' if value is None else json.dumps(value).encode()
        kind = {'Content-Type': 'application/json'}
        return self.request(method, path, body, timeout_s, kind)

    async def _request(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout_s: float,
        headers: abc.Mapping[str, str],
    ) -> HttpOutcome:
        url = f'http://{self.address}{path}'.encode()
        sent = http_headers.Headers({k: [v] for k, v in headers.items()})
        producer = _Body(body) if body else None
        fut = self._agent.request(method.encode(), url, sent, producer)
        fut.addTimeout(timeout_s, self.reactor)
        try:
            response = await fut
            whole = client.readBody(response)
            whole.addTimeout(timeout_s, self.reactor)
            return Reply(response.code, await whole)
        except (error.ConnectError, error.ConnectingCancelledError) as exc:
            return NotSent(f'{type(exc).__name__}: {exc}')
        except Exception as exc:  # Twisted's HTTP client raises many kinds.
            return NoAnswer(f'{type(exc).__name__}: {exc}'[:300])

    def close(self) -> defer.Deferred[None]:
        """Close idle connections."""
        return typing.cast(
            'defer.Deferred[None]', self._pool.closeCachedConnections()
        )

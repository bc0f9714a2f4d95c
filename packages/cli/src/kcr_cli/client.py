"""Send HTTP requests to the entries on behalf of the commands.

A failed request says whether the entry may have received it, so that a
publication that may have arrived is not sent again.
"""

from collections import abc
import dataclasses
import json
import typing

from twisted.internet import defer
from twisted.internet import error
from twisted.web import client

# Timeout of the headers, and again of the body; entries answer a publication
# within 15 s.
RESPONSE_TIMEOUT_S = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Represent the response of an entry."""

    # Address of the entry.
    entry: str
    # HTTP status code.
    status: int
    # Decoded JSON body, or the text of a body that is not JSON.
    body: typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class NoReply:
    """Represent a request without a complete response."""

    # Address of the entry; empty if there is none to send to.
    entry: str
    # Why there is no response.
    reason: str
    # Whether the entry may have received the request.
    sent: bool


class Client:
    """Send requests to the configured entries."""

    def __init__(
        self, http: typing.Any, reactor: typing.Any, entries: abc.Sequence[str]
    ) -> None:
        # HTTP client with the interface of treq.
        self.http = http
        # Clock for timeouts.
        self.reactor = reactor
        # Addresses `IP:PORT` of the entries.
        self.entries = tuple(entries)

    async def request(
        self, entry: str, path: str, body: typing.Any = None
    ) -> Reply | NoReply:
        """Send a request to one entry: POST with a body, GET without."""
        url = f'http://{entry}{path}'
        data = None if body is None else json.dumps(body).encode()
        method = 'GET' if body is None else 'POST'
        try:
            fut = self.http.request(method, url, data=data)
            fut.addTimeout(RESPONSE_TIMEOUT_S, self.reactor)
            response = await fut
            body_fut = response.text()
            body_fut.addTimeout(RESPONSE_TIMEOUT_S, self.reactor)
            text = await body_fut
        except error.ConnectError as exc:
            return NoReply(entry, str(exc), False)
        except (
            defer.TimeoutError,
            defer.CancelledError,
            error.ConnectionClosed,
            client.ResponseNeverReceived,
            client.ResponseFailed,
        ) as exc:
            return NoReply(entry, f'no whole answer: {exc}'[:200], True)
        try:
            return Reply(entry, response.code, json.loads(text))
        except ValueError:
            return Reply(entry, response.code, text)

    async def request_any(
        self, path: str, body: typing.Any = None
    ) -> Reply | NoReply:
        """Try the entries in order and return the first usable response.

        A GET is retried at the next entry after any failure or status 5xx. A
        POST is retried only if the entry certainly did not receive it.
        """
        found: Reply | NoReply = NoReply('', 'no entry is named', False)
        for entry in self.entries:
            found = await self.request(entry, path, body)
            if isinstance(found, Reply) and found.status < 500:
                return found
            if body is not None:
                if isinstance(found, Reply) or found.sent:
                    return found
        return found

    async def request_all(self, path: str) -> list[Reply | NoReply]:
        """Send a GET to every entry at once; return replies in their order."""
        futs = [
            defer.ensureDeferred(self.request(entry, path))
            for entry in self.entries
        ]
        return [await fut for fut in futs]

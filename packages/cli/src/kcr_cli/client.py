"""Ask the entries over HTTP; keep apart what surely was not sent."""

from collections import abc
import dataclasses
import json
import typing

from twisted.internet import defer
from twisted.internet import error
from twisted.web import client

# Time that an entry has for an answer, in seconds; a publication is answered
# within 15 s.
ANSWER_LIMIT_S = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Carry the answer of an entry."""

    # Address of the entry.
    entry: str
    # Status code.
    status: int
    # Body as plain data, or as text when it is no JSON.
    body: typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class NoReply:
    """State that an entry gave no whole answer."""

    # Address of the entry.
    entry: str
    # Why.
    reason: str
    # Whether the entry may have received the question.
    sent: bool


class Client:
    """Ask several entries."""

    def __init__(
        self, http: typing.Any, reactor: typing.Any, entries: abc.Sequence[str]
    ) -> None:
        # HTTP client with the interface of treq.
        self.http = http
        # Reactor of the process.
        self.reactor = reactor
        # Addresses `IP:PORT` of the entries.
        self.entries = tuple(entries)

    async def ask(
        self, entry: str, path: str, body: typing.Any = None
    ) -> Reply | NoReply:
        """Ask one entry; POST if there is a body."""
        url = f'http://{entry}{path}'
        data = None if body is None else json.dumps(body).encode()
        method = 'GET' if body is None else 'POST'
        try:
            fut = self.http.request(method, url, data=data)
            fut.addTimeout(ANSWER_LIMIT_S, self.reactor)
            response = await fut
            whole = response.text()
            whole.addTimeout(ANSWER_LIMIT_S, self.reactor)
            text = await whole
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

    async def ask_any(
        self, path: str, body: typing.Any = None
    ) -> Reply | NoReply:
        """Ask the entries in turn until one has received the question.

        A GET goes on to the next entry after any failure.
        """
        found: Reply | NoReply = NoReply('', 'no entry is named', False)
        for entry in self.entries:
            found = await self.ask(entry, path, body)
            if isinstance(found, Reply) and found.status < 500:
                return found
            if body is not None:
                if isinstance(found, Reply) or found.sent:
                    return found
        return found

    async def ask_all(self, path: str) -> list[Reply | NoReply]:
        """Ask every entry."""
        asked = [
            defer.ensureDeferred(self.ask(entry, path))
            for entry in self.entries
        ]
        return [await fut for fut in asked]

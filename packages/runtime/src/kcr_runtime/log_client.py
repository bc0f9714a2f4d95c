"""Talk to the log service; turn HTTP outcomes into those of the log.

Nothing is retried here: the appender and the readers own their retries.
"""

import dataclasses
import json
import typing
from urllib import parse

from twisted.internet import defer

from kcr_core import records
from kcr_runtime import http_client
from kcr_runtime import log_records

# Time that one try of an append may take, in seconds.
APPEND_LIMIT_S = 1.0
# Time beyond its wait that a read may take, in seconds.
READ_SLACK_S = 2.0
# Status of a log that accepts no more appends for now.
TOO_MANY = 429
# Statuses by which the log states that a request had no effect. A server
# error other than 503 may come after the effect.
WITHOUT_EFFECT = frozenset((400, 404, 413, 503, TOO_MANY))


@dataclasses.dataclass(frozen=True, slots=True)
class Stored:
    """State that the log stored the record."""

    # Offset of the record.
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """State that the record was not stored by this try."""

    # Why.
    reason: str
    # Whether the same record may be accepted a moment later.
    busy: bool


@dataclasses.dataclass(frozen=True, slots=True)
class NoAnswer:
    """State that the record may have been stored."""

    # Why there is no valid answer.
    reason: str


AppendTry = Stored | Refused | NoAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """Hold one record of a stream."""

    # Offset in its stream.
    offset: int
    # Id that its writer chose.
    record_id: str
    # Items of the record; none when it is malformed.
    batch: records.Batch | None
    # Why it is malformed; empty otherwise.
    fault: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """Hold the records of one read."""

    # Offset of the last record in the stream; 0 for none.
    last: int
    # Records in offset order.
    records: tuple[Record, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Trimmed:
    """State that the records after the offset are trimmed."""

    # First offset that the log still holds.
    first: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadFailed:
    """State that the log gave no valid answer to a read."""

    # Why.
    reason: str


ReadOutcome = Page | Trimmed | ReadFailed


class LogClient:
    """Append to and read from one log service."""

    def __init__(self, reactor: typing.Any, address: str) -> None:
        self._http = http_client.HttpClient(reactor, address, connections=4)

    def append(
        self, stream: str, record_id: str, data: str
    ) -> defer.Deferred[AppendTry]:
        """Try once to append a record; the result is an outcome."""
        return defer.ensureDeferred(self._append(stream, record_id, data))

    def read(
        self, stream: str, after: int, limit: int, wait_ms: int
    ) -> defer.Deferred[ReadOutcome]:
        """Read the records after an offset; wait for one if there is none."""
        return defer.ensureDeferred(self._read(stream, after, limit, wait_ms))

    def close(self) -> defer.Deferred[None]:
        """Close idle connections."""
        return self._http.close()

    async def _append(
        self, stream: str, record_id: str, data: str
    ) -> AppendTry:
        got = await self._http.request_json(
            'POST',
            _path(stream),
            {'id': record_id, 'data': data},
            APPEND_LIMIT_S,
        )
        if isinstance(got, http_client.NotSent):
            return Refused(got.reason, busy=False)
        if isinstance(got, http_client.NoAnswer):
            return NoAnswer(got.reason)
        if got.status in WITHOUT_EFFECT:
            reason = f'log answered {got.status}'
            return Refused(reason, busy=got.status == TOO_MANY)
        offset = _read_field(got, 'offset')
        if got.status != 200 or offset is None:
            return NoAnswer(f'log answered {got.status} without an offset')
        return Stored(offset)

    async def _read(
        self, stream: str, after: int, limit: int, wait_ms: int
    ) -> ReadOutcome:
        query = f'after={after}&limit={limit}&wait_ms={wait_ms}'
        got = await self._http.request(
            'GET',
            f'{_path(stream)}?{query}',
            timeout_s=wait_ms / 1000.0 + READ_SLACK_S,
        )
        if not isinstance(got, http_client.Reply):
            return ReadFailed(got.reason)
        if got.status == 410:
            first = _read_field(got, 'first')
            if first is not None and first > after + 1:
                return Trimmed(first)
        if got.status != 200:
            return ReadFailed(f'log answered {got.status}')
        return _read_page(got)


def _path(stream: str) -> str:
    return f'/v1/streams/{parse.quote(stream, safe="")}/records'


def _read_field(reply: http_client.Reply, name: str) -> int | None:
    try:
        value = reply.json()[name]
    except (ValueError, KeyError, TypeError):
        return None
    return value if isinstance(value, int) and value >= 0 else None


def _read_page(reply: http_client.Reply) -> ReadOutcome:
    try:
        body = reply.json()
        last = int(body['last'])
        found = tuple(
            _read_record(int(r['offset']), str(r['id']), r['data'])
            for r in body['records']
        )
    except (ValueError, KeyError, TypeError) as exc:
        return ReadFailed(f'answer is malformed: {exc!r}'[:200])
    offsets = [r.offset for r in found]
    if any(a >= b for a, b in zip(offsets, offsets[1:])):
        return ReadFailed('answer is not in offset order')
    return Page(last, found)


def _read_record(offset: int, record_id: str, data: typing.Any) -> Record:
    try:
        text = data if isinstance(data, str) else json.dumps(data)
        return Record(offset, record_id, log_records.decode(text))
    except log_records.BadRecord as exc:
        return Record(offset, record_id, None, str(exc)[:200])

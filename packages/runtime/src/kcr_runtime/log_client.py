"""Append records to the log service and read them over HTTP.

The client translates HTTP outcomes into outcomes of the log, and validates
what it reads. It never retries; its callers, the appender and the readers of
an entry, decide about retries.
"""

import dataclasses
import json
import typing
from urllib import parse

from twisted.internet import defer

from kcr_core import records
from kcr_runtime import http_client
from kcr_runtime import log_records

# Timeout of one attempt to append, in seconds.
APPEND_TIMEOUT_S = 1.0
# Time that a read may take beyond the wait it requests, in seconds.
READ_SLACK_S = 2.0
# Status by which the log temporarily refuses appends.
TOO_MANY_REQUESTS = 429
# Statuses that guarantee that the request had no effect. A server error other
# than 503 may occur after the record was stored.
NO_EFFECT_STATUSES = frozenset((400, 404, 413, 503, TOO_MANY_REQUESTS))


@dataclasses.dataclass(frozen=True, slots=True)
class Stored:
    """Represent an append that was stored."""

    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Represent an append that this attempt did not store."""

    reason: str
    # Whether a retry with the same record may soon succeed.
    busy: bool


@dataclasses.dataclass(frozen=True, slots=True)
class NoAnswer:
    """Represent an append that may have been stored."""

    # Why there is no valid response.
    reason: str


AppendResult = Stored | Refused | NoAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """Represent one record of a stream."""

    # Offset in the stream.
    offset: int
    # Id that the writer chose.
    record_id: str
    # Decoded items; None if the record is malformed.
    batch: records.Batch | None
    # Why the record is malformed; empty if it is valid.
    fault: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """Represent the records that one read returned."""

    # Offset of the last record in the stream; 0 if the stream is empty.
    last: int
    # Records in ascending order of offset.
    records: tuple[Record, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Trimmed:
    """Report that the records after the requested offset were trimmed."""

    # Lowest offset that the log still stores.
    first: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadFailed:
    """Represent a read without a valid response."""

    reason: str


ReadResult = Page | Trimmed | ReadFailed


class LogClient:
    """Append to and read from the streams of one log service."""

    def __init__(self, reactor: typing.Any, address: str) -> None:
        self._http = http_client.HttpClient(reactor, address, connections=4)

    def append(
        self, stream: str, record_id: str, data: str
    ) -> defer.Deferred[AppendResult]:
        """Attempt once to append a record; never fails, returns an outcome."""
        return defer.ensureDeferred(self._append(stream, record_id, data))

    def read(
        self, stream: str, after: int, limit: int, wait_ms: int
    ) -> defer.Deferred[ReadResult]:
        """Read up to `limit` records after an offset.

        If there is none, the log waits up to `wait_ms` for the next record.
        """
        return defer.ensureDeferred(self._read(stream, after, limit, wait_ms))

    def close(self) -> defer.Deferred[None]:
        """Close idle connections."""
        return self._http.close()

    async def _append(
        self, stream: str, record_id: str, data: str
    ) -> AppendResult:
        outcome = await self._http.request_json(
            'POST',
            _path(stream),
            {'id': record_id, 'data': data},
            APPEND_TIMEOUT_S,
        )
        if isinstance(outcome, http_client.NotSent):
            return Refused(outcome.reason, busy=False)
        if isinstance(outcome, http_client.NoAnswer):
            return NoAnswer(outcome.reason)
        if outcome.status in NO_EFFECT_STATUSES:
            reason = f'log answered {outcome.status}'
            return Refused(reason, busy=outcome.status == TOO_MANY_REQUESTS)
        offset = _read_field(outcome, 'offset')
        if outcome.status != 200 or offset is None:
            return NoAnswer(f'log answered {outcome.status} without an offset')
        return Stored(offset)

    async def _read(
        self, stream: str, after: int, limit: int, wait_ms: int
    ) -> ReadResult:
        query = f'after={after}&limit={limit}&wait_ms={wait_ms}'
        outcome = await self._http.request(
            'GET',
            f'{_path(stream)}?{query}',
            timeout_s=wait_ms / 1000.0 + READ_SLACK_S,
        )
        if not isinstance(outcome, http_client.Reply):
            return ReadFailed(outcome.reason)
        if outcome.status == 410:
            first = _read_field(outcome, 'first')
            if first is not None and first > after + 1:
                return Trimmed(first)
        if outcome.status != 200:
            return ReadFailed(f'log answered {outcome.status}')
        return _read_page(outcome)


def _path(stream: str) -> str:
    return f'/v1/streams/{parse.quote(stream, safe="")}/records'


def _read_field(reply: http_client.Reply, name: str) -> int | None:
    try:
        value = reply.json()[name]
    except (ValueError, KeyError, TypeError):
        return None
    return value if isinstance(value, int) and value >= 0 else None


def _read_page(reply: http_client.Reply) -> ReadResult:
    try:
        body = reply.json()
        last = int(body['last'])
        found = tuple(
            _read_record(int(r['offset']), str(r['id']), r['data'])
            for r in body['records']
        )
    except (ValueError, KeyError, TypeError) as exc:
        return ReadFailed(f'response of the log is malformed: {exc!r}'[:200])
    offsets = [r.offset for r in found]
    if any(a >= b for a, b in zip(offsets, offsets[1:])):
        return ReadFailed(
            'records of the log are not in ascending order of offset'
        )
    return Page(last, found)


def _read_record(offset: int, record_id: str, data: typing.Any) -> Record:
    try:
        text = data if isinstance(data, str) else json.dumps(data)
        return Record(offset, record_id, log_records.decode(text))
    except log_records.BadRecord as exc:
        return Record(offset, record_id, None, str(exc)[:200])

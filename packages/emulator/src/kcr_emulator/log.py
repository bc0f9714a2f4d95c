"""Emulate the append-only log service of the platform over HTTP.

Entries append records to its streams and read them. Tests make it unavailable
or slow, or have it drop answers after the write took effect, by posting to
`/control`. Duplicate record ids are kept, since readers remove duplicates.
"""

import collections
import dataclasses
import json
import random
import typing

import klein
from twisted.internet import defer
from twisted.internet import task
from twisted.web import iweb
from twisted.web import server

# Largest data of one record, in bytes.
MAX_DATA_BYTES = 512 * 1024
# Maximum number of records in one answer, even if a reader requests more.
MAX_READ_RECORDS = 1000
# Longest time that a read waits for a record, in ms.
MAX_WAIT_MS = 60_000


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRecord:
    """Store one record."""

    # Offset in its stream, starting at 1.
    offset: int
    # Record id chosen by the writer.
    record_id: str
    # Data as text.
    data: str
    # Time of the append on the clock of the reactor, in seconds.
    appended_at: float


class Stream:
    """Store the retained records of one stream."""

    def __init__(self) -> None:
        # Retained records, oldest first.
        self.records: collections.deque[StoredRecord] = collections.deque()
        # Offset of the last record; 0 for none.
        self.last = 0

    @property
    def first(self) -> int:
        """Return the offset of the oldest retained or else the next record."""
        return self.records[0].offset if self.records else self.last + 1

    def append(self, record_id: str, data: str, appended_at: float) -> int:
        """Store a record and return its offset."""
        self.last += 1
        self.records.append(
            StoredRecord(self.last, record_id, data, appended_at)
        )
        return self.last

    def trim(self, first: int) -> None:
        """Drop the records below `first`."""
        while self.records and self.records[0].offset < first:
            self.records.popleft()

    def expire(self, before: float) -> None:
        """Drop the records that were appended before a time."""
        while self.records and self.records[0].appended_at < before:
            self.records.popleft()

    def read(self, after: int, limit: int) -> list[StoredRecord]:
        """Return up to `limit` records after an offset."""
        skip = max(0, after + 1 - self.first)
        end = min(len(self.records), skip + limit)
        return [self.records[i] for i in range(skip, end)]


class LogEmulator:
    """Serve one emulated log over HTTP."""

    def __init__(
        self,
        reactor: typing.Any,
        appends_per_s: int = 300,
        retention_s: float = 3600.0,
        seed: int = 1,
    ) -> None:
        # Reactor of the process.
        self.reactor = reactor
        # Appends accepted in any second; more are answered with 429.
        self.appends_per_s = appends_per_s
        # Age at which records are dropped, in seconds.
        self.retention_s = retention_s
        # `none`, `refuse` (answer 503) or `hold` (answer after the outage).
        self.outage = 'none'
        # Delay before each append or read is processed, in ms.
        self.slow_ms = 0.0
        # Share of the appends whose answer is dropped after the write.
        self.lose_share = 0.0
        # Number of next appends whose answer is dropped after the write.
        self.lose_next = 0
        # Streams by name.
        self.streams: dict[str, Stream] = {}
        # Counts of appends, reads, refusals and bytes, for `/counts`.
        self.counts: collections.Counter[str] = collections.Counter()
        self._recent: collections.deque[float] = collections.deque()
        self._waiters: list[defer.Deferred[None]] = []
        self._rng = random.Random(seed)
        self._app = klein.Klein()
        self._add_routes()

    def site(self) -> server.Site:
        """Return the HTTP site to listen with."""
        return server.Site(self._app.resource(), timeout=120)

    def _add_routes(self) -> None:
        route = self._app.route
        path = '/v1/streams/<name>/records'
        route(path, methods=['POST'])(self._append)
        route(path, methods=['GET'])(self._read)
        route('/control', methods=['POST'])(self._control)
        route('/counts', methods=['GET'])(self._counts)

    async def _append(self, req: iweb.IRequest, name: str) -> bytes:
        body = bytes(typing.cast(typing.Any, req).content.read())
        if not await self._admit():
            return _respond(req, 503, {'error': 'log is out of service'})
        record = _check_record(body)
        if isinstance(record, str):
            return _respond(req, 400, {'error': record})
        now = self.reactor.seconds()
        while self._recent and now - self._recent[0] >= 1.0:
            self._recent.popleft()
        if len(self._recent) >= self.appends_per_s:
            self.counts['appends_refused'] += 1
            return _respond(req, 429, {'error': 'too many appends'})
        self._recent.append(now)
        offset = self._stream(name).append(record['id'], record['data'], now)
        self.counts['appends'] += 1
        self.counts['bytes_in'] += len(body)
        self._wake()
        if self._should_lose_answer():
            self.counts['answers_lost'] += 1
            typing.cast(typing.Any, req).transport.abortConnection()
            await defer.Deferred()  # Cancelled by Klein on disconnection.
        return _respond(req, 200, {'offset': offset})

    async def _read(self, req: iweb.IRequest, name: str) -> bytes:
        if not await self._admit():
            return _respond(req, 503, {'error': 'log is out of service'})
        after = _parse_int(req, b'after', 0)
        limit = max(
            1,
            min(MAX_READ_RECORDS, _parse_int(req, b'limit', MAX_READ_RECORDS)),
        )
        wait_s = min(MAX_WAIT_MS, _parse_int(req, b'wait_ms', 0)) / 1000.0
        deadline = self.reactor.seconds() + wait_s
        stream = self._stream(name)
        while stream.last <= after and self.outage == 'none':
            remaining_s = deadline - self.reactor.seconds()
            if remaining_s <= 0:
                break
            await self._wait(remaining_s)
        if self.outage != 'none' and not await self._admit():
            return _respond(req, 503, {'error': 'log is out of service'})
        if after + 1 < stream.first:
            return _respond(req, 410, {'first': stream.first})
        found = stream.read(after, limit)
        answer = _respond(
            req,
            200,
            {
                'first': stream.first,
                'last': stream.last,
                'records': [
                    {'offset': r.offset, 'id': r.record_id, 'data': r.data}
                    for r in found
                ],
            },
        )
        self.counts['reads'] += 1
        self.counts['bytes_out'] += len(answer)
        return answer

    def _control(self, req: iweb.IRequest) -> bytes:
        values = json.load(typing.cast(typing.Any, req).content)
        for name in (
            'outage',
            'slow_ms',
            'lose_share',
            'lose_next',
            'appends_per_s',
            'retention_s',
        ):
            if name in values:
                setattr(self, name, values[name])
        for name, first in values.get('trim', {}).items():
            self._stream(name).trim(first)
        self._wake()
        return _respond(req, 200, {})

    def _counts(self, req: iweb.IRequest) -> bytes:
        last_offsets = {name: item.last for name, item in self.streams.items()}
        return _respond(req, 200, {**self.counts, 'last': last_offsets})

    async def _admit(self) -> bool:
        if self.slow_ms:
            await task.deferLater(self.reactor, self.slow_ms / 1000.0)
        while self.outage == 'hold':
            await self._wait(None)
        if self.outage != 'none':
            self.counts['refused'] += 1
        return self.outage == 'none'

    def _stream(self, name: str) -> Stream:
        stream = self.streams.setdefault(name, Stream())
        stream.expire(self.reactor.seconds() - self.retention_s)
        return stream

    def _should_lose_answer(self) -> bool:
        if self.lose_next > 0:
            self.lose_next -= 1
            return True
        return self._rng.random() < self.lose_share

    def _wait(self, timeout_s: float | None) -> defer.Deferred[None]:
        fut: defer.Deferred[None] = defer.Deferred()
        self._waiters.append(fut)
        if timeout_s is not None:
            timer = self.reactor.callLater(timeout_s, fut.callback, None)

            def cancel_timer(value: typing.Any) -> typing.Any:
                if timer.active():
                    timer.cancel()
                return value

            fut.addBoth(cancel_timer)
        return fut

    def _wake(self) -> None:
        waiters, self._waiters = self._waiters, []
        for fut in waiters:
            if not fut.called:
                fut.callback(None)


def _check_record(body: bytes) -> typing.Any:
    try:
        record = json.loads(body)
    except ValueError as exc:
        return f'body is no JSON: {exc}'
    if not isinstance(record, dict):
        return 'body must be an object with id and data'
    for name in ('id', 'data'):
        if not isinstance(record.get(name), str):
            return f'{name} must be a string'
    if len(record['data'].encode()) > MAX_DATA_BYTES:
        return f'data exceeds {MAX_DATA_BYTES} bytes'
    return record


def _parse_int(req: iweb.IRequest, name: bytes, default: int) -> int:
    values = typing.cast(typing.Any, req).args.get(name)
    return int(values[0]) if values else default


def _respond(req: iweb.IRequest, status: int, value: typing.Any) -> bytes:
    req.setResponseCode(status)
    req.setHeader(b'content-type', b'application/json')
    return json.dumps(value).encode()

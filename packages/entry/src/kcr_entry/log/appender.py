"""Append items to the log: collect them, retry, and look for lost answers.

One append per stream is under way, so that the items of this process are in
the log in the order in which they were asked for. The appender is the only
layer that retries appends.
"""

import collections
import dataclasses
import typing

from twisted.internet import defer

from kcr_core import outcomes
from kcr_core import records
from kcr_entry import events
from kcr_runtime import log_client
from kcr_runtime import log_records
from kcr_runtime import task

# Time for which items are collected into one record, in seconds. The log
# accepts several hundred appends a second from all processes together.
COLLECT_S = 0.01
# Time from the first try until the outcome of a record is decided, and time
# that an item may wait for its first try, in seconds.
LIMIT_S = 3.0
# Shortest and longest delay before a record is tried again, in seconds.
MIN_RETRY_S = 0.05
MAX_RETRY_S = 0.15
# Items and bytes that wait for one stream before more are refused.
QUEUE_ITEMS = 20_000
QUEUE_BYTES = 4 * 1024 * 1024
# Bytes of a record that are not items.
ENVELOPE_BYTES = 1024
# Streams that this process may append to.
MAX_STREAMS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class _Flush:
    stream: str


@dataclasses.dataclass(frozen=True, slots=True)
class _Tried:
    stream: str
    record_id: str
    outcome: log_client.AppendTry


@dataclasses.dataclass(frozen=True, slots=True)
class _Retry:
    stream: str
    record_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class _Limit:
    stream: str
    record_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class _Waiting:
    # The request.
    ask: events.Append
    # Its items as JSON text.
    parts: tuple[str, ...]
    # Bytes of the items.
    size: int
    # Monotonic time of arrival.
    since: float


@dataclasses.dataclass(slots=True)
class _UnderWay:
    record_id: str
    # Text of the record.
    data: str
    # Requests that share the record.
    asks: list[events.Append]
    # Whether a try ended without an answer, so that it may be stored.
    unanswered: bool = False
    # Whether a try is at the log now.
    trying: bool = False
    # Last reason for a failed try.
    reason: str = ''


@dataclasses.dataclass(slots=True)
class _Stream:
    # Requests that wait, oldest first.
    queue: collections.deque[_Waiting] = dataclasses.field(
        default_factory=collections.deque
    )
    # Items and bytes in the queue.
    items: int = 0
    size: int = 0
    # Record that is being appended.
    under_way: _UnderWay | None = None
    # Whether a flush is scheduled.
    scheduled: bool = False


class Appender(task.Task):
    """Own the items that are not in the log yet."""

    def __init__(self, ctx: task.Context, address: str) -> None:
        super().__init__(ctx, address)
        self._client = log_client.LogClient(ctx.reactor, ctx.cfg.log)
        self._streams: dict[str, _Stream] = {}
        self._appended = 0
        # A restarted appender must not use a record id again.
        self._life = f'{ctx.incarnation}:{ctx.rng.getrandbits(48):012x}'

    def stopped(self) -> defer.Deferred[None]:
        """Close the connections."""
        return self._client.close()

    def dump(self) -> dict[str, typing.Any]:
        """Return what waits for each stream."""
        return {
            **super().dump(),
            'records': self._appended,
            'streams': {
                name: {
                    'waiting_items': stream.items,
                    'waiting_bytes': stream.size,
                    'under_way': stream.under_way is not None,
                }
                for name, stream in self._streams.items()
            },
        }

    @task.handles(events.Append)
    def _on_append(self, ask: events.Append) -> None:
        stream = self._streams.get(ask.stream)
        if stream is None:
            if len(self._streams) >= MAX_STREAMS:
                self._refuse(ask, 'too many streams')
                return
            stream = self._streams[ask.stream] = _Stream()
        parts = tuple(map(log_records.encode_item, ask.items))
        size = sum(len(part.encode()) + 1 for part in parts)
        limit = log_records.MAX_RECORD_BYTES - ENVELOPE_BYTES
        if len(parts) > records.MAX_ITEMS or size > limit:
            self._refuse(ask, f'{len(parts)} items of {size} bytes exceed')
            return
        if (
            stream.items + len(parts) > QUEUE_ITEMS
            or stream.size + size > QUEUE_BYTES
        ):
            self._refuse(ask, 'queue for the log is full')
            return
        stream.queue.append(_Waiting(ask, parts, size, self.now()))
        stream.items += len(parts)
        stream.size += size
        if stream.under_way is None and not stream.scheduled:
            stream.scheduled = True
            self.after(COLLECT_S, _Flush(ask.stream))

    @task.handles(_Flush)
    def _on_flush(self, msg: _Flush) -> None:
        stream = self._streams[msg.stream]
        stream.scheduled = False
        if stream.under_way is None:
            self._begin(msg.stream, stream)

    def _begin(self, name: str, stream: _Stream) -> None:
        parts: list[str] = []
        asks: list[events.Append] = []
        size = 0
        limit = log_records.MAX_RECORD_BYTES - ENVELOPE_BYTES
        while stream.queue:
            head = stream.queue[0]
            if self.now() - head.since > LIMIT_S:
                self._pop(stream)
                self._refuse(head.ask, 'log is too slow for the queue')
                continue
            if (
                len(parts) + len(head.parts) > records.MAX_ITEMS
                or size + head.size > limit
            ):
                break
            self._pop(stream)
            parts += head.parts
            asks.append(head.ask)
            size += head.size
        if not asks:
            return
        self._appended += 1
        stream.under_way = _UnderWay(
            record_id=f'{self._life}:{self._appended}',
            data=log_records.join_items(self.ctx.incarnation, parts),
            asks=asks,
        )
        self.after(LIMIT_S, _Limit(name, stream.under_way.record_id))
        self._try(name, stream.under_way)

    def _pop(self, stream: _Stream) -> None:
        head = stream.queue.popleft()
        stream.items -= len(head.parts)
        stream.size -= head.size

    def _try(self, name: str, under_way: _UnderWay) -> None:
        self.ctx.metrics.count('append_try')
        under_way.trying = True
        fut = self._client.append(name, under_way.record_id, under_way.data)
        fut.addCallback(
            lambda outcome: self._inject(
                _Tried(name, under_way.record_id, outcome)
            )
        )

    def _inject(self, event: _Tried) -> None:
        # The record would stay under way if its answer were dropped.
        if self._running and not self.post(event):
            self.ctx.reactor.callLater(MIN_RETRY_S, self._inject, event)

    @task.handles(_Tried)
    def _on_tried(self, event: _Tried) -> None:
        under_way = self._find(event.stream, event.record_id)
        if under_way is None:
            return
        under_way.trying = False
        outcome = event.outcome
        if isinstance(outcome, log_client.Stored):
            self._finish(event.stream, outcomes.Appended(outcome.offset))
            return
        under_way.reason = outcome.reason
        if isinstance(outcome, log_client.NoAnswer):
            under_way.unanswered = True
            self.ctx.metrics.count('append_unanswered')
        elif not outcome.busy and not under_way.unanswered:
            self._finish(event.stream, outcomes.NotAppended(outcome.reason))
            return
        delay = self.ctx.rng.uniform(MIN_RETRY_S, MAX_RETRY_S)
        self.after(delay, _Retry(event.stream, event.record_id))

    @task.handles(_Retry)
    def _on_retry(self, msg: _Retry) -> None:
        under_way = self._find(msg.stream, msg.record_id)
        if under_way is not None and not under_way.trying:
            self._try(msg.stream, under_way)

    @task.handles(_Limit)
    def _on_limit(self, msg: _Limit) -> None:
        under_way = self._find(msg.stream, msg.record_id)
        if under_way is None:
            return
        reason = f'no answer from the log; {under_way.reason}'[:300]
        if under_way.unanswered or under_way.trying:
            self._finish(msg.stream, outcomes.AppendUnknown(reason))
        else:
            self._finish(
                msg.stream, outcomes.NotAppended(under_way.reason[:300])
            )

    @task.handles(events.RecordSeen)
    def _on_seen(self, event: events.RecordSeen) -> None:
        if self._find(event.stream, event.record_id) is not None:
            self._finish(event.stream, outcomes.Appended(event.offset))

    def _find(self, stream: str, record_id: str) -> _UnderWay | None:
        held = self._streams.get(stream)
        if held is None or held.under_way is None:
            return None
        if held.under_way.record_id != record_id:
            return None
        return held.under_way

    def _finish(self, name: str, outcome: outcomes.AppendOutcome) -> None:
        stream = self._streams[name]
        assert stream.under_way is not None, 'no append is under way'
        asks = stream.under_way.asks
        stream.under_way = None
        self.ctx.metrics.count('append', outcome=type(outcome).__name__)
        for ask in asks:
            self.send(ask.sender, events.AppendEnded(ask.token, outcome))
        self._begin(name, stream)

    def _refuse(self, ask: events.Append, reason: str) -> None:
        self.ctx.metrics.count('append_refused')
        ended = events.AppendEnded(ask.token, outcomes.NotAppended(reason))
        self.send(ask.sender, ended)

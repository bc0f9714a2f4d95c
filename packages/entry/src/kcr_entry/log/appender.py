"""Append items to the log in batches, with retries.

The owners of the document, the tasks and the claims send their items here and
get the outcome. At most one record per stream is pending, so the items of this
process are in the log in the order of the requests. If an answer of the log
is lost, the record is retried under the same id, or found by the reader of
the stream. No other layer retries appends.
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
# accepts several hundred appends per second from all processes together.
BATCH_DELAY_S = 0.01
# Time from the first try of a record until its outcome is decided, and maximum
# time in the queue before the first try, in seconds.
APPEND_TIMEOUT_S = 3.0
# Minimum and maximum delay before a record is retried, in seconds.
MIN_RETRY_S = 0.05
MAX_RETRY_S = 0.15
# Maximum items and bytes in the queue of one stream; further ones are refused.
MAX_QUEUED_ITEMS = 20_000
MAX_QUEUED_BYTES = 4 * 1024 * 1024
# Size of a record without its items.
ENVELOPE_BYTES = 1024
# Maximum number of streams that this process may append to.
MAX_STREAMS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class _Flush:
    stream: str


@dataclasses.dataclass(frozen=True, slots=True)
class _TryEnded:
    stream: str
    record_id: str
    outcome: log_client.AppendResult


@dataclasses.dataclass(frozen=True, slots=True)
class _Retry:
    stream: str
    record_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class _Timeout:
    stream: str
    record_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class _QueuedRequest:
    req: events.Append
    # Items as JSON text.
    parts: tuple[str, ...]
    # Size of the items in bytes.
    size: int
    # Monotonic time of arrival.
    queued_at: float


@dataclasses.dataclass(slots=True)
class _PendingRecord:
    record_id: str
    # Record as JSON text.
    data: str
    # Requests that share the record.
    reqs: list[events.Append]
    # Whether a try ended without an answer, so the record may be stored.
    may_be_stored: bool = False
    # Whether a try is in progress.
    is_trying: bool = False
    # Reason of the last failed try.
    reason: str = ''


@dataclasses.dataclass(slots=True)
class _Stream:
    # Queued requests, oldest first.
    queue: collections.deque[_QueuedRequest] = dataclasses.field(
        default_factory=collections.deque
    )
    # Total items and bytes of the queue.
    items: int = 0
    size: int = 0
    # Record whose outcome is not decided; None if there is none.
    pending: _PendingRecord | None = None
    # Whether a flush is scheduled.
    scheduled: bool = False


class Appender(task.Task):
    """Own the items whose append is not decided."""

    def __init__(self, ctx: task.Context, address: str) -> None:
        super().__init__(ctx, address)
        self._client = log_client.LogClient(ctx.reactor, ctx.cfg.log)
        self._streams: dict[str, _Stream] = {}
        self._record_count = 0
        # Record ids differ after a restart of the appender, because readers
        # drop a record whose id they have read before.
        self._id_prefix = f'{ctx.incarnation}:{ctx.rng.getrandbits(48):012x}'

    def stopped(self) -> defer.Deferred[None]:
        """Close the connections."""
        return self._client.close()

    def dump(self) -> dict[str, typing.Any]:
        """Return the queue of each stream."""
        return {
            **super().dump(),
            'records': self._record_count,
            'streams': {
                name: {
                    'waiting_items': stream.items,
                    'waiting_bytes': stream.size,
                    'under_way': stream.pending is not None,
                }
                for name, stream in self._streams.items()
            },
        }

    @task.handles(events.Append)
    def _on_append(self, req: events.Append) -> None:
        stream = self._streams.get(req.stream)
        if stream is None:
            if len(self._streams) >= MAX_STREAMS:
                self._refuse(req, 'too many streams')
                return
            stream = self._streams[req.stream] = _Stream()
        parts = tuple(map(log_records.encode_item, req.items))
        size = sum(len(part.encode()) + 1 for part in parts)
        limit = log_records.MAX_RECORD_BYTES - ENVELOPE_BYTES
        if len(parts) > records.MAX_ITEMS or size > limit:
            self._refuse(req, f'{len(parts)} items of {size} bytes exceed')
            return
        if (
            stream.items + len(parts) > MAX_QUEUED_ITEMS
            or stream.size + size > MAX_QUEUED_BYTES
        ):
            self._refuse(req, 'queue for the log is full')
            return
        stream.queue.append(_QueuedRequest(req, parts, size, self.now()))
        stream.items += len(parts)
        stream.size += size
        if stream.pending is None and not stream.scheduled:
            stream.scheduled = True
            self.after(BATCH_DELAY_S, _Flush(req.stream))

    @task.handles(_Flush)
    def _on_flush(self, msg: _Flush) -> None:
        stream = self._streams[msg.stream]
        stream.scheduled = False
        if stream.pending is None:
            self._begin(msg.stream, stream)

    def _begin(self, name: str, stream: _Stream) -> None:
        parts: list[str] = []
        reqs: list[events.Append] = []
        size = 0
        limit = log_records.MAX_RECORD_BYTES - ENVELOPE_BYTES
        while stream.queue:
            head = stream.queue[0]
            if self.now() - head.queued_at > APPEND_TIMEOUT_S:
                self._pop(stream)
                self._refuse(head.req, 'log is too slow for the queue')
                continue
            if (
                len(parts) + len(head.parts) > records.MAX_ITEMS
                or size + head.size > limit
            ):
                break
            self._pop(stream)
            parts += head.parts
            reqs.append(head.req)
            size += head.size
        if not reqs:
            return
        self._record_count += 1
        stream.pending = _PendingRecord(
            record_id=f'{self._id_prefix}:{self._record_count}',
            data=log_records.join_items(self.ctx.incarnation, parts),
            reqs=reqs,
        )
        self.after(APPEND_TIMEOUT_S, _Timeout(name, stream.pending.record_id))
        self._try(name, stream.pending)

    def _pop(self, stream: _Stream) -> None:
        head = stream.queue.popleft()
        stream.items -= len(head.parts)
        stream.size -= head.size

    def _try(self, name: str, pending: _PendingRecord) -> None:
        self.ctx.metrics.count('append_try')
        pending.is_trying = True
        fut = self._client.append(name, pending.record_id, pending.data)
        fut.addCallback(
            lambda outcome: self._post_until_accepted(
                _TryEnded(name, pending.record_id, outcome)
            )
        )

    def _post_until_accepted(self, event: _TryEnded) -> None:
        # If the mailbox dropped the answer, the record would stay pending.
        if self._running and not self.post(event):
            self.ctx.reactor.callLater(
                MIN_RETRY_S, self._post_until_accepted, event
            )

    @task.handles(_TryEnded)
    def _on_try_ended(self, event: _TryEnded) -> None:
        pending = self._find_pending(event.stream, event.record_id)
        if pending is None:
            return
        pending.is_trying = False
        outcome = event.outcome
        if isinstance(outcome, log_client.Stored):
            self._finish(event.stream, outcomes.Appended(outcome.offset))
            return
        pending.reason = outcome.reason
        if isinstance(outcome, log_client.NoAnswer):
            pending.may_be_stored = True
            self.ctx.metrics.count('append_unanswered')
        elif not outcome.busy and not pending.may_be_stored:
            self._finish(event.stream, outcomes.NotAppended(outcome.reason))
            return
        delay = self.ctx.rng.uniform(MIN_RETRY_S, MAX_RETRY_S)
        self.after(delay, _Retry(event.stream, event.record_id))

    @task.handles(_Retry)
    def _on_retry(self, msg: _Retry) -> None:
        pending = self._find_pending(msg.stream, msg.record_id)
        if pending is not None and not pending.is_trying:
            self._try(msg.stream, pending)

    @task.handles(_Timeout)
    def _on_timeout(self, msg: _Timeout) -> None:
        pending = self._find_pending(msg.stream, msg.record_id)
        if pending is None:
            return
        reason = f'no answer from the log; {pending.reason}'[:300]
        if pending.may_be_stored or pending.is_trying:
            self._finish(msg.stream, outcomes.AppendUnknown(reason))
        else:
            self._finish(
                msg.stream, outcomes.NotAppended(pending.reason[:300])
            )

    @task.handles(events.RecordRead)
    def _on_record_read(self, event: events.RecordRead) -> None:
        if self._find_pending(event.stream, event.record_id) is not None:
            self._finish(event.stream, outcomes.Appended(event.offset))

    def _find_pending(
        self, stream: str, record_id: str
    ) -> _PendingRecord | None:
        state = self._streams.get(stream)
        if state is None or state.pending is None:
            return None
        if state.pending.record_id != record_id:
            return None
        return state.pending

    def _finish(self, name: str, outcome: outcomes.AppendOutcome) -> None:
        stream = self._streams[name]
        assert stream.pending is not None, 'no record is pending'
        reqs = stream.pending.reqs
        stream.pending = None
        self.ctx.metrics.count('append', outcome=type(outcome).__name__)
        for req in reqs:
            self.send(req.sender, events.AppendEnded(req.token, outcome))
        self._begin(name, stream)

    def _refuse(self, req: events.Append, reason: str) -> None:
        self.ctx.metrics.count('append_refused')
        ended = events.AppendEnded(req.token, outcomes.NotAppended(reason))
        self.send(req.sender, ended)

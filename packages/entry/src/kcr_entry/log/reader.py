"""Read one stream of the log and publish what it holds.

A read waits at the log for the next record. What was read is delivered to
every subscriber before the next read, so that no subscriber misses an item.
"""

import collections
import dataclasses
import typing

from twisted.internet import defer

from kcr_core import log_cursor
from kcr_entry import addresses
from kcr_entry import events
from kcr_runtime import log_client
from kcr_runtime import task

# Time that a read waits at the log for a record, in ms. It bounds the age of
# the view, which an entry reports with each vouch.
POLL_WAIT_MS = 1000
# Records of one read. A record has up to 256 KiB and all of a read are in
# memory at once: with 500, an entry that started with 40,000 live tasks kept
# 137 MB, with 64 it keeps 99 MB. Over 60 ms to the log and back, 64 records
# still allow 1,000 records/s, more than the log accepts.
READ_LIMIT = 64
# Shortest and longest delay after a failed read, in seconds.
MIN_RETRY_S = 0.1
MAX_RETRY_S = 2.0
# Delay before a subscriber that did not accept an event is asked again.
REDELIVER_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class _Poll:
    pass


@dataclasses.dataclass(frozen=True, slots=True)
class _Deliver:
    pass


@dataclasses.dataclass(frozen=True, slots=True)
class _Answered:
    # Number of the read.
    read: int
    # Monotonic time at which it was sent.
    asked_at: float
    # What came of it.
    outcome: log_client.ReadOutcome


class Reader(task.Task):
    """Own the position in one stream."""

    def __init__(
        self,
        ctx: task.Context,
        address: str,
        stream: str,
        subscribers: tuple[str, ...],
    ) -> None:
        super().__init__(ctx, address)
        # Stream that is read.
        self.stream = stream
        # Tasks that get every event of the stream.
        self.subscribers = subscribers
        self._fold = log_cursor.LogCursor()
        self._client = log_client.LogClient(ctx.reactor, ctx.cfg.log)
        self._undelivered: collections.deque[tuple[str, typing.Any]] = (
            collections.deque()
        )
        self._reads = 0
        self._failures = 0
        self._malformed = 0
        self._last_failure = ''
        self._caught_up_at: float | None = None

    def started(self) -> None:
        """Begin to read."""
        self.post(_Poll())

    def stopped(self) -> defer.Deferred[None]:
        """Close the connections."""
        return self._client.close()

    def dump(self) -> dict[str, typing.Any]:
        """Return the position and the age of the view."""
        return {
            **super().dump(),
            'stream': self.stream,
            'position': self._fold.position,
            'age_ms': log_cursor.infer_age_ms(self._caught_up_at, self.now()),
            'dropped_repeats': self._fold.dropped,
            'malformed': self._malformed,
            'undelivered': [to for to, _ in self._undelivered],
            'failures_in_row': self._failures,
            'last_failure': self._last_failure,
        }

    @task.handles(_Poll)
    def _on_poll(self, msg: _Poll) -> None:
        self._reads += 1
        number, asked_at = self._reads, self.now()
        fut = self._client.read(
            self.stream, self._fold.position, READ_LIMIT, POLL_WAIT_MS
        )
        fut.addCallback(
            lambda outcome: self._inject(_Answered(number, asked_at, outcome))
        )

    def _inject(self, event: _Answered) -> None:
        # The chain of reads would end with an answer that is dropped.
        if self._running and not self.post(event):
            self.ctx.reactor.callLater(REDELIVER_S, self._inject, event)

    @task.handles(events.LogReplay)
    def _on_replay(self, msg: events.LogReplay) -> None:
        if self._fold.position == 0:
            return
        self.log.info('reading from the start', stream=self.stream)
        self._fold.rewind()
        # The answer of the read under way belongs to the old position.
        self._reads += 1
        self._undelivered.clear()
        self.post(_Poll())

    @task.handles(_Answered)
    def _on_answered(self, event: _Answered) -> None:
        if event.read != self._reads:
            return
        outcome = event.outcome
        if isinstance(outcome, log_client.ReadFailed):
            self._fail(outcome.reason)
            return
        if self._failures:
            self.log.info('log is read again', stream=self.stream)
        self._failures = 0
        if isinstance(outcome, log_client.Trimmed):
            self._skip(outcome.first)
        else:
            self._take(outcome, event.asked_at)
        self._deliver()

    def _fail(self, reason: str) -> None:
        self._failures += 1
        self._last_failure = reason
        self.ctx.metrics.count('log_read_failed', stream=self._label())
        if self._failures == 1:
            self.log.warning('log is not read', reason=reason)
        delay = min(MAX_RETRY_S, MIN_RETRY_S * 2 ** min(self._failures, 10))
        self.after(delay * self.ctx.rng.uniform(0.5, 1.0), _Poll())

    def _skip(self, first: int) -> None:
        if self._fold.skip_to(first):
            self.ctx.metrics.count('log_gap', stream=self._label())
            self._publish(events.LogGap(self.stream, first))

    def _take(self, page: log_client.Page, asked_at: float) -> None:
        after = self._fold.position
        items = []
        for record in self._fold.take(page.records):
            if record.batch is None:
                self._malformed += 1
                self.ctx.metrics.count('log_record_bad', stream=self._label())
                self.log.warning(
                    'record skipped',
                    stream=self.stream,
                    offset=record.offset,
                    reason=record.fault,
                )
                continue
            writer = record.batch.writer
            if writer == self.ctx.incarnation:
                self.send(
                    addresses.APPENDER,
                    events.RecordSeen(
                        self.stream, record.record_id, record.offset
                    ),
                )
            items += [
                events.LogItem(record.offset, writer, item)
                for item in record.batch.items
            ]
        caught_up = self._fold.position >= page.last
        if caught_up:
            self._caught_up_at = asked_at
        self._publish(
            events.LogRead(
                self.stream,
                tuple(items),
                caught_up,
                asked_at,
                after,
                self._fold.position,
            )
        )

    def _publish(self, event: typing.Any) -> None:
        for subscriber in self.subscribers:
            self._undelivered.append((subscriber, event))

    @task.handles(_Deliver)
    def _on_deliver(self, msg: _Deliver) -> None:
        self._deliver()

    def _deliver(self) -> None:
        left = [
            (subscriber, event)
            for subscriber, event in self._undelivered
            if not self.send(subscriber, event)
        ]
        self._undelivered.clear()
        self._undelivered.extend(left)
        if left:
            self.after(REDELIVER_S, _Deliver())
        else:
            self.post(_Poll())

    def _label(self) -> str:
        return self.stream.partition('.')[0]

"""Read one stream of the log and deliver its items to the subscribers.

A read is a long poll for the next record. Its items are delivered to every
subscriber before the next read, so that no subscriber misses an item. Records
of this process are also reported to the appender, which may have lost the
answer of the log.
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

# Time that a read waits at the log for a record, in milliseconds. It bounds
# the age of the view, which an entry reports with each renewal of authority.
POLL_WAIT_MS = 1000
# Maximum records per read. A record has up to 256 KiB, and all records of a
# read are in memory at once: an entry that starts with 40,000 live tasks uses
# 137 MB with 500 records, and 99 MB with 64. With a round trip of 60 ms, 64
# records allow 1,000 records/s, more than the log accepts.
MAX_READ_RECORDS = 64
# Minimum and maximum delay after a failed read, in seconds.
MIN_RETRY_S = 0.1
MAX_RETRY_S = 2.0
# Delay before an event is sent again to a subscriber that did not accept it,
# in seconds.
REDELIVERY_DELAY_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class _Poll:
    pass


@dataclasses.dataclass(frozen=True, slots=True)
class _Deliver:
    pass


@dataclasses.dataclass(frozen=True, slots=True)
class _ReadEnded:
    # Number of the read.
    read: int
    # Monotonic time at which it was sent.
    requested_at: float
    outcome: log_client.ReadResult


class Reader(task.Task):
    """Own the position in one stream and the undelivered events."""

    def __init__(
        self,
        ctx: task.Context,
        address: str,
        stream: str,
        subscribers: tuple[str, ...],
    ) -> None:
        super().__init__(ctx, address)
        # Name of the stream.
        self.stream = stream
        # Addresses of the tasks that get every event of the stream.
        self.subscribers = subscribers
        self._cursor = log_cursor.LogCursor()
        self._client = log_client.LogClient(ctx.reactor, ctx.cfg.log)
        self._undelivered: collections.deque[tuple[str, typing.Any]] = (
            collections.deque()
        )
        self._read_number = 0
        self._failures = 0
        self._malformed = 0
        self._last_failure = ''
        self._caught_up_at: float | None = None

    def started(self) -> None:
        """Start the first read."""
        self.post(_Poll())

    def stopped(self) -> defer.Deferred[None]:
        """Close the connections."""
        return self._client.close()

    def dump(self) -> dict[str, typing.Any]:
        """Return the position and the age of the view."""
        return {
            **super().dump(),
            'stream': self.stream,
            'position': self._cursor.position,
            'age_ms': log_cursor.infer_age_ms(self._caught_up_at, self.now()),
            'dropped_repeats': self._cursor.dropped,
            'malformed': self._malformed,
            'undelivered': [to for to, _ in self._undelivered],
            'failures_in_row': self._failures,
            'last_failure': self._last_failure,
        }

    @task.handles(_Poll)
    def _on_poll(self, msg: _Poll) -> None:
        self._read_number += 1
        number, requested_at = self._read_number, self.now()
        fut = self._client.read(
            self.stream, self._cursor.position, MAX_READ_RECORDS, POLL_WAIT_MS
        )
        fut.addCallback(
            lambda outcome: self._post_until_accepted(
                _ReadEnded(number, requested_at, outcome)
            )
        )

    def _post_until_accepted(self, event: _ReadEnded) -> None:
        # If the mailbox dropped the answer, no further read would start.
        if self._running and not self.post(event):
            self.ctx.reactor.callLater(
                REDELIVERY_DELAY_S, self._post_until_accepted, event
            )

    @task.handles(events.LogReplay)
    def _on_replay(self, msg: events.LogReplay) -> None:
        if self._cursor.position == 0:
            return
        self.log.info('reading from the start', stream=self.stream)
        self._cursor.rewind()
        # The answer of the current read belongs to the old position.
        self._read_number += 1
        self._undelivered.clear()
        self.post(_Poll())

    @task.handles(_ReadEnded)
    def _on_read_ended(self, event: _ReadEnded) -> None:
        if event.read != self._read_number:
            return
        outcome = event.outcome
        if isinstance(outcome, log_client.ReadFailed):
            self._record_failure(outcome.reason)
            return
        if self._failures:
            self.log.info('log is read again', stream=self.stream)
        self._failures = 0
        if isinstance(outcome, log_client.Trimmed):
            self._skip_trimmed(outcome.first)
        else:
            self._process_page(outcome, event.requested_at)
        self._deliver()

    def _record_failure(self, reason: str) -> None:
        self._failures += 1
        self._last_failure = reason
        self.ctx.metrics.count('log_read_failed', stream=self._label())
        if self._failures == 1:
            self.log.warning('log is not read', reason=reason)
        delay = min(MAX_RETRY_S, MIN_RETRY_S * 2 ** min(self._failures, 10))
        self.after(delay * self.ctx.rng.uniform(0.5, 1.0), _Poll())

    def _skip_trimmed(self, first: int) -> None:
        if self._cursor.skip_to(first):
            self.ctx.metrics.count('log_gap', stream=self._label())
            self._publish(events.LogGap(self.stream, first))

    def _process_page(
        self, page: log_client.Page, requested_at: float
    ) -> None:
        after = self._cursor.position
        items = []
        for record in self._cursor.take(page.records):
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
                    events.RecordRead(
                        self.stream, record.record_id, record.offset
                    ),
                )
            items += [
                events.LogItem(record.offset, writer, item)
                for item in record.batch.items
            ]
        caught_up = self._cursor.position >= page.last
        if caught_up:
            self._caught_up_at = requested_at
        self._publish(
            events.LogRead(
                self.stream,
                tuple(items),
                caught_up,
                requested_at,
                after,
                self._cursor.position,
            )
        )

    def _publish(self, event: typing.Any) -> None:
        for subscriber in self.subscribers:
            self._undelivered.append((subscriber, event))

    @task.handles(_Deliver)
    def _on_deliver(self, msg: _Deliver) -> None:
        self._deliver()

    def _deliver(self) -> None:
        remaining = [
            (subscriber, event)
            for subscriber, event in self._undelivered
            if not self.send(subscriber, event)
        ]
        self._undelivered.clear()
        self._undelivered.extend(remaining)
        if remaining:
            self.after(REDELIVERY_DELAY_S, _Deliver())
        else:
            self.post(_Poll())

    def _label(self) -> str:
        return self.stream.partition('.')[0]

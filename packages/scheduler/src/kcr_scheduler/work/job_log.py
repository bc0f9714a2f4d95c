"""Read the job log and append to it: the store's partition of job records.

The owner task reads the log to build the job table, claims the ownership by an
append, and appends its decisions. Every append names the offset at which the
partition must end. A writer that was replaced therefore can't write, and an
append that is carried out late or twice has no second effect.

Reads and appends are sized by the rate of the link, so that a log of any size
is read over any link, and what one call has brought is kept if the next fails.
"""

from collections import abc

import structlog
from twisted.internet import defer
from twisted.internet import task as twisted_task

from kcr_jobs import job_table
from kcr_jobs import record_parts
from kcr_jobs import records
from kcr_runtime import link_rate
from kcr_runtime import store
from kcr_runtime import task
from kcr_scheduler.work import codec

TOPIC = 'jobs'
# Keyed topic and key of the newest claim. It only saves the reading of the log
# after a restart; the claim in the log decides.
CLAIM_TOPIC = 'keyed.owner'
CLAIM_KEY = 'jobs'
# Largest encoded batch, in bytes, and largest batch before compression. Larger
# ones are split; a single record that can't be split may have as many bytes as
# the store takes.
MAX_BATCH_BYTES = 200_000
MAX_PLAIN_BYTES = 4 * 1024 * 1024
# Bytes that a call has in addition for each record.
RECORD_HEAD_BYTES = 4
# Tries of an append that the store refuses as invalid.
INVALID_TRIES = 3
# Bounds of the timeout of one try of an append, in seconds.
MIN_TIMEOUT_S = 0.15
MAX_TIMEOUT_S = 2.0
# Timeout of a try, as a multiple of the average latency.
TIMEOUT_FACTOR = 6.0
# Largest multiple of the usual timeout after tries without an answer.
MAX_TIMEOUT_FACTOR = 16.0
# Weight of the newest latency in the average.
LATENCY_WEIGHT = 0.2
# Pause after the store has refused a call, in seconds.
REFUSED_RETRY_S = 0.1
# Consecutive reads without a record before the reading of the log fails.
READ_TRIES = 5


class Deposed(Exception):
    """Report that another process has appended to the partition."""


class Invalid(Exception):
    """Report records that the store does not take."""


class Unreachable(Exception):
    """Report that the store does not answer."""


class JobLog:
    """Store what this process has read and appended, and append to it."""

    def __init__(
        self,
        ctx: task.Context,
        client: store.Store,
        on_progress: abc.Callable[[int], None] = lambda read: None,
    ) -> None:
        self._ctx = ctx
        self._store = client
        # Called with the number of records read so far, after each page.
        self._on_progress = on_progress
        self._log = structlog.get_logger().bind(task='job_log')
        # Job table from the records before `end`.
        self.table = job_table.JobTable()
        # Offset after the last record read or appended.
        self.end = 0
        # Bytes of the records from the first one that is stored to `end`.
        self.size = 0
        # Time at which the last durable append was sent; at that time no other
        # process owned the jobs.
        self.authority_renewed_at = 0.0
        # Moving average of the latency of an append, in seconds.
        self.latency_s = 0.02
        # Rate at which appends are sent.
        self._uplink = link_rate.LinkRate(ctx.cfg.link_mbps)
        # Prefix of the ids of the batches; a process that owns the jobs again
        # must not take a late append of its former ownership for a new one.
        self._writer = f'{ctx.incarnation}:{ctx.rng.getrandbits(32):08x}'
        self._batches = 0
        # Limits of the store, in bytes.
        self._max_call_bytes: int = ctx.cfg.max_call_bytes
        self._max_record_bytes = min(
            ctx.cfg.max_record_bytes, self._max_call_bytes - RECORD_HEAD_BYTES
        )
        # Consecutive tries that the store has refused as invalid.
        self._invalid_tries = 0
        self._records_read = 0
        self._closed = False
        # One read of the log at a time; a second one would apply a page twice.
        self._reading = defer.DeferredLock()

    def close(self) -> None:
        """End the append in flight; what was read must not be used again."""
        self._closed = True

    def _now(self) -> float:
        return float(self._ctx.reactor.seconds())

    async def catch_up(self) -> None:
        """Read up to the end of the partition; raise Unreachable."""
        await self._reading.acquire()
        try:
            await self._read_to_end()
        finally:
            self._reading.release()

    async def _read_to_end(self) -> None:
        failures = 0
        while not self._closed:
            got = await self._store.read(TOPIC, self.end, 0.0)
            if isinstance(got, store.Page):
                failures = 0 if got.records else failures + 1
                self._apply_page(got)
                self._on_progress(self._records_read)
                if self.end >= got.end:
                    return
                if failures < READ_TRIES:
                    continue
                raise Unreachable('store returns no records')
            if isinstance(got, store.Trimmed):
                # The records were deleted after a complete snapshot, or the
                # store has dropped them after a restatement of all jobs.
                self.table, self.end = job_table.JobTable(), got.first
                self.size = 0
                continue
            failures += 1
            if failures >= READ_TRIES:
                raise Unreachable(got.reason)
            await _pause(self._ctx, REFUSED_RETRY_S)
        raise Unreachable('reading was ended')

    def _apply_page(self, page: store.Page) -> None:
        assert page.start == self.end, (page.start, self.end)
        for data in page.records:
            self.end += 1
            self.size += len(data)
            self._records_read += 1
            try:
                _, batch = codec.decode(data)
            except codec.BadBatch as exc:
                self._ctx.metrics.count('log_record_malformed')
                self._log.error(
                    'record is malformed', offset=self.end - 1, error=str(exc)
                )
                continue
            job_table.fold(batch, self.table)

    async def append(self, batch: abc.Sequence[records.Record]) -> int:
        """Make records durable; return the offset of the first.

        Raise Deposed if another process has written or the log was closed,
        and Invalid if the store does not take the records, however often they
        are sent; some of them may be durable then. A batch that the link does
        not carry at once is sent in several appends, smaller ones after an
        append that was not answered in time.
        """
        start = self.end
        items = self._encode(batch)
        first_sent = self._now()
        timeout_factor = 1.0
        while items:
            count = await self._append_some(items, timeout_factor)
            if not count:
                # The longer timeout lets a store that has become slow answer.
                timeout_factor = min(MAX_TIMEOUT_FACTOR, 2 * timeout_factor)
                continue
            self.size += sum(map(len, items[:count]))
            self.end += count
            self.authority_renewed_at = first_sent
            items = items[count:]
            first_sent, timeout_factor = self._now(), 1.0
        return start

    async def _append_some(
        self, items: abc.Sequence[bytes], timeout_factor: float
    ) -> int:
        """Try to append the first of some items; return how many there are."""
        group = self._choose_group(items)
        size = sum(map(len, group))
        timeout_s = self._append_timeout_s(size, timeout_factor)
        if self._closed:
            raise Deposed('ownership has ended')
        sent_at = self._now()
        got = await self._store.append(TOPIC, group, self.end, timeout_s)
        if self._closed:
            raise Deposed('ownership has ended')
        if isinstance(got, store.Appended):
            self._invalid_tries = 0
            self._record_latency(self._now() - sent_at, size)
            return len(group)
        if isinstance(got, store.Conflict):
            count = await self._count_own(items)
            if not count:
                raise Deposed('another process has appended to the job log')
            return count
        if isinstance(got, store.Rejected):
            self._log.warning('append refused', reason=got.reason)
            if got.invalid:
                self._invalid_tries += 1
                if self._invalid_tries >= INVALID_TRIES:
                    raise self._make_invalid(got.reason, size)
            await _pause(self._ctx, REFUSED_RETRY_S)
            return 0
        self._ctx.metrics.count('append_unanswered')
        self._log.warning(
            'append unanswered',
            reason=got.reason,
            at=self.end,
            size=size,
            limit_ms=int(1000 * timeout_s),
        )
        self._uplink.record(size, self._now() - sent_at)
        return 0

    def _make_invalid(self, reason: str, size: int) -> Invalid:
        self._ctx.metrics.count('append_invalid')
        self._log.error(
            'append invalid',
            reason=reason,
            size=size,
            max_record_bytes=self._max_record_bytes,
        )
        return Invalid(f'{reason}, {size} bytes')

    def _choose_group(self, items: abc.Sequence[bytes]) -> list[bytes]:
        """Return the items of the next append, at least one."""
        limit = min(self._uplink.infer_transfer_bytes(), self._max_call_bytes)
        group: list[bytes] = []
        for item in items:
            limit -= len(item) + RECORD_HEAD_BYTES
            if group and limit < 0:
                break
            group.append(item)
        return group

    async def trim(self, before: int) -> None:
        """Delete the records before a complete snapshot.

        It is not repeated: the next snapshot deletes the records as well.
        """
        got = await self._store.trim(TOPIC, before)
        if isinstance(got, store.Trimmed):
            self._log.info('job log trimmed', before=before, end=self.end)
        else:
            self._log.warning(
                'job log not trimmed', before=before, reason=got.reason
            )

    async def publish_claim(self, claim: records.Claim) -> None:
        """Store a durable claim where a restarted process finds it."""
        value = codec.encode(CLAIM_KEY, [claim])
        got = await self._store.put(CLAIM_TOPIC, CLAIM_KEY, value)
        if not isinstance(got, store.Appended):
            reason = getattr(got, 'reason', 'conflict')
            self._log.warning('claim not published', reason=reason)

    async def read_published_claim(self) -> records.Claim | None:
        """Return the claim that was published last; raise Unreachable."""
        got = await self._store.newest(CLAIM_TOPIC)
        if not isinstance(got, store.Items):
            raise Unreachable(got.reason)
        for item in got.items:
            if item.key != CLAIM_KEY:
                continue
            try:
                _, batch = codec.decode(item.value)
            except codec.BadBatch as exc:
                self._ctx.metrics.count('log_record_malformed')
                self._log.error('claim is malformed', error=str(exc))
                return None
            for rec in batch:
                if isinstance(rec, records.Claim):
                    return rec
        return None

    def _encode(self, batch: abc.Sequence[records.Record]) -> list[bytes]:
        self._batches += 1
        first_id = f'{self._writer}:{self._batches}'
        items: list[bytes] = []
        parts = [list(batch)]
        limit = min(MAX_BATCH_BYTES, self._max_record_bytes)
        while parts:
            part = parts.pop()
            name = first_id if not items else f'{first_id}+{len(items)}'
            plain = codec.dump(name, part)
            data = codec.compress(plain)
            if len(data) <= limit and len(plain) <= MAX_PLAIN_BYTES:
                items.append(data)
            elif pieces := _split(part):
                parts += reversed(pieces)
            elif len(data) <= self._max_record_bytes:
                items.append(data)
            else:
                raise self._make_invalid('record is too large', len(data))
        return items

    def _append_timeout_s(self, size: int, factor: float) -> float:
        usual = max(MIN_TIMEOUT_S, self.latency_s * TIMEOUT_FACTOR)
        return min(
            MAX_TIMEOUT_S, factor * usual
        ) + self._uplink.infer_timeout_s(size)

    def _record_latency(self, took_s: float, size: int) -> None:
        if size < link_rate.MIN_SAMPLE_BYTES:
            self.latency_s += LATENCY_WEIGHT * (took_s - self.latency_s)
        else:
            self._uplink.record(size, took_s - self.latency_s)
        self._ctx.metrics.record_ms('append', took_s * 1000.0)

    async def _count_own(self, items: abc.Sequence[bytes]) -> int:
        """Return how many of the items are stored from `end` on."""
        while not self._closed:
            got = await self._store.read(TOPIC, self.end, 0.0)
            if isinstance(got, store.Page) and got.records:
                count = 0
                for item, data in zip(items, got.records):
                    if data != item:
                        break
                    count += 1
                return count
            if isinstance(got, (store.Page, store.Trimmed)):
                return 0
            await _pause(self._ctx, REFUSED_RETRY_S)
        return 0


def _split(part: list[records.Record]) -> list[list[records.Record]]:
    """Return the parts of a batch; none if it can't be split."""
    if len(part) == 1:
        return [[rec] for rec in record_parts.split(part[0])]
    half = len(part) // 2
    return [part[:half], part[half:]]


async def _pause(ctx: task.Context, delay_s: float) -> None:
    await twisted_task.deferLater(ctx.reactor, delay_s)

"""Read the job log and append to it: the store's partition of job records.

The owner task reads the log to build the job table, claims the ownership by an
append, and appends its decisions. Every append names the offset at which the
partition must end. A writer that was replaced therefore can't write, and an
append that is carried out late or twice has no second effect.
"""

from collections import abc

import structlog
from twisted.internet import task as twisted_task

from kcr_jobs import job_table
from kcr_jobs import records
from kcr_runtime import store
from kcr_runtime import task
from kcr_scheduler.work import codec

TOPIC = 'jobs'
# Largest encoded batch, in bytes; the store takes records of 256 KiB.
MAX_BATCH_BYTES = 200_000
# Bounds of the timeout of one try of an append, in seconds.
MIN_TIMEOUT_S = 0.15
MAX_TIMEOUT_S = 2.0
# Timeout of a try, as a multiple of the average latency.
TIMEOUT_FACTOR = 6.0
# Weight of the newest latency in the average.
LATENCY_WEIGHT = 0.2
# Pause after the store has refused a call, in seconds.
REFUSED_RETRY_S = 0.1
# Tries of a read before the reading of the log fails.
READ_TRIES = 5


class Deposed(Exception):
    """Report that another process has appended to the partition."""


class Unreachable(Exception):
    """Report that the store does not answer."""


class JobLog:
    """Store what this process has read and appended, and append to it."""

    def __init__(self, ctx: task.Context, client: store.Store) -> None:
        self._ctx = ctx
        self._store = client
        self._log = structlog.get_logger().bind(task='job_log')
        # Job table from the records before `end`.
        self.table = job_table.JobTable()
        # Offset after the last record read or appended.
        self.end = 0
        # Time at which the last durable append was sent; at that time no other
        # process owned the jobs.
        self.authority_renewed_at = 0.0
        # Moving average of the latency of an append, in seconds.
        self.latency_s = 0.02
        self._batches = 0

    def reset(self) -> None:
        """Drop everything that was read."""
        self.table, self.end = job_table.JobTable(), 0

    def _now(self) -> float:
        return float(self._ctx.reactor.seconds())

    async def catch_up(self) -> None:
        """Read up to the end of the partition; raise Unreachable."""
        tries = 0
        while True:
            got = await self._store.read(TOPIC, self.end, 0.0)
            if isinstance(got, store.Page):
                self._apply_page(got)
                if self.end >= got.end:
                    return
            elif isinstance(got, store.Trimmed):
                # Jobs that the table keeps are written again before the store
                # trims their records.
                self.reset()
                self.end = got.first
            else:
                tries += 1
                if tries >= READ_TRIES:
                    raise Unreachable(got.reason)
                await _pause(self._ctx, REFUSED_RETRY_S)

    def _apply_page(self, page: store.Page) -> None:
        assert page.start == self.end, (page.start, self.end)
        for data in page.records:
            self.end += 1
            try:
                _, batch = codec.decode(data)
            except codec.BadBatch as exc:
                self._ctx.metrics.count('log_record_malformed')
                self._log.error(
                    'record is malformed', offset=self.end - 1, error=str(exc)
                )
                continue
            job_table.fold(batch, self.table)

    async def append(self, batch: abc.Sequence[records.Record]) -> None:
        """Make records durable; raise Deposed if another has written."""
        first_id, items = self._encode(batch)
        first_sent = self._now()
        timeout_s = self._append_timeout_s()
        while True:
            sent_at = self._now()
            got = await self._store.append(TOPIC, items, self.end, timeout_s)
            if isinstance(got, store.Appended):
                self._record_latency(self._now() - sent_at)
                break
            if isinstance(got, store.Conflict):
                if await self._is_own_batch(first_id):
                    break
                raise Deposed('another process has appended to the job log')
            if isinstance(got, store.Rejected):
                self._log.warning('append refused', reason=got.reason)
                await _pause(self._ctx, REFUSED_RETRY_S)
                continue
            self._ctx.metrics.count('append_unanswered')
            self._log.warning(
                'append unanswered',
                reason=got.reason,
                at=self.end,
                limit_ms=int(1000 * timeout_s),
            )
            # The longer timeout lets a store that has become slow answer.
            timeout_s = min(MAX_TIMEOUT_S, timeout_s * 2)
        self.end += len(items)
        self.authority_renewed_at = first_sent

    def _encode(
        self, batch: abc.Sequence[records.Record]
    ) -> tuple[str, list[bytes]]:
        self._batches += 1
        first_id = f'{self._ctx.incarnation}:{self._batches}'
        items: list[bytes] = []
        parts = [list(batch)]
        while parts:
            part = parts.pop()
            name = first_id if not items else f'{first_id}+{len(items)}'
            data = codec.encode(name, part)
            if len(data) > MAX_BATCH_BYTES and len(part) > 1:
                half = len(part) // 2
                parts += [part[half:], part[:half]]
            else:
                items.append(data)
        return first_id, items

    def _append_timeout_s(self) -> float:
        usual = self.latency_s * TIMEOUT_FACTOR
        return min(MAX_TIMEOUT_S, max(MIN_TIMEOUT_S, usual))

    def _record_latency(self, took_s: float) -> None:
        self.latency_s += LATENCY_WEIGHT * (took_s - self.latency_s)
        self._ctx.metrics.record_ms('append', took_s * 1000.0)

    async def _is_own_batch(self, batch_id: str) -> bool:
        """Return whether the record at `end` is the own batch of an id."""
        while True:
            got = await self._store.read(TOPIC, self.end, 0.0)
            if isinstance(got, store.Page) and got.records:
                try:
                    found, _ = codec.decode(got.records[0])
                except codec.BadBatch:
                    return False
                return found == batch_id
            if isinstance(got, (store.Page, store.Trimmed)):
                return False
            await _pause(self._ctx, REFUSED_RETRY_S)


async def _pause(ctx: task.Context, delay_s: float) -> None:
    await twisted_task.deferLater(ctx.reactor, delay_s)

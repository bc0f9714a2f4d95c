"""Print how long a takeover takes, by rate of the link and open jobs.

Run by `make bench`. A simulated link carries the reads and appends; the job
log and the codec are those of the scheduler. `before` is the reading that the
successor and the snapshots replaced: the whole history, not compressed, in
pages of a mebibyte with a timeout of 1.2 s and five tries.
"""

import random
import time
import typing

import cbor2
import scheduler_harness
import structlog
from twisted.internet import defer
from twisted.internet import task as twisted_task

from kcr_jobs import controller
from kcr_jobs import records
from kcr_jobs import types
from kcr_runtime import store
from kcr_runtime.wire import codec as wire_codec
from kcr_scheduler.work import codec
from kcr_scheduler.work import job_log

RATES_MBPS = (2, 5, 20, 200)
OPEN_JOBS = (100, 1000, 4000)
# Ended jobs for each open one; a day of the large deployment has about three.
ENDED_PER_OPEN = 3
TASKS_PER_STEP = 25
OLD_PAGE_BYTES = 1024 * 1024
OLD_TIMEOUT_S = 1.2
LATENCY_S = 0.004
# Time between two reads of a successor, which the owner's appends fill.
FOLLOW_INTERVAL_S = 1.0
# Starts a second of the large deployment.
STARTS_PER_S = 260
STEP = types.Step(
    TASKS_PER_STEP, types.Demand(1800, 900), estimate_ms=3400.0,
    checkpointing=True, near_rack='r1-3', image='img-4f2a',
)  # fmt: skip
QUEUE = types.Queue('wash-batch-plan', 'huvo11a', 0, 3, 2.0, 600.0)


class LinkStore:
    """Serve one log over a link of some rate, on a simulated clock."""

    def __init__(self, clock: twisted_task.Clock, rate: float) -> None:
        self.clock = clock
        self.rate = rate
        self.log: list[bytes] = []
        self.bytes_read = 0

    def read(self, topic: str, start: int, wait_s: float) -> typing.Any:
        """Read a page of the size that the job log's client asks for."""
        found: list[bytes] = []
        size, limit = 0, max(32 * 1024, int(self.rate * 0.25))
        for data in self.log[start:]:
            found.append(data)
            size += len(data)
            if size >= limit:
                break
        self.bytes_read += size
        return self._later(
            size, store.Page(len(self.log), start, tuple(found))
        )

    def append(
        self, topic: str, items: typing.Any, at: int, timeout_s: float
    ) -> typing.Any:
        """Append at the end."""
        self.log += items
        return self._later(sum(map(len, items)), store.Appended(len(self.log)))

    def _later(self, size: int, result: typing.Any) -> typing.Any:
        fut: defer.Deferred[typing.Any] = defer.Deferred()
        self.clock.callLater(
            LATENCY_S + size / self.rate, fut.callback, result
        )
        return fut


def make_history(open_jobs: int) -> list[list[records.Record]]:
    """Return batches: ended jobs and open ones, half of whose tasks ran."""
    rng = random.Random(1)
    batches: list[list[records.Record]] = []
    for number in range(open_jobs * (1 + ENDED_PER_OPEN)):
        job_id = f'{rng.getrandbits(64):016x}'
        spec = types.JobSpec(
            job_id, QUEUE, rng.randbytes(40).hex(), (STEP, STEP)
        )
        batches.append([records.Accepted(spec, 1_780_000_000_000)])
        is_open = number % (1 + ENDED_PER_OPEN) == 0
        for step in (0,) if is_open else (0, 1):
            names = [f'{job_id}.0.{step}.{n}' for n in range(TASKS_PER_STEP)]
            nodes = [f'side-gent-depot-{rng.randrange(27)}' for _ in names]
            batches.append(
                [
                    records.Started(
                        tuple(
                            records.StartRow(n, 1, node, f'i-7f3a@{1780}')
                            for n, node in zip(names, nodes)
                        )
                    )
                ]
            )
            batches += [
                [records.Ended((records.EndedRow(n, 1, 'done', ''),))]
                for n in names
            ]
    return batches


def encode_old(batch: list[records.Record]) -> bytes:
    """Encode a batch as before: CBOR without compression."""
    items = [[records.TAGS[type(r)], wire_codec.to_plain(r)] for r in batch]
    return cbor2.dumps([1, 'x' * 24, items])


def estimate_old(sizes: list[int], rate: float) -> tuple[str, int]:
    """Return the seconds and bytes of the reading that was replaced."""
    total, page, spent = sum(sizes), 0, 0.0
    for size in [*sizes, OLD_PAGE_BYTES]:
        if page + size > OLD_PAGE_BYTES or size == OLD_PAGE_BYTES:
            if page / rate > OLD_TIMEOUT_S:
                return 'never', total
            spent += LATENCY_S + page / rate
            page = 0
        page += size
    return f'{spent:.2f}', total


def take_over(
    log: list[bytes], read_before: int, rate: float
) -> tuple[float, int, float]:
    """Return seconds, bytes and processor seconds to the first order."""
    harness = scheduler_harness.Harness()
    linked = LinkStore(harness.clock, rate)
    linked.log = log[:read_before]
    jobs = job_log.JobLog(harness.ctx, typing.cast(typing.Any, linked))

    def run(fut: defer.Deferred[typing.Any]) -> None:
        while not fut.called:
            harness.clock.advance(0.001)

    if read_before:
        run(defer.ensureDeferred(jobs.catch_up()))
    linked.log, linked.bytes_read = list(log), 0
    began, used = harness.clock.seconds(), time.process_time()
    run(defer.ensureDeferred(jobs.catch_up()))
    claim = records.Claim(jobs.table.epoch + 1, 'me', 'i', '10.0.0.1:1')
    run(defer.ensureDeferred(jobs.append([claim])))
    jobs.table.apply(claim)
    ctl = controller.Controller(jobs.table, claim.epoch, 6.0, 0.0, jobs.size)
    info = types.RunnerInfo('i', 1, 'huvo11a', 'z', types.Demand(9000, 9000))
    ctl.attach('n', 's', info, 0.0)
    assert ctl.immediate
    took = harness.clock.seconds() - began
    return took, linked.bytes_read, time.process_time() - used


def make_snapshot(batches: list[list[records.Record]]) -> list[bytes]:
    """Return the log as a snapshot leaves it: what is not trimmed."""
    harness = scheduler_harness.Harness()
    jobs = job_log.JobLog(harness.ctx, typing.cast(typing.Any, None))
    for batch in batches:
        for rec in batch:
            jobs.table.apply(rec)
    ctl = controller.Controller(jobs.table, 1, 6.0, 0.0, 10**9)
    out: list[bytes] = []
    for step in range(2000):
        ctl.tick(0.05 * step, 0.0)
        if ctl.pending_records:
            out += jobs._encode(ctl.pending_records)
        ended = any(
            isinstance(rec, records.SnapshotEnded)
            for rec in ctl.pending_records
        )
        ctl.pending_records = []
        if ended:
            return out
    raise AssertionError('snapshot does not end')


def main() -> None:
    """Print the table."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(50)
    )
    print('takeover: seconds and KB from the loss of the owner to its first')
    print('order, simulated link; processor time of this machine')
    print(
        f'{"Mbit/s":>6} {"open":>5} | {"before s":>9} {"KB":>7} | '
        f'{"cold s":>7} {"KB":>6} {"cpu s":>6} | {"follows s":>9} {"KB":>5}'
    )
    for open_jobs in OPEN_JOBS:
        batches = make_history(open_jobs)
        old_sizes = [len(encode_old(batch)) for batch in batches]
        log = make_snapshot(batches)
        # What the owner appends between two reads of the successor.
        tail = [
            codec.encode(f't{n}', batch)
            for n, batch in enumerate(batches[-STARTS_PER_S:])
        ]
        for rate_mbps in RATES_MBPS:
            rate = rate_mbps * 125_000.0
            before, old_bytes = estimate_old(old_sizes, rate)
            cold_s, cold_bytes, cpu_s = take_over([*log, *tail], 0, rate)
            warm_s, warm_bytes, _ = take_over([*log, *tail], len(log), rate)
            print(
                f'{rate_mbps:>6} {open_jobs:>5} | {before:>9} '
                f'{old_bytes // 1024:>7} | {cold_s:>7.2f} '
                f'{cold_bytes // 1024:>6} {cpu_s:>6.2f} | {warm_s:>9.2f} '
                f'{warm_bytes // 1024:>5}',
                flush=True,
            )


if __name__ == '__main__':
    main()

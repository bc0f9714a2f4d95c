"""Send an open-loop load of requests to the entries, as callers do.

Requests arrive at random at the rates of a `Profile`. A request that gets no
answer or is refused is submitted again to another entry, with the same id and
the `resubmitted` flag. `load_tool` runs a load and writes the final outcomes,
which `tally` then checks.
"""

import asyncio
import collections
import dataclasses
import json
import random
import time
import typing

from hdrh import histogram
import treq
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import task
from twisted.web import client
from twisted.web import http_headers

# Submissions of one request, each to the next entry, before giving up.
MAX_SUBMISSIONS = 4
# Delay between two submissions of one request, in seconds.
RESUBMIT_DELAY_S = 0.1
# Largest latency that the histogram records, in microseconds.
MAX_LATENCY_US = 60_000_000

JSON_HEADERS = http_headers.Headers({'Content-Type': ['application/json']})

# Errors raised for a failed connection, a timeout or a broken answer.
NO_RESPONSE_ERRORS = (
    error.ConnectError,
    error.ConnectionLost,
    error.ConnectionDone,
    defer.TimeoutError,
    defer.CancelledError,
    asyncio.CancelledError,
    client.ResponseFailed,
    client.RequestTransmissionFailed,
    client.ResponseNeverReceived,
    client.PartialDownloadError,
    ValueError,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Profile:
    """Describe a load."""

    # Idempotent requests a second.
    idempotent_per_s: float
    # Non-idempotent requests a second.
    single_per_s: float
    # Deadline of each request, in ms.
    deadline_ms: int = 2000
    # Share of non-idempotent requests sent to two entries at once.
    twin_share: float = 0.1
    # Seed of the arrivals.
    seed: int = 1


@dataclasses.dataclass(slots=True)
class Result:
    """Store the final outcome of one request."""

    # Key of the request, `caller/id`.
    key: str
    # Whether it may run more than once.
    idempotent: bool
    # Final outcome: `done`, `not_run` or `unknown`.
    outcome: str = 'unknown'
    # Whether the answer was complete and as expected.
    whole: bool = False
    # Time until the outcome, in ms.
    latency_ms: float = 0.0
    # Reason of the last answer, or name of the last connection error.
    reason: str = ''
    # Unix time of the first submission, in ms.
    issued_at_ms: int = 0


class Load:
    """Send the load of one profile and collect the results."""

    def __init__(
        self, reactor: typing.Any, urls: list[str], profile: Profile
    ) -> None:
        # Reactor of the process.
        self.reactor = reactor
        # Base URLs of the entries.
        self.urls = urls
        # Rates and properties of the requests.
        self.profile = profile
        # Results of the requests that have an outcome.
        self.results: list[Result] = []
        # Number of requests without an outcome yet.
        self.pending = 0
        # Number of requests sent.
        self.sent = 0
        self._rng = random.Random(profile.seed)
        self._stopping = False
        pool = client.HTTPConnectionPool(reactor, persistent=True)
        pool.maxPersistentPerHost = 64
        pool.retryAutomatically = False
        self._pool = pool
        self._agent = client.Agent(reactor, pool=pool, connectTimeout=2.0)

    def start(self) -> None:
        """Start the arrivals."""
        profile = self.profile
        self._schedule_arrivals(True, profile.idempotent_per_s)
        self._schedule_arrivals(False, profile.single_per_s)

    async def finish(self) -> None:
        """Stop sending and wait until every request has an outcome."""
        self._stopping = True
        while self.pending:
            await task.deferLater(self.reactor, 0.05, lambda: None)
        await self._pool.closeCachedConnections()

    def percentiles(self) -> dict[str, float]:
        """Return latency percentiles of the answered requests, in ms."""
        hist = histogram.HdrHistogram(1, MAX_LATENCY_US, 3)
        for result in self.results:
            if result.outcome == 'done':
                hist.record_value(int(result.latency_ms * 1000))
        return {
            f'p{percent}': hist.get_value_at_percentile(percent) / 1000.0
            for percent in (50, 99, 99.9)
        }

    def count_outcomes(self) -> collections.Counter[str]:
        """Return the number of requests by outcome."""
        return collections.Counter(r.outcome for r in self.results)

    def _schedule_arrivals(self, idempotent: bool, rate: float) -> None:
        if self._stopping or rate <= 0:
            return
        self.sent += 1
        result = Result(f'load/r{self.sent}', idempotent)
        result.issued_at_ms = int(time.time() * 1000)
        defer.ensureDeferred(self._run_request(result))
        delay = self._rng.expovariate(rate)
        self.reactor.callLater(
            delay, self._schedule_arrivals, idempotent, rate
        )

    async def _run_request(self, result: Result) -> None:
        self.pending += 1
        started_at = self.reactor.seconds()
        twin = (
            not result.idempotent
            and len(self.urls) > 1
            and self._rng.random() < self.profile.twin_share
        )
        first = self._rng.randrange(len(self.urls))
        try:
            if twin:
                await self._submit_twice(result, first)
            else:
                await self._submit_until_answered(result, first)
        finally:
            self.pending -= 1
        result.latency_ms = (self.reactor.seconds() - started_at) * 1000
        self.results.append(result)

    async def _submit_twice(self, result: Result, first: int) -> None:
        second = dataclasses.replace(result)
        both = defer.gatherResults(
            [
                defer.ensureDeferred(self._submit(result, first, False)),
                defer.ensureDeferred(self._submit(second, first + 1, True)),
            ]
        )
        await both
        if second.outcome == 'done' or result.outcome == 'not_run':
            result.outcome, result.whole = second.outcome, second.whole
            result.reason = second.reason

    async def _submit_until_answered(self, result: Result, first: int) -> None:
        for number in range(MAX_SUBMISSIONS):
            answered = await self._submit(result, first + number, number > 0)
            if answered:
                return
            await task.deferLater(self.reactor, RESUBMIT_DELAY_S, lambda: None)

    async def _submit(
        self, result: Result, number: int, resubmitted: bool
    ) -> bool:
        url = self.urls[number % len(self.urls)]
        caller, _, request_id = result.key.partition('/')
        body = {
            'id': request_id,
            'caller': caller,
            'service': 'web',
            'deadline_ms': self.profile.deadline_ms,
            'idempotent': result.idempotent,
            'body': f'body of {result.key}',
            'resubmitted': resubmitted,
            'issued_at_ms': result.issued_at_ms,
        }
        try:
            answer = await self._post(f'{url}/v1/requests', body)
        except NO_RESPONSE_ERRORS as exc:
            result.outcome, result.reason = 'unknown', type(exc).__name__
            return False
        result.outcome = answer.get('outcome', 'unknown')
        result.reason = answer.get('reason', '')
        if result.outcome == 'done':
            expected = f'{result.key}:body of {result.key}'
            result.whole = answer['body'] == expected
        if result.outcome == 'not_run':
            return False
        return not (result.outcome == 'unknown' and result.idempotent)

    async def _post(
        self, url: str, body: dict[str, typing.Any]
    ) -> dict[str, typing.Any]:
        response = await treq.post(
            url,
            data=json.dumps(body).encode(),
            headers=JSON_HEADERS,
            agent=self._agent,
            timeout=self.profile.deadline_ms / 1000 + 2,
        )
        text = await treq.content(response)
        return typing.cast('dict[str, typing.Any]', json.loads(text))

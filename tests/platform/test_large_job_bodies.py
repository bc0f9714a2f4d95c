"""Test the answer to a job that is too large for the store."""

import io
import json
import random
import types as std_types
import typing

import recorder
from twisted.internet import defer
from twisted.internet import task as twisted_task
from twisted.web import http_headers

from kcr_jobs import config
from kcr_jobs import types
from kcr_platform import front
from kcr_runtime import metrics
from kcr_runtime import task
from kcr_scheduler import addresses

ROUTE = config.Route('', '/q/', types.Queue('q', 'svc'), 3000)


class FakeRequest:
    """Hold the body of a request, and the status of the response."""

    def __init__(self, body: bytes) -> None:
        self.content = io.BytesIO(body)
        self.requestHeaders = http_headers.Headers()
        self.status = 0

    def setResponseCode(self, status: int) -> None:  # noqa: N802
        """Store the status."""
        self.status = status

    def setHeader(self, name: bytes, value: bytes) -> None:  # noqa: N802
        """Ignore the header."""


def submit(made: front.Front, payload: str) -> tuple[int, typing.Any]:
    """Return status and body of the response to a submission, if any."""
    body = json.dumps({'Spec': payload, 'Phases': [{'Count': 1}]}).encode()
    req: typing.Any = FakeRequest(body)
    fut = defer.ensureDeferred(made._submit(req, ROUTE, 'f' * 16))
    if not fut.called:
        return 0, None
    found: list[bytes] = []
    fut.addCallback(found.append)
    return req.status, json.loads(found[0])


def test_job_beyond_the_limit_of_a_record_is_refused() -> None:
    """Guard against a job that is accepted and can't be stored."""
    rng = random.Random(1)
    ctx = task.Context(
        reactor=twisted_task.Clock(),
        directory=task.Directory(),
        rng=rng,
        cfg=std_types.SimpleNamespace(max_record_bytes=16_384),
        metrics=metrics.Metrics('test'),
        incarnation='i',
    )
    ctx.directory.add(addresses.CALLS, recorder.Recorder())
    made = front.Front(ctx, 'front/http')
    payload = ''.join(chr(rng.randrange(0x4E00, 0x9000)) for _ in range(12000))
    status, answer = submit(made, payload)
    assert status == 413
    text = answer['Error']
    assert 'Spec' in text and '16384' in text and 'shorten' in text
    assert submit(made, payload[:2000]) == (0, None)
    # What the store takes compressed is not refused.
    assert submit(made, 'x' * 60_000) == (0, None)

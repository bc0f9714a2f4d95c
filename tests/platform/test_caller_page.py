"""Test how the front end for callers answers by coroutines."""

import typing

import deployment as deployments
import http_calls
import pytest
from twisted.internet import defer
from twisted.internet import error
from twisted.python import failure
from twisted.web import server

from kcr_platform import caller_page


class FakeRequest:
    """Record what a page does to a request."""

    def __init__(self) -> None:
        self.ended: defer.Deferred[None] = defer.Deferred()
        self.written: list[bytes] = []
        self.failures: list[typing.Any] = []
        self.finished = 0

    def notifyFinish(self) -> defer.Deferred[None]:  # noqa: N802
        """Return what fires at the end of the request."""
        return self.ended

    def write(self, data: bytes) -> None:
        """Record a part of the body."""
        self.written.append(data)

    def finish(self) -> None:
        """Record the end of the response."""
        self.finished += 1

    def processingFailed(self, fail: typing.Any) -> None:  # noqa: N802
        """Record a response with status 500."""
        self.failures.append(fail)


def render(answer: defer.Deferred[bytes]) -> tuple[FakeRequest, list[str]]:
    """Return a request that waits for an answer, and how its wait ends."""
    ends: list[str] = []

    async def serve(req: typing.Any) -> bytes:
        try:
            return await answer
        finally:
            ends.append('ended')

    req = FakeRequest()
    page = caller_page.Page(serve)
    assert page.render(req) == server.NOT_DONE_YET
    return req, ends


def test_answer_that_comes_later_is_written() -> None:
    """Guard against a response that is never finished."""
    answer: defer.Deferred[bytes] = defer.Deferred()
    req, _ = render(answer)
    assert not req.finished
    answer.callback(b'{}')
    assert (req.written, req.finished) == ([b'{}'], 1)


def test_lost_connection_ends_the_coroutine() -> None:
    """Guard against requests that count as open for ever.

    A draining scheduler would wait for them until its time is up.
    """
    req, ends = render(defer.Deferred())
    req.ended.errback(failure.Failure(error.ConnectionLost()))
    assert ends == ['ended']
    assert (req.written, req.finished, req.failures) == ([], 0, [])


def test_error_is_answered() -> None:
    """Guard against a caller that waits for an answer after an error."""
    req, _ = render(defer.fail(KeyError('x')))
    assert len(req.failures) == 1
    assert not req.finished


@pytest.mark.parametrize(
    ('method', 'path', 'status'),
    [
        ('GET', '/q/', 200),
        ('PATCH', '/q/' + '0' * 16, 405),
        ('OPTIONS', '/q/' + '0' * 16, 405),
        ('GET', '//q/', 404),
        ('GET', '/%ff/', 404),
    ],
)  # fmt: skip
def test_odd_requests_are_answered(
    shared: deployments.Deployment, method: str, path: str, status: int
) -> None:
    """Guard against odd requests that only the former library refused."""
    front = shared.fronts['s1']
    assert http_calls.call_once(front, method, path)[0] == status


def test_other_paths_than_readiness_are_unknown(
    shared: deployments.Deployment,
) -> None:
    """Guard against a readiness check that any path passes."""
    ready = shared.find_listener('s1', 'ready')
    assert http_calls.call_once(ready, 'GET', '/-/readyz')[0] == 200
    assert http_calls.call_once(ready, 'GET', '/-/other')[0] == 404


@pytest.fixture(scope='module')
def shared(
    tmp_path_factory: pytest.TempPathFactory,
) -> typing.Iterator[deployments.Deployment]:
    """Run one scheduler that owns the jobs."""
    made = deployments.Deployment(tmp_path_factory.mktemp('d'), 1, 1)
    try:
        made.submit('a' * 16)
        yield made
    finally:
        made.close()

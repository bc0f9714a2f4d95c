"""Test that durations do not depend on the wall clock."""

import time
from unittest import mock

from twisted.internet import selectreactor

from kcr_runtime import process


def test_reactor_time_ignores_clock_corrections() -> None:
    """Guard against authority that a step of the wall clock extends."""
    reactor = selectreactor.SelectReactor()
    process.use_monotonic_clock(reactor)
    before = reactor.seconds()
    with mock.patch.object(time, 'time', autospec=True, return_value=0.0):
        assert reactor.seconds() >= before
        call = reactor.callLater(5.0, lambda: None)
        assert call.getTime() >= before + 5.0

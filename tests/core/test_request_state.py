"""Check that the outcome of a request follows from its attempts."""

import pytest

from kcr_core import outcomes
from kcr_core import request_state
from kcr_core import slots


def make_state(
    idempotent: bool, max_attempts: int = 2
) -> request_state.RequestState:
    """Return a request with at most two attempts."""
    return request_state.RequestState('c/1', idempotent, 10.0, max_attempts)


def test_lost_attempt_is_never_reported_as_not_run() -> None:
    """Guard against "not run" after an attempt that may have run."""
    state = make_state(idempotent=True)
    state.begin('a')
    step = state.lost('a', 'connection closed', 1.0)
    assert isinstance(step, request_state.Retry)
    state.begin('b')
    step = state.refused('b', 'endpoint is full', 2.0)
    assert isinstance(step, outcomes.Unknown)


def test_deadline_with_pending_attempt_is_unknown() -> None:
    """Guard against "not run" while an attempt is in flight."""
    state = make_state(idempotent=True)
    state.begin('a')
    assert isinstance(state.expired(), outcomes.Unknown)


def test_refused_attempts_are_not_run() -> None:
    """Guard against "unknown" although every endpoint refused."""
    state = make_state(idempotent=False)
    state.begin('a')
    assert isinstance(state.refused('a', 'full', 1.0), request_state.Retry)
    state.begin('b')
    assert state.refused('b', 'full', 2.0) == outcomes.NotRun('full')


def test_non_idempotent_is_not_sent_again_after_a_loss() -> None:
    """Guard against running a non-idempotent request twice."""
    state = make_state(idempotent=False)
    state.begin('a')
    assert isinstance(state.lost('a', 'closed', 1.0), outcomes.Unknown)
    with pytest.raises(AssertionError):
        state.begin('b')


def test_crossed_answer_is_ignored() -> None:
    """Guard against answering a caller with the answer to another request."""
    state = make_state(idempotent=True)
    state.begin('a')
    step = state.executed('other', 200, b'x')
    assert isinstance(step, request_state.Wait)


def test_first_full_endpoint_gives_a_retry_on_credit() -> None:
    """Guard against a burst at one endpoint that uses up the retry budget."""
    state = make_state(idempotent=True, max_attempts=4)
    found = []
    for name in ('a', 'b', 'c'):
        state.begin(name)
        step = state.refused(name, slots.FULL, 1.0)
        assert isinstance(step, request_state.Retry)
        found.append(step.on_credit)
    # Later ones show an overload, in which retries are limited.
    assert found == [True, False, False]


def test_retry_after_work_or_another_refusal_spends_the_budget() -> None:
    """Guard against retries without a limit."""
    for reason in ('deadline cannot be met', 'was not sent'):
        state = make_state(idempotent=True)
        state.begin('a')
        assert state.refused('a', reason, 1.0) == request_state.Retry(
            frozenset()
        )
    state = make_state(idempotent=True)
    state.begin('a')
    assert state.lost('a', slots.FULL, 1.0) == request_state.Retry(frozenset())

"""Check that an explanation names what was tried and why it ended."""

import dataclasses

from kcr_core import outcomes
from kcr_core import request_state
from kcr_entry.work import explanations
from kcr_entry.work import submitted_request


@dataclasses.dataclass
class Held:
    """Hold a request as its owner does."""

    submit: submitted_request.Submit
    state: request_state.RequestState
    since: float = 0.0


def make_held() -> Held:
    """Return an idempotent request without attempts."""
    body = submitted_request.Submit('1', 'c', 'web', 1.0, True, 0, b'')
    return Held(body, request_state.RequestState('c/1', True, 1.0, 3))


def test_refused_and_answered_attempts_are_told_apart() -> None:
    """Guard against an explanation that hides where a request ran."""
    held = make_held()
    held.state.begin('a')
    held.state.placed('a', 'i1')
    held.state.refused('a', 'endpoint is full', 0.1)
    held.state.begin('b')
    held.state.placed('b', 'i2')
    outcome = held.state.executed('b', 200, b'x')
    assert isinstance(outcome, outcomes.Done)
    found = explanations.describe(held, outcome, None, 5.0)
    assert found.name == 'done'
    shown = [(item.instance, item.state) for item in found.tried]
    assert shown == [('i1', 'refused'), ('i2', 'answered')]


def test_refusal_keeps_its_reason() -> None:
    """Guard against a refusal without the true reason."""
    outcome = outcomes.NotRun('no endpoint serves this now')
    found = explanations.describe(make_held(), outcome, None, 1.0)
    assert (found.name, found.reason) == ('not_run', outcome.reason)

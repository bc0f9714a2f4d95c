"""Check that an explanation shows the attempts and the reason of the end."""

import dataclasses

from kcr_core import outcomes
from kcr_core import request_state
from kcr_entry.work import explanations
from kcr_entry.work import submitted_request


@dataclasses.dataclass
class ActiveRequest:
    """Represent a request in flight."""

    submit: submitted_request.Submit
    state: request_state.RequestState
    since: float = 0.0


def make_request() -> ActiveRequest:
    """Return an idempotent request without attempts."""
    body = submitted_request.Submit('1', 'c', 'web', 1.0, True, 0, b'')
    return ActiveRequest(body, request_state.RequestState('c/1', True, 1.0, 3))


def test_refused_and_answered_attempts_are_distinguished() -> None:
    """Guard against an explanation that does not show where it ran."""
    request = make_request()
    request.state.begin('a')
    request.state.placed('a', 'i1')
    request.state.refused('a', 'endpoint is full', 0.1)
    request.state.begin('b')
    request.state.placed('b', 'i2')
    outcome = request.state.executed('b', 200, b'x')
    assert isinstance(outcome, outcomes.Done)
    explanation = explanations.describe(request, outcome, None, 5.0)
    assert explanation.name == 'done'
    shown = [(item.instance, item.state) for item in explanation.tried]
    assert shown == [('i1', 'refused'), ('i2', 'answered')]


def test_refusal_keeps_its_reason() -> None:
    """Guard against an explanation without the reason of a refusal."""
    outcome = outcomes.NotRun('no endpoint serves this now')
    explanation = explanations.describe(make_request(), outcome, None, 1.0)
    assert (explanation.name, explanation.reason) == (
        'not_run',
        outcome.reason,
    )

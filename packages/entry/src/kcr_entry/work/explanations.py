"""Explain a request: where it was tried, what came of it, and why."""

from collections import abc
import dataclasses
import itertools
import typing

from kcr_core import outcomes
from kcr_core import recent_requests
from kcr_core import request_state
from kcr_entry.work import submitted_request

# Requests in flight that a dump shows.
MAX_SHOWN = 20


class Active(typing.Protocol):
    """Describe what an explanation needs of a request in flight."""

    # The submission.
    submit: submitted_request.Submit
    # Its attempts.
    state: request_state.RequestState
    # Monotonic time of arrival.
    since: float


@dataclasses.dataclass(frozen=True, slots=True)
class Explain:
    """Ask what this entry knows of a request."""

    # Key of the request.
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Explained:
    """Answer with what is known; none when the entry does not know it."""

    # The request, or none.
    found: recent_requests.EndedRequest | None


def describe(
    active: Active,
    outcome: outcomes.Outcome | None,
    kept: outcomes.Outcome | None,
    took_ms: float,
) -> recent_requests.EndedRequest:
    """Return the description of a request; no outcome means in flight."""
    state = active.state
    tried = tuple(
        recent_requests.AttemptSummary(
            state.instances.get(attempt, ''),
            'answered' if attempt == state.answered else held.value,
        )
        for attempt, held in state.attempts.items()
    )
    name, reason = 'in flight', ''
    if isinstance(outcome, outcomes.Done):
        name = 'done'
    elif isinstance(outcome, outcomes.NotRun):
        name, reason = 'not_run', outcome.reason
    elif outcome is not None:
        name, reason = 'unknown', outcome.reason
    return recent_requests.EndedRequest(
        active.submit.digest(), kept, name, reason, tried, took_ms
    )


def list_oldest(
    held: abc.Mapping[str, Active], now: float
) -> list[dict[str, typing.Any]]:
    """Return the oldest requests in flight for the dump."""
    return [
        {
            'request': key,
            'age_s': round(now - active.since, 3),
            'attempts': {
                attempt: state.value
                for attempt, state in active.state.attempts.items()
            },
        }
        for key, active in itertools.islice(held.items(), MAX_SHOWN)
    ]

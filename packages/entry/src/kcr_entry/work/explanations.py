"""Describe requests for explanations and dumps.

An explanation lists the attempts of a request, their instances, the outcome
and its reason. The task `work/requests` builds the descriptions from its
requests in flight and its recently ended ones; the front end queries them.
"""

from collections import abc
import dataclasses
import itertools
import typing

from kcr_core import outcomes
from kcr_core import recent_requests
from kcr_core import request_state
from kcr_entry.work import submitted_request

# Maximum number of requests in flight in a dump.
MAX_LISTED_REQUESTS = 20


class ActiveRequest(typing.Protocol):
    """Define the attributes of a request in flight that are described."""

    # The submission.
    submit: submitted_request.Submit
    # The attempts and the outcome.
    state: request_state.RequestState
    # Monotonic time of arrival.
    since: float


@dataclasses.dataclass(frozen=True, slots=True)
class Explain:
    """Query the description of a request."""

    # Key of the request.
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Explained:
    """Reply with the description of a request."""

    # The description; none if the request is unknown to this entry.
    found: recent_requests.EndedRequest | None


def describe(
    active: ActiveRequest,
    outcome: outcomes.Outcome | None,
    stored: outcomes.Outcome | None,
    took_ms: float,
) -> recent_requests.EndedRequest:
    """Return the description of a request.

    `outcome` is none while the request is in flight; `stored` is the outcome
    for repeated submissions.
    """
    state = active.state
    tried = tuple(
        recent_requests.AttemptSummary(
            state.instances.get(attempt, ''),
            'answered' if attempt == state.answered else attempt_state.value,
        )
        for attempt, attempt_state in state.attempts.items()
    )
    name, reason = 'in flight', ''
    if isinstance(outcome, outcomes.Done):
        name = 'done'
    elif isinstance(outcome, outcomes.NotRun):
        name, reason = 'not_run', outcome.reason
    elif outcome is not None:
        name, reason = 'unknown', outcome.reason
    return recent_requests.EndedRequest(
        active.submit.digest(), stored, name, reason, tried, took_ms
    )


def list_oldest(
    active_requests: abc.Mapping[str, ActiveRequest], now: float
) -> list[dict[str, typing.Any]]:
    """Return the oldest requests in flight for the dump."""
    return [
        {
            'request': key,
            'age_s': round(now - active.since, 3),
            'attempts': {
                attempt: attempt_state.value
                for attempt, attempt_state in active.state.attempts.items()
            },
        }
        for key, active in itertools.islice(
            active_requests.items(), MAX_LISTED_REQUESTS
        )
    ]

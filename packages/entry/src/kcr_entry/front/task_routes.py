"""Serve the durable tasks of callers over HTTP.

The HTTP front end adds these routes. They validate the body, query the owner
of the tasks, and convert the reply to a response.
"""

from collections import abc
import typing

from twisted.web import http
from twisted.web import iweb

from kcr_core import outcomes
from kcr_core import task_outcomes
from kcr_entry import addresses
from kcr_entry.front import models
from kcr_entry.front import replies
from kcr_entry.work import submissions

# Status for a rejected task: unprocessable content.
UNPROCESSABLE = 422

SendQuery = abc.Callable[[str, typing.Any], abc.Awaitable[typing.Any]]


class TaskRoutes:
    """Convert HTTP requests about tasks to queries, and back."""

    def __init__(self, query: SendQuery, region: str) -> None:
        # Function that queries another task of the entry.
        self.query = query
        # Region of the entry; task ids are unique within a region.
        self.region = region

    def add_routes(self, app: typing.Any) -> None:
        """Add the routes to the application."""
        path = '/v1/tasks/<caller>/<name>'
        replies.add_route(app, 'POST', '/v1/tasks', self._post)
        replies.add_route(app, 'GET', path, self._get)
        replies.add_route(app, 'DELETE', path, self._delete)

    async def _post(self, req: iweb.IRequest) -> bytes:
        model = replies.read(req, models.TaskModel)
        if isinstance(model, bytes):
            return model
        if model.region not in (None, self.region):
            reason = (
                f'the task belongs to region {model.region!r}, and this '
                f'entry to {self.region!r}; send it to its region'
            )
            refused = task_outcomes.NotAccepted(reason)
            return respond_submitted(req, refused)
        body = submissions.SubmitTask(model.to_spec())
        value = await self.query(addresses.TASKS, body)
        return respond_submitted(req, value)

    async def _get(self, req: iweb.IRequest, caller: str, name: str) -> bytes:
        body = submissions.GetTask(f'{caller}/{name}')
        return respond_state(req, await self.query(addresses.TASKS, body))

    async def _delete(
        self, req: iweb.IRequest, caller: str, name: str
    ) -> bytes:
        body = submissions.CancelTask(f'{caller}/{name}')
        return respond_cancelled(req, await self.query(addresses.TASKS, body))


def respond_submitted(req: iweb.IRequest, value: typing.Any) -> bytes:
    """Respond to a submission."""
    if isinstance(value, task_outcomes.Accepted):
        body = {'outcome': 'accepted', **render(value.state)}
        return replies.respond(req, http.OK, body)
    if isinstance(value, task_outcomes.Rejected):
        body = {'outcome': 'rejected', 'reason': value.reason}
        return replies.respond(req, UNPROCESSABLE, body)
    if isinstance(value, task_outcomes.Conflict):
        reason = f'id {value.key} was used with other content; choose a new id'
        body = {'outcome': 'conflict', 'reason': reason}
        return replies.respond(req, http.CONFLICT, body)
    return _respond_refused(req, value, 'not_accepted')


def respond_state(req: iweb.IRequest, value: typing.Any) -> bytes:
    """Respond to a query for the state of a task."""
    if isinstance(value, task_outcomes.TaskState):
        return replies.respond(req, http.OK, render(value))
    if isinstance(value, task_outcomes.NoTask):
        return _respond_missing(req, value)
    return _respond_refused(req, value, 'not_ready')


def respond_cancelled(req: iweb.IRequest, value: typing.Any) -> bytes:
    """Respond to a cancellation; an ended task keeps its outcome."""
    if isinstance(value, task_outcomes.TaskState):
        cancelled = value.state == 'cancelled'
        outcome = 'cancelled' if cancelled else 'ended'
        body = {'outcome': outcome, **render(value)}
        return replies.respond(req, http.OK, body)
    if isinstance(value, task_outcomes.NoTask):
        return _respond_missing(req, value)
    return _respond_refused(req, value, 'not_cancelled')


def render(state: task_outcomes.TaskState) -> dict[str, typing.Any]:
    """Return the state of a task as JSON data."""
    home = state.home
    return {
        'task': state.key,
        'state': state.state,
        'epoch': state.epoch,
        'home': home.instance if home else None,
        'reason': state.reason,
        'moves': [
            {
                'epoch': move.epoch,
                'home': move.home.instance if move.home else None,
                'reason': move.reason,
            }
            for move in state.history
        ],
    }


def _respond_missing(req: iweb.IRequest, value: task_outcomes.NoTask) -> bytes:
    if value.certain:
        reason = f'no task {value.key} is known'
        return replies.respond(req, http.NOT_FOUND, {'error': reason})
    reason = f'{value.key} is not known here, and the log is not read'
    return replies.respond(req, http.SERVICE_UNAVAILABLE, {'error': reason})


def _respond_refused(
    req: iweb.IRequest, value: typing.Any, refused: str
) -> bytes:
    if isinstance(value, task_outcomes.Uncertain):
        body = {'outcome': 'unknown', 'reason': value.reason}
        return replies.respond(req, http.GATEWAY_TIMEOUT, body)
    assert isinstance(value, task_outcomes.NotAccepted | outcomes.NotRun)
    body = {'outcome': refused, 'reason': value.reason}
    return replies.respond(req, http.SERVICE_UNAVAILABLE, body)

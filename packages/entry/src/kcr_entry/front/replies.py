"""Read JSON bodies and write JSON responses of the HTTP front end."""

from collections import abc
import json
import typing

import pydantic
from twisted.web import iweb

from kcr_runtime import http_channel
from kcr_runtime.wire import codec

M = typing.TypeVar('M', bound=pydantic.BaseModel)


def add_route(
    app: typing.Any,
    method: str,
    path: str,
    handler: abc.Callable[..., typing.Any],
) -> None:
    """Add a route with the method and the path as its endpoint name.

    By default, klein names an endpoint after its function, so functions of
    the same name in different classes would replace each other.
    """
    name = f'{method} {path}'
    app.route(path, methods=[method], endpoint=name)(handler)


def read(req: iweb.IRequest, model: type[M]) -> M | bytes:
    """Return the validated body, or the body of an error response."""
    body = http_channel.take_body(req)
    try:
        return model.model_validate_json(body)
    except pydantic.ValidationError as exc:
        return respond(req, 400, {'error': codec.describe(exc)})


def respond(req: iweb.IRequest, status: int, value: typing.Any) -> bytes:
    """Set the status and return the body as JSON."""
    req.setResponseCode(status)
    req.setHeader(b'content-type', b'application/json')
    return json.dumps(value, default=str).encode()

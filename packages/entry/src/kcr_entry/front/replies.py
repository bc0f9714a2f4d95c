"""Read JSON bodies and write JSON responses of the HTTP front end."""

from collections import abc
import json
import typing

import pydantic
import pydantic_core
from twisted.web import iweb

from kcr_runtime import http_channel
from kcr_runtime.wire import codec

# Fields of an object above which it is not validated: each unknown field is an
# error of about 700 bytes. The models have fewer than 20.
MAX_FIELDS = 100

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
    try:
        # If JSON is validated, each missing or unknown field copies the whole
        # body: 1 MiB of empty lists was measured to take 224 MB.
        value = pydantic_core.from_json(
            http_channel.take_body(req), cache_strings=False
        )
    except ValueError as exc:
        return respond(req, 400, {'error': f'Invalid JSON: {exc}'})
    count = _count_fields(value)
    if count > MAX_FIELDS:
        return respond(req, 400, {'error': f'object of {count} fields'})
    try:
        return model.model_validate(value)
    except pydantic.ValidationError as exc:
        return respond(req, 400, {'error': codec.describe(exc)})


def _count_fields(value: typing.Any) -> int:
    """Return the most fields of the body and of the objects in it."""
    if not isinstance(value, dict):
        return 0
    items = (value, *value.values())
    return max(len(item) for item in items if isinstance(item, dict))


def respond(req: iweb.IRequest, status: int, value: typing.Any) -> bytes:
    """Set the status and return the body as JSON."""
    req.setResponseCode(status)
    req.setHeader(b'content-type', b'application/json')
    return json.dumps(value, default=str).encode()

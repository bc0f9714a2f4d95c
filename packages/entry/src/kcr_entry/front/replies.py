"""Read JSON bodies and write JSON responses."""

import json
import typing

import pydantic
from twisted.web import iweb

from kcr_core import messages
from kcr_runtime.wire import codec

M = typing.TypeVar('M', bound=pydantic.BaseModel)


def read(req: iweb.IRequest, model: type[M]) -> M | bytes:
    """Return the validated body, or the response that refuses it."""
    content = typing.cast(typing.Any, req).content
    body = content.read(messages.MAX_BODY_BYTES + 1)
    if len(body) > messages.MAX_BODY_BYTES:
        limit = messages.MAX_BODY_BYTES
        return respond(req, 413, {'error': f'body exceeds {limit} bytes'})
    try:
        return model.model_validate_json(body)
    except pydantic.ValidationError as exc:
        return respond(req, 400, {'error': codec.describe(exc)})


def respond(req: iweb.IRequest, status: int, value: typing.Any) -> bytes:
    """Set the status and return the body as JSON."""
    req.setResponseCode(status)
    req.setHeader(b'content-type', b'application/json')
    return json.dumps(value, default=str).encode()

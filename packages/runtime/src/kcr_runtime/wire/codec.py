"""Encode messages as CBOR frames, and decode and validate received frames.

The registered message classes are the schema. pydantic validates every field,
so that a decoded message can be passed to a task without further checks.
`connection` calls this for each frame; the codecs of log records use
`to_plain` and `from_plain` alone.
"""

import dataclasses
import typing

import cbor2
import pydantic

from kcr_core import message_base
from kcr_core import registry

# Number of validation errors that an exception text lists.
MAX_ERRORS = 5
# Number of errors above which none is described: each takes about 1 KB.
MAX_DESCRIBED_ERRORS = 1000
# Length of the text of an error of a library.
MAX_ERROR_CHARS = 200
# What the CBOR library raises for bytes that other writers may send: besides
# its own errors, those of unusual keys, numbers, lengths and nesting.
DECODE_ERRORS = (
    cbor2.CBORDecodeError, ValueError, TypeError, OverflowError, KeyError,
    AttributeError, RecursionError, MemoryError,
)  # fmt: skip
# What it raises for values without an encoding, such as lone surrogates.
ENCODE_ERRORS = (
    cbor2.CBOREncodeError, ValueError, TypeError, OverflowError,
    RecursionError,
)  # fmt: skip


class BadFrame(Exception):
    """Signal that a frame or plain data is not a valid message."""


# Validator and field names by data class, created on first use.
_ADAPTERS: dict[type[typing.Any], pydantic.TypeAdapter[typing.Any]] = {}
_NAMES: dict[type[typing.Any], tuple[str, ...]] = {}


def _adapter(cls: type[typing.Any]) -> pydantic.TypeAdapter[typing.Any]:
    if cls not in _ADAPTERS:
        _ADAPTERS[cls] = pydantic.TypeAdapter(cls)
    return _ADAPTERS[cls]


def _field_names(cls: type[typing.Any]) -> tuple[str, ...]:
    if cls not in _NAMES:
        fields = dataclasses.fields(cls)
        _NAMES[cls] = tuple(field.name for field in fields)
    return _NAMES[cls]


def _plain(value: typing.Any) -> typing.Any:
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return {
            name: _plain(getattr(value, name))
            for name in _field_names(type(value))
        }
    if isinstance(value, (tuple, list)):
        return [_plain(item) for item in value]
    return value


def to_plain(value: typing.Any) -> typing.Any:
    """Return an instance of a data class as nested dicts and lists."""
    return _plain(value)


def from_plain(cls: type[typing.Any], value: typing.Any) -> typing.Any:
    """Return plain data as an instance of `cls`.

    Raise BadFrame, with the names of the wrong fields, if it is invalid.
    """
    if isinstance(value, dict):
        unknown = set(value) - set(_field_names(cls))
        if unknown:
            names = sorted(map(_shorten, unknown))[:MAX_ERRORS]
            raise BadFrame(f'unknown fields: {names}')
    try:
        return _adapter(cls).validate_python(value)
    except pydantic.ValidationError as exc:
        raise BadFrame(describe(exc)) from exc
    except RecursionError as exc:
        raise BadFrame('value is nested too deeply') from exc


def describe(exc: pydantic.ValidationError) -> str:
    """Return a text with field, cause and value of the first errors."""
    if exc.error_count() > MAX_DESCRIBED_ERRORS:
        return f'{exc.error_count()} errors'
    parts = []
    for error in exc.errors(include_url=False)[:MAX_ERRORS]:
        path = '.'.join(str(item) for item in error['loc'])
        value = _shorten(error.get('input'))
        parts.append(f'{path}: {error["msg"]} (value {value})')
    return '; '.join(parts)


def _shorten(value: typing.Any) -> str:
    try:
        return repr(value)[:80]
    except (ValueError, RecursionError):
        # An integer of thousands of digits, or very deep nesting.
        return f'of type {type(value).__name__}'


def encode(msg: message_base.Message) -> bytes:
    """Return a message as one frame; raise BadFrame if it is too large."""
    try:
        frame = cbor2.dumps([message_base.TAGS[type(msg)], _plain(msg)])
    except ENCODE_ERRORS as exc:
        raise BadFrame(
            f'message has no encoding: {type(exc).__name__}'
        ) from exc
    if len(frame) > message_base.MAX_FRAME_BYTES:
        raise BadFrame(
            f'frame of {len(frame)} bytes exceeds '
            f'{message_base.MAX_FRAME_BYTES} bytes'
        )
    return frame


def decode(frame: bytes) -> message_base.Message:
    """Return the validated message of a frame; raise BadFrame if invalid."""
    try:
        parts = cbor2.loads(frame)
    except DECODE_ERRORS as exc:
        text = f'{type(exc).__name__}: {exc}'[:MAX_ERROR_CHARS]
        raise BadFrame(f'frame is not valid CBOR: {text}') from exc
    if not isinstance(parts, list) or len(parts) != 2:
        raise BadFrame('frame must be a pair of tag and fields')
    tag, fields = parts
    if not isinstance(tag, str):
        raise BadFrame('tag must be a text')
    try:
        cls = message_base.MESSAGES.get(tag)
    except registry.UnknownName as exc:
        raise BadFrame(f'unknown message tag {tag[:40]!r}') from exc
    return from_plain(cls, fields)

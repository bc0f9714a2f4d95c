"""Define the registry of messages, and those that every role exchanges.

The classes are plain data; the runtime's codec validates and encodes them.
A name in the registry is the message's tag on the wire. Roles import only the
messages that they speak: each data class costs a millisecond at the start.
"""

from collections import abc
import dataclasses
import typing

import annotated_types

from kcr_core import registry
from kcr_core import types

# Version of the protocol; both ends must have the same.
PROTOCOL_VERSION = 1
# Largest body of a request or an answer, in bytes.
MAX_BODY_BYTES = 1024 * 1024
# Largest frame: a body and its headers, in bytes.
MAX_FRAME_BYTES = MAX_BODY_BYTES + 64 * 1024

Body = typing.Annotated[bytes, annotated_types.MaxLen(MAX_BODY_BYTES)]
Reason = typing.Annotated[str, annotated_types.MaxLen(512)]

MESSAGES: registry.Registry[type[typing.Any]] = registry.Registry('message')
T = typing.TypeVar('T')


def message(name: str) -> abc.Callable[[type[T]], type[T]]:
    """Register a message class under its tag on the wire."""

    def decorate(cls: type[T]) -> type[T]:
        MESSAGES.register(name)(cls)
        TAGS[cls] = name
        return cls

    return decorate


# Tag of each message class.
TAGS: dict[type[typing.Any], str] = {}


@message('hello')
@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """Open a connection; the first frame of both sides."""

    # Protocol version of the sender.
    version: types.Count
    # Role of the sender, such as `entry`.
    role: types.Id
    # Name of the process from its settings.
    process: types.Id
    # Incarnation of the process.
    incarnation: types.Id
    # Where the process runs.
    place: types.Place
    # Address `host:port` where the process accepts; empty for none.
    address: str = ''
    # Document revision of the sender; 0 for none.
    revision: types.Count = 0


@message('goodbye')
@dataclasses.dataclass(frozen=True, slots=True)
class Goodbye:
    """Close a connection and say why."""

    # Why the connection is closed.
    reason: Reason


Message = typing.Any

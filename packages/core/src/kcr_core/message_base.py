"""Define the registry of messages and the messages that all roles exchange.

The classes are plain data; the runtime's codec validates and encodes them.
A name in the registry is the message's tag on the wire, and the names of the
fields are keys on the wire. Each role imports only the messages that it
exchanges, because each data class adds a millisecond to the start.
"""

from collections import abc
import dataclasses
import typing

import annotated_types

from kcr_core import registry
from kcr_core import types

# Version of the protocol; both ends of a connection must use the same.
PROTOCOL_VERSION = 1
# Maximum size of the body of a request or an answer.
MAX_BODY_BYTES = 1024 * 1024
# Maximum size of a frame: a body and its headers.
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


# Tag of each message class on the wire.
TAGS: dict[type[typing.Any], str] = {}


@message('hello')
@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """Open a connection; the first frame from each side."""

    # Protocol version of the sender.
    version: types.Count
    # Role of the sender, such as `entry`.
    role: types.Id
    # Name of the process from its settings.
    process: types.Id
    # Incarnation of the process.
    incarnation: types.Id
    # Location of the process.
    place: types.Place
    # Address `host:port` at which the process accepts connections; empty if it
    # accepts none.
    address: str = ''
    # Document revision that the sender follows; 0 for none.
    revision: types.Count = 0


@message('goodbye')
@dataclasses.dataclass(frozen=True, slots=True)
class Goodbye:
    """Close a connection."""

    # Reason for closing, for the log of the receiver.
    reason: Reason


Message = typing.Any

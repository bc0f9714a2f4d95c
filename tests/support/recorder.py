"""Record the messages that tasks send, in place of the receiving tasks."""

import typing

from twisted.internet import defer


class Recorder:
    """Record the messages that are posted to an address."""

    def __init__(self) -> None:
        self.got: list[typing.Any] = []

    def begin(self) -> None:
        """Do nothing."""

    def end(self) -> defer.Deferred[None]:
        """Do nothing."""
        return defer.succeed(None)

    def post(self, msg: typing.Any) -> bool:
        """Record a message."""
        self.got.append(msg)
        return True

    def dump(self) -> dict[str, typing.Any]:
        """Return nothing."""
        return {}

    def take(self, cls: type[typing.Any]) -> list[typing.Any]:
        """Return and remove the recorded messages of one class."""
        found = [msg for msg in self.got if isinstance(msg, cls)]
        self.got = [msg for msg in self.got if not isinstance(msg, cls)]
        return found

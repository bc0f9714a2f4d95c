"""Record the messages that tasks send, in place of the receiving tasks."""

import typing

from twisted.internet import defer


class Recorder:
    """Record the messages that are posted to an address."""

    def __init__(self) -> None:
        self.recorded: list[typing.Any] = []

    def begin(self) -> None:
        """Do nothing."""

    def end(self) -> defer.Deferred[None]:
        """Do nothing."""
        return defer.succeed(None)

    def post(self, msg: typing.Any) -> bool:
        """Record a message."""
        self.recorded.append(msg)
        return True

    def dump(self) -> dict[str, typing.Any]:
        """Return nothing."""
        return {}

    def pop_all(self, cls: type[typing.Any]) -> list[typing.Any]:
        """Return and remove the recorded messages of one class."""
        found = [msg for msg in self.recorded if isinstance(msg, cls)]
        self.recorded = [
            msg for msg in self.recorded if not isinstance(msg, cls)
        ]
        return found

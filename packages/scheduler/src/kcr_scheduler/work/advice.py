"""Define the interface to the advice service that the owner task uses.

The service decides which runners may run a step. A platform registers its
client; the setting `advice` selects it.
"""

from collections import abc
import dataclasses
import typing

from twisted.internet import defer

from kcr_core import registry
from kcr_runtime import task


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """Store the tickets of the runners that may run a step."""

    # Tickets by runner id.
    tickets: dict[str, str]
    # Validity of the tickets; 0 if the service does not say it.
    valid_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """Report that the service answered a request without tickets."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """Report that the service did not answer, or had no room.

    It may still work on a request that it did not answer.
    """

    reason: str


Result = Granted | Failed | Unavailable


class Adviser(typing.Protocol):
    """Define a client of the advice service."""

    def advise(
        self, step: str, runner_ids: abc.Sequence[str], timeout_s: float
    ) -> defer.Deferred[Result]:
        """Request the tickets of the runners that may run a step."""


# Factories of clients, by kind of adviser; each takes the context of the
# process.
ADVISERS: registry.Registry[typing.Any] = registry.Registry('adviser')


@ADVISERS.register('none')
class NoAdviser:
    """Implement the client for a deployment without advice."""

    def __init__(self, ctx: task.Context) -> None:
        pass

    def advise(
        self, step: str, runner_ids: abc.Sequence[str], timeout_s: float
    ) -> defer.Deferred[Result]:
        """Return a failure, as no adviser is configured."""
        return defer.succeed(Unavailable('no adviser is configured'))

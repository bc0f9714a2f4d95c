"""Define the interface to a runner that the control task uses.

A platform registers its client of a runner and its server for heartbeats; the
setting `runner` selects them.
"""

import dataclasses
import typing

from twisted.internet import defer

from kcr_core import registry
from kcr_jobs import types


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """Report that the runner has carried out the order."""

    # Clock of the runner, in milliseconds.
    clock_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Report that the runner has not carried out the order and will not.

    This holds for the order that got the answer. An earlier one for the same
    attempt that got none may still be carried out, unless `forbids` is set.
    """

    reason: str
    # Whether the runner rejects each order to start the attempt from now on,
    # as it has seen a higher token or the attempt has ended there.
    forbids: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class NoAnswer:
    """Report that the runner may carry out the order, now or later."""

    # Why there is no answer.
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent(NoAnswer):
    """Report that the runner has certainly not received the order."""


@dataclasses.dataclass(frozen=True, slots=True)
class RunList:
    """Store what is running and what has ended on a runner."""

    # Start of the runner's incarnation, Unix time in milliseconds; 0 if the
    # runner does not report it.
    born_ms: int
    # Clock of the runner, in milliseconds.
    clock_ms: int
    # The running tasks.
    running: tuple[types.ReportedRun, ...]
    # Ended runs after the cursor, the oldest first.
    ended: tuple[types.ReportedEnd, ...]
    # Whether more runs may have ended than the list contains.
    truncated: bool = False


OrderResult = Done | Refused | NoAnswer


class RunnerClient(typing.Protocol):
    """Define a client of a runner; its calls never raise.

    `info` names the incarnation of the runner that a call is meant for. A
    call takes no effect on another one: an order is refused, and an extension
    of the lease returns a list that shows only the other's `born_ms`.
    """

    def start(
        self,
        info: types.RunnerInfo,
        token: int,
        task: str,
        attempt: int,
        payload: str,
        deadline_ms: int,
        saved: str,
        ticket: str,
    ) -> defer.Deferred[OrderResult]:
        """Start an attempt; repeating it has no further effect."""

    def stop(
        self, info: types.RunnerInfo, token: int, task: str, attempt: int
    ) -> defer.Deferred[OrderResult]:
        """Stop an attempt, or forbid its start if it has not started."""

    def throttle(
        self,
        info: types.RunnerInfo,
        token: int,
        task: str,
        attempt: int,
        percent: int,
    ) -> defer.Deferred[OrderResult]:
        """Set the share of its processors that a run may use."""

    def extend_lease(
        self,
        info: types.RunnerInfo,
        token: int,
        cursor: int,
        deadline_ms: int | None,
        wait_ms: int,
    ) -> defer.Deferred[RunList | Refused | NoAnswer]:
        """Extend the lease and list runs; wait for the end of a run."""

    def identify(self, info: types.RunnerInfo) -> defer.Deferred[bool | None]:
        """Return whether the runner has the id of `info`; none if unknown."""


# Factories of clients, by kind of runner; each takes the context of the
# process.
RUNNERS: registry.Registry[typing.Any] = registry.Registry('runner')
# Tasks that receive the heartbeats, by kind of runner.
HEARTBEAT_SERVERS: registry.Registry[typing.Any] = registry.Registry(
    'runner front'
)

"""Define what an agent asks of its runner."""

import dataclasses
import typing

from twisted.internet import defer

from kcr_core import registry
from kcr_jobs import types


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """State that the runner has carried out the order."""

    # Clock of the runner, in milliseconds.
    clock_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """State that the runner has done nothing and will do nothing."""

    # Why.
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class NoAnswer:
    """State that the order may be carried out, now or later."""

    # Why there is no answer.
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class RunList:
    """Hold what runs and what has ended on a runner."""

    # Start of this life, Unix time in milliseconds; 0 if it is not said.
    born_ms: int
    # Clock of the runner, in milliseconds.
    clock_ms: int
    # Runs.
    running: tuple[types.RunRow, ...]
    # Ends after the cursor, the oldest first.
    ended: tuple[types.EndRow, ...]


Outcome = Done | Refused | NoAnswer


class RunnerClient(typing.Protocol):
    """Describe a client of a runner; a call never fails."""

    def start(
        self,
        runner_id: str,
        token: int,
        task: str,
        attempt: int,
        payload: str,
        deadline_ms: int,
        saved: str,
        ticket: str,
    ) -> defer.Deferred[Outcome]:
        """Start an attempt; repeating it has no further effect."""

    def stop(
        self, runner_id: str, token: int, task: str, attempt: int
    ) -> defer.Deferred[Outcome]:
        """Stop an attempt, or forbid it if it is not there yet."""

    def throttle(
        self, runner_id: str, token: int, task: str, attempt: int, percent: int
    ) -> defer.Deferred[Outcome]:
        """Set the share at which a run works."""

    def extend_lease(
        self,
        runner_id: str,
        token: int,
        cursor: int,
        deadline_ms: int | None,
        wait_ms: int,
    ) -> defer.Deferred[RunList | Refused | NoAnswer]:
        """Prolong the lease and list; wait for an end."""


# Makes the client of a kind of runner from the context of a process.
RUNNERS: registry.Registry[typing.Any] = registry.Registry('runner')
# Tasks that take the heartbeats, by kind of runner.
HEARTBEAT_SERVERS: registry.Registry[typing.Any] = registry.Registry(
    'runner front'
)

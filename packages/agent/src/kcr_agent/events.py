"""Define the messages between the tasks of an agent process."""

import dataclasses

from kcr_jobs import types


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerHeartbeat:
    """Report a heartbeat of the runner."""

    # Self-description of the runner in the heartbeat.
    info: types.RunnerInfo
    # Number of the heartbeat in the incarnation of the runner.
    seq: int


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerLeft:
    """Report that the runner has deregistered itself."""

    runner_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerSessionChanged:
    """Report which session leads to the owner of the jobs."""

    # Address of the session task; empty if there is no such session.
    session: str


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerSilent:
    """Report that the owner does not grant or extend the lease in time."""

    # Address of the session task that leads to the owner.
    session: str


class Drain:
    """Request the agent to end."""

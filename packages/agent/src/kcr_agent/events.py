"""Define the messages between the tasks of an agent process."""

import dataclasses

from kcr_jobs import types


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerHeartbeat:
    """Tell what the runner says of itself."""

    # Its heartbeat.
    info: types.RunnerInfo
    # Number of the heartbeat in its life.
    seq: int


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerLeft:
    """Tell that the runner has taken its leave."""

    # Id of the runner.
    runner_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerSessionChanged:
    """Tell where the owner of the jobs is."""

    # Session task; empty for nowhere.
    session: str


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerSilent:
    """Tell that the owner does not confirm reports."""

    # Session task.
    session: str


class Drain:
    """Ask the agent to end."""

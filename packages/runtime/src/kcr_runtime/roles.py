"""Register the roles that the daemon can run.

A role's package registers its options, root supervisor and drain task when it
is imported. The daemon imports only the package of the requested role.
"""

from collections import abc
import dataclasses
import typing

from kcr_core import registry
from kcr_runtime import settings
from kcr_runtime import supervisor
from kcr_runtime import task


@dataclasses.dataclass(frozen=True, slots=True)
class Role:
    """Define how one role is configured, built and drained."""

    # Class of the settings.
    options: type[settings.Options]
    # Returns the root supervisor for a context and an address.
    root: abc.Callable[[task.Context, str], supervisor.Supervisor]
    # Address of the task that receives the message of `drain`.
    drain_task: str
    # Returns the message that starts a graceful shutdown.
    drain: abc.Callable[[], typing.Any]
    # Reloads settings after SIGHUP; None if they cannot change.
    reload: abc.Callable[[task.Context], None] | None = None


ROLES: registry.Registry[Role] = registry.Registry('role')

"""Supervise the task that watches the configuration."""

from collections import abc

from kcr_runtime import supervisor
from kcr_scheduler.config import watch


class Configuration(supervisor.Supervisor):
    """Supervise the task that watches the configuration."""

    def children(self) -> abc.Sequence[supervisor.ChildSpec]:
        """Return the task that watches the configuration."""
        return (supervisor.ChildSpec('watch', watch.Watch),)

"""Supervise the tasks that own the document in force and its followers."""

from collections import abc

from kcr_entry.configuration import in_force
from kcr_entry.configuration import processes
from kcr_runtime import supervisor


class Configuration(supervisor.Supervisor):
    """Run the owner of the document and the task that tracks followers."""

    def children(self) -> abc.Sequence[supervisor.ChildSpec]:
        """Return the tasks of the configuration part."""
        return (
            supervisor.ChildSpec('processes', processes.Processes),
            supervisor.ChildSpec('in_force', in_force.InForce),
        )

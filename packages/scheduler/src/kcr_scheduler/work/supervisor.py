"""Supervise the owner of the jobs and the calls to it."""

from collections import abc

from kcr_runtime import supervisor
from kcr_scheduler.work import calls
from kcr_scheduler.work import owner


class Work(supervisor.Supervisor):
    """Supervise the owner of the jobs and the calls to it."""

    def children(self) -> abc.Sequence[supervisor.ChildSpec]:
        """Return the owner task and the calls task."""
        return (
            supervisor.ChildSpec('calls', calls.Calls),
            supervisor.ChildSpec('owner', owner.Owner),
        )

"""Supervise the tasks that own requests, claims, durable tasks and fences."""

from collections import abc

from kcr_entry.work import claims
from kcr_entry.work import fences
from kcr_entry.work import requests
from kcr_entry.work import tasks
from kcr_runtime import supervisor


class Work(supervisor.Supervisor):
    """Start the tasks of the work part and restart them when they fail."""

    def children(self) -> abc.Sequence[supervisor.ChildSpec]:
        """Return the tasks of the work part."""
        return (
            supervisor.ChildSpec('claims', claims.Claims),
            supervisor.ChildSpec('requests', requests.Requests),
            supervisor.ChildSpec('tasks', tasks.Tasks),
            supervisor.ChildSpec('fences', fences.Fences),
        )

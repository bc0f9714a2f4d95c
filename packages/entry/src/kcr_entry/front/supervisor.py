"""Supervise the HTTP front end of an entry."""

from collections import abc

from kcr_entry.front import http
from kcr_runtime import supervisor


class Front(supervisor.Supervisor):
    """Run the HTTP server."""

    def children(self) -> abc.Sequence[supervisor.ChildSpec]:
        """Return the tasks of the front end."""
        return (supervisor.ChildSpec('http', http.Http),)

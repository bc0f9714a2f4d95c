"""Supervise the search for the owner and the connections."""

from collections import abc

from kcr_agent.links import link
from kcr_runtime import supervisor


class Sessions(supervisor.Supervisor):
    """Supervise one session per scheduler."""

    isolated = True


class Links(supervisor.Supervisor):
    """Supervise the search for the owner and the connections."""

    strategy = supervisor.Strategy.REST_FOR_ONE

    def children(self) -> abc.Sequence[supervisor.ChildSpec]:
        """Return the tasks of the links."""
        return (
            supervisor.ChildSpec('sessions', Sessions),
            supervisor.ChildSpec('link', link.Link),
        )

"""Supervise the connections of a sidecar to the entries."""

from collections import abc

from kcr_runtime import supervisor
from kcr_sidecar.links import announcer
from kcr_sidecar.links import control
from kcr_sidecar.links import routes


class Sessions(supervisor.Supervisor):
    """Hold one session per entry."""

    def children(self) -> abc.Sequence[supervisor.ChildSpec]:
        """Return a session for each entry of the settings."""
        return [
            routes.make_spec(target)
            for target in dict.fromkeys(self.ctx.cfg.entries)
        ]


class Links(supervisor.Supervisor):
    """Run the announcer and the sessions to the entries.

    The announcer knows only the sessions that were opened in its life, so the
    sessions are restarted after it.
    """

    strategy = supervisor.Strategy.REST_FOR_ONE

    def children(self) -> abc.Sequence[supervisor.ChildSpec]:
        """Return the tasks of the links part."""
        return (
            supervisor.ChildSpec('announcer', announcer.Announcer),
            supervisor.ChildSpec('control', control.Control),
            supervisor.ChildSpec('sessions', Sessions),
        )

"""Supervise the connections of a sidecar to the entries."""

from collections import abc

from kcr_runtime import supervisor
from kcr_sidecar.links import announcer
from kcr_sidecar.links import control
from kcr_sidecar.links import routes


class Sessions(supervisor.Supervisor):
    """Run one session per entry."""

    isolated = True

    def children(self) -> abc.Sequence[supervisor.ChildSpec]:
        """Return the spec of a session for each entry of the options."""
        return [
            routes.make_spec(target)
            for target in dict.fromkeys(self.ctx.cfg.entries)
        ]


class Links(supervisor.Supervisor):
    """Run the announcer and the sessions to the entries.

    The announcer is informed of a session only when it opens, so the sessions
    are restarted whenever the announcer is.
    """

    strategy = supervisor.Strategy.REST_FOR_ONE

    def children(self) -> abc.Sequence[supervisor.ChildSpec]:
        """Return the specs of the tasks, in the order of dependency."""
        return (
            supervisor.ChildSpec('announcer', announcer.Announcer),
            supervisor.ChildSpec('control', control.Control),
            supervisor.ChildSpec('sessions', Sessions),
        )

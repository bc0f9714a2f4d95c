"""Supervise the control of the runner and the server for its heartbeats."""

from collections import abc

from kcr_agent.runner import client
from kcr_agent.runner import control
from kcr_runtime import supervisor


class Runner(supervisor.Supervisor):
    """Supervise the control task and the server for heartbeats."""

    def children(self) -> abc.Sequence[supervisor.ChildSpec]:
        """Return the tasks of the runner part."""
        front = client.HEARTBEAT_SERVERS.get(self.ctx.cfg.runner)
        return (
            supervisor.ChildSpec('control', control.Control),
            supervisor.ChildSpec('front', front),
        )

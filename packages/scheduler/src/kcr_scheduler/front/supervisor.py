"""Supervise the front end that the settings select."""

from collections import abc

from kcr_core import registry
from kcr_runtime import supervisor

# Tasks that serve the requests of callers, by kind of front end.
FRONTS: registry.Registry[supervisor.Factory] = registry.Registry('front end')


class Front(supervisor.Supervisor):
    """Supervise the front end."""

    def children(self) -> abc.Sequence[supervisor.ChildSpec]:
        """Return the front end that the settings select."""
        kind = FRONTS.get(self.ctx.cfg.front)
        return (supervisor.ChildSpec('http', kind),)

"""Supervise the parts of an agent."""

from collections import abc

from kcr_agent.links import supervisor as links
from kcr_agent.runner import supervisor as runner
from kcr_runtime import metrics_page
from kcr_runtime import supervisor


class Root(supervisor.Supervisor):
    """Supervise the parts of an agent."""

    def children(self) -> abc.Sequence[supervisor.ChildSpec]:
        """Return the parts of an agent."""
        return (
            supervisor.ChildSpec('runner', runner.Runner),
            supervisor.ChildSpec('links', links.Links),
            supervisor.ChildSpec('metrics', metrics_page.MetricsPage),
        )

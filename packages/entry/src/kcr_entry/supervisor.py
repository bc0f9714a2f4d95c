"""Supervise the parts of an entry; the daemon starts it as the root."""

from collections import abc

from kcr_entry.configuration import supervisor as configuration
from kcr_entry.fleet import supervisor as fleet
from kcr_entry.front import supervisor as front
from kcr_entry.log import supervisor as log
from kcr_entry.work import supervisor as work
from kcr_runtime import metrics_page
from kcr_runtime import supervisor


class Root(supervisor.Supervisor):
    """Start the parts of an entry in the order of their dependencies."""

    def children(self) -> abc.Sequence[supervisor.ChildSpec]:
        """Return the parts of an entry."""
        return (
            supervisor.ChildSpec('log', log.Log),
            supervisor.ChildSpec('configuration', configuration.Configuration),
            supervisor.ChildSpec('work', work.Work),
            supervisor.ChildSpec('fleet', fleet.Fleet),
            supervisor.ChildSpec('front', front.Front),
            supervisor.ChildSpec('metrics', metrics_page.MetricsPage),
        )

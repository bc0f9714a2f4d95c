"""Supervise the parts of a scheduler."""

from collections import abc

from kcr_runtime import metrics_page
from kcr_runtime import supervisor
from kcr_scheduler.config import supervisor as config
from kcr_scheduler.fleet import supervisor as fleet
from kcr_scheduler.front import supervisor as front
from kcr_scheduler.work import supervisor as work


class Root(supervisor.Supervisor):
    """Supervise the parts of a scheduler, in the order of dependencies."""

    def children(self) -> abc.Sequence[supervisor.ChildSpec]:
        """Return the parts of a scheduler."""
        return (
            supervisor.ChildSpec('front', front.Front),
            supervisor.ChildSpec('work', work.Work),
            supervisor.ChildSpec('fleet', fleet.Fleet),
            supervisor.ChildSpec('config', config.Configuration),
            supervisor.ChildSpec('metrics', metrics_page.MetricsPage),
        )

"""Supervise the parts of a sidecar."""

from collections import abc

from kcr_runtime import metrics_page
from kcr_runtime import supervisor
from kcr_sidecar.capacity import supervisor as capacity
from kcr_sidecar.links import supervisor as links
from kcr_sidecar.platform import supervisor as platform


class Root(supervisor.Supervisor):
    """Start the parts of a sidecar in the order of dependency."""

    strategy = supervisor.Strategy.REST_FOR_ONE

    def children(self) -> abc.Sequence[supervisor.ChildSpec]:
        """Return the specs of the parts."""
        return (
            supervisor.ChildSpec('platform', platform.Platform),
            supervisor.ChildSpec('capacity', capacity.Capacity),
            supervisor.ChildSpec('links', links.Links),
            supervisor.ChildSpec('metrics', metrics_page.MetricsPage),
        )

"""Supervise the adapters to the runner and the worker."""

from collections import abc

from kcr_runtime import supervisor
from kcr_sidecar.platform import runner
from kcr_sidecar.platform import worker


class Platform(supervisor.Supervisor):
    """Run one task per service of the platform."""

    def children(self) -> abc.Sequence[supervisor.ChildSpec]:
        """Return the adapters."""
        return (
            supervisor.ChildSpec('runner', runner.Runner),
            supervisor.ChildSpec('worker', worker.Worker),
        )

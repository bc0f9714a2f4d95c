"""Supervise the adapters of the runner and the worker."""

from collections import abc

from kcr_runtime import supervisor
from kcr_sidecar.platform import runner
from kcr_sidecar.platform import worker


class Platform(supervisor.Supervisor):
    """Run one adapter per service of the platform."""

    def children(self) -> abc.Sequence[supervisor.ChildSpec]:
        """Return the specs of the adapters."""
        return (
            supervisor.ChildSpec('runner', runner.Runner),
            supervisor.ChildSpec('worker', worker.Worker),
        )

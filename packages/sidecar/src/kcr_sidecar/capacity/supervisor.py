"""Supervise the tasks that own the slots and the task resources."""

from collections import abc

from kcr_runtime import supervisor
from kcr_sidecar.capacity import admission
from kcr_sidecar.capacity import interference
from kcr_sidecar.capacity import shutdown
from kcr_sidecar.capacity import task_control


class Capacity(supervisor.Supervisor):
    """Run the tasks that own the slots and the task resources."""

    def children(self) -> abc.Sequence[supervisor.ChildSpec]:
        """Return the specs of the tasks."""
        return (
            supervisor.ChildSpec('shutdown', shutdown.Shutdown),
            supervisor.ChildSpec('admission', admission.Admission),
            supervisor.ChildSpec('task_control', task_control.TaskControl),
            supervisor.ChildSpec('interference', interference.Interference),
        )

"""Register the scheduler role with the daemon."""

from kcr_runtime import roles
from kcr_scheduler import addresses
from kcr_scheduler import events
from kcr_scheduler import settings
from kcr_scheduler import supervisor

roles.ROLES.register('scheduler')(
    roles.Role(
        options=settings.SchedulerOptions,
        root=supervisor.Root,
        drain_task=addresses.FRONT,
        drain=events.Drain,
    )
)

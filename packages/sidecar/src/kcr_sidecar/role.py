"""Register the sidecar role with the daemon."""

from kcr_runtime import roles
from kcr_sidecar import addresses
from kcr_sidecar.capacity import shutdown
from kcr_sidecar import settings
from kcr_sidecar import supervisor

roles.ROLES.register('sidecar')(
    roles.Role(
        options=settings.SidecarOptions,
        root=supervisor.Root,
        drain_task=addresses.SHUTDOWN,
        drain=shutdown.Drain,
    )
)

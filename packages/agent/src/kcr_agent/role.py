"""Register the agent role with the daemon."""

from kcr_agent import addresses
from kcr_agent import events
from kcr_agent import settings
from kcr_agent import supervisor
from kcr_runtime import roles

roles.ROLES.register('agent')(
    roles.Role(
        options=settings.AgentOptions,
        root=supervisor.Root,
        drain_task=addresses.CONTROL,
        drain=events.Drain,
    )
)

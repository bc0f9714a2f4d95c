"""Register the entry role, which the daemon loads by its name."""

from kcr_entry.front import http
from kcr_entry import settings
from kcr_entry import supervisor
from kcr_runtime import roles

roles.ROLES.register('entry')(
    roles.Role(
        options=settings.EntryOptions,
        root=supervisor.Root,
        drain_task='front/http',
        drain=http.Drain,
    )
)

"""Define the options of an entry, which the daemon reads at start."""

import pydantic

from kcr_runtime import settings


class EntryOptions(settings.Options):
    """Define the options of the entry process."""

    listen: settings.Address = pydantic.Field(
        description='IP:PORT for sidecars and other entries'
    )
    http: settings.Address = pydantic.Field(
        description='IP:PORT for callers, operators and the load balancer'
    )
    peers: list[settings.Address] = pydantic.Field(
        default_factory=list,
        description='IP:PORT of other entries to connect to',
        max_length=64,
    )
    log: settings.Address = pydantic.Field(
        description='IP:PORT of the log service'
    )
    log_retention_s: float = pydantic.Field(
        7200.0,
        description='time for which the log keeps a record, in seconds; at '
        'least twice the dedupe window',
        ge=60.0,
    )
    max_connections: int = pydantic.Field(
        4096, description='connections accepted at the same time', ge=1
    )

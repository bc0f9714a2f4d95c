"""Define the options of the sidecar role, which the daemon validates."""

import pydantic

from kcr_core import types
from kcr_runtime import settings


class SidecarOptions(settings.Options):
    """Represent the options of a sidecar process."""

    instance: str = pydantic.Field(
        description='name of the instance', min_length=1, max_length=64
    )
    service: str = pydantic.Field(
        description='service that the runner serves',
        min_length=1,
        max_length=64,
    )
    entries: list[settings.Address] = pydantic.Field(
        description='IP:PORT of the entries of the region',
        min_length=1,
        max_length=64,
    )
    runner: settings.Address = pydantic.Field(
        description='IP:PORT of the runner'
    )
    worker: settings.Address = pydantic.Field(
        description='IP:PORT of the worker of the platform'
    )
    slots: int = pydantic.Field(8, description='slots of the runner', ge=1)
    connections: int = pydantic.Field(
        64, description='connections of the runner', ge=1
    )
    processors: float = pydantic.Field(
        16.0, description='cores for tasks', ge=0
    )
    memory_mb: float = pydantic.Field(
        60_000.0, description='MiB of memory for tasks', ge=0
    )
    accelerators: int = pydantic.Field(
        0, description='accelerators for tasks', ge=0
    )

    def capacity(self) -> types.Capacity:
        """Return the capacity of the instance."""
        return types.Capacity(
            slots=self.slots,
            connections=self.connections,
            resources=types.Demand(
                self.processors, self.memory_mb, self.accelerators
            ),
        )

"""Define the settings of a scheduler process."""

import pydantic

from kcr_runtime import settings


class SchedulerOptions(settings.Options):
    """Store the settings of a scheduler."""

    listen: settings.Address = pydantic.Field(
        description='address for agents and other schedulers'
    )
    advertise: str = pydantic.Field(
        '', description='address that others dial; empty for `listen`'
    )
    http: settings.Address = pydantic.Field(description='address for callers')
    ready: settings.Address = pydantic.Field(
        description='address for readiness checks'
    )
    store: str = pydantic.Field(description='kind of store')
    store_address: settings.Address = pydantic.Field(
        description='address of the store'
    )
    max_record_bytes: int = pydantic.Field(
        262_144, description='largest record that the store takes', ge=4096
    )
    max_call_bytes: int = pydantic.Field(
        2_097_152, description='largest append that the store takes', ge=8192
    )
    keep_s: float = pydantic.Field(
        300.0,
        description='time for which the store keeps records, in seconds',
        gt=0,
        allow_inf_nan=False,
    )
    advice: str = pydantic.Field('none', description='kind of adviser')
    advice_address: str = pydantic.Field(
        '', description='address of the adviser; empty for none'
    )
    front: str = pydantic.Field(description='kind of front end')
    config: str = pydantic.Field(description='kind of configuration')
    seeds: list[settings.Address] = pydantic.Field(
        [], description='addresses of other schedulers; may be stale'
    )
    lease_s: float = pydantic.Field(
        6.0, description='longest lease of a runner, in seconds', gt=0.5
    )
    remote_factor: float = pydantic.Field(
        1.0,
        description='run time of a task away from its rack, as a multiple',
        ge=1,
        allow_inf_nan=False,
    )
    cores: float = pydantic.Field(
        1.0, description='cores of the instance; more make a better owner'
    )
    link_mbps: float = pydantic.Field(
        1000.0,
        description='link of the instance in Mbit/s; sizes transfers',
        gt=0,
        allow_inf_nan=False,
    )
    memory_mb: float = pydantic.Field(
        1024.0,
        description='memory of the instance in MiB; more makes a better owner',
        gt=0,
        allow_inf_nan=False,
    )
    zone_regions: list[str] = pydantic.Field(
        [], description='region of each zone, as ZONE=REGION'
    )
    cold_overrun: float = pydantic.Field(
        1.5, description='factor of the starts of a cold runner', ge=0
    )
    cold_slack: float = pydantic.Field(
        5.0, description='starts of a cold runner beyond its rate', ge=0
    )
    grace_s: float = pydantic.Field(
        6.0, description='time between SIGTERM and SIGKILL, in seconds', gt=0
    )
    overload: bool = pydantic.Field(
        False,
        description='refuse jobs that would end too late, and share scarce '
        'capacity between queues',
    )
    preempt: bool = pydantic.Field(
        False, description='with `overload`, stop tasks for urgent ones'
    )
    move_stragglers: bool = pydantic.Field(
        False,
        description='move tasks off runners that are slow without saying so',
    )
    max_connections: int = pydantic.Field(
        2000, description='connections accepted at the same time', ge=1
    )

    @property
    def address(self) -> str:
        """Return the address that others dial."""
        return self.advertise or self.listen

"""Define the settings of an agent process."""

import pydantic

from kcr_runtime import settings


class AgentOptions(settings.Options):
    """Store the settings of an agent."""

    listen: settings.Address = pydantic.Field(
        description='address for the heartbeats of the runner'
    )
    runner: str = pydantic.Field(description='kind of runner')
    runner_address: settings.Address = pydantic.Field(
        description='address of the runner'
    )
    service: str = pydantic.Field(
        '',
        description='service of the runner; empty to learn it from the first'
        ' heartbeat',
    )
    lease_s: float = pydantic.Field(
        6.0, description='longest lease of a runner, in seconds', gt=0.5
    )
    grace_s: float = pydantic.Field(
        6.0, description='time between SIGTERM and SIGKILL, in seconds', gt=0
    )
    store: str = pydantic.Field(description='kind of store')
    store_address: settings.Address = pydantic.Field(
        description='address of the store'
    )
    link_mbps: float = pydantic.Field(
        1000.0,
        description='link of the instance in Mbit/s; sizes transfers',
        gt=0,
        allow_inf_nan=False,
    )
    seeds: list[settings.Address] = pydantic.Field(
        [], description='addresses of schedulers; may be stale'
    )

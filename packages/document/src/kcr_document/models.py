"""Define the models of a document: unit, default, range and help of fields.

The JSON Schema for editors and the texts of problems are generated from them.
"""

import typing

import pydantic


def number(
    default: typing.Any,
    unit: str,
    low: float,
    high: float,
    description: str,
) -> typing.Any:
    """Return a numeric field with default, unit, range and help text."""
    return pydantic.Field(
        default,
        ge=low,
        le=high,
        description=description,
        json_schema_extra={'unit': unit},
    )


def items(description: str, low: int, high: int) -> typing.Any:
    """Return a list field with bounds on its length; optional if low is 0."""
    if low:
        return pydantic.Field(
            ..., min_length=low, max_length=high, description=description
        )
    return pydantic.Field(
        default_factory=list, max_length=high, description=description
    )


Name = typing.Annotated[
    str,
    pydantic.StringConstraints(
        min_length=1, max_length=64, pattern=r'^[A-Za-z0-9][A-Za-z0-9._-]*$'
    ),
]


class Section(pydantic.BaseModel):
    """Reject unknown fields and values of another type."""

    model_config = pydantic.ConfigDict(
        extra='forbid', strict=True, frozen=True, allow_inf_nan=False
    )


class Environment(Section):
    """Identify the environment that a document applies to."""

    name: Name = pydantic.Field(description='name of the environment')
    kind: typing.Literal['trial', 'production'] = pydantic.Field(
        description='trial, or production, to which trials are promoted'
    )


class Service(Section):
    """Describe a latency-critical service."""

    name: Name = pydantic.Field(description='name of the service')
    p99_ms: float = number(
        100.0, 'ms', 1, 60_000, 'target for the p99 of the service time'
    )
    deadline_ms: int = number(
        1000, 'ms', 1, 300_000, 'deadline of a request that has none'
    )
    max_deadline_ms: int = number(
        30_000, 'ms', 1, 300_000, 'longest deadline that is accepted'
    )


class Kind(Section):
    """Describe a kind of batch work."""

    name: Name = pydantic.Field(description='name of the kind')
    processors: float = number(1.0, 'cores', 0, 1024, 'declared cores')
    memory_mb: float = number(1024.0, 'MiB', 0, 16_000_000, 'declared memory')
    accelerators: int = number(0, 'devices', 0, 64, 'declared accelerators')


class Size(Section):
    """Describe the capacity of instances of one size."""

    name: Name = pydantic.Field(description='name of the size')
    slots: int = number(8, 'requests', 1, 4096, 'requests served concurrently')
    connections: int = number(
        64, 'connections', 1, 65_536, 'connections that the runner accepts'
    )
    processors: float = number(16.0, 'cores', 0, 1024, 'cores for tasks')
    memory_mb: float = number(
        60_000.0, 'MiB', 0, 16_000_000, 'memory for tasks'
    )
    accelerators: int = number(0, 'devices', 0, 64, 'accelerators for tasks')


class Instance(Section):
    """Describe one instance and its failure domains."""

    name: Name = pydantic.Field(description='name of the instance')
    region: Name = pydantic.Field(description='region of the instance')
    zone: Name = pydantic.Field(description='availability zone')
    rack: Name = pydantic.Field(description='rack inside the zone')
    size: Name = pydantic.Field(description='name of a size')
    drained: bool = pydantic.Field(
        False, description='whether the instance is taken out of use'
    )


class Team(Section):
    """Define the quotas of a team."""

    name: Name = pydantic.Field(description='name of the team')
    processors: float = number(
        0.0, 'cores', 0, 10_000_000, 'cores that its tasks may reserve'
    )
    memory_mb: float = number(
        0.0, 'MiB', 0, 1e11, 'memory that its tasks may reserve'
    )
    accelerators: int = number(
        0, 'devices', 0, 1_000_000, 'accelerators that its tasks may reserve'
    )


class Weights(Section):
    """Set the weight of each objective."""

    tail_latency: float = number(1.0, '1', 0, 100, 'weight of tail latency')
    throughput: float = number(1.0, '1', 0, 100, 'weight of throughput')
    evictions: float = number(1.0, '1', 0, 100, 'weight of avoiding evictions')


class Limits(Section):
    """Limit automatic actions."""

    evictions_per_minute: float = number(
        2.0, '1/min', 0, 600, 'evictions that one instance may make'
    )
    unknown_size_factor: float = number(
        2.0, '1', 1, 10, 'factor on declared sizes that were never measured'
    )


class Times(Section):
    """Set leases, heartbeat intervals and timeouts."""

    heartbeat_s: float = number(
        1.0, 's', 0.1, 60, 'interval between heartbeats of a sidecar'
    )
    failure_timeout_s: float = number(
        5.0,
        's',
        0.5,
        300,
        'time without heartbeats after which a sidecar may be fenced',
    )
    isolation_s: float = number(
        10.0,
        's',
        1,
        600,
        'time that tasks keep running without renewal of the authority',
    )
    outage_s: float = number(
        3600.0,
        's',
        10,
        86_400,
        'time that tasks keep running while the log is unavailable',
    )
    task_lease_s: float = number(
        5.0, 's', 0.5, 300, 'lease of a task at the worker'
    )
    allowance_s: float = number(
        2.0,
        's',
        0.1,
        60,
        'allowance for clock errors and delays in each wait',
    )
    dedupe_s: float = number(
        600.0,
        's',
        10,
        86_400,
        'time that request IDs are kept to detect repeats',
    )
    drain_s: float = number(
        30.0, 's', 1, 60, 'longest graceful shutdown of a process'
    )


class Retries(Section):
    """Limit retries and hedges of requests."""

    max_attempts: int = number(
        3, 'attempts', 1, 10, 'attempts that one request may use'
    )
    budget: float = number(
        0.1, '1', 0, 1, 'share of requests that may be retried or hedged'
    )
    hedge_s: float = number(
        0.0, 's', 0, 60, 'minimum delay before a request is hedged'
    )
    hedge_quantile: float = number(
        0.95,
        '1',
        0,
        0.999,
        'latency quantile after which a request is hedged; '
        '0 here and in hedge_s disables hedging',
    )


class Policies(Section):
    """Select policies by their registered names."""

    endpoint: str = pydantic.Field(
        'least_cost', description='endpoint choice policy', max_length=64
    )
    placement: str = pydantic.Field(
        'spread', description='placement policy', max_length=64
    )
    interference: str = pydantic.Field(
        'pairwise', description='interference policy', max_length=64
    )


class Document(Section):
    """Define the whole configuration of one environment."""

    environment: Environment = pydantic.Field(
        description='environment that the document applies to'
    )
    services: list[Service] = items('latency-critical services', 1, 200)
    kinds: list[Kind] = items('kinds of batch work', 0, 1000)
    sizes: list[Size] = items('sizes of instances', 1, 200)
    instances: list[Instance] = items('instances', 1, 10_000)
    teams: list[Team] = items('teams with quotas', 0, 1000)
    weights: Weights = pydantic.Field(
        default_factory=Weights, description='weights of the objectives'
    )
    limits: Limits = pydantic.Field(
        default_factory=Limits, description='limits of automatic actions'
    )
    times: Times = pydantic.Field(
        default_factory=Times,
        description='leases, heartbeat intervals and timeouts',
    )
    retries: Retries = pydantic.Field(
        default_factory=Retries, description='retry budget and hedging'
    )
    policies: Policies = pydantic.Field(
        default_factory=Policies, description='policies by name'
    )

"""Define the data classes that all roles and decisions share.

Messages and records contain them, so their fields are names on the wire and
in the log. Units: seconds as float, milliseconds where a name ends in `_ms`,
memory in mebibytes, processors in cores.
"""

import dataclasses
import typing

import annotated_types

# Identifiers come from callers and settings, so their length is bounded.
Id = typing.Annotated[
    str, annotated_types.MinLen(1), annotated_types.MaxLen(128)
]
# Numbers from outside are finite and fit into 64 bits, so that arithmetic and
# encoding can't fail. A comparison with a bound also rejects NaN.
MAX_INT = 2**63 - 1
MAX_FLOAT = 1e15
Int = typing.Annotated[
    int, annotated_types.Ge(-MAX_INT), annotated_types.Le(MAX_INT)
]
Count = typing.Annotated[
    int, annotated_types.Ge(0), annotated_types.Le(MAX_INT)
]
Number = typing.Annotated[
    float, annotated_types.Ge(-MAX_FLOAT), annotated_types.Le(MAX_FLOAT)
]
Seconds = typing.Annotated[
    float, annotated_types.Ge(0.0), annotated_types.Le(MAX_FLOAT)
]
Quantity = typing.Annotated[
    float, annotated_types.Ge(0.0), annotated_types.Le(MAX_FLOAT)
]


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Locate an instance in its failure domains."""

    # Region of the instance.
    region: Id
    # Availability zone inside the region.
    zone: Id
    # Rack inside the zone.
    rack: Id
    # Name of the instance, unique in its deployment.
    instance: Id


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Represent an amount of resources, such as the demand of a task."""

    # Cores.
    processors: Quantity = 0.0
    # Mebibytes of memory.
    memory_mb: Quantity = 0.0
    # Whole accelerators.
    accelerators: Count = 0

    def plus(self, other: 'Demand') -> 'Demand':
        """Return the sum of two amounts."""
        return Demand(
            self.processors + other.processors,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: 'Demand') -> 'Demand':
        """Return the difference, with each quantity at least zero."""
        return Demand(
            max(0.0, self.processors - other.processors),
            max(0.0, self.memory_mb - other.memory_mb),
            max(0, self.accelerators - other.accelerators),
        )

    def scaled(self, factor: float) -> 'Demand':
        """Return the amount times `factor`, with the same accelerators."""
        return Demand(
            self.processors * factor,
            self.memory_mb * factor,
            self.accelerators,
        )

    def elementwise_max(self, other: 'Demand') -> 'Demand':
        """Return the larger quantity of each resource."""
        return Demand(
            max(self.processors, other.processors),
            max(self.memory_mb, other.memory_mb),
            max(self.accelerators, other.accelerators),
        )

    def fits(self, capacity: 'Demand') -> bool:
        """Return whether this demand fits into `capacity`."""
        return (
            self.processors <= capacity.processors
            and self.memory_mb <= capacity.memory_mb
            and self.accelerators <= capacity.accelerators
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """Describe the total capacity of one instance."""

    # Number of requests that the runner serves at the same time.
    slots: Count
    # Number of connections that the runner accepts.
    connections: Count
    # Resources for tasks, without those of the service itself.
    resources: Demand


@dataclasses.dataclass(frozen=True, slots=True)
class TaskSpec:
    """Describe a durable task as its caller submitted it."""

    # Id chosen by the caller, unique per caller.
    task_id: Id
    # Caller that submitted it.
    caller: Id
    # Team against whose quota it counts.
    team: Id
    # Kind of work; sizes and interference are learned per kind.
    kind: Id
    # Declared resources; often far from the actual use.
    demand: Demand
    # Whether it precedes all batch work.
    urgent: bool = False
    # Whether it may run again if its outcome is unknown.
    restartable: bool = True
    # Declared run time in seconds; 0 for a task without an end.
    run_s: Seconds = 0.0
    # Job whose tasks are spread over failure domains; empty for none.
    job: str = ''
    # Opaque payload for the worker.
    payload: str = ''

    @property
    def key(self) -> str:
        """Return the key, which is unique across callers."""
        return f'{self.caller}/{self.task_id}'


@dataclasses.dataclass(frozen=True, slots=True)
class Home:
    """Identify the home of a task: the sidecar assigned to run it.

    Only this incarnation of the sidecar may start the task.
    """

    # Instance of the sidecar.
    instance: Id
    # Incarnation of the sidecar process.
    incarnation: Id
    # Epoch of its controller lease, which orders the incarnations of an
    # instance; 0 if unknown.
    controller_epoch: Count = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RunningTask:
    """Identify one epoch of a task that a worker runs."""

    # Key of the task, `caller/task_id`.
    task: str
    # Epoch under which it was started.
    epoch: Count


@dataclasses.dataclass(frozen=True, slots=True)
class Weights:
    """Store the weights of the three goals of an environment."""

    # Weight of the tail latency of services.
    tail_latency: Quantity = 1.0
    # Weight of batch throughput.
    throughput: Quantity = 1.0
    # Weight of avoided evictions.
    evictions: Quantity = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class ControlSettings:
    """Store the settings of the document that all daemons follow."""

    # Time between heartbeats of a sidecar.
    heartbeat_s: Seconds = 1.0
    # Time without a message after which an entry may fence a sidecar.
    failure_timeout_s: Seconds = 5.0
    # Time for which a sidecar runs tasks without a renewal of its authority.
    isolation_s: Seconds = 10.0
    # Maximum time for which tasks keep running in an outage of the log.
    outage_s: Seconds = 3600.0
    # Duration of the lease of a task at the worker.
    task_lease_s: Seconds = 5.0
    # Allowance for clock drift and delays, added to every wait.
    allowance_s: Seconds = 2.0
    # Time for which a repeat of a non-idempotent request is detected.
    dedupe_s: Seconds = 600.0
    # Maximum duration of a graceful shutdown.
    drain_s: Seconds = 30.0
    # Maximum number of attempts of one request.
    max_attempts: Count = 3
    # Maximum share of requests that are retried or hedged.
    retry_budget: Quantity = 0.1
    # Minimum delay before an idempotent request is hedged; with 0, only the
    # quantile below counts.
    hedge_s: Seconds = 0.0
    # Quantile of recent latency after which a request is hedged; 0 for none.
    hedge_quantile: typing.Annotated[
        float, annotated_types.Ge(0.0), annotated_types.Lt(1.0)
    ] = 0.95
    # Name of the endpoint choice policy.
    endpoint_policy: Id = 'least_cost'
    # Name of the placement policy.
    placement_policy: Id = 'spread'
    # Name of the interference policy.
    interference_policy: Id = 'pairwise'
    # Factor on the declared demand of a kind that was never measured.
    unknown_size_factor: Quantity = 2.0
    # Target of the p99 latency of the service on an instance with tasks.
    service_p99_ms: Quantity = 100.0
    # Maximum number of evictions on one instance per minute.
    evictions_per_minute: Quantity = 2.0
    # Weights of the three goals.
    weights: Weights = Weights()
    # Names of the instances that the operator drains.
    drained: tuple[str, ...] = ()

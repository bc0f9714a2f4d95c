"""Define the data classes that all roles and decisions share.

Units: seconds as float, milliseconds where a name ends in `_ms`, memory in
mebibytes, processors in cores.
"""

import dataclasses
import typing

import annotated_types

# Identifiers come from callers and settings, so their length is bounded.
Id = typing.Annotated[
    str, annotated_types.MinLen(1), annotated_types.MaxLen(128)
]
Count = typing.Annotated[int, annotated_types.Ge(0)]
Seconds = typing.Annotated[float, annotated_types.Ge(0.0)]
Quantity = typing.Annotated[float, annotated_types.Ge(0.0)]


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
    """Measure the resources that a task declares, reserves or uses."""

    # Cores.
    processors: Quantity = 0.0
    # Mebibytes of memory.
    memory_mb: Quantity = 0.0
    # Whole accelerators.
    accelerators: Count = 0

    def plus(self, other: 'Demand') -> 'Demand':
        """Return the sum of two demands."""
        return Demand(
            self.processors + other.processors,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: 'Demand') -> 'Demand':
        """Return the difference, with no quantity below zero."""
        return Demand(
            max(0.0, self.processors - other.processors),
            max(0.0, self.memory_mb - other.memory_mb),
            max(0, self.accelerators - other.accelerators),
        )

    def scaled(self, factor: float) -> 'Demand':
        """Return the demand times `factor`; accelerators stay whole."""
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

    def fits(self, room: 'Demand') -> bool:
        """Tell whether this demand fits into `room`."""
        return (
            self.processors <= room.processors
            and self.memory_mb <= room.memory_mb
            and self.accelerators <= room.accelerators
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """State what one instance offers in all."""

    # Requests that the runner serves at the same time.
    slots: Count
    # Connections that the runner accepts.
    connections: Count
    # Resources for tasks, after what the service itself is given.
    resources: Demand


@dataclasses.dataclass(frozen=True, slots=True)
class TaskSpec:
    """Describe a durable task as its caller submitted it."""

    # Id chosen by the caller, unique per caller.
    task_id: Id
    # Who submitted it.
    caller: Id
    # Team whose quota it counts against.
    team: Id
    # Kind of work; sizes and interference are learnt per kind.
    kind: Id
    # Declared resources; often far off.
    demand: Demand
    # Whether it goes before all batch work.
    urgent: bool = False
    # Whether it may run again when its end is not known.
    restartable: bool = True
    # Declared run time in seconds; 0 for a task that runs on.
    run_s: Seconds = 0.0
    # Name of the job it belongs to, for spreading; empty for none.
    job: str = ''
    # Opaque payload that the worker is given.
    payload: str = ''

    @property
    def key(self) -> str:
        """Return the name that is unique across callers."""
        return f'{self.caller}/{self.task_id}'


@dataclasses.dataclass(frozen=True, slots=True)
class Home:
    """Name the sidecar incarnation that may start a task."""

    # Instance of the sidecar.
    instance: Id
    # Incarnation of the sidecar process.
    incarnation: Id
    # Epoch of its controller lease, which orders the incarnations of an
    # instance; 0 when not known.
    controller_epoch: Count = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RunningTask:
    """Name one epoch of a task that a worker runs."""

    # Key of the task, `caller/task_id`.
    task: str
    # Epoch under which it was started.
    epoch: Count


@dataclasses.dataclass(frozen=True, slots=True)
class Weights:
    """Weigh the three measures of an environment against each other."""

    # Weight of the tail latency of services.
    tail_latency: Quantity = 1.0
    # Weight of batch throughput.
    throughput: Quantity = 1.0
    # Weight of avoided evictions.
    evictions: Quantity = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class ControlSettings:
    """Carry the part of the document that every daemon follows."""

    # Time between heartbeats of a sidecar.
    heartbeat_s: Seconds = 1.0
    # Silence after which an entry may fence a sidecar.
    failure_timeout_s: Seconds = 5.0
    # Time that a sidecar runs tasks without a vouch.
    isolation_s: Seconds = 10.0
    # Time that tasks run on in an outage of the log.
    outage_s: Seconds = 3600.0
    # Lease of a task at the worker.
    task_lease_s: Seconds = 5.0
    # Allowance for clock rate and delays, added to every wait.
    allowance_s: Seconds = 2.0
    # Time for which the id of a non-idempotent request is remembered.
    dedupe_s: Seconds = 600.0
    # Upper bound of a graceful shutdown.
    drain_s: Seconds = 30.0
    # Attempts that one request may use.
    max_attempts: Count = 3
    # Share of requests that may be retried or hedged.
    retry_budget: Quantity = 0.1
    # Delay before an idempotent request is hedged; 0 turns hedging off.
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
    # Factor on the declared size of a kind that was never measured.
    unknown_size_factor: Quantity = 2.0
    # Target for the p99 of the service beside the tasks.
    service_p99_ms: Quantity = 100.0
    # Evictions that one instance may make per minute.
    evictions_per_minute: Quantity = 2.0
    # Weights of the three measures.
    weights: Weights = Weights()
    # Instances that the operator takes out of use.
    drained: tuple[str, ...] = ()

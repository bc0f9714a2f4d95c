"""Hold what the owner knows of each runner: lease, room and health."""

import dataclasses

from kcr_jobs import job_table
from kcr_jobs import types

# Weight of the newest end in the failure rate of a runner.
FAILURE_WEIGHT = 0.25
# Failure rate from which a runner gets only one task at a time; sound
# runners of the users fail one run in twenty.
SUSPECT_FAILURE_RATE = 0.55
# Failure rate of the other runners up to which the cause is looked for in
# the runner; jobs that fail everywhere raise the rate of all.
MAX_USUAL_FAILURE_RATE = 0.3
# Time after which a suspect runner is tried again, in seconds.
PROBE_INTERVAL_S = 2.0
# Slowest clock of a runner against the owner's, as a factor.
CLOCK_FACTOR = 1.03
# Time that a lease is counted longer for messages under way, in seconds.
LEASE_MARGIN_S = 0.3


@dataclasses.dataclass(slots=True, eq=False)
class RunnerState:
    """Hold one instance with its runner."""

    # Name of the instance.
    name: str
    # What the runner says of itself; none before it has attached.
    info: types.RunnerInfo | None = None
    # Session task that leads to its agent; empty while it is away.
    session: str = ''
    # Fencing token of the lease.
    token: int = 0
    # Whether the agent has sent its complete lists under this lease.
    reconciled: bool = False
    # Time by which everything that runs there has lapsed unless prolonged.
    expires_at: float = 0.0
    # Tasks that may run there.
    tasks: dict[str, job_table.Task] = dataclasses.field(default_factory=dict)
    # Runs that belong to no known task; their size is not known.
    unknown_runs: int = 0
    # Number of the last order of the lease.
    last_order: int = 0
    # Last end that was taken into the records, and last that is durable.
    recorded_end: int = 0
    durable_end: int = 0
    # Number of the last report that was confirmed.
    acked_seq: int = 0
    # Time of the last report.
    reported_at: float = 0.0
    # Rate of failed runs, newest first weighted.
    failure_rate: float = 0.0
    # Time of the last start there.
    last_start_at: float = 0.0
    # Time since which it is draining.
    draining_since: float | None = None

    def reserved(self) -> types.Demand:
        """Return what its tasks reserve; fillers reserve memory only."""
        cpu = mem = gpu = 0
        for task in self.tasks.values():
            demand = task.spec.demand
            cpu += 0 if task.spec.fills else demand.cpu
            mem += demand.mem_mb
            gpu += demand.gpu
        return types.Demand(cpu, mem, gpu)

    def is_schedulable(self) -> bool:
        """Tell whether tasks may be started there."""
        return (
            bool(self.session)
            and self.reconciled
            and self.info is not None
            and not self.info.draining
            and not self.unknown_runs
        )

    def record_end(self, how: str) -> None:
        """Take an end into the failure rate."""
        if how in ('done', 'failed'):
            failed = 1.0 if how == 'failed' else 0.0
            self.failure_rate += FAILURE_WEIGHT * (failed - self.failure_rate)

    def extend_lease(self, expires_at: float) -> None:
        """Note that a lease until a time was granted."""
        self.expires_at = max(self.expires_at, expires_at)


def infer_expiry(now: float, lease_s: float) -> float:
    """Return the time by which a lease granted now has surely lapsed."""
    return now + lease_s * CLOCK_FACTOR + LEASE_MARGIN_S


def find_suspects(usable: list[RunnerState]) -> set[RunnerState]:
    """Return the nodes that fail far more of their runs than the others."""
    rates = sorted(runner.failure_rate for runner in usable)
    if rates[len(rates) // 2] > MAX_USUAL_FAILURE_RATE:
        return set()
    return {
        runner
        for runner in usable
        if runner.failure_rate >= SUSPECT_FAILURE_RATE
    }

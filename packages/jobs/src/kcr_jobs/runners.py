"""Define the owner's state of each runner: lease, tasks and failure rate.

The controller keeps one RunnerState for each instance; placement and planning
read it to choose runners for tasks.
"""

import dataclasses
import math

from kcr_jobs import cold_runners
from kcr_jobs import job_table
from kcr_jobs import report_parts
from kcr_jobs import types

# Weight of the newest run in the failure rate of a runner.
FAILURE_WEIGHT = 0.25
# Failure rate from which a runner is suspect and gets few starts; the users'
# healthy runners fail one run in twenty.
SUSPECT_FAILURE_RATE = 0.55
# Time after a failed run in which the failure rate of its runner does not
# decay, in seconds, so that probes of a runner that still fails keep it
# suspect. A run that fails late prolongs it by its length, up to the maximum.
FAILURE_HOLD_S = 3.0
MAX_FAILURE_HOLD_S = 6.0
# Time in which the failure rate halves after that, in seconds. A runner that
# has no run to end would be suspect for good otherwise.
FAILURE_HALF_LIFE_S = 4.0
# Median failure rate of all runners up to which a runner can be suspect.
# Above it the jobs are the cause, as they fail on every runner.
MAX_USUAL_FAILURE_RATE = 0.3
# Time between starts on a suspect runner, in seconds.
PROBE_INTERVAL_S = 2.0


@dataclasses.dataclass(slots=True, eq=False)
class RunnerState:
    """Store the state of one instance and its runner."""

    # Name of the instance.
    name: str
    # Self-description of the runner; none before it has attached.
    info: types.RunnerInfo | None = None
    # Address of the session task of its agent; empty while the agent is
    # unreachable.
    session: str = ''
    # Fencing token of the lease; 0 for none.
    token: int = 0
    # Whether a complete report was compared with `tasks` under this lease.
    reconciled: bool = False
    # Time by which the lease has expired, and the runner has ended all its
    # runs, unless the lease is extended.
    expires_at: float = 0.0
    # Tasks that may be running there, by name.
    tasks: dict[str, job_table.Task] = dataclasses.field(default_factory=dict)
    # Number of reported runs of unknown tasks; their demand is unknown.
    unknown_runs: int = 0
    # Number of the last start order under the lease.
    last_order: int = 0
    # Number of the last ended run in the records, and of the last one whose
    # record is durable.
    recorded_end: int = 0
    durable_end: int = 0
    # Parts of a complete list of running tasks that have arrived.
    parts: report_parts.Joiner = dataclasses.field(
        default_factory=report_parts.Joiner
    )
    # Number of the last report that was confirmed.
    acked_seq: int = 0
    # Time of the last report.
    reported_at: float = 0.0
    # Moving average of failed runs, from 0 to 1, when the last run ended, and
    # the time from which it decays (see infer_failure_rate).
    failure_rate: float = 0.0
    failure_rate_held_until: float = -math.inf
    # Time of the last start order.
    last_start_at: float = 0.0
    # Whether most of its recent runs lag behind their kinds (see stragglers).
    slow: bool = False
    # Time since which it has been draining; none if it is not.
    draining_since: float | None = None
    # Whether the last report shows a deregistration that no heartbeat has
    # refuted.
    deregistered: bool = False
    # Time until which it is slow after its start, and the starts that it may
    # get until then.
    cold_until: float = -math.inf
    cold_budget: cold_runners.StartBudget = dataclasses.field(
        default_factory=lambda: cold_runners.StartBudget(0.0)
    )

    def reserved(self) -> types.Demand:
        """Return what its tasks reserve; fillers reserve no processors."""
        cpu = mem = gpu = 0
        for task in self.tasks.values():
            demand = task.spec.demand
            cpu += 0 if task.spec.fills else demand.cpu
            mem += demand.mem_mb
            gpu += demand.gpu
        return types.Demand(cpu, mem, gpu)

    def is_schedulable(self) -> bool:
        """Return whether tasks may be started there."""
        return (
            bool(self.session)
            and self.reconciled
            and self.info is not None
            and not self.is_leaving()
            and not self.unknown_runs
        )

    def is_leaving(self) -> bool:
        """Return whether it takes no new tasks, as it has or may have left."""
        return self.deregistered or (
            self.info is not None and self.info.draining
        )

    def record_end(self, how: str, now: float, run_s: float = 0.0) -> None:
        """Update the failure rate with the outcome of a run."""
        if how not in ('done', 'failed'):
            return
        rate = self.infer_failure_rate(now)
        held_until = max(now, self.failure_rate_held_until)
        failed = 0.0
        if how == 'failed':
            failed = 1.0
            hold_s = min(FAILURE_HOLD_S + run_s, MAX_FAILURE_HOLD_S)
            held_until = max(held_until, now + hold_s)
        self.failure_rate = rate + FAILURE_WEIGHT * (failed - rate)
        self.failure_rate_held_until = held_until

    def infer_failure_rate(self, now: float) -> float:
        """Return the failure rate, which decays without failed runs."""
        idle_s = max(0.0, now - self.failure_rate_held_until)
        return self.failure_rate * float(0.5 ** (idle_s / FAILURE_HALF_LIFE_S))

    def extend_lease(self, expires_at: float) -> None:
        """Extend the lease until a time."""
        self.expires_at = max(self.expires_at, expires_at)


def find_suspects(usable: list[RunnerState], now: float) -> set[RunnerState]:
    """Return the runners that fail far more of their runs than the others."""
    rates = {runner: runner.infer_failure_rate(now) for runner in usable}
    if sorted(rates.values())[len(rates) // 2] > MAX_USUAL_FAILURE_RATE:
        return set()
    return {r for r, rate in rates.items() if rate >= SUSPECT_FAILURE_RATE}

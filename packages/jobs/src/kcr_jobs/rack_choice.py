"""Decide how long a wait for a place in a rack pays.

`locality` makes a RackChoice for each step of a plan that prefers a rack, and
asks the policy for each task that could start elsewhere now.
"""

from collections import abc
import dataclasses

from kcr_core import registry
from kcr_jobs import durations
from kcr_jobs import job_table
from kcr_jobs import ordering
from kcr_jobs import placement
from kcr_jobs import rack_forecast
from kcr_jobs import step_choice

# Registered policy in force.
POLICY_NAME = 'expected'
# Longest wait of a job of which no task runs, in seconds; the users allow 3 s
# where there is capacity, of which plans and orders take a part.
MAX_IDLE_WAIT_S = 2.0
# Longest wait of a task, as a multiple of the wait that was expected when it
# began to wait, and its lower bound in seconds. Ends are reported up to half a
# second later; a task that leaves earlier gives its place to a later one.
WAIT_LIMIT_FACTOR = 2.0
MIN_WAIT_LIMIT_S = 0.6
# Part of the time that is left to a job, beyond the run in the rack, that it
# may wait: it stays in time if the wait takes twice as long as expected.
SLACK_SHARE = 0.5


@dataclasses.dataclass(slots=True, eq=False)
class RackChoice:
    """Store the rack that a step prefers in one plan."""

    # Label of the rack.
    rack: str
    # Expected ends in the rack.
    forecast: rack_forecast.RackForecast
    # Indexes of its runners on which the tasks may run if there is capacity.
    usable: set[int]
    # Expected run time of a task there and elsewhere, in seconds.
    local_s: float
    remote_s: float
    # Longest wait that the slack of the job allows, in seconds.
    slack_s: float
    # Whether no task of the job runs.
    idle: bool
    # Best runners in the rack; none before the first task.
    local: step_choice.StepChoice | None = None

    def find_limit(self, task: job_table.Task, now: float) -> float:
        """Return the time at which a place must be free for a wait to pay.

        It is not later than now if the task has waited for as long as was
        expected when it began to wait.
        """
        limit = now + min(self.remote_s - self.local_s, self.slack_s)
        wait = task.rack_wait
        if wait is not None and now >= wait.until:
            return now
        if self.idle:
            began = now if wait is None else wait.since
            limit = min(limit, began + MAX_IDLE_WAIT_S)
        return limit

    def find_wait_limit(self, free_at: float, now: float) -> float:
        """Return the time until which a task waits that begins to wait."""
        wait_s = max(MIN_WAIT_LIMIT_S, WAIT_LIMIT_FACTOR * (free_at - now))
        return now + min(wait_s, self.remote_s - self.local_s)


# Decide for a task whether it waits: the time at which a place is free, or
# none if it goes elsewhere. The number of tasks is above 1 for a gang.
Policy = abc.Callable[[RackChoice, job_table.Task, int, float], float | None]
POLICIES: registry.Registry[Policy] = registry.Registry('wait for a rack')


@POLICIES.register('expected')
def wait_as_expected(
    choice: RackChoice, task: job_table.Task, count: int, now: float
) -> float | None:
    """Wait while the place is expected early enough, and book it."""
    limit = choice.find_limit(task, now)
    if limit <= now:
        return None
    free_at = choice.forecast.book(
        task, choice.usable, count, choice.local_s, limit
    )
    # A place that is free now was refused for another reason.
    return None if free_at is None or free_at <= now else free_at


def infer_slack_s(
    task: job_table.Task,
    model: durations.Durations,
    factor: float,
    now: float,
) -> float:
    """Return the longest wait that the target time of a job allows.

    A job that would be in time elsewhere must not become late by a wait. One
    that would be late there loses nothing.
    """
    job, queue = task.job, task.job.spec.queue
    run_s = model.expected_s(task)
    target_s = max(
        ordering.infer_target_s(job),
        queue.slack_factor * model.chain_s(job) + queue.target_ms / 1000.0,
    )
    rest_s = model.chain_after_s(job, task.step)
    left_s = job.accepted_at + target_s - now - rest_s
    if left_s < factor * run_s:
        return factor * run_s
    return SLACK_SHARE * (left_s - run_s)


def find_usable(
    task: job_table.Task, candidates: list[placement.Candidate]
) -> set[int]:
    """Return the indexes of candidates that lack nothing but capacity.

    What would still reject the task if the runner had no other tasks does not
    change when they end.
    """
    usable = set()
    for index, candidate in enumerate(candidates):
        assert candidate.runner.info is not None
        total = candidate.runner.info.capacity
        empty = dataclasses.replace(
            candidate, cpu=total.cpu, mem_mb=total.mem_mb, gpu=total.gpu,
            spare_cpu=float(total.cpu),
        )  # fmt: skip
        reason = placement.find_rejection_reason(task, empty)
        if not reason and task.spec.fills:
            pressure = candidate.infer_pressure(task)
            reason = placement.find_filler_rejection_reason(
                task, empty, pressure
            )
        if not reason:
            usable.add(index)
    return usable


def count_slots(
    task: job_table.Task, candidates: abc.Iterable[placement.Candidate]
) -> int:
    """Return for how many tasks of a step candidates have capacity now."""
    return sum(
        rack_forecast.measure_free(c).count_slots(task)
        for c in candidates
        if placement.fits(task, c)
    )

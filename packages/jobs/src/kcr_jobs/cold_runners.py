"""Decide what is started on runners that are slow after their start.

A cold runner gets a limited rate of starts. Urgent and narrow work goes to
warm runners while one of them has free capacity; if none has, a cold one takes
it only where no other task of the job is on a warm runner, as the job would
else wait for its task on the cold one.
"""

from collections import abc
import dataclasses
import math

from kcr_jobs import config
from kcr_jobs import job_table
from kcr_jobs import ordering
from kcr_jobs import types

# Starts by which the burst stays below the users' bound, as messages may be
# delayed.
BURST_MARGIN = 1.0
# Part of the tasks of a step that are its last ones.
NARROW_SHARE = 0.25
# Multiple of its estimated chain below which the time that a job has left is
# short; the users' short jobs have twice their chain, other jobs more.
URGENT_FACTOR = 2.5


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """Store how long the runners of a service are cold, and what they get."""

    services: abc.Mapping[str, config.Service] = dataclasses.field(
        default_factory=dict
    )
    # The users count starts in any window against the rate times this factor,
    # and in addition a constant number.
    overrun: float = 1.5
    slack: float = 5.0

    def find_rate(self, service: str) -> float:
        """Return the starts per second of a cold runner; 0 for no limit."""
        found = self.services.get(service)
        return found.cold_per_s * min(1.0, self.overrun) if found else 0.0

    @property
    def burst(self) -> float:
        """Return the most starts that a cold runner gets at once."""
        return max(1.0, self.slack - BURST_MARGIN)


@dataclasses.dataclass(slots=True)
class StartBudget:
    """Store the starts that a runner may still get while it is cold."""

    # Time from which unused starts count.
    since: float
    # Number of starts at that time.
    level: float = 0.0

    def infer_level(self, rate: float, burst: float, now: float) -> float:
        """Return the number of starts that are left now."""
        return min(burst, self.level + rate * max(0.0, now - self.since))

    def take(self, rate: float, burst: float, now: float) -> None:
        """Use up one start."""
        self.level = self.infer_level(rate, burst, now) - 1.0
        self.since = now


def infer_cold_until(
    info: types.RunnerInfo, rules: Rules, now: float, wall_ms: float
) -> float:
    """Return until when a runner is cold, by its report or its age.

    The result is minus infinity for a runner that is not cold. A report may
    repeat an older heartbeat, so of several results for one incarnation the
    earliest holds.
    """
    if info.cold_remaining_ms >= 0:
        return now + info.cold_remaining_ms / 1000.0
    service = rules.services.get(info.service)
    if service is None or not service.cold_start_s or not info.born_ms:
        return -math.inf
    age_s = max(0.0, (wall_ms - info.born_ms) / 1000.0)
    return now + service.cold_start_s - age_s


def needs_warm(task: job_table.Task, waiting: int, now: float) -> bool:
    """Return whether a task goes to warm runners first.

    That holds for serving tasks, for the last waiting tasks of a step, and
    for jobs with little time beyond their estimate, except for fillers, which
    are throttled anyway. A job that is of no use any more takes what it gets.
    """
    if task.spec.lasts:
        return True
    job = task.job
    target_s = ordering.infer_target_s(job)
    age_s = now - job.accepted_at
    if age_s > ordering.USEFUL_FACTOR * target_s:
        return False
    if waiting <= max(1.0, task.spec.count * NARROW_SHARE):
        return True
    if task.spec.fills:
        return False
    return target_s - age_s < URGENT_FACTOR * ordering.infer_chain_s(job)


def may_use_cold(task: job_table.Task, cold: abc.Set[str], now: float) -> bool:
    """Return whether a task that needs a warm runner may do without one.

    While a task of the job runs on a warm runner, capacity becomes free there
    soon, and a single task on a cold runner would delay the whole job. A late
    job waits no longer.
    """
    job = task.job
    if task.spec.lasts:
        return True
    if now - job.accepted_at > ordering.infer_target_s(job):
        return True
    return not any(
        other.instance and other.instance not in cold
        for other in job.tasks.values()
    )

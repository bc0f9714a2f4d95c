"""Choose the order in which waiting jobs get capacity.

The planner sorts the open jobs by one of the registered keys, which depend on
the job's queue, its estimates and the time of its acceptance.
"""

from collections import abc

from kcr_core import registry
from kcr_jobs import job_table
from kcr_jobs import types

# Sort key of a job at a time; the lowest key goes first.
Key = abc.Callable[[job_table.Job, float], tuple[float, ...]]
ORDERS: registry.Registry[Key] = registry.Registry('job order')
# Multiple of the target time after which a finished job has no value.
USEFUL_FACTOR = 3.0
# Lower bound of the estimate of a task, in seconds.
MIN_ESTIMATE_S = 0.1


def infer_step_s(step: types.Step) -> float:
    """Return the caller's estimate of a task of a step, in seconds."""
    return max(MIN_ESTIMATE_S, step.estimate_ms / 1000.0)


def infer_chain_s(job: job_table.Job) -> float:
    """Return the estimated time of the longest chain of steps in seconds."""
    chain: list[float] = []
    for step in job.spec.steps:
        before = max((chain[n] for n in step.after), default=0.0)
        chain.append(before + infer_step_s(step))
    return max(chain, default=0.0)


def infer_target_s(job: job_table.Job) -> float:
    """Return the target time from acceptance to completion, in seconds."""
    queue = job.spec.queue
    return queue.slack_factor * infer_chain_s(job) + queue.target_ms / 1000.0


def is_long_running(job: job_table.Job) -> bool:
    """Return whether a job has tasks that run until it is cancelled."""
    return any(step.lasts for step in job.spec.steps)


@ORDERS.register('deadline')
def by_deadline(job: job_table.Job, now: float) -> tuple[float, ...]:
    """Sort by long-running first, then queue priority, then deadline.

    A job whose completion has no value any more goes behind all others, so
    that after a burst the late jobs don't make all later jobs late as well.
    """
    if is_long_running(job):
        return (0.0, 0.0, job.accepted_at)
    target_s = infer_target_s(job)
    too_late = now > job.accepted_at + USEFUL_FACTOR * target_s
    queue = job.spec.queue
    return (
        2.0 if too_late else 1.0,
        queue.priority,
        job.accepted_at + target_s,
    )


@ORDERS.register('shares')
def by_shares(job: job_table.Job, now: float) -> tuple[float, ...]:
    """Sort like `deadline`, with shares for queues and for sizes of jobs.

    Within a priority, jobs beyond the share of their queue go behind the
    others, jobs of a size that is served too rarely go first, and those that
    can't meet their target any more go last. `shares` marks the jobs.
    """
    if is_long_running(job):
        return (0.0, 0.0, 0.0, 0.0, 0.0, job.accepted_at)
    target_s = job.target_s or infer_target_s(job)
    due = job.accepted_at + target_s
    too_late = now > job.accepted_at + USEFUL_FACTOR * target_s
    return (
        2.0 if too_late else 1.0,
        job.spec.queue.priority,
        1.0 if job.beyond_share else 0.0,
        0.0 if job.size_behind else 1.0,
        1.0 if job.expected_late or now + job.chain_left_s > due else 0.0,
        due,
    )

"""Estimate the work of a job from the learnt run times of its tasks.

Ordering, admission and preemption use these estimates. A job that is not in
the table yet is described by a draft, which has one task for each step.
"""

from collections import abc

from kcr_jobs import durations
from kcr_jobs import job_table
from kcr_jobs import ordering
from kcr_jobs import runners
from kcr_jobs import types


def make_draft(spec: types.JobSpec, now: float) -> job_table.Job:
    """Return a job that is not accepted, with one task for each step."""
    job = job_table.Job(spec, 0)
    job.accepted_at = now
    for step, row in enumerate(spec.steps):
        job.unfinished[0, step] = row.count
        name = f'{spec.job_id}.0.{step}.0'
        job.tasks[name] = job_table.Task(name, job, 0, step)
    return job


def infer_chain_left_s(
    job: job_table.Job, run_times: durations.Durations
) -> float:
    """Return the time that the rest of a job takes if nothing waits.

    A step ends with its slowest task, for which the ninth decile stands; the
    few tasks that take much longer are not foreseen.
    """
    occurrence = max(0, job.occurrences - 1)
    return infer_longest_s(
        job,
        lambda step: (
            run_times.quantile_step_s(job, step, 0.9)
            if job.unfinished.get((occurrence, step), 1)
            else 0.0
        ),
    )


def infer_target_s(
    job: job_table.Job, run_times: durations.Durations
) -> float:
    """Return the target time of a job by the median of learnt run times.

    The median is not moved by the few tasks that take much longer.
    """
    queue = job.spec.queue
    chain_s = infer_longest_s(
        job, lambda step: run_times.quantile_step_s(job, step, 0.5)
    )
    return queue.slack_factor * chain_s + queue.target_ms / 1000.0


def infer_useful_s(
    job: job_table.Job, run_times: durations.Durations
) -> float:
    """Return the time after which the end of a job has no value.

    The longest of the estimates counts, so that no job that may still be of
    use is refused: the caller's, the mean and the median.
    """
    queue = job.spec.queue
    mean_s = run_times.chain_s(job)
    return ordering.USEFUL_FACTOR * max(
        ordering.infer_target_s(job),
        infer_target_s(job, run_times),
        queue.slack_factor * mean_s + queue.target_ms / 1000.0,
    )


def infer_longest_s(
    job: job_table.Job, infer_step_s: abc.Callable[[int], float]
) -> float:
    """Return the time of the longest chain of the steps of a job."""
    chain: list[float] = []
    for number, step in enumerate(job.spec.steps):
        before = max((chain[n] for n in step.after), default=0.0)
        chain.append(before + infer_step_s(number))
    return max(chain, default=0.0)


def infer_step_work(
    job: job_table.Job, step: int, tasks: int, run_times: durations.Durations
) -> float:
    """Return the work of some tasks of a step, in core-seconds."""
    cores = job.spec.steps[step].demand.cpu / 1000.0
    return tasks * cores * run_times.expected_step_s(job, step)


def count_running(
    known: abc.Iterable[runners.RunnerState],
) -> dict[tuple[str, int, int], int]:
    """Return the number of started tasks by job, occurrence and step."""
    found: dict[tuple[str, int, int], int] = {}
    for runner in known:
        for task in runner.tasks.values():
            step = (task.job.spec.job_id, task.occurrence, task.step)
            found[step] = found.get(step, 0) + 1
    return found

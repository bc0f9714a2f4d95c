"""Print the processor time of the planner, by the number of runners.

Run by `make bench`. Each runner serves tasks beside which fillers run. A burst
of two steps for every second runner is planned once while runners have room,
and again when nothing fits any more. `exhaustive` rates every runner for every
task, as the planner did before it kept the ratings of a step.
"""

import dataclasses
import time

import job_harness

from kcr_jobs import job_table
from kcr_jobs import placement
from kcr_jobs import step_choice
from kcr_jobs import types

RUNNERS = (11, 54, 160)
SERVING_IMAGES = 5
FILLER_IMAGES = 9
PLANS = 5


class ExhaustiveChoice:
    """Choose each task's runner from all of them."""

    def __init__(
        self,
        task: job_table.Task,
        candidates: list[placement.Candidate],
        now: float,
    ) -> None:
        self._candidates, self._now = candidates, now

    def choose(self, task: job_table.Task) -> placement.Candidate | None:
        """Return the best candidate."""
        return placement.choose(task, self._candidates, self._now)


class NoRejectedDemands(step_choice.RejectedDemands):
    """Remember no rejected demand."""

    def covers(self, task: job_table.Task) -> bool:
        """Return that every task has to be tried."""
        return False


def make_fleet(count: int) -> job_harness.Harness:
    """Return a fleet whose serving tasks are at work."""
    runners = []
    for number in range(count):
        runner = job_harness.FakeRunner(f'r{number}')
        runner.info = dataclasses.replace(
            runner.info,
            labels=('a', f'rack-{number // 4}'),
            capacity=types.Demand(32_000, 125_000),
        )
        runners.append(runner)
    harness = job_harness.Harness(*runners)
    for number in range(count // 2):
        step = types.Step(
            8, types.Demand(6400, 13_000), lasts=True,
            image=f's{number % SERVING_IMAGES}', target_ms=150.0,
        )  # fmt: skip
        harness.submit(job_harness.make_job(f's{number}', step))
    harness.step()
    for runner in runners:
        for run in runner.runs.values():
            run.percent, run.usage = 100, 60
    harness.step()
    return harness


def measure(count: int) -> tuple[int, float, float]:
    """Return the starts, and the ms of a full and of an empty plan."""
    harness = make_fleet(count)
    for number in range(count // 2):
        fillers = types.Step(
            20, types.Demand(3500, 6400), estimate_ms=5400.0, fills=True,
            image=f'f{number % FILLER_IMAGES}',
        )  # fmt: skip
        batch = types.Step(10, types.Demand(630, 960), after=(0,))
        spec = job_harness.make_job(f'b{number}', fillers, batch)
        harness.ctl.submit(('', 't'), spec, harness.now, 0.0)
    harness.ctl.log_events.clear()
    began = time.process_time()
    harness.ctl.schedule(harness.now)
    full_ms = 1000 * (time.process_time() - began)
    starts = sum(e.event == 'run ordered' for e in harness.ctl.log_events)
    harness.flush()
    # Each is due although nothing has changed since the last one.
    began = time.process_time()
    for number in range(1, PLANS + 1):
        harness.ctl.schedule(harness.now + number)
    empty_ms = 1000 * (time.process_time() - began) / PLANS
    return starts, full_ms, empty_ms


def main() -> None:
    """Print the table."""
    print('planner: processor time of one plan on this machine')
    print('runners starts | ms, us a start, ms if nothing fits | exhaustive')
    kept = step_choice.StepChoice, step_choice.RejectedDemands
    for count in RUNNERS:
        starts, full, empty = measure(count)
        vars(step_choice).update(
            StepChoice=ExhaustiveChoice, RejectedDemands=NoRejectedDemands
        )
        _, old_full, old_empty = measure(count)
        vars(step_choice).update(StepChoice=kept[0], RejectedDemands=kept[1])
        print(
            f'{count:>7} {starts:>6} | {full:>7.1f} '
            f'{1000 * full / starts:>6.0f} {empty:>6.1f} | {old_full:>7.1f} '
            f'{1000 * old_full / starts:>6.0f} {old_empty:>6.1f}',
            flush=True,
        )


if __name__ == '__main__':
    main()

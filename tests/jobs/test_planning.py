"""Check that the planner chooses as an exhaustive search does, for less."""

import random
import typing

import job_harness
import pytest

from kcr_jobs import job_table
from kcr_jobs import placement
from kcr_jobs import planning
from kcr_jobs import step_choice
from kcr_jobs import types

QUEUES = (
    types.Queue('fast', 'svc', priority=0, max_attempts=9),
    types.Queue('slow', 'svc', priority=2, max_attempts=9),
)


class ExhaustiveChoice:
    """Choose each task's candidate from all of them."""

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


def make_step(rng: random.Random) -> types.Step:
    """Return a step of any kind."""
    kind = rng.choice(['batch', 'filler', 'serving'])
    return types.Step(
        rng.randint(1, 9),
        types.Demand(rng.choice([500, 2000, 6000]), rng.choice([100, 9000])),
        estimate_ms=rng.choice([500.0, 4000.0]),
        lasts=kind == 'serving',
        fills=kind == 'filler',
        image=f'{kind}{rng.randrange(3)}',
        target_ms=90.0 if kind == 'serving' else 0.0,
        near_rack=rng.choice(['', 'rack-a', 'rack-b']),
        max_per_runner=rng.choice([0, 0, 0, 2]),
        label=rng.choice(['', '', 'a']),
        checkpointing=rng.random() < 0.5,
    )


def play(seed: int) -> list[tuple[float, dict[str, str]]]:
    """Return all placements of a random load."""
    rng = random.Random(seed)
    runners = [
        job_harness.FakeRunner(name, cpu=rng.choice([8000, 16000]))
        for name in 'abcdefg'
    ]
    harness = job_harness.Harness(*runners)
    placements = []
    for step in range(60):
        if step % 2 == 0:
            steps = [make_step(rng) for _ in range(rng.randint(1, 2))]
            harness.submit(
                job_harness.make_job(
                    f'j{step}', *steps, queue=rng.choice(QUEUES)
                )
            )
        for runner in runners:
            for task, run in list(runner.runs.items()):
                run.percent, run.usage = 100, rng.randint(5, 110)
                if rng.random() < 0.15:
                    runner.end(task, rng.choice(['done', 'done', 'failed']))
        harness.step(0.3)
        placements.append((harness.now, harness.find_placements('j')))
    return placements


@pytest.mark.parametrize('seed', range(10))
def test_choice_is_that_of_an_exhaustive_search(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against a faster choice that places tasks worse."""
    found = play(seed)
    monkeypatch.setattr(step_choice, 'StepChoice', ExhaustiveChoice)
    monkeypatch.setattr(
        step_choice.RejectedDemands, 'covers', lambda self, task: False
    )
    assert found == play(seed)


def count_scores(runners: int, monkeypatch: pytest.MonkeyPatch) -> float:
    """Return how often a candidate is rated for each start of a wide load."""
    made = [job_harness.FakeRunner(f'r{n}', 16000) for n in range(runners)]
    harness = job_harness.Harness(*made)
    rated = 0
    original = placement.find_rejection_reason

    def count(*args: typing.Any) -> str:
        nonlocal rated
        rated += 1
        return original(*args)

    monkeypatch.setattr(placement, 'find_rejection_reason', count)
    for number in range(runners // 2):
        step = types.Step(39, types.Demand(1800, 900), estimate_ms=3400.0)
        harness.ctl.submit(
            ('', 't'), job_harness.make_job(f'j{number}', step), 0.0, 0.0
        )
    harness.ctl.schedule(harness.now)
    starts = sum(len(r.tasks) for r in harness.ctl.runners.values())
    assert starts == min(39 * (runners // 2), 8 * runners)
    return rated / starts


def test_cost_of_a_start_does_not_grow_with_the_fleet(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against a planner that takes more than its instance has.

    With a rating of every runner for every task, 160 runners took a second
    for a burst of 800 starts.
    """
    # A step of 39 tasks rates each runner once, and each start rates one
    # runner again; the rest is for the events that tell why a step waits.
    assert count_scores(160, monkeypatch) <= 160 / 39 + 3


def test_full_fleet_is_not_rated_for_every_waiting_job(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against a planner that is busy while nothing can start."""
    made = [job_harness.FakeRunner(f'r{n}', 4000) for n in range(40)]
    harness = job_harness.Harness(*made)
    for number in range(100):
        step = types.Step(9, types.Demand(4000 - number % 7, 900))
        harness.submit(job_harness.make_job(f'j{number}', step))
    harness.step()
    rated = 0
    original = placement.find_rejection_reason

    def count(*args: typing.Any) -> str:
        nonlocal rated
        rated += 1
        return original(*args)

    monkeypatch.setattr(placement, 'find_rejection_reason', count)
    harness.ctl.schedule(harness.now)
    # Seven demands, and the events that tell why steps wait.
    assert rated <= (7 + planning.MAX_WAITS_PER_PLAN) * len(made)


def test_reports_without_a_change_do_not_cause_plans(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against an owner that plans for each of 120 reports a second.

    On Spandholm grown that is more than the 0.3 of a core that it has.
    """
    harness = job_harness.Harness(job_harness.FakeRunner('a', 4000))
    for number in range(3):
        step = types.Step(2, types.Demand(4000, 100))
        harness.submit(job_harness.make_job(f'j{number}', step))
    harness.step()
    plans = 0
    original = planning.Planner.plan

    def count(*args: typing.Any) -> planning.Plan:
        nonlocal plans
        plans += 1
        return original(*args)

    monkeypatch.setattr(planning.Planner, 'plan', count)
    for _ in range(100):
        harness.step(0.01)
    assert plans <= 6
    runner = harness.runners['a']
    plans = 0
    runner.end(next(iter(runner.runs)), 'done')
    harness.step(0.01)
    assert plans >= 1 and runner.runs

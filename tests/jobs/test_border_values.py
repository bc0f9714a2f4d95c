"""Test the decisions with values at the borders of what is valid."""

import dataclasses
import random

import job_harness
import pytest

from kcr_jobs import controller_state
from kcr_jobs import job_checks
from kcr_jobs import placement
from kcr_jobs import types

ALL_ON = controller_state.Overload(True, True, True, True)
LARGE = 2**40
# Values of a field from absent to very large.
CPU = (0, 0, 1, 500, 4000, LARGE)
MEM_MB = (0, 1, 100, LARGE)
TIME_MS = (0.0, 1e-9, 1.0, 900.0, 1e12)
IMAGES = ('', 'web', 'heavy')


def make_step(rng: random.Random, index: int) -> types.Step:
    """Return a step whose fields are absent, small, usual or large."""
    kind = rng.choice(['batch', 'filler', 'serving', 'lasting'])
    return types.Step(
        rng.choice([0, 1, 1, 2, 5]),
        types.Demand(
            rng.choice(CPU), rng.choice(MEM_MB), rng.choice([0, 0, 0, 1])
        ),
        estimate_ms=rng.choice(TIME_MS),
        after=(rng.randrange(index),) if index and rng.random() < 0.4 else (),
        checkpointing=rng.random() < 0.5,
        gang=kind == 'batch' and rng.random() < 0.2,
        rack_local=rng.random() < 0.2,
        label=rng.choice(['', '', '', 'a', 'none']),
        near_rack=rng.choice(['', '', 'rack-b', 'none']),
        max_per_runner=rng.choice([0, 0, 1, LARGE]),
        speculative=rng.random() < 0.2,
        lasts=kind in ('serving', 'lasting'),
        image=rng.choice(IMAGES),
        target_ms=rng.choice(TIME_MS) if kind == 'serving' else 0.0,
        fills=kind == 'filler',
        max_unavailable=rng.choice([-1, 0, 1, LARGE]),
    )


def make_spec(rng: random.Random, job_id: str) -> types.JobSpec:
    """Return a job of some steps."""
    queue = types.Queue(
        rng.choice(['q', 'r']),
        'svc',
        priority=rng.choice([0, 1, LARGE]),
        max_attempts=rng.choice([0, 1, 3, LARGE]),
        slack_factor=rng.choice([0.0, 1e-9, 2.0, 1e6]),
        target_ms=rng.choice(TIME_MS),
    )
    steps = tuple(make_step(rng, n) for n in range(rng.randint(0, 3)))
    repeat = rng.choice([0, 0, 0, 1, 3, LARGE])
    spec = types.JobSpec(
        job_id, queue, '', steps, repeat=repeat,
        interval_ms=rng.choice([1.0, 500.0, 1e12]),
        start_at_ms=rng.choice([0.0, job_harness.WALL_MS + 1000.0, 1e15]),
    )  # fmt: skip
    job_checks.check_spec(spec)
    return spec


class BorderHarness(job_harness.Harness):
    """Turn all optional decisions on."""

    overload = ALL_ON


def make_runner(rng: random.Random, name: str) -> job_harness.FakeRunner:
    """Return a runner, perhaps without some of its capacity."""
    runner = job_harness.FakeRunner(name)
    runner.info = dataclasses.replace(
        runner.info,
        capacity=types.Demand(
            rng.choice([0, 1, 16_000, LARGE]),
            rng.choice([0, 64_000, LARGE]),
            rng.choice([0, 0, 4]),
        ),
        cold_remaining_ms=rng.choice([-1, 0, 2000, LARGE]),
        remaining_ms=rng.choice([0, LARGE]),
    )
    return runner


@pytest.mark.parametrize('seed', range(35))
def test_no_valid_value_ends_the_owner(seed: int) -> None:
    """Guard against an exception that takes the ownership of all jobs."""
    rng = random.Random(seed)
    runners = [make_runner(rng, name) for name in 'abcd']
    harness = BorderHarness(
        *runners, remote_factor=rng.choice([0.0, 1.0, 1.5])
    )
    for number in range(60):
        if rng.random() < 0.5:
            harness.submit(make_spec(rng, f'j{number}'))
        if rng.random() < 0.1:
            harness.ctl.cancel(('', 'c'), f'j{rng.randrange(60)}', harness.now)
        for runner in runners:
            for task, run in list(runner.runs.items()):
                run.percent = rng.choice([0, 1, 50, 100])
                run.usage = rng.choice([0, 1, 40, 900, LARGE])
                if rng.random() < 0.2:
                    runner.end(task, rng.choice(['done', 'done', 'failed']))
            if rng.random() < 0.02:
                runner.info = dataclasses.replace(runner.info, draining=True)
        if rng.random() < 0.03:
            harness.take_over()
            harness.attach_all()
        harness.step(rng.choice([0.0, 0.1, 0.5, 3.0]))


def test_score_names_cover_all_kinds() -> None:
    """Guard against a kind of task that these tests leave out."""
    assert set(placement.SCORES.names()) == {'serving', 'filler', 'batch'}

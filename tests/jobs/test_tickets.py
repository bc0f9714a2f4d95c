"""Check that steps of advised queues start only where a ticket allows it."""

import dataclasses

import job_harness

from kcr_jobs import effects
from kcr_jobs import types

QUEUE = dataclasses.replace(job_harness.QUEUE, ticket_ms=5000.0)
STEP = types.Step(1, types.Demand(1000, 100))


class World(job_harness.Harness):
    """Answer requests for advice as a test says."""

    def __init__(self, *runners: job_harness.FakeRunner) -> None:
        self.asked: list[effects.RequestAdvice] = []
        self.allowed: dict[str, str] | None = {}
        super().__init__(*runners)

    def carry_out(self, effect: effects.Effect) -> None:
        """Carry out one effect."""
        if not isinstance(effect, effects.RequestAdvice):
            super().carry_out(effect)
            return
        self.asked.append(effect)
        self.ctl.record_advice(effect, self.allowed, self.now, self.now)


def make() -> World:
    """Return a world with two runners and an advised job."""
    world = World(job_harness.FakeRunner('a'), job_harness.FakeRunner('b'))
    return world


def test_start_waits_for_a_ticket() -> None:
    """Guard against starts that a runner rejects for want of a ticket."""
    world = make()
    world.allowed = {'i-b': 'pass'}
    world.submit(job_harness.make_job('j', STEP, queue=QUEUE))
    world.step()
    world.step()
    assert world.places('j') == {'j.0.0.0': 'b'}
    assert [request.step for request in world.asked] == ['j.0.0']


def test_step_that_no_runner_may_run_is_not_asked_for_all_the_time() -> None:
    """Guard against a request at every tick for a step nobody may run."""
    world = make()
    world.submit(job_harness.make_job('j', STEP, queue=QUEUE))
    for _ in range(6):
        world.step()
    assert not world.places('j')
    assert len(world.asked) == 1


def test_failed_request_is_made_again() -> None:
    """Guard against a step that waits for ever after a failed request."""
    world = make()
    world.allowed = None
    world.submit(job_harness.make_job('j', STEP, queue=QUEUE))
    world.step()
    world.allowed = {'i-a': 'pass'}
    for _ in range(4):
        world.step()
    assert world.places('j') == {'j.0.0.0': 'a'}


def test_ticket_of_an_older_life_is_not_used() -> None:
    """Guard against a ticket that a reborn runner rejects."""
    world = make()
    world.allowed = {'i-a': 'pass'}
    world.submit(job_harness.make_job('j', STEP, queue=QUEUE))
    world.step()
    world.step()
    assert world.places('j') == {'j.0.0.0': 'a'}
    world.runners['a'].restart(born=2)
    world.attach(world.runners['a'])
    world.allowed = {}
    for _ in range(3):
        world.step()
    assert not world.places('j')
    assert len(world.asked) > 1

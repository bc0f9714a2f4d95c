"""Test that steps of advised queues start only on runners with a ticket."""

import dataclasses

import job_harness

from kcr_jobs import effects
from kcr_jobs import tickets
from kcr_jobs import types

QUEUE = dataclasses.replace(job_harness.QUEUE, ticket_ms=5000.0)
STEP = types.Step(1, types.Demand(1000, 100))


class Harness(job_harness.Harness):
    """Represent a harness whose adviser grants the tickets in `granted`."""

    def __init__(self, *runners: job_harness.FakeRunner) -> None:
        self.requests: list[effects.RequestAdvice] = []
        self.granted: dict[str, str] | None = {}
        super().__init__(*runners)

    def carry_out(self, effect: effects.Effect) -> None:
        """Carry out one effect."""
        if not isinstance(effect, effects.RequestAdvice):
            super().carry_out(effect)
            return
        self.requests.append(effect)
        self.ctl.record_advice(effect, tickets.Reply(self.granted), self.now)


def make_harness() -> Harness:
    """Return a harness with two runners."""
    harness = Harness(job_harness.FakeRunner('a'), job_harness.FakeRunner('b'))
    return harness


def test_start_waits_for_a_ticket() -> None:
    """Guard against starts that a runner rejects without a ticket."""
    harness = make_harness()
    harness.granted = {'i-b': 'pass'}
    harness.submit(job_harness.make_job('j', STEP, queue=QUEUE))
    harness.step()
    harness.step()
    assert harness.find_placements('j') == {'j.0.0.0': 'b'}
    assert [request.step for request in harness.requests] == ['j.0.0']


def test_rejected_step_is_not_requested_at_every_tick() -> None:
    """Guard against a request at every tick for a rejected step."""
    harness = make_harness()
    harness.submit(job_harness.make_job('j', STEP, queue=QUEUE))
    for _ in range(6):
        harness.step()
    assert not harness.find_placements('j')
    assert len(harness.requests) == 1


def test_failed_request_is_made_again() -> None:
    """Guard against a step that waits without end after a failed request."""
    harness = make_harness()
    harness.granted = None
    harness.submit(job_harness.make_job('j', STEP, queue=QUEUE))
    harness.step()
    harness.granted = {'i-a': 'pass'}
    for _ in range(4):
        harness.step()
    assert harness.find_placements('j') == {'j.0.0.0': 'a'}


def test_ticket_of_an_older_incarnation_is_not_used() -> None:
    """Guard against a ticket that a restarted runner rejects."""
    harness = make_harness()
    harness.granted = {'i-a': 'pass'}
    harness.submit(job_harness.make_job('j', STEP, queue=QUEUE))
    harness.step()
    harness.step()
    assert harness.find_placements('j') == {'j.0.0.0': 'a'}
    harness.runners['a'].restart(born_ms=2)
    harness.attach(harness.runners['a'])
    harness.granted = {}
    for _ in range(3):
        harness.step()
    assert not harness.find_placements('j')
    assert len(harness.requests) > 1

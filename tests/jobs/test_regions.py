"""Check that tasks start only in the allowed regions of their route."""

import dataclasses

import job_harness

from kcr_jobs import caller_requests
from kcr_jobs import config
from kcr_jobs import evacuation
from kcr_jobs import regions
from kcr_jobs import types

ZONES = {'z1': 'r1', 'z2': 'r2'}
SMALL = types.Step(1, types.Demand(100, 100), estimate_ms=1000.0)


def make_queue(*allowed: str, name: str = 'q') -> types.Queue:
    """Return a queue with a list of regions."""
    return types.Queue(name, 'svc', allowed_regions=allowed)


def publish(harness: job_harness.Harness, *queues: types.Queue) -> None:
    """Put a configuration with a route for each queue into force."""
    routes = tuple(config.Route('h', '/', queue) for queue in queues)
    made = config.Config(1, {'h': routes})
    harness.regions = regions.make_rules(ZONES, made)
    harness.ctl.set_regions(harness.regions)


def make(*queues: types.Queue) -> job_harness.Harness:
    """Return an owner with a runner in each of three zones."""
    runners = []
    for name, zone in (('a', 'z1'), ('b', 'z2'), ('c', 'unknown')):
        runner = job_harness.FakeRunner(name)
        runner.info = dataclasses.replace(runner.info, zone=zone)
        runners.append(runner)
    harness = job_harness.Harness(*runners)
    harness.step(caller_requests.DISCOVERY_S)
    publish(harness, *queues)
    return harness


def submit(
    harness: job_harness.Harness, name: str, queue: types.Queue, count: int = 6
) -> None:
    """Submit a job of small tasks."""
    step = dataclasses.replace(SMALL, count=count)
    harness.submit(job_harness.make_job(name, step, queue=queue))


def used(harness: job_harness.Harness, job: str) -> set[str]:
    """Return the runners on which tasks of a job are running."""
    return set(harness.find_placements(job).values())


def test_tasks_start_only_in_the_allowed_regions() -> None:
    """Guard against starts abroad, and on a runner without a region."""
    here, everywhere = make_queue('r1'), make_queue(name='e')
    harness = make(here, everywhere)
    # A job that finds no room must not hide the room of the other queue.
    large = dataclasses.replace(SMALL, count=9, demand=types.Demand(4000, 1))
    harness.submit(job_harness.make_job('big', large, queue=here))
    harness.submit(job_harness.make_job('free', large, queue=everywhere))
    harness.step()
    harness.step()
    assert used(harness, 'big') == {'a'}
    assert used(harness, 'free') == {'b', 'c'}
    waits = [e.fields for e in harness.log_events if e.event == 'step waits']
    assert {f['region'] for f in waits if f['step'] == 'big.0.0'} == {2}


def test_list_of_the_configuration_in_force_decides() -> None:
    """Guard against a waiting job that keeps a region that was withdrawn."""
    queue = make_queue('r1')
    harness = make(queue)
    submit(harness, 'running', queue)
    harness.step()
    harness.step()
    publish(harness, make_queue('r2'))
    submit(harness, 'later', queue)
    for _ in range(3):
        harness.step()
    assert used(harness, 'running') == {'a'}, 'running tasks stay'
    assert used(harness, 'later') == {'b'}
    # The route is removed; the job keeps the list from its acceptance.
    publish(harness)
    submit(harness, 'removed', queue)
    for _ in range(3):
        harness.step()
    assert used(harness, 'removed') == {'a'}


def test_start_in_a_region_that_is_withdrawn_is_not_sent() -> None:
    """Guard against a start that waited for the log meanwhile."""
    queue = make_queue('r1')
    harness = make(queue)
    harness.store_available = False
    submit(harness, 'j', queue)
    harness.step()
    publish(harness, make_queue('r2'))
    harness.store_available = True
    for _ in range(4):
        harness.step()
    assert used(harness, 'j') == {'b'}
    assert any(
        e.event == 'start withdrawn' and e.fields['region']
        for e in harness.log_events
    )


def test_job_is_refused_if_its_regions_have_no_runner() -> None:
    """Guard against jobs that wait for a region without runners."""
    queue = make_queue('r3')
    harness = make(queue)
    submit(harness, 'j', queue)
    assert harness.replies[-1].outcome == 'refused'
    assert harness.replies[-1].detail == 'no runner in the allowed regions'
    # The only allowed region is evacuated.
    queue = make_queue('r1')
    publish(harness, queue)
    submit(harness, 'k', queue)
    assert harness.replies[-1].outcome == 'accepted'
    harness.ctl.set_evacuation(evacuation.View(1, frozenset(['z1'])))
    submit(harness, 'l', queue)
    assert harness.replies[-1].detail == 'all zones are evacuated'
    # A new owner does not know all runners yet.
    harness.take_over()
    submit(harness, 'm', make_queue('r3'))
    assert harness.replies[-1].outcome == 'accepted'


def test_zones_of_the_settings() -> None:
    """Guard against a malformed entry that gives a zone an empty region."""
    assert regions.parse_zones(['z1=r1', 'z2', '=r', 'z=']) == {'z1': 'r1'}

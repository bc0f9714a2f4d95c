"""Check P1 with real processes: a sidecar is replaced under full load."""

import collections
from collections import abc
import functools
import itertools
import threading

import process_world
import pytest

from kcr_emulator import harness

# Callers that ask at the same time, far above the slots of all runners.
CALLERS = 48
# Tasks that together declare more than the instances hold.
TASKS = 24
# Time after which a caller gives up, in ms.
DEADLINE_MS = 4_000
# Calls that are begun between two steps.
SERVED = 24
# Times that the sidecar is killed.
KILLS = 2


@pytest.fixture(scope='module')
def world() -> abc.Iterator[process_world.World]:
    """Return a small deployment with a slow service."""
    shape = harness.Shape(
        instances=2, slots=4, service_ms=300.0, processors=8.0
    )
    with process_world.deploy(shape) as world:
        yield world


def test_replaced_sidecar_overcommits_nothing(
    world: process_world.World,
) -> None:
    """Guard against a new sidecar that ignores what its instance runs."""
    stop = threading.Event()
    numbers = itertools.count()
    outcomes: collections.Counter[str] = collections.Counter()
    lock = threading.Lock()

    def keep_asking(entry: int) -> None:
        while not stop.is_set():
            name = f'load-{next(numbers)}'
            answer = world.ask(
                entry, name, idempotent=True, deadline_ms=DEADLINE_MS
            )
            with lock:
                outcomes[answer.get('outcome', 'none')] += 1

    asking = [world.callers.submit(keep_asking, n % 2) for n in range(CALLERS)]
    try:
        for number in range(TASKS):
            world.submit_task(
                number % 2,
                f'batch-{number}',
                kind='batch',
                demand={'processors': 2.0, 'memory_mb': 1000.0},
            )
        for _ in range(KILLS):
            process_world.wait_for(lambda: is_busy(world), 'both are busy')
            enough = sum(world.runs().values()) + SERVED
            # The runner goes on to serve the calls of the killed process
            # until after its successor is there.
            url = world.deployment.runner_urls()[0]
            world.control(url, paused=True)
            process_world.wait_for(lambda: is_busy(world), 'all are held')
            world.process('sidecar/instance-0').kill()
            world.process('sidecar/instance-0').start()
            world.wait_ready()
            process_world.wait_for(
                functools.partial(has_served, world, enough),
                'the other instance goes on',
            )
            enough += SERVED
            world.control(url, paused=False)
            process_world.wait_for(
                functools.partial(has_served, world, enough),
                'calls are served after the restart',
            )
            world.check_capacity()
    finally:
        stop.set()
    for fut in asking:
        fut.result(process_world.LIMIT_S)
    assert outcomes['done'] > CALLERS
    world.check_capacity()


def has_served(world: process_world.World, enough: int) -> bool:
    """Tell whether the runners have begun a number of calls."""
    return sum(world.runs().values()) >= enough


def is_busy(world: process_world.World) -> bool:
    """Tell whether every instance runs tasks and serves its last slot."""
    slots = world.deployment.shape.slots
    running = [
        sum(
            end == 0
            for runs in counts['intervals'].values()
            for _, _, end in runs
        )
        for counts in world.worker_counts()
    ]
    return all(running) and all(
        len(attempts) == slots for attempts in world.active_calls()
    )

"""Check guarantee P1 with real processes: a sidecar restarts under full load.

Guarantees P1 to P9 are numbered in docs/promises.md.
The calls and tasks of its predecessor still occupy the instance; the new
sidecar must not exceed the capacity with them.
"""

import collections
from collections import abc
import functools
import itertools
import threading

import process_world
import pytest

from kcr_emulator import harness

# Number of concurrent callers, far above the slots of all runners.
CALLERS = 48
# Number of tasks; together they declare more than the capacity.
TASKS = 24
# Deadline of each request, in ms.
DEADLINE_MS = 4_000
# Number of calls started between two steps.
CALLS_PER_STEP = 24
# Number of kills of the sidecar.
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
    """Guard against a new sidecar that ignores calls and tasks in progress."""
    stop = threading.Event()
    numbers = itertools.count()
    outcomes: collections.Counter[str] = collections.Counter()
    lock = threading.Lock()

    def keep_submitting(entry: int) -> None:
        while not stop.is_set():
            name = f'load-{next(numbers)}'
            answer = world.ask(
                entry, name, idempotent=True, deadline_ms=DEADLINE_MS
            )
            with lock:
                outcomes[answer.get('outcome', 'none')] += 1

    callers = [
        world.callers.submit(keep_submitting, n % 2) for n in range(CALLERS)
    ]
    try:
        for number in range(TASKS):
            world.submit_task(
                number % 2,
                f'batch-{number}',
                kind='batch',
                demand={'processors': 2.0, 'memory_mb': 1000.0},
            )
        for _ in range(KILLS):
            process_world.wait_for(
                lambda: is_busy(world), 'both instances are busy'
            )
            target = sum(world.runs().values()) + CALLS_PER_STEP
            # The paused runner keeps the calls of the killed process in
            # progress until its successor is up.
            url = world.deployment.runner_urls()[0]
            world.control(url, paused=True)
            process_world.wait_for(
                lambda: is_busy(world), 'all slots are in use'
            )
            world.process('sidecar/instance-0').kill()
            world.process('sidecar/instance-0').start()
            world.wait_ready()
            process_world.wait_for(
                functools.partial(has_served, world, target),
                'the other instance serves calls',
            )
            target += CALLS_PER_STEP
            world.control(url, paused=False)
            process_world.wait_for(
                functools.partial(has_served, world, target),
                'calls are served after the restart',
            )
            world.check_capacity()
    finally:
        stop.set()
    for fut in callers:
        fut.result(process_world.LIMIT_S)
    assert outcomes['done'] > CALLERS
    world.check_capacity()


def has_served(world: process_world.World, target: int) -> bool:
    """Return whether the runners have started `target` calls."""
    return sum(world.runs().values()) >= target


def is_busy(world: process_world.World) -> bool:
    """Return whether every instance runs tasks and uses all slots."""
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

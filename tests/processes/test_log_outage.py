"""Check the system with real processes during an outage of the log.

Running and assigned tasks continue, idempotent requests are served, and what
needs the log is refused; afterwards nothing is lost.
"""

from collections import abc
import functools
import time

import process_world
import pytest

from kcr_emulator import harness

# Number of tasks each: running before, assigned before, and submitted during
# the outage.
TASKS = 6
# Requests of each kind during the outage.
REQUESTS = 30
# Sum of `isolation_s`, `task_lease_s` and `allowance_s` of the document, in
# seconds: 6 + 3 + 1. All leases would have expired after this time.
LEASES_S = 10.0


@pytest.fixture(scope='module')
def world() -> abc.Iterator[process_world.World]:
    """Return a deployment of two entries and two instances."""
    shape = harness.Shape(instances=2)
    with process_world.deploy(shape) as world:
        yield world


def test_outage_longer_than_the_leases(world: process_world.World) -> None:
    """Guard against stopped tasks, second runs and losses in an outage."""
    running = [f'running-{n}' for n in range(TASKS)]
    for number, name in enumerate(running):
        assert is_accepted(world.submit_task(number % 2, name))
    process_world.wait_for(
        lambda: all(world.place(n) for n in running), 'tasks run'
    )
    assigned = assign_without_workers(world)
    world.control_log(outage='refuse')
    started_at = time.monotonic()
    world.control_workers(outage=False)
    process_world.wait_for(
        lambda: all(world.place(n) for n in assigned), 'assigned tasks start'
    )
    refused = check_refusals(world, 'early')
    # Let the time pass in which all leases would expire.
    process_world.wait_for(
        lambda: time.monotonic() > started_at + 1.5 * LEASES_S,
        'leases would have expired',
    )
    check_still_running(world, [*running, *assigned])
    # A process that starts now can get the document only from its peer.
    revision = world.revision(0)
    world.process('entry-1').kill()
    world.process('entry-1').start()
    process_world.wait_for(
        lambda: world.revision(1) == revision, 'the document from the peer'
    )
    world.wait_ready()
    refused += check_refusals(world, 'late')
    check_still_running(world, [*running, *assigned])
    world.control_log(outage='none')
    check_all_accounted(world, [*running, *assigned], refused)


def check_still_running(world: process_world.World, tasks: list[str]) -> None:
    """Check that each task is still running in its first epoch."""
    runs = {name: world.intervals(name) for name in tasks}
    for name, intervals in runs.items():
        assert [(e, end) for e, _, end in intervals] == [(1, 0)], (
            f'{name}: {intervals}'
        )


def is_accepted(answer: process_world.Json) -> bool:
    """Return whether a task was accepted."""
    return bool(answer.get('outcome') == 'accepted')


def assign_without_workers(world: process_world.World) -> list[str]:
    """Submit tasks while the workers are unavailable, so that none starts."""
    assigned = [f'assigned-{n}' for n in range(TASKS)]
    world.control_workers(outage=True)
    for number, name in enumerate(assigned):
        assert is_accepted(world.submit_task(number % 2, name))
    assert not any(world.intervals(name) for name in assigned)
    return assigned


def check_refusals(world: process_world.World, when: str) -> list[str]:
    """Check the answers of each entry without the log.

    Return the names of the refused requests and tasks.
    """
    refused: list[str] = []
    for entry in (0, 1):
        names = [f'{when}-{entry}-{n}' for n in range(REQUESTS)]
        idempotent_names = [f'safe-{name}' for name in names]
        for name, answer in world.ask_all(
            entry, idempotent_names, idempotent=True
        ).items():
            assert answer.get('outcome') == 'done', f'{name}: {answer}'
            assert answer['body'] == f'test/{name}:body of {name}'
        answers = world.ask_all(entry, names, deadline_ms=2000)
        for name, answer in answers.items():
            assert answer.get('outcome') == 'not_run', f'{name}: {answer}'
        tasks = [f'task-{when}-{entry}-{n}' for n in range(TASKS)]
        for name in tasks:
            answer = world.submit_task(entry, name)
            # `unknown` is for appends that may have reached the log.
            assert answer.get('outcome') == 'not_accepted', answer
        refused += [*names, *tasks]
    return refused


def check_all_accounted(
    world: process_world.World, tasks: list[str], refused: list[str]
) -> None:
    """Check that nothing was lost and that refused work never ran."""
    for entry in (0, 1):
        process_world.wait_for(
            functools.partial(reports_running, world, entry, tasks),
            f'entry-{entry} reports all tasks as running',
        )
        process_world.wait_for(
            functools.partial(accepts_new_task, world, entry),
            'a new task is accepted',
        )
        answer = world.ask(entry, f'later-{entry}')
        assert answer.get('outcome') == 'done', answer
    process_world.wait_for(
        lambda: all(
            world.task(at, f'later-{at}')['state'] == 'done' for at in (0, 1)
        ),
        'the new tasks are done',
    )
    runs = world.runs()
    assert [name for name in refused if runs[name]] == []
    assert [name for name in refused if world.intervals(name)] == []
    assert all(len(world.intervals(name)) == 1 for name in tasks)
    world.check_capacity()


def reports_running(
    world: process_world.World, entry: int, tasks: list[str]
) -> bool:
    """Return whether an entry reports all tasks as running."""
    states = [world.task(entry, name).get('state') for name in tasks]
    return all(state == 'running' for state in states)


def accepts_new_task(world: process_world.World, entry: int) -> bool:
    """Return whether an entry accepts a new task."""
    name = f'later-{entry}'
    return is_accepted(world.submit_task(entry, name, run_s=0.2))

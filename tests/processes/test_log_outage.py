"""Check with real processes what goes on while the log is down."""

from collections import abc
import functools
import time

import process_world
import pytest

from kcr_emulator import harness

# Tasks that run before, are assigned before, or come during the outage.
TASKS = 6
# Requests of each kind during the outage.
REQUESTS = 30
# Time by which the isolation limit, the task lease and the allowance of the
# document have passed, in seconds: 6 + 3 + 1.
LEASES_S = 10.0


@pytest.fixture(scope='module')
def world() -> abc.Iterator[process_world.World]:
    """Return a deployment of two entries and two instances."""
    shape = harness.Shape(instances=2)
    with process_world.deploy(shape) as world:
        yield world


def test_outage_longer_than_the_leases(world: process_world.World) -> None:
    """Guard against tasks that stop, repeats and losses without the log."""
    running = [f'running-{n}' for n in range(TASKS)]
    for number, name in enumerate(running):
        assert is_accepted(world.submit_task(number % 2, name))
    process_world.wait_for(
        lambda: all(world.place(n) for n in running), 'tasks run'
    )
    assigned = assign_without_workers(world)
    world.control_log(outage='refuse')
    began = time.monotonic()
    world.control_workers(outage=False)
    process_world.wait_for(
        lambda: all(world.place(n) for n in assigned), 'assigned tasks start'
    )
    refused = check_refusals(world, 'early')
    # Not an effect to wait for: the time in which all leases lapse.
    process_world.wait_for(
        lambda: time.monotonic() > began + 1.5 * LEASES_S, 'leases lapse'
    )
    check_unstopped(world, [*running, *assigned])
    # A process that starts now has only its peer to learn from.
    revision = world.revision(0)
    world.process('entry-1').kill()
    world.process('entry-1').start()
    process_world.wait_for(
        lambda: world.revision(1) == revision, 'the document from the peer'
    )
    world.wait_ready()
    refused += check_refusals(world, 'late')
    check_unstopped(world, [*running, *assigned])
    world.control_log(outage='none')
    check_all_accounted(world, [*running, *assigned], refused)


def check_unstopped(world: process_world.World, tasks: list[str]) -> None:
    """Check that each task runs on in its first epoch."""
    runs = {name: world.intervals(name) for name in tasks}
    for name, seen in runs.items():
        assert [(e, end) for e, _, end in seen] == [(1, 0)], f'{name}: {seen}'


def is_accepted(answer: process_world.Json) -> bool:
    """Tell whether a task was accepted."""
    return bool(answer.get('outcome') == 'accepted')


def assign_without_workers(world: process_world.World) -> list[str]:
    """Have tasks accepted that no worker starts yet."""
    assigned = [f'assigned-{n}' for n in range(TASKS)]
    world.control_workers(outage=True)
    for number, name in enumerate(assigned):
        assert is_accepted(world.submit_task(number % 2, name))
    assert not any(world.intervals(name) for name in assigned)
    return assigned


def check_refusals(world: process_world.World, when: str) -> list[str]:
    """Check what each entry answers without the log; return refusals."""
    refused: list[str] = []
    for entry in (0, 1):
        names = [f'{when}-{entry}-{n}' for n in range(REQUESTS)]
        safe = [f'safe-{name}' for name in names]
        for name, answer in world.ask_all(
            entry, safe, idempotent=True
        ).items():
            assert answer.get('outcome') == 'done', f'{name}: {answer}'
            assert answer['body'] == f'test/{name}:body of {name}'
        answers = world.ask_all(entry, names, deadline_ms=2000)
        for name, answer in answers.items():
            assert answer.get('outcome') == 'not_run', f'{name}: {answer}'
        tasks = [f'task-{when}-{entry}-{n}' for n in range(TASKS)]
        for name in tasks:
            answer = world.submit_task(entry, name)
            # `unknown` is true as well where the append may be in the log.
            assert answer.get('outcome') == 'not_accepted', answer
        refused += [*names, *tasks]
    return refused


def check_all_accounted(
    world: process_world.World, tasks: list[str], refused: list[str]
) -> None:
    """Check the state after the outage: nothing lost, refusals true."""
    for entry in (0, 1):
        process_world.wait_for(
            functools.partial(knows_running, world, entry, tasks),
            f'entry-{entry} knows all tasks again',
        )
        process_world.wait_for(
            functools.partial(accepts_later, world, entry),
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


def knows_running(
    world: process_world.World, entry: int, tasks: list[str]
) -> bool:
    """Tell whether an entry knows that tasks run."""
    states = [world.task(entry, name).get('state') for name in tasks]
    return all(state == 'running' for state in states)


def accepts_later(world: process_world.World, entry: int) -> bool:
    """Tell whether an entry accepts a new task again."""
    name = f'later-{entry}'
    return is_accepted(world.submit_task(entry, name, run_s=0.2))

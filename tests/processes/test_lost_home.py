"""Check guarantees P2 and P3 with real processes: tasks move to a new home.

Guarantees P1 to P9 are numbered in docs/promises.md. The home of a task is the
instance and sidecar incarnation assigned to it.
Homes are stopped, suspended and killed; each task must resume once, under the
next epoch, from its checkpoint.
"""

from collections import abc
import functools
import signal

import process_world
import pytest

from kcr_emulator import harness
from kcr_emulator import http

# Number of tasks without a run time, which run until they are stopped.
TASKS = 12
NAMES = [f'watch-{n}' for n in range(TASKS)]


@pytest.fixture(scope='module')
def world() -> abc.Iterator[process_world.World]:
    """Return a deployment of four instances with running tasks."""
    shape = harness.Shape(instances=4)
    with process_world.deploy(shape) as world:
        for number, name in enumerate(NAMES):
            answer = world.submit_task(number % 2, name)
            assert answer['outcome'] == 'accepted', answer
        process_world.wait_for(lambda: are_all_running(world), 'all tasks run')
        yield world


def are_all_running(world: process_world.World) -> bool:
    """Return whether every task runs on exactly one instance."""
    return all(
        sum(end == 0 for _, _, end in world.intervals(name)) == 1
        for name in NAMES
    )


def is_running(world: process_world.World, entry: int, name: str) -> bool:
    """Return whether an entry reports a task as running."""
    return bool(world.task(entry, name).get('state') == 'running')


def find_tasks_at(world: process_world.World, instance: str) -> dict[str, int]:
    """Return the epochs of the tasks running on an instance, by name."""
    return {
        name: world.intervals(name)[-1][0]
        for name in NAMES
        if world.place(name) == instance
    }


def find_fullest(
    world: process_world.World, names: abc.Iterable[str]
) -> tuple[str, dict[str, int]]:
    """Return the instance with the most tasks, and their epochs."""
    found = {name: find_tasks_at(world, name) for name in names}
    fullest = max(found, key=lambda name: len(found[name]))
    assert found[fullest], 'no instance runs a task'
    return fullest, found[fullest]


def has_moved(world: process_world.World, epochs: dict[str, int]) -> bool:
    """Return whether each task runs under a later epoch."""
    runs = {name: world.intervals(name)[-1] for name in epochs}
    return all(
        runs[name][0] > epoch and runs[name][2] == 0
        for name, epoch in epochs.items()
    )


def find_resumed(world: process_world.World) -> dict[str, str]:
    """Return the checkpoint that each `task:epoch` was started from."""
    resumed: dict[str, str] = {}
    for counts in world.worker_counts():
        resumed.update(counts['resumed'])
    return resumed


def check_moves(
    world: process_world.World, epochs: abc.Mapping[str, int]
) -> None:
    """Check that each task was started once per epoch up to the next."""
    world.check_capacity()
    for name, epoch in epochs.items():
        epochs_run = [run[0] for run in world.intervals(name)]
        assert epochs_run == list(range(1, epoch + 2)), f'{name}: {epochs_run}'


def test_evicted_tasks_resume_from_their_checkpoint(
    world: process_world.World,
) -> None:
    """Guard against an eviction with a lost checkpoint or two resumptions."""
    home, epochs = find_fullest(world, ['instance-3', 'instance-2'])
    ports = world.deployment.instances[home]
    url = f'http://127.0.0.1:{ports.worker}/v1/tasks'
    world.process(f'sidecar/{home}').signal(signal.SIGTERM)
    process_world.wait_for(lambda: has_moved(world, epochs), 'tasks moved')
    check_moves(world, epochs)
    resumed = find_resumed(world)
    for name, epoch in epochs.items():
        # The sidecar may already have removed the ended epoch at the worker.
        ended = {
            t['task']: t['checkpoint']
            for t in http.call('GET', url)[1]['tasks']
        }
        checkpoint = resumed[f'test/{name}:{epoch + 1}']
        assert float(checkpoint) > 0.0
        assert ended.get(f'test/{name}', checkpoint) == checkpoint
    popen = world.process(f'sidecar/{home}').popen
    assert popen is not None
    assert popen.wait(process_world.LIMIT_S) == 0
    world.process(f'sidecar/{home}').start()
    world.wait_ready()
    world.check_capacity()


def test_frozen_sidecar_wakes_after_its_tasks_moved(
    world: process_world.World,
) -> None:
    """Guard against a suspended sidecar that continues after its fencing."""
    home, epochs = find_fullest(world, world.deployment.instances)
    before = find_resumed(world)
    sidecar = world.process(f'sidecar/{home}')
    sidecar.signal(signal.SIGSTOP)
    try:
        process_world.wait_for(lambda: has_moved(world, epochs), 'tasks moved')
    finally:
        sidecar.signal(signal.SIGCONT)
    # A fenced incarnation exits; the test restarts it as the platform does.
    process_world.wait_for(
        lambda: not sidecar.is_running(), 'the fenced sidecar exits'
    )
    sidecar.start()
    world.wait_ready()
    check_moves(world, epochs)
    resumed = find_resumed(world)
    for name, epoch in epochs.items():
        # A lost home reports no checkpoint: its tasks resume from the one in
        # the log, which was written at the last eviction.
        last = before[f'test/{name}:{epoch}']
        assert resumed[f'test/{name}:{epoch + 1}'] == last
    # The instance gets work again, under a new incarnation.
    answer = world.submit_task(0, f'after-{home}', run_s=0.5)
    assert answer['outcome'] == 'accepted', answer
    process_world.wait_for(
        lambda: world.task(1, f'after-{home}')['state'] == 'done',
        'a later task is done',
    )
    check_moves(world, epochs)


def test_dead_instance_loses_no_task(world: process_world.World) -> None:
    """Guard against a task that is lost or runs twice after a crash."""
    home, epochs = find_fullest(world, world.deployment.instances)
    world.kill_instance(home)
    process_world.wait_for(lambda: has_moved(world, epochs), 'tasks moved')
    check_moves(world, epochs)
    process_world.wait_for(lambda: are_all_running(world), 'all tasks run')
    for number, name in enumerate(NAMES):
        process_world.wait_for(
            functools.partial(is_running, world, number % 2, name),
            f'{name} is reported as running',
        )

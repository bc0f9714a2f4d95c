"""Check that the emulated worker detects violated guarantees."""

import typing

from kcr_emulator import worker_state

CAPACITY = {'processors': 4.0, 'memory_mb': 1000.0, 'accelerators': 0}


def make() -> worker_state.Machine:
    """Return a machine whose real values are the declared ones."""
    exact = worker_state.Factors((1.0, 1.0), (1.0, 1.0))
    return worker_state.Machine(CAPACITY, exact, 1.0, 1)


def body(
    epoch: int, cores: float, run_s: float = 0.0, checkpoint: str = ''
) -> dict[str, typing.Any]:
    """Return the body of a start."""
    demand = {'processors': cores, 'memory_mb': 1.0, 'accelerators': 0}
    spec = {'kind': 'k', 'demand': demand, 'run_s': run_s}
    return {
        'epoch': epoch,
        'spec': spec,
        'reserved': demand,
        'checkpoint': checkpoint,
        'lease_s': 5.0,
    }


def test_overcommitment_is_counted() -> None:
    """Guard against an emulator that hides overcommitment."""
    machine = make()
    machine.start('a', body(1, 3.0), 0.0, 0)
    assert (machine.overcommitted, machine.overgranted) == (0, 0)
    machine.start('b', body(1, 3.0), 0.0, 0)
    assert (machine.overcommitted, machine.overgranted) == (1, 1)


def test_expired_lease_stops_the_task() -> None:
    """Guard against tasks that keep running without their sidecar."""
    machine = make()
    machine.start('a', body(1, 1.0), 0.0, 1000)
    machine.step(4.9, 5900)
    assert machine.runs['a'].state == 'running'
    machine.step(5.0, 6000)
    assert machine.runs['a'].state == 'stopped'
    assert machine.intervals == {'a': [[1, 1000, 6000]]}


def test_another_worker_resumes_from_the_checkpoint() -> None:
    """Guard against loss of completed work by an eviction."""
    first, second = make(), make()
    first.start('a', body(1, 1.0, run_s=4.0), 0.0, 0)
    text = first.checkpoint(first.runs['a'], 3.0)
    first.stop(first.runs['a'], 3.0, 0)
    second.start('a', body(2, 1.0, 4.0, text), 10.0, 0)
    second.step(10.9, 0)
    assert second.runs['a'].state == 'running'
    second.step(11.1, 0)
    assert second.runs['a'].state == 'done'


def test_ended_epoch_is_not_started_again() -> None:
    """Guard against a second run after a repeated command."""
    machine = make()
    assert machine.start('a', body(1, 1.0), 0.0, 0)[0] == 200
    assert machine.start('a', body(1, 1.0), 0.0, 0)[0] == 200
    machine.stop(machine.runs['a'], 1.0, 0)
    assert machine.start('a', body(1, 1.0), 0.0, 0)[0] == 409
    assert machine.starts == {'a:1': 1}


def test_use_is_reported_with_a_lag() -> None:
    """Guard against use that is reported without its delay."""
    machine = make()
    machine.start('a', body(1, 2.0), 0.0, 0)
    machine.step(0.5, 0)
    assert machine.usage(1.0) == []
    machine.step(2.0, 0)
    assert machine.usage(2.0)[0]['used']['processors'] == 1.0

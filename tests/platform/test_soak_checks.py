"""Test the checks of the fault soak on runs that are made up."""

import random
import types
import typing

import callers
import fault_soak
import order_faults
import platform_fakes
import pytest

JOB = 'a' * 16
# Time from which there is no fault.
CALM_FROM = 100.0


def find(
    run: platform_fakes.Run,
    cancelled_at: float | None,
    calm_to: float,
    keepers: list[tuple[str, typing.Any]],
) -> tuple[list[str], bool]:
    """Check one run of a job that was cancelled."""
    alive = types.SimpleNamespace(poll=lambda: None)
    deployment: typing.Any = types.SimpleNamespace(
        fronts={},
        processes={'s1': alive},
        checker=platform_fakes.RunChecker(),
    )
    deployment.checker.record_run(run)
    made = callers.Callers(deployment, seed=1)
    job = callers.Job(JOB, [1], cancel_sent=True, cancelled_at=cancelled_at)
    job.cancel_keepers = [
        (name, alive if process == 'alive' else None)
        for name, process in keepers
    ]
    made.jobs.append(job)
    return made.find_running_on(CALM_FROM, calm_to)


@pytest.mark.parametrize(
    'began_at, cancelled_at, due',
    [
        # Confirmed before the calm, and in it.
        (90.0, 95.0, CALM_FROM + 5.0 + 3.2),
        (106.0, 107.0, 107.0 + 3.2),
        # Begun late.
        (110.0, 107.0, 110.0 + 4.0 + 3.2),
    ],
)
def test_run_of_a_cancelled_job_is_found_after_its_bound(
    began_at: float, cancelled_at: float, due: float
) -> None:
    """Guard against a check that overlooks a run, or comes too early."""
    run = platform_fakes.Run(f'{JOB}.0.0.0', 1, 'i-a1', began_at)
    assert find(run, cancelled_at, due - 0.1, []) == ([], True)
    (text,), _ = find(run, cancelled_at, due + 0.1, [])
    assert text.startswith(f'{JOB}.0.0.0, run 1, on i-a1 goes on')
    # Also one that has ended since.
    run.ended_at = due + 0.1
    assert find(run, cancelled_at, due + 5.0, [])[0]
    run.ended_at = due - 0.1
    assert find(run, cancelled_at, due + 5.0, []) == ([], False)


def test_unconfirmed_cancel_counts_while_its_scheduler_lives() -> None:
    """Guard against a check that binds where nobody has the cancel."""
    run = platform_fakes.Run(f'{JOB}.0.0.0', 1, 'i-a1', 90.0)
    late = CALM_FROM + 5.0 + 3.3
    assert find(run, None, late, [('s1', 'alive')])[0]
    assert find(run, None, late, [('s1', 'ended')]) == ([], False)
    assert find(run, None, late, []) == ([], False)


def test_each_fault_of_orders_is_drawn() -> None:
    """Guard against a weight that leaves out a fault."""
    rng = random.Random(1)
    drawn = {order_faults.draw(rng) for _ in range(1000)}
    assert drawn == set(order_faults.FAULTS.names())


def test_faults_overlap(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against faults that end before the next one begins."""
    soak = object.__new__(fault_soak.Soak)
    monkeypatch.setattr(soak, '_look', lambda now: None, raising=False)
    ended: list[str] = []
    soak.active = [
        fault_soak.Active(2.0, 2, 'b', lambda: ended.append('b')),
        fault_soak.Active(1.0, 1, 'a', lambda: ended.append('a')),
    ]
    soak.calm_from = None
    assert not soak._heal_due(0.9, 8.0)
    assert soak._heal_due(1.1, 8.0) and ended == ['a']
    assert not soak._heal_due(1.1, 8.0) and soak.calm_from is None
    assert soak._heal_due(8.0, 8.0) and ended == ['a', 'b']
    assert soak.calm_from is not None

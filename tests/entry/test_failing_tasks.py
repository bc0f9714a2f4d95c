"""Check that failing workers do not end tasks, and failing tasks end."""

import log_harness
import task_harness

from kcr_core import messages
from kcr_entry import addresses

Sidecars = dict[str, task_harness.Sidecar]


def make_entry(
    harness: log_harness.Harness, count: int
) -> tuple[task_harness.Entry, Sidecars]:
    """Return an entry with sidecars `w0` and so on."""
    entry = task_harness.Entry(harness, '1')
    harness.run(1.5)
    names = [f'w{number}' for number in range(count)]
    return entry, {n: task_harness.Sidecar(entry, n) for n in names}


def finish_assigned(
    harness: log_harness.Harness,
    sidecars: Sidecars,
    bad: set[str],
    steps: int = 10,
) -> None:
    """Finish all assigned tasks at once; they fail on bad workers."""
    for _ in range(steps):
        for name, sidecar in sidecars.items():
            for msg in sidecar.received(messages.Assign):
                end = messages.Finished(
                    msg.spec.key,
                    msg.epoch,
                    'failed' if name in bad else 'done',
                    f'by {name}',
                )
                sidecar.report(addresses.TASKS, end)
            sidecar.probe.received.clear()
            sidecar.send_heartbeat()
        harness.run(0.3)


def test_bad_task_ends_with_the_workers_that_it_failed_on() -> None:
    """Guard against a failing task that is lost or restarted forever."""
    harness = log_harness.Harness()
    entry, sidecars = make_entry(harness, 5)
    entry.submit('s', task_harness.make_spec('t'))
    entry.submit('o', task_harness.make_spec('once', restartable=False))
    harness.run(1.0)
    finish_assigned(harness, sidecars, set(sidecars))
    state = entry.get_state('c/t')
    assert (state.state, state.epoch) == ('failed', 3), state
    assert state.reason.startswith('failed on 3 workers (w')
    once = entry.get_state('c/once')
    assert (once.state, once.epoch) == ('failed', 1), once
    # Another entry reads the same from the log.
    other = task_harness.Entry(harness, '2')
    harness.run(1.5)
    assert other.get_state('c/t').reason == state.reason


def test_bad_worker_destroys_no_task_and_is_quarantined() -> None:
    """Guard against an idle bad worker that gets and fails all tasks."""
    harness = log_harness.Harness()
    entry, sidecars = make_entry(harness, 4)
    for number in range(40):
        entry.submit(f's{number}', task_harness.make_spec(f't{number}'))
        finish_assigned(harness, sidecars, {'w0'}, 1)
    finish_assigned(harness, sidecars, {'w0'})
    states = {entry.get_state(f'c/t{n}').state for n in range(40)}
    assert states == {'done'}
    assert list(entry.tasks.dump()['workers']['quarantined']) == ['w0']
    # Successful probes end the quarantine.
    for number in range(40, 60):
        entry.submit(f's{number}', task_harness.make_spec(f't{number}'))
        finish_assigned(harness, sidecars, set(), 4)
    assert not entry.tasks.dump()['workers']['quarantined']


def test_task_that_failed_everywhere_waits_with_the_reason() -> None:
    """Guard against a parked task without the reason why it waits."""
    harness = log_harness.Harness()
    entry, sidecars = make_entry(harness, 2)
    entry.submit('s', task_harness.make_spec('t'))
    harness.run(1.0)
    finish_assigned(harness, sidecars, set(sidecars))
    state = entry.get_state('c/t')
    assert state.state == 'parked'
    assert 'w0' in state.reason and 'w1' in state.reason, state.reason
    assert 'where it failed' in state.reason
    sidecars['w2'] = task_harness.Sidecar(entry, 'w2')
    finish_assigned(harness, sidecars, set())
    assert entry.get_state('c/t').state == 'done'

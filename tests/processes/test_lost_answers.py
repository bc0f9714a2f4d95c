"""Check with real processes that lost answers of the log cause no loss."""

from collections import abc

import process_world
import pytest

from kcr_emulator import documents
from kcr_emulator import harness

# Share of the appends whose answer is dropped after the write.
LOSE_SHARE = 0.5
# Numbers of tasks and requests submitted meanwhile.
TASKS = 30
REQUESTS = 60


@pytest.fixture(scope='module')
def world() -> abc.Iterator[process_world.World]:
    """Return a deployment of two entries and two instances."""
    with process_world.deploy(harness.Shape(instances=2)) as world:
        yield world


def test_lost_answers_of_appends(world: process_world.World) -> None:
    """Guard against a record that is applied twice or assumed lost."""
    world.control_log(lose_share=LOSE_SHARE)
    pending = {
        f'r{n}': world.ask_later(n % 2, f'r{n}') for n in range(REQUESTS)
    }
    submitted = {
        f't{n}': world.callers.submit(
            world.submit_task, n % 2, f't{n}', run_s=0.3
        )
        for n in range(TASKS)
    }
    shape = world.deployment.shape
    text = documents.make_document(shape, p99_ms=250.0)
    before = world.revision(0)
    world.publish(text)
    assert world.revision(0) > before
    answers = {n: f.result(process_world.LIMIT_S) for n, f in pending.items()}
    accepted = {
        n: f.result(process_world.LIMIT_S) for n, f in submitted.items()
    }
    log = process_world.read_counts([world.deployment.log_url()])[0]
    assert log['answers_lost'] > 0
    # The log still answers reads, so every outcome can be determined.
    assert {a.get('outcome') for a in answers.values()} == {'done'}
    assert {a.get('outcome') for a in accepted.values()} == {'accepted'}
    process_world.wait_for(
        lambda: all(
            world.task(entry, name).get('state') == 'done'
            for name in accepted
            for entry in (0, 1)
        ),
        'all tasks are done',
    )
    assert {n: world.runs()[n] for n in pending} == dict.fromkeys(pending, 1)
    for name in accepted:
        assert [run[0] for run in world.intervals(name)] == [1]
    world.check_capacity()
    check_history(world, before)


def check_history(world: process_world.World, before: int) -> None:
    """Check that the document was promoted exactly once."""
    for entry in (0, 1):
        history = world.history(entry)
        later = [
            v for v in history if v['offset'] > before and not v['refused']
        ]
        assert len(later) == 1, history

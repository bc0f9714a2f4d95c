"""Check guarantees P5 and P6 with real processes.

Guarantees P1 to P9 are numbered in docs/promises.md.
A non-idempotent request runs at most once, and a request that is refused as
not run has never run, also when entries are killed.
"""

from collections import abc
import threading
import typing

import process_world
import pytest

from kcr_emulator import harness

# Numbers of requests: of the test with two submissions each, of the test that
# kills the owner of claims, and of the test that kills an entry at any step.
TWIN_COUNT = 80
# At most the slots that each entry is granted, however the sidecars distribute
# them, so that all of these requests run at once.
HELD_COUNT = 4
CUT_COUNT = 60


@pytest.fixture(scope='module')
def world() -> abc.Iterator[process_world.World]:
    """Return a deployment of three entries and two slow runners."""
    shape = harness.Shape(entries=3, instances=2, service_ms=100.0)
    with process_world.deploy(shape) as world:
        yield world


def check_answers(
    world: process_world.World,
    answers: abc.Mapping[str, abc.Sequence[dict[str, typing.Any]]],
) -> None:
    """Check the answers to all submissions of the ids so far.

    A `not_run` refers to the submissions so far: it is false if the id has
    run and `not_run` is the only outcome that was ever returned for it.
    """
    runs = world.runs()
    assert {n: runs[n] for n in answers if runs[n] > 1} == {}
    for name, responses in answers.items():
        outcomes = {answer.get('outcome') for answer in responses}
        if outcomes == {'not_run'}:
            assert runs[name] == 0, f'{name} ran: {responses}'
        for answer in responses:
            if answer.get('outcome') == 'done':
                assert runs[name] == 1, (
                    f'{name} was answered as done but never ran'
                )
                assert answer['body'] == f'test/{name}:body of {name}'
    world.check_capacity()


def test_twins_at_two_entries_run_once(world: process_world.World) -> None:
    """Guard against two entries that both send the same claimed id."""
    barriers = {f'twin-{n}': threading.Barrier(2) for n in range(TWIN_COUNT)}

    def submit(
        entry: int, name: str, resubmitted: bool
    ) -> dict[str, typing.Any]:
        barriers[name].wait(process_world.LIMIT_S)
        return world.ask(entry, name, resubmitted=resubmitted)

    pending = {
        name: [
            world.callers.submit(submit, number % 3, name, False),
            world.callers.submit(submit, (number + 1) % 3, name, True),
        ]
        for number, name in enumerate(barriers)
    }
    answers = {
        name: [fut.result(process_world.LIMIT_S) for fut in both]
        for name, both in pending.items()
    }
    check_answers(world, answers)
    answered = sum(
        any(a.get('outcome') == 'done' for a in both)
        for both in answers.values()
    )
    # No process fails here, so one of the two callers gets the answer.
    assert answered == TWIN_COUNT


def test_killed_holder_of_a_claim_is_not_replaced(
    world: process_world.World,
) -> None:
    """Guard against a second run of a request sent by a killed entry."""
    names = [f'held-{n}' for n in range(HELD_COUNT)]
    # Every call lasts until the runners are resumed after the kill.
    world.control_runners(paused=True)
    try:
        first = {name: world.ask_later(0, name) for name in names}
        process_world.wait_for(
            lambda: sum(world.runs()[n] for n in names) == HELD_COUNT,
            'all requests run',
        )
        world.process('entry-0').kill()
        repeats = {
            name: [
                world.ask_later(entry, name, resubmitted=True)
                for entry in (1, 2)
            ]
            for name in names
        }
    finally:
        world.control_runners(paused=False)
    first_answers = {
        n: fut.result(process_world.LIMIT_S) for n, fut in first.items()
    }
    assert all(answer == {} for answer in first_answers.values())
    answers = {
        name: [fut.result(process_world.LIMIT_S) for fut in both]
        for name, both in repeats.items()
    }
    world.process('entry-0').start()
    world.wait_ready()
    # The new process under the old name has no state of its predecessor.
    for name, answer in world.ask_all(0, names, resubmitted=True).items():
        answers[name].append(answer)
    check_answers(world, answers)
    assert {world.runs()[n] for n in names} == {1}
    # They ran, so `not_run` would be false; the answer was lost with the
    # killed entry.
    outcomes = {
        a['outcome'] for responses in answers.values() for a in responses
    }
    assert outcomes == {'unknown'}


def test_kill_at_any_step_of_a_claim(world: process_world.World) -> None:
    """Guard against false refusals and second runs around a claim."""
    names = [f'cut-{n}' for n in range(CUT_COUNT)]
    first = {name: world.ask_later(1, name) for name in names}
    # By now some claims are written, some requests run, others wait.
    process_world.wait_for(
        lambda: any(world.runs()[n] for n in names), 'first request runs'
    )
    world.process('entry-1').kill()
    first_answers = {
        n: fut.result(process_world.LIMIT_S) for n, fut in first.items()
    }
    assert any(answer == {} for answer in first_answers.values())
    check_answers(world, {name: [first_answers[name]] for name in names})
    # A resubmission may run only if the interrupted submission never will.
    repeats = world.ask_all(2, names, resubmitted=True)
    check_answers(world, {name: [repeats[name]] for name in names})
    answers = {name: [first_answers[name], repeats[name]] for name in names}
    world.process('entry-1').start()
    world.wait_ready()
    for name, answer in world.ask_all(1, names, resubmitted=True).items():
        answers[name].append(answer)
    check_answers(world, answers)

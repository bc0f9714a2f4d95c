"""Check P5 and P6 with real processes: at most once, true refusals."""

from collections import abc
import threading
import typing

import process_world
import pytest

from kcr_emulator import harness

# Requests of each case.
TWINS = 80
# At most the slots that every entry gets however they are shared out.
HELD = 4
CUT = 60


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
    """Check the answers to submissions of which none came after these.

    A `not_run` is about the submissions of the id so far: it is false when
    the id has run and nothing but `not_run` was ever answered.
    """
    runs = world.runs()
    assert {n: runs[n] for n in answers if runs[n] > 1} == {}
    for name, given in answers.items():
        outcomes = {answer.get('outcome') for answer in given}
        if outcomes == {'not_run'}:
            assert runs[name] == 0, f'{name} ran: {given}'
        for answer in given:
            if answer.get('outcome') == 'done':
                assert runs[name] == 1, f'{name} was answered and never ran'
                assert answer['body'] == f'test/{name}:body of {name}'
    world.check_capacity()


def test_twins_at_two_entries_run_once(world: process_world.World) -> None:
    """Guard against two entries that both send one claimed id."""
    barriers = {f'twin-{n}': threading.Barrier(2) for n in range(TWINS)}

    def ask(entry: int, name: str, again: bool) -> dict[str, typing.Any]:
        barriers[name].wait(process_world.LIMIT_S)
        return world.ask(entry, name, resubmitted=again)

    asked = {
        name: [
            world.callers.submit(ask, number % 3, name, False),
            world.callers.submit(ask, (number + 1) % 3, name, True),
        ]
        for number, name in enumerate(barriers)
    }
    answers = {
        name: [fut.result(process_world.LIMIT_S) for fut in both]
        for name, both in asked.items()
    }
    check_answers(world, answers)
    answered = sum(
        any(a.get('outcome') == 'done' for a in both)
        for both in answers.values()
    )
    # Nothing fails here, so one of the two callers has the answer.
    assert answered == TWINS


def test_killed_holder_of_a_claim_is_not_replaced(
    world: process_world.World,
) -> None:
    """Guard against a repeat of a request that its dead entry had sent."""
    names = [f'held-{n}' for n in range(HELD)]
    # Every call lasts until the runners resume, after the kill.
    world.control_runners(paused=True)
    try:
        first = {name: world.ask_later(0, name) for name in names}
        process_world.wait_for(
            lambda: sum(world.runs()[n] for n in names) == HELD,
            'all requests run',
        )
        world.process('entry-0').kill()
        again = {
            name: [
                world.ask_later(entry, name, resubmitted=True)
                for entry in (1, 2)
            ]
            for name in names
        }
    finally:
        world.control_runners(paused=False)
    lost = {n: fut.result(process_world.LIMIT_S) for n, fut in first.items()}
    assert all(answer == {} for answer in lost.values())
    answers = {
        name: [fut.result(process_world.LIMIT_S) for fut in both]
        for name, both in again.items()
    }
    world.process('entry-0').start()
    world.wait_ready()
    # The new process under the old name remembers nothing of its own.
    for name, answer in world.ask_all(0, names, resubmitted=True).items():
        answers[name].append(answer)
    check_answers(world, answers)
    assert {world.runs()[n] for n in names} == {1}
    # They ran, so `not_run` is false; the answer went down with its entry.
    outcomes = {a['outcome'] for given in answers.values() for a in given}
    assert outcomes == {'unknown'}


def test_kill_at_any_step_of_a_claim(world: process_world.World) -> None:
    """Guard against false refusals and repeats around the claim itself."""
    names = [f'cut-{n}' for n in range(CUT)]
    first = {name: world.ask_later(1, name) for name in names}
    # Some claims are written, some requests run, some wait for both.
    process_world.wait_for(
        lambda: any(world.runs()[n] for n in names), 'first request runs'
    )
    world.process('entry-1').kill()
    lost = {n: fut.result(process_world.LIMIT_S) for n, fut in first.items()}
    assert any(answer == {} for answer in lost.values())
    check_answers(world, {name: [lost[name]] for name in names})
    # A repeat of a cut submission may run only if that one never will.
    again = world.ask_all(2, names, resubmitted=True)
    check_answers(world, {name: [again[name]] for name in names})
    answers = {name: [lost[name], again[name]] for name in names}
    world.process('entry-1').start()
    world.wait_ready()
    for name, answer in world.ask_all(1, names, resubmitted=True).items():
        answers[name].append(answer)
    check_answers(world, answers)

"""Check P4 with real processes: late and crossed answers find their caller."""

from collections import abc
import functools

import process_world
import pytest

from kcr_emulator import harness

# Requests that are open at the same time, and rounds of them.
OPEN = 60
ROUNDS = 5


@pytest.fixture(scope='module')
def world() -> abc.Iterator[process_world.World]:
    """Return a deployment whose service times differ widely."""
    shape = harness.Shape(instances=3, service_ms=40.0)
    with process_world.deploy(shape) as world:
        yield world


def has_begun(world: process_world.World, seen: int) -> bool:
    """Tell whether the runners have begun more calls."""
    return sum(world.runs().values()) > seen


def test_each_answer_matches_its_request(world: process_world.World) -> None:
    """Guard against an answer that reaches the caller of another request."""
    urls = world.deployment.runner_urls()
    asked = {}
    for number in range(ROUNDS):
        # Paused runners hold calls, which then end in another order.
        paused = number % len(urls)
        world.control(urls[paused], paused=True)
        begun = sum(world.runs().values())
        for index in range(OPEN):
            name = f'x{number}-{index}'
            # Bodies of different lengths show one that was cut or joined.
            body = f'{name}.' * (1 + 37 * (index % 7))
            fut = world.ask_later(
                index % 2, name, body=body, idempotent=index % 3 != 0
            )
            asked[name] = (body, fut)
        process_world.wait_for(
            functools.partial(has_begun, world, begun),
            'some calls have begun',
        )
        world.control(urls[paused], paused=False)
    for name, (body, fut) in asked.items():
        answer = fut.result(process_world.LIMIT_S)
        assert answer.get('outcome') == 'done', f'{name}: {answer}'
        assert answer['body'] == f'test/{name}:{body}'
    runs = world.runs()
    assert all(runs[name] >= 1 for name in asked)
    singles = [n for n in asked if int(n.partition('-')[2]) % 3 == 0]
    assert {runs[name] for name in singles} == {1}
    world.check_capacity()

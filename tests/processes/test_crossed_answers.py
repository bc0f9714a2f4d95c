"""Check guarantee P4 with real processes: answers reach their own caller.

Guarantees P1 to P9 are numbered in docs/promises.md.
Runners are paused in turn, so that answers arrive late and out of order.
"""

from collections import abc
import functools

import process_world
import pytest

from kcr_emulator import harness

# Requests per round, all open at the same time, and number of rounds.
OPEN = 60
ROUNDS = 5


@pytest.fixture(scope='module')
def world() -> abc.Iterator[process_world.World]:
    """Return a deployment whose service times vary widely."""
    shape = harness.Shape(instances=3, service_ms=40.0)
    with process_world.deploy(shape) as world:
        yield world


def has_started(world: process_world.World, count: int) -> bool:
    """Return whether the runners have started more than `count` calls."""
    return sum(world.runs().values()) > count


def test_each_answer_matches_its_request(world: process_world.World) -> None:
    """Guard against an answer that reaches the caller of another request."""
    urls = world.deployment.runner_urls()
    submitted = {}
    for number in range(ROUNDS):
        # A paused runner delays its calls, which then end in another order.
        paused = number % len(urls)
        world.control(urls[paused], paused=True)
        started_before = sum(world.runs().values())
        for index in range(OPEN):
            name = f'x{number}-{index}'
            # Bodies of different lengths reveal truncated or merged answers.
            body = f'{name}.' * (1 + 37 * (index % 7))
            fut = world.ask_later(
                index % 2, name, body=body, idempotent=index % 3 != 0
            )
            submitted[name] = (body, fut)
        process_world.wait_for(
            functools.partial(has_started, world, started_before),
            'some calls have started',
        )
        world.control(urls[paused], paused=False)
    for name, (body, fut) in submitted.items():
        answer = fut.result(process_world.LIMIT_S)
        assert answer.get('outcome') == 'done', f'{name}: {answer}'
        assert answer['body'] == f'test/{name}:{body}'
    runs = world.runs()
    assert all(runs[name] >= 1 for name in submitted)
    singles = [n for n in submitted if int(n.partition('-')[2]) % 3 == 0]
    assert {runs[name] for name in singles} == {1}
    world.check_capacity()

"""Check P7 and P8 with real processes: stops under load cut nothing."""

import collections
from collections import abc
import itertools
import signal
import threading

import process_world
import pytest

from kcr_emulator import harness

# Callers that ask without a pause.
CALLERS = 12
# Requests that are answered between two steps of a case.
ROUND = 200


@pytest.fixture(scope='module')
def world() -> abc.Iterator[process_world.World]:
    """Return a deployment of two entries and three instances."""
    shape = harness.Shape(instances=3, service_ms=30.0)
    with process_world.deploy(shape) as world:
        yield world


class Callers:
    """Keep asking the entries; each answer is kept by id and entry."""

    def __init__(self, world: process_world.World) -> None:
        # Deployment that is asked.
        self.world = world
        # Entries that are asked.
        self.entries = [0, 1]
        # Answers by id, with the entry that gave each.
        self.answers: dict[str, list[tuple[int, process_world.Json]]] = {}
        self._stop = threading.Event()
        self._numbers = itertools.count()
        self._asking = [
            world.callers.submit(self._keep_asking, n) for n in range(CALLERS)
        ]

    def _keep_asking(self, offset: int) -> None:
        while not self._stop.is_set():
            number = next(self._numbers)
            name = f'c{id(self)}-{number}'
            # Every fourth request must not run twice.
            safe = number % 4 != 0
            given: list[tuple[int, process_world.Json]] = []
            for again in range(4):
                entry = self.entries[(offset + again) % len(self.entries)]
                answer = self.world.ask(
                    entry, name, idempotent=safe, resubmitted=again > 0
                )
                given.append((entry, answer))
                if answer.get('outcome') in ('done', 'unknown'):
                    break
            self.answers[name] = given

    def wait_round(self) -> None:
        """Wait until more requests have ended."""
        enough = len(self.answers) + ROUND
        process_world.wait_for(
            lambda: len(self.answers) >= enough, 'requests are answered'
        )

    def finish(self) -> dict[str, list[tuple[int, process_world.Json]]]:
        """Stop asking and return all answers."""
        self._stop.set()
        for fut in self._asking:
            fut.result(process_world.LIMIT_S)
        return self.answers


def check_whole(callers: Callers) -> None:
    """Check that each request got its whole answer, and ran as it may."""
    answers = callers.finish()
    runs = callers.world.runs()
    wrong = {}
    for name, given in answers.items():
        last = given[-1][1]
        whole = last.get('body') == f'test/{name}:body of {name}'
        if last.get('outcome') != 'done' or not whole:
            wrong[name] = given
        if int(name.rpartition('-')[2]) % 4 == 0:
            assert runs[name] == 1, f'{name} ran {runs[name]} times: {given}'
    assert wrong == {}
    callers.world.check_capacity()


def test_stopping_entry_cuts_no_request(world: process_world.World) -> None:
    """Guard against a drain that drops requests or closes too early."""
    callers = Callers(world)
    callers.wait_round()
    entry = world.process('entry-1')
    entry.signal(signal.SIGTERM)
    # The load balancer sees the health check fail, and sends on to entry 0.
    process_world.wait_for(
        lambda: world.health(1) != 200, 'the health check fails'
    )
    callers.entries = [0]
    assert entry.popen is not None
    assert entry.popen.wait(process_world.LIMIT_S) == 0
    callers.wait_round()
    check_whole(callers)
    # A connection that is refused was never a request; none was cut.
    outcomes = collections.Counter(
        answer.get('outcome', 'no answer')
        for given in callers.answers.values()
        for asked, answer in given
        if asked == 1
    )
    assert set(outcomes) == {'done'}, outcomes
    entry.start()
    world.wait_ready()


def test_stopping_entry_waits_for_slow_calls(
    world: process_world.World,
) -> None:
    """Guard against an entry that ends before its open requests have."""
    names = [f'slow-{n}' for n in range(4)]
    entry = world.process('entry-1')
    world.control_runners(paused=True)
    try:
        asked = {name: world.ask_later(1, name) for name in names}
        process_world.wait_for(
            lambda: all(world.runs()[name] for name in names), 'all run'
        )
        entry.signal(signal.SIGTERM)
        process_world.wait_for(
            lambda: world.health(1) == 0, 'the listener is closed'
        )
    finally:
        world.control_runners(paused=False)
    for name, fut in asked.items():
        answer = fut.result(process_world.LIMIT_S)
        assert answer.get('body') == f'test/{name}:body of {name}', answer
    assert entry.popen is not None
    assert entry.popen.wait(process_world.LIMIT_S) == 0
    entry.start()
    world.wait_ready()


def test_stopping_sidecar_cuts_no_request(world: process_world.World) -> None:
    """Guard against a sidecar that drops calls when it is told to stop."""
    callers = Callers(world)
    callers.wait_round()
    sidecar = world.process('sidecar/instance-0')
    sidecar.signal(signal.SIGTERM)
    assert sidecar.popen is not None
    assert sidecar.popen.wait(process_world.LIMIT_S) == 0
    callers.wait_round()
    check_whole(callers)
    sidecar.start()
    world.wait_ready()


def test_silent_endpoint_gets_no_new_work(world: process_world.World) -> None:
    """Guard against work for an endpoint whose goodbye was lost."""
    sidecar = world.process('sidecar/instance-1')
    sidecar.signal(signal.SIGSTOP)
    # It is told to stop, and can say no goodbye.
    sidecar.signal(signal.SIGTERM)
    try:
        process_world.wait_for(
            lambda: all(
                'instance-1' not in world.up(entry) for entry in (0, 1)
            ),
            'the silence is seen',
        )
        before = world.runner_counts()[1]['runs']
        callers = Callers(world)
        callers.wait_round()
        check_whole(callers)
        assert world.runner_counts()[1]['runs'] == before
    finally:
        sidecar.signal(signal.SIGCONT)
    # Nothing that was sent meanwhile may reach the runner late.
    assert sidecar.popen is not None
    assert sidecar.popen.wait(process_world.LIMIT_S) == 0
    late = set(world.runner_counts()[1]['runs']) - set(before)
    assert late == set()
    world.check_capacity()

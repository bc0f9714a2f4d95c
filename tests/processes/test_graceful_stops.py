"""Check guarantees P7 and P8 with real processes: graceful stops.

Guarantees P1 to P9 are numbered in docs/promises.md.
Stopping an entry or a sidecar under load interrupts no request, and an
endpoint that does not respond gets no new work.
"""

import collections
from collections import abc
import itertools
import signal
import threading

import process_world
import pytest

from kcr_emulator import harness

# Number of callers that submit requests without a pause.
CALLERS = 12
# Number of requests answered between two steps of a test.
ROUND = 200


@pytest.fixture(scope='module')
def world() -> abc.Iterator[process_world.World]:
    """Return a deployment of two entries and three instances."""
    shape = harness.Shape(instances=3, service_ms=30.0)
    with process_world.deploy(shape) as world:
        yield world


class BackgroundCallers:
    """Submit requests in the background; store the answers by id."""

    def __init__(self, world: process_world.World) -> None:
        # Deployment under test.
        self.world = world
        # Numbers of the entries that get requests.
        self.entries = [0, 1]
        # Answers by request id, each with the number of the entry.
        self.answers: dict[str, list[tuple[int, process_world.Json]]] = {}
        self._stop = threading.Event()
        self._numbers = itertools.count()
        self._running = [
            world.callers.submit(self._keep_submitting, n)
            for n in range(CALLERS)
        ]

    def _keep_submitting(self, offset: int) -> None:
        while not self._stop.is_set():
            number = next(self._numbers)
            name = f'c{id(self)}-{number}'
            # Every fourth request is not idempotent.
            idempotent = number % 4 != 0
            responses: list[tuple[int, process_world.Json]] = []
            for retry in range(4):
                entry = self.entries[(offset + retry) % len(self.entries)]
                answer = self.world.ask(
                    entry, name, idempotent=idempotent, resubmitted=retry > 0
                )
                responses.append((entry, answer))
                if answer.get('outcome') in ('done', 'unknown'):
                    break
            self.answers[name] = responses

    def wait_round(self) -> None:
        """Wait until `ROUND` more requests have ended."""
        target = len(self.answers) + ROUND
        process_world.wait_for(
            lambda: len(self.answers) >= target, 'requests are answered'
        )

    def finish(self) -> dict[str, list[tuple[int, process_world.Json]]]:
        """Stop the callers and return all answers."""
        self._stop.set()
        for fut in self._running:
            fut.result(process_world.LIMIT_S)
        return self.answers


def check_whole(callers: BackgroundCallers) -> None:
    """Check that each request got its complete answer, without reruns."""
    answers = callers.finish()
    runs = callers.world.runs()
    wrong = {}
    for name, responses in answers.items():
        last = responses[-1][1]
        whole = last.get('body') == f'test/{name}:body of {name}'
        if last.get('outcome') != 'done' or not whole:
            wrong[name] = responses
        if int(name.rpartition('-')[2]) % 4 == 0:
            assert runs[name] == 1, (
                f'{name} ran {runs[name]} times: {responses}'
            )
    assert wrong == {}
    callers.world.check_capacity()


def test_stopping_entry_cuts_no_request(world: process_world.World) -> None:
    """Guard against a drain that drops requests or closes too early."""
    callers = BackgroundCallers(world)
    callers.wait_round()
    entry = world.process('entry-1')
    entry.signal(signal.SIGTERM)
    # The load balancer then sends to entry 0 only, as its health check of
    # entry 1 fails.
    process_world.wait_for(
        lambda: world.health(1) != 200, 'the health check fails'
    )
    callers.entries = [0]
    assert entry.popen is not None
    assert entry.popen.wait(process_world.LIMIT_S) == 0
    callers.wait_round()
    check_whole(callers)
    # Entry 1 interrupted no request; a refused connection is not a request.
    outcomes = collections.Counter(
        answer.get('outcome', 'no answer')
        for responses in callers.answers.values()
        for entry_number, answer in responses
        if entry_number == 1
    )
    assert set(outcomes) == {'done'}, outcomes
    entry.start()
    world.wait_ready()


def test_stopping_entry_waits_for_slow_calls(
    world: process_world.World,
) -> None:
    """Guard against an entry that exits before its open requests end."""
    names = [f'slow-{n}' for n in range(4)]
    entry = world.process('entry-1')
    world.control_runners(paused=True)
    try:
        pending = {name: world.ask_later(1, name) for name in names}
        process_world.wait_for(
            lambda: all(world.runs()[name] for name in names), 'all run'
        )
        entry.signal(signal.SIGTERM)
        process_world.wait_for(
            lambda: world.health(1) == 0, 'the listener is closed'
        )
    finally:
        world.control_runners(paused=False)
    for name, fut in pending.items():
        answer = fut.result(process_world.LIMIT_S)
        assert answer.get('body') == f'test/{name}:body of {name}', answer
    assert entry.popen is not None
    assert entry.popen.wait(process_world.LIMIT_S) == 0
    entry.start()
    world.wait_ready()


def test_stopping_sidecar_cuts_no_request(world: process_world.World) -> None:
    """Guard against a sidecar that drops calls on SIGTERM."""
    callers = BackgroundCallers(world)
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
    """Guard against work for an endpoint that cannot announce its stop."""
    sidecar = world.process('sidecar/instance-1')
    sidecar.signal(signal.SIGSTOP)
    # While suspended, it cannot announce that it stops.
    sidecar.signal(signal.SIGTERM)
    try:
        process_world.wait_for(
            lambda: all(
                'instance-1' not in world.up(entry) for entry in (0, 1)
            ),
            'endpoint is no longer up',
        )
        before = world.runner_counts()[1]['runs']
        callers = BackgroundCallers(world)
        callers.wait_round()
        check_whole(callers)
        assert world.runner_counts()[1]['runs'] == before
    finally:
        sidecar.signal(signal.SIGCONT)
    # No call that was sent meanwhile may reach the runner late.
    assert sidecar.popen is not None
    assert sidecar.popen.wait(process_world.LIMIT_S) == 0
    late = set(world.runner_counts()[1]['runs']) - set(before)
    assert late == set()
    world.check_capacity()

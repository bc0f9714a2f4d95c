"""Measure the processor time of messages and requests on a fake clock."""

import gc
import time
import timeit
import typing

from kcr_core import messages
from kcr_core import types
from kcr_emulator import capacity_plan
from kcr_emulator import capacity_world
from kcr_runtime.wire import codec

Values = dict[str, float]

# Fake time of one window, in seconds, and windows of which the least counts.
WINDOW_S = 10.0
WINDOWS = 3
# Requests and tasks of one measurement, and their rates per second.
REQUESTS = 400
REQUESTS_PER_S = 100.0
TASKS = 200
TASKS_PER_S = 50.0
# Messages whose cost is listed, and whether the dialing side sends them.
KINDS = {
    'heartbeat': True,
    'heartbeat_ack': False,
    'execute': False,
    'executed': True,
    'assign': False,
    'started': True,
    'finished': True,
    'report_ack': False,
    'control': False,
    'peer_heartbeat': True,
}
# Repeats of one encoding or decoding.
REPEATS = 2000


def rest_rates(world: capacity_world.World) -> dict[str, float]:
    """Return the least processor share of each host at rest.

    The collector is off: in this process it would walk the heaps of all
    roles at the cost of the one that happens to run.
    """
    least: dict[str, float] = {}
    for _ in range(WINDOWS):
        gc.collect()
        gc.disable()
        before = {host.name: host.cpu_s for host in world.net.hosts}
        world.net.run(WINDOW_S)
        for host in world.net.hosts:
            rate = (host.cpu_s - before[host.name]) / WINDOW_S
            least[host.name] = min(rate, least.get(host.name, rate))
        gc.enable()
    return least


def measure_rest() -> Values:
    """Return the share of a core at rest by attached processes."""
    by_sidecars = []
    for count in (2, 8, 16):
        rates = rest_rates(capacity_world.World(1, count))
        by_sidecars.append((float(count), rates['entry-0']))
    by_entries, peers = [], []
    for count in (1, 2, 3):
        rates = rest_rates(capacity_world.World(count, 2))
        by_entries.append((float(count), rates['sidecar-0']))
        peers.append((float(count - 1), rates['entry-0']))
    entry = capacity_plan.fit(by_sidecars)
    sidecar = capacity_plan.fit(by_entries)
    return {
        'entry per attached sidecar, us/s': entry.slope * 1e6,
        'entry without sidecars, us/s': entry.base * 1e6,
        'entry per peer, us/s': capacity_plan.fit(peers).slope * 1e6,
        'sidecar per entry, us/s': sidecar.slope * 1e6,
        'sidecar without entries, us/s': sidecar.base * 1e6,
    }


def make_request(number: int, idempotent: bool) -> dict[str, typing.Any]:
    """Return the body of a request."""
    return {
        'id': f'r{number}',
        'caller': 'capacity',
        'service': 'web',
        'issued_at_ms': int(time.time() * 1000),
        'deadline_ms': 5000,
        'idempotent': idempotent,
        'body': 'x' * 100,
    }


def make_task(number: int, run_s: float) -> dict[str, typing.Any]:
    """Return the body of a task."""
    return {
        'id': f't{number}',
        'caller': 'capacity',
        'team': 'research',
        'kind': 'batch',
        'demand': {'processors': 0.5, 'memory_mb': 100.0},
        'run_s': run_s,
    }


def measure_requests(idempotent: bool) -> Values:
    """Return the processor time and the appends per request."""
    world = capacity_world.World(1, 2)
    rates = rest_rates(world)
    before = {host.name: host.cpu_s for host in world.net.hosts}
    began, appends = world.net.now, count_appends(world, 'claims')
    got: list[typing.Any] = []
    for number in range(REQUESTS):
        body = make_request(number, idempotent)
        world.call('POST', '/v1/requests', body).addCallback(got.append)
        world.net.run(1.0 / REQUESTS_PER_S)
    world.net.run(2.0)
    done = sum(b'"done"' in reply.body for reply in got)
    assert done == REQUESTS, f'{done} of {REQUESTS} were answered'
    spent = subtract_rest(world, before, rates, world.net.now - began)
    appended = count_appends(world, 'claims') - appends
    return {
        'entry, us': spent['entry-0'] / REQUESTS * 1e6,
        'sidecar, us': (spent['sidecar-0'] + spent['sidecar-1'])
        / REQUESTS
        * 1e6,
        'appends at 100/s': appended / REQUESTS,
    }


def subtract_rest(
    world: capacity_world.World,
    before: dict[str, float],
    rates: dict[str, float],
    seconds: float,
) -> dict[str, float]:
    """Return the processor time of each host beyond that at rest."""
    return {
        host.name: host.cpu_s - before[host.name] - rates[host.name] * seconds
        for host in world.net.hosts
    }


def count_appends(world: capacity_world.World, prefix: str) -> int:
    """Return the records of the streams with a prefix."""
    streams = world.log.streams.items()
    return sum(s.last for name, s in streams if name.startswith(prefix))


def measure_tasks() -> Values:
    """Return the processor time and the appends of short tasks."""
    world = capacity_world.World(1, 2)
    rates = rest_rates(world)
    before = {host.name: host.cpu_s for host in world.net.hosts}
    began, appends = world.net.now, count_appends(world, 'tasks.')
    for number in range(TASKS):
        world.call('POST', '/v1/tasks', make_task(number, 0.5))
        world.net.run(1.0 / TASKS_PER_S)
    world.net.run(8.0)
    state = world.contexts[0].directory.dump()['work/tasks']
    assert state['records'].get('finished') == TASKS, state
    spent = subtract_rest(world, before, rates, world.net.now - began)
    appended = count_appends(world, 'tasks.') - appends
    return {
        'entry, us': spent['entry-0'] / TASKS * 1e6,
        'sidecar, us': (spent['sidecar-0'] + spent['sidecar-1']) / TASKS * 1e6,
        'appends at 50/s': appended / TASKS,
    }


def measure_running() -> Values:
    """Return the share of a core by tasks that run on at a home."""
    home, entry = [], []
    for count in (0, 8, 16, 32):
        world = capacity_world.World(1, 1)
        for number in range(count):
            world.call('POST', '/v1/tasks', make_task(number, 1e6))
        world.net.run(5.0)
        state = world.contexts[0].directory.dump()['work/tasks']
        assert state['live'] == count, state
        rates = rest_rates(world)
        home.append((float(count), rates['sidecar-0']))
        entry.append((float(count), rates['entry-0']))
    sidecar = capacity_plan.fit(home)
    return {
        'sidecar per running task, us/s': sidecar.slope * 1e6,
        'sidecar without tasks, us/s': sidecar.base * 1e6,
        'entry per running task, us/s': capacity_plan.fit(entry).slope * 1e6,
    }


def measure_kinds() -> dict[str, Values]:
    """Return bytes and microseconds of each kind of message."""
    with capacity_world.Recorder() as recorder:
        world = capacity_world.World(2, 2)
        for number in range(100):
            body = make_request(number, True)
            world.call('POST', '/v1/requests', body)
            world.call('POST', '/v1/tasks', make_task(number, 0.5))
            world.net.run(0.02)
        world.net.run(30.0)
    control = messages.Control(1, types.ControlSettings())
    recorder.samples.setdefault('control', control)
    return {
        tag: measure_kind(recorder, tag, masked)
        for tag, masked in KINDS.items()
        if tag in recorder.samples
    }


def measure_kind(
    recorder: capacity_world.Recorder, tag: str, masked: bool
) -> Values:
    """Return bytes and microseconds of one kind of message."""
    msg = recorder.samples[tag]
    frame = codec.encode(msg)
    return {
        'payload B': float(len(frame)),
        'on the wire B': float(capacity_plan.wire_bytes(len(frame), masked)),
        'encode us': time_us(lambda: codec.encode(msg)),
        'decode us': time_us(lambda: codec.decode(frame)),
        'send us': recorder.step_us(tag, 'send'),
        'route us': recorder.step_us(tag, 'route'),
        'handle us': recorder.step_us(tag, 'handle'),
    }


def time_us(work: typing.Callable[[], typing.Any]) -> float:
    """Return the least time of a call, in microseconds."""
    work()
    spent = timeit.repeat(
        work, timer=time.thread_time, repeat=3, number=REPEATS
    )
    return min(spent) / REPEATS * 1e6

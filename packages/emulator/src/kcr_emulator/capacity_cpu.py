"""Measure the CPU time of messages, requests and tasks on a fake clock.

`capacity` calls the `measure_` functions. They run whole roles in this process
in a `capacity_harness.Harness`, which counts the CPU time of each host.
"""

import gc
import time
import timeit
import typing

from kcr_core import messages
from kcr_core import types
from kcr_emulator import capacity_harness
from kcr_emulator import capacity_plan
from kcr_runtime.wire import codec

Values = dict[str, float]

# Fake time of one window, in seconds, and windows of which the lowest counts.
WINDOW_S = 10.0
WINDOWS = 3
# Requests and tasks of one measurement, and their rates per second.
REQUEST_COUNT = 400
REQUESTS_PER_S = 100.0
TASK_COUNT = 200
TASKS_PER_S = 50.0
# Messages whose cost is listed, and whether the dialing side sends them, which
# masks its frames.
MESSAGE_KINDS = {
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
# Repetitions of one encoding or decoding.
REPEATS = 2000


def measure_idle_rates(harness: capacity_harness.Harness) -> dict[str, float]:
    """Return the lowest CPU share of each idle host.

    The garbage collector is disabled: it would traverse the objects of all
    roles, and the host that happens to run would be charged for it.
    """
    lowest: dict[str, float] = {}
    for _ in range(WINDOWS):
        gc.collect()
        gc.disable()
        before = {host.name: host.cpu_s for host in harness.net.hosts}
        harness.net.run(WINDOW_S)
        for host in harness.net.hosts:
            rate = (host.cpu_s - before[host.name]) / WINDOW_S
            lowest[host.name] = min(rate, lowest.get(host.name, rate))
        gc.enable()
    return lowest


def measure_idle() -> Values:
    """Return the CPU time of idle roles by the number of connections."""
    by_sidecars = []
    for count in (2, 8, 16):
        idle_rates = measure_idle_rates(capacity_harness.Harness(1, count))
        by_sidecars.append((float(count), idle_rates['entry-0']))
    by_entries, peers = [], []
    for count in (1, 2, 3):
        idle_rates = measure_idle_rates(capacity_harness.Harness(count, 2))
        by_entries.append((float(count), idle_rates['sidecar-0']))
        peers.append((float(count - 1), idle_rates['entry-0']))
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
    """Return the CPU time and the appends per request."""
    harness = capacity_harness.Harness(1, 2)
    idle_rates = measure_idle_rates(harness)
    before = {host.name: host.cpu_s for host in harness.net.hosts}
    started_at, appends = harness.net.now, count_appends(harness, 'claims')
    replies: list[typing.Any] = []
    for number in range(REQUEST_COUNT):
        body = make_request(number, idempotent)
        harness.call('POST', '/v1/requests', body).addCallback(replies.append)
        harness.net.run(1.0 / REQUESTS_PER_S)
    harness.net.run(2.0)
    done = sum(b'"done"' in reply.body for reply in replies)
    assert done == REQUEST_COUNT, (
        f'{done} of {REQUEST_COUNT} requests have the outcome done'
    )
    spent = subtract_idle(
        harness, before, idle_rates, harness.net.now - started_at
    )
    appended = count_appends(harness, 'claims') - appends
    return {
        'entry, us': spent['entry-0'] / REQUEST_COUNT * 1e6,
        'sidecar, us': (spent['sidecar-0'] + spent['sidecar-1'])
        / REQUEST_COUNT
        * 1e6,
        'appends at 100/s': appended / REQUEST_COUNT,
    }


def subtract_idle(
    harness: capacity_harness.Harness,
    before: dict[str, float],
    idle_rates: dict[str, float],
    seconds: float,
) -> dict[str, float]:
    """Return the CPU time of each host without its idle share."""
    return {
        host.name: host.cpu_s
        - before[host.name]
        - idle_rates[host.name] * seconds
        for host in harness.net.hosts
    }


def count_appends(harness: capacity_harness.Harness, prefix: str) -> int:
    """Return the number of records in the streams with a prefix."""
    streams = harness.log.streams.items()
    return sum(s.last for name, s in streams if name.startswith(prefix))


def measure_tasks() -> Values:
    """Return the CPU time and the appends per short task."""
    harness = capacity_harness.Harness(1, 2)
    idle_rates = measure_idle_rates(harness)
    before = {host.name: host.cpu_s for host in harness.net.hosts}
    started_at, appends = harness.net.now, count_appends(harness, 'tasks.')
    for number in range(TASK_COUNT):
        harness.call('POST', '/v1/tasks', make_task(number, 0.5))
        harness.net.run(1.0 / TASKS_PER_S)
    harness.net.run(8.0)
    state = harness.contexts[0].directory.dump()['work/tasks']
    assert state['records'].get('finished') == TASK_COUNT, state
    spent = subtract_idle(
        harness, before, idle_rates, harness.net.now - started_at
    )
    appended = count_appends(harness, 'tasks.') - appends
    return {
        'entry, us': spent['entry-0'] / TASK_COUNT * 1e6,
        'sidecar, us': (spent['sidecar-0'] + spent['sidecar-1'])
        / TASK_COUNT
        * 1e6,
        'appends at 50/s': appended / TASK_COUNT,
    }


def measure_running() -> Values:
    """Return the CPU time per second by the number of running tasks."""
    home, entry = [], []
    for count in (0, 8, 16, 32):
        harness = capacity_harness.Harness(1, 1)
        for number in range(count):
            harness.call('POST', '/v1/tasks', make_task(number, 1e6))
        harness.net.run(5.0)
        state = harness.contexts[0].directory.dump()['work/tasks']
        assert state['live'] == count, state
        idle_rates = measure_idle_rates(harness)
        home.append((float(count), idle_rates['sidecar-0']))
        entry.append((float(count), idle_rates['entry-0']))
    sidecar = capacity_plan.fit(home)
    return {
        'sidecar per running task, us/s': sidecar.slope * 1e6,
        'sidecar without tasks, us/s': sidecar.base * 1e6,
        'entry per running task, us/s': capacity_plan.fit(entry).slope * 1e6,
    }


def measure_message_kinds() -> dict[str, Values]:
    """Return the bytes and the processing times of each kind of message."""
    with capacity_harness.Recorder() as recorder:
        harness = capacity_harness.Harness(2, 2)
        for number in range(100):
            body = make_request(number, True)
            harness.call('POST', '/v1/requests', body)
            harness.call('POST', '/v1/tasks', make_task(number, 0.5))
            harness.net.run(0.02)
        harness.net.run(30.0)
    control = messages.Control(1, types.ControlSettings())
    recorder.samples.setdefault('control', control)
    return {
        tag: measure_message_kind(recorder, tag, masked)
        for tag, masked in MESSAGE_KINDS.items()
        if tag in recorder.samples
    }


def measure_message_kind(
    recorder: capacity_harness.Recorder, tag: str, masked: bool
) -> Values:
    """Return the bytes and the processing times of one kind of message."""
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


def time_us(function: typing.Callable[[], typing.Any]) -> float:
    """Return the lowest time of a call, in microseconds."""
    function()
    spent = timeit.repeat(
        function, timer=time.thread_time, repeat=3, number=REPEATS
    )
    return min(spent) / REPEATS * 1e6

"""Measure memory, CPU share and start time of real processes on loopback.

`capacity` calls the `measure_` functions; each one starts a deployment.
"""

import functools
import sys
import time
import typing

from kcr_core import records
from kcr_emulator import capacity_cpu
from kcr_emulator import capacity_plan
from kcr_emulator import capacity_state
from kcr_emulator import harness
from kcr_emulator import http
from kcr_runtime import log_records

Values = dict[str, float]

# Duration of one measurement of the CPU share, in seconds.
WINDOW_S = 8.0
# Timeout until a deployment is ready, in seconds.
READY_TIMEOUT_S = 30.0
# Numbers of fake sidecars attached to an entry.
SIDECAR_COUNTS = (0, 100, 300)
# Numbers of tasks running at one sidecar.
TASK_COUNTS = (0, 16)
# Number of live tasks in the stream that an entry reads at its start.
LIVE_TASKS = 40_000
# Items per record of that stream.
ITEMS_PER_RECORD = 400
# Number of instances to which these tasks are assigned.
FLEET_SIZE = 2275
# Rates of the load, in requests per second.
IDEMPOTENT_PER_S = 120
SINGLE_PER_S = 20


def measure_usage(
    deployment: harness.Deployment, seconds: float
) -> dict[str, tuple[float, float]]:
    """Return CPU share and resident MB of each entry and sidecar."""
    daemons = {
        name: process
        for name, process in deployment.processes.items()
        if name.startswith(('entry-', 'sidecar/'))
    }
    before = {name: p.cpu_seconds() for name, p in daemons.items()}
    started_at = time.monotonic()
    time.sleep(seconds)
    spent = time.monotonic() - started_at
    return {
        name: (
            (p.cpu_seconds() - before[name]) / spent,
            p.resident_kb() / 1024.0,
        )
        for name, p in daemons.items()
    }


def count_up_endpoints(url: str) -> int:
    """Return the number of endpoints up at an entry; -1 without answer."""
    status, dump = http.call('GET', f'{url}/v1/dump')
    if status != 200:
        return -1
    endpoints = dump['fleet/membership']['endpoints'].values()
    return sum(e['phase'] == 'up' for e in endpoints)


def wait_for_endpoints(deployment: harness.Deployment, count: int) -> None:
    """Wait until `count` endpoints are up at every entry."""
    urls = deployment.entry_urls()
    harness.wait_for(
        lambda: all(count_up_endpoints(url) >= count for url in urls),
        READY_TIMEOUT_S,
        f'{count} endpoints',
    )


def measure_idle() -> dict[str, Values]:
    """Return CPU share and memory of idle and of loaded processes."""
    with harness.Deployment(harness.Shape(entries=2)) as deployment:
        deployment.start()
        wait_for_endpoints(deployment, 3)
        time.sleep(3.0)
        idle = measure_usage(deployment, WINDOW_S)
        out = deployment.folder / 'load.json'
        command = [sys.executable, '-m', 'kcr_emulator.load_tool']
        command += ['--out', str(out), '--seconds', str(WINDOW_S + 3.0)]
        command += ['--idempotent-per-s', str(IDEMPOTENT_PER_S)]
        command += ['--single-per-s', str(SINGLE_PER_S)]
        command += ['--entries', *deployment.entry_urls()]
        sender = harness.Managed(
            'load', command, deployment.folder / 'load.log'
        )
        deployment.processes['load'] = sender
        sender.start()
        time.sleep(3.0)
        load = measure_usage(deployment, WINDOW_S)
    found = {}
    for name, (share, memory) in idle.items():
        found[name] = {
            'core % at rest': share * 100.0,
            'Rss MB at rest': memory,
            'core % under load': load[name][0] * 100.0,
            'Rss MB under load': load[name][1],
        }
    return found


def measure_attached() -> Values:
    """Return CPU and memory of an entry by the number of its sidecars."""
    shares, memories, found = [], [], {}
    for count in SIDECAR_COUNTS:
        shape = harness.Shape(entries=1, instances=0)
        with harness.Deployment(shape) as deployment:
            deployment.start()
            wait_for_endpoints(deployment, 0)
            if count:
                start_fake_sidecars(deployment, count)
                wait_for_endpoints(deployment, count)
            time.sleep(3.0)
            share, memory = measure_usage(deployment, WINDOW_S)['entry-0']
        shares.append((float(count), share))
        memories.append((float(count), memory))
        found[f'core % with {count}'] = share * 100.0
        found[f'Rss MB with {count}'] = memory
    share_fit = capacity_plan.fit(shares)
    memory_fit = capacity_plan.fit(memories)
    return {
        **found,
        'us/s per sidecar': share_fit.slope * 1e6,
        'us/s without sidecars': share_fit.base * 1e6,
        'Rss KB per sidecar': memory_fit.slope * 1024.0,
        'Rss MB without sidecars': memory_fit.base,
    }


def measure_running() -> Values:
    """Return the CPU share of a sidecar by the number of its tasks."""
    shares: list[tuple[float, float]] = []
    found: Values = {}
    shape = harness.Shape(entries=1, instances=1)
    with harness.Deployment(shape) as deployment:
        deployment.start()
        wait_for_endpoints(deployment, 1)
        url = deployment.entry_urls()[0]
        for count in TASK_COUNTS:
            for number in range(count):
                body = capacity_cpu.make_task(number, 1e6)
                status, answer = http.call('POST', f'{url}/v1/tasks', body)
                assert answer.get('outcome') == 'accepted', (status, answer)
            harness.wait_for(
                functools.partial(has_live, url, count),
                READY_TIMEOUT_S,
                f'{count} tasks',
            )
            time.sleep(5.0)
            share, _ = measure_usage(deployment, WINDOW_S)[
                'sidecar/instance-0'
            ]
            shares.append((float(count), share))
            found[f'core % with {count} tasks'] = share * 100.0
    slope = capacity_plan.fit(shares).slope
    return {**found, 'us/s per task': slope * 1e6}


def start_fake_sidecars(deployment: harness.Deployment, count: int) -> None:
    """Start a process with fake sidecars of the first entry."""
    command = [sys.executable, '-m', 'kcr_emulator.capacity_fakes']
    command += ['--port', str(deployment.entries['entry-0'].wire)]
    command += ['--count', str(count)]
    fakes = harness.Managed('fakes', command, deployment.folder / 'fakes.log')
    deployment.processes['fakes'] = fakes
    fakes.start()


def fill_log(url: str) -> float:
    """Append the live tasks to the log; return the bytes of the records."""
    stream = records.tasks_stream('region-0')
    size = 0
    for first in range(0, LIVE_TASKS, ITEMS_PER_RECORD):
        items = tuple(
            records.Accepted(
                capacity_state.make_spec(number),
                capacity_state.make_home(number, FLEET_SIZE),
                int(time.time() * 1000),
            )
            for number in range(first, first + ITEMS_PER_RECORD)
        )
        data = log_records.encode(records.Batch('writer', items))
        size += len(data)
        body = {'id': f'fill:{first}', 'data': data}
        path = f'{url}/v1/streams/{stream}/records'
        status, answer = http.call('POST', path, body)
        assert status == 200, answer
        time.sleep(0.01)
    return float(size)


def measure_start() -> Values:
    """Return time and memory of an entry that starts with live tasks."""
    shape = harness.Shape(entries=1, instances=0)
    with harness.Deployment(shape) as deployment:
        deployment.start()
        wait_for_endpoints(deployment, 0)
        entry = deployment.processes['entry-0']
        time.sleep(2.0)
        empty_kb = entry.resident_kb()
        entry.kill()
        size = fill_log(deployment.log_url())
        started_at = time.monotonic()
        entry.start()
        url = deployment.entry_urls()[0]
        harness.wait_for(lambda: count_live(url) == LIVE_TASKS, 120.0, 'tasks')
        spent = time.monotonic() - started_at
        used = entry.cpu_seconds()
        time.sleep(3.0)
        full_kb = entry.resident_kb()
        share, _ = measure_usage(deployment, WINDOW_S)['entry-0']
    return {
        'live tasks': float(LIVE_TASKS),
        'bytes read per task': size / LIVE_TASKS,
        's until read': spent,
        'processor s until read': used,
        'processor us per task': used / LIVE_TASKS * 1e6,
        'Rss MB before': empty_kb / 1024.0,
        'Rss MB after': full_kb / 1024.0,
        'Rss KB per task': (full_kb - empty_kb) / LIVE_TASKS,
        'core % at rest after': share * 100.0,
    }


def has_live(url: str, count: int) -> bool:
    """Return whether an entry has `count` live tasks."""
    return count_live(url) == count


def count_live(url: str) -> int:
    """Return the live tasks of an entry; -1 before it has read them."""
    status, dump = http.call('GET', f'{url}/v1/dump')
    if status != 200:
        return -1
    state: dict[str, typing.Any] = dump['work/tasks']
    return int(state['live']) if state['caught_up'] else -1

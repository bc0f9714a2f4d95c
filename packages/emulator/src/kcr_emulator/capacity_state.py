"""Measure the memory of each kind of state and the time of decisions.

`capacity` calls the `measure_` functions. Objects are built from decoded text
as in a daemon, so that strings are shared only where a daemon shares them.
"""

from collections import abc
import dataclasses
import functools
import gc
import json
import random
import time
import tracemalloc
import typing

from kcr_core import claims
from kcr_core import document_text
from kcr_core import homes
from kcr_core import ledger
from kcr_core import membership
from kcr_core import message_base
from kcr_core import messages
from kcr_core import placement
from kcr_core import records
from kcr_core import task_control
from kcr_core import types
from kcr_document import document
from kcr_emulator import bench_cost
from kcr_emulator import capacity_plan
from kcr_emulator import documents
from kcr_emulator import harness
from kcr_runtime import log_records
from kcr_runtime.wire import codec

Values = dict[str, float]

# Numbers of units between which the slope of the memory is taken.
SIZES = (1000, 4000)
# Runs of which the lowest counts.
RUNS = 3
# Numbers of endpoints of the measured fleets.
FLEET_SIZES = (10, 100, 1000, 2300)
# Number of tasks placed in one measurement.
PLACEMENTS = 300
# Demand of these tasks; all of them fit into the smallest fleet.
SMALL_DEMAND = types.Demand(0.1, 10.0)
# Separator line between the documents of a file.
DOCUMENT_SEPARATOR = '---\n'
# Numbers of instances in the measured documents.
DOCUMENT_SIZES = (100, 1000)


def make_spec(number: int) -> types.TaskSpec:
    """Return the specification of a task."""
    return types.TaskSpec(
        f'task-{number:08d}',
        'caller-7',
        f'team-{number % 250}',
        'batch',
        types.Demand(2.0, 1000.0, 1),
        run_s=600.0,
        job=f'job-{number // 20}',
    )


def make_home(number: int, fleet: int) -> types.Home:
    """Return the home of a task in a fleet."""
    name = number % fleet
    return types.Home(f'instance-{name:05d}', f'{name:016x}', 1)


def decode_record(item: typing.Any) -> typing.Any:
    """Return a copy of a record as a reader decodes it from the log."""
    kind, value = json.loads(log_records.encode_item(item))
    return codec.from_plain(records.RECORDS.get(kind), value)


def bytes_per_unit(build: abc.Callable[[int], object]) -> float:
    """Return the bytes of state per unit: the slope between two sizes."""
    build(1)
    points = [(float(size), min_bytes(build, size)) for size in SIZES]
    return capacity_plan.fit(points).slope


def min_bytes(build: abc.Callable[[int], object], size: int) -> float:
    """Return the bytes of a state: the lowest of several runs.

    A run may also grow the table of interned strings of the interpreter,
    which does not belong to the state.
    """
    found = []
    for _ in range(RUNS):
        gc.collect()
        tracemalloc.start()
        state = build(size)
        gc.collect()
        found.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
        assert state is not None
        del state
    return float(min(found))


def build_ledger(size: int, parked: bool) -> ledger.Ledger:
    """Return a ledger with live tasks, 17 on each instance or all parked."""
    state = ledger.Ledger()
    for number in range(size):
        home = None if parked else make_home(number, max(1, size // 17))
        reason = 'no room now' if parked else ''
        item = records.Accepted(make_spec(number), home, 1000, reason)
        state.apply(decode_record(item), 0.0, 1000)
    return state


def build_ended(size: int) -> ledger.Ledger:
    """Return a ledger with ended tasks, whose number it limits."""
    state = build_ledger(size, False)
    for key in list(state.live):
        item = records.FinishedRecord(key, 1, 'done', '')
        state.apply(decode_record(item), 0.0, 1000)
    return state


def build_claims(size: int) -> claims.Table:
    """Return a table of claims."""
    table = claims.Table()
    for number in range(size):
        item = records.Claimed(
            f'caller-7/request-{number:08d}',
            f'{number:032x}',
            '0123456789abcdef',
            1000 + number,
            f'0123456789abcdef:{number}',
        )
        table.apply(decode_record(item))
    return table


def build_home(size: int) -> list[task_control.HomeControl]:
    """Return the controls of homes with 20 waiting tasks each."""
    found = []
    for first in range(0, size, 20):
        home = task_control.HomeControl(
            'me', types.Demand(64.0, 64000.0, 8), types.ControlSettings()
        )
        for number in range(first, first + 20):
            msg = messages.Assign(make_spec(number), 1, 'me')
            copied = codec.decode(codec.encode(msg))
            home.assign(copied, 0.0)
            home.take_actions()
        found.append(home)
    return found


def build_fleet(size: int) -> tuple[membership.FleetView, homes.HomeTable]:
    """Return the state of an entry about its endpoints, no connections."""
    view = membership.FleetView(1.0)
    table = homes.HomeTable(ledger.Ledger(), random.Random(1))
    free = types.Demand(16.0, 60_000.0, 1)
    for number in range(size):
        home = make_home(number, size)
        place = types.Place(
            'region-0',
            f'zone-{number % 4}',
            f'rack-{number // 3}',
            home.instance,
        )
        hello = message_base.Hello(1, 'sidecar', 's', home.incarnation, place)
        hello = codec.decode(codec.encode(hello))
        view.session_opened(f'fleet/sessions/{number}', hello, 0.0)
        endpoint = view.endpoints[hello.place.instance]
        capacity = types.Capacity(8, 64, free)
        state = messages.EndpointState('web', capacity, 1)
        view.set_state(endpoint, codec.decode(codec.encode(state)))
        heartbeat = messages.Heartbeat(number, 7, 3, 4, free, 0, 12.5)
        endpoint.heartbeat = codec.decode(codec.encode(heartbeat))
        table.update_offer(
            homes.Offer(home, place, free, free, True, frozenset())
        )
    table.list_candidates(0.0)
    return view, table


def measure_bytes() -> Values:
    """Return the bytes of state per unit."""
    return {
        'entry: running task': bytes_per_unit(
            lambda n: build_ledger(n, False)
        ),
        'entry: parked task': bytes_per_unit(lambda n: build_ledger(n, True)),
        'entry: ended task': bytes_per_unit(build_ended),
        'entry: claim': bytes_per_unit(build_claims),
        'entry: endpoint, without connection': bytes_per_unit(build_fleet),
        'sidecar: held task': bytes_per_unit(build_home),
    }


def measure_document() -> Values:
    """Return bytes and time per instance of a document.

    The text contains a small trial document and the production document.
    """
    points: dict[str, list[tuple[float, float]]] = {}
    for size in DOCUMENT_SIZES:
        text = make_text(size)
        operations: dict[str, abc.Callable[[], object]] = {
            'publish': functools.partial(document.read, text),
            'follow': functools.partial(
                document.read_reduced, text, 'production'
            ),
        }
        packed = document_text.pack(text)
        found = {
            'text, B': float(len(text)),
            'packed text, B': float(len(packed)),
        }
        for name, operation in operations.items():
            kept, peak, spent = measure_memory_and_time(operation)
            found[f'{name}: kept, B'] = kept
            found[f'{name}: peak, B'] = peak
            found[f'{name}: us'] = spent * 1e6
        for name, value in found.items():
            points.setdefault(name, []).append((float(size), value))
    return {
        f'{name} per instance': capacity_plan.fit(measured).slope
        for name, measured in points.items()
    }


def make_text(size: int) -> str:
    """Return the canonical text of documents with `size` instances."""
    small, large = (
        documents.make_document(harness.Shape(instances=count))
        for count in (3, size)
    )
    trial, production = (
        small.split(DOCUMENT_SEPARATOR)[0],
        large.split(DOCUMENT_SEPARATOR)[1],
    )
    return document.parse(
        f'{trial}{DOCUMENT_SEPARATOR}{production}'.encode()
    ).text


def measure_memory_and_time(
    operation: abc.Callable[[], object],
) -> tuple[float, float, float]:
    """Return retained bytes, peak bytes and seconds of an operation."""
    operation()
    gc.collect()
    tracemalloc.start()
    state = operation()
    kept, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert state is not None
    started_at = time.thread_time()
    operation()
    return float(kept), float(peak), time.thread_time() - started_at


def measure_records() -> Values:
    """Return bytes and decoding time of each kind of record."""
    home = make_home(1, 2275)
    items = {
        'accepted': records.Accepted(make_spec(1), home, 1000),
        'moved': records.Moved('caller-7/task-00000001', 2, home),
        'finished': records.FinishedRecord(
            'caller-7/task-00000001', 1, 'done'
        ),
        'claimed': records.Claimed(
            'caller-7/request-00000001', '0' * 32, '0' * 16, 1, '0' * 20
        ),
    }
    found = {}
    for name, item in items.items():
        text = log_records.encode(records.Batch('0' * 16, (item,) * 100))
        started_at = time.thread_time()
        for _ in range(20):
            log_records.decode(text)
        spent = (time.thread_time() - started_at) / 2000
        # The log returns the text of a record as a JSON string.
        found[f'{name}, B'] = len(json.dumps(text)) / 100.0
        found[f'{name}, decode us'] = spent * 1e6
    return found


def measure_choices() -> dict[str, Values]:
    """Return the time per decision by the number of endpoints."""
    choices = {
        f'endpoint choice, {policy}, us': {
            str(size): bench_cost.measure_ns(policy, size) / 1000.0
            for size in FLEET_SIZES
        }
        for policy in ('least_cost', 'two_choices')
    }
    placed = {str(size): measure_placement(size) for size in FLEET_SIZES}
    return {**choices, 'placement of a task, us': placed}


def measure_placement(size: int) -> float:
    """Return the time to place a task and reserve for it, in microseconds."""
    _, table = build_fleet(size)
    policy = placement.POLICIES.get('spread')
    started_at = time.thread_time()
    for number in range(PLACEMENTS):
        spec = dataclasses.replace(make_spec(number), demand=SMALL_DEMAND)
        choice = table.choose(policy, spec, 1.0)
        assert isinstance(choice, placement.Placed)
        table.reserve(spec.key, choice.home.instance, spec.demand)
        if number % 50 == 49:
            for done in range(number - 49, number + 1):
                table.release(make_spec(done).key)
    return (time.thread_time() - started_at) / PLACEMENTS * 1e6

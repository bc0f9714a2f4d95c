"""Build the documents and tasks that the demo, tests and benchmarks use."""

import random
import typing

import yaml

from kcr_emulator import harness

# Bounds of the run times of the tasks, in seconds.
MIN_RUN_S = 0.5
MAX_RUN_S = 4.0
# Share of the tasks that are urgent.
URGENT_SHARE = 0.2


def make_document(shape: harness.Shape, p99_ms: float = 100.0) -> str:
    """Return the text of a file with a trial and a production document."""
    parts = [
        _make_part(shape, 'trial', p99_ms),
        _make_part(shape, 'production', p99_ms),
    ]
    return '---\n'.join(yaml.safe_dump(part) for part in parts)


def _make_part(
    shape: harness.Shape, kind: str, p99_ms: float
) -> dict[str, typing.Any]:
    total = shape.instances * shape.processors
    memory = shape.instances * shape.memory_mb
    return {
        'environment': {'name': kind, 'kind': kind},
        'services': [{'name': 'web', 'p99_ms': p99_ms}],
        'kinds': [
            {'name': 'batch', 'processors': 2.0, 'memory_mb': 1000.0},
            {'name': 'watch', 'processors': 0.5, 'memory_mb': 200.0},
        ],
        'sizes': [
            {
                'name': 'standard',
                'slots': shape.slots,
                'processors': shape.processors,
                'memory_mb': shape.memory_mb,
            }
        ],
        'instances': [
            {'name': name, 'size': 'standard', **place}
            for name, place in harness.make_places(shape).items()
        ],
        'teams': [
            {
                'name': 'research',
                'processors': total * 0.8,
                'memory_mb': memory * 0.8,
            }
        ],
        'times': {
            'heartbeat_s': 0.5,
            'failure_timeout_s': 3.0,
            'isolation_s': 6.0,
            'task_lease_s': 3.0,
            'allowance_s': 1.0,
        },
    }


def make_task(rng: random.Random, name: str) -> dict[str, typing.Any]:
    """Return the body of the submission of a random task."""
    kind = rng.choice(['batch', 'watch'])
    return {
        'id': name,
        'caller': 'demo',
        'team': 'research',
        'kind': kind,
        'demand': {
            'processors': 2.0 if kind == 'batch' else 0.5,
            'memory_mb': 1000.0 if kind == 'batch' else 200.0,
        },
        'urgent': rng.random() < URGENT_SHARE,
        'run_s': rng.uniform(MIN_RUN_S, MAX_RUN_S),
    }

"""Compute the figures of docs/CAPACITY.md from the measured slopes.

`capacity` passes in the results of all parts by name. Each figure is a sum of
measured costs times their numbers at the design size, compared with a limit.
"""

from collections import abc
import dataclasses
import typing

from kcr_document import loading
from kcr_emulator import capacity_plan

Slopes = abc.Mapping[str, typing.Any]
Figure = capacity_plan.Figure

# Limits of the design for the control work of one daemon.
CORE_PERCENT = 3.0
MEMORY_MB = 64.0
BYTES_PER_S = 3000.0
# Limit until a configuration is in force and until urgent work starts, in
# seconds.
IN_FORCE_S = 4.0
# Appends per second; the design allows several hundred.
APPENDS_PER_S = 300.0
# Bandwidth between regions in one direction, in bytes per second.
LINK_BYTES_PER_S = 15e6 / 8.0
MB = 1024.0 * 1024.0


@dataclasses.dataclass(frozen=True, slots=True)
class Rates:
    """Store the peak rates of events in one region, per second."""

    # Task starts, each with an accepted and a finished record.
    starts: float
    # Moves of tasks from removed instances; the mean over a day.
    moves: float
    # Configuration changes of all regions.
    changes: float


def infer_rates(size: capacity_plan.Size) -> Rates:
    """Return the rates of one region."""
    day = capacity_plan.SECONDS_PER_DAY
    moved = size.gone_per_day * size.tasks_per_worker() / size.regions
    return Rates(
        size.starts_per_s / size.regions,
        moved / day,
        size.changes_per_day / day,
    )


def infer_sidecar(slopes: Slopes, size: capacity_plan.Size) -> list[Figure]:
    """Return the figures of one sidecar."""
    make_figure = capacity_plan.make_figure
    rest = slopes['rest']
    heartbeat_bytes = infer_heartbeat_bytes(slopes)
    heartbeats_per_s = size.entries_per_region / size.heartbeat_s
    tasks = size.tasks_per_worker()
    starts = size.starts_per_s / size.workers
    process = slopes['processes']['sidecar/instance-0']
    return [
        make_figure(
            'sidecar: processor for control, % of a core',
            '%',
            CORE_PERCENT,
            [
                (process['core % at rest'], 1, 'real process, 2 entries'),
                (rest['sidecar per entry, us/s'] / 1e4, 1, 'third entry'),
                (slopes['held']['us/s per task'] / 1e4, tasks, 'tasks'),
                (slopes['tasks']['sidecar, us'] / 1e4, starts, 'starts/s'),
            ],
        ),
        make_figure(
            'sidecar: traffic for control, both directions',
            'B/s',
            BYTES_PER_S,
            [(heartbeat_bytes, heartbeats_per_s, 'heartbeats and answers/s')],
        ),
        make_figure(
            'sidecar: resident memory',
            'MB',
            MEMORY_MB,
            [
                (process['Rss MB at rest'], 1, 'at rest'),
                (slopes['bytes']['sidecar: held task'] / MB, tasks, 'tasks'),
            ],
        ),
    ]


def infer_heartbeat_bytes(slopes: Slopes) -> float:
    """Return the bytes of a heartbeat and its acknowledgement."""
    kinds = slopes['kinds']
    return float(
        capacity_plan.exchange_bytes(
            int(kinds['heartbeat']['payload B']),
            int(kinds['heartbeat_ack']['payload B']),
        )
    )


def infer_entry(slopes: Slopes, size: capacity_plan.Size) -> list[Figure]:
    """Return the figures of the CPU of one entry."""
    make_figure = capacity_plan.make_figure
    attached = slopes['attached']
    sidecars, rates = size.sidecars(), infer_rates(size)
    records = slopes['records']
    items = (records['accepted, decode us'], records['finished, decode us'])
    share = 1.0 / size.entries_per_region
    return [
        make_figure(
            'entry: processor for heartbeats, % of a core',
            '%',
            CORE_PERCENT,
            [
                (attached['us/s without sidecars'] / 1e4, 1, 'at rest'),
                (attached['us/s per sidecar'] / 1e4, sidecars, 'sidecars'),
            ],
        ),
        make_figure(
            'entry: processor for tasks at the peak, % of a core',
            '%',
            None,
            [
                (
                    slopes['tasks']['entry, us'] / 1e4,
                    rates.starts * share,
                    'own tasks/s',
                ),
                (
                    sum(items) / 1e4,
                    rates.starts * (1 - share),
                    'records of other entries/s',
                ),
                (
                    slopes['choices']['placement of a task, us']['2300'] / 1e4,
                    rates.starts * share,
                    'placements/s',
                ),
            ],
        ),
    ]


def infer_entry_state(
    slopes: Slopes, size: capacity_plan.Size
) -> list[Figure]:
    """Return the figures of the traffic, memory and start of an entry."""
    make_figure = capacity_plan.make_figure
    attached, start = slopes['attached'], slopes['start']
    sidecars = size.sidecars()
    return [
        make_figure(
            'entry: traffic of heartbeats, both directions',
            'B/s',
            BYTES_PER_S,
            [
                (
                    infer_heartbeat_bytes(slopes),
                    sidecars / size.heartbeat_s,
                    'beats/s',
                )
            ],
        ),
        make_figure(
            'entry: resident memory',
            'MB',
            MEMORY_MB,
            [
                (attached['Rss MB without sidecars'], 1, 'at rest'),
                (attached['Rss KB per sidecar'] / 1024, sidecars, 'sidecars'),
                (start['Rss KB per task'] / 1024, size.live(), 'live tasks'),
            ],
        ),
        make_figure(
            'entry: time to read the live tasks at the start',
            's',
            IN_FORCE_S,
            [
                (
                    start['s until read'] / start['live tasks'],
                    size.live(),
                    'live tasks',
                )
            ],
        ),
    ]


def infer_log(slopes: Slopes, size: capacity_plan.Size) -> list[Figure]:
    """Return the figures of the log and of the link between regions."""
    make_figure = capacity_plan.make_figure
    rates, records = infer_rates(size), slopes['records']
    per_entry = capacity_plan.infer_appends_per_s(
        2 * rates.starts / size.entries_per_region, size
    )
    jobs = size.jobs_per_day / capacity_plan.SECONDS_PER_DAY
    task_bytes = records['accepted, B'] + records['finished, B']
    text = slopes['document']['packed text, B per instance'] * size.workers
    restated = size.live() / (size.retention_s / 2)
    readers = size.entries_per_region
    return [
        make_figure(
            'log: appends of tasks and configuration at the peak',
            '1/s',
            APPENDS_PER_S,
            [
                (per_entry, size.entries(), 'entries, batched'),
                (1, rates.changes, 'changes'),
            ],
        ),
        make_figure(
            'log: appends if each job were one, with changes, mean of a day',
            '1/s',
            APPENDS_PER_S,
            [(1, jobs, 'jobs/s'), (1, rates.changes, 'changes/s')],
        ),
        make_figure(
            'link: from the log to the entries of another region at the peak',
            'B/s',
            LINK_BYTES_PER_S,
            [
                (task_bytes, rates.starts * readers, 'task records read/s'),
                (records['accepted, B'], restated * readers, 'restated'),
                (records['moved, B'], rates.moves * readers, 'moves'),
                (text, rates.changes * readers, 'documents read/s'),
            ],
            capacity_plan.SEGMENT_SHARE,
        ),
    ]


def infer_documents(slopes: Slopes, size: capacity_plan.Size) -> list[Figure]:
    """Return the figures of the size of a document."""
    make_figure = capacity_plan.make_figure
    document = slopes['document']
    return [
        make_figure(
            'configuration: canonical text',
            'B',
            loading.MAX_BYTES,
            [(document['text, B per instance'], size.workers, 'instances')],
        ),
        make_figure(
            'configuration: memory of an entry that takes a publication',
            'MB',
            MEMORY_MB,
            [
                (slopes['attached']['Rss MB without sidecars'], 1, 'at rest'),
                (
                    document['publish: peak, B per instance'] / MB,
                    size.workers,
                    'instances',
                ),
            ],
        ),
    ]


def infer_changes(slopes: Slopes, size: capacity_plan.Size) -> list[Figure]:
    """Return the figures of a configuration change."""
    make_figure = capacity_plan.make_figure
    document, control = slopes['document'], slopes['kinds']['control']
    packed = document['packed text, B per instance']
    # The cost of a control message is its encoding plus the sending of a
    # heartbeat without the encoding of that.
    heartbeat = slopes['kinds']['heartbeat']
    send = heartbeat['send us'] - heartbeat['encode us'] + control['encode us']
    follow = document['follow: us per instance']
    changes = infer_rates(size).changes
    links = size.workers * size.entries_per_region
    return [
        make_figure(
            'configuration: time from the log to the last sidecar',
            's',
            IN_FORCE_S,
            [
                (packed / LINK_BYTES_PER_S, links, 'link'),
                (follow / 1e6, size.workers, 'instances read'),
                (send / 1e6, size.sidecars(), 'control messages'),
            ],
        ),
        make_figure(
            'configuration: processor of an entry, % of a core',
            '%',
            CORE_PERCENT,
            [
                (
                    follow / 1e4,
                    size.workers * changes,
                    'read/s',
                ),
                (
                    send / 1e4,
                    size.sidecars() * changes,
                    'control messages/s',
                ),
            ],
        ),
    ]


def infer_all(slopes: Slopes, size: capacity_plan.Size) -> list[Figure]:
    """Return every figure of docs/CAPACITY.md."""
    return [
        *infer_sidecar(slopes, size),
        *infer_entry(slopes, size),
        *infer_entry_state(slopes, size),
        *infer_log(slopes, size),
        *infer_documents(slopes, size),
        *infer_changes(slopes, size),
    ]

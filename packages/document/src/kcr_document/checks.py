"""Check relations inside a document that no single field can state."""

import collections
from collections import abc
import typing

from kcr_core import endpoint_choice
from kcr_core import interference
from kcr_core import placement
from kcr_core import registry
from kcr_core import types
from kcr_document import models
from kcr_document import problems

# Heartbeats that may be lost before a sidecar can be fenced.
LOST_HEARTBEATS = 3
# Parts that a trial and a production document of one file must share,
# because a promotion puts in force what was tried.
SHARED_PARTS = (
    'services', 'kinds', 'weights', 'limits', 'times', 'retries', 'policies',
)  # fmt: skip
# Registry of each policy field.
REGISTRIES: dict[str, registry.Registry[typing.Any]] = {
    'endpoint': endpoint_choice.POLICIES,
    'placement': placement.POLICIES,
    'interference': interference.POLICIES,
}

Found = abc.Iterator[problems.Problem]


def check(
    doc: models.Document, broken: abc.Collection[str] = ()
) -> list[problems.Problem]:
    """Return every broken relation that reads no part in `broken`."""
    found: list[problems.Problem] = []
    for rule, parts in RULES:
        if not any(part in broken for part in parts):
            found.extend(rule(doc))
    return found


def check_names(doc: models.Document) -> Found:
    """Find names that occur twice in one list."""
    for part in ('services', 'kinds', 'sizes', 'instances', 'teams'):
        seen: dict[str, int] = {}
        for index, item in enumerate(getattr(doc, part)):
            if item.name in seen:
                yield problems.Problem(
                    f'{part}[{index}].name',
                    f'is also the name of {part}[{seen[item.name]}]',
                    'choose another name',
                    repr(item.name),
                )
            seen.setdefault(item.name, index)


def check_references(doc: models.Document) -> Found:
    """Find references to names that do not exist."""
    sizes = {size.name for size in doc.sizes}
    for index, instance in enumerate(doc.instances):
        if instance.size not in sizes:
            yield problems.Problem(
                f'instances[{index}].size',
                'names no size',
                f'use one of: {", ".join(sorted(sizes))}',
                repr(instance.size),
            )


def check_racks(doc: models.Document) -> Found:
    """Find racks in two zones and zones in two regions."""
    for inner, outer in (('rack', 'zone'), ('zone', 'region')):
        seen: dict[str, str] = {}
        for index, instance in enumerate(doc.instances):
            name, holder = getattr(instance, inner), getattr(instance, outer)
            first = seen.setdefault(name, holder)
            if first != holder:
                yield problems.Problem(
                    f'instances[{index}].{inner}',
                    f'is in {outer} {first!r} and in {outer} {holder!r}',
                    f'give each {inner} one {outer}',
                    repr(name),
                )


def check_quotas(doc: models.Document) -> Found:
    """Find quotas above the capacity of all instances together."""
    total = types.Demand()
    sizes = {size.name: size for size in doc.sizes}
    counts = collections.Counter(item.size for item in doc.instances)
    for name, count in counts.items():
        if name in sizes:
            size = sizes[name]
            total = total.plus(
                types.Demand(
                    size.processors * count,
                    size.memory_mb * count,
                    size.accelerators * count,
                )
            )
    for index, team in enumerate(doc.teams):
        for field in ('processors', 'memory_mb', 'accelerators'):
            quota, limit = getattr(team, field), getattr(total, field)
            if quota > limit:
                yield problems.Problem(
                    f'teams[{index}].{field}',
                    f'is above the capacity of all instances, {limit:g}',
                    f'lower the quota of {team.name!r} or add instances',
                    repr(quota),
                )


def check_demands(doc: models.Document) -> Found:
    """Find kinds that no instance can hold."""
    used = {item.size for item in doc.instances if not item.drained}
    rooms = [
        types.Demand(size.processors, size.memory_mb, size.accelerators)
        for size in doc.sizes
        if size.name in used
    ]
    for index, kind in enumerate(doc.kinds):
        demand = types.Demand(
            kind.processors, kind.memory_mb, kind.accelerators
        )
        if not any(demand.fits(room) for room in rooms):
            yield problems.Problem(
                f'kinds[{index}]',
                'fits on no instance that is in use',
                'lower the demand or add a larger instance',
                f'{kind.name!r}: {kind.processors:g} cores, '
                f'{kind.memory_mb:g} MiB, {kind.accelerators} accelerators',
            )


def check_times(doc: models.Document) -> Found:
    """Find times that contradict each other."""
    times = doc.times
    silence = times.heartbeat_s * LOST_HEARTBEATS
    relations: tuple[tuple[str, float, str, float], ...] = (
        (
            f'{LOST_HEARTBEATS} * heartbeat_s',
            silence,
            'failure_timeout_s',
            times.failure_timeout_s,
        ),
        (
            'failure_timeout_s',
            times.failure_timeout_s,
            'isolation_s',
            times.isolation_s,
        ),
        ('isolation_s', times.isolation_s, 'outage_s', times.outage_s),
        ('allowance_s', times.allowance_s, 'dedupe_s', times.dedupe_s),
        (
            'heartbeat_s',
            times.heartbeat_s,
            'task_lease_s',
            times.task_lease_s,
        ),
        (
            'task_lease_s',
            times.task_lease_s,
            'outage_s',
            times.outage_s,
        ),
    )
    for low_name, low, high_name, high in relations:
        if low >= high:
            field = low_name.rpartition(' ')[2]
            yield problems.Problem(
                f'times.{field}',
                f'{low_name} = {low:g} s is not below '
                f'{high_name} = {high:g} s',
                f'lower {field} or raise {high_name}',
            )


def check_services(doc: models.Document) -> Found:
    """Find latency targets and deadlines that contradict each other."""
    for index, service in enumerate(doc.services):
        if service.p99_ms > service.deadline_ms:
            yield problems.Problem(
                f'services[{index}].p99_ms',
                f'is above deadline_ms = {service.deadline_ms}',
                'lower p99_ms or raise deadline_ms',
                repr(service.p99_ms),
            )
        if service.deadline_ms > service.max_deadline_ms:
            yield problems.Problem(
                f'services[{index}].deadline_ms',
                f'is above max_deadline_ms = {service.max_deadline_ms}',
                'lower deadline_ms or raise max_deadline_ms',
                repr(service.deadline_ms),
            )
    if not any((doc.weights.tail_latency, doc.weights.throughput,
                doc.weights.evictions)):  # fmt: skip
        yield problems.Problem(
            'weights', 'are all zero', 'give one measure a weight above 0'
        )
    if all(item.drained for item in doc.instances):
        yield problems.Problem(
            'instances', 'are all drained', 'leave one instance in use'
        )


def check_policies(doc: models.Document) -> Found:
    """Find policies that no registry holds."""
    for field, known in REGISTRIES.items():
        name = getattr(doc.policies, field)
        if name not in known.names():
            yield problems.Problem(
                f'policies.{field}',
                f'names no {known.subject}',
                f'use one of: {", ".join(known.names())}',
                repr(name),
            )


# Rules with the parts that a rule reads beside required fields.
RULES: tuple[
    tuple[abc.Callable[[models.Document], Found], tuple[str, ...]], ...
] = (
    (check_names, ()),
    (check_references, ()),
    (check_racks, ()),
    (check_quotas, ('sizes', 'teams')),
    (check_demands, ('sizes', 'kinds', 'instances')),
    (check_times, ('times',)),
    (check_services, ('services', 'weights', 'instances')),
    (check_policies, ('policies',)),
)


def check_file(docs: abc.Sequence[models.Document]) -> Found:
    """Find contradictions between the documents of one file."""
    if len(docs) < 2:
        return
    first, second = docs
    if first.environment.name == second.environment.name:
        yield problems.Problem(
            'documents[2].environment.name',
            'is also the name in documents[1]',
            'choose another name',
            repr(second.environment.name),
        )
    if first.environment.kind == second.environment.kind:
        yield problems.Problem(
            'documents[2].environment.kind',
            'is also the kind in documents[1]',
            'make one trial and the other production',
            repr(second.environment.kind),
        )
    for part in SHARED_PARTS:
        if getattr(first, part) != getattr(second, part):
            yield problems.Problem(
                f'documents[2].{part}',
                'differs from documents[1]',
                'make both alike, because a promotion puts in force '
                'what was tried',
            )

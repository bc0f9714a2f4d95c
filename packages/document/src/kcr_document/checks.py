"""Check the relations between fields of a document, and between documents.

Models check each field by itself; the rules here find duplicate names, unknown
references, contradicting times, and quotas and demands above the capacity.
`document` calls `check` for each document and `check_file` for each file.
"""

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

# Heartbeat intervals that must pass before a sidecar may be fenced.
MIN_HEARTBEATS_TO_FENCE = 3
# Parts that must be equal in the trial and the production document of a file,
# because a promotion puts in force what was tried.
SHARED_PARTS = (
    'services', 'kinds', 'weights', 'limits', 'times', 'retries', 'policies',
)  # fmt: skip
# Registry that a name in each field of `policies` must come from.
POLICY_REGISTRIES: dict[str, registry.Registry[typing.Any]] = {
    'endpoint': endpoint_choice.POLICIES,
    'placement': placement.POLICIES,
    'interference': interference.POLICIES,
}

Problems = abc.Iterator[problems.Problem]


def check(
    doc: models.Document, skipped_parts: abc.Collection[str] = ()
) -> list[problems.Problem]:
    """Return the problems found by all rules.

    Rules that read one of `skipped_parts` are left out.
    """
    found: list[problems.Problem] = []
    for rule, parts in RULES:
        if not any(part in skipped_parts for part in parts):
            found.extend(rule(doc))
    return found


def check_names(doc: models.Document) -> Problems:
    """Find duplicate names within a list."""
    for part in ('services', 'kinds', 'sizes', 'instances', 'teams'):
        first_index: dict[str, int] = {}
        for index, item in enumerate(getattr(doc, part)):
            if item.name in first_index:
                yield problems.Problem(
                    f'{part}[{index}].name',
                    f'is also the name of {part}[{first_index[item.name]}]',
                    'choose another name',
                    repr(item.name),
                )
            first_index.setdefault(item.name, index)


def check_references(doc: models.Document) -> Problems:
    """Find instances that reference an undefined size."""
    sizes = {size.name for size in doc.sizes}
    for index, instance in enumerate(doc.instances):
        if instance.size not in sizes:
            yield problems.Problem(
                f'instances[{index}].size',
                'is not the name of a size',
                f'use one of: {", ".join(sorted(sizes))}',
                repr(instance.size),
            )


def check_racks(doc: models.Document) -> Problems:
    """Find racks that are in two zones and zones that are in two regions."""
    for inner, outer in (('rack', 'zone'), ('zone', 'region')):
        first_parents: dict[str, str] = {}
        for index, instance in enumerate(doc.instances):
            name, parent = getattr(instance, inner), getattr(instance, outer)
            first = first_parents.setdefault(name, parent)
            if first != parent:
                yield problems.Problem(
                    f'instances[{index}].{inner}',
                    f'is in {outer} {first!r} and in {outer} {parent!r}',
                    f'give each {inner} one {outer}',
                    repr(name),
                )


def check_quotas(doc: models.Document) -> Problems:
    """Find quotas above the total capacity of all instances."""
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
                    f'is above the total capacity of all instances, {limit:g}',
                    f'lower the quota of {team.name!r} or add instances',
                    repr(quota),
                )


def check_demands(doc: models.Document) -> Problems:
    """Find kinds whose demand exceeds every instance in use."""
    used = {item.size for item in doc.instances if not item.drained}
    capacities = [
        types.Demand(size.processors, size.memory_mb, size.accelerators)
        for size in doc.sizes
        if size.name in used
    ]
    for index, kind in enumerate(doc.kinds):
        demand = types.Demand(
            kind.processors, kind.memory_mb, kind.accelerators
        )
        if not any(demand.fits(capacity) for capacity in capacities):
            yield problems.Problem(
                f'kinds[{index}]',
                'does not fit on any instance in use',
                'lower the demand or add a larger instance',
                f'{kind.name!r}: {kind.processors:g} cores, '
                f'{kind.memory_mb:g} MiB, {kind.accelerators} accelerators',
            )


def check_times(doc: models.Document) -> Problems:
    """Find times that violate their required order."""
    times = doc.times
    min_timeout = times.heartbeat_s * MIN_HEARTBEATS_TO_FENCE
    relations: tuple[tuple[str, float, str, float], ...] = (
        (
            f'{MIN_HEARTBEATS_TO_FENCE} * heartbeat_s',
            min_timeout,
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


def check_services(doc: models.Document) -> Problems:
    """Find contradicting latency targets, deadlines, weights and drains."""
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


def check_policies(doc: models.Document) -> Problems:
    """Find policies that are not registered."""
    for field, registered in POLICY_REGISTRIES.items():
        name = getattr(doc.policies, field)
        if name not in registered.names():
            yield problems.Problem(
                f'policies.{field}',
                f'is not the name of a registered {registered.subject}',
                f'use one of: {", ".join(registered.names())}',
                repr(name),
            )


# Rules, each with the parts that it reads apart from required fields. `check`
# skips a rule if one of these parts is not valid.
RULES: tuple[
    tuple[abc.Callable[[models.Document], Problems], tuple[str, ...]], ...
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


def check_file(docs: abc.Sequence[models.Document]) -> Problems:
    """Find contradictions between the two documents of a file."""
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
                'make them equal, because a promotion puts in force '
                'what was tried',
            )

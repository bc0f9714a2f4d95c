"""Decide in which regions the tasks of a route may start.

The settings give the region of each zone, the configuration in force the
regions of each route. A job of a route that the configuration does not have
keeps the list from its acceptance.
"""

from collections import abc
import dataclasses

from kcr_jobs import config
from kcr_jobs import types


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """Store the regions of zones and routes."""

    # Region by zone.
    zones: abc.Mapping[str, str] = dataclasses.field(default_factory=dict)
    # Allowed regions by the name of the route; empty for all.
    routes: abc.Mapping[str, tuple[str, ...]] = dataclasses.field(
        default_factory=dict
    )

    def find_allowed(self, queue: types.Queue) -> tuple[str, ...]:
        """Return the allowed regions of the jobs of a queue."""
        return self.routes.get(queue.name, queue.allowed_regions)

    def allows(self, queue: types.Queue, zone: str) -> bool:
        """Return whether tasks of a queue may start in a zone.

        A zone without a region is only for queues without a list.
        """
        allowed = self.find_allowed(queue)
        return not allowed or self.zones.get(zone, '') in allowed


def make_rules(
    zones: abc.Mapping[str, str], found: config.Config | None
) -> Rules:
    """Return the rules of a configuration; none before the first."""
    if found is None:
        return Rules(zones)
    return Rules(
        zones,
        {
            route.queue.name: route.queue.allowed_regions
            for routes in found.routes.values()
            for route in routes
        },
    )


def parse_zones(entries: abc.Iterable[str]) -> dict[str, str]:
    """Return the region by zone from entries of the form ZONE=REGION."""
    pairs = (entry.partition('=') for entry in entries)
    return {zone: region for zone, _, region in pairs if zone and region}

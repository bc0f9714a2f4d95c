"""Keep what operators publish about where tasks may start.

The owner task passes on the configuration and the evacuated zones as they come
into force, and applies the rules to each controller that it makes.
"""

import dataclasses
import typing

from kcr_jobs import cold_runners
from kcr_jobs import config
from kcr_jobs import controller
from kcr_jobs import evacuation
from kcr_jobs import regions
from kcr_scheduler import events


class OperatorRules:
    """Store the evacuated zones and the rules for regions and cold runners."""

    def __init__(
        self, zone_regions: list[str], cold_rules: cold_runners.Rules
    ) -> None:
        # Evacuated zones; none before they are known. Where and when the
        # newest change was read.
        self._evacuation: evacuation.View | None = None
        self._source = ''
        self._changed_at = 0.0
        # Configuration in force; none before it is known.
        self._config: config.Config | None = None
        # Regions of zones and routes.
        self._zone_regions = regions.parse_zones(zone_regions)
        self._regions = regions.make_rules(self._zone_regions, None)
        # Rules for runners that are slow after their start.
        self._cold_rules = cold_rules

    def set_config(
        self, cfg: config.Config, ctl: controller.Controller | None
    ) -> None:
        """Take over a configuration."""
        self._config = cfg
        self._regions = regions.make_rules(self._zone_regions, cfg)
        self._cold_rules = dataclasses.replace(
            self._cold_rules, services=cfg.services
        )
        if ctl is not None:
            self._apply_config(ctl)

    def has_route(self, base_url: str) -> bool:
        """Return whether the configuration in force has a route."""
        return self._config is not None and self._config.has_route(base_url)

    def set_evacuation(
        self,
        event: events.EvacuationInForce,
        ctl: controller.Controller | None,
        now: float,
    ) -> bool:
        """Take over evacuated zones; return whether they are newer."""
        view = evacuation.merge(self._evacuation, event.view)
        if view is not event.view:
            return False
        self._evacuation, self._source = view, event.source
        self._changed_at = now
        if ctl is not None:
            ctl.set_evacuation(view)
        return True

    def apply(self, ctl: controller.Controller) -> None:
        """Apply all rules to a new controller."""
        if self._evacuation is not None:
            ctl.set_evacuation(self._evacuation)
        self._apply_config(ctl)

    def _apply_config(self, ctl: controller.Controller) -> None:
        ctl.set_regions(self._regions)
        ctl.set_cold_rules(self._cold_rules)

    def dump(self, now: float) -> dict[str, typing.Any]:
        """Return the evacuated zones, if they are known."""
        if self._evacuation is None:
            return {}
        return {
            'evacuation': {
                'zones': sorted(self._evacuation.zones),
                'offset': self._evacuation.offset,
                'source': self._source,
                'age_s': round(now - self._changed_at, 3),
            }
        }

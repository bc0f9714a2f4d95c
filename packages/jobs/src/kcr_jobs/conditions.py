"""Hold what operators and settings demand of starts besides capacity.

The owner task replaces the conditions as they change; the planner passes them
to each candidate.
"""

import dataclasses

from kcr_jobs import cold_runners
from kcr_jobs import evacuation
from kcr_jobs import regions


@dataclasses.dataclass(frozen=True, slots=True)
class Conditions:
    """Store where tasks may start."""

    # Evacuated zones; none before they are known.
    evacuation_view: evacuation.View | None = None
    # Regions of zones and routes.
    region_rules: regions.Rules = regions.Rules()
    # Starts on runners that are slow after their start.
    cold_rules: cold_runners.Rules = cold_runners.Rules()

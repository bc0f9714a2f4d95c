"""Define the message that gives a task changed seed addresses.

After SIGHUP, a role that reloads its settings posts it to the task that dials
the seeds.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class SeedsChanged:
    """Give the addresses of processes from which a task discovers others."""

    addresses: tuple[str, ...]

"""Define the configuration that operators publish, and look up its routes.

The scheduler's configuration task stores the version in force; the front end
looks up the route of each request by host and path.
"""

import dataclasses

from kcr_jobs import types


def make_base_url(host: str, prefix: str) -> str:
    """Return the base URL of calls with a prefix; empty if it is too long."""
    base_url = f'{host}{prefix}'
    return base_url if len(base_url) <= types.MAX_BASE_URL_CHARS else ''


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Describe which requests go to which queue."""

    # Host that the request names.
    host: str
    # Prefix of the path.
    prefix: str
    # Queue to which the jobs are submitted.
    queue: types.Queue
    # Timeout of an answer, in milliseconds.
    timeout_ms: int = 3000

    @property
    def base_url(self) -> str:
        """Return the base URL of its jobs."""
        return make_base_url(self.host, self.prefix)


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """Describe the runners of a service."""

    # Time for which a runner is slow after its start, in seconds.
    cold_start_s: float = 0.0
    # Starts per second that a cold runner should get; 0 for no limit.
    cold_per_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Store the bounds of what callers may send."""

    # Largest body of a request, in bytes.
    body_bytes: int = 262144
    # Time after which an idle connection is closed, in milliseconds.
    idle_ms: int = 15000
    # Largest head of a request, in bytes.
    head_bytes: int = 16384
    # Time from the first byte of a request to the end of its head, in
    # milliseconds.
    head_ms: int = 3000


@dataclasses.dataclass(frozen=True, slots=True)
class Config:
    """Store one version of the configuration."""

    # Number of the version; the highest one is in force.
    version: int
    # Routes by host.
    routes: dict[str, tuple[Route, ...]]
    # Limits for callers.
    limits: Limits = Limits()
    # Services by name.
    services: dict[str, Service] = dataclasses.field(default_factory=dict)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, if any."""
        fitting = [
            route
            for route in self.routes.get(host, ())
            if path.startswith(route.prefix)
        ]
        return max(fitting, key=lambda r: len(r.prefix), default=None)

    def has_route(self, base_url: str) -> bool:
        """Return whether a route has this base URL."""
        return any(
            route.base_url == base_url
            for routes in self.routes.values()
            for route in routes
        )

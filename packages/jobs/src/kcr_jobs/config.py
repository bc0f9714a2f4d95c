"""Hold the configuration that operators publish, and find routes in it."""

import dataclasses

from kcr_jobs import types


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Send requests to a queue."""

    # Host that the request names.
    host: str
    # Start of the path.
    prefix: str
    # Queue that takes the jobs.
    queue: types.Queue
    # Longest time of an answer, in milliseconds.
    timeout_ms: int = 3000


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Bound what callers may send."""

    # Largest body of a request, in bytes.
    body_bytes: int = 262144
    # Time after which an idle connection is closed, in milliseconds.
    idle_ms: int = 15000


@dataclasses.dataclass(frozen=True, slots=True)
class Config:
    """Hold one version of the configuration."""

    # Version; the highest one is in force.
    version: int
    # Routes by host.
    routes: dict[str, tuple[Route, ...]]
    # Limits for callers.
    limits: Limits = Limits()

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path."""
        fitting = [
            route
            for route in self.routes.get(host, ())
            if path.startswith(route.prefix)
        ]
        return max(fitting, key=lambda r: len(r.prefix), default=None)

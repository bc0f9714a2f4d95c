"""Track the endpoints that are connected to an entry, and their phase.

The entry's task for membership records sessions, announcements and heartbeats
here; the dispatcher reads which endpoints of a service may get a request.
"""

import dataclasses
import random
import typing

from kcr_core import message_base
from kcr_core import messages
from kcr_core import types

# Heartbeat intervals without a message after which an endpoint is suspect.
SUSPECT_INTERVALS = 3.0
# Maximum number of services in the index; callers choose the names.
MAX_SERVICES = 256

# Phase of an endpoint: `up` may get requests, `suspect` sends no messages,
# `draining` takes no new work, `gone` is disconnected.
Phase = typing.Literal['up', 'suspect', 'draining', 'gone']


@dataclasses.dataclass(slots=True)
class Endpoint:
    """Store the state of one endpoint as last reported to the entry."""

    # Address of the session that leads to its sidecar.
    session: str
    # Location of the instance.
    place: types.Place
    # Incarnation of the sidecar.
    incarnation: str
    # Last announced state; None before it arrives.
    state: messages.EndpointState | None
    # Last heartbeat; None before the first.
    heartbeat: messages.Heartbeat | None
    # Monotonic time of the last message.
    last_message_at: float
    # Whether the connection is open.
    connected: bool = True
    # Whether the sidecar announced that it takes no new work.
    leaving: bool = False
    # Attempts of this entry without an answer.
    in_flight: int = 0
    # Moving mean of the time of this entry's attempts, in ms; 0 for none.
    latency_ms: float = 0.0


class FleetView:
    """Store the endpoints and decide which of them may get new work."""

    def __init__(self, heartbeat_s: float) -> None:
        # Expected time between heartbeats.
        self.heartbeat_s = heartbeat_s
        # Instances that the document in force drains.
        self.drained: frozenset[str] = frozenset()
        # Endpoint with the newest session, by instance.
        self.endpoints: dict[str, Endpoint] = {}
        # Index of the announced endpoints by service. Changes of the fleet
        # clear it, and lookups fill it.
        self._by_service: dict[str, list[Endpoint]] = {}

    def session_opened(
        self, session: str, hello: message_base.Hello, now: float
    ) -> None:
        """Add a new session; it replaces an older one of the instance."""
        self._by_service.clear()
        previous = self.endpoints.get(hello.place.instance)
        in_flight = 0
        if previous is not None and previous.incarnation == hello.incarnation:
            in_flight = previous.in_flight
        self.endpoints[hello.place.instance] = Endpoint(
            session=session,
            place=hello.place,
            incarnation=hello.incarnation,
            state=None,
            heartbeat=None,
            last_message_at=now,
            in_flight=in_flight,
        )

    def set_state(
        self, endpoint: Endpoint, state: messages.EndpointState
    ) -> None:
        """Store the state that an endpoint announced."""
        self._by_service.clear()
        endpoint.state = state

    def session_closed(self, session: str) -> None:
        """Mark the endpoint of a closed session as disconnected."""
        for endpoint in self.endpoints.values():
            if endpoint.session == session:
                endpoint.connected = False

    def find(self, session: str, instance: str) -> Endpoint | None:
        """Return the endpoint of an instance if the session is its newest."""
        endpoint = self.endpoints.get(instance)
        if endpoint is None or endpoint.session != session:
            return None
        return endpoint

    def phase(self, endpoint: Endpoint, now: float) -> Phase:
        """Return the phase of an endpoint at `now`."""
        silence_s = now - endpoint.last_message_at
        if not endpoint.connected:
            return 'gone'
        if endpoint.leaving or endpoint.place.instance in self.drained:
            return 'draining'
        if endpoint.heartbeat is not None and endpoint.heartbeat.draining:
            return 'draining'
        if silence_s > SUSPECT_INTERVALS * self.heartbeat_s:
            return 'suspect'
        return 'up'

    def list_available(self, service: str, now: float) -> list[Endpoint]:
        """Return the endpoints of a service that may get a request."""
        return [
            e
            for e in self.list_endpoints(service)
            if self.phase(e, now) == 'up'
        ]

    def list_endpoints(self, service: str) -> list[Endpoint]:
        """Return the endpoints that announced a service, in any phase."""
        endpoints = self._by_service.get(service)
        if endpoints is None:
            if len(self._by_service) >= MAX_SERVICES:
                self._by_service.clear()
            endpoints = [
                endpoint
                for endpoint in self.endpoints.values()
                if endpoint.state is not None
                and endpoint.state.service == service
            ]
            self._by_service[service] = endpoints
        return endpoints

    def sample(
        self, service: str, count: int, now: float, rng: random.Random
    ) -> list[Endpoint]:
        """Return up to `count` endpoints of a service that are up.

        The cost does not grow with the fleet unless most endpoints of the
        sample are not up; then all endpoints of the service are checked.
        """
        served = self.list_endpoints(service)
        if len(served) <= count:
            return self.list_available(service, now)
        sampled = rng.sample(served, count)
        found = [e for e in sampled if self.phase(e, now) == 'up']
        return found if len(found) >= 2 else self.list_available(service, now)

    def forget(self, instance: str) -> None:
        """Remove an instance that is not expected to reconnect."""
        self._by_service.clear()
        self.endpoints.pop(instance, None)

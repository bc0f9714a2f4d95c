"""Keep an entry's view of the endpoints that announce themselves."""

import dataclasses
import random
import typing

from kcr_core import message_base
from kcr_core import messages
from kcr_core import types

# Heartbeat intervals of silence after which an endpoint is suspect.
SUSPECT_INTERVALS = 3.0
# Services whose endpoints are kept indexed; callers choose the names.
MAX_SERVICES = 256

Phase = typing.Literal['up', 'suspect', 'draining', 'gone']


@dataclasses.dataclass(slots=True)
class Endpoint:
    """Hold what an entry knows of one endpoint."""

    # Address of the session that leads to its sidecar.
    session: str
    # Where the instance is.
    place: types.Place
    # Incarnation of the sidecar.
    incarnation: str
    # Full state of the connection; none before it arrives.
    state: messages.EndpointState | None
    # Last heartbeat; none before the first.
    heartbeat: messages.Heartbeat | None
    # Monotonic time of the last message.
    last_message_at: float
    # Whether the connection is open.
    connected: bool = True
    # Whether the sidecar said that it leaves.
    leaving: bool = False
    # Attempts of this entry that have no answer yet.
    in_flight: int = 0
    # Running mean of the time of this entry's attempts, in ms; 0 for none.
    latency_ms: float = 0.0


class FleetView:
    """Decide which endpoints may get new work."""

    def __init__(self, heartbeat_s: float) -> None:
        # Expected time between heartbeats.
        self.heartbeat_s = heartbeat_s
        # Instances that the document takes out of use.
        self.drained: frozenset[str] = frozenset()
        # Endpoints by instance; the newest session of each.
        self.endpoints: dict[str, Endpoint] = {}
        # Names of the announced endpoints of each service; a change of the
        # fleet clears it, a choice fills it.
        self._served: dict[str, list[Endpoint]] = {}

    def session_opened(
        self, session: str, hello: message_base.Hello, now: float
    ) -> None:
        """Note a new session; it replaces an older one of the instance."""
        self._served.clear()
        held = self.endpoints.get(hello.place.instance)
        in_flight = 0
        if held is not None and held.incarnation == hello.incarnation:
            in_flight = held.in_flight
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
        """Take the full state of an endpoint."""
        self._served.clear()
        endpoint.state = state

    def session_closed(self, session: str) -> None:
        """Note the end of a session."""
        for endpoint in self.endpoints.values():
            if endpoint.session == session:
                endpoint.connected = False

    def find(self, session: str, instance: str) -> Endpoint | None:
        """Return the endpoint if the session is its newest."""
        endpoint = self.endpoints.get(instance)
        if endpoint is None or endpoint.session != session:
            return None
        return endpoint

    def phase(self, endpoint: Endpoint, now: float) -> Phase:
        """Return the phase of an endpoint at `now`."""
        silent = now - endpoint.last_message_at
        if not endpoint.connected:
            return 'gone'
        if endpoint.leaving or endpoint.place.instance in self.drained:
            return 'draining'
        if endpoint.heartbeat is not None and endpoint.heartbeat.draining:
            return 'draining'
        if silent > SUSPECT_INTERVALS * self.heartbeat_s:
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
        held = self._served.get(service)
        if held is None:
            if len(self._served) >= MAX_SERVICES:
                self._served.clear()
            held = [
                endpoint
                for endpoint in self.endpoints.values()
                if endpoint.state is not None
                and endpoint.state.service == service
            ]
            self._served[service] = held
        return held

    def sample(
        self, service: str, count: int, now: float, rng: random.Random
    ) -> list[Endpoint]:
        """Return up to `count` endpoints of a service that are up.

        The cost does not grow with the fleet unless most endpoints of the
        sample are not up; then all of them are looked at.
        """
        served = self.list_endpoints(service)
        if len(served) <= count:
            return self.list_available(service, now)
        picked = rng.sample(served, count)
        found = [e for e in picked if self.phase(e, now) == 'up']
        return found if len(found) >= 2 else self.list_available(service, now)

    def forget(self, instance: str) -> None:
        """Drop an instance that will not come back."""
        self._served.clear()
        self.endpoints.pop(instance, None)

"""Own the view of the endpoints and choose one for each attempt."""

import dataclasses
import typing

from kcr_core import endpoint_choice
from kcr_core import membership
from kcr_core import messages
from kcr_core import types
from kcr_entry import addresses
from kcr_entry import events
from kcr_runtime import task
from kcr_runtime.wire import session

# Time after which an instance that is gone is dropped, in seconds. 770
# instances are replaced a day, so about 32 are kept after they are gone.
FORGET_S = 3600.0


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """Ask for an attempt to be sent to an endpoint."""

    # The attempt.
    msg: messages.Execute
    # Instances that should not be chosen if another can be.
    avoid: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatched:
    """Report where an attempt was sent."""

    # Id of the attempt.
    attempt: str
    # Instance that was chosen.
    instance: str
    # Session that leads to it.
    session: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotDispatched:
    """Report that an attempt was not sent to any endpoint."""

    # Id of the attempt.
    attempt: str
    # Why.
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptEnded:
    """Report that an attempt needs its endpoint no longer."""

    # Instance of the attempt.
    instance: str


class _Look:
    pass


class Membership(task.Task):
    """Own the view of the endpoints."""

    def __init__(self, ctx: task.Context, address: str) -> None:
        super().__init__(ctx, address)
        # Settings of the document in force.
        self.settings = types.ControlSettings()
        self._view = membership.View(self.settings.heartbeat_s)
        # Revision of the document in force; 0 for none.
        self._revision = 0
        # Addresses of the entries of the region that are known.
        self._entries: tuple[str, ...] = (ctx.cfg.listen,)
        self._ledger: events.LedgerView | None = None
        self._phases: dict[str, membership.Phase] = {}

    def started(self) -> None:
        """Start to look for silent endpoints."""
        self.after(self.settings.heartbeat_s, _Look())

    def dump(self) -> dict[str, typing.Any]:
        """Return what is known of each endpoint."""
        now = self.now()
        return {
            **super().dump(),
            'endpoints': {
                name: {
                    'phase': self._view.phase(endpoint, now),
                    'zone': endpoint.place.zone,
                    'incarnation': endpoint.incarnation,
                    'in_flight': endpoint.in_flight,
                    'active': endpoint.beat.active if endpoint.beat else 0,
                    'silent_s': round(now - endpoint.heard_at, 3),
                }
                for name, endpoint in self._view.endpoints.items()
            },
        }

    @task.handles(session.Opened)
    def _on_opened(self, event: session.Opened) -> None:
        if event.hello.role == 'sidecar':
            self._view.opened(event.session, event.hello, self.now())
            self.log.info(
                'endpoint connected', instance=event.hello.place.instance
            )

    @task.handles(session.Closed)
    def _on_closed(self, event: session.Closed) -> None:
        self._view.closed(event.session)
        if event.hello.role == 'sidecar':
            self._publish(event.session, event.hello.place.instance)
            self.log.info(
                'endpoint disconnected',
                instance=event.hello.place.instance,
                reason=event.reason,
            )

    @task.handles(session.SendRefused)
    def _on_send_refused(self, event: session.SendRefused) -> None:
        """Ignore it; the sender of the message handles it."""

    @task.handles(session.Received)
    def _on_received(self, event: session.Received) -> None:
        if isinstance(event.msg, messages.HeardQuery):
            self._reply_heard(event.session, event.msg)
            return
        instance = event.hello.place.instance
        endpoint = self._view.find(event.session, instance)
        if endpoint is None:
            return
        endpoint.heard_at = self.now()
        msg = event.msg
        if isinstance(msg, messages.EndpointState):
            endpoint.state = msg
        elif isinstance(msg, messages.Heartbeat):
            endpoint.beat = msg
            self._acknowledge(endpoint, msg)
        elif isinstance(msg, messages.Leaving):
            endpoint.leaving = True
            self.log.info('endpoint leaving', instance=instance)
        self._publish(event.session, instance)

    def _acknowledge(
        self, endpoint: membership.Endpoint, beat: messages.Heartbeat
    ) -> None:
        fenced, age_ms = self._infer_vouch(endpoint)
        ack = messages.HeartbeatAck(
            seq=beat.seq,
            revision=self._revision,
            log_age_ms=age_ms,
            fenced=fenced,
            entries=self._entries,
        )
        self.send(endpoint.session, session.Send(ack))

    def _infer_vouch(self, endpoint: membership.Endpoint) -> tuple[bool, int]:
        """Return whether a sidecar is fenced and the age of the log view."""
        view = self._ledger
        if view is None or endpoint.state is None:
            return False, -1
        name = (endpoint.place.instance, endpoint.incarnation)
        if name in view.fenced:
            return True, -1
        if name[0] in view.instances and name not in view.cleared:
            return False, -1
        age_s = self.now() - view.asked_at
        if age_s > self.settings.isolation_s:
            return False, -1
        return False, int(age_s * 1000)

    def _reply_heard(self, name: str, query: messages.HeardQuery) -> None:
        endpoint = self._view.endpoints.get(query.instance)
        age_ms = -1
        if endpoint is not None and endpoint.incarnation == query.incarnation:
            age_ms = int((self.now() - endpoint.heard_at) * 1000)
        reply = messages.HeardReply(query.instance, query.incarnation, age_ms)
        self.send(name, session.Send(reply))

    def _publish(self, name: str, instance: str) -> None:
        endpoint = self._view.find(name, instance)
        if endpoint is None:
            return
        phase = self._view.phase(endpoint, self.now())
        self._phases[instance] = phase
        event = events.EndpointSeen(
            session=endpoint.session,
            place=endpoint.place,
            incarnation=endpoint.incarnation,
            state=endpoint.state,
            free=endpoint.beat.free if endpoint.beat else None,
            phase=phase,
        )
        self.send(addresses.TASKS, event)
        self.send(addresses.FENCES, event)

    @task.handles(_Look)
    def _on_look(self, msg: _Look) -> None:
        self.after(self.settings.heartbeat_s, _Look())
        now = self.now()
        for instance, endpoint in list(self._view.endpoints.items()):
            phase = self._view.phase(endpoint, now)
            if self._phases.get(instance) != phase:
                self._publish(endpoint.session, instance)
            if phase == 'gone' and now - endpoint.heard_at > FORGET_S:
                self._view.forget(instance)
                self._phases.pop(instance, None)
                event = events.EndpointForgotten(instance)
                self.send(addresses.TASKS, event)

    @task.handles(events.SettingsInForce)
    def _on_settings(self, event: events.SettingsInForce) -> None:
        self.settings, self._revision = event.settings, event.revision
        self._view.heartbeat_s = event.settings.heartbeat_s
        self._view.drained = frozenset(event.settings.drained)

    @task.handles(events.LogRead)
    @task.handles(events.LogGap)
    def _on_log(self, event: events.LogRead | events.LogGap) -> None:
        """Ignore it; `work/tasks` reports the view after it was applied."""

    @task.handles(events.LedgerView)
    def _on_ledger(self, view: events.LedgerView) -> None:
        self._ledger = view

    @task.handles(events.PeersChanged)
    def _on_peers(self, event: events.PeersChanged) -> None:
        self._entries = event.addresses

    @task.handles(Dispatch)
    def _on_dispatch(self, req: Dispatch) -> None:
        attempt = req.msg.attempt
        found = self._view.candidates(req.msg.service, self.now())
        if not found:
            self._not_dispatched(attempt, 'no endpoint serves this now')
            return
        fresh = [e for e in found if e.place.instance not in req.avoid]
        policy = endpoint_choice.POLICIES.get(self.settings.endpoint_policy)
        options = [infer_candidate(e) for e in fresh or found]
        choice = policy(options, self.ctx.rng)
        if choice is None:
            self._not_dispatched(attempt, 'no endpoint has room')
            return
        endpoint = self._view.endpoints[choice.instance]
        if not self.send(endpoint.session, session.Send(req.msg)):
            self._not_dispatched(attempt, 'session has ended')
            return
        endpoint.in_flight += 1
        self.send(
            addresses.REQUESTS,
            Dispatched(attempt, choice.instance, endpoint.session),
        )

    def _not_dispatched(self, attempt: str, reason: str) -> None:
        self.send(addresses.REQUESTS, NotDispatched(attempt, reason))

    @task.handles(AttemptEnded)
    def _on_attempt_ended(self, event: AttemptEnded) -> None:
        endpoint = self._view.endpoints.get(event.instance)
        if endpoint is not None and endpoint.in_flight > 0:
            endpoint.in_flight -= 1


def infer_candidate(
    endpoint: membership.Endpoint,
) -> endpoint_choice.Candidate:
    """Return what a policy may know of an endpoint."""
    assert endpoint.state is not None, 'candidate without full state'
    beat = endpoint.beat
    return endpoint_choice.Candidate(
        instance=endpoint.place.instance,
        slots=endpoint.state.capacity.slots,
        active=beat.active if beat else 0,
        in_flight=endpoint.in_flight,
        granted=beat.granted if beat else 0,
        latency_ms=beat.latency_ms if beat else 0.0,
    )

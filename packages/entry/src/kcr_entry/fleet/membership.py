"""Own the view of the endpoints and choose one for each attempt."""

import dataclasses
import typing

from kcr_core import dispatch
from kcr_core import membership
from kcr_core import messages
from kcr_core import types
from kcr_entry import addresses
from kcr_runtime import task
from kcr_runtime.wire import session


# Largest time between looks at the attempts that wait for a grant, in seconds.
LOOK_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """Ask for an attempt to be sent to an endpoint."""

    # The attempt.
    msg: messages.Execute
    # Instances that should not be chosen if another can be.
    avoid: frozenset[str]
    # Whether the attempt is a hedge.
    hedge: bool = False


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
    # Key of its request; empty when no result is known.
    request: str = ''
    # What came of it; `none` when nobody waits for it any more.
    result: dispatch.Result = 'none'
    # Time from sending it to its end, in seconds; 0 when not known.
    took_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Withdraw:
    """Drop an attempt that may still wait to be sent."""

    # Id of the attempt.
    attempt: str


class _Look:
    pass


class Membership(task.Task):
    """Own the view of the endpoints."""

    def __init__(self, ctx: task.Context, address: str) -> None:
        super().__init__(ctx, address)
        # Settings of the document in force.
        self.settings = types.ControlSettings()
        self._view = membership.View(self.settings.heartbeat_s)
        self._dispatcher = dispatch.Dispatcher(self._view, ctx.rng)
        self._held: dict[str, Dispatch] = {}
        self._looking = False

    def dump(self) -> dict[str, typing.Any]:
        """Return what is known of each endpoint."""
        now = self.now()
        return {
            **super().dump(),
            'waiting_for_grant': self._dispatcher.waiting(),
            'health': self._dispatcher.health.dump(),
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
        instance = event.hello.place.instance
        endpoint = self._view.find(event.session, instance)
        if endpoint is None:
            return
        endpoint.heard_at = self.now()
        msg = event.msg
        if isinstance(msg, messages.EndpointState):
            self._view.announced(endpoint, msg)
        elif isinstance(msg, messages.Heartbeat):
            endpoint.beat = msg
            self._acknowledge(event.session, msg)
            self._advance()
        elif isinstance(msg, messages.Leaving):
            endpoint.leaving = True
            self.log.info('endpoint leaving', instance=instance)

    def _acknowledge(self, name: str, beat: messages.Heartbeat) -> None:
        ack = messages.HeartbeatAck(
            seq=beat.seq, revision=0, log_age_ms=-1, fenced=False
        )
        self.send(name, session.Send(ack))

    @task.handles(Dispatch)
    def _on_dispatch(self, req: Dispatch) -> None:
        now = self.now()
        offer = dispatch.Offer(
            attempt=req.msg.attempt,
            service=req.msg.service,
            deadline=now + req.msg.budget_ms / 1000.0,
            avoid=req.avoid,
            hedge=req.hedge,
            idempotent=req.msg.idempotent,
        )
        decision = self._dispatcher.offer(offer, self.settings, now)
        self._held[offer.attempt] = req
        self._carry_out(decision, offer.deadline)

    def _carry_out(self, decision: dispatch.Decision, deadline: float) -> None:
        if isinstance(decision, dispatch.Held):
            self._look_later()
            return
        req = self._held.pop(decision.attempt)
        if isinstance(decision, dispatch.Rejected):
            self.ctx.metrics.count('dispatch_rejected')
            self._not_dispatched(decision.attempt, decision.reason)
            return
        left_ms = max(0, int((deadline - self.now()) * 1000))
        msg = dataclasses.replace(req.msg, budget_ms=left_ms)
        endpoint = self._view.endpoints[decision.instance]
        if not self.send(endpoint.session, session.Send(msg)):
            endpoint.in_flight -= 1
            self._not_dispatched(decision.attempt, 'session has ended')
            return
        self.send(
            addresses.REQUESTS,
            Dispatched(decision.attempt, decision.instance, endpoint.session),
        )

    def _advance(self) -> None:
        if not self._dispatcher.waiting():
            return
        decisions = self._dispatcher.advance(self.settings, self.now())
        for offer, decision in decisions:
            self._carry_out(decision, offer.deadline)

    def _look_later(self) -> None:
        delay = self._dispatcher.next_look(self.now())
        if delay is not None and not self._looking:
            self._looking = True
            self.after(min(delay, LOOK_S), _Look())

    @task.handles(_Look)
    def _on_look(self, msg: _Look) -> None:
        self._looking = False
        self._advance()
        self._look_later()

    @task.handles(Withdraw)
    def _on_withdraw(self, msg: Withdraw) -> None:
        if self._dispatcher.withdraw(msg.attempt):
            del self._held[msg.attempt]
            self._not_dispatched(msg.attempt, 'deadline passed in the queue')

    def _not_dispatched(self, attempt: str, reason: str) -> None:
        self.send(addresses.REQUESTS, NotDispatched(attempt, reason))

    @task.handles(AttemptEnded)
    def _on_attempt_ended(self, event: AttemptEnded) -> None:
        self._dispatcher.ended(
            event.instance,
            event.request,
            event.result,
            event.took_s,
            self.now(),
        )
        self._advance()

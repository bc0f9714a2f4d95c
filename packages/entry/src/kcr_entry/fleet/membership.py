"""Track the endpoints that are connected to an entry; dispatch attempts.

The task records the sessions, states and heartbeats of the sidecars,
acknowledges the heartbeats, and reports changes to the owners of the tasks
and of the fences. The owner of the requests sends it attempts; it chooses an
endpoint for each with the dispatcher of `kcr_core`, or queues it.
"""

import dataclasses
import typing

from kcr_core import dispatch
from kcr_core import membership
from kcr_core import messages
from kcr_core import types
from kcr_entry import addresses
from kcr_entry import events
from kcr_runtime import task
from kcr_runtime.wire import session

# Time after which a disconnected instance is forgotten, in seconds. 770
# instances are replaced per day, so about 32 disconnected ones are kept.
FORGET_AFTER_S = 3600.0
# Share of the isolation timeout up to which a view of the log is fresh. With
# a fresh view, a renewal of a sidecar's authority states the age of the view
# and counts from the time of the view. In an outage of the log these renewals
# expire after the isolation timeout. The renewals without a fresh view must
# begin before that, or every outage of the log stops all tasks.
FRESH_LOG_SHARE = 0.5

# Maximum interval between scans of the attempts that wait for a grant, in
# seconds.
MAX_SCAN_DELAY_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """Request that an attempt is sent to an endpoint."""

    # Message to the endpoint.
    msg: messages.Execute
    # Instances to choose only if there is no other.
    avoid: frozenset[str]
    # Whether the attempt is a hedge.
    hedge: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatched:
    """Report the endpoint to which an attempt was sent."""

    # Id of the attempt.
    attempt: str
    # Chosen instance.
    instance: str
    # Address of the session that leads to it.
    session: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotDispatched:
    """Report that an attempt was not sent to any endpoint."""

    # Id of the attempt.
    attempt: str
    # Reason for the log and the caller.
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptEnded:
    """Report that an attempt no longer occupies its endpoint."""

    # Instance of the attempt.
    instance: str
    # Key of its request; empty if its result is unknown.
    request: str = ''
    # Result of the attempt; `none` if the entry stopped waiting for it.
    result: dispatch.Result = 'none'
    # Time from sending it to its end, in seconds; 0 if unknown.
    took_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Withdraw:
    """Request that an attempt is dropped if it still waits to be sent."""

    # Id of the attempt.
    attempt: str


class RequestsRestarted:
    """Report that the owner of the requests restarted without attempts."""


class _Scan:
    pass


class _ScanWaiting:
    pass


class Membership(task.Task):
    """Own the view of the endpoints and the attempts not sent yet."""

    def __init__(self, ctx: task.Context, address: str) -> None:
        super().__init__(ctx, address)
        # Settings of the document in force.
        self.settings = types.ControlSettings()
        # Revision of the document in force.
        self.revision = 0
        self._view = membership.FleetView(self.settings.heartbeat_s)
        self._dispatcher = dispatch.RequestDispatcher(self._view, ctx.rng)
        self._pending: dict[str, Dispatch] = {}
        self._scan_scheduled = False
        # Addresses of the known entries of the region.
        self._entries: tuple[str, ...] = (ctx.cfg.listen,)
        self._ledger: events.LedgerView | None = None
        self._phases: dict[str, membership.Phase] = {}

    def started(self) -> None:
        """Schedule the scan for silent endpoints."""
        self.after(self.settings.heartbeat_s, _Scan())

    def dump(self) -> dict[str, typing.Any]:
        """Return the state of each endpoint and of the dispatcher."""
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
                    'active': endpoint.heartbeat.active
                    if endpoint.heartbeat
                    else 0,
                    'silent_s': round(now - endpoint.last_message_at, 3),
                }
                for name, endpoint in self._view.endpoints.items()
            },
        }

    @task.handles(events.SettingsInForce)
    def _on_settings(self, event: events.SettingsInForce) -> None:
        if event.revision < self.revision:
            return
        self.settings, self.revision = event.settings, event.revision
        self._view.heartbeat_s = event.settings.heartbeat_s
        self._view.drained = frozenset(event.settings.drained)

    @task.handles(session.Opened)
    def _on_opened(self, event: session.Opened) -> None:
        if event.hello.role == 'sidecar':
            self._view.session_opened(event.session, event.hello, self.now())
            self.log.info(
                'endpoint connected', instance=event.hello.place.instance
            )

    @task.handles(session.Closed)
    def _on_closed(self, event: session.Closed) -> None:
        self._view.session_closed(event.session)
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
        if isinstance(event.msg, messages.LastMessageQuery):
            self._reply_to_last_message_query(event.session, event.msg)
            return
        instance = event.hello.place.instance
        endpoint = self._view.find(event.session, instance)
        if endpoint is None:
            return
        endpoint.last_message_at = self.now()
        msg = event.msg
        if isinstance(msg, messages.EndpointState):
            self._view.set_state(endpoint, msg)
        elif isinstance(msg, messages.Heartbeat):
            before = endpoint.heartbeat.revision if endpoint.heartbeat else -1
            if msg.revision != before:
                report = events.RevisionReported(event.session, msg.revision)
                self.send(addresses.PROCESSES, report)
            endpoint.heartbeat = msg
            self._acknowledge(endpoint, msg)
            self._advance()
        elif isinstance(msg, messages.Leaving):
            endpoint.leaving = True
            self.log.info('endpoint leaving', instance=instance)
        self._publish(event.session, instance)

    def _acknowledge(
        self, endpoint: membership.Endpoint, heartbeat: messages.Heartbeat
    ) -> None:
        fenced, log_age_ms = self._infer_renewal(endpoint)
        ack = messages.HeartbeatAck(
            seq=heartbeat.seq,
            revision=self.revision,
            log_age_ms=log_age_ms,
            fenced=fenced,
            entries=self._entries,
        )
        self.send(endpoint.session, session.Send(ack))

    def _infer_renewal(
        self, endpoint: membership.Endpoint
    ) -> tuple[bool, int]:
        """Return whether a sidecar is fenced, and the age of the log in ms.

        The age is -1 for a renewal that does not state it: the view is not
        fresh, or the instance may still run tasks of a fenced sidecar.
        """
        ledger = self._ledger
        if ledger is None or endpoint.state is None:
            return False, -1
        name = (endpoint.place.instance, endpoint.incarnation)
        if name in ledger.fenced:
            return True, -1
        if name[0] in ledger.instances and name not in ledger.cleared:
            return False, -1
        age_s = self.now() - ledger.requested_at
        if age_s > self.settings.isolation_s * FRESH_LOG_SHARE:
            return False, -1
        return False, int(age_s * 1000)

    def _reply_to_last_message_query(
        self, name: str, query: messages.LastMessageQuery
    ) -> None:
        endpoint = self._view.endpoints.get(query.instance)
        age_ms = -1
        if endpoint is not None and endpoint.incarnation == query.incarnation:
            age_ms = int((self.now() - endpoint.last_message_at) * 1000)
        reply = messages.LastMessageReply(
            query.instance, query.incarnation, age_ms
        )
        self.send(name, session.Send(reply))

    def _publish(self, name: str, instance: str) -> None:
        endpoint = self._view.find(name, instance)
        if endpoint is None:
            return
        phase = self._view.phase(endpoint, self.now())
        self._phases[instance] = phase
        event = events.EndpointChanged(
            session=endpoint.session,
            place=endpoint.place,
            incarnation=endpoint.incarnation,
            state=endpoint.state,
            free=endpoint.heartbeat.free if endpoint.heartbeat else None,
            phase=phase,
        )
        self.send(addresses.TASKS, event)
        self.send(addresses.FENCES, event)

    @task.handles(_Scan)
    def _on_scan(self, msg: _Scan) -> None:
        self.after(self.settings.heartbeat_s, _Scan())
        now = self.now()
        for instance, endpoint in list(self._view.endpoints.items()):
            phase = self._view.phase(endpoint, now)
            if self._phases.get(instance) != phase:
                self._publish(endpoint.session, instance)
            if (
                phase == 'gone'
                and now - endpoint.last_message_at > FORGET_AFTER_S
            ):
                self._view.forget(instance)
                self._phases.pop(instance, None)
                event = events.EndpointRemoved(instance)
                self.send(addresses.TASKS, event)

    @task.handles(events.LedgerView)
    def _on_ledger(self, ledger: events.LedgerView) -> None:
        self._ledger = ledger

    @task.handles(events.PeersChanged)
    def _on_peers(self, event: events.PeersChanged) -> None:
        self._entries = event.addresses

    @task.handles(Dispatch)
    def _on_dispatch(self, req: Dispatch) -> None:
        now = self.now()
        pending = dispatch.PendingAttempt(
            attempt=req.msg.attempt,
            service=req.msg.service,
            deadline=now + req.msg.budget_ms / 1000.0,
            avoid=req.avoid,
            hedge=req.hedge,
            idempotent=req.msg.idempotent,
        )
        decision = self._dispatcher.submit(pending, self.settings, now)
        self._pending[pending.attempt] = req
        self._apply_decision(decision, pending.deadline)

    def _apply_decision(
        self, decision: dispatch.Decision, deadline: float
    ) -> None:
        if isinstance(decision, dispatch.Queued):
            self._schedule_scan()
            return
        req = self._pending.pop(decision.attempt)
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
        for pending, decision in decisions:
            self._apply_decision(decision, pending.deadline)

    def _schedule_scan(self) -> None:
        delay = self._dispatcher.next_scan_delay(self.now())
        if delay is not None and not self._scan_scheduled:
            self._scan_scheduled = True
            self.after(min(delay, MAX_SCAN_DELAY_S), _ScanWaiting())

    @task.handles(_ScanWaiting)
    def _on_scan_waiting(self, msg: _ScanWaiting) -> None:
        self._scan_scheduled = False
        self._advance()
        self._schedule_scan()

    @task.handles(RequestsRestarted)
    def _on_requests_restarted(self, msg: RequestsRestarted) -> None:
        for attempt in list(self._pending):
            self._dispatcher.withdraw(attempt)
        self._pending.clear()
        for endpoint in self._view.endpoints.values():
            endpoint.in_flight = 0

    @task.handles(Withdraw)
    def _on_withdraw(self, msg: Withdraw) -> None:
        if self._dispatcher.withdraw(msg.attempt):
            del self._pending[msg.attempt]
            self._not_dispatched(msg.attempt, 'deadline passed in the queue')

    def _not_dispatched(self, attempt: str, reason: str) -> None:
        self.send(addresses.REQUESTS, NotDispatched(attempt, reason))

    @task.handles(AttemptEnded)
    def _on_attempt_ended(self, event: AttemptEnded) -> None:
        self._dispatcher.attempt_ended(
            event.instance,
            event.request,
            event.result,
            event.took_s,
            self.now(),
        )
        self._advance()

"""Control the runner: extend its lease, carry out orders, report its state.

The inputs are the heartbeats of the runner, the orders and confirmations of
the owner of the jobs, and the runner's answers. The task is the only caller of
the runner. It may extend the lease only as far as the owner's confirmations
allow; without them it lets the lease expire. Its state is in control_state;
the modules run_lists and orders act on it by subject.
"""

import typing

from twisted.internet import defer

from kcr_agent import addresses
from kcr_agent import events
from kcr_agent.runner import control_state
from kcr_agent.runner import orders
from kcr_agent.runner import run_lists
from kcr_jobs import messages
from kcr_jobs import runner_lease
from kcr_jobs import types
from kcr_runtime import process
from kcr_runtime import task
from kcr_runtime.wire import session

# Time between requests for a lease, in seconds.
ATTACH_RETRY_S = 0.4
# Age of an unconfirmed report or lease request at which the owner counts as
# failed, in seconds.
OWNER_TIMEOUT_S = 1.2
# Time between scans of the lease, in seconds.
SCAN_INTERVAL_S = 0.1


# Part of the grace period that is left for the shutdown, in seconds.
GRACE_MARGIN_S = 0.7


class _Scan:
    pass


class _CheckDrained:
    pass


class Control(task.Task):
    """Own the client of the runner and the lease on it."""

    def __init__(self, ctx: task.Context, address: str) -> None:
        super().__init__(ctx, address)
        self._state = control_state.State(self)
        self._lists = run_lists.RunLists(self._state)
        self._orders = orders.Orders(self._state, self._lists)
        # Time until which a graceful end waits for runs.
        self._drain_until = 0.0
        # Number of the last heartbeat in the incarnation of the runner.
        self._heartbeat_seq = 0
        # Whether the runner is asked if it has the id of a heartbeat.
        self._identifying = False
        # Id of the last other runner whose heartbeat was ignored.
        self._ignored_id = ''

    @property
    def info(self) -> types.RunnerInfo | None:
        """Return the content of the last heartbeat; none before the first."""
        return self._state.info

    @property
    def lease(self) -> runner_lease.RunnerLease:
        """Return the lease and the start orders under it."""
        return self._state.lease

    def started(self) -> None:
        """Start the scans of the lease."""
        self.post(_Scan())

    def stopped(self) -> defer.Deferred[None] | None:
        """End the calls under way."""
        self._state.ended = True
        return None

    def dump(self) -> dict[str, typing.Any]:
        """Return the lease and the runner."""
        return {
            **super().dump(),
            'token': self.lease.token,
            'lease_left_s': round(self.lease.expires_at - self.now(), 3),
            'orders': len(self.lease.start_orders),
            'life': self.info.incarnation if self.info else '',
            'starts_closed': self._state.starts_closed,
        }

    # The runner.

    @task.handles(events.RunnerHeartbeat)
    def _on_heartbeat(self, event: events.RunnerHeartbeat) -> None:
        old, new = self._state.info, event.info
        answered = self._state.answered_born_ms
        service = self.ctx.cfg.service or (old.service if old else '')
        if service and new.service != service:
            self._ignore_other(new)
        elif old is None:
            self._begin_incarnation(event)
        elif new.runner_id != old.runner_id:
            if not self._identifying:
                self._identifying = True
                self.spawn(self._identify(event, old.runner_id))
        elif new.born_ms == old.born_ms:
            self._update_info(event, old)
        elif new.born_ms > old.born_ms or new.born_ms == answered:
            # The clock of the instance may have been set back, so the
            # incarnation that answers counts, also if it seems older.
            self._begin_incarnation(event)
        else:
            self.log.info(
                'heartbeat of older incarnation ignored', life=new.incarnation
            )

    def _update_info(
        self, event: events.RunnerHeartbeat, old: types.RunnerInfo
    ) -> None:
        new = event.info
        if event.seq > self._heartbeat_seq:
            if self._state.answered_born_ms < new.born_ms:
                # What has answered was of an older incarnation.
                self._state.answered_born_ms = 0
            self._state.info, self._heartbeat_seq = new, event.seq
            refuted = self._state.deregistered
            if refuted:
                # A runner that has deregistered itself sends no heartbeats.
                self._state.deregistered = False
                self.log.info('deregistration refuted', life=new.incarnation)
            drains = new.draining and not old.draining
            if drains:
                self.log.info('runner draining', left_ms=new.remaining_ms)
            if drains or refuted:
                self._lists.report((), (), self.now())

    def _begin_incarnation(self, event: events.RunnerHeartbeat) -> None:
        state = self._state
        self.log.info(
            'runner incarnation started',
            life=event.info.incarnation,
            before=state.info.incarnation if state.info else '',
        )
        state.info, self._heartbeat_seq = event.info, event.seq
        state.deregistered, state.answered_born_ms = False, 0
        state.lease.forget_clock()
        state.drop_lease()
        state.attach()

    async def _identify(
        self, event: events.RunnerHeartbeat, known_id: str
    ) -> None:
        """Take an id of the same service if the own runner has it by now.

        A runner that was replaced has a new id; the heartbeat of a runner of
        another instance has one as well.
        """
        is_own = await self._state.runner.identify(event.info)
        self._identifying = False
        info = self._state.info
        if self._state.ended or info is None or info.runner_id != known_id:
            return
        if is_own:
            self._begin_incarnation(event)
        elif is_own is not None:
            self._ignore_other(event.info)

    def _ignore_other(self, info: types.RunnerInfo) -> None:
        self.ctx.metrics.count('heartbeat_of_other')
        if info.runner_id != self._ignored_id:
            self._ignored_id = info.runner_id
            self.log.warning(
                'heartbeat of another runner ignored',
                runner=info.runner_id,
                service=info.service,
            )

    @task.handles(events.RunnerLeft)
    def _on_runner_left(self, event: events.RunnerLeft) -> None:
        """Send no starts until a later heartbeat shows that it serves."""
        # A deregistration names the id only, which the next incarnation keeps,
        # and may arrive after that one has started.
        info = self.info
        if info is not None and info.runner_id == event.runner_id:
            self.log.info(
                'runner left', life=info.incarnation, draining=info.draining
            )
            self._state.deregistered = True
            self._lists.report((), (), self.now())

    # The owner.

    @task.handles(events.OwnerSessionChanged)
    def _on_owner(self, event: events.OwnerSessionChanged) -> None:
        if event.session != self._state.owner_session:
            self._state.owner_session = event.session
            self._state.drop_lease()
        if event.session:
            self._state.attach()

    @task.handles(_Scan)
    def _on_scan(self, msg: _Scan) -> None:
        now, state = self.now(), self._state
        self.after(SCAN_INTERVAL_S, _Scan())
        if not state.owner_session:
            return
        attach_sent_at = state.attach_sent_at
        if not state.lease.token:
            if (
                attach_sent_at is not None
                and now - attach_sent_at >= OWNER_TIMEOUT_S
            ):
                self._owner_silent()
            elif (
                attach_sent_at is None
                or now - attach_sent_at >= ATTACH_RETRY_S
            ):
                state.attach()
                if attach_sent_at is not None:
                    # The timeout of the owner counts from the first request.
                    state.attach_sent_at = attach_sent_at
        elif state.lease.infer_unconfirmed_s(now) >= OWNER_TIMEOUT_S:
            self._owner_silent()
        else:
            self._lists.report_expiry(now)

    def _owner_silent(self) -> None:
        state = self._state
        self.log.warning('owner silent', session=state.owner_session)
        silent, state.owner_session = state.owner_session, ''
        state.drop_lease()
        self.send(addresses.LINK, events.OwnerSilent(silent))

    @task.handles(session.Received)
    def _on_received(self, event: session.Received) -> None:
        msg = event.msg
        if event.session != self._state.owner_session:
            return
        if isinstance(msg, messages.Lease):
            self._state.begin_lease(msg.token)
            self.log.info('lease granted', token=msg.token, epoch=msg.epoch)
            self._lists.begin()
        elif msg.token != self.lease.token:
            self.ctx.metrics.count('order_of_older_lease')
        elif isinstance(msg, messages.RunnerReportAck):
            self._state.starts_closed = msg.starts_closed
            self.lease.confirm(msg.seq, msg.lease_ms, msg.cursor)
            self.lease.drop_confirmed_reports(msg.seq + 1)
            self._lists.confirmed()
        elif isinstance(msg, messages.StartRun):
            self._orders.start(msg)
        elif isinstance(msg, messages.StopRun):
            self._orders.stop(msg)
        elif isinstance(msg, messages.ThrottleRun):
            self._orders.throttle(msg)

    @task.handles(events.Drain)
    def _on_drain(self, msg: events.Drain) -> None:
        """End, at once unless the runner leaves and still has runs.

        Else the next agent takes over the runner as it is. No agent follows
        on an instance that is removed, and its runs could not be stopped.
        """
        self._drain_until = self.now() + self.ctx.cfg.grace_s - GRACE_MARGIN_S
        self.post(_CheckDrained())

    @task.handles(_CheckDrained)
    def _on_check_drained(self, msg: _CheckDrained) -> None:
        busy = self._state.is_leaving() and self._lists.has_runs
        if busy and self.now() < self._drain_until:
            self.after(SCAN_INTERVAL_S, _CheckDrained())
            return
        self.log.info('drained', runs=self._lists.has_runs)
        self.send(process.PROCESS_ADDRESS, process.Drained())

"""Control the runner: extend its lease, carry out orders, report its state.

The inputs are the heartbeats of the runner, the orders and confirmations of
the owner of the jobs, and the runner's answers. The task is the only caller of
the runner. It may extend the lease only as far as the owner's confirmations
allow; without them it lets the lease expire.
"""

import dataclasses
import typing

from twisted.internet import defer
from twisted.internet import task as twisted_task

from kcr_agent import addresses
from kcr_agent import events
from kcr_agent.runner import client
from kcr_jobs import messages
from kcr_jobs import runner_lease
from kcr_jobs import types
from kcr_runtime import process
from kcr_runtime import task
from kcr_runtime.wire import session

# Longest wait of one list for the end of a run, in milliseconds; the usage
# that the runner lists is that of the last half second.
LIST_WAIT_MS = 500
# Time between complete reports, in seconds.
REPORT_INTERVAL_S = 0.45
# Pause after a list has failed, in seconds.
LIST_RETRY_S = 0.2
# Pause before an unanswered start is repeated, in seconds.
START_RETRY_S = 0.05
# Pause before the stop that forbids an unanswered start is repeated, in
# seconds.
FORBID_RETRY_S = 0.2
# Time between requests for a lease, in seconds.
ATTACH_RETRY_S = 0.4
# Age of an unconfirmed report or lease request at which the owner counts as
# failed, in seconds.
OWNER_TIMEOUT_S = 1.2
# Time between scans of the lease, in seconds.
SCAN_INTERVAL_S = 0.1
# Tries of an order to throttle; the owner sends it only once.
THROTTLE_TRIES = 4


class _Scan:
    pass


class Control(task.Task):
    """Own the client of the runner and the lease on it."""

    def __init__(self, ctx: task.Context, address: str) -> None:
        super().__init__(ctx, address)
        self.runner: client.RunnerClient = client.RUNNERS.get(ctx.cfg.runner)(
            ctx
        )
        # Content of the last heartbeat; none before the first.
        self.info: types.RunnerInfo | None = None
        # Lease and the start orders under it.
        self.lease = runner_lease.RunnerLease()
        # Number of the last heartbeat in the incarnation of the runner.
        self._heartbeat_seq = 0
        # Address of the session task that leads to the owner; empty for none.
        self._owner_session = ''
        # Time of the first unanswered request for a lease; none without one.
        self._attach_sent_at: float | None = None
        # Number of the lease; answers to calls under older ones are dropped.
        self._term = 0
        # Time of the last complete report under the lease; none before it.
        self._reported_at: float | None = None
        # Number of the last ended run that was reported under the lease.
        self._last_end_sent = 0
        # Whether the owner forbids starts, as the zone is evacuated.
        self._starts_closed = False
        # Whether the runner has deregistered itself.
        self._runner_left = False
        # Whether it answered the last query for its runs.
        self._runner_answers = True

    def started(self) -> None:
        """Start the scans of the lease."""
        self.post(_Scan())

    def dump(self) -> dict[str, typing.Any]:
        """Return the lease and the runner."""
        return {
            **super().dump(),
            'token': self.lease.token,
            'lease_left_s': round(self.lease.expires_at - self.now(), 3),
            'orders': len(self.lease.start_orders),
            'life': self.info.incarnation if self.info else '',
            'starts_closed': self._starts_closed,
        }

    # The runner.

    @task.handles(events.RunnerHeartbeat)
    def _on_heartbeat(self, event: events.RunnerHeartbeat) -> None:
        old, new = self.info, event.info
        if old is not None:
            if new.born_ms < old.born_ms:
                self.log.info(
                    'heartbeat of older incarnation ignored',
                    life=new.incarnation,
                )
                return
            if (
                new.incarnation == old.incarnation
                and event.seq <= self._heartbeat_seq
            ):
                return
        self.info, self._heartbeat_seq = new, event.seq
        if old is None or new.incarnation != old.incarnation:
            self.log.info(
                'runner incarnation started',
                life=new.incarnation,
                before=old.incarnation if old else '',
            )
            self._runner_left = False
            self.lease.forget_clock()
            self._drop_lease()
            self._attach()
        elif new.draining and not old.draining:
            self.log.info('runner draining', left_ms=new.remaining_ms)
            self._report((), (), False, self.now())

    @task.handles(events.RunnerLeft)
    def _on_runner_left(self, event: events.RunnerLeft) -> None:
        if self.info is not None and self.info.runner_id == event.runner_id:
            self.log.info('runner left', life=self.info.incarnation)
            self._runner_left = True

    # The owner.

    @task.handles(events.OwnerSessionChanged)
    def _on_owner(self, event: events.OwnerSessionChanged) -> None:
        if event.session != self._owner_session:
            self._owner_session = event.session
            self._drop_lease()
        if event.session:
            self._attach()

    def _drop_lease(self) -> None:
        self._term += 1
        self._attach_sent_at = None
        if self.lease.token:
            self.log.info('lease dropped', token=self.lease.token)
        self.lease.start(0)

    def _attach(self) -> None:
        if self._owner_session and self.info is not None:
            self._attach_sent_at = self.now()
            msg = messages.Attach(self.ctx.cfg.process, self.info)
            self.send(self._owner_session, session.Send(msg))

    @task.handles(_Scan)
    def _on_scan(self, msg: _Scan) -> None:
        now = self.now()
        self.after(SCAN_INTERVAL_S, _Scan())
        if not self._owner_session:
            return
        attach_sent_at = self._attach_sent_at
        if not self.lease.token:
            if (
                attach_sent_at is not None
                and now - attach_sent_at >= OWNER_TIMEOUT_S
            ):
                self._owner_silent()
            elif (
                attach_sent_at is None
                or now - attach_sent_at >= ATTACH_RETRY_S
            ):
                self._attach()
                if attach_sent_at is not None:
                    # The timeout of the owner counts from the first request.
                    self._attach_sent_at = attach_sent_at
        elif self.lease.infer_unconfirmed_s(now) >= OWNER_TIMEOUT_S:
            self._owner_silent()

    def _owner_silent(self) -> None:
        self.log.warning('owner silent', session=self._owner_session)
        silent, self._owner_session = self._owner_session, ''
        self._drop_lease()
        self.send(addresses.LINK, events.OwnerSilent(silent))

    @task.handles(session.Received)
    def _on_received(self, event: session.Received) -> None:
        msg = event.msg
        if event.session != self._owner_session:
            return
        if isinstance(msg, messages.Lease):
            self._begin_lease(msg)
        elif msg.token != self.lease.token:
            self.ctx.metrics.count('order_of_older_lease')
        elif isinstance(msg, messages.RunnerReportAck):
            self._starts_closed = msg.starts_closed
            self.lease.confirm(msg.seq, msg.lease_ms, msg.cursor)
            self.lease.drop_confirmed_reports(msg.seq + 1)
        elif isinstance(msg, messages.StartRun):
            self._handle_start_order(msg)
        elif isinstance(msg, messages.StopRun):
            self._handle_stop_order(msg)
        elif isinstance(msg, messages.ThrottleRun):
            self.spawn(self._throttle(msg, self._term))

    def _begin_lease(self, msg: messages.Lease) -> None:
        self._term += 1
        self._attach_sent_at = None
        self._last_end_sent = 0
        self._reported_at = None
        self._starts_closed = False
        self.lease.start(msg.token)
        self.log.info('lease granted', token=msg.token, epoch=msg.epoch)
        self.spawn(self._extend_lease_loop(self._term))

    # Lists of runs.

    def _query_runs(
        self, queried_at: float, wait_ms: int
    ) -> defer.Deferred[client.RunList | client.Refused | client.NoAnswer]:
        """Extend the lease as far as it is confirmed, and list the runs."""
        assert self.info is not None
        return self.runner.extend_lease(
            self.info.runner_id,
            self.lease.token,
            self.lease.cursor,
            self.lease.deadline_ms(queried_at),
            wait_ms,
        )

    async def _extend_lease_loop(self, term: int) -> None:
        wait_ms = 0
        while self._running and term == self._term:
            queried_at = self.now()
            got = await self._query_runs(queried_at, wait_ms)
            if not self._running or term != self._term:
                return
            self._update_runner_answers(got)
            if isinstance(got, client.RunList):
                self._handle_run_list(got, queried_at)
                # Until the first confirmation the lists wait only briefly, so
                # that the runner soon gets a deadline.
                wait_ms = LIST_WAIT_MS if self.lease.expires_at else 20
            else:
                await _pause(self.ctx, LIST_RETRY_S)

    def _update_runner_answers(self, got: typing.Any) -> None:
        answers = isinstance(got, client.RunList)
        if answers != self._runner_answers:
            self._runner_answers = answers
            if answers:
                self.log.info('runner answers again')
            else:
                self.log.warning('runner does not answer', reason=got.reason)

    def _handle_run_list(
        self, run_list: client.RunList, queried_at: float
    ) -> None:
        if not self._is_of_incarnation(run_list):
            return
        now = self.now()
        self.lease.set_clock(run_list.clock_ms, now)
        self.lease.drop_confirmed_starts(queried_at)
        self._record_listed_starts(run_list, queried_at)
        new_ends = tuple(
            e for e in run_list.ended if e.number > self._last_end_sent
        )
        last = self._reported_at
        complete = last is None or now - last >= REPORT_INTERVAL_S
        if new_ends or complete:
            unanswered = self.lease.list_unconfirmed_starts(queried_at)
            # A complete report repeats the ends that are not confirmed: if a
            # report with ends was lost, their tasks would look as if they had
            # vanished, and would be started again.
            ends = run_list.ended if complete else new_ends
            self._report(run_list.running, ends, complete, now, unanswered)

    def _report(
        self,
        running: tuple[types.ReportedRun, ...],
        ended: tuple[types.ReportedEnd, ...],
        complete: bool,
        now: float,
        unanswered: tuple[str, ...] = (),
    ) -> None:
        if (
            not self.lease.token
            or not self._owner_session
            or self.info is None
        ):
            return
        info = self.info
        if self._runner_left:
            info = dataclasses.replace(info, draining=True, remaining_ms=0)
        self._last_end_sent = max(
            self._last_end_sent, *(e.number for e in ended), 0
        )
        if complete:
            self._reported_at = now
        report = messages.RunnerReport(
            self.lease.token,
            self.lease.next_report(now),
            info,
            complete,
            running if complete else (),
            ended,
            self.lease.last_order,
            unanswered if complete else (),
        )
        self.send(self._owner_session, session.Send(report))

    # Orders.

    def _handle_start_order(self, msg: messages.StartRun) -> None:
        self.lease.last_order = max(self.lease.last_order, msg.number)
        if self.info is None or msg.life != self.info.incarnation:
            self.log.warning(
                'start for another incarnation ignored', task=msg.task
            )
            return
        if self.info.draining or self._runner_left:
            self.log.warning(
                'start on a draining runner ignored', task=msg.task
            )
            return
        if self._starts_closed:
            self.log.warning(
                'start in an evacuated zone ignored', task=msg.task
            )
            return
        order = runner_lease.StartOrder(msg.number, msg.attempt)
        self.lease.start_orders[msg.task] = order
        self.spawn(self._start(msg, order, self._term))

    async def _start(
        self,
        msg: messages.StartRun,
        order: runner_lease.StartOrder,
        term: int,
    ) -> None:
        assert self.info is not None
        runner_id = self.info.runner_id
        # Whether an earlier try got no answer, so that the runner may still
        # carry it out.
        unanswered = False
        while term == self._term and self._running and not order.withdrawn:
            sent_at = self.now()
            deadline_ms = self.lease.deadline_ms(sent_at)
            if deadline_ms is None or self._starts_closed:
                reason = (
                    'zone is evacuated'
                    if self._starts_closed
                    else 'lease has expired'
                )
                if unanswered:
                    await self._forbid_start(msg, order, term, reason)
                else:
                    self._record_refused_start(msg, order, reason)
                return
            got = await self.runner.start(
                runner_id, msg.token, msg.task, msg.attempt, msg.payload,
                deadline_ms, msg.saved, msg.ticket,
            )  # fmt: skip
            if term != self._term or not self._running:
                return
            if isinstance(got, client.Done):
                order.answered_at = self.now()
                took_ms = (self.now() - sent_at) * 1000.0
                self.ctx.metrics.record_ms('start', took_ms)
                self.log.info('run started', task=msg.task, run=msg.attempt)
                if msg.percent < 100:
                    throttle = messages.ThrottleRun(
                        msg.token, msg.task, msg.attempt, msg.percent
                    )
                    await self._throttle(throttle, term)
                return
            if order.answered_at is not None:
                return
            if isinstance(got, client.Refused):
                if unanswered and not got.forbids:
                    await self._forbid_start(msg, order, term, got.reason)
                else:
                    self._record_refused_start(msg, order, got.reason)
                return
            unanswered = True
            self.log.warning(
                'start unanswered', task=msg.task, run=msg.attempt,
                reason=got.reason,
            )  # fmt: skip
            if not await self._may_repeat(order, term):
                return

    async def _forbid_start(
        self,
        msg: messages.StartRun,
        order: runner_lease.StartOrder,
        term: int,
        reason: str,
    ) -> None:
        """Have the runner reject an unanswered start that it still may get.

        A refusal of a repeat tells nothing of the start before it, which the
        runner may carry out seconds later. Until the runner has accepted a
        stop of the attempt, or lists the run, the start counts as unanswered,
        so that the owner does not start the task elsewhere.
        """
        self.log.warning(
            'unanswered start given up', task=msg.task, run=msg.attempt,
            reason=reason,
        )  # fmt: skip
        assert self.info is not None
        runner_id = self.info.runner_id
        while term == self._term and self._running:
            if order.answered_at is not None:
                return
            got = await self.runner.stop(
                runner_id, msg.token, msg.task, msg.attempt
            )
            if term != self._term or not self._running:
                return
            if isinstance(got, client.Done) or (
                isinstance(got, client.Refused) and got.forbids
            ):
                self._record_refused_start(msg, order, reason)
                return
            await _pause(self.ctx, FORBID_RETRY_S)

    async def _may_repeat(
        self, order: runner_lease.StartOrder, term: int
    ) -> bool:
        """Wait until a new list shows whether a start may be repeated.

        The start may have been carried out, and the run may even have ended.
        A runner that was restarted under the same id meanwhile has forgotten
        that, and would run the task once more.
        """
        await _pause(self.ctx, START_RETRY_S)
        while term == self._term and self._running and not order.withdrawn:
            queried_at = self.now()
            got = await self._query_runs(queried_at, 0)
            if term != self._term or not self._running:
                return False
            if isinstance(got, client.RunList):
                if not self._is_of_incarnation(got):
                    return False
                self._record_listed_starts(got, queried_at)
                return order.answered_at is None
            await _pause(self.ctx, LIST_RETRY_S)
        return False

    def _is_of_incarnation(self, run_list: client.RunList) -> bool:
        """Return whether a list is of the known incarnation of the runner.

        If not, drop the lease; the next heartbeat starts the new incarnation.
        """
        assert self.info is not None
        if not run_list.born_ms or run_list.born_ms == self.info.born_ms:
            return True
        self.log.info(
            'runner restarted, lease dropped', born_ms=run_list.born_ms
        )
        self._drop_lease()
        return False

    def _record_listed_starts(
        self, run_list: client.RunList, queried_at: float
    ) -> None:
        """Record the starts that a list shows, as running or as ended."""
        listed = [(run.task, run.attempt) for run in run_list.running]
        listed += [(end.task, end.attempt) for end in run_list.ended]
        for name, attempt in listed:
            order = self.lease.start_orders.get(name)
            if order is not None and order.attempt == attempt:
                if order.answered_at is None:
                    order.answered_at = queried_at

    def _record_refused_start(
        self,
        msg: messages.StartRun,
        order: runner_lease.StartOrder,
        reason: str,
    ) -> None:
        order.answered_at = self.now()
        self.ctx.metrics.count('start_refused')
        self.log.warning(
            'start refused', task=msg.task, run=msg.attempt, reason=reason
        )

    def _handle_stop_order(self, msg: messages.StopRun) -> None:
        order = self.lease.start_orders.get(msg.task)
        if order is not None and order.attempt == msg.attempt:
            order.withdrawn = True
        self.spawn(self._stop(msg, order, self._term))

    async def _stop(
        self,
        msg: messages.StopRun,
        order: runner_lease.StartOrder | None,
        term: int,
    ) -> None:
        assert self.info is not None
        got = await self.runner.stop(
            self.info.runner_id, msg.token, msg.task, msg.attempt
        )
        if term != self._term or not self._running:
            return
        if isinstance(got, client.Done):
            if order is not None and order.answered_at is None:
                # The runner rejects the start if it arrives later.
                order.answered_at = self.now()
            self.log.info('run stopped', task=msg.task, run=msg.attempt)
        else:
            self.log.warning(
                'stop failed', task=msg.task, run=msg.attempt,
                reason=got.reason,
            )  # fmt: skip

    async def _throttle(self, msg: messages.ThrottleRun, term: int) -> None:
        assert self.info is not None
        for _ in range(THROTTLE_TRIES):
            got = await self.runner.throttle(
                self.info.runner_id, msg.token, msg.task, msg.attempt,
                msg.percent,
            )  # fmt: skip
            if term != self._term or not self._running:
                return
            if not isinstance(got, client.NoAnswer):
                return
        self.log.warning('pace failed', task=msg.task, percent=msg.percent)

    @task.handles(events.Drain)
    def _on_drain(self, msg: events.Drain) -> None:
        """End at once; the next agent takes over the runner as it is."""
        self.send(process.PROCESS_ADDRESS, process.Drained())


async def _pause(ctx: task.Context, delay_s: float) -> None:
    await twisted_task.deferLater(ctx.reactor, delay_s)

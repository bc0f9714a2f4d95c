"""Own the jobs while the newest claim in the log is of this process.

The task passes messages of callers and agents to the controller, appends the
controller's records to the job log and carries out its effects: the immediate
ones at once, the deferred ones once the records before them are durable. It
takes no decision about jobs. The mesh task requests claims and handovers.
"""

import collections
import time
import typing

from kcr_jobs import cold_runners
from kcr_jobs import controller
from kcr_jobs import controller_state
from kcr_jobs import effects
from kcr_jobs import election
from kcr_jobs import messages
from kcr_jobs import records
from kcr_jobs import tickets
from kcr_runtime import store
from kcr_runtime import task
from kcr_runtime.wire import session
from kcr_scheduler import addresses
from kcr_scheduler import events
from kcr_scheduler.work import advice
from kcr_scheduler.work import job_log
from kcr_scheduler.work import operator_rules
from kcr_scheduler.work import ownership
from kcr_scheduler.work import record_limits

# Time between ticks of the controller, in seconds.
TICK_INTERVAL_S = 0.05
# Delay before starts are scheduled, so that one batch has all decisions that
# are due, in seconds.
SCHEDULE_DELAY_S = 0.004
# Time without a durable append before one is made to renew the authority to
# extend leases, in seconds.
RENEW_AFTER_S = 0.5
# Age of an unanswered append at which new jobs are refused, in seconds.
REFUSE_JOBS_AFTER_S = 0.6
# Time between reads of the log by a successor, in seconds. Reading each batch
# as it comes would double the calls to the store.
FOLLOW_INTERVAL_S = 1.0
# Time between reports that the owner has stalled, in seconds.
STALL_REPORT_INTERVAL_S = 0.5


class _Tick:
    pass


class _Schedule:
    pass


class _Follow:
    pass


class Owner(task.Task):
    """Own the controller and the writes to the job log."""

    def __init__(self, ctx: task.Context, address: str) -> None:
        super().__init__(ctx, address)
        # Phase of the ownership, for the dump.
        self.phase = 'idle'
        # Scheduling decisions; none while this process does not own the jobs.
        self.controller: controller.Controller | None = None
        self._store: store.Store = store.STORES.get(ctx.cfg.store)(ctx)
        self._jobs = self._make_job_log()
        # Whether this process reads the log while a peer owns the jobs, and
        # whether a read is under way.
        self._follows = False
        self._following = False
        # Offset of the records in which each snapshot begins, by its number;
        # only of the one under way.
        self._snapshot_offsets: dict[int, int] = {}
        self._adviser: advice.Adviser = advice.ADVISERS.get(ctx.cfg.advice)(
            ctx
        )
        self._ownership = ownership.OWNERSHIP(self)
        self._rules = operator_rules.OperatorRules(
            ctx.cfg.zone_regions,
            cold_runners.Rules(
                overrun=ctx.cfg.cold_overrun, slack=ctx.cfg.cold_slack
            ),
        )
        # Number of claims and ownerships; results of older ones are dropped.
        self._term = 0
        # Records of the controller for the next append, and the effects that
        # wait for them.
        self._deferred: collections.deque[effects.Effect] = collections.deque()
        self._pending_records: list[records.Record] = []
        # Time at which the append in flight was started; none without one.
        self._append_since: float | None = None
        self._stall_reported_at = 0.0
        self._schedule_pending = False
        # Highest epoch whose owner counts as failed, from the last Campaign.
        self._known_epoch = 0

    def started(self) -> None:
        """Start the ticks and read which process has claimed the jobs."""
        self.after(TICK_INTERVAL_S, _Tick())
        self.after(FOLLOW_INTERVAL_S, _Follow())
        self.send(addresses.WATCH, events.ConfigQuery(self.address))
        self.spawn(self._look_up_owner(self._term))

    def _make_job_log(self) -> job_log.JobLog:
        return job_log.JobLog(self.ctx, self._store, self._on_read_progress)

    def _on_read_progress(self, records_read: int) -> None:
        if self.phase == 'claiming':
            self.send(addresses.MESH, events.ClaimProgress(records_read))

    def dump(self) -> dict[str, typing.Any]:
        """Return the phase, the jobs and, as `nodes`, the runners."""
        out = {**super().dump(), 'phase': self.phase, 'end': self._jobs.end}
        ctl = self.controller
        out.update(self._rules.dump(self.now()))
        if ctl is not None:
            out['epoch'] = ctl.epoch
            out['jobs'] = len(ctl.table.jobs)
            out['open_jobs'] = len(ctl.open_jobs)
            out['advice'] = ctl.describe_advice()
            out['rack_waits'] = ctl.planner.locality.explain()
            out['nodes'] = {
                runner.name: {
                    'runs': len(runner.tasks),
                    'open': runner.is_schedulable(),
                    'failure_rate': round(
                        runner.infer_failure_rate(self.now()), 3
                    ),
                    'slow': runner.slow,
                }
                for runner in ctl.runners.values()
            }
        return out

    # Ownership.

    async def _look_up_owner(self, term: int) -> None:
        try:
            claim = await self._jobs.read_published_claim()
        except job_log.Unreachable as exc:
            self.log.info('owner unknown, claim not read', reason=str(exc))
            return
        if claim is not None and term == self._term and self._running:
            was_own = claim.process == self.ctx.cfg.process
            self.send(
                addresses.MESH,
                events.NotOwner(claim.epoch, claim.address, was_own),
            )

    @task.handles(events.ClaimQuery)
    def _on_claim_query(self, msg: events.ClaimQuery) -> None:
        if self.controller is None:
            self.spawn(self._read_claim())

    async def _read_claim(self) -> None:
        """Tell the mesh task which claim was published last."""
        try:
            claim = await self._jobs.read_published_claim()
        except job_log.Unreachable as exc:
            self.log.info('claim not read', reason=str(exc))
            return
        if claim is not None and self._running:
            event = events.PublishedClaim(claim.epoch, claim.address)
            self.send(addresses.MESH, event)

    @task.handles(events.Follow)
    def _on_follow_changed(self, event: events.Follow) -> None:
        self._follows = event.follows
        self.log.info('successor changed', follows=event.follows)

    @task.handles(_Follow)
    def _on_follow(self, msg: _Follow) -> None:
        self.after(FOLLOW_INTERVAL_S, _Follow())
        if self._follows and not self._following and self.phase == 'idle':
            self._following = True
            self.spawn(self._follow())

    async def _follow(self) -> None:
        """Read what the owner has written, to be ready to replace it."""
        try:
            await self._jobs.catch_up()
        except job_log.Unreachable as exc:
            self.log.debug('job log not followed', reason=str(exc))
            self.ctx.metrics.count('follow_failed')
        finally:
            self._following = False

    @task.handles(events.Campaign)
    def _on_campaign(self, event: events.Campaign) -> None:
        self._known_epoch = event.epoch
        self._ownership.campaign()

    def begin_claim(self) -> None:
        """Read the log to its end and claim it there."""
        self._term += 1
        self.log.info(
            'claiming', known_epoch=self._known_epoch, read=self._jobs.end
        )
        self.send(addresses.MESH, events.ClaimProgress(0))
        self.spawn(self._claim(self._term))

    async def _claim(self, term: int) -> None:
        jobs = self._jobs
        try:
            await jobs.catch_up()
            if jobs.table.epoch > self._known_epoch:
                raise job_log.Deposed('another process has claimed the jobs')
            rec = records.Claim(
                jobs.table.epoch + 1, self.ctx.cfg.process,
                self.ctx.incarnation, self.ctx.cfg.address,
            )  # fmt: skip
            await jobs.append([rec])
            jobs.table.apply(rec)
        except (
            job_log.Deposed, job_log.Invalid, job_log.Unreachable,
        ) as exc:  # fmt: skip
            if term == self._term and self._running:
                await self._read_newest_claim(jobs, str(exc))
                self._ownership.ended()
            return
        if term == self._term and self._running:
            self._ownership.claimed()
            await jobs.publish_claim(rec)

    async def _read_newest_claim(
        self, jobs: job_log.JobLog, reason: str
    ) -> None:
        """Read the log to its end, to find the claim of another process."""
        try:
            await jobs.catch_up()
        except job_log.Unreachable as exc:
            reason = str(exc)
        # What was read is kept for the next claim.
        self.log.info(
            'claim failed', reason=reason, read=jobs.end,
            epoch=jobs.table.epoch,
        )  # fmt: skip

    def begin_ownership(self) -> None:
        """Take over the jobs and the runners."""
        epoch = self._jobs.table.epoch
        self.controller = controller.Controller(
            self._jobs.table, epoch, self.ctx.cfg.lease_s, self.now(),
            self._jobs.size, self.ctx.cfg.remote_factor,
            self._make_overload(), self.ctx.cfg.keep_s,
        )  # fmt: skip
        self._rules.apply(self.controller)
        self.log.info(
            'leading',
            epoch=epoch,
            jobs=len(self._jobs.table.jobs),
            open_jobs=len(self.controller.open_jobs),
            end=self._jobs.end,
            log=self._jobs.size,
        )
        self.ctx.metrics.count('ownership_gained')
        self.send(addresses.MESH, events.OwnershipGained(epoch))

    def _make_overload(self) -> controller_state.Overload:
        enabled: bool = self.ctx.cfg.overload
        return controller_state.Overload(
            enabled,
            enabled,
            enabled and self.ctx.cfg.preempt,
            self.ctx.cfg.move_stragglers,
        )

    def end_ownership(self) -> None:
        """Drop the controller, whose state may be ahead of the log."""
        self._term += 1
        claim = self._jobs.table.claim
        ctl, self.controller = self.controller, None
        epoch = claim.epoch if claim else 0
        owner = claim.address if claim else ''
        if ctl is not None:
            self.log.warning('ownership lost', epoch=ctl.epoch)
            self.ctx.metrics.count('ownership_lost')
            # An append in flight belongs to the log of this ownership; its
            # late answer must not move the end of the next one.
            self._jobs.close()
            self._jobs = self._make_job_log()
            for runner in ctl.runners.values():
                if runner.session:
                    not_owner = messages.OwnerReply(0, '')
                    self.send(runner.session, session.Send(not_owner))
            owner = ''
        self._pending_records, self._append_since = [], None
        self._deferred.clear()
        self._snapshot_offsets.clear()
        self.send(addresses.MESH, events.NotOwner(epoch, owner))

    @task.handles(events.ConfigInForce)
    def _on_config(self, event: events.ConfigInForce) -> None:
        self._rules.set_config(event.config, self.controller)
        if self.controller is not None:
            self._schedule_soon()

    @task.handles(events.EvacuationInForce)
    def _on_evacuation(self, event: events.EvacuationInForce) -> None:
        ctl = self.controller
        newer = self._rules.set_evacuation(event, ctl, self.now())
        if newer and ctl is not None:
            self._schedule_soon()
            self._flush()

    @task.handles(events.StepDown)
    def _on_step_down(self, event: events.StepDown) -> None:
        if self.controller is not None:
            self._ownership.ended()

    # Inputs of the controller.

    @task.handles(events.LocalCall)
    def _on_local_call(self, event: events.LocalCall) -> None:
        self._call('', event.msg)

    @task.handles(session.Received)
    def _on_received(self, event: session.Received) -> None:
        msg = event.msg
        if isinstance(msg, messages.JobCall):
            self._call(event.session, msg)
        elif self.controller is None:
            not_owner = messages.OwnerReply(0, '')
            self.send(event.session, session.Send(not_owner))
        elif isinstance(msg, messages.Attach):
            self.controller.attach(
                msg.node, event.session, msg.info, self.now()
            )
            self._flush()
        elif isinstance(msg, messages.RunnerReport):
            self.controller.report(
                event.session, msg, self.now(), self._lease_ms()
            )
            self._schedule_soon()
            self._flush()

    def _call(self, route: str, msg: messages.JobCall) -> None:
        ctl = self.controller
        ref = (route, msg.token)
        if ctl is None:
            self._reply(effects.Reply(ref, 'not_owner'))
            return
        if msg.verb == 'submit' and msg.spec is not None:
            self._submit(ctl, ref, msg)
        elif msg.verb == 'cancel':
            # The route may not have reached the scheduler of the caller.
            routed = self._rules.has_route(msg.base_url)
            base_url = '' if routed else msg.base_url
            ctl.cancel(ref, msg.job_id, self.now(), base_url)
        elif msg.verb == 'state':
            ctl.report_state(ref, msg.job_id)
        elif msg.verb == 'pending':
            ctl.count_pending(ref, msg.queue)
        else:
            self._reply(effects.Reply(ref, 'refused', 'unknown verb'))
        self._flush()

    def _submit(
        self,
        ctl: controller.Controller,
        ref: typing.Any,
        msg: messages.JobCall,
    ) -> None:
        assert msg.spec is not None
        size = record_limits.find_excess(
            msg.spec, self.ctx.cfg.max_record_bytes
        )
        if size and msg.spec.job_id not in ctl.table.jobs:
            ctl.refuse(
                ref, msg.spec.job_id, 'job is too large for the store',
                size=size,
            )  # fmt: skip
            return
        since = self._append_since
        if since is not None and self.now() - since >= REFUSE_JOBS_AFTER_S:
            if msg.spec.job_id not in ctl.table.jobs:
                ctl.refuse(ref, msg.spec.job_id, 'store does not answer')
                return
        ctl.submit(ref, msg.spec, self.now(), self._wall_ms())
        self._schedule_soon()

    def _wall_ms(self) -> float:
        return time.time() * 1000.0

    def _lease_ms(self) -> int:
        """Return how long a lease may last, by the age of the authority.

        The result is in milliseconds; it is not positive once the authority
        is older than the longest lease.
        """
        age_s = self.now() - self._jobs.authority_renewed_at
        return int(1000 * (self.ctx.cfg.lease_s - age_s))

    @task.handles(session.Opened)
    def _on_opened(self, event: session.Opened) -> None:
        """Ignore it; the agent sends a request for a lease."""

    @task.handles(session.Closed)
    def _on_closed(self, event: session.Closed) -> None:
        if self.controller is not None:
            self.controller.detach(event.session)
            self._flush()

    @task.handles(session.DialFailed)
    def _on_dial_failed(self, event: session.DialFailed) -> None:
        """Ignore it; the mesh handles the connections to peers."""

    @task.handles(session.SendRefused)
    def _on_send_refused(self, event: session.SendRefused) -> None:
        """Close the session of an agent that reads too slowly."""
        if isinstance(event.msg, messages.StartRun):
            self.send(event.session, session.Close('orders were refused'))

    @task.handles(_Tick)
    def _on_tick(self, msg: _Tick) -> None:
        self.after(TICK_INTERVAL_S, _Tick())
        ctl = self.controller
        if ctl is None:
            return
        now = self.now()
        since = self._append_since
        ctl.tick(now, self._wall_ms())
        idle = (
            since is None
            and not ctl.pending_records
            and not self._pending_records
        )
        if idle and now - self._jobs.authority_renewed_at >= RENEW_AFTER_S:
            ctl.pending_records.append(records.Renewed())
        if since is not None and now - since >= election.STALL_TIMEOUT_S:
            if now - self._stall_reported_at >= STALL_REPORT_INTERVAL_S:
                self._stall_reported_at = now
                self.log.warning('store stalls', since_s=round(now - since, 3))
                self.send(addresses.MESH, events.OwnerStalled(ctl.epoch))
        self._flush()

    def _schedule_soon(self) -> None:
        if not self._schedule_pending:
            self._schedule_pending = True
            self.after(SCHEDULE_DELAY_S, _Schedule())

    @task.handles(_Schedule)
    def _on_schedule(self, msg: _Schedule) -> None:
        self._schedule_pending = False
        if self.controller is not None and self._append_since is None:
            self.controller.schedule(self.now())
            self._flush()

    # Effects.

    def _flush(self) -> None:
        ctl = self.controller
        if ctl is None:
            return
        for log_event in ctl.log_events:
            self.log.info(log_event.event, **log_event.fields)
            self.ctx.metrics.count('decision', kind=log_event.event)
        for metric, effect_name in ctl.counts:
            self.ctx.metrics.count(metric, effect=effect_name)
        ctl.counts.clear()
        for effect_name, n in ctl.planner.locality.take_counts().items():
            self.ctx.metrics.count('rack_wait', n, effect=effect_name)
        immediate, ctl.immediate, ctl.log_events = ctl.immediate, [], []
        for effect in immediate:
            self._carry_out(effect)
        self._pending_records += ctl.pending_records
        self._deferred.extend(ctl.deferred)
        ctl.pending_records, ctl.deferred = [], []
        if self._append_since is None:
            self._write()

    def _write(self) -> None:
        """Append the pending records; without any, carry out the effects."""
        if not self._pending_records:
            while self._deferred:
                self._carry_out(self._deferred.popleft())
            return
        batch, self._pending_records = self._pending_records, []
        deferred, self._deferred = self._deferred, collections.deque()
        self._append_since = self.now()
        self.spawn(self._append(batch, deferred, self._term))

    async def _append(
        self,
        batch: list[records.Record],
        deferred: collections.deque[effects.Effect],
        term: int,
    ) -> None:
        jobs = self._jobs
        size = jobs.size
        try:
            start = await jobs.append(batch)
        except (job_log.Deposed, job_log.Invalid) as exc:
            if term == self._term and self._running:
                # After invalid records, the next owner starts from what the
                # log contains, without the decisions in them.
                deposed = isinstance(exc, job_log.Deposed)
                event = 'deposed' if deposed else 'ownership given up'
                self.log.warning(event, reason=str(exc))
                self._ownership.ended()
            return
        if term != self._term or not self._running:
            return
        self._append_since = None
        if self.controller is not None:
            self.controller.snapshots.record_growth(
                jobs.size - size,
                any(isinstance(rec, records.SnapshotEnded) for rec in batch),
            )
        for rec in batch:
            if isinstance(rec, records.SnapshotBegun):
                self._snapshot_offsets = {rec.number: start}
        for effect in deferred:
            self._carry_out(effect)
        self._schedule_soon()
        self._flush()

    def _carry_out(self, effect: effects.Effect) -> None:
        ctl = self.controller
        if isinstance(effect, effects.Reply):
            self._reply(effect)
        elif ctl is None:
            return
        elif isinstance(effect, effects.RequestAdvice):
            self.spawn(self._request_advice(effect, self._term))
        elif isinstance(effect, effects.FinalizeJob):
            ctl.finalize(effect.job_id, self.now())
        elif isinstance(effect, effects.TrimLog):
            before = self._snapshot_offsets.pop(effect.number)
            self.spawn(self._jobs.trim(before))
        elif isinstance(effect, effects.ConfirmEnds):
            ctl.confirm_ends(
                effect.instance, effect.token, effect.number, self._lease_ms()
            )
        else:
            route = ctl.find_session(effect, self.now())
            if route:
                self.send(route, session.Send(effect.msg))

    async def _request_advice(
        self, request: effects.RequestAdvice, term: int
    ) -> None:
        runner_ids = tuple(runner_id for runner_id, _ in request.runners)
        got = await self._adviser.advise(
            request.step, runner_ids, request.timeout_s
        )
        ctl = self.controller
        if term != self._term or not self._running or ctl is None:
            return
        if isinstance(got, advice.Granted):
            reply = tickets.Reply(got.tickets, got.valid_s)
        else:
            overloaded = isinstance(got, advice.Unavailable)
            reply = tickets.Reply(overloaded=overloaded)
            self.log.warning(
                'advice failed', step=request.step, reason=got.reason,
                overloaded=overloaded,
            )  # fmt: skip
        ctl.record_advice(request, reply, self.now())
        self._schedule_soon()
        self._flush()

    def _reply(self, effect: effects.Reply) -> None:
        route, token = effect.ref
        reply = messages.JobReply(
            token, effect.outcome, effect.detail, effect.number
        )
        if route:
            self.send(route, session.Send(reply))
        else:
            self.send(addresses.CALLS, reply)

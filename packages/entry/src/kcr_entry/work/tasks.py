"""Run the task that owns the ledger of the region's durable tasks.

It gets the submissions of callers, the reports of sidecars, the changes of
endpoints and the fences that are due, and scans the tasks periodically. What
is to change becomes a record of the log; the ledger changes only when the
record was read back. Then assignments and stops go to the sidecars, replies
to the callers, and a view of the fences to membership and the peers.
"""

import dataclasses
import time
import typing

from kcr_core import append_queue
from kcr_core import fencing
from kcr_core import homes
from kcr_core import ledger
from kcr_core import messages
from kcr_core import outcomes
from kcr_core import placement
from kcr_core import ranking
from kcr_core import records
from kcr_core import restating
from kcr_core import task_dispatch
from kcr_core import task_moves
from kcr_core import types
from kcr_entry import addresses
from kcr_entry import events
from kcr_entry.work import offers
from kcr_entry.work import reports
from kcr_entry.work import submissions
from kcr_runtime import query
from kcr_runtime import task
from kcr_runtime.wire import session

# Time for which items are collected into one append, in seconds.
COLLECT_DELAY_S = 0.01
# Interval between scans of the parked and lost tasks, in seconds.
SCAN_INTERVAL_S = 0.25
# Interval while more tasks are parked than `MANY_PARKED`, because each scan
# sorts them. Urgent tasks still have to start within 2.6 s.
LONG_SCAN_INTERVAL_S = 1.0
MANY_PARKED = 5000
# Interval between scans for tasks and fences to restate, in seconds. Their
# records are appended again before the log trims them.
RESTATE_INTERVAL_S = 5.0
# Interval between batches of commands to the sidecars, in seconds.
DISPATCH_INTERVAL_S = 0.05
# Time after which the outcome of an unanswered append is unknown, in seconds.
APPEND_TIMEOUT_S = 30.0


class _Collect:
    pass


class _Scan:
    pass


class _Restate:
    pass


class _Dispatch:
    pass


class Tasks(task.Task):
    """Own the ledger and everything that is appended to its stream."""

    def __init__(self, ctx: task.Context, address: str) -> None:
        super().__init__(ctx, address)
        # Settings of the document in force.
        self.settings = types.ControlSettings()
        # Quotas of the document in force, by team.
        self.quotas: dict[str, types.Demand] = {}
        # Stream of the task records of the region.
        self.stream = records.tasks_stream(ctx.cfg.region)
        # The ledger of the region.
        self.state = ledger.Ledger()
        # Instances that can be homes.
        self.home_table = homes.HomeTable(self.state, ctx.rng)
        # Decides when this entry is due to move a task; rank 0 is due at once.
        self.ranking = ranking.Ranking(ctx.incarnation)
        # Chooses the records of tasks that need another home.
        self.mover = task_moves.TaskMover(
            self.state, self.home_table, self.ranking
        )
        # Assignments and stops for the sidecars.
        self.dispatcher = task_dispatch.TaskDispatcher(self.state)
        # Items to append to the log.
        self.queue = append_queue.AppendQueue()
        # Processes the reports of sidecars.
        self.reports = reports.Reports(self)
        # Processes the queries of callers.
        self.submissions = submissions.Submissions(self)
        # Whether the stream was read to its end since the last gap.
        self.caught_up = False
        # Monotonic time at which the last read that reached the end of the
        # stream was requested.
        self.requested_at: float | None = None
        # Monotonic time of the start.
        self.started_at = self.now()
        # Offset of the last record that was applied.
        self._position = 0
        self._append_count = 0
        self._endpoints: dict[str, events.EndpointChanged] = {}
        self._collect_scheduled = False
        self._dispatch_scheduled = False

    def started(self) -> None:
        """Start the timers and request a replay of the stream."""
        self.after(SCAN_INTERVAL_S, _Scan())
        self.after(RESTATE_INTERVAL_S, _Restate())
        self.send(addresses.READERS['tasks'], events.LogReplay())

    def dump(self) -> dict[str, typing.Any]:
        """Return the sizes of the tables and the age of the ledger."""
        age = (
            None
            if self.requested_at is None
            else self.now() - self.requested_at
        )
        return {
            **super().dump(),
            'live': len(self.state.live),
            'parked': len(self.state.parked),
            'ended': len(self.state.ended),
            'fences': [list(name) for name in list(self.state.fences)[-20:]],
            'records': dict(self.state.counts),
            'invariants_checked': self.state.check_count,
            'caught_up': self.caught_up,
            'log_age_s': None if age is None else round(age, 3),
            'appends_under_way': len(self.queue.under_way),
            'items_waiting': len(self.queue.waiting),
            'workers': self.home_table.health.dump(),
            **self.submissions.dump(),
        }

    def is_fresh(self) -> bool:
        """Return whether the ledger is recent enough for new records."""
        return (
            self.caught_up
            and self.requested_at is not None
            and self.now() - self.requested_at <= self.settings.isolation_s
        )

    def make_scan_context(self) -> task_moves.ScanContext:
        """Return the inputs of a scan of the tasks."""
        policy = placement.POLICIES.get(self.settings.placement_policy)
        return task_moves.ScanContext(policy, self.queue.busy_keys, self.now())

    def append(self, key: str, item: typing.Any, urgent: bool = False) -> bool:
        """Queue an item for the log; return False if it is not accepted."""
        if not self.queue.put(key, item, urgent):
            self.ctx.metrics.count('task_item_refused')
            return False
        if not self._collect_scheduled:
            self._collect_scheduled = True
            self.after(COLLECT_DELAY_S, _Collect())
        return True

    @task.handles(events.SettingsInForce)
    def _on_settings(self, event: events.SettingsInForce) -> None:
        self.quotas = dict(event.quotas)
        self.home_table.set_size_factor(event.settings.unknown_size_factor)
        for target in (addresses.FENCES, addresses.PEERS):
            self.send(target, event)
        requested = event.settings.placement_policy
        if requested not in placement.POLICIES.names():
            previous = self.settings.placement_policy
            self.log.error(
                'placement policy unknown; keeping the previous one',
                name=requested,
            )
            self.settings = dataclasses.replace(
                event.settings, placement_policy=previous
            )
            return
        self.settings = event.settings

    @task.handles(events.PeersChanged)
    def _on_peers(self, event: events.PeersChanged) -> None:
        self.ranking.others = tuple(name for name, _ in event.sessions)

    @task.handles(events.LogGap)
    def _on_gap(self, event: events.LogGap) -> None:
        if event.stream != self.stream:
            return
        self.log.warning(
            'task records trimmed before they were read', first=event.first
        )
        self._reset(event.first - 1)

    def _reset(self, position: int) -> None:
        """Clear the ledger; the next read must begin after `position`."""
        self.state.reset()
        self.home_table.reset()
        self.dispatcher.queues.clear()
        self.caught_up = False
        self.requested_at = None
        self._position = position

    @task.handles(events.LogRead)
    def _on_read(self, event: events.LogRead) -> None:
        if event.stream != self.stream:
            return
        if event.after == 0 and self._position:
            self._reset(0)
        if event.after != self._position:
            # The read precedes the replay that this task requested.
            self.ctx.metrics.count('task_read_skipped')
            return
        self._position = event.position
        now, now_ms = self.now(), int(time.time() * 1000)
        for read in event.items:
            change = self.state.apply(read.item, now, now_ms)
            self.ctx.metrics.count('task_record', effect=change.effect)
            self._apply_change(change, read.item)
        if not event.caught_up:
            return
        self.requested_at = event.requested_at
        if not self.caught_up:
            self.caught_up = True
            self.log.info('task stream read', live=len(self.state.live))
            for endpoint in self._endpoints.values():
                self._connect(endpoint)
        self._publish_view()

    def _apply_change(self, change: ledger.Change, item: typing.Any) -> None:
        if change.effect == 'fenced':
            self.mover.instances_to_scan.add(item.instance)
        self.home_table.apply_change(change)
        self.mover.apply_change(change)
        if self.caught_up:
            self.home_table.record_result(change, self.now())
            self.dispatcher.apply_change(change)
            self.schedule_dispatch()
        self.reports.apply_change(change)
        self.submissions.apply_change(change)

    def _publish_view(self) -> None:
        assert self.requested_at is not None, (
            'view published before a read reached the end'
        )
        fenced = set(self.state.fences)
        instances = frozenset(instance for instance, _ in fenced)
        cleared = set()
        for instance in instances:
            endpoint = self._endpoints.get(instance)
            # The state has no tasks until the sidecar read the worker's list.
            if endpoint is None or not offers.is_worker_list_read(endpoint):
                continue
            running = offers.list_running(endpoint)
            if fencing.is_fenced(endpoint.name, running, self.state):
                fenced.add(endpoint.name)
            else:
                cleared.add(endpoint.name)
        view = events.LedgerView(
            self.requested_at, frozenset(fenced), instances, frozenset(cleared)
        )
        self.send(addresses.MEMBERSHIP, view)
        self.send(addresses.PEERS, view)

    @task.handles(events.EndpointChanged)
    def _on_endpoint(self, event: events.EndpointChanged) -> None:
        instance = event.place.instance
        previous = self._endpoints.get(instance)
        if event.state is None:
            return
        self._endpoints[instance] = event
        self.home_table.update_offer(offers.make_home_offer(event))
        if event.phase == 'gone':
            self.dispatcher.disconnect(instance, event.session)
        elif self.caught_up and offers.is_new_session(previous, event):
            self._connect(event)
        elif self.caught_up and offers.is_new_state(previous, event):
            self.reports.record_running(offers.list_running(event))

    @task.handles(events.EndpointRemoved)
    def _on_removed(self, event: events.EndpointRemoved) -> None:
        self._endpoints.pop(event.instance, None)
        self.home_table.forget(event.instance)

    def _connect(self, event: events.EndpointChanged) -> None:
        if event.phase == 'gone':
            return
        self.mover.instances_to_scan.add(event.place.instance)
        running = offers.list_running(event)
        self.reports.record_running(running)
        self.dispatcher.connect(
            event.place.instance,
            event.incarnation,
            event.session,
            running,
        )
        self.schedule_dispatch()

    def schedule_dispatch(self) -> None:
        """Schedule a batch of commands to the sidecars."""
        if not self._dispatch_scheduled:
            self._dispatch_scheduled = True
            self.after(DISPATCH_INTERVAL_S, _Dispatch())

    @task.handles(_Dispatch)
    def _on_dispatch(self, msg: _Dispatch) -> None:
        self._dispatch_scheduled = False
        commands = self.dispatcher.take_commands()
        for address, command in commands:
            if not self.send(address, session.Send(command)):
                self.ctx.metrics.count('order_not_sent')
            self.ctx.metrics.count('order', kind=type(command).__name__)
        if commands:
            self.schedule_dispatch()

    @task.handles(session.SendRefused)
    def _on_send_refused(self, event: session.SendRefused) -> None:
        if isinstance(event.msg, messages.Assign | messages.StopTask):
            self.dispatcher.requeue(event.session, event.msg)
            self.schedule_dispatch()

    @task.handles(session.Opened)
    @task.handles(session.Closed)
    def _on_session(self, event: session.Opened | session.Closed) -> None:
        """Ignore it; membership reports the change of the endpoint."""

    @task.handles(session.Received)
    def _on_received(self, event: session.Received) -> None:
        self.reports.handle_report(event)

    @task.handles(query.Query)
    def _on_query(self, caller_query: query.Query) -> None:
        self.submissions.handle_query(caller_query)

    @task.handles(submissions.ReplyTimeout)
    def _on_reply_timeout(self, event: submissions.ReplyTimeout) -> None:
        self.submissions.expire(event)

    @task.handles(events.FenceDue)
    def _on_fence_due(self, event: events.FenceDue) -> None:
        item = event.item
        name = (item.instance, item.incarnation)
        if not self.is_fresh():
            return
        if self.append('/'.join(name), item, urgent=True):
            self.log.warning(
                'endpoint is fenced', instance=name[0], wait_s=item.wait_s
            )

    @task.handles(_Collect)
    def _on_collect(self, msg: _Collect) -> None:
        self._collect_scheduled = False
        while True:
            self._append_count += 1
            token = f'{self.ctx.incarnation}:{self._append_count}'
            batch = self.queue.take(token)
            if not batch:
                return
            self.ctx.metrics.count('task_append')
            items = tuple(queued.item for queued in batch)
            req = events.Append(token, self.address, self.stream, items)
            unknown = outcomes.AppendUnknown('the log gave no answer')
            self.after(APPEND_TIMEOUT_S, events.AppendEnded(token, unknown))
            if not self.send(addresses.APPENDER, req):
                reason = 'the log client does not run'
                refused = outcomes.NotAppended(reason)
                self.post(events.AppendEnded(token, refused))

    @task.handles(events.AppendEnded)
    def _on_append_ended(self, event: events.AppendEnded) -> None:
        for queued in self.queue.finish(event.token):
            self.submissions.append_ended(queued, event.outcome)
        if self.queue.waiting and not self._collect_scheduled:
            self._collect_scheduled = True
            self.after(COLLECT_DELAY_S, _Collect())

    @task.handles(_Scan)
    def _on_scan(self, msg: _Scan) -> None:
        many = len(self.state.parked) > MANY_PARKED
        self.after(LONG_SCAN_INTERVAL_S if many else SCAN_INTERVAL_S, _Scan())
        current_homes = frozenset(self.state.count_by_home)
        waits = {
            name: fence.record.wait_s
            for name, fence in self.state.fences.items()
        }
        fresh = self.is_fresh()
        view = events.HomesChanged(current_homes, waits, fresh)
        self.send(addresses.FENCES, view)
        if not fresh:
            return
        scan = self.make_scan_context()
        for queued in self.mover.choose_lost(scan):
            self._append_move(queued)
        for queued in self.mover.choose_parked(scan):
            self._append_move(queued)

    def _append_move(self, queued: append_queue.QueuedItem) -> None:
        if not self.append(queued.key, queued.item):
            self.home_table.release(queued.key)

    @task.handles(_Restate)
    def _on_restate(self, msg: _Restate) -> None:
        self.after(RESTATE_INTERVAL_S, _Restate())
        if not self.is_fresh():
            return
        schedule = restating.RewriteSchedule(
            self.ctx.incarnation,
            self.ranking.others,
            self.ctx.cfg.log_retention_s,
            int(time.time() * 1000),
        )
        items = restating.choose_restated(
            self.state, schedule, append_queue.MAX_BATCH_ITEMS
        )
        for item in items:
            self.append(f'again/{offers.infer_key(item)}', item)

"""Own the ledger of the region's tasks: read, append, assign, answer.

Callers' submissions, reports of sidecars and decisions of the core become
records; only what was read back from the log changes the state.
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

# Time in which items for the log are collected, in seconds.
COLLECT_S = 0.01
# Time between two looks at parked and lost tasks, in seconds.
LOOK_S = 0.25
# The same while more tasks are parked than this: they are sorted each time,
# and urgent work may still start within 2.6 s.
LONG_LOOK_S = 1.0
MANY_PARKED = 5000
# Time between two looks for records to write again, in seconds.
RESTATE_S = 5.0
# Time between two batches of orders to the sidecars, in seconds.
ORDER_S = 0.05
# Time after which an append without an answer is unknown, in seconds.
APPEND_LIMIT_S = 30.0


class _Collect:
    pass


class _Look:
    pass


class _Restate:
    pass


class _Order:
    pass


class Tasks(task.Task):
    """Own the ledger and everything that is appended to its stream."""

    def __init__(self, ctx: task.Context, address: str) -> None:
        super().__init__(ctx, address)
        # Settings of the document in force.
        self.settings = types.ControlSettings()
        # Quotas of the document in force, by team.
        self.quotas: dict[str, types.Demand] = {}
        # Stream of the region.
        self.stream = records.tasks_stream(ctx.cfg.region)
        # The live tasks.
        self.state = ledger.Ledger()
        # Instances that can be homes.
        self.places = homes.HomeTable(self.state, ctx.rng)
        # Which entry goes first.
        self.turns = ranking.Ranking(ctx.incarnation)
        # Finds the tasks that need another home.
        self.mover = task_moves.TaskMover(self.state, self.places, self.turns)
        # Orders to the sidecars.
        self.orders = task_dispatch.Dispatcher(self.state)
        # Items for the log.
        self.queue = append_queue.AppendQueue()
        # Reports of sidecars.
        self.reports = reports.Reports(self)
        # Questions of callers that wait for a record.
        self.asked = submissions.Submissions(self)
        # Whether the stream was read to its end since the last gap.
        self.caught_up = False
        # Monotonic time at which the last caught-up read was sent.
        self.requested_at: float | None = None
        # Monotonic time of the start.
        self.began_at = self.now()
        # Offset of the last record that was applied.
        self._position = 0
        self._tokens = 0
        self._seen: dict[str, events.EndpointChanged] = {}
        self._collecting = False
        self._ordering = False

    def started(self) -> None:
        """Start the timers."""
        self.after(LOOK_S, _Look())
        self.after(RESTATE_S, _Restate())
        self.send(addresses.READERS['tasks'], events.LogReplay())

    def dump(self) -> dict[str, typing.Any]:
        """Return the sizes of the tables and the age of the view."""
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
            'workers': self.places.health.dump(),
            **self.asked.dump(),
        }

    def is_fresh(self) -> bool:
        """Tell whether the view of the stream allows new records."""
        return (
            self.caught_up
            and self.requested_at is not None
            and self.now() - self.requested_at <= self.settings.isolation_s
        )

    def look(self) -> task_moves.ScanContext:
        """Return what a look at the tasks needs."""
        policy = placement.POLICIES.get(self.settings.placement_policy)
        return task_moves.ScanContext(policy, self.queue.busy_keys, self.now())

    def append(self, key: str, item: typing.Any, urgent: bool = False) -> bool:
        """Queue an item for the log; False if it cannot be taken now."""
        if not self.queue.put(key, item, urgent):
            self.ctx.metrics.count('task_item_refused')
            return False
        if not self._collecting:
            self._collecting = True
            self.after(COLLECT_S, _Collect())
        return True

    @task.handles(events.SettingsInForce)
    def _on_settings(self, event: events.SettingsInForce) -> None:
        self.quotas = dict(event.quotas)
        self.places.set_size_factor(event.settings.unknown_size_factor)
        for target in (addresses.FENCES, addresses.PEERS):
            self.send(target, event)
        wanted = event.settings.placement_policy
        if wanted not in placement.POLICIES.names():
            held = self.settings.placement_policy
            self.log.error('placement policy not known', name=wanted)
            self.settings = dataclasses.replace(
                event.settings, placement_policy=held
            )
            return
        self.settings = event.settings

    @task.handles(events.PeersChanged)
    def _on_peers(self, event: events.PeersChanged) -> None:
        self.turns.others = tuple(name for name, _ in event.sessions)

    @task.handles(events.LogGap)
    def _on_gap(self, event: events.LogGap) -> None:
        if event.stream != self.stream:
            return
        self.log.warning('task records were trimmed', first=event.first)
        self._restart(event.first - 1)

    def _restart(self, position: int) -> None:
        """Drop the live tasks and take the stream from a position."""
        self.state.reset()
        self.places.reset()
        self.orders.queues.clear()
        self.caught_up = False
        self.requested_at = None
        self._position = position

    @task.handles(events.LogRead)
    def _on_read(self, event: events.LogRead) -> None:
        if event.stream != self.stream:
            return
        if event.after == 0 and self._position:
            self._restart(0)
        if event.after != self._position:
            # Read before this task was started; the replay follows.
            self.ctx.metrics.count('task_read_skipped')
            return
        self._position = event.position
        now, now_ms = self.now(), int(time.time() * 1000)
        for held in event.items:
            change = self.state.apply(held.item, now, now_ms)
            self.ctx.metrics.count('task_record', effect=change.effect)
            self._follow(change, held.item)
        if not event.caught_up:
            return
        self.requested_at = event.requested_at
        if not self.caught_up:
            self.caught_up = True
            self.log.info('task stream read', live=len(self.state.live))
            for seen in self._seen.values():
                self._connect(seen)
        self._publish()

    def _follow(self, change: ledger.Change, item: typing.Any) -> None:
        if change.effect == 'fenced':
            self.mover.instances_to_scan.add(item.instance)
        self.places.apply_change(change)
        self.mover.apply_change(change)
        if self.caught_up:
            self.places.record_result(change, self.now())
            self.orders.apply_change(change)
            self.start_orders()
        self.reports.follow(change)
        self.asked.follow(change)

    def _publish(self) -> None:
        assert self.requested_at is not None, 'view without a read'
        fenced = set(self.state.fences)
        instances = frozenset(instance for instance, _ in fenced)
        cleared = set()
        for instance in instances:
            seen = self._seen.get(instance)
            # A state before the worker's list was read tells of no task.
            if seen is None or not offers.is_rebuilt(seen):
                continue
            running = offers.list_running(seen)
            if fencing.is_fenced(seen.name, running, self.state):
                fenced.add(seen.name)
            else:
                cleared.add(seen.name)
        view = events.LedgerView(
            self.requested_at, frozenset(fenced), instances, frozenset(cleared)
        )
        self.send(addresses.MEMBERSHIP, view)
        self.send(addresses.PEERS, view)

    @task.handles(events.EndpointChanged)
    def _on_endpoint(self, event: events.EndpointChanged) -> None:
        instance = event.place.instance
        held = self._seen.get(instance)
        if event.state is None:
            return
        self._seen[instance] = event
        self.places.update_offer(offers.make_offer(event))
        if event.phase == 'gone':
            self.orders.disconnect(instance, event.session)
        elif self.caught_up and offers.is_new_session(held, event):
            self._connect(event)
        elif self.caught_up and offers.is_new_state(held, event):
            self.reports.note_running(offers.list_running(event))

    @task.handles(events.EndpointRemoved)
    def _on_forgotten(self, event: events.EndpointRemoved) -> None:
        self._seen.pop(event.instance, None)
        self.places.forget(event.instance)

    def _connect(self, event: events.EndpointChanged) -> None:
        if event.phase == 'gone':
            return
        self.mover.instances_to_scan.add(event.place.instance)
        running = offers.list_running(event)
        self.reports.note_running(running)
        self.orders.connect(
            event.place.instance,
            event.incarnation,
            event.session,
            running,
        )
        self.start_orders()

    def start_orders(self) -> None:
        """Send the queued orders soon."""
        if not self._ordering:
            self._ordering = True
            self.after(ORDER_S, _Order())

    @task.handles(_Order)
    def _on_order(self, msg: _Order) -> None:
        self._ordering = False
        orders = self.orders.take_commands()
        for name, order in orders:
            if not self.send(name, session.Send(order)):
                self.ctx.metrics.count('order_not_sent')
            self.ctx.metrics.count('order', kind=type(order).__name__)
        if orders:
            self.start_orders()

    @task.handles(session.SendRefused)
    def _on_send_refused(self, event: session.SendRefused) -> None:
        if isinstance(event.msg, messages.Assign | messages.StopTask):
            self.orders.requeue(event.session, event.msg)
            self.start_orders()

    @task.handles(session.Opened)
    @task.handles(session.Closed)
    def _on_session(self, event: session.Opened | session.Closed) -> None:
        """Ignore it; membership reports what changed."""

    @task.handles(session.Received)
    def _on_received(self, event: session.Received) -> None:
        self.reports.report(event)

    @task.handles(query.Query)
    def _on_ask(self, question: query.Query) -> None:
        self.asked.handle_question(question)

    @task.handles(submissions.Limit)
    def _on_limit(self, event: submissions.Limit) -> None:
        self.asked.expire(event)

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
        self._collecting = False
        while True:
            self._tokens += 1
            token = f'{self.ctx.incarnation}:{self._tokens}'
            batch = self.queue.take(token)
            if not batch:
                return
            self.ctx.metrics.count('task_append')
            items = tuple(entry.item for entry in batch)
            req = events.Append(token, self.address, self.stream, items)
            unknown = outcomes.AppendUnknown('the log gave no answer')
            self.after(APPEND_LIMIT_S, events.AppendEnded(token, unknown))
            if not self.send(addresses.APPENDER, req):
                reason = 'the log client does not run'
                refused = outcomes.NotAppended(reason)
                self.post(events.AppendEnded(token, refused))

    @task.handles(events.AppendEnded)
    def _on_append_ended(self, event: events.AppendEnded) -> None:
        for entry in self.queue.finish(event.token):
            self.asked.appended(entry, event.outcome)
        if self.queue.waiting and not self._collecting:
            self._collecting = True
            self.after(COLLECT_S, _Collect())

    @task.handles(_Look)
    def _on_look(self, msg: _Look) -> None:
        many = len(self.state.parked) > MANY_PARKED
        self.after(LONG_LOOK_S if many else LOOK_S, _Look())
        homes_now = frozenset(self.state.count_by_home)
        waits = {
            name: fence.record.wait_s
            for name, fence in self.state.fences.items()
        }
        fresh = self.is_fresh()
        view = events.HomesChanged(homes_now, waits, fresh)
        self.send(addresses.FENCES, view)
        if not fresh:
            return
        look = self.look()
        for entry in self.mover.choose_lost(look):
            self._append_move(entry)
        for entry in self.mover.choose_parked(look):
            self._append_move(entry)

    def _append_move(self, entry: append_queue.QueuedItem) -> None:
        if not self.append(entry.key, entry.item):
            self.places.release(entry.key)

    @task.handles(_Restate)
    def _on_restate(self, msg: _Restate) -> None:
        self.after(RESTATE_S, _Restate())
        if not self.is_fresh():
            return
        turn = restating.RewriteSchedule(
            self.ctx.incarnation,
            self.turns.others,
            self.ctx.cfg.log_retention_s,
            int(time.time() * 1000),
        )
        items = restating.choose_restated(
            self.state, turn, append_queue.MAX_BATCH_ITEMS
        )
        for item in items:
            self.append(f'again/{offers.infer_key(item)}', item)

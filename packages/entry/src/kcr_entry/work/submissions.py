"""Process the submissions, cancellations and state queries of tasks.

The task `work/tasks` owns this object and passes it every query of a caller,
every outcome of an append and every change of the ledger. A submission or
cancellation is checked, queued as a record and answered when the record was
read back from the log; until then its query waits here.
"""

import dataclasses
import time
import typing

from kcr_core import append_queue
from kcr_core import ledger
from kcr_core import live_task
from kcr_core import outcomes
from kcr_core import placement
from kcr_core import quotas
from kcr_core import records
from kcr_core import task_outcomes
from kcr_core import types
from kcr_runtime import query

if typing.TYPE_CHECKING:
    from kcr_entry.work import tasks

# Time to wait for a record to be read back, in seconds.
REPLY_TIMEOUT_S = 10.0
# Maximum number of waiting submissions, and of waiting cancellations.
MAX_WAITING = 4000
# Maximum number of live tasks in the region: twice the design size.
MAX_LIVE_TASKS = 400_000


@dataclasses.dataclass(frozen=True, slots=True)
class SubmitTask:
    """Request that a task is accepted."""

    # The task.
    spec: types.TaskSpec


@dataclasses.dataclass(frozen=True, slots=True)
class GetTask:
    """Query the state of a task."""

    # Key of the task.
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class CancelTask:
    """Request that a task is cancelled."""

    # Key of the task.
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyTimeout:
    """Report that the time to reply to a waiting query is over."""

    # Key of the task.
    key: str
    # Number of the `_Waiting` that the timer was started for.
    number: int


@dataclasses.dataclass(slots=True)
class _Waiting:
    number: int
    # Digest of the submitted task; empty for a cancellation.
    digest: str
    demand: types.Demand
    team: str
    queries: list[query.Query]


class Submissions:
    """Store the queries that wait for records, by task."""

    def __init__(self, owner: 'tasks.Tasks') -> None:
        # The task that owns the ledger.
        self.owner = owner
        self._submits: dict[str, _Waiting] = {}
        self._cancels: dict[str, _Waiting] = {}
        # Demand of the waiting submissions by team.
        self._pending_demand: dict[str, types.Demand] = {}
        self._wait_count = 0

    def dump(self) -> dict[str, int]:
        """Return the numbers of waiting submissions and cancellations."""
        return {
            'submissions': len(self._submits),
            'cancellations': len(self._cancels),
        }

    def handle_query(self, caller_query: query.Query) -> None:
        """Process a query of a caller."""
        body = caller_query.body
        if isinstance(body, SubmitTask):
            self._submit(caller_query, body.spec)
        elif isinstance(body, CancelTask):
            self._cancel(caller_query, body.key)
        else:
            assert isinstance(body, GetTask), f'unknown query: {body!r}'
            self._reply(caller_query, self.describe(body.key))

    def _submit(self, caller_query: query.Query, spec: types.TaskSpec) -> None:
        key, digest = spec.key, live_task.digest_spec(spec)
        recorded = self._find_digest(key)
        if recorded is not None:
            self._reply(
                caller_query, self._infer_reply(key, recorded == digest)
            )
            return
        waiting = self._submits.get(key)
        if waiting is not None:
            if waiting.digest == digest:
                waiting.queries.append(caller_query)
            else:
                self._reply(caller_query, task_outcomes.Conflict(key))
            return
        refusal = self._check(spec)
        if refusal is not None:
            self._reply(caller_query, refusal)
            return
        self._accept(caller_query, spec, digest)

    def _check(self, spec: types.TaskSpec) -> typing.Any:
        owner = self.owner
        if not owner.is_fresh():
            return task_outcomes.NotAccepted('the log is not read up to now')
        full = len(owner.state.live) + len(self._submits) >= MAX_LIVE_TASKS
        if full or len(self._submits) >= MAX_WAITING:
            return task_outcomes.NotAccepted('too many tasks; try later')
        used = owner.state.demand_by_team.get(spec.team, types.Demand()).plus(
            self._pending_demand.get(spec.team, types.Demand())
        )
        reason = quotas.check_quota(spec.team, spec.demand, used, owner.quotas)
        return task_outcomes.Rejected(reason) if reason else None

    def _accept(
        self, caller_query: query.Query, spec: types.TaskSpec, digest: str
    ) -> None:
        owner, key = self.owner, spec.key
        scan = owner.make_scan_context()
        choice = owner.home_table.choose(scan.policy, spec, scan.now)
        home, reason = None, ''
        if isinstance(choice, placement.Placed):
            home = choice.home
        else:
            reason = choice.reason
        # After a start, endpoints connect again within the isolation timeout.
        reconnected = scan.now - owner.started_at >= owner.settings.isolation_s
        if isinstance(choice, placement.Infeasible) and reconnected:
            self._reply(
                caller_query, task_outcomes.Rejected(f'never: {reason}')
            )
            return
        at_ms = int(time.time() * 1000)
        item = records.Accepted(spec, home, at_ms, reason)
        if not owner.append(key, item, spec.urgent):
            refusal = task_outcomes.NotAccepted('the log queue is full')
            self._reply(caller_query, refusal)
            return
        if home is not None:
            owner.home_table.reserve(key, home.instance, spec.demand)
        pending = self._pending_demand.get(spec.team, types.Demand())
        self._pending_demand[spec.team] = pending.plus(spec.demand)
        self._add_waiting(self._submits, key, caller_query, spec, digest)

    def _add_waiting(
        self,
        table: dict[str, _Waiting],
        key: str,
        caller_query: query.Query,
        spec: types.TaskSpec,
        digest: str,
    ) -> None:
        self._wait_count += 1
        table[key] = _Waiting(
            self._wait_count, digest, spec.demand, spec.team, [caller_query]
        )
        self.owner.after(REPLY_TIMEOUT_S, ReplyTimeout(key, self._wait_count))

    def _cancel(self, caller_query: query.Query, key: str) -> None:
        owner = self.owner
        task = owner.state.live.get(key)
        if task is None:
            self._reply(caller_query, self.describe(key))
            return
        waiting = self._cancels.get(key)
        if waiting is not None:
            waiting.queries.append(caller_query)
            return
        refusal = ''
        if not owner.is_fresh():
            refusal = 'the log is not read up to now'
        elif len(self._cancels) >= MAX_WAITING:
            refusal = 'too many cancellations; try later'
        elif not owner.append(f'cancel/{key}', records.Cancelled(key)):
            refusal = 'the log queue is full'
        if refusal:
            self._reply(caller_query, task_outcomes.NotAccepted(refusal))
            return
        self._add_waiting(self._cancels, key, caller_query, task.spec, '')

    def apply_change(self, change: ledger.Change) -> None:
        """Answer the queries that a record in the log decides."""
        key = change.key
        if change.effect == 'ignored' or not key:
            return
        owner = self.owner
        if change.effect != 'restated':
            owner.home_table.release(key)
        waiting = self._submits.get(key)
        if waiting is not None:
            same = self._find_digest(key) == waiting.digest
            self._end(self._submits, key, self._infer_reply(key, same))
        if key in self._cancels and key in owner.state.ended:
            self._end(self._cancels, key, self.describe(key))

    def append_ended(
        self, queued: append_queue.QueuedItem, outcome: outcomes.AppendOutcome
    ) -> None:
        """Answer the query of a record that was not appended."""
        key = queued.key
        if not isinstance(queued.item, records.Accepted):
            if not isinstance(outcome, outcomes.Appended):
                self.owner.home_table.release(key)
        if not isinstance(outcome, outcomes.NotAppended):
            # The query is answered when the record is read, or at timeout.
            return
        refusal = task_outcomes.NotAccepted(outcome.reason)
        if isinstance(queued.item, records.Accepted):
            self._end(self._submits, key, refusal)
        elif isinstance(queued.item, records.Cancelled):
            self._end(self._cancels, queued.item.task, refusal)

    def expire(self, event: ReplyTimeout) -> None:
        """Answer the queries of a record that was not read back in time."""
        for table in (self._submits, self._cancels):
            waiting = table.get(event.key)
            if waiting is not None and waiting.number == event.number:
                reason = 'the record was not read back in time; ask again'
                self._end(table, event.key, task_outcomes.Uncertain(reason))

    def _end(
        self, table: dict[str, _Waiting], key: str, value: typing.Any
    ) -> None:
        waiting = table.pop(key, None)
        if waiting is None:
            return
        if table is self._submits:
            self.owner.home_table.release(key)
            left = self._pending_demand[waiting.team].minus(waiting.demand)
            self._pending_demand[waiting.team] = left
            if left == types.Demand():
                del self._pending_demand[waiting.team]
        name = type(value).__name__
        self.owner.ctx.metrics.count('task_answer', outcome=name)
        for caller_query in waiting.queries:
            self._reply(caller_query, value)

    def describe(
        self, key: str
    ) -> task_outcomes.TaskState | task_outcomes.NoTask:
        """Return the state of a task."""
        state = self.owner.state
        ended = state.ended.get(key)
        if ended is not None:
            return task_outcomes.TaskState(
                key, ended.outcome, ended.epoch, None, ended.detail
            )
        task = state.live.get(key)
        if task is None:
            return task_outcomes.NoTask(key, self.owner.is_fresh())
        name, reason = self._infer_phase(key, task)
        return task_outcomes.TaskState(
            key,
            name,
            task.epoch,
            task.home,
            reason,
            live_task.list_history(task),
        )

    def _infer_phase(
        self, key: str, task: live_task.LiveTask
    ) -> tuple[str, str]:
        owner, home = self.owner, task.home
        if home is None:
            return 'parked', owner.mover.wait_reasons.get(key, task.reason)
        fence = owner.state.fences.get((home.instance, home.incarnation))
        if fence is not None:
            left = max(0.0, fence.movable_at - owner.now())
            text = f'instance {home.instance} is lost; moves in {left:.0f} s'
            return 'assigned', text
        wait_reason = owner.reports.find_wait_reason(key, task.epoch)
        if wait_reason == '':
            return 'running', ''
        owner.reports.reassign(key)
        if wait_reason:
            return 'assigned', wait_reason
        if home.instance not in owner.dispatcher.queues:
            return 'assigned', f'{home.instance} is not connected here'
        return 'assigned', f'{home.instance} has not reported a start here'

    def _find_digest(self, key: str) -> str | None:
        state = self.owner.state
        if key in state.ended:
            return state.ended[key].digest
        task = state.live.get(key)
        return None if task is None else live_task.digest_spec(task.spec)

    def _infer_reply(self, key: str, same: bool) -> typing.Any:
        if not same:
            return task_outcomes.Conflict(key)
        state = self.describe(key)
        assert isinstance(state, task_outcomes.TaskState), (
            f'task {key} is neither live nor ended'
        )
        return task_outcomes.Accepted(state)

    def _reply(self, caller_query: query.Query, value: typing.Any) -> None:
        reply = query.Reply(caller_query.token, value)
        self.owner.send(caller_query.sender, reply)

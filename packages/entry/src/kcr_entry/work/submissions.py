"""Hold the callers that wait for a record of a task.

The table belongs to the task `work/tasks`, which hands it every question,
append outcome and change of the ledger.
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

# Time in which a caller gets an answer, in seconds.
ANSWER_LIMIT_S = 10.0
# Submissions and cancellations that wait at the same time.
WAITING_LIMIT = 4000
# Live tasks of a region before new ones are refused; twice the design size.
LIVE_LIMIT = 400_000


@dataclasses.dataclass(frozen=True, slots=True)
class Submit:
    """Ask for a task to be accepted."""

    # The task.
    spec: types.TaskSpec


@dataclasses.dataclass(frozen=True, slots=True)
class Get:
    """Ask for the state of a task."""

    # Key of the task.
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """Ask for a task to be cancelled."""

    # Key of the task.
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Limit:
    """Note that a question has waited for too long."""

    # Key of the task.
    key: str
    # Number of the wait.
    number: int


@dataclasses.dataclass(slots=True)
class _Waiting:
    number: int
    # Digest of the submitted task; empty for a cancellation.
    digest: str
    demand: types.Demand
    team: str
    questions: list[query.Query]


class Submissions:
    """Hold what waits for records, by task."""

    def __init__(self, owner: 'tasks.Tasks') -> None:
        # The task that owns the ledger.
        self.owner = owner
        self._submits: dict[str, _Waiting] = {}
        self._cancels: dict[str, _Waiting] = {}
        self._promised: dict[str, types.Demand] = {}
        self._numbers = 0

    def dump(self) -> dict[str, int]:
        """Return how many questions wait."""
        return {
            'submissions': len(self._submits),
            'cancellations': len(self._cancels),
        }

    def handle_question(self, question: query.Query) -> None:
        """Handle a question of a caller."""
        body = question.body
        if isinstance(body, Submit):
            self._submit(question, body.spec)
        elif isinstance(body, Cancel):
            self._cancel(question, body.key)
        else:
            assert isinstance(body, Get), 'unknown question'
            self._reply(question, self.describe(body.key))

    def _submit(self, question: query.Query, spec: types.TaskSpec) -> None:
        key, digest = spec.key, live_task.digest_spec(spec)
        held = self._find_digest(key)
        if held is not None:
            self._reply(question, self._answer(key, held == digest))
            return
        waiting = self._submits.get(key)
        if waiting is not None:
            if waiting.digest == digest:
                waiting.questions.append(question)
            else:
                self._reply(question, task_outcomes.Conflict(key))
            return
        refusal = self._check(spec)
        if refusal is not None:
            self._reply(question, refusal)
            return
        self._accept(question, spec, digest)

    def _check(self, spec: types.TaskSpec) -> typing.Any:
        owner = self.owner
        if not owner.is_fresh():
            return task_outcomes.NotAccepted('the log is not read up to now')
        full = len(owner.state.live) + len(self._submits) >= LIVE_LIMIT
        if full or len(self._submits) >= WAITING_LIMIT:
            return task_outcomes.NotAccepted('too many tasks; try later')
        used = owner.state.demand_by_team.get(spec.team, types.Demand()).plus(
            self._promised.get(spec.team, types.Demand())
        )
        reason = quotas.check_quota(spec.team, spec.demand, used, owner.quotas)
        return task_outcomes.Rejected(reason) if reason else None

    def _accept(
        self, question: query.Query, spec: types.TaskSpec, digest: str
    ) -> None:
        owner, key = self.owner, spec.key
        look = owner.look()
        choice = owner.places.choose(look.policy, spec, look.now)
        home, reason = None, ''
        if isinstance(choice, placement.Placed):
            home = choice.home
        else:
            reason = choice.reason
        # Endpoints connect again within the isolation limit of a start.
        settled = look.now - owner.began_at >= owner.settings.isolation_s
        if isinstance(choice, placement.Infeasible) and settled:
            self._reply(question, task_outcomes.Rejected(f'never: {reason}'))
            return
        at_ms = int(time.time() * 1000)
        item = records.Accepted(spec, home, at_ms, reason)
        if not owner.append(key, item, spec.urgent):
            refusal = task_outcomes.NotAccepted('the log queue is full')
            self._reply(question, refusal)
            return
        if home is not None:
            owner.places.reserve(key, home.instance, spec.demand)
        held = self._promised.get(spec.team, types.Demand())
        self._promised[spec.team] = held.plus(spec.demand)
        self._wait(self._submits, key, question, spec, digest)

    def _wait(
        self,
        table: dict[str, _Waiting],
        key: str,
        question: query.Query,
        spec: types.TaskSpec,
        digest: str,
    ) -> None:
        self._numbers += 1
        table[key] = _Waiting(
            self._numbers, digest, spec.demand, spec.team, [question]
        )
        self.owner.after(ANSWER_LIMIT_S, Limit(key, self._numbers))

    def _cancel(self, question: query.Query, key: str) -> None:
        owner = self.owner
        task = owner.state.live.get(key)
        if task is None:
            self._reply(question, self.describe(key))
            return
        waiting = self._cancels.get(key)
        if waiting is not None:
            waiting.questions.append(question)
            return
        refusal = ''
        if not owner.is_fresh():
            refusal = 'the log is not read up to now'
        elif len(self._cancels) >= WAITING_LIMIT:
            refusal = 'too many cancellations; try later'
        elif not owner.append(f'cancel/{key}', records.Cancelled(key)):
            refusal = 'the log queue is full'
        if refusal:
            self._reply(question, task_outcomes.NotAccepted(refusal))
            return
        self._wait(self._cancels, key, question, task.spec, '')

    def follow(self, change: ledger.Change) -> None:
        """Answer what a record of the ledger decides."""
        key = change.key
        if change.effect == 'ignored' or not key:
            return
        owner = self.owner
        if change.effect != 'restated':
            owner.places.release(key)
        waiting = self._submits.get(key)
        if waiting is not None:
            same = self._find_digest(key) == waiting.digest
            self._end(self._submits, key, self._answer(key, same))
        if key in self._cancels and key in owner.state.ended:
            self._end(self._cancels, key, self.describe(key))

    def appended(
        self, entry: append_queue.QueuedItem, outcome: outcomes.AppendOutcome
    ) -> None:
        """Answer what the outcome of an append decides."""
        key = entry.key
        if not isinstance(entry.item, records.Accepted):
            if not isinstance(outcome, outcomes.Appended):
                self.owner.places.release(key)
        if not isinstance(outcome, outcomes.NotAppended):
            # The record is answered when it is read, or as unknown.
            return
        refusal = task_outcomes.NotAccepted(outcome.reason)
        if isinstance(entry.item, records.Accepted):
            self._end(self._submits, key, refusal)
        elif isinstance(entry.item, records.Cancelled):
            self._end(self._cancels, entry.item.task, refusal)

    def expire(self, event: Limit) -> None:
        """Answer a question that has waited too long as unknown."""
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
            self.owner.places.release(key)
            left = self._promised[waiting.team].minus(waiting.demand)
            self._promised[waiting.team] = left
            if left == types.Demand():
                del self._promised[waiting.team]
        name = type(value).__name__
        self.owner.ctx.metrics.count('task_answer', outcome=name)
        for question in waiting.questions:
            self._reply(question, value)

    def describe(
        self, key: str
    ) -> task_outcomes.TaskState | task_outcomes.NoTask:
        """Return what is known of a task."""
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
        note = owner.reports.find_note(key, task.epoch)
        if note == '':
            return 'running', ''
        owner.reports.ask_again(key)
        if note:
            return 'assigned', note
        if home.instance not in owner.orders.queues:
            return 'assigned', f'{home.instance} is not connected here'
        return 'assigned', f'{home.instance} has not reported a start here'

    def _find_digest(self, key: str) -> str | None:
        state = self.owner.state
        if key in state.ended:
            return state.ended[key].digest
        task = state.live.get(key)
        return None if task is None else live_task.digest_spec(task.spec)

    def _answer(self, key: str, same: bool) -> typing.Any:
        if not same:
            return task_outcomes.Conflict(key)
        held = self.describe(key)
        assert isinstance(held, task_outcomes.TaskState), 'task is gone'
        return task_outcomes.Accepted(held)

    def _reply(self, question: query.Query, value: typing.Any) -> None:
        answer = query.Reply(question.token, value)
        self.owner.send(question.sender, answer)

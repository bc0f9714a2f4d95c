"""Decide for the owner of the jobs: accept, start, stop, retry, settle.

The controller is pure: inputs carry the time, and what is to be stored, sent
and logged is collected in `journal`, `gated`, `direct` and `notes`. Its state
runs ahead of the log, so gated effects wait until the journal is durable; an
owner that loses the log drops its controller.
"""

import dataclasses
import typing

from kcr_jobs import book
from kcr_jobs import effects
from kcr_jobs import messages
from kcr_jobs import nodes
from kcr_jobs import pacing
from kcr_jobs import pair_effects
from kcr_jobs import planning
from kcr_jobs import records
from kcr_jobs import types

# Multiplier that puts the epoch above the count of leases in a token.
TOKENS_PER_EPOCH = 1_000_000
# Time after which a job is written again, in seconds; the platform keeps
# records for 300 s.
RESTATE_S = 100.0
# Jobs that may be open; one of 21 tasks with a payload of 2 KB takes 14 KB.
MAX_OPEN_JOBS = 4000
# Retry-After of a refusal for want of room, in milliseconds.
RETRY_MS = 1000
# Time without an answer after which a stop is ordered again, in seconds.
STOP_AGAIN_S = 0.7
# Time that a draining runner's batch tasks need to save and end, in seconds.
DRAIN_STOP_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Note:
    """Carry one line for the log."""

    # What was decided.
    event: str
    # Inputs of the decision.
    fields: dict[str, typing.Any]


class Controller:
    """Hold the jobs and runners of the partition that is owned."""

    def __init__(
        self, state: book.Book, epoch: int, lease_s: float, now: float
    ) -> None:
        # Jobs.
        self.book = state
        # Number of this ownership.
        self.epoch = epoch
        # Length of a lease, in seconds.
        self.lease_s = lease_s
        # Nodes by name.
        self.nodes: dict[str, nodes.Node] = {}
        # Records to append.
        self.journal: list[records.Record] = []
        # Effects that wait for the journal, and those that don't.
        self.gated: list[effects.Effect] = []
        self.direct: list[effects.Effect] = []
        # Lines for the log.
        self.notes: list[Note] = []
        # Jobs that may have tasks to start.
        self.open: dict[str, book.Job] = {}
        self._tokens = 0
        # Effects of fillers on serving tasks, by pair of images.
        self.effects = pair_effects.PairEffects()
        self._planner = planning.Planner(self.effects)
        self._takeover(now)

    def _takeover(self, now: float) -> None:
        """Wait for the runs that earlier owners started."""
        for job in self.book.jobs.values():
            job.since = now
            job.restated_at = now
            for task in job.tasks.values():
                if task.node:
                    self._node(task.node, now).tasks[task.name] = task
            if job.is_open():
                self.open[job.spec.job_id] = job
            else:
                job.settled, job.ended_at = True, now
                self._stop_runs(job, now)

    def _node(self, name: str, now: float) -> nodes.Node:
        node = self.nodes.get(name)
        if node is None:
            node = self.nodes[name] = nodes.Node(name)
            node.prolong(nodes.infer_lapse(now, self.lease_s))
        return node

    def _note(self, event: str, **fields: typing.Any) -> None:
        self.notes.append(Note(event, fields))

    def _write(self, rec: records.Record) -> None:
        self.journal.append(rec)
        self.book.apply(rec)

    # Calls of callers.

    def submit(
        self, ref: typing.Any, spec: types.JobSpec, now: float, wall_ms: float
    ) -> None:
        """Accept a job once, however often it is submitted."""
        if spec.job_id in self.book.jobs:
            self._note('job repeated', job=spec.job_id)
            self.gated.append(effects.Reply(ref, 'accepted'))
            return
        if len(self.open) >= MAX_OPEN_JOBS:
            self.refuse(ref, spec.job_id, 'too many open jobs')
            return
        self._write(records.Accepted(spec, int(wall_ms)))
        job = self.book.jobs[spec.job_id]
        job.since = job.restated_at = now
        self._note_state(job, now)
        self.gated.append(effects.Reply(ref, 'accepted'))
        self._note(
            'job accepted',
            job=spec.job_id,
            queue=spec.queue.name,
            steps=len(spec.steps),
            tasks=sum(step.count for step in spec.steps),
            open_jobs=len(self.open),
        )

    def refuse(self, ref: typing.Any, job_id: str, reason: str) -> None:
        """Refuse a job that was not journalled."""
        self._note('job refused', job=job_id, reason=reason)
        reply = effects.Reply(ref, 'refused', reason, RETRY_MS)
        self.direct.append(reply)

    def cancel(self, ref: typing.Any, job_id: str, now: float) -> None:
        """Cancel a job and stop what runs of it."""
        job = self.book.jobs.get(job_id)
        if job is None:
            self._note('cancel of unknown job', job=job_id)
            self.gated.append(effects.Reply(ref, 'unknown_job'))
            return
        if job.is_open():
            self._write(records.Cancelled(job_id))
            self._note('job cancelled', job=job_id)
            self._note_state(job, now)
        self.gated.append(effects.Reply(ref, 'cancelled'))

    def show(self, ref: typing.Any, job_id: str) -> None:
        """Answer with the state of a job."""
        job = self.book.jobs.get(job_id)
        if job is None:
            self._note('state of unknown job', job=job_id)
            self.gated.append(effects.Reply(ref, 'unknown_job'))
            return
        state = job.state
        if not job.is_open() and not job.settled:
            state = book.RUNNING
        self.direct.append(effects.Reply(ref, 'known', state))

    def count_pending(self, ref: typing.Any, queue: str) -> None:
        """Answer with the number of jobs that have not begun."""
        number = sum(
            not job.begun and not job.spec.repeat
            for job in self.open.values()
            if job.spec.queue.name == queue
        )
        self.direct.append(effects.Reply(ref, 'known', '', number))

    # Agents and runners.

    def attach(
        self, name: str, session: str, info: types.RunnerInfo, now: float
    ) -> None:
        """Give the agent of a node a new lease; older ones are void."""
        node = self._node(name, now)
        self._tokens += 1
        node.token = self.epoch * TOKENS_PER_EPOCH + self._tokens
        node.session, node.info = session, info
        node.complete = False
        node.orders = node.ends_taken = node.ends_durable = node.acked = 0
        for task in node.tasks.values():
            # Orders of the older lease can't arrive any more.
            task.ordered_number = 0
        node.heard_at = now
        node.prolong(nodes.infer_lapse(now, self.lease_s))
        lease = messages.Lease(self.epoch, node.token)
        self.direct.append(effects.ToAgent(name, node.token, lease))
        self._note(
            'runner attached',
            node=name,
            life=info.life,
            token=node.token,
            draining=info.draining,
        )

    def detach(self, session: str) -> None:
        """Note that a session to an agent has ended."""
        for node in self.nodes.values():
            if node.session == session:
                node.session, node.complete = '', False
                self._note('runner detached', node=node.name)

    def report(
        self, session: str, msg: messages.Report, now: float, lease_ms: int
    ) -> None:
        """Take the report of an agent into the state."""
        node = next(
            (n for n in self.nodes.values() if n.session == session), None
        )
        if node is None or msg.token != node.token:
            self._note('report of older lease', token=msg.token)
            return
        node.heard_at = now
        self._note_info(node, msg.info, now)
        self._take_ends(node, msg.ended)
        if msg.complete:
            self._reconcile(node, msg, now)
        if lease_ms > 0:
            node.prolong(nodes.infer_lapse(now, lease_ms / 1000.0))
        node.acked = msg.seq
        self._acknowledge(node, lease_ms)
        if msg.complete:
            self._pace(node, now)

    def _acknowledge(self, node: nodes.Node, lease_ms: int) -> None:
        ack = messages.RunnerReportAck(
            node.token, node.acked, max(0, lease_ms), node.ends_durable
        )
        self.direct.append(effects.ToAgent(node.name, node.token, ack))

    def _note_info(
        self, node: nodes.Node, info: types.RunnerInfo, now: float
    ) -> None:
        if info.draining and node.draining_since is None:
            node.draining_since = now
            self._note(
                'runner draining', node=node.name, left_ms=info.remaining_ms
            )
        if not info.draining:
            node.draining_since = None
        node.info = info

    def _take_ends(
        self, node: nodes.Node, ended: tuple[types.EndRow, ...]
    ) -> None:
        rows = []
        for end in ended:
            if end.number <= node.ends_taken:
                continue
            node.ends_taken = end.number
            task = node.tasks.get(end.task) or self._find_waiting(end)
            if task is None or end.attempt != task.attempt:
                self._note(
                    'end of older attempt', task=end.task, run=end.attempt
                )
                continue
            rows.append(
                records.EndedRow(
                    end.task, end.attempt, end.how, end.saved or task.saved
                )
            )
            node.note_end(end.how)
            if end.how == 'failed':
                task.failed_on.add(node.name)
            self._note(
                'run ended', task=end.task, run=end.attempt, how=end.how,
                node=node.name,
            )  # fmt: skip
        self._end(rows)
        number = node.ends_taken
        if number > node.ends_durable:
            confirm = effects.Confirm(node.name, node.token, number)
            self.gated.append(confirm)

    def _find_waiting(self, end: types.EndRow) -> book.Task | None:
        """Return the task whose run was done before it was given up.

        The runner was silent until its lease had lapsed, and lists the end
        now. As no later attempt has begun, the work need not be repeated.
        """
        task = self.book.find(end.task)
        if task is None or task.node or task.done or end.how != 'done':
            return None
        if task.spec.lasts or task.spec.gang or not task.job.is_open():
            return None
        return task

    def _end(self, rows: list[records.EndedRow]) -> None:
        """Write ends and free what the runs held."""
        if not rows:
            return
        for row in rows:
            task = self.book.find(row.task)
            assert task is not None, row.task
            if task.node:
                self.nodes[task.node].tasks.pop(row.task, None)
            task.seen = task.stopping = False
            task.percent = task.usage = 0
            task.pace = 100
        self._write(records.Ended(tuple(rows)))
        for row in rows:
            task = self.book.find(row.task)
            assert task is not None
            self._note_state(task.job, 0.0)

    def _note_state(self, job: book.Job, now: float) -> None:
        """Keep the set of open jobs; stop the runs of ended ones."""
        if job.is_open():
            self.open[job.spec.job_id] = job
            return
        if self.open.pop(job.spec.job_id, None) is not None:
            self.gated.append(effects.Settle(job.spec.job_id))
            self._note('job ended', job=job.spec.job_id, state=job.state)
        self._stop_runs(job, now)

    def _stop_runs(self, job: book.Job, now: float) -> None:
        for task in job.tasks.values():
            if task.node and not task.stopping:
                self._stop(task, now)

    def settle(self, job_id: str, now: float) -> None:
        """Show callers the end of a job whose records are durable."""
        job = self.book.jobs.get(job_id)
        if job is not None and not job.settled:
            job.settled, job.ended_at = True, now

    def confirm(
        self, name: str, token: int, number: int, lease_ms: int
    ) -> None:
        """Let a runner forget the ends that are durable."""
        node = self.nodes.get(name)
        if node is None or node.token != token or not node.session:
            return
        node.ends_durable = max(node.ends_durable, number)
        self._acknowledge(node, lease_ms)

    def _reconcile(
        self, node: nodes.Node, msg: messages.Report, now: float
    ) -> None:
        """Compare the runs of a complete report with those expected."""
        running = {row.task: row for row in msg.running}
        node.strangers = 0
        for row in msg.running:
            task = node.tasks.get(row.task)
            if task is None or task.attempt != row.attempt:
                node.strangers += 1
                self._stop_stranger(node, row)
                continue
            _note_row(task, row)
        pending = set(msg.unanswered)
        lost = []
        for task in list(node.tasks.values()):
            if task.name in running or task.name in pending:
                continue
            if task.ordered_at and task.ordered_number > msg.orders:
                continue
            lost.append(task)
        if lost:
            if node.complete:
                # A start that came to nothing; under a new lease the runs
                # may have ended with an older life of the runner.
                for task in lost:
                    node.note_end('failed')
                    self._planner.drop_ticket(task)
            self._lose(node, lost, 'runner does not list it')
        if not node.complete:
            node.complete = True
            self._note('runner ready', node=node.name, runs=len(running))

    def _stop_stranger(self, node: nodes.Node, row: types.RunRow) -> None:
        stop = messages.StopRun(node.token, row.task, row.attempt)
        self.direct.append(effects.ToAgent(node.name, node.token, stop))
        self._note(
            'unknown run stopped', node=node.name, task=row.task,
            run=row.attempt,
        )  # fmt: skip

    def _lose(
        self, node: nodes.Node, lost: list[book.Task], reason: str
    ) -> None:
        """Note runs that have ended without an end of the runner."""
        for task in lost:
            self._note(
                'run lost', task=task.name, run=task.attempt, node=node.name,
                reason=reason,
            )  # fmt: skip
        self._end(
            [
                records.EndedRow(task.name, task.attempt, 'lost', task.saved)
                for task in lost
            ]
        )

    def _stop(self, task: book.Task, now: float) -> None:
        node = self.nodes[task.node]
        task.stopping = True
        task.ordered_stop_at = now
        if not node.session:
            return
        stop = messages.StopRun(node.token, task.name, task.attempt)
        self.direct.append(effects.ToAgent(node.name, node.token, stop))

    # Fillers beside serving tasks.

    def _pace(self, node: nodes.Node, now: float) -> None:
        tasks = list(node.tasks.values())
        self.effects.observe(tasks)
        for advice in pacing.decide(tasks, self.effects, now):
            task = advice.task
            if advice.move and task.spec.checkpointing:
                self._note('filler moved', task=task.name, node=node.name)
                task.avoided = node.name
                self._stop(task, now)
                continue
            if advice.percent == task.pace:
                continue
            task.pace, task.paced_at = advice.percent, now
            if advice.percent > pacing.STILL_PERCENT:
                task.paced_up_at = now
            order = messages.PaceRun(
                node.token, task.name, task.attempt, advice.percent
            )
            self.direct.append(effects.ToAgent(node.name, node.token, order))
            self._note(
                'filler paced',
                task=task.name,
                node=node.name,
                percent=advice.percent,
                pressure=round(pacing.infer_pressure(tasks), 2),
            )

    # Time.

    def tick(self, now: float, wall_ms: float) -> None:
        """Do what time asks for, then start what can be started."""
        for node in list(self.nodes.values()):
            if now >= node.lapses_at:
                self._lapse(node, now)
            elif node.session:
                self._drain(node, now)
                self._repeat_stops(node, now)
        self._make_due(wall_ms)
        self._restate(now)
        self.schedule(now)

    def _lapse(self, node: nodes.Node, now: float) -> None:
        if node.tasks:
            self._lose(node, list(node.tasks.values()), 'lease lapsed')
        if node.session and node.info is not None:
            self.attach(node.name, node.session, node.info, now)
            return
        del self.nodes[node.name]
        self._note('runner given up', node=node.name, heard=node.heard_at)

    def _drain(self, node: nodes.Node, now: float) -> None:
        """Move tasks off a runner that leaves."""
        if node.draining_since is None or node.info is None:
            return
        left = node.info.remaining_ms / 1000.0 - (now - node.heard_at)
        for task in list(node.tasks.values()):
            if task.stopping or not task.seen:
                continue
            if task.spec.lasts or left <= DRAIN_STOP_S:
                if task.spec.lasts or task.spec.checkpointing:
                    self._stop(task, now)

    def _repeat_stops(self, node: nodes.Node, now: float) -> None:
        for task in node.tasks.values():
            late = now - task.ordered_stop_at >= STOP_AGAIN_S
            if task.stopping and late:
                self._stop(task, now)

    def _make_due(self, wall_ms: float) -> None:
        for job in self.open.values():
            while (
                job.occurrences < job.spec.repeat
                and job.due_ms(job.occurrences) <= wall_ms
            ):
                job.make_occurrence()

    def _restate(self, now: float) -> None:
        for job in list(self.book.jobs.values()):
            ended = job.ended_at
            if ended is not None and now - ended > book.KEEP_ENDED_S:
                if not any(task.node for task in job.tasks.values()):
                    del self.book.jobs[job.spec.job_id]
                    self._planner.forget(job)
            elif now - job.restated_at >= RESTATE_S:
                job.restated_at = now
                self.journal.append(book.restate(job))

    # Starts.

    def schedule(self, now: float) -> None:
        """Start the tasks whose turn has come and that find room."""
        usable = [node for node in self.nodes.values() if node.is_open()]
        if not usable:
            return
        plan = self._planner.plan(self.open.values(), usable, now)
        for request in plan.requests:
            self.direct.append(request)
            self._note(
                'advice asked', step=request.step, runners=len(request.lives)
            )
        for wait in plan.waits:
            self._note(
                'step waits', step=wait.step, runners=len(usable),
                **{k.replace(' ', '_'): n for k, n in wait.reasons.items()},
            )  # fmt: skip
        if not plan.starts:
            return
        rows = tuple(
            records.StartRow(t.name, t.attempt + 1, t.node, t.life)
            for t in plan.starts
        )
        self._write(records.Started(rows))
        for task in plan.starts:
            self._order_start(task, now)

    def take_advice(
        self,
        request: effects.AskAdvice,
        granted: dict[str, str] | None,
        asked_at: float,
        now: float,
    ) -> None:
        """Take the answer to a request for advice; none if it failed."""
        job = self.book.jobs.get(request.step.partition('.')[0])
        if job is None:
            return
        valid_s = job.spec.queue.ticket_ms / 1000.0
        held = self._planner.find_tickets(request.step)
        held.take(request.lives, granted, asked_at, valid_s, now)
        self._note(
            'advice taken',
            step=request.step,
            granted=-1 if granted is None else len(granted),
        )

    def release(self, effect: effects.ToAgent) -> str:
        """Return the session that a message goes to now; empty for none.

        While a start waited for the log, its runner may have begun to drain,
        its job may have ended, or another member of its gang may be lost.
        """
        node = self.nodes.get(effect.node)
        if node is None or node.token != effect.token:
            return ''
        if not isinstance(effect.msg, messages.StartRun):
            return node.session
        task = self.book.find(effect.msg.task)
        draining = node.info is not None and node.info.draining
        broken = task is not None and not task.has_its_gang()
        if task is None or task.stopping or draining or broken:
            if task is not None:
                # The next complete report shows that it does not run.
                task.ordered_number = 0
            self._note(
                'start withdrawn', task=effect.msg.task, node=node.name,
                draining=draining, gang_broken=broken,
            )  # fmt: skip
            return ''
        return node.session

    def _order_start(self, task: book.Task, now: float) -> None:
        node = self.nodes[task.node]
        node.tasks[task.name] = task
        node.orders += 1
        node.started_at = now
        task.ordered_at = now
        task.paced_at = task.paced_up_at = now
        task.ordered_number = node.orders
        task.seen = task.stopping = False
        ticket = self._planner.find_ticket(task, now)
        order = messages.StartRun(
            node.token, node.orders, task.life, task.name, task.attempt,
            task.job.spec.payload, task.saved,
            ticket,
            task.pace,
        )  # fmt: skip
        self.gated.append(effects.ToAgent(node.name, node.token, order))
        self._note(
            'run ordered', task=task.name, run=task.attempt, node=node.name,
            resumed=bool(task.saved), percent=task.pace,
        )  # fmt: skip


def _note_row(task: book.Task, row: types.RunRow) -> None:
    task.seen = True
    task.percent, task.usage = row.percent, row.usage
    if row.saved:
        task.saved = row.saved

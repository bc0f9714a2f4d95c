"""Order the starts that the planner chooses, and request advice.

A start is recorded first and ordered once the record is durable; it is
withdrawn if the reason for it is gone by then.
"""

import typing

from kcr_jobs import controller_state
from kcr_jobs import effects
from kcr_jobs import job_table
from kcr_jobs import messages
from kcr_jobs import planning
from kcr_jobs import records
from kcr_jobs import runners
from kcr_jobs import tickets


# Longest time between two plans, in seconds. Without a change of jobs or
# reservations only the measurements of the runners differ, which are those of
# the last half second.
REPLAN_INTERVAL_S = 0.25


class Starts:
    """Start the waiting tasks."""

    def __init__(self, state: controller_state.State, now: float) -> None:
        self._state = state
        # Time of the next plan without a change.
        self._next_plan_at = now

    def schedule(self, now: float) -> None:
        """Start the waiting tasks for which a runner has capacity."""
        if not self._state.changed and now < self._next_plan_at:
            return
        if self._state.conditions.evacuation_view is None:
            # A zone may be evacuated that this process does not know of yet.
            return
        self._state.changed = False
        self._next_plan_at = now + REPLAN_INTERVAL_S
        schedulable = [
            runner
            for runner in self._state.runners.values()
            if runner.is_schedulable()
        ]
        if not schedulable:
            return
        if self._state.overload.shares:
            self._state.shares.mark(
                self._state.open_jobs.values(),
                self._state.runners.values(),
                now,
            )
        plan = self._state.planner.plan(
            self._state.open_jobs.values(), schedulable, now,
            self._state.conditions,
        )  # fmt: skip
        self._report(plan, len(schedulable))
        if plan.starts:
            rows = tuple(
                records.StartRow(
                    t.name, t.attempt + 1, t.instance, t.incarnation
                )
                for t in plan.starts
            )
            self._state.append(records.Started(rows))
            for task in plan.starts:
                self._order_start(task, now)
        if self._state.overload.preempts:
            self._preempt(plan.unplaced, schedulable, now)
        if self._state.overload.moves:
            self._move_stragglers(schedulable, now)

    def _move_stragglers(
        self, schedulable: list[runners.RunnerState], now: float
    ) -> None:
        """Stop tasks of slow runners that end sooner elsewhere."""
        model = self._state.stragglers
        before = set(model.find_slow(now))
        moves = model.choose(schedulable, now, self._state.conditions)
        for runner in schedulable:
            runner.slow = model.is_slow(runner.name, now)
            if runner.slow and runner.name not in before:
                self._state.count('stragglers', 'runner_slow')
                self._state.log_event('runner slow', node=runner.name)
        for move in moves:
            task = move.task
            self._state.count('stragglers', 'task_moved')
            self._state.log_event(
                'straggler moved', task=task.name, run=task.attempt,
                node=task.instance, expected_on=move.target,
                here_s=round(move.here_s, 1), there_s=round(move.there_s, 1),
            )  # fmt: skip
            task.moves += 1
            task.avoided_instance = task.instance
            self._state.stop(task, now)

    def _preempt(
        self,
        unplaced: list[job_table.Task],
        schedulable: list[runners.RunnerState],
        now: float,
    ) -> None:
        """Stop tasks for a more urgent one, if that is worthwhile."""
        found = self._state.preemption.choose(
            unplaced, schedulable, now, self._state.conditions
        )
        if found is None:
            return
        for task in found.victims:
            self._state.log_event(
                'task preempted', task=task.name, node=task.instance,
                by=found.task.name, gain_core_s=round(found.gain, 1),
                loss_core_s=round(found.loss, 1),
            )  # fmt: skip
            self._state.stop(task, now)

    def _report(self, plan: planning.Plan, schedulable: int) -> None:
        """Send the requests for tickets, and log why steps wait."""
        for request in plan.requests:
            self._state.immediate.append(request)
            self._state.log_event(
                'advice asked', step=request.step,
                runners=len(request.runners), request=request.number,
                unanswered=self._state.planner.advice.window.unanswered,
                steps_waiting=self._state.planner.advice.steps_ahead,
            )  # fmt: skip
        for wait in self._state.planner.locality.new_waits:
            self._state.log_event(
                'task waits for rack', step=wait.step, rack=wait.rack,
                wait_s=wait.wait_s, longest_s=wait.longest_s,
                local_s=wait.local_s, remote_s=wait.remote_s,
                samples=wait.samples, age_s=wait.age_s,
            )  # fmt: skip
        for waiting in plan.waits:
            self._state.log_event(
                'step waits', step=waiting.step, runners=schedulable,
                steps_ahead=waiting.steps_ahead,
                **{k.replace(' ', '_'): n for k, n in waiting.reasons.items()},
            )  # fmt: skip

    def record_advice(
        self, request: effects.RequestAdvice, reply: tickets.Reply, now: float
    ) -> None:
        """Store the tickets that the adviser granted."""
        self._state.changed = True
        job = self._state.table.jobs.get(request.step.partition('.')[0])
        valid_s = reply.valid_s
        if job is not None and not valid_s:
            valid_s = job.spec.queue.ticket_ms / 1000.0
        left_s = self._state.planner.advice.record_reply(
            request, reply, valid_s, now
        )
        self._state.log_event(
            'advice taken',
            step=request.step,
            request=request.number,
            granted=-1 if reply.granted is None else len(reply.granted),
            valid_s=valid_s,
            left_s=round(left_s, 3),
            unanswered=self._state.planner.advice.window.unanswered,
        )

    def describe_advice(self) -> dict[str, typing.Any]:
        """Return the state of the requests to the adviser, for the dump."""
        advice = self._state.planner.advice
        return {
            'unanswered': advice.window.unanswered,
            'congested': advice.window.congested,
            'steps_waiting': advice.steps_ahead,
        }

    def find_session(self, effect: effects.SendToAgent, now: float) -> str:
        """Return the session to which a message is sent; empty for none.

        The owner task calls it when it sends the message. A start is withdrawn
        if, while it waited for the log, its runner has begun to leave, its
        zone was evacuated, its region is not allowed any more, its job has
        ended, its ticket may have expired, or another member of its gang was
        lost.
        """
        runner = self._state.runners.get(effect.instance)
        if runner is None or runner.token != effect.token:
            return ''
        if not isinstance(effect.msg, messages.StartRun):
            return runner.session
        task = self._state.table.find_task(effect.msg.task)
        evacuated = self._state.is_evacuated(runner)
        broken = task is not None and not task.is_gang_complete()
        expired = task is not None and self._state.planner.advice.has_expired(
            task, now
        )
        abroad = task is not None and not self._state.is_in_region(
            task, runner
        )
        closed = runner.is_leaving() or evacuated or abroad
        if task is None or task.stopping or closed or broken or expired:
            if evacuated:
                self._state.count('zone_evacuations', 'start_withdrawn')
            if task is not None:
                # The next complete report shows that it is not running.
                task.ordered_number = 0
            self._state.log_event(
                'start withdrawn', task=effect.msg.task, node=runner.name,
                draining=runner.info is not None and runner.info.draining,
                deregistered=runner.deregistered,
                zone_evacuated=evacuated, region=abroad,
                gang_broken=broken, ticket_expired=expired,
            )  # fmt: skip
            return ''
        return runner.session

    def _order_start(self, task: job_table.Task, now: float) -> None:
        runner = self._state.runners[task.instance]
        runner.tasks[task.name] = task
        runner.last_order += 1
        runner.last_start_at = now
        if now < runner.cold_until and runner.info is not None:
            rules = self._state.conditions.cold_rules
            rate = rules.find_rate(runner.info.service)
            if rate:
                runner.cold_budget.take(rate, rules.burst, now)
        task.ordered_at = now
        task.throttled_at = task.not_stalled_at = now
        task.ordered_number = runner.last_order
        task.listed = task.stopping = False
        self._state.durations.begin(task, now)
        ticket = self._state.planner.advice.find_ticket(task, now)
        order = messages.StartRun(
            runner.token, runner.last_order, task.incarnation, task.name,
            task.attempt, task.job.spec.payload, task.checkpoint,
            ticket,
            task.throttle_percent,
        )  # fmt: skip
        self._state.deferred.append(
            effects.SendToAgent(runner.name, runner.token, order)
        )
        self._state.log_event(
            'run ordered', task=task.name, run=task.attempt, node=runner.name,
            resumed=bool(task.checkpoint), percent=task.throttle_percent,
        )  # fmt: skip

"""Carry out the orders of the owner on the runner: start, stop, throttle.

A start that got no answer may have been carried out, or may be carried out
later. It counts as unanswered until the runner answers, lists the run, or
accepts a stop that forbids the attempt.
"""

from kcr_agent.runner import client
from kcr_agent.runner import control_state
from kcr_agent.runner import run_lists
from kcr_jobs import messages
from kcr_jobs import runner_lease

# Pause before an unanswered start is repeated, in seconds.
START_RETRY_S = 0.05
# Pause before the stop that forbids an unanswered start is repeated, in
# seconds.
FORBID_RETRY_S = 0.2
# Tries of an order to throttle; the owner sends it only once.
THROTTLE_TRIES = 4


class Orders:
    """Carry out orders under the lease, and repeat unanswered ones."""

    def __init__(
        self, state: control_state.State, lists: run_lists.RunLists
    ) -> None:
        self._state = state
        self._lists = lists

    # Starts.

    def start(self, msg: messages.StartRun) -> None:
        """Carry out an order to start a run."""
        state = self._state
        state.lease.last_order = max(state.lease.last_order, msg.number)
        if state.info is None or msg.life != state.info.incarnation:
            state.log.warning(
                'start for another incarnation ignored', task=msg.task
            )
            return
        if state.is_leaving():
            state.log.warning(
                'start on a draining runner ignored', task=msg.task
            )
            return
        if state.starts_closed:
            state.log.warning(
                'start in an evacuated zone ignored', task=msg.task
            )
            return
        order = runner_lease.StartOrder(msg.number, msg.attempt)
        state.lease.start_orders[msg.task] = order
        state.spawn(self._start(msg, order, state.term))

    async def _start(
        self,
        msg: messages.StartRun,
        order: runner_lease.StartOrder,
        term: int,
    ) -> None:
        state = self._state
        assert state.info is not None
        info = state.info
        # Whether an earlier try got no answer, so that the runner may still
        # carry it out.
        unanswered = False
        while state.is_current(term) and not order.withdrawn:
            sent_at = state.now()
            deadline_ms = state.lease.deadline_ms(sent_at)
            reason = _find_obstacle(state, deadline_ms)
            if reason or deadline_ms is None:
                await self._settle(msg, order, term, reason, unanswered)
                return
            got = await state.runner.start(
                info, msg.token, msg.task, msg.attempt, msg.payload,
                deadline_ms, msg.saved, msg.ticket,
            )  # fmt: skip
            if not state.is_current(term):
                return
            if isinstance(got, client.Done):
                await self._record_started(msg, order, sent_at, term)
                return
            if order.answered_at is not None:
                return
            if isinstance(got, client.Refused):
                open_try = unanswered and not got.forbids
                await self._settle(msg, order, term, got.reason, open_try)
                return
            if isinstance(got, client.NotSent):
                # It is sent anew, with the deadline of that time.
                await state.pause(START_RETRY_S)
                continue
            unanswered = True
            state.log.warning(
                'start unanswered', task=msg.task, run=msg.attempt,
                reason=got.reason,
            )  # fmt: skip
            if not await self._may_repeat(order, term):
                return

    async def _record_started(
        self,
        msg: messages.StartRun,
        order: runner_lease.StartOrder,
        sent_at: float,
        term: int,
    ) -> None:
        state = self._state
        order.answered_at = state.now()
        state.ctx.metrics.record_ms('start', (state.now() - sent_at) * 1000.0)
        state.log.info('run started', task=msg.task, run=msg.attempt)
        if msg.percent < 100:
            throttle = messages.ThrottleRun(
                msg.token, msg.task, msg.attempt, msg.percent
            )
            await self._throttle(throttle, term)

    async def _settle(
        self,
        msg: messages.StartRun,
        order: runner_lease.StartOrder,
        term: int,
        reason: str,
        unanswered: bool,
    ) -> None:
        """Give a start up; forbid it first if a try of it is unanswered."""
        if unanswered:
            await self._forbid_start(msg, order, term, reason)
        else:
            self._record_refused_start(msg, order, reason)

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
        state = self._state
        state.log.warning(
            'unanswered start given up', task=msg.task, run=msg.attempt,
            reason=reason,
        )  # fmt: skip
        assert state.info is not None
        info = state.info
        while state.is_current(term):
            if order.answered_at is not None:
                return
            got = await state.runner.stop(
                info, msg.token, msg.task, msg.attempt
            )
            if not state.is_current(term):
                return
            if _forbids_start(got):
                self._record_refused_start(msg, order, reason)
                return
            await state.pause(FORBID_RETRY_S)

    async def _may_repeat(
        self, order: runner_lease.StartOrder, term: int
    ) -> bool:
        """Wait until a new list shows whether a start may be repeated.

        The start may have been carried out, and the run may even have ended.
        A runner that was restarted under the same id meanwhile has forgotten
        that, and would run the task once more. A truncated list may leave out
        its end.
        """
        state = self._state
        await state.pause(START_RETRY_S)
        while state.is_current(term) and not order.withdrawn:
            if state.is_leaving():
                # It is not repeated; the start forbids the attempt.
                return order.answered_at is None
            queried_at = state.now()
            got = await self._lists.query(queried_at, 0)
            if not state.is_current(term):
                return False
            if isinstance(got, client.RunList):
                if not self._lists.is_of_incarnation(got):
                    return False
                self._lists.record_listed_starts(got, queried_at)
                if order.answered_at is not None or not got.truncated:
                    return order.answered_at is None
            await state.pause(run_lists.LIST_RETRY_S)
        return False

    def _record_refused_start(
        self,
        msg: messages.StartRun,
        order: runner_lease.StartOrder,
        reason: str,
    ) -> None:
        order.answered_at = self._state.now()
        self._state.ctx.metrics.count('start_refused')
        self._state.log.warning(
            'start refused', task=msg.task, run=msg.attempt, reason=reason
        )

    # Stops and shares.

    def stop(self, msg: messages.StopRun) -> None:
        """Carry out an order to stop a run."""
        order = self._state.lease.start_orders.get(msg.task)
        if order is not None and order.attempt == msg.attempt:
            order.withdrawn = True
        self._state.spawn(self._stop(msg, order, self._state.term))

    async def _stop(
        self,
        msg: messages.StopRun,
        order: runner_lease.StartOrder | None,
        term: int,
    ) -> None:
        state = self._state
        assert state.info is not None
        got = await state.runner.stop(
            state.info, msg.token, msg.task, msg.attempt
        )
        if not state.is_current(term):
            return
        if _forbids_start(got):
            if order is not None and order.answered_at is None:
                # The runner rejects the start if it arrives later.
                order.answered_at = state.now()
            state.log.info('run stopped', task=msg.task, run=msg.attempt)
        elif not isinstance(got, client.Done):
            state.log.warning(
                'stop failed', task=msg.task, run=msg.attempt,
                reason=got.reason,
            )  # fmt: skip

    def throttle(self, msg: messages.ThrottleRun) -> None:
        """Carry out an order to set the share of a run."""
        self._state.spawn(self._throttle(msg, self._state.term))

    async def _throttle(self, msg: messages.ThrottleRun, term: int) -> None:
        state = self._state
        assert state.info is not None
        for _ in range(THROTTLE_TRIES):
            got = await state.runner.throttle(
                state.info, msg.token, msg.task, msg.attempt,
                msg.percent,
            )  # fmt: skip
            if not state.is_current(term):
                return
            if not isinstance(got, client.NoAnswer):
                return
        state.log.warning('pace failed', task=msg.task, percent=msg.percent)


def _forbids_start(got: client.OrderResult) -> bool:
    """Return whether a runner rejects a start after its answer to a stop."""
    if isinstance(got, client.Refused):
        return got.forbids
    return isinstance(got, client.Done)


def _find_obstacle(state: control_state.State, deadline_ms: int | None) -> str:
    """Return why a start must not be sent now; empty if it may be."""
    if state.starts_closed:
        return 'zone is evacuated'
    if deadline_ms is None:
        return 'lease has expired'
    return 'runner is draining' if state.is_leaving() else ''

"""Extend the lease of the runner, read its lists of runs and report them.

The calls that extend the lease list what runs and what has ended. What is new
is reported to the owner at once; from time to time a report is complete, so
that the owner can compare it with what it expects.
"""

import dataclasses
import typing

from twisted.internet import defer

from kcr_agent.runner import client
from kcr_agent.runner import control_state
from kcr_jobs import messages
from kcr_jobs import types

# Longest wait of one list for the end of a run, in milliseconds; the usage
# that the runner lists is that of the last half second.
LIST_WAIT_MS = 500
# Time between complete reports, in seconds.
REPORT_INTERVAL_S = 0.45
# Pause after a list has failed, in seconds.
LIST_RETRY_S = 0.2


class RunLists:
    """Extend the lease, and report the lists that come back."""

    def __init__(self, state: control_state.State) -> None:
        self._state = state
        # Time of the last complete report under the lease; none before it.
        self._reported_at: float | None = None
        # Number of the last ended run that was reported under the lease.
        self._last_end_sent = 0
        # Whether the runner answered the last query for its runs.
        self._runner_answers = True

    def begin(self) -> None:
        """Begin to extend a lease that was granted."""
        self._last_end_sent = 0
        self._reported_at = None
        self._state.spawn(self._extend_loop(self._state.term))

    def query(
        self, queried_at: float, wait_ms: int
    ) -> defer.Deferred[client.RunList | client.Refused | client.NoAnswer]:
        """Extend the lease as far as it is confirmed, and list the runs."""
        state = self._state
        assert state.info is not None
        return state.runner.extend_lease(
            state.info,
            state.lease.token,
            state.lease.cursor,
            state.lease.deadline_ms(queried_at),
            wait_ms,
        )

    async def _extend_loop(self, term: int) -> None:
        state = self._state
        wait_ms = 0
        while state.is_current(term):
            queried_at = state.now()
            got = await self.query(queried_at, wait_ms)
            if not state.is_current(term):
                return
            self._update_runner_answers(got)
            if isinstance(got, client.RunList):
                self._handle_list(got, queried_at)
                # Until the first confirmation the lists wait only briefly, so
                # that the runner soon gets a deadline.
                wait_ms = LIST_WAIT_MS if state.lease.expires_at else 20
            else:
                await state.pause(LIST_RETRY_S)

    def _update_runner_answers(self, got: typing.Any) -> None:
        answers = isinstance(got, client.RunList)
        if answers != self._runner_answers:
            self._runner_answers = answers
            if answers:
                self._state.log.info('runner answers again')
            else:
                self._state.log.warning(
                    'runner does not answer', reason=got.reason
                )

    def _handle_list(
        self, run_list: client.RunList, queried_at: float
    ) -> None:
        if not self.is_of_incarnation(run_list):
            return
        now, lease = self._state.now(), self._state.lease
        lease.set_clock(run_list.clock_ms, now)
        lease.drop_confirmed_starts(queried_at)
        self.record_listed_starts(run_list, queried_at)
        new_ends = tuple(
            e for e in run_list.ended if e.number > self._last_end_sent
        )
        last = self._reported_at
        complete = last is None or now - last >= REPORT_INTERVAL_S
        if new_ends or complete:
            unanswered = lease.list_unconfirmed_starts(queried_at)
            # A complete report repeats the ends that are not confirmed: if a
            # report with ends was lost, their tasks would look as if they had
            # vanished, and would be started again.
            ends = run_list.ended if complete else new_ends
            self.report(run_list.running, ends, complete, now, unanswered)

    def is_of_incarnation(self, run_list: client.RunList) -> bool:
        """Return whether a list is of the known incarnation of the runner.

        If not, drop the lease; the next heartbeat starts the new incarnation.
        """
        state = self._state
        assert state.info is not None
        if not run_list.born_ms or run_list.born_ms == state.info.born_ms:
            return True
        state.log.info(
            'runner restarted, lease dropped', born_ms=run_list.born_ms
        )
        state.answered_born_ms = max(state.answered_born_ms, run_list.born_ms)
        state.drop_lease()
        return False

    def record_listed_starts(
        self, run_list: client.RunList, queried_at: float
    ) -> None:
        """Record the starts that a list shows, as running or as ended."""
        listed = [(run.task, run.attempt) for run in run_list.running]
        listed += [(end.task, end.attempt) for end in run_list.ended]
        for name, attempt in listed:
            order = self._state.lease.start_orders.get(name)
            if order is not None and order.attempt == attempt:
                if order.answered_at is None:
                    order.answered_at = queried_at

    def report(
        self,
        running: tuple[types.ReportedRun, ...],
        ended: tuple[types.ReportedEnd, ...],
        complete: bool,
        now: float,
        unanswered: tuple[str, ...] = (),
    ) -> None:
        """Report runs to the owner, if there is a lease."""
        state = self._state
        lease, info = state.lease, state.info
        if not lease.token or not state.owner_session or info is None:
            return
        if state.runner_left:
            info = dataclasses.replace(info, draining=True, remaining_ms=0)
        self._last_end_sent = max(
            self._last_end_sent, *(e.number for e in ended), 0
        )
        if complete:
            self._reported_at = now
        report = messages.RunnerReport(
            lease.token,
            lease.next_report(now),
            info,
            complete,
            running if complete else (),
            ended,
            lease.last_order,
            unanswered if complete else (),
        )
        state.send_to_owner(report)

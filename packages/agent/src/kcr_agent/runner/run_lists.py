"""Extend the lease of the runner, read its lists of runs and report them.

The calls that extend the lease list what runs and what has ended. What is new
is reported to the owner at once; from time to time a report is complete, so
that the owner can compare it with what it expects. A list that may be
truncated gives no complete report: the tasks that it does not show may have
ended.
"""

import dataclasses
import typing

from twisted.internet import defer

from kcr_agent.runner import client
from kcr_agent.runner import control_state
from kcr_jobs import messages
from kcr_jobs import report_parts
from kcr_jobs import types

# Longest wait of one list for the end of a run, in milliseconds; the usage
# that the runner lists is that of the last half second.
LIST_WAIT_MS = 500
# Time between complete reports, in seconds.
REPORT_INTERVAL_S = 0.45
# Longest wait for the confirmation of listed ends, in seconds: after a list
# with new ends, and after one without. The runner returns a list with ends at
# once, so that without a wait the next one would show the same.
CONFIRM_WAIT_S = 0.03
STALLED_WAIT_S = 0.1
# Pause after a list has failed, in seconds.
LIST_RETRY_S = 0.2
# Time in which a runner may answer under a new lease before its older leases
# are reported as expired, in seconds. Its first list may show work as done
# that the owner would start again otherwise.
ANSWER_WAIT_S = 1.5


class RunLists:
    """Extend the lease, and report the lists that come back."""

    def __init__(self, state: control_state.State) -> None:
        self._state = state
        # Time of the last report of a whole list under the lease; none before
        # it.
        self._reported_at: float | None = None
        # Time at which the lease was granted, and whether it was reported that
        # the older ones have expired.
        self._began_at = 0.0
        self._reported_expiry = False
        # Number of the last ended run that was reported under the lease.
        self._last_end_sent = 0
        # Number of the end whose confirmation is awaited; fired with it.
        self._awaited: tuple[int, defer.Deferred[None]] | None = None
        # Whether the last reported list may have been truncated.
        self._truncated = False
        # Whether the runner answered the last query for its runs, and whether
        # its list showed any.
        self._runner_answers = True
        self._lists_runs = False

    @property
    def has_runs(self) -> bool:
        """Return whether the runner answers and has runs."""
        return self._runner_answers and self._lists_runs

    def begin(self) -> None:
        """Begin to extend a lease that was granted."""
        self._last_end_sent = 0
        self._reported_at = None
        self._began_at, self._reported_expiry = self._state.now(), False
        self._state.spawn(self._extend_loop(self._state.term))

    def report_expiry(self, now: float) -> None:
        """Report once that a silent runner has ended all its runs."""
        # A new owner does not know how far the lease was extended. It would
        # wait a whole lease from its take-over, however often it is replaced.
        lease = self._state.lease
        if self._reported_expiry or not lease.has_expired(now):
            return
        listed = self._reported_at is not None
        silent = not listed and not self._runner_answers
        if silent and now - self._began_at >= ANSWER_WAIT_S:
            self._reported_expiry = True
            self._state.log.info('lease expired', token=lease.token)
            self.report((), (), now, expired=True)

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
                last_sent = self._last_end_sent
                self._handle_list(got, queried_at)
                if state.is_current(term):
                    await self._wait_confirmed(got, last_sent)
                # Until the first confirmation the lists wait only briefly, so
                # that the runner soon gets a deadline.
                wait_ms = LIST_WAIT_MS if state.lease.expires_at else 20
            else:
                await state.pause(LIST_RETRY_S)

    async def _wait_confirmed(
        self, run_list: client.RunList, last_sent: int
    ) -> None:
        """Wait until the owner has confirmed the ends of a list."""
        last = max((end.number for end in run_list.ended), default=0)
        if last <= self._state.lease.cursor:
            return
        self._awaited = (last, defer.Deferred())
        wait_s = CONFIRM_WAIT_S if last > last_sent else STALLED_WAIT_S
        timer = self._state.ctx.reactor.callLater(
            wait_s, self._end_wait, self._awaited
        )
        await self._awaited[1]
        if timer.active():
            timer.cancel()

    def confirmed(self) -> None:
        """Go on with the next list if the awaited ends are confirmed."""
        awaited = self._awaited
        if awaited is not None and self._state.lease.cursor >= awaited[0]:
            self._end_wait(awaited)

    def _end_wait(self, awaited: tuple[int, defer.Deferred[None]]) -> None:
        if not awaited[1].called:
            awaited[1].callback(None)

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
        self._lists_runs = bool(run_list.running)
        now, lease = self._state.now(), self._state.lease
        lease.set_clock(run_list.clock_ms, now)
        lease.drop_confirmed_starts(queried_at)
        self.record_listed_starts(run_list, queried_at)
        new_ends = tuple(
            e for e in run_list.ended if e.number > self._last_end_sent
        )
        last = self._reported_at
        due = last is None or now - last >= REPORT_INTERVAL_S
        if due:
            # It repeats the ends that are not confirmed: if a report with
            # ends was lost, their tasks would look as if they had vanished,
            # and would be started again.
            self._reported_at = now
            unanswered = lease.list_unconfirmed_starts(queried_at)
            self._report_list(run_list, unanswered, now)
        elif new_ends:
            self.report((), new_ends, now)

    def _report_list(
        self, run_list: client.RunList, unanswered: tuple[str, ...], now: float
    ) -> None:
        """Report a whole list, in parts if it does not fit into a message."""
        if run_list.truncated != self._truncated:
            self._truncated = run_list.truncated
            self._state.log.info(
                'list truncated' if run_list.truncated else 'list complete',
                ends=len(run_list.ended),
            )
        if run_list.truncated:
            self._state.ctx.metrics.count('list_truncated')
        parts = report_parts.split(run_list.running, run_list.ended)
        for number, part in enumerate(parts, 1):
            complete = number == len(parts) and not run_list.truncated
            self.report(
                tuple(part.running), tuple(part.ended), now, complete,
                unanswered if complete else (), number if parts[1:] else 0,
            )  # fmt: skip

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
        state.answered_born_ms = run_list.born_ms
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
        now: float,
        complete: bool = False,
        unanswered: tuple[str, ...] = (),
        part: int = 0,
        expired: bool = False,
    ) -> None:
        """Report runs to the owner, if there is a lease."""
        state = self._state
        lease, info = state.lease, state.info
        if not lease.token or not state.owner_session or info is None:
            return
        if state.deregistered and info.draining:
            info = dataclasses.replace(info, remaining_ms=0)
        self._last_end_sent = max(
            self._last_end_sent, *(e.number for e in ended), 0
        )
        report = messages.RunnerReport(
            lease.token, lease.next_report(now), info, complete, running,
            ended, lease.last_order, unanswered, part, state.deregistered,
            expired,
        )  # fmt: skip
        state.send_to_owner(report)

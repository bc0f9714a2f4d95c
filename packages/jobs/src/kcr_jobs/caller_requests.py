"""Answer callers: accept, refuse and cancel jobs, and report states.

The controller calls this with the requests that the owner task receives. A
reply that depends on a record is deferred until the record is durable.
"""

import dataclasses
import typing

from kcr_jobs import admission
from kcr_jobs import controller_state
from kcr_jobs import effects
from kcr_jobs import evacuation
from kcr_jobs import job_table
from kcr_jobs import job_work
from kcr_jobs import occurrences
from kcr_jobs import records
from kcr_jobs import types


# Maximum number of open jobs; one of 21 tasks with a payload of 2 KB takes
# 14 KB.
MAX_OPEN_JOBS = 4000
# Time after which a caller may retry a refused job, in milliseconds.
RETRY_AFTER_MS = 1000
# Time after a takeover in which the agents find the owner, in seconds; until
# then the known runners may be those of one zone only.
DISCOVERY_S = 2.0


class CallerRequests:
    """Take the decisions on requests of callers."""

    def __init__(self, state: controller_state.State) -> None:
        self._state = state

    def submit(
        self, ref: typing.Any, spec: types.JobSpec, now: float, wall_ms: float
    ) -> None:
        """Accept a job once, however often it is submitted."""
        if spec.job_id in self._state.table.jobs:
            self._state.log_event('job repeated', job=spec.job_id)
            self._state.deferred.append(effects.Reply(ref, 'accepted'))
            return
        early = self._state.table.early_cancels.get(spec.job_id)
        if early is not None and spec.matches_base_url(early.base_url):
            self._accept_cancelled(ref, spec, now, wall_ms)
            return
        if len(self._state.open_jobs) >= MAX_OPEN_JOBS:
            self.refuse(ref, spec.job_id, 'too many open jobs')
            return
        tasks = sum(step.count for step in spec.steps)
        if self._state.count_open_tasks() + tasks > occurrences.MAX_OPEN_TASKS:
            self.refuse(ref, spec.job_id, 'too many open tasks', tasks=tasks)
            return
        reason = self._find_refusal(spec.queue, now)
        if reason:
            self.refuse(ref, spec.job_id, reason)
            return
        draft = job_work.make_draft(spec, now)
        if self._refuse_if_too_late(ref, draft, now):
            return
        self._state.append(records.Accepted(spec, int(wall_ms)))
        job = self._state.table.jobs[spec.job_id]
        job.accepted_at = now
        job.target_s, job.chain_left_s = draft.target_s, draft.chain_left_s
        job.beyond_share = draft.beyond_share
        job.size_behind = draft.size_behind
        job.expected_late = draft.expected_late
        self._state.update_open_jobs(job, now)
        self._state.deferred.append(effects.Reply(ref, 'accepted'))
        self._state.log_event(
            'job accepted',
            job=spec.job_id,
            queue=spec.queue.name,
            steps=len(spec.steps),
            tasks=tasks,
            open_jobs=len(self._state.open_jobs),
        )

    def _accept_cancelled(
        self, ref: typing.Any, spec: types.JobSpec, now: float, wall_ms: float
    ) -> None:
        """Accept a job whose cancel came first; it is cancelled at once."""
        self._state.append(
            records.Restated(spec, int(wall_ms), True, False, ())
        )
        self._state.table.jobs[spec.job_id].accepted_at = now
        self._state.deferred.append(effects.FinalizeJob(spec.job_id))
        self._state.deferred.append(effects.Reply(ref, 'accepted'))
        self._state.log_event(
            'job submitted after its cancel', job=spec.job_id
        )

    def _find_refusal(self, queue: types.Queue, now: float) -> str:
        """Return why no runner may start jobs of a queue; else empty.

        A service without a known runner refuses nothing if its route has no
        list, as its agents may be on their way to this owner.
        """
        if now - self._state.began_at < DISCOVERY_S:
            return ''
        limits = self._state.conditions
        zones = {
            runner.info.zone
            for runner in self._state.runners.values()
            if runner.info is not None and runner.info.service == queue.service
        }
        allowed = {z for z in zones if limits.region_rules.allows(queue, z)}
        if not allowed and limits.region_rules.find_allowed(queue):
            return 'no runner in the allowed regions'
        if evacuation.forbids_all(limits.evacuation_view, allowed):
            self._state.count('zone_evacuations', 'job_refused')
            return 'all zones are evacuated'
        return ''

    def refuse(
        self,
        ref: typing.Any,
        job_id: str,
        reason: str,
        wait_ms: float = RETRY_AFTER_MS,
        **fields: typing.Any,
    ) -> None:
        """Refuse a job that is not in the log; `fields` go into the log."""
        self._state.log_event(
            'job refused', job=job_id, reason=reason, **fields
        )
        retry_ms = admission.infer_retry_ms(job_id, wait_ms)
        reply = effects.Reply(ref, 'refused', reason, retry_ms)
        self._state.immediate.append(reply)

    def _refuse_if_too_late(
        self, ref: typing.Any, draft: job_table.Job, now: float
    ) -> bool:
        """Refuse a job that would end too late; return whether it was."""
        state = self._state
        if state.overload.shares or state.overload.refuses:
            state.shares.prepare(draft, now)
            state.shares.record_submitted(draft)
        if not state.overload.refuses:
            return False
        verdict = state.admission.decide(
            draft, state.open_jobs.values(), state.runners.values(), now,
            state.conditions.evacuation_view,
        )  # fmt: skip
        state.count('admission', verdict.effect)
        if verdict.effect != admission.REFUSED:
            return False
        state.shares.record_decided(draft, False, now)
        self.refuse(
            ref, draft.spec.job_id, verdict.reason, verdict.wait_ms,
            ends_in_s=round(verdict.ends_in_s, 3),
            useful_s=round(verdict.useful_s, 3),
            free_cores=round(verdict.free_cores, 1),
            ahead_core_s=round(verdict.ahead_core_s, 1),
        )  # fmt: skip
        return True

    def cancel(
        self, ref: typing.Any, job_id: str, now: float, base_url: str = ''
    ) -> None:
        """Cancel a job and stop its runs."""
        # A call for which no route is known has its base URL. It cancels the
        # job only if the job was submitted with the same one: the route was
        # removed or moved since, or has not reached the scheduler.
        job = self._state.table.jobs.get(job_id)
        if job is None and base_url:
            self._cancel_unrouted(ref, job_id, now, base_url)
            return
        if job is None:
            self._cancel_unknown(ref, job_id, now)
            return
        if not job.spec.matches_base_url(base_url):
            self._state.log_event(
                'cancel with another base URL', job=job_id, called=base_url,
                submitted=job.spec.base_url,
            )  # fmt: skip
            self._state.immediate.append(effects.Reply(ref, 'no_route'))
            return
        if job.is_open():
            self._state.append(records.Cancelled(job_id))
            self._state.log_event('job cancelled', job=job_id)
            self._state.update_open_jobs(job, now)
        self._state.deferred.append(effects.Reply(ref, 'cancelled'))

    def _cancel_unknown(
        self, ref: typing.Any, job_id: str, now: float
    ) -> None:
        """Cancel a job that may be submitted later; reply that it is unknown.

        A copy of its submission may still be under way, as through a scheduler
        that is suspended or over a connection that was interrupted.
        """
        early = self._state.table.early_cancels
        self._state.log_event(
            'cancel of unknown job', job=job_id, early_cancels=len(early)
        )
        if len(early) >= job_table.MAX_EARLY_CANCELS and job_id not in early:
            detail = 'too many cancels of unknown jobs'
            retry_ms = admission.infer_retry_ms(job_id, RETRY_AFTER_MS)
            reply = effects.Reply(ref, 'refused', detail, retry_ms)
            self._state.immediate.append(reply)
            return
        self._record_early_cancel(job_id, now, '')
        self._state.deferred.append(effects.Reply(ref, 'unknown_job'))

    def _cancel_unrouted(
        self, ref: typing.Any, job_id: str, now: float, base_url: str
    ) -> None:
        """Cancel a job that may be submitted later with a base URL."""
        # The caller is told that there is no such route, as there may never
        # have been one. It gets that reply also if there is no room for the
        # cancel, and only once an append has proved that the job is unknown.
        early = self._state.table.early_cancels
        self._state.log_event(
            'cancel without route', job=job_id, called=base_url,
            early_cancels=len(early),
        )  # fmt: skip
        known = early.get(job_id)
        room = known is not None or len(early) < job_table.MAX_EARLY_CANCELS
        # One without a base URL applies to every submission.
        if room and (known is None or known.base_url):
            self._record_early_cancel(job_id, now, base_url)
        else:
            self._state.pending_records.append(records.Renewed())
        self._state.deferred.append(effects.Reply(ref, 'no_route'))

    def _record_early_cancel(
        self, job_id: str, now: float, base_url: str
    ) -> None:
        # A repeated cancel begins its retention anew.
        self._state.append(records.Cancelled(job_id, base_url))
        early = self._state.table.early_cancels
        early[job_id] = dataclasses.replace(early[job_id], at=now)

    def _reply_unknown(self, ref: typing.Any) -> None:
        """Reply that a job does not exist, once an append has proved it.

        An owner that was replaced without noticing, such as one that was
        suspended, does not know the jobs of its successor.
        """
        self._state.pending_records.append(records.Renewed())
        self._state.deferred.append(effects.Reply(ref, 'unknown_job'))

    def report_state(self, ref: typing.Any, job_id: str) -> None:
        """Reply with the state of a job.

        A job whose end is not durable yet is still reported as running.
        """
        job = self._state.table.jobs.get(job_id)
        if job is None:
            self._state.log_event('state of unknown job', job=job_id)
            self._reply_unknown(ref)
            return
        state = job.state
        if not job.is_open() and not job.finalized:
            state = job_table.RUNNING
        self._state.immediate.append(effects.Reply(ref, 'known', state))

    def count_pending(self, ref: typing.Any, queue: str) -> None:
        """Reply with the number of jobs of a queue that have not begun."""
        number = sum(
            not job.begun and not job.spec.repeat
            for job in self._state.open_jobs.values()
            if job.spec.queue.name == queue
        )
        self._state.immediate.append(effects.Reply(ref, 'known', '', number))

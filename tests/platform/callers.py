"""Submit, query and cancel jobs as callers do, and check the answers.

The fault soak runs these callers in threads while it injects faults. Each
answer that breaks a guarantee to callers is recorded as a violation.
"""

import collections
from collections import abc
import dataclasses
import http.client
import json
import math
import random
import threading
import time
import typing

import deployment as deployments
import http_calls
import platform_fakes

from kcr_core import registry

# Time after its acceptance from which a job must be visible, in seconds:
# `visible_ms` of the requirements.
VISIBLE_TIMEOUT_S = 3.0
# Time after a cancel from which no task of the job may start, in seconds:
# `cancel_ms` of the requirements, and the longest delay of an order by a
# runner.
CANCEL_TIMEOUT_S = 3.0 + 5.0
# Maximum number of tries of a submission or a cancellation.
MAX_TRIES = 10
# Times of the rule on runs of cancelled jobs (RULES.md of the requirements and
# docs/incidents/2026-12-06-cancelled-job-runs-on.md), in seconds: from the
# confirmation of the cancel until its runs are told to end (`cancel_ms`), the
# time that they may take for it (`KillGraceMs`), the calm after which a cancel
# without an answer and one near a fault counts (`AckMs`), and the time after
# which a run that began late counts.
CANCEL_S = 3.0
KILL_GRACE_S = 0.2
CALM_S = 5.0
BEGAN_LATE_S = 4.0
# Number of callers that submit at the same time; most of them wait for an
# answer or for the time of their cancel.
SUBMITTERS = 8
# Timeout of callers with little patience, in seconds.
SHORT_TIMEOUT_S = 0.3
# Longest wait of callers that cancel once for a time without an owner.
OWNERLESS_WAIT_S = 3.0
# Run times of tasks, and their weights, in seconds: of jobs that are to be
# completed; and of those that are cancelled, some of which go on for longer
# than the bounds above. `inf` is a step that runs until it is cancelled.
DURATIONS_S = ((0.3, 1.0, 2.5), (8, 2, 1))
CANCELLED_DURATIONS_S = ((0.3, 2.0, 12.0, math.inf), (2, 2, 2, 4))
LONG_DURATIONS_S = ((12.0, math.inf), (1, 3))
# Most tasks of a step that takes longer than these seconds, so that there is
# capacity left for the others.
LONG_S = 1.0
MAX_LONG_TASKS = 2


@dataclasses.dataclass(eq=False)
class Job:
    """Store a job and its state as reported to its caller."""

    job_id: str
    # Number of tasks by step; each step depends on the one before.
    counts: list[int]
    # Run time of each task, in seconds; infinite for a step that runs until
    # the job is cancelled.
    duration_s: float = platform_fakes.TASK_DURATION_S
    # Time at which the acceptance was reported, if it was.
    accepted_at: float | None = None
    # Whether a submission without an answer may have been accepted.
    unconfirmed: bool = False
    cancel_sent: bool = False
    # Time at which the cancel was confirmed, if it was.
    cancelled_at: float | None = None
    # Schedulers, and their processes, that received the cancel or answered it
    # with an error: while one of them lives, it has to carry it out.
    cancel_keepers: list[tuple[str, typing.Any]] = dataclasses.field(
        default_factory=list
    )

    def may_run(self) -> bool:
        """Return whether it was accepted, or may have been."""
        return self.accepted_at is not None or self.unconfirmed

    def list_tasks(self) -> list[str]:
        """Return the names of all tasks of the job."""
        return [
            f'{self.job_id}.0.{step}.{index}'
            for step, count in enumerate(self.counts)
            for index in range(count)
        ]

    def encode(self) -> bytes:
        """Return the body of its submission."""
        steps = [
            {'Count': count, 'Cpu': 500, 'MemMb': 10, 'DependsOn': [n - 1]}
            for n, count in enumerate(self.counts)
        ]
        del steps[0]['DependsOn']
        if self.duration_s == math.inf:
            steps = [{**step, 'LongRunning': True} for step in steps]
        body = {'Spec': str(self.duration_s), 'Phases': steps}
        return json.dumps(body).encode()


@dataclasses.dataclass(frozen=True, slots=True)
class Habit:
    """Store how some callers handle a job, and how many of them do so."""

    weight: float
    # Run times of their tasks and the weights of these, in seconds.
    durations_s: tuple[tuple[float, ...], tuple[int, ...]]
    handle: abc.Callable[['Callers', Job, 'Conns', random.Random], None]


# Persistent connections to the schedulers, by name.
Conns = dict[str, http.client.HTTPConnection]
HABITS: registry.Registry[Habit] = registry.Registry('habit of callers')


class Callers:
    """Run the threads that submit, cancel and query jobs."""

    def __init__(self, deployment: deployments.Deployment, seed: int) -> None:
        self.deployment = deployment
        self.jobs: list[Job] = []
        # Ids of the jobs that the soak submits itself.
        self.soak_jobs = {'f' * 16}
        # Descriptions of the guarantees that were violated.
        self.violations: list[str] = []
        self._seed = seed
        self._submitting_stopped = threading.Event()
        self._ended = threading.Event()
        self._threads = [
            threading.Thread(target=self._submit_all, args=(n,), daemon=True)
            for n in range(SUBMITTERS)
        ]
        self._watchers = [
            threading.Thread(target=work, daemon=True)
            for work in (self._watch, self._watch_routes)
        ]

    def start(self) -> None:
        """Start all threads."""
        for item in [*self._threads, *self._watchers]:
            item.start()

    def stop_submitting(self) -> None:
        """Stop new submissions and wait for those in progress."""
        self._submitting_stopped.set()
        for item in self._threads:
            item.join(http_calls.CALL_TIMEOUT_S * MAX_TRIES)

    def close(self) -> None:
        """Stop all threads."""
        self._submitting_stopped.set()
        self._ended.set()
        for item in [*self._threads, *self._watchers]:
            if item.is_alive():
                item.join(http_calls.CALL_TIMEOUT_S * 2)

    def _connect(self) -> Conns:
        """Return a persistent connection to each scheduler."""
        return {
            name: http.client.HTTPConnection(
                front, timeout=http_calls.CALL_TIMEOUT_S
            )
            for name, front in self.deployment.fronts.items()
        }

    # Submissions.

    def _submit_all(self, number: int) -> None:
        rng = random.Random(f'{self._seed}/{number}')
        conns = self._connect()
        habits = [habit for _, habit in HABITS.items()]
        weights = [habit.weight for habit in habits]
        while not self._submitting_stopped.wait(rng.uniform(0.05, 0.5)):
            habit = rng.choices(habits, weights)[0]
            job = make_job(habit, rng)
            self.jobs.append(job)
            habit.handle(self, job, conns, rng)

    def submit(self, job: Job, conns: Conns, rng: random.Random) -> None:
        """Submit a job until it is accepted or the caller gives up."""
        body = job.encode()
        for _ in range(MAX_TRIES):
            conn = conns[rng.choice(sorted(conns))]
            status, _ = http_calls.call(conn, 'POST', f'/q/{job.job_id}', body)
            if status == 200:
                job.accepted_at = time.monotonic()
                if rng.random() < 0.2:
                    http_calls.call(conn, 'POST', f'/q/{job.job_id}', body)
                return
            if status in (429, 503):
                if rng.random() < 0.2:
                    return
            elif status in (0, 502, 504):
                job.unconfirmed = True
            else:
                self.violations.append(
                    f'{job.job_id}: submission answered with {status}'
                )
            time.sleep(rng.uniform(0.05, 0.5))

    def submit_briefly(
        self, job: Job, name: str, timeout_s: float = SHORT_TIMEOUT_S
    ) -> None:
        """Submit a job once; wait for the answer for a short time."""
        front = self.deployment.fronts[name]
        status, _ = http_calls.call_once(
            front, 'POST', f'/q/{job.job_id}', job.encode(), timeout_s
        )
        if status == 200:
            job.accepted_at = time.monotonic()
        job.unconfirmed = status in (0, 502, 504)

    def cancel(
        self, job: Job, conns: Conns, rng: random.Random, tries: int
    ) -> None:
        """Cancel a job until it is confirmed or the tries are used up."""
        job.cancel_sent = True
        self.deployment.cancelling += 1
        try:
            for _ in range(tries):
                if self._cancel_once(job, conns, rng):
                    return
                time.sleep(rng.uniform(0.05, 0.5))
        finally:
            self.deployment.cancelling -= 1

    def _cancel_once(self, job: Job, conns: Conns, rng: random.Random) -> bool:
        """Try to cancel a job; return whether it was confirmed."""
        names = [n for n in sorted(conns) if n != self._held]
        name = rng.choice(names or sorted(conns))
        process = self.deployment.processes[name]
        status, _ = http_calls.call(conns[name], 'DELETE', f'/q/{job.job_id}')
        if status == 410 and job.accepted_at is not None:
            self.violations.append(
                f'{job.job_id}: accepted, but unknown to a cancel'
            )
        if status in (503, 504):
            job.cancel_keepers.append((name, process))
        if status not in (200, 410):
            return False
        job.cancelled_at = time.monotonic()
        return True

    def leave(self, job: Job, rng: random.Random) -> None:
        """Send the cancel of a job, and leave before it is answered."""
        name = rng.choice(sorted(self.deployment.fronts))
        process = self.deployment.processes[name]
        job.cancel_sent = True
        front = self.deployment.fronts[name]
        if http_calls.send_only(front, 'DELETE', f'/q/{job.job_id}'):
            job.cancel_keepers.append((name, process))

    def wait_ownerless(self, timeout_s: float) -> None:
        """Wait for a time without an owner, until the timeout."""
        until = time.monotonic() + timeout_s
        while not self.deployment.ownerless and time.monotonic() < until:
            time.sleep(0.05)

    def cancel_once(self, job: Job, rng: random.Random) -> None:
        """Try once to cancel a job, through a scheduler that runs."""
        fronts = self.deployment.fronts
        names = [n for n in self.deployment.list_running() if n in fronts]
        name = rng.choice(names or sorted(fronts))
        conn = http.client.HTTPConnection(
            fronts[name], timeout=http_calls.CALL_TIMEOUT_S
        )
        self.cancel(job, {name: conn}, rng, 1)
        conn.close()

    @property
    def _held(self) -> str:
        return self.deployment.held

    def choose_first(self, rng: random.Random) -> str:
        """Return a scheduler to submit to, the suspended one if any is."""
        return self._held or rng.choice(sorted(self.deployment.fronts))

    # Queries.

    def _watch(self) -> None:
        rng = random.Random(self._seed)
        conns = self._connect()
        while not self._ended.wait(0.05):
            known = [j for j in self.jobs if j.accepted_at is not None]
            if known:
                job = rng.choice(known[-40:])
                self._check_state(job, conns[rng.choice(sorted(conns))])

    def _check_state(self, job: Job, conn: http.client.HTTPConnection) -> None:
        assert job.accepted_at is not None
        sent_at = time.monotonic()
        status, body = http_calls.call(conn, 'GET', f'/q/{job.job_id}')
        if status == 410 and sent_at - job.accepted_at > VISIBLE_TIMEOUT_S:
            self.violations.append(
                f'{job.job_id}: accepted, but unknown to a query'
            )
        if status != 200:
            return
        state = body.get('State')
        if state == 'failed':
            self.violations.append(f'{job.job_id}: failed, but no task fails')
        if state == 'cancelled' and not job.cancel_sent:
            self.violations.append(
                f'{job.job_id}: cancelled, but no cancel was sent'
            )
        if state == 'completed':
            missing = set(job.list_tasks()) - self.deployment.checker.done
            if missing:
                self.violations.append(
                    f'{job.job_id}: completed, but not done: {missing}'
                )

    def _watch_routes(self) -> None:
        """Check that no scheduler process returns to older routes."""
        confirmed: dict[str, tuple[typing.Any, int]] = {}
        while not self._ended.wait(0.1):
            for name, front in self.deployment.fronts.items():
                process = self.deployment.processes[name]
                version = self.deployment.version
                status, _ = http_calls.call_once(front, 'GET', f'/v{version}/')
                if process is not self.deployment.processes[name]:
                    continue
                if version != self.deployment.version:
                    continue
                if status == 404 and confirmed.get(name) == (process, version):
                    self.violations.append(
                        f'{name} dropped configuration v{version}'
                    )
                if status == 200:
                    confirmed[name] = (process, version)

    # Final checks.

    def list_expected(self) -> list[Job]:
        """Return the accepted jobs that must be completed in the end."""
        return [
            job
            for job in self.jobs
            if job.accepted_at is not None and not job.cancel_sent
        ]

    def query_state(self, job: Job) -> str:
        """Return the state that a scheduler reports; empty for none."""
        for front in self.deployment.fronts.values():
            status, body = http_calls.call_once(
                front, 'GET', f'/q/{job.job_id}'
            )
            if status == 200:
                return str(body.get('State'))
        return ''

    def check_end(self) -> None:
        """Check what is only certain after all faults have ended."""
        checker = self.deployment.checker
        submitted = set(self.soak_jobs)
        for job in list(self.jobs):
            submitted.add(job.job_id)
            started = [t for t in job.list_tasks() if t in checker.started]
            refused = job.accepted_at is None and not job.unconfirmed
            if refused and started:
                self.violations.append(
                    f'{job.job_id}: refused, but its tasks started'
                )
            for task in started if job.cancelled_at is not None else ():
                late = checker.started[task] - (job.cancelled_at or 0.0)
                if late > CANCEL_TIMEOUT_S:
                    self.violations.append(
                        f'{task} started {late:.1f} s after the cancel'
                    )
            self._check_order(job)
        for task in checker.started:
            if task.partition('.')[0] not in submitted:
                self.violations.append(
                    f'{task} started, but its job was not submitted'
                )

    def find_running_on(
        self, calm_from: float, calm_to: float
    ) -> tuple[list[str], bool]:
        """Check the runs of cancelled jobs in a time without faults.

        Return what is wrong, and whether a run that must end still goes on.
        """
        checker, found, waiting = self.deployment.checker, [], False
        jobs = {job.job_id: job for job in self.jobs if job.cancel_sent}
        with checker.lock:
            runs = list(checker.runs)
        for run in runs:
            job = jobs.get(run.task.partition('.')[0])
            if job is None or not self._has_cancel(job):
                continue
            counts_from = calm_from + CALM_S
            if job.cancelled_at is not None:
                counts_from = max(counts_from, job.cancelled_at)
            if run.began_at > counts_from:
                counts_from = run.began_at + BEGAN_LATE_S
            due = counts_from + CANCEL_S + KILL_GRACE_S
            if run.ended_at is None and calm_to < due:
                waiting = True
            if min(run.ended_at or math.inf, calm_to) > due:
                late_s = (run.ended_at or calm_to) - due
                found.append(
                    f'{run.task}, run {run.attempt}, on {run.runner} goes on'
                    f' {late_s:.1f} s after the bound;'
                    f' accepted: {job.accepted_at is not None}, confirmed:'
                    f' {job.cancelled_at is not None}'
                )
        return found, waiting

    def _has_cancel(self, job: Job) -> bool:
        """Return whether a cancel is confirmed, or a scheduler has it."""
        return job.cancelled_at is not None or any(
            self.deployment.processes[name] is process
            and process.poll() is None
            for name, process in job.cancel_keepers
        )

    def find_not_cancelled(self) -> list[str]:
        """Return the jobs whose cancel was confirmed, but that go on."""
        return [
            f'job {job.job_id} is {state}, and its cancel was confirmed'
            for job in list(self.jobs)
            if job.cancelled_at is not None
            and (state := self.query_state(job)) in ('queued', 'running')
        ]

    def _check_order(self, job: Job) -> None:
        checker = self.deployment.checker
        if len(job.counts) < 2:
            return
        first = [t for t in job.list_tasks() if '.0.0.' in t]
        starts = [
            checker.first_start[t]
            for t in job.list_tasks()
            if '.0.1.' in t and t in checker.first_start
        ]
        ends = [checker.first_done.get(t, float('inf')) for t in first]
        if starts and max(ends) > min(starts):
            self.violations.append(
                f'{job.job_id}: a step started before the one it needs'
            )

    def count(self) -> collections.Counter[str]:
        """Return the number of jobs by their outcome for the caller."""
        kinds: collections.Counter[str] = collections.Counter()
        for job in self.jobs:
            if job.cancel_sent:
                known = 'known' if job.accepted_at is not None else 'unknown'
                told = 'yes' if job.cancelled_at is not None else 'no'
                kinds[f'cancelled, {known}, told: {told}'] += 1
            elif job.accepted_at is not None:
                kinds['accepted'] += 1
            else:
                kinds['in doubt' if job.unconfirmed else 'refused'] += 1
        return kinds


def make_job(habit: Habit, rng: random.Random) -> Job:
    """Return a job with a run time that suits the habit of its caller."""
    duration_s = rng.choices(*habit.durations_s)[0]
    steps = 1 if duration_s == math.inf else rng.choice((1, 2))
    most = MAX_LONG_TASKS if duration_s > LONG_S else 5
    return Job(
        f'{rng.getrandbits(64):016x}',
        [rng.randint(1, most) for _ in range(steps)],
        duration_s,
    )


def _register(
    name: str,
    weight: float,
    durations_s: tuple[
        tuple[float, ...], tuple[int, ...]
    ] = CANCELLED_DURATIONS_S,
) -> abc.Callable[
    [abc.Callable[[Callers, Job, Conns, random.Random], None]], None
]:
    def decorate(
        handle: abc.Callable[[Callers, Job, Conns, random.Random], None],
    ) -> None:
        HABITS.register(name)(Habit(weight, durations_s, handle))

    return decorate


@_register('waits', 7.0, DURATIONS_S)
def _wait(
    callers: Callers, job: Job, conns: Conns, rng: random.Random
) -> None:
    """Submit a job and leave it to be completed."""
    callers.submit(job, conns, rng)


@_register('cancels at once', 2.0)
def _cancel_at_once(
    callers: Callers, job: Job, conns: Conns, rng: random.Random
) -> None:
    """Cancel an accepted job promptly, until it is confirmed."""
    callers.submit(job, conns, rng)
    if job.may_run():
        callers.cancel(job, conns, rng, MAX_TRIES)


@_register('cancels later', 2.0)
def _cancel_later(
    callers: Callers, job: Job, conns: Conns, rng: random.Random
) -> None:
    """Cancel an accepted job once its tasks run, until it is confirmed."""
    callers.submit(job, conns, rng)
    if job.may_run():
        time.sleep(rng.uniform(0.2, 1.5))
        callers.cancel(job, conns, rng, MAX_TRIES)


@_register('cancels once', 3.0, LONG_DURATIONS_S)
def _cancel_once(
    callers: Callers, job: Job, conns: Conns, rng: random.Random
) -> None:
    """Give up after one try of the cancel."""
    callers.submit(job, conns, rng)
    if job.may_run():
        callers.wait_ownerless(OWNERLESS_WAIT_S)
        callers.cancel_once(job, rng)


@_register('gives up early', 3.0)
def _give_up_early(
    callers: Callers, job: Job, conns: Conns, rng: random.Random
) -> None:
    """Cancel a job whose submission got no answer in a short time."""
    callers.submit_briefly(job, callers.choose_first(rng))
    if job.accepted_at is not None:
        time.sleep(rng.uniform(0.0, 0.5))
    if job.may_run():
        callers.cancel(job, conns, rng, MAX_TRIES)


@_register('leaves', 1.0)
def _leave(
    callers: Callers, job: Job, conns: Conns, rng: random.Random
) -> None:
    """Cancel a job, and leave without waiting for the answer."""
    callers.submit_briefly(job, callers.choose_first(rng), timeout_s=1.0)
    if job.may_run():
        time.sleep(rng.uniform(0.0, 1.0))
        callers.leave(job, rng)

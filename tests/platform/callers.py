"""Submit, query and cancel jobs as callers do, and check the answers.

The fault soak runs these callers in threads while it injects faults. Each
answer that breaks a guarantee to callers is recorded as a violation.
"""

import collections
import dataclasses
import http.client
import json
import random
import threading
import time
import typing

import deployment as deployments
import http_calls

# Time after its acceptance from which a job must be visible, in seconds:
# `visible_ms` of the requirements.
VISIBLE_TIMEOUT_S = 3.0
# Time after a cancel from which no task of the job may start, in seconds:
# `cancel_ms` of the requirements, and the longest delay of an order by a
# runner.
CANCEL_TIMEOUT_S = 3.0 + 5.0
# Maximum number of tries of a submission or a cancellation.
MAX_TRIES = 10


@dataclasses.dataclass(eq=False)
class Job:
    """Store a job and its state as reported to its caller."""

    job_id: str
    # Number of tasks by step; each step depends on the one before.
    counts: list[int]
    # Time at which the acceptance was reported, if it was.
    accepted_at: float | None = None
    # Whether a submission without an answer may have been accepted.
    unconfirmed: bool = False
    cancel_sent: bool = False
    # Time at which the cancel was confirmed, if it was.
    cancelled_at: float | None = None

    def list_tasks(self) -> list[str]:
        """Return the names of all tasks of the job."""
        return [
            f'{self.job_id}.0.{step}.{index}'
            for step, count in enumerate(self.counts)
            for index in range(count)
        ]


class Callers:
    """Run the threads that submit, cancel and query jobs."""

    def __init__(self, deployment: deployments.Deployment, seed: int) -> None:
        self.deployment = deployment
        self.jobs: list[Job] = []
        # Descriptions of the guarantees that were violated.
        # Ids of the jobs that the soak submits itself.
        self.soak_jobs = {'f' * 16}
        self.violations: list[str] = []
        self._seed = seed
        self._submitting_stopped = threading.Event()
        self._ended = threading.Event()
        self._threads = [
            threading.Thread(target=self._submit_all, args=(n,), daemon=True)
            for n in range(2)
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

    def _connect(self) -> dict[str, http.client.HTTPConnection]:
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
        while not self._submitting_stopped.wait(rng.uniform(0.02, 0.25)):
            job = Job(
                f'{rng.getrandbits(64):016x}',
                [rng.randint(1, 5) for _ in range(rng.choice((1, 2)))],
            )
            self.jobs.append(job)
            self._submit(job, conns, rng)
            if job.accepted_at is not None and rng.random() < 0.1:
                self._cancel(job, conns, rng)

    def _submit(
        self,
        job: Job,
        conns: dict[str, http.client.HTTPConnection],
        rng: random.Random,
    ) -> None:
        steps = [
            {'Count': count, 'Cpu': 500, 'MemMb': 10, 'DependsOn': [n - 1]}
            for n, count in enumerate(job.counts)
        ]
        del steps[0]['DependsOn']
        body = json.dumps({'Spec': 'x', 'Phases': steps}).encode()
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

    def _cancel(
        self,
        job: Job,
        conns: dict[str, http.client.HTTPConnection],
        rng: random.Random,
    ) -> None:
        job.cancel_sent = True
        for _ in range(MAX_TRIES):
            conn = conns[rng.choice(sorted(conns))]
            status, _ = http_calls.call(conn, 'DELETE', f'/q/{job.job_id}')
            if status == 410:
                self.violations.append(
                    f'{job.job_id}: accepted, but unknown to a cancel'
                )
            if status in (200, 410):
                job.cancelled_at = time.monotonic()
                return
            time.sleep(rng.uniform(0.05, 0.5))

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
                kinds['cancelled'] += 1
            elif job.accepted_at is not None:
                kinds['accepted'] += 1
            else:
                kinds['in doubt' if job.unconfirmed else 'refused'] += 1
        return kinds

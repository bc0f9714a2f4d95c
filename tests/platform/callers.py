"""Submit, watch and cancel jobs as callers do, and check the answers."""

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

# Time after its acceptance at which a job must be known, in seconds; the
# users' `visible_ms`.
VISIBLE_S = 3.0
# Time after which nothing of a cancelled job may start, in seconds: the
# users' `cancel_ms`, and the longest delay of an order by a runner.
CANCELLED_S = 3.0 + 5.0
# Tries of one submission.
TRIES = 10


@dataclasses.dataclass(eq=False)
class Job:
    """Hold one job as its caller sees it."""

    # Its id.
    job_id: str
    # Number of tasks by step; each step follows the one before.
    counts: list[int]
    # Time of the acceptance; none before it.
    accepted_at: float | None = None
    # Whether a try may have been accepted unseen.
    in_doubt: bool = False
    # Time at which the cancel was sent and confirmed.
    cancel_sent: bool = False
    cancelled_at: float | None = None

    def list_tasks(self) -> list[str]:
        """Return the names of all tasks."""
        return [
            f'{self.job_id}.0.{step}.{index}'
            for step, count in enumerate(self.counts)
            for index in range(count)
        ]


class Callers:
    """Run the callers' threads."""

    def __init__(self, deployment: deployments.Deployment, seed: int) -> None:
        self.deployment = deployment
        self.jobs: list[Job] = []
        # Broken promises.
        self.wrong: list[str] = []
        self._seed = seed
        self._open = threading.Event()
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
        """Start to submit and to watch."""
        for item in [*self._threads, *self._watchers]:
            item.start()

    def stop_submitting(self) -> None:
        """Let the submissions under way end."""
        self._open.set()
        for item in self._threads:
            item.join(http_calls.CALL_S * TRIES)

    def close(self) -> None:
        """End all threads."""
        self._open.set()
        self._ended.set()
        for item in [*self._threads, *self._watchers]:
            if item.is_alive():
                item.join(http_calls.CALL_S * 2)

    def _connect(self) -> dict[str, http.client.HTTPConnection]:
        """Return a connection to each scheduler; it stays open."""
        return {
            name: http.client.HTTPConnection(front, timeout=http_calls.CALL_S)
            for name, front in self.deployment.fronts.items()
        }

    # Submissions.

    def _submit_all(self, number: int) -> None:
        rng = random.Random(f'{self._seed}/{number}')
        conns = self._connect()
        while not self._open.wait(rng.uniform(0.02, 0.25)):
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
        for _ in range(TRIES):
            conn = conns[rng.choice(sorted(conns))]
            status, _ = http_calls.ask(conn, 'POST', f'/q/{job.job_id}', body)
            if status == 200:
                job.accepted_at = time.monotonic()
                if rng.random() < 0.2:
                    http_calls.ask(conn, 'POST', f'/q/{job.job_id}', body)
                return
            if status in (429, 503):
                if rng.random() < 0.2:
                    return
            elif status in (0, 502, 504):
                job.in_doubt = True
            else:
                self.wrong.append(f'{job.job_id} is answered with {status}')
            time.sleep(rng.uniform(0.05, 0.5))

    def _cancel(
        self,
        job: Job,
        conns: dict[str, http.client.HTTPConnection],
        rng: random.Random,
    ) -> None:
        job.cancel_sent = True
        for _ in range(TRIES):
            conn = conns[rng.choice(sorted(conns))]
            status, _ = http_calls.ask(conn, 'DELETE', f'/q/{job.job_id}')
            if status == 410:
                self.wrong.append(f'{job.job_id} is not known to a cancel')
            if status in (200, 410):
                job.cancelled_at = time.monotonic()
                return
            time.sleep(rng.uniform(0.05, 0.5))

    # Watching.

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
        asked_at = time.monotonic()
        status, body = http_calls.ask(conn, 'GET', f'/q/{job.job_id}')
        if status == 410 and asked_at - job.accepted_at > VISIBLE_S:
            self.wrong.append(f'{job.job_id} was accepted and is not known')
        if status != 200:
            return
        state = body.get('State')
        if state == 'failed':
            self.wrong.append(f'{job.job_id} has failed without a cause')
        if state == 'cancelled' and not job.cancel_sent:
            self.wrong.append(f'{job.job_id} is cancelled, by nobody')
        if state == 'completed':
            missing = set(job.list_tasks()) - self.deployment.tally.done
            if missing:
                self.wrong.append(f'{job.job_id} is not done: {missing}')

    def _watch_routes(self) -> None:
        """Check that no life of a scheduler goes back to older routes."""
        seen: dict[str, tuple[typing.Any, int]] = {}
        while not self._ended.wait(0.1):
            for name, front in self.deployment.fronts.items():
                life = self.deployment.processes[name]
                version = self.deployment.version
                status, _ = http_calls.ask_once(front, 'GET', f'/v{version}/')
                if life is not self.deployment.processes[name]:
                    continue
                if version != self.deployment.version:
                    continue
                if status == 404 and seen.get(name) == (life, version):
                    self.wrong.append(f'{name} went back from v{version}')
                if status == 200:
                    seen[name] = (life, version)

    # The end.

    def list_owed(self) -> list[Job]:
        """Return the accepted jobs that must be completed."""
        return [
            job
            for job in self.jobs
            if job.accepted_at is not None and not job.cancel_sent
        ]

    def ask_state(self, job: Job) -> str:
        """Return the state that any scheduler shows; empty for none."""
        for front in self.deployment.fronts.values():
            status, body = http_calls.ask_once(
                front, 'GET', f'/q/{job.job_id}'
            )
            if status == 200:
                return str(body.get('State'))
        return ''

    def check_end(self) -> None:
        """Check what can be told only when all is quiet."""
        tally = self.deployment.tally
        submitted: set[str] = {'f' * 16}
        for job in list(self.jobs):
            submitted.add(job.job_id)
            started = [t for t in job.list_tasks() if t in tally.started]
            refused = job.accepted_at is None and not job.in_doubt
            if refused and started:
                self.wrong.append(f'{job.job_id} was refused and ran')
            for task in started if job.cancelled_at is not None else ():
                late = tally.started[task] - (job.cancelled_at or 0.0)
                if late > CANCELLED_S:
                    self.wrong.append(f'{task} started {late:.1f} s too late')
            self._check_order(job)
        for task in tally.started:
            if task.partition('.')[0] not in submitted:
                self.wrong.append(f'{task} was started, and not submitted')

    def _check_order(self, job: Job) -> None:
        tally = self.deployment.tally
        if len(job.counts) < 2:
            return
        first = [t for t in job.list_tasks() if '.0.0.' in t]
        begun = [
            tally.first_start[t]
            for t in job.list_tasks()
            if '.0.1.' in t and t in tally.first_start
        ]
        ends = [tally.first_done.get(t, float('inf')) for t in first]
        if begun and max(ends) > min(begun):
            self.wrong.append(f'{job.job_id}: a step began too early')

    def count(self) -> collections.Counter[str]:
        """Return how many jobs ended how for their callers."""
        kinds: collections.Counter[str] = collections.Counter()
        for job in self.jobs:
            if job.cancel_sent:
                kinds['cancelled'] += 1
            elif job.accepted_at is not None:
                kinds['accepted'] += 1
            else:
                kinds['in doubt' if job.in_doubt else 'refused'] += 1
        return kinds

"""Drive a deployment of real processes and count at the emulators."""

import collections
from collections import abc
from concurrent import futures
import contextlib
import signal
import time
import typing

from kcr_emulator import documents
from kcr_emulator import harness
from kcr_emulator import http
from kcr_emulator import tally

# Longest wait for any effect, in seconds; far above the times of the
# document, so that a busy machine does not fail a test.
LIMIT_S = 60.0
# Time that a caller gives a request, in ms.
DEADLINE_MS = 20_000

Json = dict[str, typing.Any]


class World:
    """Hold a deployment, its callers and the counts of the emulators."""

    def __init__(self, shape: harness.Shape) -> None:
        # Processes under test.
        self.deployment = harness.Deployment(shape)
        # Threads of the callers.
        self.callers = futures.ThreadPoolExecutor(128)
        # Worker counts of instances that were killed for good.
        self.gone: list[Json] = []

    @property
    def urls(self) -> list[str]:
        """Return the base URL of each entry."""
        return self.deployment.entry_urls()

    def process(self, name: str) -> harness.Managed:
        """Return a process by name."""
        return self.deployment.processes[name]

    def is_ready(self, down: abc.Collection[str] = ()) -> bool:
        """Tell whether every running entry sees every endpoint as up."""
        wanted = set(self.deployment.instances) - set(down)
        return all(
            wanted <= self.up(number)
            for number, name in enumerate(self.deployment.entries)
            if self.process(name).is_running()
        )

    def health(self, number: int) -> int:
        """Return the status of an entry's health check; 0 for none."""
        return http.call('GET', f'{self.urls[number]}/healthz')[0]

    def up(self, number: int) -> set[str]:
        """Return the endpoints that an entry gives new work."""
        health, _ = http.call('GET', f'{self.urls[number]}/healthz')
        status, dump = http.call('GET', f'{self.urls[number]}/v1/dump')
        if health != 200 or status != 200:
            return set()
        known = dump['fleet/membership']['endpoints']
        return {name for name, e in known.items() if e['phase'] == 'up'}

    def wait_ready(self, down: abc.Collection[str] = ()) -> None:
        """Wait until the deployment is ready."""
        wait_for(lambda: self.is_ready(down), 'deployment is ready')

    def control(self, url: str, **values: typing.Any) -> None:
        """Set the behaviour of an emulator."""
        status, _ = http.call('POST', f'{url}/control', values)
        assert status == 200, f'{url} takes no control'

    def control_log(self, **values: typing.Any) -> None:
        """Set the behaviour of the log."""
        self.control(self.deployment.log_url(), **values)

    def control_runners(self, **values: typing.Any) -> None:
        """Set the behaviour of every runner."""
        for url in self.deployment.runner_urls():
            self.control(url, **values)

    def control_workers(self, **values: typing.Any) -> None:
        """Set the behaviour of every worker."""
        for url in self.deployment.worker_urls():
            self.control(url, **values)

    def publish(self, text: str, base: int | None = None) -> None:
        """Try and promote a document and wait until it is in force."""
        answers: list[Json] = []

        def is_tried() -> bool:
            # The trial entry may not listen yet, and it refuses until it
            # has read the log.
            answers.append(self.try_document(text, base))
            return answers[-1].get('outcome') not in (None, 'not_in_force')

        wait_for(is_tried, 'the trial entry has read the log')
        tried = answers[-1]
        assert tried['outcome'] == 'in_force', tried
        promoted = self.promote(0, tried['digest'])
        assert promoted.get('outcome') == 'in_force', promoted
        wait_for(lambda: self.is_spread(promoted['revision']), 'document')

    def try_document(self, text: str, base: int | None = None) -> Json:
        """Try a document and return the answer."""
        url = f'http://127.0.0.1:{self.deployment.trial.http}'
        body = {'text': text, 'base': base, 'operator': 'tester'}
        path = '/v1/document/trial/try'
        return call(f'{url}{path}', body)

    def promote(
        self, entry: int, digest: str, base: int | None = None
    ) -> Json:
        """Promote a tried document at one entry and return the answer."""
        body = {'digest': digest, 'base': base, 'operator': f'op-{entry}'}
        path = '/v1/document/production/promote'
        return call(f'{self.urls[entry]}{path}', body)

    def versions(self, entry: int) -> Json | None:
        """Return the revisions that an entry knows; none if it is away."""
        url = f'{self.urls[entry]}/v1/versions'
        status, value = http.call('GET', url)
        return value if status == 200 else None

    def revision(self, entry: int) -> int:
        """Return the revision in force at an entry; 0 if it is away."""
        found = self.versions(entry)
        return int(found['revision']) if found else 0

    def trial_revision(self) -> int:
        """Return the revision in force in the trial environment."""
        url = f'http://127.0.0.1:{self.deployment.trial.http}/v1/versions'
        return int(http.call('GET', url)[1]['revision'])

    def freeze(self, name: str) -> None:
        """Stop a process without ending it."""
        self.process(name).signal(signal.SIGSTOP)

    def wake(self, name: str) -> None:
        """Let a frozen process go on."""
        self.process(name).signal(signal.SIGCONT)

    def history(self, entry: int) -> list[Json]:
        """Return the newest verdicts about production documents."""
        url = f'{self.urls[entry]}/v1/document/production/history'
        return typing.cast(list[Json], http.call('GET', url)[1]['history'])

    def is_spread(self, revision: int) -> bool:
        """Tell whether entries and sidecars have reached a revision."""
        for number in range(len(self.urls)):
            found = self.versions(number)
            if found is None or found['revision'] < revision:
                return False
            roles = {
                p['process']
                for p in found['processes']
                if p['revision'] >= revision
            }
            for name in self.deployment.instances:
                if f'sidecar-{name}' not in roles:
                    return False
        return True

    def ask(self, entry: int, name: str, **more: typing.Any) -> Json:
        """Submit a request and return the answer; `{}` for none."""
        body = {
            'id': name,
            'caller': 'test',
            'service': 'web',
            'deadline_ms': DEADLINE_MS,
            'idempotent': False,
            'issued_at_ms': int(time.time() * 1000),
            'body': f'body of {name}',
            **more,
        }
        limit_s = body['deadline_ms'] / 1000 + 10.0
        url = f'{self.urls[entry]}/v1/requests'
        status, value = http.call('POST', url, body, limit_s)
        return value if status else {}

    def ask_later(
        self, entry: int, name: str, **more: typing.Any
    ) -> futures.Future[Json]:
        """Submit a request from a thread of its own."""
        return self.callers.submit(self.ask, entry, name, **more)

    def ask_all(
        self, entry: int, names: abc.Iterable[str], **more: typing.Any
    ) -> dict[str, Json]:
        """Submit requests at the same time and return their answers."""
        asked = {n: self.ask_later(entry, n, **more) for n in names}
        return {n: fut.result(LIMIT_S) for n, fut in asked.items()}

    def runs(self) -> collections.Counter[str]:
        """Return how often each request ran, as the runners count."""
        runs: collections.Counter[str] = collections.Counter()
        for counts in self.runner_counts():
            for key, count in counts['runs'].items():
                runs[key.partition('/')[2]] += count
        return runs

    def runner_counts(self) -> list[Json]:
        """Return the counts of the runners that run."""
        return read_counts(self.deployment.runner_urls())

    def active_calls(self) -> list[list[str]]:
        """Return the attempts that each runner serves now."""
        urls = self.deployment.runner_urls()
        answers = [http.call('GET', f'{url}/v1/status') for url in urls]
        return [v['attempts'] for status, v in answers if status == 200]

    def worker_counts(self) -> list[Json]:
        """Return the counts of all workers, with those that were killed."""
        return self.gone + read_counts(self.deployment.worker_urls())

    def submit_task(self, entry: int, name: str, **more: typing.Any) -> Json:
        """Submit a task and return the answer; `{}` for none."""
        body = {
            'id': name,
            'caller': 'test',
            'team': 'research',
            'kind': 'watch',
            'demand': {'processors': 0.5, 'memory_mb': 200.0},
            'run_s': 0.0,
            **more,
        }
        return call(f'{self.urls[entry]}/v1/tasks', body)

    def task(self, entry: int, name: str) -> Json:
        """Return the state of a task as an entry knows it."""
        url = f'{self.urls[entry]}/v1/tasks/test/{name}'
        return typing.cast(Json, http.call('GET', url)[1])

    def intervals(self, name: str) -> list[list[int]]:
        """Return epoch, start and end of each run of a task, in order."""
        found = [
            run
            for counts in self.worker_counts()
            for run in counts['intervals'].get(f'test/{name}', ())
        ]
        return sorted(found)

    def place(self, name: str) -> str | None:
        """Return the instance whose worker runs a task now."""
        names = list(self.deployment.instances)
        for instance, url in zip(
            names, self.deployment.worker_urls(), strict=True
        ):
            for counts in read_counts([url]):
                runs = counts['intervals'].get(f'test/{name}', ())
                if any(end == 0 for _, _, end in runs):
                    return instance
        return None

    def kill_instance(self, name: str) -> None:
        """Kill sidecar, worker and runner of an instance for good."""
        ports = self.deployment.instances[name]
        url = f'http://{harness.LOOPBACK}:{ports.worker}'
        self.process(f'sidecar/{name}').kill()
        counts = read_counts([url])
        self.process(f'worker/{name}').kill()
        self.process(f'runner/{name}').kill()
        # Everything on the instance ended with it.
        now_ms = int(time.time() * 1000)
        for worker in counts:
            for runs in worker['intervals'].values():
                for run in runs:
                    run[2] = run[2] or now_ms
        self.gone += counts

    def check_capacity(self) -> None:
        """Check P1 and P2 from the counts of the emulators."""
        for counts in self.runner_counts():
            assert counts['overcommitted'] == 0, 'calls above the slots'
        found = tally.Tally()
        tally.count_tasks(found, {}, self.worker_counts())
        assert found.overcommitted == 0, 'grants above the capacity'
        assert found.overused == 0, 'use above the capacity'
        assert found.tasks_twice == 0, 'a task ran in two places or twice'


def call(url: str, body: Json) -> Json:
    """Post a body and return the answer; `{}` for none."""
    status, value = http.call('POST', url, body, LIMIT_S)
    return typing.cast(Json, value) if status else {}


def read_counts(urls: abc.Iterable[str]) -> list[Json]:
    """Return the counts of the emulators that answer."""
    answers = [http.call('GET', f'{url}/counts') for url in urls]
    return [value for status, value in answers if status == 200]


def wait_for(check: abc.Callable[[], bool], what: str) -> None:
    """Wait until `check` holds."""
    harness.wait_for(check, LIMIT_S, what)


@contextlib.contextmanager
def deploy(shape: harness.Shape, document: bool = True) -> abc.Iterator[World]:
    """Start a deployment with a document in force, and end it."""
    world = World(shape)
    with world.deployment:
        world.deployment.start()
        world.wait_ready()
        if document:
            world.publish(documents.make_document(shape))
        try:
            yield world
        finally:
            world.callers.shutdown(wait=False, cancel_futures=True)

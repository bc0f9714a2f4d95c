"""Inject random faults into real processes and check the guarantees.

All random choices come from the seed, but processes and threads run freely,
so a seed repeats the faults, not the interleaving. The logs of the processes
of a failed run are kept. Started by `make faults` and by test_fault_soak.py.
"""

import collections
from collections import abc
import dataclasses
import json
import pathlib
import random
import sys
import tempfile
import time

import callers
import defopt
import deployment as deployments
import faults
import http_calls

# Bounds of the time between faults and of the duration of a fault, in seconds.
FAULT_INTERVAL_S = (0.2, 1.8)
FAULT_DURATION_S = (0.4, 4.5)
# Time after the last fault in which every accepted job must be done, in
# seconds; RecoveryS of the requirements is 12 to 15 s, and the test machine
# may be busy.
COMPLETION_TIMEOUT_S = 45.0
# Time after the last fault in which the newest configuration must be in force
# everywhere, in seconds; ConfigApplyMs and MaxStretchMs of the requirements.
CONFIG_TIMEOUT_S = 12.0
# Time after the evacuation of a zone in which its runners may get starts:
# EvacuateMs and MaxStretchMs of the requirements, as faults overlap; and the
# time once all faults have ended, in seconds.
EVACUATE_STRETCHED_S = 13.0
EVACUATE_S = 5.0
# Bounds of the time between changes of the evacuated zone, in seconds.
EVACUATION_INTERVAL_S = (1.0, 6.0)
ZONES = ('z1', 'z2')
# Jobs that are submitted once no runner of the evacuated zone may get a start.
LATE_JOBS = tuple(f'{number:016x}' for number in range(0xE0, 0xE4))
# Folder for the logs of plays that failed; git ignores it.
KEEP_FOLDER = pathlib.Path(__file__).parents[2] / 'target' / 'soak'
# Log events that a process without an internal error does not write.
FAILED_EVENTS = ('task failed', 'supervisor gives up', 'cannot go on')


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Store the result of one seed."""

    seed: int
    # Guarantees that were violated; empty if all held.
    wrong: tuple[str, ...]
    # Number of jobs that were accepted, refused or cancelled, or are in doubt,
    # as their submission got no answer.
    jobs: dict[str, int]
    # Number of faults by name.
    faults: dict[str, int]
    # Number of tasks that runners started.
    starts: int
    # Folder with the logs of the processes; empty if the seed held.
    kept: str = ''


class Soak:
    """Run the fault soak with one seed."""

    def __init__(
        self, seed: int, folder: pathlib.Path, schedulers: int, agents: int
    ) -> None:
        self.seed = seed
        self.rng = random.Random(seed)
        self.deployment = deployments.Deployment(
            folder, schedulers, agents, linked=True
        )
        # The callers query the route of the newest configuration from the
        # start.
        self.deployment.publish_next()
        self.callers = callers.Callers(self.deployment, seed)
        self.injected: collections.Counter[str] = collections.Counter()
        for number, runner in enumerate(self.deployment.runners.values()):
            runner.zone = ZONES[number % len(ZONES)]
        # Evacuations have their own choices, so that the other faults of a
        # seed stay the same.
        self.zone_rng = random.Random(f'zones {seed}')
        self.next_evacuation_at = self.zone_rng.uniform(*EVACUATION_INTERVAL_S)
        # Evacuated zone; empty for none.
        self.zone = ''

    def run(self, duration_s: float) -> Result:
        """Inject faults, end them all, and check the guarantees."""
        deployment = self.deployment
        try:
            deployment.submit('f' * 16)
            self.callers.start()
            self._inject(duration_s)
            self.callers.stop_submitting()
            self._check_end()
        finally:
            self.callers.close()
            deployment.close()
        wrong = [*deployment.checker.violations, *self.callers.violations]
        wrong += self._find_failure_events()
        return Result(
            self.seed,
            tuple(dict.fromkeys(wrong)),
            dict(self.callers.count()),
            dict(self.injected),
            len(deployment.checker.started),
        )

    def _inject(self, duration_s: float) -> None:
        """Start and end faults in an order that the seed determines."""
        heals: list[tuple[float, int, faults.Heal]] = []
        started_at = time.monotonic()
        next_at = 0.5
        names = faults.FAULTS.names()
        while True:
            heals.sort()
            elapsed = time.monotonic() - started_at
            if heals and heals[0][0] <= max(elapsed, duration_s):
                due, _, heal = heals.pop(0)
                time.sleep(max(0.0, due - elapsed))
                heal()
                continue
            if elapsed >= duration_s:
                return
            if elapsed >= self.next_evacuation_at:
                self._change_evacuation()
            if elapsed < next_at:
                time.sleep(0.02)
                continue
            name = self.rng.choice(names)
            self.injected[name] += 1
            heal = faults.FAULTS.get(name)(self.deployment, self.rng)
            ends = min(
                next_at + self.rng.uniform(*FAULT_DURATION_S), duration_s
            )
            heals.append((ends, sum(self.injected.values()), heal))
            next_at += self.rng.uniform(*FAULT_INTERVAL_S)

    def _change_evacuation(self) -> None:
        """End the evacuation under way, or evacuate a zone."""
        self.next_evacuation_at += self.zone_rng.uniform(
            *EVACUATION_INTERVAL_S
        )
        if self.zone:
            self.deployment.end_evacuation(self.zone)
            self.zone = ''
            return
        self._evacuate()

    def _evacuate(self) -> None:
        self.zone = self.zone_rng.choice(ZONES)
        self.injected['evacuate'] += 1
        self.deployment.evacuate(self.zone, EVACUATE_STRETCHED_S)

    def _check_end(self) -> None:
        healed = time.monotonic()
        deployment, checker = self.deployment, self.deployment.checker
        # The jobs end while a zone is evacuated.
        if not self.zone:
            self._evacuate()
        checker.closed_from[self.zone] = min(
            checker.closed_from[self.zone], healed + EVACUATE_S
        )
        self._wait(self._find_stale, healed + CONFIG_TIMEOUT_S)
        time.sleep(max(0.0, healed + EVACUATE_S - time.monotonic()))
        self.callers.soak_jobs.update(LATE_JOBS)
        for job in LATE_JOBS:
            deployment.submit(job, count=10)
        self._wait(self._find_unfinished, healed + COMPLETION_TIMEOUT_S)
        for name, item in deployment.processes.items():
            if item.poll() is not None:
                checker.violations.append(
                    f'{name} ended by itself with status {item.poll()}'
                )
        self.callers.check_end()

    def _wait(self, find: abc.Callable[[], list[str]], until: float) -> None:
        """Wait until nothing is found; else record what still is."""
        while found := find():
            if time.monotonic() >= until:
                self.deployment.checker.violations += found
                return
            time.sleep(0.2)

    def _find_unfinished(self) -> list[str]:
        late = [
            f'job {job}, submitted during an evacuation, is not completed'
            for job in LATE_JOBS
            if not self.deployment.is_completed(job)
        ]
        return late + [
            f'job {job.job_id} is {state or "unknown"}, not completed'
            for job in self.callers.list_expected()
            if (state := self.callers.query_state(job)) != 'completed'
        ]

    def _find_stale(self) -> list[str]:
        """Return the schedulers whose routes are not the newest."""
        found = []
        newest = self.deployment.version
        for name, front in self.deployment.fronts.items():
            has = http_calls.call_once(front, 'GET', f'/v{newest}/')[0]
            had = http_calls.call_once(front, 'GET', f'/v{newest - 1}/')[0]
            if has != 200 or had != 404:
                found.append(
                    f'{name}: newest route answers {has}, older one {had}'
                )
        return found

    def _find_failure_events(self) -> list[str]:
        found = []
        for path in sorted(self.deployment.folder.glob('*.log')):
            for line in path.read_text(errors='replace').splitlines():
                if any(event in line for event in FAILED_EVENTS):
                    found.append(f'{path.name}: {line[:600]}')
        return found


def run_seed(
    seed: int,
    *,
    duration_s: float = 15.0,
    schedulers: int = 3,
    agents: int = 4,
    keep: pathlib.Path | None = None,
) -> Result:
    """Run one seed in a temporary folder; keep its logs if it failed."""
    keep = keep or KEEP_FOLDER
    with tempfile.TemporaryDirectory(prefix=f'soak-{seed}-') as name:
        folder = pathlib.Path(name)
        try:
            result = Soak(seed, folder, schedulers, agents).run(duration_s)
        except BaseException as exc:
            exc.add_note(f'logs are kept in {_keep_logs(folder, keep, seed)}')
            raise
        if not result.wrong:
            return result
        kept = _keep_logs(folder, keep, seed)
    result = dataclasses.replace(result, kept=str(kept))
    report = json.dumps(dataclasses.asdict(result), indent=1)
    (kept / 'result.json').write_text(report)
    return result


def _keep_logs(
    folder: pathlib.Path, keep: pathlib.Path, seed: int
) -> pathlib.Path:
    """Copy the logs of a play into a new folder; return it."""
    keep.mkdir(parents=True, exist_ok=True)
    began = time.strftime('%Y%m%dT%H%M%S')
    target = pathlib.Path(
        tempfile.mkdtemp(prefix=f'seed-{seed}-{began}-', dir=keep)
    )
    for path in folder.glob('*.log'):
        (target / path.name).write_bytes(path.read_bytes())
    return target


def run(
    *,
    seed: int = 1,
    seeds: int = 1,
    duration_s: float = 15.0,
    schedulers: int = 3,
    agents: int = 4,
    keep: pathlib.Path = KEEP_FOLDER,
) -> None:
    """Run seeds one after the other; exit with status 1 if one failed.

    :param seed: first seed
    :param seeds: number of seeds
    :param duration_s: time in which faults start, in seconds
    :param schedulers: schedulers of each deployment
    :param agents: agents of each deployment, each with a runner
    :param keep: folder for the logs of seeds that failed
    """
    failed = 0
    for number in range(seed, seed + seeds):
        started_at = time.monotonic()
        result = run_seed(
            number, duration_s=duration_s, schedulers=schedulers,
            agents=agents, keep=keep,
        )  # fmt: skip
        failed += bool(result.wrong)
        print(
            f'seed {number}: {"FAILED" if result.wrong else "held"} in'
            f' {time.monotonic() - started_at:.0f} s; {result.starts} tasks;'
            f' {result.jobs}; {sum(result.faults.values())} faults',
            flush=True,
        )
        for line in result.wrong[:10]:
            print(f'    {line}', flush=True)
        if result.kept:
            print(f'    logs: {result.kept}', flush=True)
    print(f'{seeds} seeds, {failed} failed', flush=True)
    sys.exit(bool(failed))


if __name__ == '__main__':
    defopt.run(run)

"""Inject random faults into real processes and check the guarantees.

All random choices come from the seed, but processes and threads run freely,
so a seed repeats the faults, not the interleaving. The logs of the processes
of a failed run are kept. Started by `make faults` and by test_fault_soak.py.
"""

import collections
from collections import abc
import dataclasses
import functools
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
import order_faults
import platform_fakes

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
# time without a fault that can delay the evacuation, in seconds.
EVACUATE_STRETCHED_S = 13.0
EVACUATE_S = 5.0
# Faults that do not delay an evacuation: they affect only what runners do with
# an order once they have received it, or nothing but the configuration.
HARMLESS_TO_EVACUATION = frozenset(
    {
        'full_lists',
        'late_orders',
        'reconfigure',
        'refused_repeats',
        'reload',
        'unanswered_orders',
    }
)
# Bounds of the time before an evacuation and of its duration, in seconds; some
# are longer than the stretched bound.
EVACUATION_INTERVAL_S = (0.5, 3.0)
EVACUATION_DURATION_S = (1.0, 16.0)
# Bounds of the time between faults of order_faults.py, in seconds.
ORDER_FAULT_INTERVAL_S = (0.4, 2.5)
# Longer runs have a stretch without new faults, some of them without those of
# order_faults.py as well; its bounds in seconds. What is checked in between
# needs up to EVACUATE_S, or 8.2 s for runs of cancelled jobs.
MIN_DURATION_WITH_CALM_S = 12.0
CALM_LENGTH_S = (6.0, 11.0)
# Longest time in which runners carry out orders after the last fault.
LATE_ORDER_S = platform_fakes.LATE_DELAY_S[1]
ZONES = ('z1', 'z2')
# Jobs that are submitted once no runner of the evacuated zone may get a start.
LATE_JOBS = tuple(f'{number:016x}' for number in range(0xE0, 0xE4))
# Folder for the logs of plays that failed; git ignores it.
KEEP_FOLDER = pathlib.Path(__file__).parents[2] / 'target' / 'soak'
# Log events that show which cases a seed has reached.
COUNTED_EVENTS = (
    'job submitted after its cancel',
    'kept cancel confirmed',
    'list truncated',
    'runner incarnation started',
    'start unanswered',
    'unknown run stopped',
)
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
    # Number of log events by name, of those that are counted.
    events: dict[str, int]
    # Folder with the logs of the processes; empty if the seed held.
    kept: str = ''


class Stream:
    """Draw faults and the times at which they begin and end."""

    def __init__(
        self,
        rng: random.Random,
        interval_s: tuple[float, float],
        draw: abc.Callable[[random.Random], tuple[str, faults.Fault]],
    ) -> None:
        self.rng = rng
        self.next_at = 0.5
        self._interval_s = interval_s
        self._draw = draw

    def begin(
        self, deployment: deployments.Deployment
    ) -> tuple[str, faults.Heal, float]:
        """Begin a fault; return its name, its end and the time of that."""
        name, inject = self._draw(self.rng)
        heal = inject(deployment, self.rng)
        ends_at = self.next_at + self.rng.uniform(*FAULT_DURATION_S)
        self.next_at += self.rng.uniform(*self._interval_s)
        return name, heal, ends_at


def _draw_overlapping(rng: random.Random) -> tuple[str, faults.Fault]:
    name = rng.choice(faults.FAULTS.names())
    return name, faults.FAULTS.get(name)


def _draw_order_fault(
    rng: random.Random, only: str
) -> tuple[str, faults.Fault]:
    name = only or order_faults.draw(rng)
    return name, order_faults.find(name)


@dataclasses.dataclass(order=True)
class Active:
    """Store a fault that has begun."""

    # Time at which it ends, in seconds from the start; order of its begin.
    ends_at: float
    number: int
    name: str = dataclasses.field(compare=False)
    heal: faults.Heal = dataclasses.field(compare=False)


class Soak:
    """Run the fault soak with one seed."""

    def __init__(
        self,
        seed: int,
        folder: pathlib.Path,
        schedulers: int,
        agents: int,
        only: str,
    ) -> None:
        self.seed = seed
        self.streams = [
            Stream(random.Random(seed), FAULT_INTERVAL_S, _draw_overlapping),
            Stream(
                random.Random(f'orders {seed}'),
                ORDER_FAULT_INTERVAL_S,
                functools.partial(_draw_order_fault, only=only),
            ),
        ]
        if only:
            del self.streams[0]
        # Faults that go on, and the time from which there is none; none while
        # there are any.
        self.active: list[Active] = []
        self.calm_from: float | None = None
        # Time of the last fault that can delay an evacuation, and of the last
        # write of an evacuation.
        self.disturbed_at = self.evacuated_at = 0.0
        self.last_look_at = 0.0
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
            self._count_events(),
        )

    def _draw_calm(self, duration_s: float) -> tuple[float, float, int]:
        """Return begin and end of a calm stretch, and its first stream."""
        rng = random.Random(f'calm {self.seed}')
        if duration_s < MIN_DURATION_WITH_CALM_S or rng.random() < 0.5:
            return duration_s, duration_s, 0
        begins_at = rng.uniform(3.0, duration_s - 3.0)
        # Without the first stream there are only faults of orders.
        kept = rng.choice((0, 1))
        return begins_at, begins_at + rng.uniform(*CALM_LENGTH_S), kept

    def _inject(self, duration_s: float) -> None:
        """Start and end faults in an order that the seed determines."""
        calm_at, calm_end, kept = self._draw_calm(duration_s)
        paused = self.streams[: 1 if kept else 2]
        duration_s += calm_end - calm_at
        started_at = time.monotonic()
        while True:
            elapsed = time.monotonic() - started_at
            self._look(elapsed + started_at)
            if self._heal_due(elapsed, duration_s):
                continue
            if elapsed >= duration_s:
                return
            if elapsed >= self.next_evacuation_at:
                self._change_evacuation()
            for stream in self.streams:
                if stream in paused and calm_at <= stream.next_at < calm_end:
                    stream.next_at = calm_end
                if elapsed >= stream.next_at:
                    self._begin(stream, duration_s)
                    break
            else:
                time.sleep(0.02)

    def _begin(self, stream: Stream, duration_s: float) -> None:
        if not self.active and self.calm_from is not None:
            self._check_runs(self.calm_from)
        self.calm_from = None
        name, heal, ends_at = stream.begin(self.deployment)
        self.injected[name] += 1
        number = sum(self.injected.values())
        ends_at = min(ends_at, duration_s)
        self.active.append(Active(ends_at, number, name, heal))

    def _heal_due(self, elapsed: float, duration_s: float) -> bool:
        """End the next fault if it is due, and all once the time is over."""
        self.active.sort()
        if not self.active:
            return False
        ended = self.active[0]
        if elapsed < min(ended.ends_at, duration_s):
            return False
        ended.heal()
        self._look(time.monotonic())
        del self.active[0]
        if not self.active:
            self.calm_from = time.monotonic()
        return True

    def _look(self, now: float) -> None:
        """Update the runners, and the bound of the evacuation under way."""
        if now - self.last_look_at > 0.1:
            self.last_look_at = now
            for runner in self.deployment.runners.values():
                with runner.lock:
                    runner.update()
        if {item.name for item in self.active} - HARMLESS_TO_EVACUATION:
            self.disturbed_at = now
        closed_at = max(self.disturbed_at, self.evacuated_at) + EVACUATE_S
        closed_from = self.deployment.checker.closed_from
        if self.zone and closed_at <= now:
            closed_from[self.zone] = min(closed_from[self.zone], closed_at)

    def _check_runs(self, calm_from: float) -> bool:
        """Check runs in a calm time; return whether some must still end."""
        found, waiting = self.callers.find_running_on(
            calm_from, time.monotonic()
        )
        self.callers.violations += found
        return waiting

    def _change_evacuation(self) -> None:
        """End the evacuation under way, or evacuate a zone."""
        if self.zone:
            self.next_evacuation_at += self.zone_rng.uniform(
                *EVACUATION_INTERVAL_S
            )
            self.deployment.end_evacuation(self.zone)
            self.zone = ''
            return
        self.next_evacuation_at += self.zone_rng.uniform(
            *EVACUATION_DURATION_S
        )
        self._evacuate()

    def _evacuate(self) -> None:
        self.zone = self.zone_rng.choice(ZONES)
        self.injected['evacuate'] += 1
        self.evacuated_at = time.monotonic()
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
        time.sleep(max(0.0, healed + LATE_ORDER_S - time.monotonic()))
        while True:
            self._look(time.monotonic())
            if not self._check_runs(healed):
                break
            time.sleep(0.2)
        self._wait(self.callers.find_not_cancelled, time.monotonic())
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

    def _count_events(self) -> dict[str, int]:
        counts: collections.Counter[str] = collections.Counter()
        for path in sorted(self.deployment.folder.glob('*.log')):
            text = path.read_text(errors='replace')
            for event in COUNTED_EVENTS:
                counts[event] += text.count(f'"{event}"')
        return dict(counts)

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
    only: str = '',
) -> Result:
    """Run one seed in a temporary folder; keep its logs if it failed."""
    keep = keep or KEEP_FOLDER
    with tempfile.TemporaryDirectory(prefix=f'soak-{seed}-') as name:
        folder = pathlib.Path(name)
        try:
            result = Soak(seed, folder, schedulers, agents, only).run(
                duration_s
            )
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
    only: str = '',
) -> None:
    """Run seeds one after the other; exit with status 1 if one failed.

    :param seed: first seed
    :param seeds: number of seeds
    :param duration_s: time in which faults start, in seconds
    :param schedulers: schedulers of each deployment
    :param agents: agents of each deployment, each with a runner
    :param keep: folder for the logs of seeds that failed
    :param only: fault of order_faults.py that is the only one, for trials
    """
    failed = 0
    for number in range(seed, seed + seeds):
        started_at = time.monotonic()
        result = run_seed(
            number, duration_s=duration_s, schedulers=schedulers,
            agents=agents, keep=keep, only=only,
        )  # fmt: skip
        failed += bool(result.wrong)
        print(
            f'seed {number}: {"FAILED" if result.wrong else "held"} in'
            f' {time.monotonic() - started_at:.0f} s; {result.starts} tasks;'
            f' {result.jobs}; {sum(result.faults.values())} faults;'
            f' {result.events}',
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

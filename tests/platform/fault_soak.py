"""Play randomized faults against real processes and check the promises.

Everything random comes from the seed, but processes and threads run freely,
so a seed repeats the faults and not the interleaving. A run that fails keeps
the logs of its processes.
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

# Pauses between faults, and how long one lasts, in seconds.
GAPS_S = (0.2, 1.8)
LASTS_S = (0.4, 4.5)
# Time after the last fault in which every accepted job is done, in seconds;
# RecoveryS of the users is 12 to 15 s, and the machine may be busy.
FINISH_S = 45.0
# Time after the last fault in which the newest configuration is in force
# everywhere, in seconds; ConfigApplyMs and MaxStretchMs of the users.
CONFIG_S = 12.0
# Log events that a sound process does not write.
FAILED_EVENTS = ('task failed', 'supervisor gives up', 'cannot go on')


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Hold what came of one seed."""

    # The seed.
    seed: int
    # Broken promises; empty if all held.
    wrong: tuple[str, ...]
    # Jobs that were accepted, refused, cancelled, or are in doubt.
    jobs: dict[str, int]
    # Faults by name.
    faults: dict[str, int]
    # Starts that runners saw.
    starts: int


class Soak:
    """Play one seed."""

    def __init__(
        self, seed: int, folder: pathlib.Path, schedulers: int, agents: int
    ) -> None:
        self.seed = seed
        self.rng = random.Random(seed)
        self.deployment = deployments.Deployment(
            folder, schedulers, agents, linked=True
        )
        # The route of the newest configuration is watched from the start.
        self.deployment.publish_next()
        self.callers = callers.Callers(self.deployment, seed)
        self.played: collections.Counter[str] = collections.Counter()

    def play(self, duration_s: float) -> Result:
        """Play the faults, heal all, and check what is left."""
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
        wrong = [*deployment.tally.wrong, *self.callers.wrong]
        wrong += self._find_failures()
        return Result(
            self.seed,
            tuple(dict.fromkeys(wrong)),
            dict(self.callers.count()),
            dict(self.played),
            len(deployment.tally.started),
        )

    def _inject(self, duration_s: float) -> None:
        """Let faults begin and end in an order that the seed decides."""
        heals: list[tuple[float, int, faults.Heal]] = []
        begun = time.monotonic()
        next_at = 0.5
        names = faults.FAULTS.names()
        while True:
            heals.sort()
            passed = time.monotonic() - begun
            if heals and heals[0][0] <= max(passed, duration_s):
                due, _, heal = heals.pop(0)
                time.sleep(max(0.0, due - passed))
                heal()
                continue
            if passed >= duration_s:
                return
            if passed < next_at:
                time.sleep(0.02)
                continue
            name = self.rng.choice(names)
            self.played[name] += 1
            heal = faults.FAULTS.get(name)(self.deployment, self.rng)
            ends = min(next_at + self.rng.uniform(*LASTS_S), duration_s)
            heals.append((ends, sum(self.played.values()), heal))
            next_at += self.rng.uniform(*GAPS_S)

    def _check_end(self) -> None:
        healed = time.monotonic()
        deployment, tally = self.deployment, self.deployment.tally
        self._wait(self._find_stale, healed + CONFIG_S)
        self._wait(self._find_unfinished, healed + FINISH_S)
        for name, item in deployment.processes.items():
            if item.poll() is not None:
                tally.wrong.append(f'{name} ended by itself: {item.poll()}')
        self.callers.check_end()

    def _wait(self, find: abc.Callable[[], list[str]], until: float) -> None:
        """Wait until nothing is found; else note what still is."""
        while found := find():
            if time.monotonic() >= until:
                self.deployment.tally.wrong += found
                return
            time.sleep(0.2)

    def _find_unfinished(self) -> list[str]:
        return [
            f'job {job.job_id} is {state or "not shown"}'
            for job in self.callers.list_owed()
            if (state := self.callers.ask_state(job)) != 'completed'
        ]

    def _find_stale(self) -> list[str]:
        """Return the schedulers that don't follow the newest routes."""
        found = []
        newest = self.deployment.version
        for name, front in self.deployment.fronts.items():
            has = http_calls.ask_once(front, 'GET', f'/v{newest}/')[0]
            had = http_calls.ask_once(front, 'GET', f'/v{newest - 1}/')[0]
            if has != 200 or had != 404:
                found.append(f'{name} answers {has} and {had} to its routes')
        return found

    def _find_failures(self) -> list[str]:
        found = []
        for path in sorted(self.deployment.folder.glob('*.log')):
            for line in path.read_text(errors='replace').splitlines():
                if any(event in line for event in FAILED_EVENTS):
                    found.append(f'{path.name}: {line[:600]}')
        return found


def play(
    seed: int,
    *,
    duration_s: float = 15.0,
    schedulers: int = 3,
    agents: int = 4,
    keep: pathlib.Path | None = None,
) -> Result:
    """Play one seed in a folder of its own; keep it where it failed."""
    with tempfile.TemporaryDirectory(prefix=f'soak-{seed}-') as name:
        folder = pathlib.Path(name)
        soak = Soak(seed, folder, schedulers, agents)
        result = soak.play(duration_s)
        if result.wrong and keep is not None:
            target = keep / f'seed-{seed}'
            target.mkdir(parents=True, exist_ok=True)
            for path in folder.glob('*.log'):
                (target / path.name).write_bytes(path.read_bytes())
            report = json.dumps(dataclasses.asdict(result), indent=1)
            (target / 'result.json').write_text(report)
    return result


def run(
    *,
    seed: int = 1,
    seeds: int = 1,
    duration_s: float = 15.0,
    schedulers: int = 3,
    agents: int = 4,
    keep: pathlib.Path = pathlib.Path('target/soak'),
) -> None:
    """Play seeds one after the other, and end with 1 if one failed.

    :param seed: first seed
    :param seeds: number of seeds
    :param duration_s: time in which faults begin, in seconds
    :param schedulers: schedulers of each deployment
    :param agents: agents of each deployment, with a runner each
    :param keep: folder for the logs of seeds that failed
    """
    failed = 0
    for number in range(seed, seed + seeds):
        begun = time.monotonic()
        result = play(
            number, duration_s=duration_s, schedulers=schedulers,
            agents=agents, keep=keep,
        )  # fmt: skip
        failed += bool(result.wrong)
        print(
            f'seed {number}: {"FAILED" if result.wrong else "held"} in'
            f' {time.monotonic() - begun:.0f} s; {result.starts} tasks;'
            f' {result.jobs}; {sum(result.faults.values())} faults',
            flush=True,
        )
        for line in result.wrong[:10]:
            print(f'    {line}', flush=True)
    print(f'{seeds} seeds, {failed} failed', flush=True)
    sys.exit(bool(failed))


if __name__ == '__main__':
    defopt.run(run)

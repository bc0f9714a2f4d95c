"""Play random days against the controller and check the users' rules."""

import dataclasses
import random

import job_harness
import pytest

from kcr_jobs import messages
from kcr_jobs import types

STEPS = 250
# The last three found gangs that were started in part.
SEEDS = (*range(25), 52, 61, 62)
# What may happen between two steps, with its weight.
EVENTS = {
    'submit': 6, 'cancel': 1, 'finish': 10, 'fail': 3, 'cut': 2, 'heal': 3,
    'reborn': 1, 'takeover': 1, 'store_off': 1, 'store_on': 3, 'drain': 0.3,
}  # fmt: skip


class LeasedRunner(job_harness.FakeRunner):
    """Let runs lapse, as a runner does without its owner."""

    def __init__(self, name: str, world: 'Day') -> None:
        super().__init__(name, cpu=8000)
        self.world = world
        self.until = 0.0

    def take(self, msg: object) -> None:
        """Carry out a message; a confirmation prolongs the lease."""
        super().take(msg)
        if isinstance(msg, messages.RunnerReportAck) and msg.lease_ms:
            self.until = self.world.now + msg.lease_ms / 1000.0
        if isinstance(msg, messages.StartRun):
            self.world.check_start(self, msg.task)
            self.world.note_gang(msg.task, msg.attempt)

    def pass_time(self) -> None:
        """End what has no lease any more."""
        if self.world.now > self.until:
            for task in list(self.runs):
                self.end(task, 'lapsed')


class Day(job_harness.Harness):
    """Play one day by its seed."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.noted_done: set[str] = set()
        self._done_once: set[str] = set()
        self.cancelled: set[str] = set()
        self.specs: dict[str, types.JobSpec] = {}
        self.born = 1
        # Members of gangs that were started, by step and attempt.
        self.gangs: dict[tuple[str, int], set[str]] = {}
        # Those whose start a fault may have stopped halfway.
        self.disturbed: set[tuple[str, int]] = set()
        super().__init__()
        self.runners = {n: LeasedRunner(n, self) for n in 'abcd'}
        self.attach_all()

    def check_start(self, runner: LeasedRunner, task: str) -> None:
        """Check the rules at the moment of a start."""
        places = [r.name for r in self.runners.values() if task in r.runs]
        assert places == [runner.name], f'{task} runs at {places}'
        assert task not in self.noted_done, f'{task} starts after its end'
        job, _, step, _ = task.split('.')
        assert job not in self.cancelled, f'{task} starts after its cancel'
        node = self.ctl.runners[runner.name]
        assert node.info is not None and not node.info.draining
        spec = self.specs[job].steps[int(step)]
        for before in spec.after:
            count = self.specs[job].steps[before].count
            names = {f'{job}.0.{before}.{n}' for n in range(count)}
            assert names <= self.done_once, f'{task} starts too early'
        used = sum(
            self.specs[t.split('.')[0]].steps[int(t.split('.')[2])].demand.cpu
            for t in runner.runs
        )
        assert used <= runner.info.capacity.cpu, 'overcommitted'
        own = self.specs[job].steps[int(step)]
        beside = sum(t.startswith(f'{job}.0.{step}.') for t in runner.runs)
        assert beside <= (own.max_per_runner or beside), 'too many beside'
        assert not own.label or own.label in runner.info.labels

    def is_gang(self, task: str) -> bool:
        """Tell whether the tasks of a step run only together."""
        job, _, step, _ = task.split('.')
        return self.specs[job].steps[int(step)].gang

    def list_members(self, task: str) -> list[str]:
        """Return the names of all members of a gang."""
        job, _, step, _ = task.split('.')
        count = self.specs[job].steps[int(step)].count
        return [f'{job}.0.{step}.{n}' for n in range(count)]

    def note_gang(self, task: str, attempt: int) -> None:
        """Remember the start of a gang's member."""
        if self.is_gang(task):
            step = task.rpartition('.')[0]
            self.gangs.setdefault((step, attempt), set()).add(task)

    def check_gangs(self) -> None:
        """Check that gangs are started whole, and break those that aren't.

        A start whose runner was cut off never arrives; the members that wait
        for it end after a while.
        """
        if not self.stored or any(
            not r.connected or r.info.draining for r in self.runners.values()
        ):
            self.disturbed.update(self.gangs)
        for (step, attempt), started in list(self.gangs.items()):
            members = set(self.list_members(f'{step}.0'))
            running = {t for r in self.runners.values() for t in r.runs}
            runs = members & running
            if runs and runs != members and started == members:
                self.end_all(runs, 'broken')
            if started != members:
                # The owner orders all members or none.
                assert (step, attempt) in self.disturbed, (step, started)
                self.end_all(runs, 'alone')
            if not runs:
                del self.gangs[step, attempt]

    def end_all(self, tasks: set[str], how: str) -> None:
        """End runs, wherever they are."""
        for runner in self.runners.values():
            for task in tasks & set(runner.runs):
                runner.end(task, how)

    @property
    def done_once(self) -> set[str]:
        """Return the tasks that have ended done at some time."""
        return self._done_once

    def play(self) -> None:
        """Play the day."""
        names, weights = zip(*EVENTS.items())
        for _ in range(STEPS):
            getattr(self, f'do_{self.rng.choices(names, weights)[0]}')()
            self.now += self.rng.choice([0.05, 0.3, 0.3, 1.0])
            for runner in self.runners.values():
                assert isinstance(runner, LeasedRunner)
                runner.pass_time()
            self.step(0.0)
            self.check_gangs()
            self.note_ends()

    def note_ends(self) -> None:
        """Remember the ends that the runners were told to forget."""
        for rec in self.log:
            for row in getattr(rec, 'rows', ()):
                if getattr(row, 'how', '') == 'done':
                    self.noted_done.add(row.task)

    def settle(self) -> None:
        """Let everything heal and all work end."""
        self.do_store_on()
        for runner in self.runners.values():
            runner.connected = True
            runner.info = dataclasses.replace(runner.info, draining=False)
            self.attach(runner)
        # A start that was under way ends with the older lease of its runner.
        self.disturbed.update(self.gangs)
        for _ in range(60):
            for runner in self.runners.values():
                for task in list(runner.runs):
                    self.finish(runner, task)
            self.check_gangs()
            self.step(0.5)

    def pick_run(self) -> tuple[job_harness.FakeRunner, str] | None:
        """Return any run of a connected or cut runner."""
        runs = [(r, t) for r in self.runners.values() for t in r.runs]
        return self.rng.choice(runs) if runs else None

    def do_submit(self) -> None:
        """Submit a job of one to three steps."""
        job_id = f'{len(self.specs):04d}'
        steps = []
        for number in range(self.rng.randint(1, 3)):
            after = (number - 1,) if number else ()
            demand = types.Demand(self.rng.choice([500, 2000, 5000]), 100)
            step = types.Step(self.rng.randint(1, 5), demand, after=after)
            steps.append(self.vary(step))
        self.specs[job_id] = job_harness.make_job(job_id, *steps)
        self.submit(self.specs[job_id])

    def vary(self, step: types.Step) -> types.Step:
        """Give a step one of the properties that bind its placement."""
        kind = self.rng.choice(['', '', '', 'gang', 'apart', 'label'])
        if kind == 'gang':
            small = types.Demand(500, 100)
            return dataclasses.replace(step, gang=True, demand=small)
        if kind == 'apart':
            return dataclasses.replace(step, max_per_runner=2)
        if kind == 'label':
            return dataclasses.replace(step, label='rack-a')
        return step

    def finish(self, runner: job_harness.FakeRunner, task: str) -> None:
        """End a run as done; a gang ends whole or not at all."""
        if not self.is_gang(task):
            self._done_once.add(task)
            runner.end(task, 'done')
            return
        members = set(self.list_members(task))
        if members <= {t for r in self.runners.values() for t in r.runs}:
            self._done_once.update(members)
            self.end_all(members, 'done')

    def do_cancel(self) -> None:
        """Cancel a job; it counts once it is confirmed."""
        if not self.specs:
            return
        job_id = self.rng.choice(sorted(self.specs))
        before = len(self.replies)
        self.ctl.cancel(('', 'c'), job_id, self.now)
        self.flush()
        if any(r.outcome == 'cancelled' for r in self.replies[before:]):
            self.cancelled.add(job_id)

    def do_finish(self) -> None:
        """End a run as done."""
        found = self.pick_run()
        if found is not None:
            self.finish(*found)

    def do_fail(self) -> None:
        """End a run as failed."""
        found = self.pick_run()
        if found is not None:
            found[0].end(found[1], 'failed')

    def do_cut(self) -> None:
        """Cut an agent off from the owner."""
        runner = self.runners[self.rng.choice(sorted(self.runners))]
        runner.connected = False

    def do_heal(self) -> None:
        """Let the agents that are cut off come back."""
        for runner in self.runners.values():
            if not runner.connected:
                runner.connected = True
                self.attach(runner)

    def do_reborn(self) -> None:
        """Begin a new life of a runner."""
        runner = self.rng.choice(list(self.runners.values()))
        self.born += 1
        runner.restart(self.born)
        runner.info = dataclasses.replace(runner.info, draining=False)
        runner.connected = True
        self.attach(runner)

    def do_takeover(self) -> None:
        """Let a new owner take over; it needs the store."""
        if not self.stored:
            return
        self.lead()
        self.attach_all()

    def do_store_off(self) -> None:
        """Take the store away."""
        self.stored = False

    def do_store_on(self) -> None:
        """Give the store back."""
        self.stored = True
        self.flush()

    def do_drain(self) -> None:
        """Let a runner say that it leaves; a new life is ready again."""
        runner = self.rng.choice(list(self.runners.values()))
        runner.info = dataclasses.replace(
            runner.info, draining=True, remaining_ms=3000
        )


@pytest.mark.parametrize('seed', SEEDS)
def test_rules_hold_on_a_random_day(seed: int) -> None:
    """Guard against a broken rule in series of faults that overlap."""
    day = Day(seed)
    day.play()
    day.settle()
    for job_id in day.specs:
        state = day.state(job_id)
        assert state in ('completed', 'failed', 'cancelled', 'unknown_job')
        if state == 'unknown_job':
            # Its acceptance was lost with an owner that never wrote it.
            assert all(job_id != r.spec.job_id for r in day.log
                       if hasattr(r, 'spec'))  # fmt: skip
    assert not any(r.runs for r in day.runners.values())

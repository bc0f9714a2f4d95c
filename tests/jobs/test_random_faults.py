"""Run random faults against the controller and check the users' rules."""

import dataclasses
import random

import job_harness
import pytest

from kcr_jobs import controller_state
from kcr_jobs import messages
from kcr_jobs import stragglers
from kcr_jobs import types

STEPS = 250
# The last three seeds reproduced gangs that were started in part.
SEEDS = (*range(25), 52, 61, 62)
# Weight of each event that may happen between two steps.
EVENTS = {
    'submit': 6, 'cancel': 1, 'finish': 10, 'fail': 3, 'disconnect': 2,
    'reconnect': 3, 'restart': 1, 'takeover': 1, 'store_off': 1,
    'store_on': 3, 'drain': 0.3,
}  # fmt: skip


class LeasedRunner(job_harness.FakeRunner):
    """Represent a runner that ends its runs when its lease expires."""

    def __init__(self, name: str, scenario: 'Scenario') -> None:
        super().__init__(name, cpu=8000)
        self.scenario = scenario
        self.lease_expires_at = 0.0

    def handle(self, msg: object) -> None:
        """Carry out a message; a confirmation extends the lease."""
        super().handle(msg)
        if isinstance(msg, messages.RunnerReportAck) and msg.lease_ms:
            self.lease_expires_at = self.scenario.now + msg.lease_ms / 1000.0
        if isinstance(msg, messages.StartRun):
            self.scenario.check_start(self, msg.task)
            self.scenario.record_gang(msg.task, msg.attempt)

    def expire_lease(self) -> None:
        """End the runs whose lease has expired."""
        if self.scenario.now > self.lease_expires_at:
            for task in list(self.runs):
                self.end(task, 'lapsed')


class Scenario(job_harness.Harness):
    """Run one random scenario, given by its seed."""

    # Weight of each event.
    events = EVENTS
    runner_type = LeasedRunner

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.durable_done: set[str] = set()
        self._done_once: set[str] = set()
        self.cancelled: set[str] = set()
        self.specs: dict[str, types.JobSpec] = {}
        self.born_ms = 1
        # Started members of gangs, by step and attempt.
        self.gangs: dict[tuple[str, int], set[str]] = {}
        # Gangs of which a fault may have prevented a part of the starts, by
        # step and attempt.
        self.disturbed: set[tuple[str, int]] = set()
        super().__init__()
        self.runners = {n: self.runner_type(n, self) for n in 'abcd'}
        self.attach_all()

    def check_start(self, runner: LeasedRunner, task: str) -> None:
        """Check the rules for a start; its run is listed already."""
        placements = [r.name for r in self.runners.values() if task in r.runs]
        assert placements == [runner.name], f'{task} runs at {placements}'
        assert task not in self.durable_done, f'{task} starts after its end'
        job, _, step, _ = task.split('.')
        assert job not in self.cancelled, f'{task} starts after its cancel'
        owned = self.ctl.runners[runner.name]
        assert owned.info is not None and not owned.info.draining
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
        """Return whether a task is a member of a gang."""
        job, _, step, _ = task.split('.')
        return self.specs[job].steps[int(step)].gang

    def list_members(self, task: str) -> list[str]:
        """Return the names of all members of a gang."""
        job, _, step, _ = task.split('.')
        count = self.specs[job].steps[int(step)].count
        return [f'{job}.0.{step}.{n}' for n in range(count)]

    def record_gang(self, task: str, attempt: int) -> None:
        """Record the start of a gang's member."""
        if self.is_gang(task):
            step = task.rpartition('.')[0]
            self.gangs.setdefault((step, attempt), set()).add(task)

    def check_gangs(self) -> None:
        """Check that gangs are started completely; end incomplete ones.

        A start does not arrive if its runner is disconnected; the other
        members, which wait for it, end.
        """
        if not self.store_available or any(
            not r.connected or r.info.draining for r in self.runners.values()
        ):
            self.disturbed.update(self.gangs)
        for (step, attempt), started in list(self.gangs.items()):
            members = set(self.list_members(f'{step}.0'))
            running = {t for r in self.runners.values() for t in r.runs}
            runs = members & running
            if runs and runs != members and started == members:
                self.end_runs(runs, 'broken')
            if started != members:
                # The owner orders all members or none.
                assert (step, attempt) in self.disturbed, (step, started)
                self.end_runs(runs, 'alone')
            if not runs:
                del self.gangs[step, attempt]

    def end_runs(self, tasks: set[str], how: str) -> None:
        """End runs, wherever they are."""
        for runner in self.runners.values():
            for task in tasks & set(runner.runs):
                runner.end(task, how)

    @property
    def done_once(self) -> set[str]:
        """Return the tasks of which a run has ended as done."""
        return self._done_once

    def run(self) -> None:
        """Run the scenario."""
        names, weights = zip(*self.events.items())
        for _ in range(STEPS):
            getattr(self, f'do_{self.rng.choices(names, weights)[0]}')()
            self.now += self.rng.choice([0.05, 0.3, 0.3, 1.0])
            for runner in self.runners.values():
                assert isinstance(runner, LeasedRunner)
                runner.expire_lease()
            self.step(0.0)
            self.check_gangs()
            self.record_ends()

    def record_ends(self) -> None:
        """Record the tasks whose end is in the log as done."""
        for rec in self.log:
            for row in getattr(rec, 'rows', ()):
                if getattr(row, 'how', '') == 'done':
                    self.durable_done.add(row.task)

    def finish_all(self) -> None:
        """End all faults and finish all work."""
        self.do_store_on()
        for runner in self.runners.values():
            runner.connected = True
            if runner.info.draining:
                # An incarnation that drains does not become ready again.
                self.restart(runner)
            self.attach(runner)
        # A start in flight is dropped with the older lease of its runner.
        self.disturbed.update(self.gangs)
        for _ in range(60):
            for runner in self.runners.values():
                for task in list(runner.runs):
                    self.finish(runner, task)
            self.check_gangs()
            self.step(0.5)

    def choose_run(self) -> tuple[job_harness.FakeRunner, str] | None:
        """Return any run, also of a disconnected runner; none without runs."""
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
            steps.append(self.add_constraint(step))
        self.specs[job_id] = job_harness.make_job(job_id, *steps)
        self.submit(self.specs[job_id])

    def add_constraint(self, step: types.Step) -> types.Step:
        """Add one of the constraints on placement, or none, to a step."""
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
        """End a run as done; a gang ends completely or not at all."""
        if not self.is_gang(task):
            self._done_once.add(task)
            runner.end(task, 'done')
            return
        members = set(self.list_members(task))
        if members <= {t for r in self.runners.values() for t in r.runs}:
            self._done_once.update(members)
            self.end_runs(members, 'done')

    def do_cancel(self) -> None:
        """Cancel a job; record it once the cancellation is confirmed."""
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
        found = self.choose_run()
        if found is not None:
            self.finish(*found)

    def do_fail(self) -> None:
        """End a run as failed."""
        found = self.choose_run()
        if found is not None:
            found[0].end(found[1], 'failed')

    def do_disconnect(self) -> None:
        """Disconnect an agent from the owner."""
        runner = self.runners[self.rng.choice(sorted(self.runners))]
        runner.connected = False

    def do_reconnect(self) -> None:
        """Reconnect all disconnected agents."""
        for runner in self.runners.values():
            if not runner.connected:
                runner.connected = True
                self.attach(runner)

    def do_restart(self) -> None:
        """Restart a runner."""
        runner = self.rng.choice(list(self.runners.values()))
        self.restart(runner)
        runner.connected = True
        self.attach(runner)

    def restart(self, runner: job_harness.FakeRunner) -> None:
        """Start a new incarnation of a runner."""
        self.born_ms += 1
        runner.restart(self.born_ms)
        runner.info = dataclasses.replace(runner.info, draining=False)

    def do_takeover(self) -> None:
        """Start a new owner, if the store is available."""
        if not self.store_available:
            return
        self.take_over()
        self.attach_all()

    def do_store_off(self) -> None:
        """Make the store unavailable."""
        self.store_available = False

    def do_store_on(self) -> None:
        """Make the store available."""
        self.store_available = True
        self.flush()

    def do_drain(self) -> None:
        """Drain a runner; a restart ends the draining."""
        runner = self.rng.choice(list(self.runners.values()))
        runner.info = dataclasses.replace(
            runner.info, draining=True, remaining_ms=3000
        )


class MovingScenario(Scenario):
    """Run a scenario in which tasks lag and are moved."""

    events = {**EVENTS, 'progress': 8}
    overload = controller_state.Overload(moves=True)

    def add_constraint(self, step: types.Step) -> types.Step:
        """Add a constraint; most tasks store checkpoints."""
        step = super().add_constraint(step)
        checkpointing = not step.gang and self.rng.random() < 0.8
        return dataclasses.replace(step, checkpointing=checkpointing)

    def do_progress(self) -> None:
        """Let all runs report progress; those of one runner lag."""
        for name, runner in self.runners.items():
            for run in runner.runs.values():
                most = 3 if name == 'a' else 30
                run.percent = min(99, run.percent + self.rng.randint(1, most))
                run.saved = f'{run.attempt}-{run.percent}'


def check_rules(scenario: Scenario) -> None:
    """Run a scenario to its end, and check that all jobs end."""
    scenario.run()
    scenario.finish_all()
    for job_id in scenario.specs:
        state = scenario.find_state(job_id)
        assert state in ('completed', 'failed', 'cancelled', 'unknown_job')
        if state == 'unknown_job':
            # Its owner was replaced before the acceptance was durable.
            assert all(job_id != r.spec.job_id for r in scenario.log
                       if hasattr(r, 'spec'))  # fmt: skip
    assert not any(r.runs for r in scenario.runners.values())


@pytest.mark.parametrize('seed', SEEDS)
def test_rules_hold_under_random_faults(seed: int) -> None:
    """Guard against a rule that is broken when several faults overlap."""
    check_rules(Scenario(seed))


def test_rules_hold_while_tasks_are_moved(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against a rule that is broken by the move of a task."""
    # A short scenario has few runs; the rules must hold however weak the
    # evidence for a move is.
    monkeypatch.setattr(stragglers, 'MIN_SAMPLES', 1)
    monkeypatch.setattr(stragglers, 'MIN_LAGGING', 1)
    monkeypatch.setattr(stragglers, 'SLOW_SHARE', 0.1)
    monkeypatch.setattr(stragglers, 'MAX_USUAL_SHARE', 1.0)
    monkeypatch.setattr(stragglers, 'LAG_FACTOR', 0.5)
    monkeypatch.setattr(stragglers, 'LONG_FACTOR', 1.0)
    monkeypatch.setattr(stragglers, 'GAIN_FACTOR', 0.1)
    monkeypatch.setattr(stragglers, 'MIN_GAIN_S', -10.0)
    monkeypatch.setattr(stragglers, 'BUDGET_SHARE', 1.0)
    moves = []
    for seed in SEEDS:
        scenario = MovingScenario(seed)
        check_rules(scenario)
        moves.append(
            sum(e.event == 'straggler moved' for e in scenario.log_events)
        )
    # Most of the scenarios have moves.
    assert sum(map(bool, moves)) > len(SEEDS) / 2, moves

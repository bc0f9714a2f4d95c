"""Check what is started on runners that are slow after their start."""

import dataclasses

import job_harness
import pytest

from kcr_jobs import cold_runners
from kcr_jobs import config
from kcr_jobs import job_table
from kcr_jobs import types

COLD_S = 8.0
# Factor of the run time on a cold runner.
SLOWNESS = 4.0
RULES = cold_runners.Rules({'svc': config.Service(0.0, 1.0)})
TASK = types.Step(1, types.Demand(400, 100), estimate_ms=1000.0)
SHORT = types.Queue('short', 'svc', slack_factor=1.5, target_ms=600.0)
BATCH = types.Queue('batch', 'svc', 2, slack_factor=8.0, target_ms=1000.0)


class World:
    """Run jobs on runners of two zones, one of which comes back cold."""

    def __init__(self, reports_cold: bool, runners: int = 4) -> None:
        self.reports_cold = reports_cold
        self.harness = job_harness.Harness(
            *(job_harness.FakeRunner(f'{z}{n}', 1600) for z in 'ab'
              for n in range(runners))
        )  # fmt: skip
        self.harness.ctl.set_cold_rules(RULES)
        # Work that each run has done, in seconds.
        self.work: dict[str, float] = {}
        # Time until which each runner is cold.
        self.cold_until: dict[str, float] = {}
        # Times of the starts on each cold runner, and the jobs with them.
        self.cold_starts: dict[str, list[float]] = {}
        self.cold_jobs: set[str] = set()
        self.submitted: dict[str, float] = {}
        self.ended: dict[str, float] = {}

    def restart_cold(self, zone: str) -> None:
        """Restart all runners of a zone, which are cold then."""
        for name, runner in self.harness.runners.items():
            if name.startswith(zone):
                for task in runner.runs:
                    self.work.pop(task, None)
                runner.restart(runner.info.born_ms + 1)
                self.cold_until[name] = self.harness.now + COLD_S
                self.update_report(name)
                self.harness.attach(runner)

    def update_report(self, name: str) -> None:
        """Set how much longer a runner reports to be cold."""
        left = self.cold_until.get(name, 0.0) - self.harness.now
        if self.reports_cold and name in self.cold_until:
            runner = self.harness.runners[name]
            runner.info = dataclasses.replace(
                runner.info, cold_remaining_ms=max(0, int(left * 1000))
            )

    def submit(self, job: str, queue: types.Queue, count: int) -> None:
        """Submit a job of one step."""
        self.submitted[job] = self.harness.now
        step = dataclasses.replace(TASK, count=count)
        self.harness.submit(job_harness.make_job(job, step, queue=queue))

    def step(self, seconds: float = 0.05) -> None:
        """Let the runs work for a while and deliver the reports."""
        now = self.harness.now
        for name, runner in self.harness.runners.items():
            cold = now < self.cold_until.get(name, 0.0)
            for task in list(runner.runs):
                if task not in self.work:
                    self.work[task] = 0.0
                    if cold:
                        self.cold_starts.setdefault(name, []).append(now)
                        self.cold_jobs.add(task.partition('.')[0])
                self.work[task] += seconds / (SLOWNESS if cold else 1.0)
                if self.work[task] >= 1.0:
                    runner.end(task, 'done')
            self.update_report(name)
        self.harness.step(seconds)
        for event in self.harness.log_events:
            if event.event == 'job ended':
                self.ended[event.fields['job']] = self.harness.now
        self.harness.log_events.clear()

    def count_in_time(self, target_s: float) -> int:
        """Return the number of jobs that ended within a time."""
        return sum(
            end - self.submitted[job] <= target_s
            for job, end in self.ended.items()
        )


def run_burst(reports_cold: bool) -> World:
    """Replay a burst of twice the load in which a zone comes back cold."""
    world = World(reports_cold)
    for tick in range(400):
        now = tick * 0.05
        if tick == 80:
            world.restart_cold('b')
        period = 5 if 3.0 <= now < 9.0 else 10
        if tick % period == 0 and now < 15.0:
            world.submit(f'{tick:03d}', SHORT, 8)
        world.step()
    return world


def test_cold_zone_in_a_burst_does_not_make_every_job_late() -> None:
    """Guard against cold runners that are the stragglers of every step.

    They must not stay idle either, and keep to the users' bound in any
    window of time.
    """
    before, after = run_burst(False), run_burst(True)
    assert len(after.ended) == len(after.submitted) == len(before.ended)
    assert len(after.cold_jobs) < len(before.cold_jobs)
    assert after.count_in_time(2.1) > before.count_in_time(2.1)
    starts = after.cold_starts
    assert len(starts) == 4, 'a cold runner stays idle'
    for times in starts.values():
        for first in range(len(times)):
            for last in range(first, len(times)):
                window = times[last] - times[first]
                assert last - first + 1 <= 1.5 * window + 5.0


def make_idle() -> World:
    """Return a world whose zone b is cold, and zone a idle."""
    world = World(True, runners=1)
    world.step()
    world.restart_cold('b')
    world.step(1.0)
    world.step(4.0)
    return world


def test_urgent_and_narrow_work_goes_to_warm_runners() -> None:
    """Guard against urgent tasks beside free warm capacity."""
    world = make_idle()
    world.submit('urgent', SHORT, 4)
    world.step()
    world.step()
    assert set(world.harness.find_placements('urgent').values()) == {'a0'}
    # The rest of a job waits for the warm runner of its other tasks.
    world.submit('more', SHORT, 4)
    world.submit('wide', BATCH, 20)
    world.step()
    world.step()
    assert set(world.harness.find_placements('more').values()) == {'b0'}


def test_wide_work_uses_cold_runners() -> None:
    """Guard against cold runners that stay idle beside wide jobs."""
    world = make_idle()
    world.submit('wide', BATCH, 20)
    world.step()
    world.step()
    assert set(world.harness.find_placements('wide').values()) == {'a0', 'b0'}


def test_job_with_tasks_on_warm_runners_waits_for_them() -> None:
    """Guard against one cold straggler in each job of a burst."""
    world = make_idle()
    world.submit('j', SHORT, 6)
    # The tasks that wait must not hide the cold runner from other jobs.
    world.submit('wide', BATCH, 20)
    world.step()
    world.step()
    assert set(world.harness.find_placements('j').values()) == {'a0'}
    assert len(world.harness.find_placements('j')) == 4
    assert set(world.harness.find_placements('wide').values()) == {'b0'}


def test_starts_on_a_cold_runner_keep_to_the_limit() -> None:
    """Guard against more starts in a window than the users allow."""
    world = make_idle()
    step = dataclasses.replace(TASK, count=90, demand=types.Demand(1, 1))
    world.harness.submit(job_harness.make_job('many', step, queue=BATCH))
    near = dataclasses.replace(step, label='rack-b0')
    world.harness.submit(job_harness.make_job('near', near, queue=BATCH))
    for _ in range(50):
        world.step()
    times = world.cold_starts['b0']
    assert len(times) >= 4, 'the cold runner stays idle'
    for first in range(len(times)):
        for last in range(first, len(times)):
            window = times[last] - times[first]
            assert last - first + 1 <= 1.5 * window + 5.0


def make_task(job: types.JobSpec, now: float = 0.0) -> job_table.Task:
    """Return the first task of a job that was accepted at a time."""
    made = job_table.Job(job, 0, accepted_at=now)
    return made.make_occurrence()[0]


def test_kinds_of_work_that_need_a_warm_runner() -> None:
    """Guard against last tasks of a step that are its stragglers."""
    step = dataclasses.replace(TASK, count=20)
    wide = make_task(job_harness.make_job('w', step, queue=BATCH))
    assert not cold_runners.needs_warm(wide, 20, 1.0)
    assert cold_runners.needs_warm(wide, 5, 1.0)
    assert cold_runners.needs_warm(wide, 20, 8.0), 'little time is left'
    assert not cold_runners.needs_warm(wide, 5, 60.0), 'of no use any more'
    filler = dataclasses.replace(step, fills=True)
    task = make_task(job_harness.make_job('f', filler, queue=SHORT))
    assert not cold_runners.needs_warm(task, 20, 1.0)
    lasts = dataclasses.replace(step, lasts=True)
    serving = make_task(job_harness.make_job('s', lasts, queue=BATCH))
    assert cold_runners.needs_warm(serving, 20, 1.0)
    next(iter(serving.job.tasks.values())).instance = 'warm'
    assert cold_runners.may_use_cold(serving, {'b0'}, 1.0)
    wide.instance = 'warm'
    assert not cold_runners.may_use_cold(wide, {'b0'}, 1.0)
    assert cold_runners.may_use_cold(wide, {'b0'}, 60.0)


def test_new_owner_does_not_grant_the_burst_again() -> None:
    """Guard against a takeover that doubles the starts of a cold runner."""
    world = make_idle()
    world.harness.take_over()
    world.harness.ctl.set_cold_rules(RULES)
    world.harness.attach_all()
    world.submit('wide', BATCH, 20)
    world.step()
    world.step()
    assert set(world.harness.find_placements('wide').values()) == {'a0'}


@pytest.mark.parametrize(
    ('reported_ms', 'born_ms', 'until'),
    [(2000, 0, 7.0), (0, 95_000, 5.0), (-1, 95_000, 8.0), (-1, 0, None)],
)
def test_cold_runner_is_known_by_its_report_or_its_age(
    reported_ms: int, born_ms: int, until: float | None
) -> None:
    """Guard against a runner that is warm as it does not report it."""
    rules = cold_runners.Rules({'svc': config.Service(8.0, 1.0)})
    info = types.RunnerInfo('i', born_ms, 'svc', cold_remaining_ms=reported_ms)
    found = cold_runners.infer_cold_until(info, rules, 5.0, 100_000.0)
    assert found == (until if until is not None else -float('inf'))


def test_delayed_report_does_not_prolong_the_cold_time() -> None:
    """Guard against a runner that is cold for good, as heartbeats stopped."""
    world = make_idle()
    runner = world.harness.runners['b0']
    until = world.harness.ctl.runners['b0'].cold_until
    runner.info = dataclasses.replace(runner.info, cold_remaining_ms=9000)
    world.harness.report(runner)
    assert world.harness.ctl.runners['b0'].cold_until == until

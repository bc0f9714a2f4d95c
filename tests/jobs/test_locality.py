"""Check how long tasks wait for a place in a rack."""

import dataclasses
import typing

import job_harness
import pytest

from kcr_jobs import durations
from kcr_jobs import job_table
from kcr_jobs import rack_choice
from kcr_jobs import types

NEAR = types.Step(
    1, types.Demand(4000, 100), estimate_ms=4000.0, near_rack='rack-0',
    image='i',
)  # fmt: skip


class Racks:
    """Drive two racks of two runners; each runner takes four tasks."""

    def __init__(self, **fields: typing.Any) -> None:
        self.runners = [job_harness.FakeRunner(f'r{n}') for n in range(4)]
        for number, runner in enumerate(self.runners):
            labels = ('a', f'rack-{number // 2}')
            runner.info = dataclasses.replace(
                runner.info, labels=labels, **fields
            )
        self.harness = job_harness.Harness(*self.runners, remote_factor=3.0)
        # A run that is ordered at 0 s is not measured.
        self.harness.step()

    def fill(self, runner: int, run_s: float, tasks: int = 4) -> None:
        """Submit tasks that are expected to run for a time on a runner."""
        chosen = self.runners[runner]
        for other in self.runners:
            other.info = dataclasses.replace(
                other.info,
                labels=(*other.info.labels[:2], 'x')
                if other is chosen
                else other.info.labels[:2],
            )
        self.harness.step(0.0)
        step = types.Step(
            tasks, types.Demand(4000, 100), estimate_ms=1000 * run_s,
            label='x', image=f'fill{runner}',
        )  # fmt: skip
        self.harness.submit(job_harness.make_job(f'fill{runner}', step))
        self.harness.step(0.01)

    def submit(self, step: types.Step, job_id: str = 'j') -> None:
        """Submit a job with a target time that no test exceeds."""
        queue = types.Queue('q', 'svc', target_ms=600_000.0)
        self.harness.submit(job_harness.make_job(job_id, step, queue=queue))

    def find_racks(self, job_id: str = 'j') -> list[str]:
        """Return the racks of the running tasks of a job."""
        return sorted(
            self.harness.runners[name].info.rack
            for name in self.harness.find_placements(job_id).values()
        )

    def find_events(self, name: str) -> list[dict[str, typing.Any]]:
        """Return the fields of the log events of a name."""
        return [e.fields for e in self.harness.log_events if e.event == name]


def test_task_waits_for_place_that_is_free_soon() -> None:
    """Guard against a run of 12 s elsewhere for a wait of a second."""
    racks = Racks()
    racks.fill(0, 1.0)
    racks.fill(1, 1.0)
    racks.submit(NEAR)
    racks.harness.step(0.1)
    assert not racks.find_racks()
    [event] = racks.find_events('task waits for rack')
    assert 0.8 < event['wait_s'] < 1.6 and event['remote_s'] == 12.0
    reasons = racks.find_events('step waits')[-1]
    assert reasons['waits_for_rack'] == 2 and reasons['processors'] == 2
    explained = racks.harness.ctl.planner.locality.explain()
    assert explained['j.0.0']['rack'] == 'rack-0'
    racks.runners[1].end('fill1.0.0.0', 'done')
    racks.harness.step(0.1)
    assert racks.find_racks() == ['rack-0']


def test_task_does_not_wait_for_place_that_is_free_late() -> None:
    """Guard against a wait that takes longer than the run elsewhere."""
    racks = Racks()
    racks.fill(0, 9.0)
    racks.fill(1, 9.0)
    racks.submit(NEAR)
    racks.harness.step(0.1)
    assert racks.find_racks() == ['rack-1']
    task = racks.harness.ctl.table.jobs['j'].tasks['j.0.0.0']
    assert task.slowdown == 3.0


def test_wait_ends_after_the_time_that_was_computed() -> None:
    """Guard against a wait that is prolonged with each plan.

    The tasks in the rack take longer than expected, and each plan expects
    their ends soon.
    """
    racks = Racks()
    racks.fill(0, 1.0)
    racks.fill(1, 1.0)
    racks.submit(dataclasses.replace(NEAR, count=2))
    racks.harness.step(0.1)
    until = racks.find_events('task waits for rack')[0]['longest_s']
    began = racks.harness.now
    while len(racks.find_racks()) < 2:
        racks.harness.step(0.1)
        assert racks.harness.now - began < until + 0.5
    assert racks.find_racks() == ['rack-1', 'rack-1']
    counts = racks.harness.ctl.planner.locality.take_counts()
    assert counts == {'waited': 2, 'left': 2}


def test_each_further_task_expects_a_longer_wait() -> None:
    """Guard against all tasks of many jobs waiting for the same places."""
    racks = Racks()
    racks.fill(0, 1.0)
    racks.fill(1, 1.0)
    step = dataclasses.replace(NEAR, count=8, demand=types.Demand(2000, 100))
    for number in range(5):
        racks.submit(step, f'j{number}')
    racks.harness.step(0.1)
    # The rack takes 16 tasks when those there end, and 16 when these end; a
    # third turn is later than the end of a run elsewhere.
    assert not racks.find_racks('j0') and not racks.find_racks('j1')
    waiting = [
        task
        for job in racks.harness.ctl.table.jobs.values()
        for task in job.tasks.values()
        if task.awaited_rack
    ]
    assert len(waiting) == 32
    assert racks.find_racks('j') == ['rack-1'] * 8


@pytest.mark.parametrize('case', ['draining', 'lost', 'none', 'small'])
def test_no_wait_for_place_that_does_not_become_free(case: str) -> None:
    """Guard against a wait for a rack whose runners take no tasks."""
    racks = Racks()
    racks.fill(0, 1.0)
    racks.fill(1, 1.0)
    step = NEAR
    for runner in racks.runners[:2]:
        if case == 'draining':
            runner.info = dataclasses.replace(
                runner.info, draining=True, remaining_ms=60_000
            )
        elif case == 'lost':
            runner.connected = False
            racks.harness.ctl.detach(f's-{runner.name}')
        elif case == 'small':
            capacity = types.Demand(16000, 90)
            runner.info = dataclasses.replace(runner.info, capacity=capacity)
    if case == 'none':
        step = dataclasses.replace(NEAR, near_rack='rack-9')
    racks.submit(step)
    racks.harness.step(0.1)
    assert racks.find_racks() == ['rack-1']


def test_idle_job_does_not_wait_for_long() -> None:
    """Guard against a job without a running task beside free capacity."""
    racks = Racks()
    racks.fill(0, 4.0)
    racks.fill(1, 4.0)
    racks.submit(NEAR)
    racks.harness.step(0.1)
    # The wait would pay up to 8 s.
    assert racks.find_racks() == ['rack-1']


def test_job_that_is_in_time_elsewhere_does_not_risk_it() -> None:
    """Guard against a wait that uses up the slack of a job."""
    queue = types.Queue('q', 'svc', slack_factor=3.2, target_ms=0.0)
    racks = Racks()
    racks.fill(0, 1.0)
    step = dataclasses.replace(NEAR, estimate_ms=1000.0)
    spec = job_harness.make_job('j', step, queue=queue)
    job = job_table.Job(spec, 0)
    [task] = job.make_occurrence()
    model = durations.Durations()
    # 3.2 s are left, a run elsewhere takes 3 s: half of 2.2 s are at risk.
    assert rack_choice.infer_slack_s(task, model, 3.0, 0.0) == (
        pytest.approx(1.1)
    )
    # Late elsewhere anyhow.
    assert rack_choice.infer_slack_s(task, model, 3.0, 0.5) >= 2.0


@pytest.mark.parametrize('gang', [True, False])
@pytest.mark.parametrize('soon', [True, False])
def test_rack_local_step_stays_in_one_rack(gang: bool, soon: bool) -> None:
    """Guard against a step that is spread although a rack is free soon."""
    racks = Racks()
    # Each rack has room for four of the six tasks.
    racks.fill(1, 1.0 if soon else 30.0)
    racks.fill(3, 30.0)
    step = dataclasses.replace(
        NEAR, count=6, near_rack='', rack_local=True, gang=gang
    )
    racks.submit(step)
    racks.harness.step(0.1)
    if not soon and not gang:
        # The last two would wait for the first four: 8 s instead of 12 s.
        assert len(set(racks.find_racks())) == 1
        return
    if not soon:
        assert sorted(set(racks.find_racks())) == ['rack-0', 'rack-1']
        tasks = racks.harness.ctl.table.jobs['j'].tasks.values()
        assert all(t.slowdown == 3.0 for t in tasks)
        return
    assert racks.find_racks() == ([] if gang else ['rack-0'] * 4)
    for index in range(4):
        racks.runners[1].end(f'fill1.0.0.{index}', 'done')
    racks.harness.step(0.5)
    assert racks.find_racks() == ['rack-0'] * 6


def test_others_leave_awaited_places_to_those_that_wait() -> None:
    """Guard against a wait in vain, as tasks of other jobs take the place."""
    racks = Racks()
    racks.fill(0, 1.0)
    racks.fill(1, 1.0)
    racks.fill(2, 9.0, 3)
    racks.submit(NEAR)
    racks.harness.step(0.1)
    for index in range(4):
        racks.runners[1].end(f'fill1.0.0.{index}', 'done')
    # It goes first, and rack-0 would have more idle processors.
    first = types.Queue('a', 'svc', target_ms=1.0)
    other = dataclasses.replace(NEAR, near_rack='')
    racks.harness.submit(job_harness.make_job('a', other, queue=first))
    racks.harness.step(0.1)
    assert racks.find_racks('a') == ['rack-1']
    assert racks.find_racks('j') == ['rack-0']

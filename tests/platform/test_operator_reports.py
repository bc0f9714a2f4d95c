"""Bring about, with real processes, what other operators reported.

The reports are listed in docs/promises.md. The tests with fakes of single
tasks are in tests/jobs, tests/agent and tests/scheduler.
"""

import json
import pathlib
import signal
import time
import typing

import deployment as deployments
import http_calls
import platform_fakes
import pytest

# Run time of a task that outlives the faults, in seconds.
LONG_TASK_S = 4.0
# Time for which a process is suspended: longer than the time after which the
# others replace it, shorter than the lease of a runner.
SUSPENDED_S = 3.0
# Time for which the runners refuse orders, and time after which they carry out
# the one that got no answer: within the run time of the next attempt.
BUSY_S = 1.0
LATE_START_S = 2.5


@pytest.fixture
def deployment(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> typing.Iterator[deployments.Deployment]:
    """Run a deployment for one test."""
    monkeypatch.setattr(platform_fakes, 'TASK_DURATION_S', LONG_TASK_S)
    made = deployments.Deployment(tmp_path)
    try:
        yield made
    finally:
        made.close()


def check_started_once(deployment: deployments.Deployment) -> None:
    """Check that no task was started twice and no rule was broken."""
    checker = deployment.checker
    assert checker.violations == []
    repeated = [
        task
        for task, started in checker.started.items()
        if checker.first_start[task] != started
    ]
    assert repeated == [], deployment.read_logs()


def wait_started(deployment: deployments.Deployment, count: int) -> None:
    """Wait until a number of tasks have been started."""
    deployment.wait(lambda: len(deployment.checker.started) >= count)


def find_newest_owner(deployment: deployments.Deployment) -> str:
    """Return the scheduler that has gained the ownership last."""
    epochs = {}
    for name in deployment.fronts:
        text = (deployment.folder / f'{name}.log').read_text()
        lines = [line for line in text.splitlines() if '"leading"' in line]
        epochs[name] = max(
            (json.loads(line)['epoch'] for line in lines), default=0
        )
    return max(epochs, key=lambda name: epochs[name])


def test_suspended_agent_keeps_its_work(
    deployment: deployments.Deployment,
) -> None:
    """Guard against work that is started elsewhere while a machine is slow."""
    deployment.submit('1' * 16, count=4)
    wait_started(deployment, 4)
    agent = deployment.processes['a1']
    agent.send_signal(signal.SIGSTOP)
    time.sleep(SUSPENDED_S)
    agent.send_signal(signal.SIGCONT)
    deployment.wait_completed('1' * 16)
    check_started_once(deployment)


def test_restarted_agents_keep_the_work(
    deployment: deployments.Deployment,
) -> None:
    """Guard against work that is given up because its agent was replaced."""
    deployment.submit('1' * 16, count=4)
    wait_started(deployment, 4)
    for name in ('a1', 'a2'):
        deployment.processes[name].send_signal(signal.SIGKILL)
        deployment.processes[name].wait()
        deployment.start(name)
    deployment.wait_completed('1' * 16)
    check_started_once(deployment)


def test_orders_go_out_once_around_a_hand_over(
    deployment: deployments.Deployment,
) -> None:
    """Guard against two owners that both act during a hand-over."""
    for number in range(3):
        deployment.submit(f'{number:016x}', count=2)
        owner = find_newest_owner(deployment)
        deployment.wait(lambda: owner in deployment.list_running())
        item = deployment.processes[owner]
        item.send_signal(signal.SIGTERM)
        deployment.submit(f'{number + 8:016x}', count=2)
        assert item.wait(deployments.WAIT_TIMEOUT_S) == 0
        deployment.start(owner)
    for number in (0, 1, 2, 8, 9, 10):
        deployment.wait_completed(f'{number:016x}')
    check_started_once(deployment)


def test_suspended_owner_acts_on_nothing_when_it_wakes(
    deployment: deployments.Deployment,
) -> None:
    """Guard against an owner that uses a permission that has run out.

    When it wakes, its callers ask for a job that its successor has accepted.
    """
    deployment.submit('1' * 16, count=2)
    owner = find_newest_owner(deployment)
    item = deployment.processes[owner]
    item.send_signal(signal.SIGSTOP)
    time.sleep(SUSPENDED_S)
    other = next(name for name in deployment.fronts if name != owner)
    body = {'Spec': 'x', 'Phases': [{'Count': 1, 'Cpu': 500, 'MemMb': 10}]}
    path = f'/q/{"2" * 16}'

    def is_accepted() -> bool:
        status, _ = http_calls.call_once(
            deployment.fronts[other], 'POST', path,
            json.dumps(body).encode(),
        )  # fmt: skip
        return status == 200

    deployment.wait(is_accepted)
    item.send_signal(signal.SIGCONT)
    end = time.monotonic() + 3.0
    while time.monotonic() < end:
        status, _ = http_calls.call_once(
            deployment.fronts[owner], 'GET', path, None
        )
        assert status != 410, 'an accepted job was denied'
    for job in ('1' * 16, '2' * 16):
        deployment.wait_completed(job)
    check_started_once(deployment)


def test_lost_answers_repeat_no_work(
    deployment: deployments.Deployment,
) -> None:
    """Guard against work that is run again after an answer was lost."""
    deployment.submit('0' * 16)
    deployment.store.lost_share = 0.4
    for runner in deployment.runners.values():
        runner.late_share = 0.4
    for number in range(1, 4):
        deployment.submit(f'{number:016x}', count=2)
    for number in range(4):
        deployment.wait_completed(f'{number:016x}')
    assert deployment.checker.violations == []


def test_order_that_is_late_after_a_refused_repeat_runs_once(
    deployment: deployments.Deployment,
) -> None:
    """Guard against a task that runs twice after a refused repeat (review/2).

    The runner leaves the first start unanswered, refuses the others as busy
    for a while, and carries out the first one after that.
    """
    deployment.submit('0' * 16, count=1)
    deployment.wait_completed('0' * 16)
    for runner in deployment.runners.values():
        runner.busy_until = time.monotonic() + BUSY_S
        runner.late_start_s = LATE_START_S
    deployment.submit('1' * 16, count=4)
    deployment.wait_completed('1' * 16)
    assert deployment.checker.violations == [], deployment.read_logs()


def test_silent_connections_to_the_runners_end_no_work(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against a lease that lapses beside a healthy runner (review/4).

    The agent tried its silent connections in turn, a timeout each, and what
    ran was ended and started again.
    """
    monkeypatch.setattr(platform_fakes, 'TASK_DURATION_S', 14.0)
    made = deployments.Deployment(tmp_path, linked=True)
    try:
        made.submit('1' * 16, count=16)
        wait_started(made, 16)
        for name in made.runners:
            made.links[f'runner of {name}'].silence()
        made.wait_completed('1' * 16)
        check_started_once(made)
    finally:
        made.close()


def test_silent_sessions_between_schedulers_change_no_owner(
    tmp_path: pathlib.Path,
) -> None:
    """Guard against schedulers that displace each other's owner for good.

    Before their sessions were replaced, three schedulers changed the owner 24
    times in 13 s.
    """
    made = deployments.Deployment(tmp_path, schedulers=3, linked=True)

    def count_owners() -> int:
        logs = [(tmp_path / f'{name}.log').read_text() for name in made.fronts]
        return sum(text.count('"leading"') for text in logs)

    try:
        made.submit('1' * 16, count=2)
        made.wait_completed('1' * 16)
        time.sleep(SUSPENDED_S)
        before = count_owners()
        for name in made.fronts:
            made.links[name].silence()
        time.sleep(SUSPENDED_S)
        made.submit('2' * 16, count=2)
        made.wait_completed('2' * 16)
        settled = count_owners()
        # One change for each scheduler that claims before it is connected.
        assert settled - before <= 2, made.read_logs()
        time.sleep(SUSPENDED_S)
        assert count_owners() == settled
        check_started_once(made)
    finally:
        made.close()

"""Bring about, with real processes, a deregistration that comes late."""

import json
import pathlib
import time
import urllib.request

import deployment as deployments

# Times for which a deregistration is held up after its runner has restarted,
# in seconds, from the last one on.
DELAYS_S = (0.1, 1.0, 2.0)
# Time in which a runner that has left must get no start, in seconds.
OUT_OF_USE_S = 2.0


def deregister(made: deployments.Deployment, name: str) -> None:
    """Deliver a deregistration of a runner to its agent."""
    runner_id = made.runners[name].runner_id
    url = f'http://{made.controls[name]}/-/Instances.Deregister/{runner_id}'
    with urllib.request.urlopen(url, b'', timeout=5.0) as got:
        assert got.status == 200


def drain(made: deployments.Deployment, name: str) -> None:
    """Report a runner as draining, as its last heartbeat does."""
    runner = made.runners[name]
    runner.beats_from = time.monotonic() + 1000.0
    body = {
        **runner.make_heartbeat(1_000_000),
        'State': 'draining',
        'RemainingMs': 1000,
    }
    url = f'http://{made.controls[name]}/-/Instances.Heartbeat/'
    data = json.dumps(body).encode()
    with urllib.request.urlopen(
        url + runner.runner_id, data, timeout=5.0
    ) as got:
        assert got.status == 200


def wait_logged(made: deployments.Deployment, event: str, count: int) -> None:
    """Wait until the agent has logged an event a number of times."""
    log = made.folder / 'a1.log'
    made.wait(lambda: log.read_text().count(f'"{event}"') >= count)


def test_restarted_runner_gets_work_after_a_late_deregistration(
    tmp_path: pathlib.Path,
) -> None:
    """Guard against a job that waits for ever for a runner that serves (LOST).

    Deregistrations of the incarnation before were held up and came when the
    runner was in use again; no heartbeat took their effect back.
    """
    made = deployments.Deployment(tmp_path, schedulers=1, agents=1)
    runner = made.runners['a1']
    try:
        made.submit('a' * 16, count=1)
        made.wait_completed('a' * 16)
        drain(made, 'a1')
        wait_logged(made, 'runner draining', 1)
        runner.start_incarnation()
        runner.beats_from = 0.0
        wait_logged(made, 'runner incarnation started', 2)
        for delay_s in DELAYS_S:
            time.sleep(delay_s)
            deregister(made, 'a1')
        made.submit('b' * 16, count=2)
        made.wait_completed('b' * 16)
        assert made.checker.violations == []
    finally:
        made.close()


def test_deregistered_runner_gets_no_work_until_it_restarts(
    tmp_path: pathlib.Path,
) -> None:
    """Guard against starts on a runner that has left.

    It lists its runs for a while after its deregistration.
    """
    made = deployments.Deployment(tmp_path, schedulers=1, agents=1)
    runner = made.runners['a1']
    try:
        made.submit('a' * 16, count=1)
        made.wait_completed('a' * 16)
        drain(made, 'a1')
        deregister(made, 'a1')
        wait_logged(made, 'runner left', 1)
        made.submit('b' * 16, count=1)
        time.sleep(OUT_OF_USE_S)
        assert f'{"b" * 16}.0.0.0' not in made.checker.started
        runner.start_incarnation()
        runner.beats_from = 0.0
        made.wait_completed('b' * 16)
        assert made.checker.violations == []
    finally:
        made.close()

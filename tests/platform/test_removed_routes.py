"""Cancel jobs, with real processes, over paths that are no routes any more.

A job that goes on after such a cancel is UNASKED (review/13).
"""

from collections import abc
import pathlib
import typing

import deployment as deployments
import http_calls
import platform_fakes
import pytest

JOB = 'a' * 16
# More tasks than there is room for, so that starts would go on.
BODY = {'Spec': 'x', 'Phases': [{'Count': 200, 'Cpu': 500, 'MemMb': 10}]}
ROUTE = deployments.CONFIG['Routes'][0]
OTHER = {**ROUTE, 'Name': 'other', 'PathPrefix': '/other/'}


@pytest.fixture
def deployment(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> abc.Iterator[deployments.Deployment]:
    """Run a deployment with a job whose tasks run on."""
    monkeypatch.setattr(platform_fakes, 'TASK_DURATION_S', 1000.0)
    made = deployments.Deployment(tmp_path)
    try:
        made.wait(lambda: made.call('POST', f'/q/{JOB}', BODY)[0] == 200)
        made.wait(lambda: f'{JOB}.0.0.0' in made.checker.running)
        yield made
    finally:
        made.close()


def put_in_force(
    made: deployments.Deployment, *routes: dict[str, typing.Any]
) -> None:
    """Publish routes, without that of the job; wait for all schedulers."""
    made.version += 1
    made.publish(
        {
            **deployments.CONFIG,
            'Version': made.version,
            'Routes': [*routes, OTHER],
        }
    )
    wait_in_force(made)


def wait_in_force(made: deployments.Deployment) -> None:
    """Wait until no scheduler has the route of the job."""
    for front in made.fronts.values():
        made.wait(
            lambda: (
                http_calls.call_once(front, 'GET', '/other/')[0] == 200
                and http_calls.call_once(front, 'GET', '/q/')[0] in (400, 404)
            )
        )


def cancel(made: deployments.Deployment, name: str, path: str) -> int:
    """Cancel the job at one scheduler; return the status."""
    front = made.fronts[name]
    return http_calls.call_once(front, 'DELETE', f'{path}{JOB}')[0]


def check_cancelled(made: deployments.Deployment) -> None:
    """Check that the runs of the job end and that none starts."""
    made.wait(
        lambda: (
            made.call('GET', f'/other/{JOB}')[1].get('State') == 'cancelled'
        )
    )
    made.wait(lambda: not made.checker.running)
    assert made.checker.violations == [], made.read_logs()


def check_running(made: deployments.Deployment) -> None:
    """Check that the job was not cancelled."""
    state = made.call('GET', f'/other/{JOB}')[1].get('State')
    assert state in ('queued', 'running'), made.read_logs()


@pytest.mark.parametrize('name', ['s1', 's2'])
def test_job_whose_route_was_removed_is_cancelled(
    deployment: deployments.Deployment, name: str
) -> None:
    """Guard against a 404 to the cancel of a job that goes on.

    It is no success either, which would mean that the route is in force.
    """
    put_in_force(deployment)
    assert cancel(deployment, name, '/q/') == 410, deployment.read_logs()
    check_cancelled(deployment)
    assert cancel(deployment, name, '/q/') == 410


def test_job_of_a_moved_queue_is_cancelled_on_its_former_path(
    deployment: deployments.Deployment,
) -> None:
    """Guard against a queue whose new path is the only one that cancels.

    The schedulers have been restarted and never saw the former path.
    """
    put_in_force(deployment, {**ROUTE, 'PathPrefix': '/moved/'})
    for name in deployment.fronts:
        deployment.processes[name].kill()
        deployment.processes[name].wait()
        deployment.start(name)
    wait_in_force(deployment)
    deployment.wait(lambda: cancel(deployment, 's1', '/q/') == 410)
    check_cancelled(deployment)


def test_path_that_was_never_a_queue_cancels_nothing(
    deployment: deployments.Deployment,
) -> None:
    """Guard against a job that ends by a call on a path without a queue."""
    assert cancel(deployment, 's1', '/never/') == 404
    assert cancel(deployment, 's1', '/q/more/') == 400
    put_in_force(deployment)
    assert cancel(deployment, 's1', '/never/') == 404
    assert cancel(deployment, 's2', '/other/q/') == 400
    check_running(deployment)


def test_route_with_a_shorter_prefix_does_not_hide_the_removed_one(
    deployment: deployments.Deployment,
) -> None:
    """Guard against a 400 to the cancel, as the path fits another route."""
    root = {**ROUTE, 'Name': 'root', 'PathPrefix': '/'}
    put_in_force(deployment, root)
    assert cancel(deployment, 's1', '/never/') == 400
    check_running(deployment)
    assert cancel(deployment, 's1', '/q/') == 410
    check_cancelled(deployment)


def test_cancel_after_the_removal_is_kept_without_an_owner(
    deployment: deployments.Deployment,
) -> None:
    """Guard against a refused cancel that nobody carries out later."""
    put_in_force(deployment)
    owner = deployment.find_owner()
    other = next(name for name in deployment.fronts if name != owner)
    deployment.store.down = True
    deployment.processes[owner].kill()
    deployment.processes[owner].wait()
    log = deployment.folder / f'{other}.log'
    deployment.wait(lambda: '"owner lost"' in log.read_text())
    assert cancel(deployment, other, '/q/') == 503, deployment.read_logs()
    deployment.store.down = False
    check_cancelled(deployment)

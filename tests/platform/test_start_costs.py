"""Test what a role does before its first order, as it delays recovery.

After a loss of power all processes start at once on a part of a core, and no
call is served before they have imported their modules.
"""

import contextlib
import http.client
import json
import os
import pathlib
import socket
import subprocess
import sys
import typing

import deployment as deployments
import pytest

from kcr_platform import settings_file
from kcr_runtime import early_ports

PROBE = """
import gc, json, sys
collections = []
gc.callbacks.append(lambda phase, info: collections.append(phase))
from kcr_platform import main
early = len(collections)
main.daemon_main.disable_unused_libraries()
main.daemon_main.defer_garbage_collection()
from twisted.internet import reactor
reactor.run = lambda **options: None
status = main._run(sys.argv[1])
print(json.dumps({
    'status': status,
    'collections': len(collections) - early,
    'enabled': gc.isenabled(),
    'frozen': gc.get_freeze_count(),
    'plugins': sys.modules['pydantic.plugin._loader']._plugins,
    'modules': [name for name, found in sys.modules.items() if found],
}))
"""
# Objects of the modules of a role; fewer mean that they were not frozen.
MIN_FROZEN = 10_000


def start_role(role: str, folder: pathlib.Path) -> dict[str, typing.Any]:
    """Return what a role has done before its reactor runs."""
    path = folder / 'settings.toml'
    path.write_text(
        deployments.SETTINGS.format(
            name='n1', ip='127.0.0.1', seeds='', app='127.0.0.1:1',
            advertise='', front='127.0.0.1:0', ready='127.0.0.1:0',
            control='127.0.0.1:0', store='127.0.0.1:1',
        )
    )  # fmt: skip
    out = subprocess.run(
        [sys.executable, '-c', PROBE, role],
        capture_output=True, check=True, text=True, timeout=60,
        env={**os.environ, 'KINGCUPROUTER_CONFIG': str(path)},
    )  # fmt: skip
    found: dict[str, typing.Any] = json.loads(out.stdout.splitlines()[-1])
    assert found['status'] == 0
    return found


@pytest.mark.parametrize('role', ['scheduler', 'agent'])
def test_no_garbage_is_collected_during_imports(
    role: str, tmp_path: pathlib.Path
) -> None:
    """Guard against collections that visit all modules again and again.

    They have to be enabled again, as the process would grow for ever.
    """
    found = start_role(role, tmp_path)
    assert found['collections'] == 0
    assert found['enabled']
    assert found['frozen'] > MIN_FROZEN


@pytest.mark.parametrize('role', ['scheduler', 'agent'])
def test_no_plugins_are_looked_for(role: str, tmp_path: pathlib.Path) -> None:
    """Guard against reading the metadata of every installed distribution."""
    assert start_role(role, tmp_path)['plugins'] is None


@pytest.mark.parametrize(
    ('role', 'excluded'),
    [
        ('scheduler', {'kcr_agent', 'opentelemetry'}),
        ('agent', {'kcr_scheduler', 'klein', 'werkzeug', 'opentelemetry'}),
    ],
)
def test_modules_without_use_at_the_start(
    role: str, excluded: set[str], tmp_path: pathlib.Path
) -> None:
    """Guard against an import that delays the first order."""
    found = start_role(role, tmp_path)
    assert not {name.partition('.')[0] for name in found['modules']} & excluded


EARLY_PROBE = """
import json, sys
from kcr_platform import main
found = []
main.early_ports.open_port = lambda address: found.append(
    (address, [n for n in ('twisted', 'pydantic') if n in sys.modules])
)
main._run = lambda name: 0
sys.argv[0] = 'kcr_platform'
try:
    main.main()
finally:
    print(json.dumps(found))
"""


@pytest.mark.parametrize(
    ('role', 'opened'),
    [('agent', [['127.0.0.1:7', []]]), ('scheduler', [])],
)
def test_port_for_heartbeats_is_opened_before_the_imports(
    role: str, opened: list[typing.Any], tmp_path: pathlib.Path
) -> None:
    """Guard against a heartbeat that is refused while the agent starts.

    The runner would repeat it only after its interval.
    """
    path = tmp_path / 'settings.toml'
    path.write_text('[Listen]\nControl = "127.0.0.1:7"\nFront = "127.0.0.1:8"')
    out = subprocess.run(
        [sys.executable, '-c', EARLY_PROBE, role],
        capture_output=True, check=True, text=True, timeout=60,
        env={**os.environ, 'KINGCUPROUTER_CONFIG': str(path)},
    )  # fmt: skip
    assert json.loads(out.stdout) == opened


def test_heartbeat_before_the_imports_is_answered(
    tmp_path: pathlib.Path,
) -> None:
    """Guard against a port that is opened early and not served later."""
    deployment = deployments.Deployment(tmp_path, 1, 1)
    try:
        runner, control = deployment.runners['a1'], deployment.controls['a1']
        for _ in range(2):
            # No other heartbeats than those of the test.
            runner.unreachable = True
            deployment.wait(lambda: can_connect(control))
            body = json.dumps(runner.make_heartbeat(1000)).encode()
            path = f'/-/Instances.Heartbeat/{runner.runner_id}'
            conn = http.client.HTTPConnection(
                control, timeout=deployments.WAIT_TIMEOUT_S
            )
            conn.request('POST', path, body)
            assert conn.getresponse().status == 200
            conn.close()
            runner.unreachable = False
            deployment.processes['a1'].kill()
            deployment.processes['a1'].wait()
            deployment.start('a1')
        deployment.submit('a' * 16)
        deployment.wait_completed('a' * 16)
        assert deployment.checker.violations == []
    finally:
        deployment.close()


def can_connect(address: str) -> bool:
    """Return whether something listens on an address."""
    host, _, port = address.partition(':')
    with contextlib.suppress(OSError):
        socket.create_connection((host, int(port)), 1.0).close()
        return True
    return False


@pytest.mark.parametrize(
    'text',
    ['', '[Listen', 'Listen = 3', '[Listen]\nControl = 3', '[Listen]\nA = ""'],
)
def test_odd_settings_open_no_port(
    text: str, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against a process that ends before it reports its settings."""
    path = tmp_path / 'settings.toml'
    path.write_text(text)
    monkeypatch.setenv(settings_file.PATH_VARIABLE, str(path))
    assert not any(settings_file.read_listeners().values())


@pytest.mark.parametrize(
    'address', ['', 'x', ':', '127.0.0.1:x', '127.0.0.1:99999', '1.2.3.4:80']
)
def test_odd_address_opens_no_port(address: str) -> None:
    """Guard against a process that ends before it reports an address."""
    assert not early_ports.open_port(address)
    assert early_ports.take(address) is None

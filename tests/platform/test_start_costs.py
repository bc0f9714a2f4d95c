"""Test what a role does before its first order, as it delays recovery.

After a loss of power all processes start at once on a part of a core, and no
call is served before they have imported their modules.
"""

import json
import os
import pathlib
import subprocess
import sys
import typing

import deployment as deployments
import pytest

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
        ('scheduler', {'kcr_agent', 'klein', 'werkzeug', 'opentelemetry'}),
        ('agent', {'kcr_scheduler', 'klein', 'werkzeug', 'opentelemetry'}),
    ],
)
def test_modules_without_use_at_the_start(
    role: str, excluded: set[str], tmp_path: pathlib.Path
) -> None:
    """Guard against an import that delays the first order."""
    found = start_role(role, tmp_path)
    assert not {name.partition('.')[0] for name in found['modules']} & excluded

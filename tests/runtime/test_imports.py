"""Test what each role of the daemon imports, because imports use memory."""

import json
import subprocess
import sys

import pytest

# Libraries with which a daemon would exceed its memory limit of 64 MB.
HEAVY_LIBRARIES = {
    'OpenSSL', 'treq', 'defopt', 'docutils', 'rich', 'requests', 'ssl',
    '_ssl', '_hashlib',
}  # fmt: skip
PROBE = """
import importlib, json, sys
from kcr_daemon import main
main.disable_unused_libraries()
importlib.import_module(main.MODULES[sys.argv[1]])
importlib.import_module('kcr_daemon.launch')
importlib.import_module('twisted.internet.reactor')
loaded = [n for n, m in sys.modules.items() if m is not None and '.' not in n]
print(json.dumps(loaded))
"""


@pytest.mark.parametrize(
    ('role', 'excluded'),
    [
        ('entry', {'kcr_sidecar', 'kcr_cli', 'kcr_emulator'}),
        (
            'sidecar',
            {'kcr_entry', 'kcr_cli', 'kcr_emulator', 'klein', 'yaml'},
        ),
    ],
)
def test_role_imports_only_what_it_needs(
    role: str, excluded: set[str]
) -> None:
    """Guard against an import that makes a daemon exceed its memory limit."""
    out = subprocess.run(
        [sys.executable, '-c', PROBE, role],
        capture_output=True,
        check=True,
        text=True,
        timeout=60,
    )
    loaded = set(json.loads(out.stdout))
    assert not loaded & (HEAVY_LIBRARIES | excluded)

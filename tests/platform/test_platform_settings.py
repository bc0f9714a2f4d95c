"""Check what the settings file of the platform sets."""

import pathlib

import pytest

from kcr_platform import settings
from kcr_platform import settings_file

TEXT = """
NodeName = "n"
Ip = "127.0.0.1"
Zone = "z"
Region = "r"
[Listen]
[Bounds]
{bounds}
[platform]
Addr = "127.0.0.1:1"
"""


@pytest.mark.parametrize(
    'bounds, factor',
    [('', 1.0), ('RemoteFactor = 3', 3.0), ('RemoteFactor = 0', 1.0)],
)
def test_factor_for_remote_data_reaches_the_scheduler(
    bounds: str,
    factor: float,
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against a factor that is read and not handed on."""
    path = tmp_path / 'settings.toml'
    path.write_text(TEXT.format(bounds=bounds), encoding='utf-8')
    monkeypatch.setenv(settings_file.PATH_VARIABLE, str(path))
    options = settings.scheduler_options(settings.read())
    assert options['remote_factor'] == factor


def test_limits_of_the_store_reach_the_scheduler(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against appends that a store with other limits refuses."""
    path = tmp_path / 'settings.toml'
    monkeypatch.setenv(settings_file.PATH_VARIABLE, str(path))
    text = TEXT.format(bounds='')
    found = []
    names = ('max_record_bytes', 'max_call_bytes', 'keep_s')
    changed = 'MaxRecordBytes = 20000\nMaxCallBytes = 50000\nkeep_s = 30\n'
    for extra in ('', changed):
        path.write_text(text + extra, encoding='utf-8')
        options = settings.scheduler_options(settings.read())
        found.append([options[name] for name in names])
    assert found == [[262_144, 2_097_152, 300.0], [20_000, 50_000, 30.0]]

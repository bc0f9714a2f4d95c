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

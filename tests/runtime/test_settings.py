"""Test that settings are read from flags and environment and validated."""

import pytest

from kcr_entry import settings as entry_settings
from kcr_runtime import settings

FLAGS = [
    '--process', 'e1', '--region', 'r1', '--zone', 'z1',
    '--listen', '127.0.0.1:7100', '--http', '127.0.0.1:7200',
    '--log', '127.0.0.1:7000',
]  # fmt: skip


def test_flag_takes_precedence_over_environment(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against an environment variable that overrides a flag."""
    monkeypatch.setenv('KCR_ZONE', 'z9')
    monkeypatch.setenv('KCR_PEERS', '127.0.0.1:1, 127.0.0.1:2')
    cfg = settings.load(entry_settings.EntryOptions, FLAGS)
    assert cfg.zone == 'z1'
    assert cfg.peers == ['127.0.0.1:1', '127.0.0.1:2']


def test_all_errors_are_named_at_once(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guard against settings errors that are reported one at a time."""
    flags = [*FLAGS, '--max-connections', '0', '--seed', 'x']
    flags[flags.index('127.0.0.1:7100')] = 'localhost'
    with pytest.raises(SystemExit) as caught:
        settings.load(entry_settings.EntryOptions, flags)
    assert caught.value.code == settings.USAGE_EXIT
    text = capsys.readouterr().err
    for name in ('--listen', '--max-connections', '--seed'):
        assert name in text
    assert 'KCR_LISTEN' in text

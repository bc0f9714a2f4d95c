"""Test the signals of a process that has just been started."""

import signal
import typing

import pytest

from kcr_daemon import main


def test_sigterm_is_handled_once_sighup_is_ignored(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against a SIGTERM that kills a process between two signals."""
    order: list[signal.Signals] = []

    def record(number: signal.Signals, handler: typing.Any) -> None:
        order.append(number)

    monkeypatch.setattr(signal, 'signal', record)
    main.handle_early_signals()
    assert order == [signal.SIGTERM, signal.SIGHUP]

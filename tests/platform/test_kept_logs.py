"""Test that the logs of a play of the fault soak that fails are kept."""

import pathlib
import typing

import fault_soak
import pytest


class FakeSoak:
    """Write a log and fail as a play does."""

    wrong: tuple[str, ...] = ('job 1 is queued, not completed',)
    error: Exception | None = None

    def __init__(
        self,
        seed: int,
        folder: pathlib.Path,
        schedulers: int,
        agents: int,
        only: str = '',
    ) -> None:
        self.seed = seed
        (folder / 's1.log').write_text('line of s1')

    def run(self, duration_s: float) -> fault_soak.Result:
        """Return the violations, or raise the error."""
        if self.error is not None:
            raise self.error
        return fault_soak.Result(self.seed, self.wrong, {}, {}, 1, {})


@pytest.fixture(autouse=True)
def keep_folder(
    monkeypatch: pytest.MonkeyPatch, tmp_path: pathlib.Path
) -> typing.Any:
    """Keep logs in a folder of the test."""
    monkeypatch.setattr(fault_soak, 'Soak', FakeSoak)
    monkeypatch.setattr(fault_soak, 'KEEP_FOLDER', tmp_path, raising=False)
    return tmp_path


def test_failed_play_keeps_its_logs(keep_folder: pathlib.Path) -> None:
    """Guard against a failure in CI that can't be traced.

    A second play with the seed does not replace the logs of the first.
    """
    folders = {fault_soak.run_seed(7).kept for _ in range(2)}
    assert len(folders) == 2
    for name in folders:
        folder = pathlib.Path(name)
        assert folder.parent == keep_folder
        assert (folder / 's1.log').read_text() == 'line of s1'
        assert FakeSoak.wrong[0] in (folder / 'result.json').read_text()


def test_play_that_holds_keeps_nothing(
    keep_folder: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against a folder that grows with each run of CI."""
    monkeypatch.setattr(FakeSoak, 'wrong', ())
    assert fault_soak.run_seed(7).kept == ''
    assert list(keep_folder.iterdir()) == []


def test_play_that_raises_keeps_its_logs(
    keep_folder: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against a play without a result whose logs are lost."""
    monkeypatch.setattr(FakeSoak, 'error', TimeoutError('no owner'))
    with pytest.raises(TimeoutError) as info:
        fault_soak.run_seed(7)
    (folder,) = keep_folder.iterdir()
    assert (folder / 's1.log').exists()
    assert str(folder) in ' '.join(info.value.__notes__)

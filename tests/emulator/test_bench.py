"""Check that the benchmark is repeatable and its ratios are valid."""

import dataclasses

import pytest

from kcr_core import types
from kcr_emulator import bench
from kcr_emulator import bench_interference
from kcr_emulator import bench_requests


@pytest.mark.parametrize('policy', bench_requests.POLICIES)
def test_equal_seeds_give_equal_rows(
    policy: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against figures that are not reproducible."""
    monkeypatch.setattr(bench_requests, 'WARMUP_S', 0.1)
    monkeypatch.setattr(bench_requests, 'MEASURED_S', 0.2)
    settings = types.ControlSettings(endpoint_policy=policy)
    case = bench_requests.Case(policy, settings, 0.6, 'slow')
    first = bench_requests.run_case(case, 7)
    assert first == bench_requests.run_case(case, 7)
    assert first != bench_requests.run_case(case, 8)


def test_interference_without_a_policy_does_not_act() -> None:
    """Guard against a baseline that throttles or evicts."""
    row = bench_interference.run_policy('none', 'balanced', 1)
    assert row.acts == row.evictions == 0


def test_table_shows_every_figure() -> None:
    """Guard against columns that do not match their headings."""
    row = dataclasses.asdict(bench_interference.Row('p', 'w', 1.0, 0, 2, 3, 4))
    lines = bench.format_table('title', [row]).splitlines()
    assert lines[0] == 'title'
    assert lines[1].split() == list(row)
    assert lines[2].split() == [str(value) for value in row.values()]


def test_ratio_needs_a_baseline() -> None:
    """Guard against a division by a baseline of zero."""
    assert bench.ratio(3.0, 2.0) == 1.5
    assert bench.ratio(3.0, 0.0) is None

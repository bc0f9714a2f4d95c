"""Check that the benchmark is repeatable and its ratios are valid."""

import dataclasses
import random

import pytest

from kcr_core import types
from kcr_emulator import bench
from kcr_emulator import bench_interference
from kcr_emulator import bench_loop
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


def test_burst_at_a_full_endpoint_is_served_by_the_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against refusals by the retry budget while others have room.

    One of three runners is paused in each of three bursts of 60 requests, so
    that it gets most of those of the next burst; there are 192 connections.
    """
    monkeypatch.setattr(bench_loop, 'DEADLINE_S', 20.0)
    loop = bench_loop.EventLoop()
    settings = types.ControlSettings()
    sidecars = {
        name: bench_loop.Sidecar(
            loop, name, bench_loop.RunnerBehavior(), random.Random(seed)
        )
        for seed, name in enumerate(('i0', 'i1', 'i2'))
    }
    entries = [
        bench_loop.Entry(loop, name, sidecars, settings, random.Random(seed))
        for seed, name in enumerate(('e0', 'e1'))
    ]

    def send_burst(paused: str) -> None:
        for name, sidecar in sidecars.items():
            sidecar.runner.slowdown = 50.0 if name == paused else 1.0
        for number in range(60):
            entries[number % 2].submit()

    for number, name in enumerate(sidecars):
        sidecars[name].start(settings.heartbeat_s)
        loop.after(1.0 + 0.02 * number, send_burst, name)
    loop.run(25.0)
    kinds = [item.kind for entry in entries for item in entry.ended]
    assert kinds == ['done'] * 180

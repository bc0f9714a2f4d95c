"""Measure endpoint policies, hedging and retries with fakes."""

import dataclasses
import random
import typing

from kcr_core import types
from kcr_emulator import bench_loop

# Size of one deployment of today.
ENTRIES = 3
ENDPOINTS = 11
# Time measured, after a time in which the views and means settle, in seconds.
WARMUP_S = 2.0
MEASURED_S = 8.0
LOADS = (0.6, 0.9, 1.2)
FAULTS = ('none', 'slow', 'fail')
POLICIES = ('random', 'two_choices', 'least_cost', 'granted')
# Factor on the service time of the slow endpoint.
SLOW_FACTOR = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """Name one run."""

    # What the run is compared as.
    label: str
    # Settings that the entries follow.
    settings: types.ControlSettings
    # Offered load as a share of what all slots can serve.
    load: float
    # What the first endpoint does: `none`, `slow`, `fail` or `refuse`.
    fault: str


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Hold the figures of one run."""

    # What the run is compared as.
    label: str
    # Offered load.
    load: float
    # Fault of the first endpoint.
    fault: str
    # Quantiles of the time of whole answers, in ms.
    p50_ms: float
    p99_ms: float
    p999_ms: float
    # Share of the requests that were refused as not run.
    refused: float
    # Share of the requests that got a failed answer.
    failed: float
    # Share of the requests whose end is not known.
    unknown: float
    # Attempts in the runners per request.
    executed: float


def run_case(case: Case, seed: int) -> Row:
    """Run one case; equal seeds give equal arrivals."""
    loop = bench_loop.EventLoop()
    sidecars = {}
    for number in range(ENDPOINTS):
        name = f'i{number}'
        runner = make_runner_behavior(case.fault if number == 0 else 'none')
        rng = random.Random(f'{seed}/{name}')
        sidecars[name] = bench_loop.Sidecar(loop, name, runner, rng)
    entries = [
        bench_loop.Entry(
            loop,
            f'e{n}',
            sidecars,
            case.settings,
            random.Random(f'{seed}/{n}'),
        )
        for n in range(ENTRIES)
    ]
    for sidecar in sidecars.values():
        sidecar.start(case.settings.heartbeat_s)
    rate = case.load * ENDPOINTS * bench_loop.SLOTS / bench_loop.SERVICE_S
    arrivals = random.Random(f'{seed}/arrivals')
    at, end = 0.0, WARMUP_S + MEASURED_S
    while at < end:
        at += arrivals.expovariate(rate)
        loop.after(at, arrivals.choice(entries).submit)
    loop.run(end + bench_loop.DEADLINE_S)
    ended = [e for entry in entries for e in entry.ended]
    executed = sum(s.executed for s in sidecars.values()) / len(ended)
    return make_row(case, ended, executed)


def make_runner_behavior(fault: str) -> bench_loop.RunnerBehavior:
    """Return a runner with a fault."""
    if fault == 'slow':
        return bench_loop.RunnerBehavior(slowdown=SLOW_FACTOR)
    if fault == 'fail':
        return bench_loop.RunnerBehavior(fault='fail')
    if fault == 'refuse':
        return bench_loop.RunnerBehavior(fault='refuse')
    return bench_loop.RunnerBehavior()


def make_row(
    case: Case, ended: list[bench_loop.EndedRequest], executed: float
) -> Row:
    """Return the figures of the measured time."""
    counted = [e for e in ended if WARMUP_S <= e.since < WARMUP_S + MEASURED_S]
    done = sorted(e.took_s for e in counted if e.kind == 'done')
    total = max(1, len(counted))
    shares = {
        kind: round(sum(e.kind == kind for e in counted) / total, 5)
        for kind in ('not_run', 'failed', 'unknown')
    }
    return Row(
        label=case.label,
        load=case.load,
        fault=case.fault,
        p50_ms=quantile_ms(done, 0.5),
        p99_ms=quantile_ms(done, 0.99),
        p999_ms=quantile_ms(done, 0.999),
        refused=shares['not_run'],
        failed=shares['failed'],
        unknown=shares['unknown'],
        executed=round(executed, 4),
    )


def quantile_ms(ordered: list[float], share: float) -> float:
    """Return a quantile of ordered seconds, in ms."""
    if not ordered:
        return 0.0
    index = min(len(ordered) - 1, int(share * len(ordered)))
    return round(ordered[index] * 1000.0, 2)


def list_policy_cases() -> list[Case]:
    """Return the comparison of the endpoint policies."""
    return [
        Case(
            policy, types.ControlSettings(endpoint_policy=policy), load, fault
        )
        for fault in FAULTS
        for load in LOADS
        for policy in POLICIES
    ]


def list_repeat_cases() -> list[Case]:
    """Return the comparison of hedging and of the retry budget."""
    base = types.ControlSettings()
    variants: dict[str, dict[str, typing.Any]] = {
        'off': {'retry_budget': 0.0, 'hedge_quantile': 0.0},
        'budget 0.1': {'retry_budget': 0.1, 'hedge_quantile': 0.0},
        'no bound': {'retry_budget': 1e6, 'hedge_quantile': 0.0},
        'hedge q95': {'retry_budget': 0.1, 'hedge_quantile': 0.95},
        'hedge q99': {'retry_budget': 0.1, 'hedge_quantile': 0.99},
    }
    return [
        Case(label, dataclasses.replace(base, **changes), load, fault)
        for fault in ('none', 'slow', 'refuse')
        for load in LOADS
        for label, changes in variants.items()
    ]

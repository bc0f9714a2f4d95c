"""Measure endpoint policies, hedging and retries on a simulated clock.

`bench` calls it. A case runs the entries and sidecars of `bench_loop` under
Poisson arrivals, with a given load and a fault of the first endpoint.
"""

import dataclasses
import random
import typing

from kcr_core import types
from kcr_emulator import bench_loop

# Numbers of entries and endpoints, as in current deployments.
ENTRIES = 3
ENDPOINTS = 11
# Measured time, after a warm-up in which fleet views and means converge, in
# seconds.
WARMUP_S = 2.0
MEASURED_S = 8.0
LOADS = (0.6, 0.9, 1.2)
FAULTS = ('none', 'slow', 'fail')
POLICIES = ('random', 'two_choices', 'least_cost', 'granted')
# Service time factor of the slow endpoint.
SLOW_FACTOR = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """Describe one run."""

    # Name of the policy or variant in the comparison.
    label: str
    # Control settings of the entries.
    settings: types.ControlSettings
    # Offered load as a share of what all slots can serve.
    load: float
    # Fault of the first endpoint: `none`, `slow`, `fail` or `refuse`.
    fault: str


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Store the figures of one run."""

    # Name of the policy or variant in the comparison.
    label: str
    # Offered load.
    load: float
    # Fault of the first endpoint.
    fault: str
    # Latency quantiles of the requests that succeeded, in ms.
    p50_ms: float
    p99_ms: float
    p999_ms: float
    # Share of the requests that were refused as not run.
    refused: float
    # Share of the requests that got a failed answer.
    failed: float
    # Share of the requests with an unknown outcome.
    unknown: float
    # Attempts that reached a runner, per request.
    executed: float


def run_case(case: Case, seed: int) -> Row:
    """Run one case; cases with equal seeds get the same arrivals."""
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
    """Return the behavior of a runner with a fault."""
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
    """Return the figures of the requests that arrived in the measured time."""
    counted = [
        e for e in ended if WARMUP_S <= e.arrived_at < WARMUP_S + MEASURED_S
    ]
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
    """Return a quantile of ascending times in seconds, in ms."""
    if not ordered:
        return 0.0
    index = min(len(ordered) - 1, int(share * len(ordered)))
    return round(ordered[index] * 1000.0, 2)


def list_policy_cases() -> list[Case]:
    """Return the cases that compare endpoint policies."""
    return [
        Case(
            policy, types.ControlSettings(endpoint_policy=policy), load, fault
        )
        for fault in FAULTS
        for load in LOADS
        for policy in POLICIES
    ]


def list_repeat_cases() -> list[Case]:
    """Return the cases that compare hedging and retry budgets."""
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

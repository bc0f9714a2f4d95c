"""Compare policies by tail latency, throughput and evictions.

`make bench` runs it. One run with one seed drives the decision code of
`kcr_core` under every policy on a simulated clock and reports the ratio of
each policy to the baseline policy of the same run. Only the cost per choice is
measured with the real clock.
"""

from collections import abc
from concurrent import futures
import dataclasses
import json as json_module
import typing

import defopt

from kcr_emulator import bench_cost
from kcr_emulator import bench_interference
from kcr_emulator import bench_requests

# Number of processes among which the cases are divided.
POOL_SIZE = 4
# Baseline policy or variant of each comparison.
BASELINES = {
    'endpoints': 'two_choices',
    'repeats': 'off',
    'interference': 'threshold',
}

Figures = dict[str, typing.Any]


def run_requests(
    cases: abc.Sequence[bench_requests.Case], seed: int, baseline: str
) -> list[Figures]:
    """Return the figures of request cases with the ratio of their p99."""
    with futures.ProcessPoolExecutor(POOL_SIZE) as pool:
        seeds = [seed] * len(cases)
        rows = list(pool.map(bench_requests.run_case, cases, seeds))
    base = {
        (row.fault, row.load): row.p99_ms
        for row in rows
        if row.label == baseline
    }
    return [
        {
            **dataclasses.asdict(row),
            'p99_ratio': ratio(row.p99_ms, base[row.fault, row.load]),
        }
        for row in rows
    ]


def run_interference(seeds: abc.Sequence[int], baseline: str) -> list[Figures]:
    """Return the figures of the interference policies, averaged over seeds."""
    out = []
    for policy, weights in bench_interference.list_cases():
        rows = [
            bench_interference.run_policy(policy, weights, seed)
            for seed in seeds
        ]
        figures: Figures = {'policy': policy, 'weights': weights}
        for name in ('p99_ms', 'above', 'work', 'evictions', 'acts'):
            values = [getattr(row, name) for row in rows]
            figures[name] = round(sum(values) / len(values), 3)
        out.append(figures)
    base = {f['weights']: f for f in out if f['policy'] == baseline}
    for figures in out:
        baseline_row = base[figures['weights']]
        figures['p99_ratio'] = ratio(figures['p99_ms'], baseline_row['p99_ms'])
        figures['work_ratio'] = ratio(figures['work'], baseline_row['work'])
    return out


def run_cost() -> list[Figures]:
    """Return the cost of a choice per policy and fleet size."""
    return [
        {'policy': policy, **bench_cost.measure_slope(policy)}
        for policy in bench_requests.POLICIES
    ]


def ratio(value: float, base: float) -> float | None:
    """Return the ratio to the baseline; none if the baseline is zero."""
    return round(value / base, 3) if base else None


def format_table(title: str, rows: abc.Sequence[Figures]) -> str:
    """Return a title and rows as an aligned table."""
    names = list(rows[0])
    cells = [names] + [[str(row[name]) for name in names] for row in rows]
    widths = [max(len(line[i]) for line in cells) for i in range(len(names))]
    lines = [
        '  '.join(
            cell.rjust(width) for cell, width in zip(line, widths, strict=True)
        )
        for line in cells
    ]
    return '\n'.join([title, *lines, ''])


def run(*, seed: int = 1, json: bool = False, output: str = '') -> None:
    """Run all comparisons and print them.

    :param seed: seed of arrivals, service times and choices
    :param json: print JSON instead of tables
    :param output: file to which the figures go as JSON; empty for none
    """
    result: dict[str, list[Figures]] = {
        'endpoints': run_requests(
            bench_requests.list_policy_cases(), seed, BASELINES['endpoints']
        ),
        'repeats': run_requests(
            bench_requests.list_repeat_cases(), seed, BASELINES['repeats']
        ),
        'interference': run_interference(
            range(seed, seed + 8), BASELINES['interference']
        ),
        'cost_ns': run_cost(),
    }
    text = json_module.dumps({'seed': seed, **result}, indent=1)
    if output:
        with open(output, 'w', encoding='utf-8') as out:
            out.write(text)
    if json:
        print(text)
        return
    for name, rows in result.items():
        base = BASELINES.get(name)
        suffix = f' (ratios to {base})' if base else ', slope per endpoint'
        print(format_table(name + suffix, rows))


if __name__ == '__main__':
    defopt.run(run)

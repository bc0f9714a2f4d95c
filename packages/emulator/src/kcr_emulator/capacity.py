"""Measure costs on this machine and extrapolate them to the design size.

`make capacity` runs it and prints the tables that docs/CAPACITY.md quotes.
Other processes may use the machine meanwhile, so the parts take the lowest of
several runs or the slope over several sizes.
"""

from collections import abc
import dataclasses
import json
import sys
import typing
import warnings

import defopt

from kcr_emulator import capacity_cpu
from kcr_emulator import capacity_figures
from kcr_emulator import capacity_harness
from kcr_emulator import capacity_plan
from kcr_emulator import capacity_process
from kcr_emulator import capacity_state

# Parts in the order of measurement. The real processes come first, while this
# process uses little memory.
PARTS: dict[str, abc.Callable[[], typing.Any]] = {
    'processes': capacity_process.measure_idle,
    'attached': capacity_process.measure_attached,
    'held': capacity_process.measure_running,
    'start': capacity_process.measure_start,
    'kinds': capacity_cpu.measure_message_kinds,
    'rest': capacity_cpu.measure_idle,
    'request': lambda: capacity_cpu.measure_requests(True),
    'single_request': lambda: capacity_cpu.measure_requests(False),
    'tasks': capacity_cpu.measure_tasks,
    'running': capacity_cpu.measure_running,
    'records': capacity_state.measure_records,
    'document': capacity_state.measure_document,
    'choices': capacity_state.measure_choices,
    'bytes': capacity_state.measure_bytes,
}
TITLES = {
    'processes': 'Real processes: 2 entries, 3 sidecars',
    'attached': 'Real entry with fake sidecars attached',
    'held': 'Real sidecar by the tasks that it runs',
    'start': 'Real entry that reads the live tasks at its start',
    'kinds': 'Messages: bytes, and microseconds of each step',
    'rest': 'Processor at rest, whole roles on a fake clock',
    'request': 'Idempotent request through the front, whole roles',
    'single_request': 'Non-idempotent request, whole roles',
    'tasks': 'Short task from submission to its end, whole roles',
    'running': 'Running tasks at a home, whole roles',
    'records': 'Records of the log',
    'document': 'Document in force, per instance in it',
    'choices': 'Decisions by the number of endpoints',
    'bytes': 'Bytes of state per unit (tracemalloc)',
}


def run(*, as_json: bool = False) -> None:
    """Measure every part and print the results.

    :param as_json: print JSON instead of tables
    """
    warnings.simplefilter('ignore')
    capacity_harness.prepare_roles()
    slopes: dict[str, typing.Any] = {}
    for name, measure in PARTS.items():
        print(f'measuring {name}', file=sys.stderr, flush=True)
        slopes[name] = measure()
    size = capacity_plan.Size()
    figures = capacity_figures.infer_all(slopes, size)
    if as_json:
        print(json.dumps(make_report(slopes, size, figures), indent=1))
        return
    for name, value in slopes.items():
        print('\n'.join(format_part(TITLES[name], value)))
    print('\n'.join(format_figures(figures)))


def make_report(
    slopes: dict[str, typing.Any],
    size: capacity_plan.Size,
    figures: list[capacity_plan.Figure],
) -> dict[str, typing.Any]:
    """Return slopes, size and figures as plain data for JSON."""
    return {
        'slopes': slopes,
        'size': dataclasses.asdict(size),
        'figures': [
            {**dataclasses.asdict(f), 'reaches': f.is_within_limit()}
            for f in figures
        ],
    }


def format_part(title: str, value: dict[str, typing.Any]) -> list[str]:
    """Return the lines of the table of one part."""
    lines = [f'\n{title}']
    nested = [name for name in value if isinstance(value[name], dict)]
    if not nested:
        return lines + [f'  {k:44} {v:12.2f}' for k, v in value.items()]
    columns = list(value[nested[0]])
    lines.append(' ' * 31 + ''.join(f'{c:>18}' for c in columns))
    for name in nested:
        row = ''.join(f'{value[name][c]:18.2f}' for c in columns)
        lines.append(f'  {name:29}{row}')
    return lines


def format_figures(figures: list[capacity_plan.Figure]) -> list[str]:
    """Return the lines of the figures at the design size."""
    lines = ['\nAt the designed size']
    for figure in figures:
        limit = '' if figure.limit is None else f' of {figure.limit:.6g}'
        verdict = 'reached' if figure.is_within_limit() else 'NOT REACHED'
        lines.append(
            f'  {figure.name}: {figure.value:.5g}{limit} {figure.unit}, '
            f'{verdict if limit else "no limit"}'
        )
        lines.append(f'    = {figure.terms}')
    return lines


def main() -> None:
    """Run the command line; `--json` prints JSON."""
    args = ['--as-json' if a == '--json' else a for a in sys.argv[1:]]
    defopt.run(run, argv=args)


if __name__ == '__main__':
    main()

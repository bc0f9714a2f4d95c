"""Test that the page of metrics and log events is complete."""

import ast
from collections import abc
import pathlib

ROOT = pathlib.Path(__file__).parents[2]
PAGE = (ROOT / 'docs' / 'observability.md').read_text()
LOG_METHODS = {'info', 'warning', 'error'}
METRIC_METHODS = {'count', 'record_ms'}


def find_literals(
    methods: set[str], owner: str
) -> abc.Iterator[tuple[str, str]]:
    """Yield the file and the first argument of calls on `owner`.

    Calls whose first argument is not a literal are left out.
    """
    for path in sorted(ROOT.glob('packages/*/src/**/*.py')):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not node.args:
                continue
            func, first = node.func, node.args[0]
            if not isinstance(func, ast.Attribute):
                continue
            if func.attr not in methods or owner not in ast.dump(func.value):
                continue
            if isinstance(first, ast.Constant):
                yield path.name, str(first.value)


def test_every_metric_is_on_the_page() -> None:
    """Guard against a metric that is missing from the operators' page."""
    missing = [
        found
        for found in find_literals(METRIC_METHODS, 'metrics')
        if f'`kcr.{found[1]}`' not in PAGE
    ]
    assert missing == []


def test_every_log_event_is_on_the_page() -> None:
    """Guard against a log event that is missing from the operators' page."""
    missing = [
        found
        for found in find_literals(LOG_METHODS, 'log')
        if f'`{found[1]}`' not in PAGE
    ]
    assert missing == []

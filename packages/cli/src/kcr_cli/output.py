"""Print results of commands as tables or JSON, and progress as text."""

from collections import abc
import json
import typing


class Output:
    """Print results and progress, each to a stream of its own."""

    def __init__(
        self, results: typing.TextIO, progress: typing.TextIO, as_json: bool
    ) -> None:
        self.results = results
        self.progress = progress
        # Whether a result is printed as one JSON value.
        self.as_json = as_json

    def print_progress(self, text: str) -> None:
        """Print a line of progress at once."""
        print(text, file=self.progress, flush=True)

    def print_result(self, value: typing.Any, text: str) -> None:
        """Print a result: `value` as JSON, or else `text`."""
        if self.as_json:
            print(json.dumps(value, sort_keys=True), file=self.results)
        elif text:
            print(text, file=self.results)


def format_table(
    rows: abc.Sequence[abc.Mapping[str, typing.Any]],
    columns: abc.Sequence[str],
) -> str:
    """Return rows as an aligned text table with a header."""
    lines = [list(columns)]
    lines += [[str(row.get(name, '')) for name in columns] for row in rows]
    widths = [max(len(line[i]) for line in lines) for i in range(len(columns))]
    return '\n'.join(
        '  '.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )

"""Write results as tables for people or as JSON."""

from collections import abc
import json
import typing


class Output:
    """Write to two streams: results, and progress for people."""

    def __init__(
        self, results: typing.TextIO, progress: typing.TextIO, as_json: bool
    ) -> None:
        # Stream of results.
        self.results = results
        # Stream of progress.
        self.progress = progress
        # Whether results are one JSON value.
        self.as_json = as_json

    def say(self, text: str) -> None:
        """Write a line of progress."""
        print(text, file=self.progress, flush=True)

    def give(self, value: typing.Any, text: str) -> None:
        """Write a result: `value` as JSON, or `text` for people."""
        if self.as_json:
            print(json.dumps(value, sort_keys=True), file=self.results)
        elif text:
            print(text, file=self.results)


def table(
    rows: abc.Sequence[abc.Mapping[str, typing.Any]],
    columns: abc.Sequence[str],
) -> str:
    """Return rows as a table with a header."""
    lines = [list(columns)]
    lines += [[str(row.get(name, '')) for name in columns] for row in rows]
    widths = [max(len(line[i]) for line in lines) for i in range(len(columns))]
    return '\n'.join(
        '  '.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )

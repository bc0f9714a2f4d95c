"""Describe what is wrong with a document: path, value and remedy."""

import dataclasses
import typing

# Characters of a wrong value that are shown.
SHOWN_CHARS = 60
# Problems that are reported at once; the rest is counted.
MAX_PROBLEMS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """State one fault of a document."""

    # Path of the field, for example `times.heartbeat_s`; empty for the file.
    path: str
    # What is wrong.
    message: str
    # What to do about it.
    remedy: str
    # Value that was found, shortened; empty when there is none.
    value: str = ''

    def __str__(self) -> str:
        found = f' (found {self.value})' if self.value else ''
        where = self.path or 'file'
        return f'{where}: {self.message}{found}; {self.remedy}'


class InvalidDocument(Exception):
    """Report every problem of a document at once."""

    def __init__(self, problems: list[Problem]) -> None:
        shown = problems[:MAX_PROBLEMS]
        super().__init__('\n'.join(str(item) for item in shown))
        # What is wrong, in the order of the file.
        self.problems = shown
        # Problems beyond the bound.
        self.omitted = len(problems) - len(shown)


def shorten(value: typing.Any) -> str:
    """Return a short text of any value."""
    text = repr(value)
    if len(text) <= SHOWN_CHARS:
        return text
    return text[: SHOWN_CHARS - 3] + '...'

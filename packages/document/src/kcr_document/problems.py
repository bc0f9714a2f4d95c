"""Define how problems of a document are reported: path, value and remedy."""

import dataclasses
import typing

# Length to which a shown value is shortened.
MAX_VALUE_CHARS = 60
# Problems listed in one report; further ones are only counted.
MAX_PROBLEMS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """Represent one problem of a document."""

    # Path of the field, for example `times.heartbeat_s`; empty for the file.
    path: str
    # What is wrong, as a predicate of the path.
    message: str
    # How to correct it.
    remedy: str
    # Value found, shortened; empty if there is none to show.
    value: str = ''

    def __str__(self) -> str:
        found = f' (found {self.value})' if self.value else ''
        path = self.path or 'file'
        return f'{path}: {self.message}{found}; {self.remedy}'


class InvalidDocument(Exception):
    """Report that a document is invalid, with all its problems."""

    def __init__(self, problems: list[Problem]) -> None:
        shown = problems[:MAX_PROBLEMS]
        super().__init__('\n'.join(str(item) for item in shown))
        # Reported problems, in the order of checking.
        self.problems = shown
        # Count of problems beyond MAX_PROBLEMS.
        self.omitted = len(problems) - len(shown)


def shorten(value: typing.Any) -> str:
    """Return the repr of a value, cut to MAX_VALUE_CHARS."""
    text = repr(value)
    if len(text) <= MAX_VALUE_CHARS:
        return text
    return text[: MAX_VALUE_CHARS - 3] + '...'

"""Compare two documents field by field; list items are matched by name."""

from collections import abc
import dataclasses
import typing

from kcr_document import models


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """Represent one difference."""

    # Path of the field; list items by name, as in `sizes[standard].slots`.
    path: str
    # Value before; None if it was added.
    before: typing.Any
    # Value after; None if it was removed.
    after: typing.Any

    def __str__(self) -> str:
        if self.before is None:
            return f'+ {self.path}: {format_value(self.after)}'
        if self.after is None:
            return f'- {self.path}: {format_value(self.before)}'
        return (
            f'~ {self.path}: {format_value(self.before)} -> '
            f'{format_value(self.after)}'
        )


def format_value(value: typing.Any) -> str:
    """Return a value as one line, a list item without its name."""
    if isinstance(value, dict):
        parts = [f'{k} {v}' for k, v in value.items() if k != 'name']
        return ', '.join(parts)
    return str(value)


def compare(before: models.Document, after: models.Document) -> list[Change]:
    """Return every difference between two documents."""
    return list(_compare('', before.model_dump(), after.model_dump()))


def _compare(
    path: str, before: typing.Any, after: typing.Any
) -> abc.Iterator[Change]:
    if isinstance(before, list) and isinstance(after, list):
        before = {item['name']: item for item in before}
        after = {item['name']: item for item in after}
        pattern = '{}[{}]'
    else:
        pattern = '{}.{}' if path else '{}{}'
    if not isinstance(before, dict) or not isinstance(after, dict):
        if before != after:
            yield Change(path, before, after)
        return
    for key in dict.fromkeys([*before, *after]):
        inner = pattern.format(path, key)
        if key in before and key in after:
            yield from _compare(inner, before[key], after[key])
        else:
            yield Change(inner, before.get(key), after.get(key))

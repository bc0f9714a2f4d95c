"""Compare document files and edit them in place, keeping the layout."""

from collections import abc
import pathlib
import typing

import yaml

from kcr_document import diff
from kcr_document import document
from kcr_document import problems


def compare_files(
    before: document.File | None, after: document.File
) -> list[str]:
    """Return a line for each difference, document by document.

    A document that only one file holds gives one line.
    """
    found = []
    for doc in after.documents:
        name = doc.environment.name
        old = before.find(name) if before is not None else None
        if old is None:
            found.append(f'+ {name}: {len(doc.instances)} instances')
            continue
        found += [f'{name} {item}' for item in diff.compare(old, doc)]
    for doc in before.documents if before is not None else ():
        if after.find(doc.environment.name) is None:
            found.append(f'- {doc.environment.name}')
    return found


def set_drained(text: str, instance: str, drained: bool) -> str:
    """Return the text with the `drained` flag of one instance set.

    Comments and layout are preserved. Raise InvalidDocument if the text has
    no such instance.
    """
    edits = []
    for root in yaml.compose_all(text, Loader=yaml.SafeLoader):
        for node in _find_instances(root, instance):
            edits.append(
                _make_drained_edit(node, 'true' if drained else 'false')
            )
    if not edits:
        raise problems.InvalidDocument(
            [
                problems.Problem(
                    'instances',
                    f'contain no instance {instance!r}',
                    'use the name of an instance in the file',
                )
            ]
        )
    for start, end, new in sorted(edits, reverse=True):
        text = text[:start] + new + text[end:]
    return text


def _find_instances(
    root: typing.Any, instance: str
) -> abc.Iterator[yaml.MappingNode]:
    for key, value in root.value:
        if key.value != 'instances':
            continue
        for node in value.value:
            for inner, name in node.value:
                if inner.value == 'name' and name.value == instance:
                    yield node


def _make_drained_edit(
    node: yaml.MappingNode, new: str
) -> tuple[int, int, str]:
    """Return start, end and new text of the edit that sets `drained`."""
    for key, value in node.value:
        if key.value == 'drained':
            return value.start_mark.index, value.end_mark.index, new
    key, value = node.value[-1]
    end = value.end_mark.index
    if node.flow_style:
        return end, end, f', drained: {new}'
    return end, end, f'\n{" " * key.start_mark.column}drained: {new}'


def write_file(path: pathlib.Path, text: str) -> None:
    """Replace a file atomically, so that no reader sees a partial file."""
    part = path.with_name(path.name + '.part')
    part.write_text(text, encoding='utf-8')
    part.replace(path)

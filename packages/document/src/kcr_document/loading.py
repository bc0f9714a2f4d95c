"""Decode the YAML of a document file into plain data, within fixed bounds.

The bounds limit the time and memory that a file can cost. Models are validated
afterwards, by `document`.
"""

import typing

import yaml

from kcr_core import message_base
from kcr_document import problems

# Largest file: its canonical text must fit into a record and into a frame.
MAX_BYTES = message_base.MAX_BODY_BYTES - 64 * 1024
# Nesting of lists and mappings.
MAX_DEPTH = 12
# YAML nodes with aliases expanded; 9,100 instances use about 110,000.
MAX_NODES = 400_000
# Aliases in one file.
MAX_ALIASES = 1000
# Documents in one file: one trial and one production document.
MAX_DOCUMENTS = 2


class _Loader(yaml.CSafeLoader):
    """Load plain data and collect duplicate keys."""

    def __init__(self, text: str) -> None:
        super().__init__(text)
        # Duplicate keys with their line numbers.
        self.duplicate_keys: list[tuple[str, int]] = []

    def construct_mapping(
        self, node: typing.Any, deep: bool = False
    ) -> dict[typing.Any, typing.Any]:
        """Return a mapping and collect its duplicate keys."""
        seen: set[str] = set()
        for key, _ in node.value:
            if key.value == '<<' or not isinstance(key.value, str):
                continue
            if key.value in seen:
                line = key.start_mark.line + 1
                self.duplicate_keys.append((key.value, line))
            seen.add(key.value)
        return super().construct_mapping(node, deep)


def load(data: bytes) -> list[typing.Any]:
    """Return the documents of a file as plain data.

    Raise InvalidDocument if it is not valid YAML or exceeds a bound.
    """
    text = _decode(data)
    try:
        _check_bounds(text)
        loader = _Loader(text)
        found = []
        while loader.check_data():  # type: ignore[no-untyped-call]
            found.append(loader.get_data())
    except yaml.YAMLError as exc:
        raise _make_error(_describe(exc), 'correct the YAML') from exc
    except (ValueError, RecursionError) as exc:
        raise _make_error(
            f'has an invalid value: {exc}', 'correct the YAML'
        ) from exc
    if loader.duplicate_keys:
        raise problems.InvalidDocument(
            [
                problems.Problem(
                    f'line {line}', f'key {key!r} occurs twice', 'remove one'
                )
                for key, line in loader.duplicate_keys
            ]
        )
    if not found or found == [None]:
        raise _make_error('is empty', 'write one document per environment')
    if len(found) > MAX_DOCUMENTS:
        raise _make_error(
            f'contains {len(found)} documents',
            f'keep at most {MAX_DOCUMENTS}: one trial, one production',
        )
    return found


def _make_error(message: str, remedy: str) -> problems.InvalidDocument:
    return problems.InvalidDocument([problems.Problem('', message, remedy)])


def _decode(data: bytes) -> str:
    if len(data) > MAX_BYTES:
        raise _make_error(
            f'has {len(data)} bytes', f'keep it within {MAX_BYTES} bytes'
        )
    try:
        text = data.decode('utf-8')
    except UnicodeDecodeError as exc:
        raise _make_error(
            f'is not UTF-8 at byte {exc.start}', 'save it as UTF-8'
        ) from exc
    if text.startswith('\ufeff'):
        raise _make_error(
            'starts with a byte order mark', 'save it without one'
        )
    return text


def _describe(exc: yaml.YAMLError) -> str:
    mark = getattr(exc, 'problem_mark', None)
    problem = getattr(exc, 'problem', None) or str(exc)
    if mark is None:
        return f'is not valid YAML: {problem}'
    return f'is not valid YAML at line {mark.line + 1}: {problem}'


def _check_bounds(text: str) -> None:
    """Check bounds on the parser events, before a tree is built.

    A tree with expanded aliases could exceed the memory.
    """
    # Node count of each complete anchored node, by anchor.
    sizes: dict[str, int] = {}
    # Anchor and node count at the start of each open collection.
    open_nodes: list[tuple[str | None, int]] = []
    nodes = aliases = 0
    for event in yaml.parse(text, Loader=yaml.CSafeLoader):
        if isinstance(event, yaml.AliasEvent):
            aliases += 1
            anchor = event.anchor or ''
            if anchor not in sizes:
                raise _make_error(
                    f'uses alias *{anchor} inside or before its anchor',
                    'write out the value',
                )
            nodes += sizes[anchor]
        elif isinstance(event, yaml.ScalarEvent):
            nodes += 1
            if event.anchor:
                sizes[event.anchor] = 1
        elif isinstance(event, yaml.CollectionStartEvent):
            open_nodes.append((event.anchor, nodes))
            nodes += 1
        elif isinstance(event, yaml.CollectionEndEvent):
            name, start = open_nodes.pop()
            if name:
                sizes[name] = nodes - start
        if aliases > MAX_ALIASES:
            raise _make_error(
                f'has more than {MAX_ALIASES} aliases', 'write out the values'
            )
        if nodes > MAX_NODES:
            raise _make_error(
                f'expands to more than {MAX_NODES} nodes',
                'use fewer aliases or instances',
            )
        if len(open_nodes) > MAX_DEPTH:
            raise _make_error(
                f'is nested deeper than {MAX_DEPTH} levels',
                'remove levels of nesting',
            )

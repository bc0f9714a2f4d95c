"""Turn the bytes of a file into plain data within fixed bounds."""

import typing

import yaml

from kcr_core import message_base
from kcr_document import problems

# Largest file; a record and a frame must hold its canonical text.
MAX_BYTES = message_base.MAX_BODY_BYTES - 64 * 1024
# Deepest nesting of lists and mappings.
MAX_DEPTH = 12
# Nodes after aliases are expanded; 9,100 instances use about 110,000.
MAX_NODES = 400_000
# Aliases in one file.
MAX_ALIASES = 1000
# Documents in one file: one trial and one production document.
MAX_DOCUMENTS = 2


class _Loader(yaml.CSafeLoader):
    """Load plain data and note keys that occur twice."""

    def __init__(self, text: str) -> None:
        super().__init__(text)
        # Keys that occur twice, with their line.
        self.doubled: list[tuple[str, int]] = []

    def construct_mapping(
        self, node: typing.Any, deep: bool = False
    ) -> dict[typing.Any, typing.Any]:
        """Return a mapping after a look at its keys."""
        seen: set[str] = set()
        for key, _ in node.value:
            if key.value == '<<' or not isinstance(key.value, str):
                continue
            if key.value in seen:
                line = key.start_mark.line + 1
                self.doubled.append((key.value, line))
            seen.add(key.value)
        return super().construct_mapping(node, deep)


def load(data: bytes) -> list[typing.Any]:
    """Return the documents of a file; raise InvalidDocument if it is none."""
    text = _decode(data)
    try:
        _check_bounds(text)
        loader = _Loader(text)
        found = []
        while loader.check_data():  # type: ignore[no-untyped-call]
            found.append(loader.get_data())
    except yaml.YAMLError as exc:
        raise _wrong(_describe(exc), 'correct the YAML') from exc
    except (ValueError, RecursionError) as exc:
        raise _wrong(f'bad value: {exc}', 'correct the YAML') from exc
    if loader.doubled:
        raise problems.InvalidDocument(
            [
                problems.Problem(
                    f'line {line}', f'key {key!r} is given twice', 'remove one'
                )
                for key, line in loader.doubled
            ]
        )
    if not found or found == [None]:
        raise _wrong('is empty', 'write one document per environment')
    if len(found) > MAX_DOCUMENTS:
        raise _wrong(
            f'holds {len(found)} documents',
            f'keep at most {MAX_DOCUMENTS}: one trial, one production',
        )
    return found


def _wrong(message: str, remedy: str) -> problems.InvalidDocument:
    return problems.InvalidDocument([problems.Problem('', message, remedy)])


def _decode(data: bytes) -> str:
    if len(data) > MAX_BYTES:
        raise _wrong(
            f'has {len(data)} bytes', f'keep it within {MAX_BYTES} bytes'
        )
    try:
        text = data.decode('utf-8')
    except UnicodeDecodeError as exc:
        raise _wrong(
            f'is not UTF-8 at byte {exc.start}', 'save it as UTF-8'
        ) from exc
    if text.startswith('\ufeff'):
        raise _wrong('starts with a byte order mark', 'save it without one')
    return text


def _describe(exc: yaml.YAMLError) -> str:
    mark = getattr(exc, 'problem_mark', None)
    what = getattr(exc, 'problem', None) or str(exc)
    if mark is None:
        return f'is no YAML: {what}'
    return f'is no YAML at line {mark.line + 1}: {what}'


def _check_bounds(text: str) -> None:
    """Follow the events, because a tree could be too large to build."""
    sizes: dict[str, int] = {}
    # Anchor and node count at the start of each open collection.
    open_nodes: list[tuple[str | None, int]] = []
    nodes = aliases = 0
    for event in yaml.parse(text, Loader=yaml.CSafeLoader):
        if isinstance(event, yaml.AliasEvent):
            aliases += 1
            anchor = event.anchor or ''
            if anchor not in sizes:
                raise _wrong(
                    f'uses alias *{anchor} inside or before its anchor',
                    'write the value out',
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
            raise _wrong(
                f'has more than {MAX_ALIASES} aliases', 'write values out'
            )
        if nodes > MAX_NODES:
            raise _wrong(
                f'expands to more than {MAX_NODES} nodes',
                'use fewer aliases or instances',
            )
        if len(open_nodes) > MAX_DEPTH:
            raise _wrong(
                f'is nested deeper than {MAX_DEPTH} levels',
                'remove levels of nesting',
            )

"""Validate document files and convert them to settings and canonical text.

The command line reads files of operators with `parse`. The entries use `read`
for published texts and `read_reduced` for the settings of the daemons.
"""

from collections import abc
import copy
import dataclasses
import difflib
import json
import typing

import pydantic

from kcr_core import document_text
from kcr_core import types
from kcr_document import checks
from kcr_document import loading
from kcr_document import models
from kcr_document import problems


# Start of each document in a canonical text.
SEPARATOR = '---\n'
# Start of the list of instances in a canonical text.
INSTANCES_HEADER = '"instances": [\n'
# Parts whose checks need all instances.
INSTANCE_DEPENDENT_PARTS = ('sizes', 'teams', 'kinds', 'instances')
# Messages for Pydantic errors whose own message names classes or patterns.
ERROR_MESSAGES = {
    'string_pattern_mismatch': 'contains characters that are not allowed',
    'model_type': 'is not a mapping',
    'list_type': 'is not a list',
    'too_short': 'has too few items',
    'too_long': 'has too many items',
}


@dataclasses.dataclass(frozen=True, slots=True)
class File:
    """Store the validated documents of one file."""

    # At most one trial and one production document.
    documents: tuple[models.Document, ...]
    # Canonical text of all documents.
    text: str
    # Digest of the canonical text.
    digest: str

    def find(self, environment: str) -> models.Document | None:
        """Return the document of an environment; None if there is none."""
        for doc in self.documents:
            if doc.environment.name == environment:
                return doc
        return None

    def find_kind(self, kind: str) -> models.Document | None:
        """Return the document of a kind; None if there is none."""
        for doc in self.documents:
            if doc.environment.kind == kind:
                return doc
        return None


def parse(data: bytes) -> File:
    """Return the validated file; raise InvalidDocument with all problems."""
    loaded = loading.load(data)
    docs: list[models.Document] = []
    found: list[problems.Problem] = []
    for number, value in enumerate(loaded, 1):
        prefix = f'documents[{number}].' if len(loaded) > 1 else ''
        doc_problems, doc = _validate(value)
        found.extend(
            dataclasses.replace(item, path=prefix + item.path)
            for item in doc_problems
        )
        if doc is not None:
            docs.append(doc)
    if len(docs) == len(loaded):
        found.extend(checks.check_file(docs))
    if found:
        raise problems.InvalidDocument(found)
    text = canonical_text(docs)
    if len(text.encode()) > loading.MAX_BYTES:
        raise problems.InvalidDocument(
            [
                problems.Problem(
                    '',
                    f'has {len(text.encode())} bytes with all '
                    'defaults written out',
                    f'keep it within {loading.MAX_BYTES} bytes',
                )
            ]
        )
    return File(tuple(docs), text, document_text.infer_digest(text))


def _validate(
    value: typing.Any,
) -> tuple[list[problems.Problem], models.Document | None]:
    try:
        doc = models.Document.model_validate(value)
    except pydantic.ValidationError as exc:
        errors = exc.errors()
        found = [_make_problem(error) for error in errors]
        return found + _check_valid_parts(value, errors), None
    return checks.check(doc), doc


def _check_valid_parts(
    value: typing.Any, errors: list[typing.Any]
) -> list[problems.Problem]:
    """Check relations in a document whose invalid fields are removed.

    One validation thus also reports problems unrelated to these fields.
    """
    if not isinstance(value, dict):
        return []
    rest = copy.deepcopy(value)
    for error in errors:
        *parts, last = error['loc']
        parent: typing.Any = rest
        for part in parts:
            parent = parent[part]
        if isinstance(parent, dict):
            parent.pop(last, None)
    try:
        doc = models.Document.model_validate(rest)
    except pydantic.ValidationError:
        return []
    return checks.check(doc, {str(error['loc'][0]) for error in errors})


def read(text: str) -> File:
    """Return the file of a canonical text; raise InvalidDocument if invalid.

    The text is decoded as JSON. With 9,100 instances, YAML would block a
    daemon for seconds and take more memory than it has. Any other text is
    parsed as YAML.
    """
    docs = []
    try:
        for part in text.split(SEPARATOR)[1:]:
            docs.append(models.Document.model_validate_json(part))
    except pydantic.ValidationError:
        return parse(text.encode())
    found = [item for doc in docs for item in checks.check(doc)]
    found.extend(checks.check_file(docs))
    if found or not docs or len(docs) > loading.MAX_DOCUMENTS:
        return parse(text.encode())
    return File(tuple(docs), text, document_text.infer_digest(text))


def read_reduced(text: str, environment: str) -> models.Document | None:
    """Return the document of an environment without most of its instances.

    The drained instances are kept, and the first one, because the list must
    not be empty. A daemon needs no others, and the models of 9,100 instances
    take 15 MB of its 64 MB. Each instance is still validated by itself; the
    relations between them were checked by the entry that wrote the text.
    Return None if the text has no document for the environment.
    """
    if not is_canonical(text):
        return read(text).find(environment)
    for part in text.split(SEPARATOR)[1:]:
        head, start, rest = part.partition(INSTANCES_HEADER)
        lines, end, tail = rest.partition('}],\n')
        if not start or not end:
            return read(text).find(environment)
        kept: list[str] = []
        for line in (lines + '}').split(',\n'):
            try:
                instance = models.Instance.model_validate_json(line)
            except pydantic.ValidationError:
                return read(text).find(environment)
            if instance.drained or not kept:
                kept.append(line)
        reduced = head + start + ',\n'.join(kept) + end[1:] + tail
        try:
            doc = models.Document.model_validate_json(reduced)
        except pydantic.ValidationError:
            return read(text).find(environment)
        if doc.environment.name == environment:
            found = checks.check(doc, INSTANCE_DEPENDENT_PARTS)
            if found:
                raise problems.InvalidDocument(found)
            return doc
    return None


def is_canonical(text: str) -> bool:
    """Return whether a text is canonical: JSON, which is fast to decode."""
    return text.startswith(SEPARATOR + '{')


def canonical_text(docs: abc.Iterable[models.Document]) -> str:
    """Return the text that is stored: all fields, one list item per line."""
    return ''.join(SEPARATOR + _format(_dump_compact(doc)) for doc in docs)


def _format(data: dict[str, typing.Any]) -> str:
    lines = []
    for name, part in data.items():
        if isinstance(part, list) and part:
            inner = ',\n'.join(json.dumps(item) for item in part)
            lines.append(f'"{name}": [\n{inner}]')
        else:
            lines.append(f'"{name}": {json.dumps(part)}')
    return '{' + ',\n'.join(lines) + '}\n'


def _dump_compact(doc: models.Document) -> dict[str, typing.Any]:
    data = doc.model_dump()
    for instance in data['instances']:
        if not instance['drained']:
            del instance['drained']  # Omit the default to keep texts small.
    return data


def convert_settings(doc: models.Document) -> types.ControlSettings:
    """Return the settings of the daemons."""
    times, retries = doc.times, doc.retries
    return types.ControlSettings(
        **times.model_dump(),
        max_attempts=retries.max_attempts,
        retry_budget=retries.budget,
        hedge_s=retries.hedge_s,
        hedge_quantile=retries.hedge_quantile,
        endpoint_policy=doc.policies.endpoint,
        placement_policy=doc.policies.placement,
        interference_policy=doc.policies.interference,
        unknown_size_factor=doc.limits.unknown_size_factor,
        service_p99_ms=min(item.p99_ms for item in doc.services),
        evictions_per_minute=doc.limits.evictions_per_minute,
        weights=types.Weights(**doc.weights.model_dump()),
        drained=tuple(i.name for i in doc.instances if i.drained),
    )


def convert_quotas(
    doc: models.Document,
) -> tuple[tuple[str, types.Demand], ...]:
    """Return the quota of each team."""
    return tuple(
        (
            team.name,
            types.Demand(team.processors, team.memory_mb, team.accelerators),
        )
        for team in doc.teams
    )


def schema() -> dict[str, typing.Any]:
    """Return the JSON Schema of one document."""
    return models.Document.model_json_schema()


def _make_problem(error: typing.Any) -> problems.Problem:
    loc = error['loc']
    path = ''
    for part in loc:
        if isinstance(part, int):
            path += f'[{part}]'
        else:
            path += f'.{part}' if path else str(part)
    kind = error['type']
    value = problems.shorten(error['input'])
    if kind == 'extra_forbidden':
        return problems.Problem(
            path, 'is not a known field', _suggest_field(loc), value
        )
    field = find_field(loc)
    text = (field.description or '') if field is not None else ''
    if kind == 'missing':
        return problems.Problem(path, 'is missing', f'add it: {text}')
    message = ERROR_MESSAGES.get(kind) or error['msg']
    message = message[:1].lower() + message[1:]
    return problems.Problem(
        path, message, _make_remedy(kind, field, text), value
    )


def _make_remedy(
    kind: str, field: pydantic.fields.FieldInfo | None, text: str
) -> str:
    if field is None:
        return 'write a mapping with the fields of the schema'
    limits = {
        name: getattr(item, name)
        for item in field.metadata
        for name in ('ge', 'le')
        if getattr(item, name, None) is not None
    }
    extra = field.json_schema_extra
    if len(limits) == 2 and isinstance(extra, dict):
        unit = extra['unit']
        return f'set {text}: {limits["ge"]:g} to {limits["le"]:g}, unit {unit}'
    if kind == 'string_type':
        return f'put it in quotes: {text}'
    if kind == 'string_pattern_mismatch':
        return f'use letters, digits, ".", "_" and "-": {text}'
    return f'set {text}'


def _suggest_field(loc: tuple[typing.Any, ...]) -> str:
    model = _find_model(loc[:-1])
    names = list(model.model_fields) if model is not None else []
    close = difflib.get_close_matches(str(loc[-1]), names, 1)
    if close:
        return f'did you mean {close[0]!r}?'
    return f'remove it or use one of: {", ".join(names)}'


def find_field(
    loc: tuple[typing.Any, ...],
) -> pydantic.fields.FieldInfo | None:
    """Return the model field at a location of a Pydantic error.

    Return None if there is no such field.
    """
    while loc and isinstance(loc[-1], int):
        loc = loc[:-1]
    if not loc:
        return None
    model = _find_model(loc[:-1])
    return None if model is None else model.model_fields.get(loc[-1])


def _find_model(
    loc: tuple[typing.Any, ...],
) -> type[models.Section] | None:
    model: type[models.Section] = models.Document
    for part in loc:
        if isinstance(part, int):
            continue
        field = model.model_fields.get(part)
        if field is None:
            return None
        inner = field.annotation
        args = typing.get_args(inner)
        inner = args[0] if args else inner
        if not isinstance(inner, type):
            return None
        if not issubclass(inner, models.Section):
            return None
        model = inner
    return model

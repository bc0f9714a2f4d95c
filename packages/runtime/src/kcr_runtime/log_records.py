"""Encode batches of records as JSON text and validate what is read.

A record that is no valid batch raises BadRecord; the reader skips and counts
it, because one bad record must not stop every process that reads the log.
"""

from collections import abc
import json
import typing

from kcr_core import records
from kcr_core import registry
from kcr_runtime.wire import codec

# Largest text of one record, in bytes.
MAX_RECORD_BYTES = 256 * 1024


class BadRecord(Exception):
    """Report a record that is no valid batch."""


def encode_item(item: typing.Any) -> str:
    """Return one item of a batch as JSON text."""
    value = [records.KINDS[type(item)], codec.to_plain(item)]
    return json.dumps(value, separators=(',', ':'))


def join_items(writer: str, parts: abc.Iterable[str]) -> str:
    """Return the text of a batch whose items are encoded already."""
    return f'{{"writer":{json.dumps(writer)},"items":[{",".join(parts)}]}}'


def encode(batch: records.Batch) -> str:
    """Return a batch as JSON text."""
    return join_items(batch.writer, map(encode_item, batch.items))


def decode(text: str) -> records.Batch:
    """Return the batch in a record; raise BadRecord when it is invalid."""
    try:
        value = json.loads(text)
    except (ValueError, RecursionError) as exc:
        raise BadRecord(f'record is no JSON: {exc}') from exc
    if not isinstance(value, dict) or set(value) != {'writer', 'items'}:
        raise BadRecord('record must have the fields writer and items')
    items = value['items']
    if not isinstance(items, list) or len(items) > records.MAX_ITEMS:
        raise BadRecord(f'items must be a list of {records.MAX_ITEMS} at most')
    try:
        decoded = tuple(_decode_item(item) for item in items)
        batch = codec.from_plain(
            records.Batch, {'writer': value['writer'], 'items': ()}
        )
    except codec.BadFrame as exc:
        raise BadRecord(str(exc)) from exc
    return records.Batch(batch.writer, decoded)


def _decode_item(pair: typing.Any) -> typing.Any:
    if not isinstance(pair, list) or len(pair) != 2:
        raise BadRecord('item is no pair of kind and fields')
    kind, fields = pair
    try:
        cls = records.RECORDS.get(str(kind))
    except registry.UnknownName as exc:
        raise BadRecord(f'unknown record kind {str(kind)[:40]!r}') from exc
    return codec.from_plain(cls, fields)

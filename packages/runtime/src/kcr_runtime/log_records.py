"""Encode batches of log items as JSON text, and decode and validate them.

An entry's appender encodes; `log_client` decodes what it has read. A record
that is not a valid batch raises BadRecord. The reader skips and counts such a
record, because one bad record must not stop every process that reads the log.
"""

from collections import abc
import json
import typing

from kcr_core import records
from kcr_core import registry
from kcr_runtime.wire import codec

# Maximum size of the text of one record, in bytes.
MAX_RECORD_BYTES = 256 * 1024


class BadRecord(Exception):
    """Signal that a record is not a valid batch."""


def encode_item(item: typing.Any) -> str:
    """Return one item of a batch as JSON text."""
    value = [records.KINDS[type(item)], codec.to_plain(item)]
    return json.dumps(value, separators=(',', ':'))


def join_items(writer: str, parts: abc.Iterable[str]) -> str:
    """Return the JSON text of a batch from its encoded items."""
    return f'{{"writer":{json.dumps(writer)},"items":[{",".join(parts)}]}}'


def encode(batch: records.Batch) -> str:
    """Return a batch as JSON text."""
    return join_items(batch.writer, map(encode_item, batch.items))


def decode(text: str) -> records.Batch:
    """Return the batch of a record; raise BadRecord if it is invalid."""
    try:
        value = json.loads(text)
    except (ValueError, RecursionError) as exc:
        raise BadRecord(f'record is not valid JSON: {exc}') from exc
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
        raise BadRecord('item must be a pair of kind and fields')
    kind, fields = pair
    try:
        cls = records.RECORDS.get(str(kind))
    except registry.UnknownName as exc:
        raise BadRecord(f'unknown record kind {str(kind)[:40]!r}') from exc
    return codec.from_plain(cls, fields)

"""Encode batches of job records for the store, and decode them.

The job log stores each batch as one record of the store, in CBOR: version of
the encoding, id of the batch, tag and fields of each job record.
"""

import typing

import cbor2

from kcr_core import registry
from kcr_jobs import records
from kcr_runtime.wire import codec

# Version of the encoding; readers skip batches of unknown versions.
VERSION = 1


class BadBatch(Exception):
    """Report a stored record that is not a batch of job records."""


def encode(batch_id: str, batch: list[records.Record]) -> bytes:
    """Encode a batch under an id that its writer chose."""
    items = [[records.TAGS[type(r)], codec.to_plain(r)] for r in batch]
    return cbor2.dumps([VERSION, batch_id, items])


def decode(data: bytes) -> tuple[str, list[records.Record]]:
    """Return the id and the records of a batch."""
    try:
        version, batch_id, items = cbor2.loads(data)
    except (cbor2.CBORDecodeError, ValueError, TypeError) as exc:
        raise BadBatch(f'batch is malformed: {exc}') from exc
    if version != VERSION:
        raise BadBatch(f'batch has unknown version {version!r}')
    return str(batch_id), [_decode_item(item) for item in items]


def _decode_item(item: typing.Any) -> records.Record:
    try:
        tag, fields = item
        cls = records.RECORDS.get(str(tag))
        return typing.cast(records.Record, codec.from_plain(cls, fields))
    except (TypeError, ValueError) as exc:
        raise BadBatch(f'job record is malformed: {exc}') from exc
    except (registry.UnknownName, codec.BadFrame) as exc:
        raise BadBatch(str(exc)) from exc

"""Encode batches of job records for the store, and decode them.

The job log stores each batch as one record of the store: the version of the
encoding as one byte, then a compressed CBOR list of the id of the batch and
the tag and fields of each job record. The names of the fields repeat in every
batch, so they are part of the dictionary of the compression.

The log is shared with other writers. A stored record that is no batch raises
BadBatch, whatever its bytes are.
"""

import typing
import zlib

import cbor2

from kcr_core import registry
from kcr_jobs import job_checks
from kcr_jobs import records
from kcr_runtime.wire import codec

# Version of the encoding; readers skip batches of unknown versions.
VERSION = 2
# First byte of a batch of version 1: a CBOR list of three items.
_VERSION_1_BYTE = 0x83
# Level of the compression; higher ones save less than a tenth and take twice
# the processor time.
LEVEL = 3
# Negative number of bits of the window: no header and no checksum, as the
# store keeps neither damaged nor partial records.
WINDOW_BITS = -15
# Largest decoded batch, in bytes; job_log.MAX_PLAIN_BYTES bounds what is
# written.
MAX_DECODED_BYTES = 16 * 1024 * 1024
# Frequent parts of batches, the most frequent last.
DICTIONARY = (
    cbor2.dumps(
        [
            'snapshot_begun', 'snapshot_ended', 'number', 'claim', 'epoch',
            'process', 'incarnation', 'address', 'renewed', 'cancelled',
            'lapsed', 'broken', 'alone', 'stopped', 'lost', 'failed',
        ]
    )
    + cbor2.dumps(
        [
            'accepted',
            {
                'spec': {
                    'job_id': '',
                    'queue': {
                        'name': '', 'service': '', 'priority': 0,
                        'max_attempts': 3, 'slack_factor': 2.0,
                        'target_ms': 600.0, 'ticket_ms': 0.0,
                    },
                    'payload': '',
                    'steps': [
                        {
                            'count': 1,
                            'demand': {'cpu': 500, 'mem_mb': 256, 'gpu': 0},
                            'estimate_ms': 0.0, 'after': [],
                            'checkpointing': False, 'gang': False,
                            'rack_local': False, 'label': '', 'near_rack': '',
                            'max_per_runner': 0, 'speculative': False,
                            'lasts': False, 'image': '', 'target_ms': 0.0,
                            'fills': False, 'max_unavailable': -1,
                        },
                    ],
                    'start_at_ms': 0.0, 'repeat': 0, 'interval_ms': 0.0,
                },
                'at_ms': 0,
            },
        ]
    )
    + cbor2.dumps(
        [
            'restated',
            {
                'cancelled': False, 'failed': False,
                'tasks': [
                    {
                        'task': '', 'attempt': 1, 'failures': 0, 'done': True,
                        'node': '', 'life': '', 'saved': '',
                    },
                ],
            },
        ]
    )
    + cbor2.dumps(
        ['ended', {'rows': [{'task': '', 'attempt': 1, 'how': 'done',
                             'saved': ''}]}]
    )
    + cbor2.dumps(
        ['started', {'rows': [{'task': '', 'attempt': 1, 'node': 'side-',
                               'life': 'i-'}]}]
    )
)  # fmt: skip


class BadBatch(Exception):
    """Report a stored record that is not a batch of job records."""


def encode(batch_id: str, batch: list[records.Record]) -> bytes:
    """Encode a batch under an id that its writer chose."""
    return compress(dump(batch_id, batch))


def dump(batch_id: str, batch: list[records.Record]) -> bytes:
    """Return a batch before compression."""
    items = [[records.TAGS[type(r)], codec.to_plain(r)] for r in batch]
    return cbor2.dumps([batch_id, items])


def compress(plain: bytes) -> bytes:
    """Return what is stored of a batch."""
    packer = zlib.compressobj(
        LEVEL, zlib.DEFLATED, WINDOW_BITS, zdict=DICTIONARY
    )
    data = packer.compress(plain) + packer.flush()
    return bytes((VERSION,)) + data


def decode(data: bytes) -> tuple[str, list[records.Record]]:
    """Return the id and the records of a batch."""
    batch_id, items = _load(data)
    if not isinstance(batch_id, str) or not isinstance(items, list):
        raise BadBatch('batch must have an id and a list of records')
    return batch_id, [_decode_item(item) for item in items]


def _load(data: bytes) -> typing.Sequence[typing.Any]:
    version = data[0] if data else 0
    try:
        if version == _VERSION_1_BYTE:
            loaded = cbor2.loads(data)[1:]
        elif version == VERSION:
            loaded = cbor2.loads(_decompress(data[1:]))
        else:
            raise BadBatch(f'batch has unknown version {version}')
        if len(loaded) != 2:
            raise BadBatch('batch must have an id and a list of records')
    except (zlib.error, *codec.DECODE_ERRORS) as exc:
        text = f'{type(exc).__name__}: {exc}'[:200]
        raise BadBatch(f'batch is malformed: {text}') from exc
    return typing.cast('typing.Sequence[typing.Any]', loaded)


def _decompress(data: bytes) -> bytes:
    unpacker = zlib.decompressobj(WINDOW_BITS, zdict=DICTIONARY)
    plain = unpacker.decompress(data, MAX_DECODED_BYTES)
    if not unpacker.eof:
        raise ValueError('compressed data is incomplete or too large')
    return plain


def _decode_item(item: typing.Any) -> records.Record:
    try:
        tag, fields = item
        cls = records.RECORDS.get(str(tag))
        rec = typing.cast(records.Record, codec.from_plain(cls, fields))
        job_checks.check_record(rec)
    except (TypeError, ValueError, RecursionError) as exc:
        raise BadBatch(f'job record is malformed: {exc}'[:300]) from exc
    except (registry.UnknownName, codec.BadFrame) as exc:
        raise BadBatch(str(exc)[:300]) from exc
    return rec

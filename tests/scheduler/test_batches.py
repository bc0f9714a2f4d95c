"""Check the encoding of batches of job records."""

import zlib

import cbor2
import pytest

from kcr_jobs import records
from kcr_jobs import types
from kcr_runtime.wire import codec as wire_codec
from kcr_scheduler.work import codec

SPEC = types.JobSpec(
    'j', types.Queue('q', 'svc'), 'p', (types.Step(2, types.Demand(5, 6)),)
)
ROWS = tuple(records.StartRow(f'j.0.0.{n}', 1, 'n', 'l') for n in range(40))
BATCH: list[records.Record] = [
    records.Claim(3, 'p', 'i', '127.0.0.1:1'),
    records.Accepted(SPEC, 5),
    records.Started(ROWS),
    records.SnapshotBegun(1),
    records.SnapshotEnded(1),
]


def test_batch_is_decoded_as_it_was_encoded() -> None:
    """Guard against a field that is lost in the log."""
    assert codec.decode(codec.encode('id', BATCH)) == ('id', BATCH)


def test_batch_of_version_1_is_read() -> None:
    """Guard against a log of the build before that can't be taken over."""
    items = [[records.TAGS[type(r)], wire_codec.to_plain(r)] for r in BATCH]
    assert codec.decode(cbor2.dumps([1, 'id', items])) == ('id', BATCH)


def test_dictionary_belongs_to_the_version() -> None:
    """Guard against a changed dictionary that makes stored batches unreadable.

    A new dictionary needs a new version, and readers need both.
    """
    assert (codec.VERSION, zlib.crc32(codec.DICTIONARY)) == (2, 2273386841)


def test_batch_is_small() -> None:
    """Guard against a log that grows by the names of its fields."""
    rows = records.Started(ROWS)
    assert len(codec.encode('id', [rows])) < 12 * len(ROWS)


def test_batch_that_expands_beyond_bounds_is_refused() -> None:
    """Guard against a record of another writer that fills the memory."""
    packer = zlib.compressobj(9, zlib.DEFLATED, -15, zdict=codec.DICTIONARY)
    data = packer.compress(bytes(codec.MAX_DECODED_BYTES + 1))
    with pytest.raises(codec.BadBatch):
        codec.decode(b'\x02' + data + packer.flush())

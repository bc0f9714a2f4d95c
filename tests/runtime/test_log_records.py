"""Test the encoding of log records and the rejection of malformed ones."""

import pytest

from kcr_core import records
from kcr_core import types
from kcr_runtime import log_records


def test_round_trip_keeps_every_item() -> None:
    """Guard against an item that the encoding loses or changes."""
    spec = types.TaskSpec('1', 'c', 't', 'k', types.Demand(1.0, 2.0, 3))
    batch = records.Batch(
        'writer "one"',
        (
            records.Accepted(spec, types.Home('i1', 'inc'), 5),
            records.Accepted(spec, None, 5, 'no room'),
            records.Claimed('c/1', 'd', 'e', 7, 't:1'),
            records.Promoted('prod', 3, 'd', 'text\nü', 'op'),
        ),
    )
    assert log_records.decode(log_records.encode(batch)) == batch


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        ('{', 'not valid JSON'),
        ('[' * 100_000, 'not valid JSON'),
        ('[]', 'writer and items'),
        ('{"writer":"w","items":[],"more":1}', 'writer and items'),
        ('{"writer":"w","items":{}}', 'list of'),
        ('{"writer":"","items":[]}', 'writer'),
        ('{"writer":"w","items":[["nothing",{}]]}', 'unknown record kind'),
        ('{"writer":"w","items":[["released",3]]}', 'value 3'),
        ('{"writer":"w","items":["released"]}', 'item must be a pair'),
        (
            '{"writer":"w","items":[["released",{"request":"r"}]]}',
            'entry',
        ),
        (
            '{"writer":"w","items":[["cancelled",{"task":"t","x":1}]]}',
            'unknown fields',
        ),
        (
            '{"writer":"w","items":['
            + ','.join(['["cancelled",{"task":"t"}]'] * 2001)
            + ']}',
            'list of 2000',
        ),
    ],
)
def test_malformed_record_names_the_fault(text: str, expected: str) -> None:
    """Guard against a malformed record that stops the readers of the log.

    The error must be BadRecord, which readers handle, and name the fault.
    """
    with pytest.raises(log_records.BadRecord, match=expected):
        log_records.decode(text)

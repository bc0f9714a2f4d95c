"""Test the encoding of messages and the rejection of invalid frames."""

import cbor2
import pytest

from kcr_core import messages
from kcr_core import types
from kcr_runtime.wire import codec


def test_round_trip_keeps_every_field() -> None:
    """Guard against a field that the encoding loses or changes."""
    heartbeat = messages.Heartbeat(
        3, 7, 2, 1, types.Demand(1.5, 200.0, 1), 4, 2.5, True
    )
    assert codec.decode(codec.encode(heartbeat)) == heartbeat


@pytest.mark.parametrize(
    ('frame', 'expected'),
    [
        (b'\xff', 'not valid CBOR'),
        (cbor2.dumps([1]), 'frame must be a pair'),
        (cbor2.dumps(['nothing', {}]), 'unknown message tag'),
        (cbor2.dumps(['refused', {'attempt': 'a'}]), 'reason'),
        (
            cbor2.dumps(['refused', {'attempt': '', 'reason': 'r'}]),
            'attempt',
        ),
        (
            cbor2.dumps(
                ['refused', {'attempt': 'a', 'reason': 'r', 'more': 1}]
            ),
            'more',
        ),
    ],
)
def test_bad_frame_names_the_field(frame: bytes, expected: str) -> None:
    """Guard against accepting a malformed frame from a peer."""
    with pytest.raises(codec.BadFrame, match=expected):
        codec.decode(frame)

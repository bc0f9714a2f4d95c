"""Test which records are dropped as repeats and when a view is fresh."""

import dataclasses

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from kcr_core import log_cursor


@dataclasses.dataclass(frozen=True)
class Record:
    """Represent a fake record."""

    offset: int
    record_id: str


@settings(derandomize=True)
@given(
    ids=st.lists(st.sampled_from('abcdef'), max_size=40),
    cuts=st.lists(st.integers(0, 40), max_size=6),
)
def test_first_record_with_an_id_wins_however_it_is_read(
    ids: list[str], cuts: list[int]
) -> None:
    """Guard against readers that disagree on repeated records."""
    stream = [Record(i + 1, name) for i, name in enumerate(ids)]
    cursor = log_cursor.LogCursor()
    taken = []
    for cut in [*sorted(cuts), len(stream)]:
        # Each read starts at the beginning, as after a lost answer.
        taken += cursor.take(stream[:cut])
    firsts = [r for r in stream if ids.index(r.record_id) + 1 == r.offset]
    assert taken == firsts
    assert cursor.position == len(stream)
    assert cursor.dropped == len(stream) - len(firsts)


def test_number_of_ids_is_bounded() -> None:
    """Guard against memory that grows with the log."""
    cursor = log_cursor.LogCursor(max_ids=10)
    cursor.take(Record(i, f'r{i}') for i in range(1, 1001))
    assert len(cursor.record_ids) == 10


def test_gap_is_reported_once_and_only_when_records_are_missed() -> None:
    """Guard against a false gap, which shortens the dedupe window."""
    cursor = log_cursor.LogCursor()
    cursor.take([Record(1, 'a'), Record(2, 'b')])
    assert not cursor.skip_to(3)
    assert cursor.skip_to(5)
    assert cursor.position == 4
    assert not cursor.skip_to(5)


def test_view_is_fresh_only_after_a_read_that_reached_the_end() -> None:
    """Guard against renewing authority from a stale view of the log."""
    assert log_cursor.infer_age_ms(None, 100.0) == -1
    assert log_cursor.infer_age_ms(99.0, 100.0) == 1000
    assert (
        log_cursor.infer_age_ms(100.0 - log_cursor.MAX_FRESH_AGE_S, 100.0)
        == 5000
    )
    assert log_cursor.infer_age_ms(94.9, 100.0) == -1

"""Check the bounds of the table of recent requests."""

from kcr_core import outcomes
from kcr_core import recent_requests


def make_ended(size: int) -> recent_requests.EndedRequest:
    """Return a done request with an answer of `size` bytes."""
    done = outcomes.Done(200, b'x' * size)
    return recent_requests.EndedRequest('d', done, 'done', '', (), 1.0)


def test_answers_are_bounded_by_bytes() -> None:
    """Guard against large answers that use up the memory of an entry."""
    table = recent_requests.RecentRequests(limit=10, max_bytes=250)
    for number in range(5):
        table.add(f'k{number}', make_ended(100))
    keys = [
        key for key in ('k0', 'k1', 'k2', 'k3', 'k4') if has_answer(table, key)
    ]
    assert keys == ['k3', 'k4']
    assert table.answer_bytes == 200
    assert len(table) == 5


def has_answer(table: recent_requests.RecentRequests, key: str) -> bool:
    """Return whether the answer of a request is in the table."""
    found = table.find(key)
    return found is not None and found.outcome is not None


def test_oldest_request_is_forgotten_at_the_limit() -> None:
    """Guard against a table that grows with every request."""
    table = recent_requests.RecentRequests(limit=2, max_bytes=1000)
    for number in range(3):
        table.add(f'k{number}', make_ended(10))
    assert table.find('k0') is None
    assert table.answer_bytes == 20


def test_repeat_of_a_key_replaces_it() -> None:
    """Guard against counting the bytes of a replaced answer."""
    table = recent_requests.RecentRequests()
    table.add('k', make_ended(10))
    table.add('k', make_ended(30))
    assert table.answer_bytes == 30

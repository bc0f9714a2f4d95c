"""Check the problems reported for every kind of invalid document."""

import copy
import pathlib
import typing

import pytest
from syrupy import assertion
import yaml

from kcr_document import document
from kcr_document import loading
from kcr_document import problems

HERE = pathlib.Path(__file__).parent
TABLE = yaml.safe_load((HERE / 'wrong_documents.yaml').read_text())


def set_field(value: typing.Any, path: str, new: typing.Any) -> None:
    """Set the field at a path, or remove it if `new` is `!drop`."""
    *parts, last = path.split('.')
    for part in parts:
        value = value[int(part) if part.isdigit() else part]
    if new == '!drop':
        del value[last]
    else:
        value[last] = new


def make_file(case: dict[str, typing.Any]) -> bytes:
    """Return the bytes of one case of the table."""
    if 'text' in case:
        return str(case['text']).encode()
    if case.get('twice'):
        return f'---\n{TABLE["base"]}---\n{TABLE["base"]}'.encode()
    value = copy.deepcopy(yaml.safe_load(TABLE['base']))
    for path, new in case['set'].items():
        set_field(value, path, new)
    return yaml.safe_dump(value).encode()


def read_problems(data: bytes) -> list[str]:
    """Return the reported problems of a file as text."""
    with pytest.raises(problems.InvalidDocument) as caught:
        document.parse(data)
    return [str(item) for item in caught.value.problems]


def test_base_document_is_valid() -> None:
    """Guard against cases that fail because the base is invalid."""
    document.parse(TABLE['base'].encode())


@pytest.mark.parametrize('name', TABLE['cases'])
def test_message(name: str, snapshot: assertion.SnapshotAssertion) -> None:
    """Guard against an accepted or badly explained invalid document."""
    assert read_problems(make_file(TABLE['cases'][name])) == snapshot


def test_wrong_encodings(snapshot: assertion.SnapshotAssertion) -> None:
    """Guard against encodings that other tools read differently."""
    found = [
        read_problems(TABLE['base'].encode('utf-16')),
        read_problems(b'a: \xff'),
        read_problems('\ufeffa: 1'.encode()),
    ]
    assert found == snapshot


def test_bounds(snapshot: assertion.SnapshotAssertion) -> None:
    """Guard against files that cost too much memory or time."""
    first_line = 'a0: &a0 [x, x, x, x, x, x, x, x, x]\n'
    alias_bomb = first_line + ''.join(
        f'a{n}: &a{n} [{", ".join([f"*a{n - 1}"] * 9)}]\n' for n in range(1, 9)
    )
    found = [
        read_problems(b'#' * (loading.MAX_BYTES + 1)),
        read_problems(b'[' * 50 + b']' * 50),
        read_problems(alias_bomb.encode()),
        read_problems(
            b'a: &a 1\nb: [' + b'*a, ' * loading.MAX_ALIASES + b'*a]'
        ),
    ]
    assert found == snapshot


def test_problems_are_bounded() -> None:
    """Guard against an error text of unbounded length."""
    data = b''.join(b'x%d: 1\n' % n for n in range(1000))
    with pytest.raises(problems.InvalidDocument) as caught:
        document.parse(data)
    assert len(caught.value.problems) == problems.MAX_PROBLEMS
    assert caught.value.omitted > 0

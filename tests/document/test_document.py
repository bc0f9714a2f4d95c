"""Check the example files, the canonical text, the diff and the schema."""

import pathlib

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest
from syrupy import assertion

from kcr_core import types
from kcr_document import diff
from kcr_document import document
from kcr_document import models
from kcr_document import problems

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'


def read(name: str) -> document.File:
    """Return a validated example file."""
    return document.parse((EXAMPLES / name).read_bytes())


@pytest.mark.parametrize(
    ('name', 'processors', 'memory_mb'),
    [('latency.yaml', 16, 60_000), ('throughput.yaml', 64, 250_000)],
)
def test_examples(name: str, processors: int, memory_mb: int) -> None:
    """Guard against examples that differ from the described deployments."""
    file = read(name)
    doc = file.find('production')
    assert doc is not None
    assert file.find_kind('trial') is not None
    assert len(doc.instances) == 11
    assert len({item.region for item in doc.instances}) == 2
    assert doc.sizes[0].processors == processors
    assert doc.sizes[0].memory_mb == memory_mb


def test_examples_differ_in_weights() -> None:
    """Guard against examples with the same weights."""
    found = []
    for name in ('latency.yaml', 'throughput.yaml'):
        doc = read(name).find('production')
        assert doc is not None
        found.append(document.convert_settings(doc).weights)
    first, second = found
    assert first.tail_latency > max(first.throughput, first.evictions)
    assert second.tail_latency < min(second.throughput, second.evictions)


@pytest.mark.parametrize('name', ['latency.yaml', 'throughput.yaml'])
def test_canonical_text_is_stable(name: str) -> None:
    """Guard against a digest that changes when the text is read again."""
    file = read(name)
    assert document.parse(file.text.encode()) == file
    assert document.read(file.text) == file


@pytest.mark.parametrize('name', ['latency.yaml', 'throughput.yaml'])
def test_reduced_document_gives_the_same_settings(name: str) -> None:
    """Guard against settings that differ if most instances are left out."""
    text = (EXAMPLES / name).read_text()
    for old in ('name: p-01', 'name: p-07', 'name: t-02'):
        text = text.replace(old, f'drained: true, {old}')
    file = document.parse(text.encode())
    for environment in ('trial', 'production'):
        doc = file.find(environment)
        reduced = document.read_reduced(file.text, environment)
        assert doc is not None and reduced is not None
        assert document.convert_settings(reduced) == document.convert_settings(
            doc
        )
        assert document.convert_quotas(reduced) == document.convert_quotas(doc)
    assert document.read_reduced(file.text, 'other') is None
    invalid = file.text.replace('"rack"', '"rock"', 1)
    with pytest.raises(problems.InvalidDocument):
        document.read_reduced(invalid, 'production')


def test_defaults_equal_those_of_the_settings() -> None:
    """Guard against defaults that differ from the data class."""
    doc = models.Document.model_construct(
        environment=models.Environment(name='a', kind='trial'),
        services=[models.Service(name='a')],
        instances=[],
        weights=models.Weights(),
        limits=models.Limits(),
        times=models.Times(),
        retries=models.Retries(),
        policies=models.Policies(),
    )
    assert document.convert_settings(doc) == types.ControlSettings()


def test_diff(snapshot: assertion.SnapshotAssertion) -> None:
    """Guard against changes that are missing from a diff."""
    before = read('latency.yaml').documents[1]
    after = read('throughput.yaml').documents[1]
    assert [str(item) for item in diff.compare(before, after)] == snapshot
    assert not diff.compare(before, before)


def test_schema_names_every_field(
    snapshot: assertion.SnapshotAssertion,
) -> None:
    """Guard against a field without unit, range or help."""
    for name, part in document.schema()['$defs'].items():
        for field, entry in part['properties'].items():
            assert entry.get('description'), f'{name}.{field}'
            if entry.get('type') in ('number', 'integer'):
                assert {'unit', 'minimum', 'maximum', 'default'} <= set(entry)
    assert document.schema() == snapshot


@settings(derandomize=True, max_examples=300, deadline=None)
@given(strategies.binary(max_size=200) | strategies.text().map(str.encode))
def test_any_input_raises_invalid_document(data: bytes) -> None:
    """Guard against exceptions other than InvalidDocument."""
    with pytest.raises(problems.InvalidDocument):
        document.parse(data)

"""Test that values recorded before the import of the SDK are kept."""

from kcr_runtime import metrics


def test_values_before_the_first_read_are_kept() -> None:
    """Guard against counts that are lost when the SDK is imported."""
    made = metrics.Metrics('test')
    made.count('starts', kind='a')
    made.count('starts', 2, kind='a')
    made.record_ms('answer', 12.0)
    first = made.read()
    assert first['kcr.starts{kind=a}'] == 3
    assert first['kcr.answer']['count'] == 1
    made.count('starts', kind='a')
    made.record_ms('answer', 700.0)
    second = made.read()
    assert second['kcr.starts{kind=a}'] == 4
    assert second['kcr.answer']['sum'] == 712.0


def test_early_durations_are_bounded() -> None:
    """Guard against memory that grows while no one reads the values."""
    made = metrics.Metrics('test')
    for _ in range(metrics.MAX_EARLY_DURATIONS + 10):
        made.record_ms('answer', 1.0)
    assert len(made._durations) == 0
    assert (
        made.read()['kcr.answer']['count'] == metrics.MAX_EARLY_DURATIONS + 10
    )

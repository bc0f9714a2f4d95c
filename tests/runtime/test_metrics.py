"""Test that values recorded before the import of the SDK are kept."""

from kcr_runtime import metrics


def test_values_before_the_first_read_are_kept() -> None:
    """Guard against counts that are lost when the SDK is imported."""
    process_metrics = metrics.Metrics('test')
    process_metrics.count('starts', kind='a')
    process_metrics.count('starts', 2, kind='a')
    process_metrics.record_ms('answer', 12.0)
    first = process_metrics.read()
    assert first['kcr.starts{kind=a}'] == 3
    assert first['kcr.answer']['count'] == 1
    process_metrics.count('starts', kind='a')
    process_metrics.record_ms('answer', 700.0)
    second = process_metrics.read()
    assert second['kcr.starts{kind=a}'] == 4
    assert second['kcr.answer']['sum'] == 712.0


def test_early_durations_are_bounded() -> None:
    """Guard against memory that grows while no one reads the values."""
    process_metrics = metrics.Metrics('test')
    for _ in range(metrics.MAX_EARLY_DURATIONS + 10):
        process_metrics.record_ms('answer', 1.0)
    assert len(process_metrics._durations) == 0
    assert (
        process_metrics.read()['kcr.answer']['count']
        == metrics.MAX_EARLY_DURATIONS + 10
    )

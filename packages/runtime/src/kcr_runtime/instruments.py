"""Keep the counters and histograms of one process in OpenTelemetry.

An in-memory reader lets the dump and the metrics page show the values
without a collector. `metrics` imports this module when it is first needed,
because the import of the SDK is slow.
"""

import typing

from opentelemetry import metrics as otel_metrics
from opentelemetry.sdk import metrics as sdk_metrics
from opentelemetry.sdk.metrics import export
from opentelemetry.sdk.metrics import view
from opentelemetry.sdk import resources

# Upper bounds of the buckets of every histogram, in milliseconds.
LATENCY_BUCKETS_MS = (
    1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 500.0, 1000.0, 2600.0,
    4000.0, 10000.0, 30000.0,
)  # fmt: skip


class Instruments:
    """Create counters and histograms by name and record values."""

    def __init__(self, process: str) -> None:
        self._reader = export.InMemoryMetricReader()
        self._provider = sdk_metrics.MeterProvider(
            metric_readers=[self._reader],
            resource=resources.Resource({'service.name': process}),
            views=[
                view.View(
                    instrument_type=sdk_metrics.Histogram,
                    aggregation=view.ExplicitBucketHistogramAggregation(
                        LATENCY_BUCKETS_MS
                    ),
                )
            ],
            shutdown_on_exit=False,
        )
        self._meter = self._provider.get_meter('kingcuprouter')
        self._counters: dict[str, otel_metrics.Counter] = {}
        self._histograms: dict[str, otel_metrics.Histogram] = {}

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Add to a counter; every label has a fixed set of values."""
        counter = self._counters.get(name)
        if counter is None:
            counter = self._meter.create_counter(f'kcr.{name}')
            self._counters[name] = counter
        counter.add(amount, labels)

    def record_ms(self, name: str, value_ms: float, **labels: str) -> None:
        """Add a duration to a histogram."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = self._meter.create_histogram(f'kcr.{name}', unit='ms')
            self._histograms[name] = histogram
        histogram.record(value_ms, labels)

    def read(self) -> dict[str, typing.Any]:
        """Return all current values as plain data, by name and labels."""
        data = self._reader.get_metrics_data()
        out: dict[str, typing.Any] = {}
        if data is None:
            return out
        for resource in data.resource_metrics:
            for scope in resource.scope_metrics:
                for metric in scope.metrics:
                    for point in metric.data.data_points:
                        out[_point_name(metric.name, point)] = _value(point)
        return out


def _point_name(name: str, point: typing.Any) -> str:
    labels = ','.join(f'{k}={v}' for k, v in sorted(point.attributes.items()))
    return f'{name}{{{labels}}}' if labels else name


def _value(point: typing.Any) -> typing.Any:
    if hasattr(point, 'bucket_counts'):
        return {
            'count': point.count,
            'sum': round(point.sum, 3),
            'bounds': list(point.explicit_bounds),
            'buckets': list(point.bucket_counts),
        }
    return point.value

"""Test that log lines never block and that dropped lines are counted."""

import json
import os

from kcr_runtime import log_sink
from kcr_runtime import metrics
from kcr_runtime import metrics_page


def read_all(descriptor: int) -> list[str]:
    """Return the lines that can be read from a pipe."""
    data = b''
    while True:
        try:
            part = os.read(descriptor, 65536)
        except BlockingIOError:
            return data.decode().splitlines()
        if not part:
            return data.decode().splitlines()
        data += part


def make() -> tuple[int, log_sink.LogSink, list[float]]:
    """Return the read end of a pipe, a sink that writes to it, its clock."""
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    now = [0.0]
    return reader, log_sink.LogSink(writer, lambda: now[0]), now


def test_stalled_reader_does_not_block_the_writer() -> None:
    """Guard against a process that blocks because no one reads its log."""
    reader, sink, now = make()
    for number in range(20_000):
        now[0] += 0.01
        sink.write(f'{number} {"x" * 100}\n')
    assert sink.dropped > 0
    lines = []
    for _ in range(20):
        now[0] += 1.0
        sink.write('after\n')
        lines += read_all(reader)
    assert any('log lines dropped' in line for line in lines)
    assert lines[-1] == 'after'


def test_lines_above_the_rate_are_dropped_and_counted() -> None:
    """Guard against a log whose volume grows with the load."""
    reader, sink, now = make()
    sink._tokens = 10.0
    for number in range(100):
        sink.write(f'{number}\n')
    assert len(read_all(reader)) == 10
    now[0] += 1.0
    sink.write('later\n')
    count, last = read_all(reader)
    assert json.loads(count) == {'event': 'log lines dropped', 'count': 90}
    assert last == 'later'


def test_long_line_is_truncated() -> None:
    """Guard against one long field that fills the log."""
    reader, sink, _ = make()
    sink.write('y' * 10_000 + '\n')
    (line,) = read_all(reader)
    assert len(line) < log_sink.MAX_LINE_BYTES


def test_metrics_are_rendered_as_text() -> None:
    """Guard against a metrics page that a collector cannot parse."""
    process_metrics = metrics.Metrics('p')
    process_metrics.count('decision', kind='job accepted')
    process_metrics.record_ms('call', 7.0, verb='submit')
    lines = metrics_page.render(process_metrics.read()).splitlines()
    assert 'kcr_decision{kind="job accepted"} 1' in lines
    assert 'kcr_call_bucket{verb="submit",le="10.0"} 1' in lines
    assert 'kcr_call_count{verb="submit"} 1' in lines

"""Write log lines without blocking on the reader of standard output.

Lines above the rate limit, and lines that exceed the buffer because the
reader is too slow, are dropped and counted. A line with the count is written
as soon as lines are accepted again. `process` passes the sink to structlog.
"""

import json
import os
import time
import typing

# Sustained rate of lines. A scheduler that owned the jobs of 11 runners wrote,
# during many failures, 48 lines of 232 bytes per second on average and 261 in
# the busiest second.
LINES_PER_S = 200.0
# Lines that may be written in one burst, as after a restart of all runners.
BURST_LINES = 2000.0
# Maximum size of a line, in bytes; longer lines are truncated.
MAX_LINE_BYTES = 4096
# Maximum size of the buffer for a reader that is too slow, in bytes.
MAX_BUFFERED_BYTES = 256 * 1024


class LogSink:
    """Provide a text file for the logger on a non-blocking descriptor."""

    def __init__(
        self,
        descriptor: int,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        # Lines dropped since the last line with a count.
        self.dropped = 0
        self._descriptor = descriptor
        self._clock = clock
        self._tokens = BURST_LINES
        self._refilled_at = clock()
        self._buffer = b''
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write one line, or drop and count it."""
        now = self._clock()
        refill = (now - self._refilled_at) * LINES_PER_S
        self._tokens = min(BURST_LINES, self._tokens + refill)
        self._refilled_at = now
        full = len(self._buffer) >= MAX_BUFFERED_BYTES
        if self._tokens < 1.0 or full:
            self.dropped += 1
            if full:
                self._send()
            return len(text)
        self._tokens -= 1.0
        if self.dropped:
            line = {'event': 'log lines dropped', 'count': self.dropped}
            self.dropped = 0
            self._buffer += json.dumps(line).encode() + b'\n'
        data = text.encode(errors='replace')
        if len(data) > MAX_LINE_BYTES:
            data = data[: MAX_LINE_BYTES - 1] + b'\n'
        self._buffer += data
        self._send()
        return len(text)

    def flush(self) -> None:
        """Do nothing, because `write` already attempts to send each line."""

    def _send(self) -> None:
        try:
            written = os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            return
        except OSError:
            # The reader has closed the pipe, so the lines cannot be delivered.
            self._buffer = b''
            return
        self._buffer = self._buffer[written:]

"""Serve one HTTP connection and report what it occupies.

The connection parses with the library's parser. A body is kept in one buffer
in memory. A request above a limit is answered with 413, 431 or 408, and one
for which there is no room with 503 and Retry-After; a connection without a
complete request head may be closed without a response. `http_server` owns the
connections.
"""

import io
import json
import typing

from twisted.internet import protocol
from twisted.protocols import basic
from twisted.python import failure
from twisted.web import http
from twisted.web import server

from kcr_core import caller_budget

# Bytes that are read at once, and bytes of a response that may wait for the
# caller before its connection is not read any more.
TRANSFER_BYTES = 16 * 1024
# Bytes that are read at once of a body in small chunks: each takes 2.5 us, and
# 16 KiB of the smallest ones would hold up other connections for 7 ms.
SMALL_CHUNKS_BYTES = 1024
# Bytes on the wire of a body, as a multiple of the body, from which its chunks
# are small: those of four bytes take nine.
SMALL_CHUNKS_FACTOR = 2
# Bytes that are discarded after a refusal.
LINGER_BYTES = 1024 * 1024
TOO_LARGE = '413 Request Entity Too Large'
TIMED_OUT = '408 Request Timeout'
UNAVAILABLE = '503 Service Unavailable'
# Status and text of a refusal by reason.
REFUSALS = {
    'body': (TOO_LARGE, 'body is too large'),
    'framing': (TOO_LARGE, 'chunk extensions or trailers are too long'),
    'head': ('431 Request Header Fields Too Large', 'head is too large'),
    'head_timeout': (TIMED_OUT, 'request head was not complete in time'),
    'body_timeout': (TIMED_OUT, 'body was not complete in time'),
    'memory': (UNAVAILABLE, 'too many requests at once'),
    'connections': (UNAVAILABLE, 'too many connections'),
}

# The library's module computes each attribute, which took a fifth of the time
# of a small request.
BASE = http.HTTPChannel


class Request(server.Request):
    """Keep the body in one buffer, up to the limit."""

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Create the buffer of the body."""
        self.content = io.BytesIO()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Add received bytes to the body unless it becomes too large."""
        channel = typing.cast(Channel, self.channel)
        if channel.accepts_body(len(data)):
            typing.cast(io.BytesIO, self.content).write(data)


def take_body(req: typing.Any) -> bytes:
    """Return the body of a request, which no longer holds it."""
    body = bytes(req.content.getvalue())
    req.content.close()
    req.content = io.BytesIO()
    return body


class Channel(BASE):
    """Serve one connection and report what it occupies."""

    # The server that owns the connection.
    site: typing.Any

    def __init__(self) -> None:
        BASE.__init__(self)
        self.account = caller_budget.Account()
        # Whether a refusal was sent; input is discarded from then on.
        self._refused = False
        self._discarded = 0
        self._limits = caller_budget.Limits()
        # Bytes and lines of the head of the present request, bytes of its
        # body, and bytes on the wire of its body.
        self._head_bytes = 0
        self._head_lines = 0
        self._body_bytes = 0
        self._wire_bytes = 0
        # Bytes of the reads that ended within the trailers of a body.
        self._trailer_bytes = 0
        # Bytes of responses that were written since the caller read all.
        self._unread_bytes = 0
        # Whether the parser takes back what it has put aside.
        self._replaying = False

    def connectionMade(self) -> None:  # noqa: N802
        """Register the connection."""
        transport = typing.cast(typing.Any, self.transport)
        transport.bufferSize = TRANSFER_BYTES
        BASE.connectionMade(self)
        self._set_limits()
        self.site.opened(self)

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Release what the connection occupies."""
        self.site.closed(self)
        BASE.connectionLost(self, reason)

    def _set_limits(self) -> None:
        self._limits = self.site.budget.limits
        self.MAX_LENGTH = self._limits.head_bytes
        # The library's own limit has no status of its own.
        self.totalHeadersSize = 2 * self._limits.head_bytes

    # Receiving.

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Count received bytes and parse them."""
        if self._replaying:
            BASE.dataReceived(self, data)
            return
        if self._refused:
            self._discarded += len(data)
            if self._discarded > LINGER_BYTES:
                self.abort()
            return
        self.site.received(self, len(data))
        if self.account.phase is caller_budget.Phase.BODY:
            self._wire_bytes += len(data)
            if not self._fits_wire():
                self.refuse('framing')
        if not self._refused:
            BASE.dataReceived(self, data)
            self._check_open_line()
            self._check_trailers(len(data))
            self._limit_read()
            self._settle()

    def _fits_wire(self) -> bool:
        limit = caller_budget.FRAMING_FACTOR * self._limits.body_bytes
        return self._wire_bytes <= max(limit, 2 * TRANSFER_BYTES)

    def _limit_read(self) -> None:
        if self._wire_bytes > TRANSFER_BYTES:
            small = self._wire_bytes > SMALL_CHUNKS_FACTOR * self._body_bytes
            transport = typing.cast(typing.Any, self.transport)
            transport.bufferSize = (
                SMALL_CHUNKS_BYTES
                if small and self.length is None
                else TRANSFER_BYTES
            )

    def _check_open_line(self) -> None:
        if self.account.phase is caller_budget.Phase.HEAD and not self.paused:
            size = self._head_bytes + len(self._buffer)
            if size > self._limits.head_bytes:
                self.refuse('head')

    def _check_trailers(self, count: int) -> None:
        if getattr(self._transferDecoder, 'state', '') == 'TRAILER':
            self._trailer_bytes += count
            # The first read may be of the body, except for its last bytes.
            limit = self._limits.head_bytes + TRANSFER_BYTES
            if self._trailer_bytes > limit:
                self.refuse('framing')

    def _settle(self) -> None:
        """Count what is still held of the received bytes."""
        phase = self.account.phase
        if phase is caller_budget.Phase.HANDLED:
            # The next requests wait in the socket until this one is done.
            self._pause_reading()
        elif not self._refused:
            self.site.budget.hold(
                self.account,
                self._count_head() + self._body_bytes + self._count_waiting()
                + self._trailer_bytes * caller_budget.TRAILER_FACTOR
                + self._unread_bytes,
            )  # fmt: skip

    def _count_head(self) -> int:
        return caller_budget.count_head(self._head_bytes, self._head_lines)

    def _count_waiting(self) -> int:
        """Return the number of bytes that were received but not parsed."""
        return len(self._buffer) + sum(map(len, self._dataBuffer))

    def _pause_reading(self) -> None:
        if self._count_waiting() and not self._waitingForTransport:
            typing.cast(typing.Any, self.transport).pauseProducing()

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Parse a line of the head unless the head becomes too large."""
        if self._refused:
            return
        self._head_bytes += len(line) + 2
        self._head_lines += 1
        if self._head_bytes > self._limits.head_bytes:
            self.refuse('head')
            return
        BASE.lineReceived(self, line)

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        """Refuse a head with a line above the limit."""
        self.refuse('head')

    def allHeadersReceived(self) -> None:  # noqa: N802
        """Refuse a body whose length is above the limit."""
        self._body_bytes = self._wire_bytes = self._trailer_bytes = 0
        if (self.length or 0) > self._limits.body_bytes:
            self.refuse('body')
            return
        if self.length != 0:
            self.site.enter(self, caller_budget.Phase.BODY)
        BASE.allHeadersReceived(self)

    def accepts_body(self, count: int) -> bool:
        """Return whether the body may grow; refuse it otherwise."""
        self._body_bytes += count
        if self._body_bytes > self._limits.body_bytes:
            self.refuse('body')
        return not self._refused

    def allContentReceived(self) -> None:  # noqa: N802
        """Handle the request if there is room."""
        if self._refused:
            return
        held = caller_budget.count_handled(self._body_bytes)
        held += self._count_head()
        if self.site.handle(self, held):
            BASE.allContentReceived(self)
        else:
            self.refuse('memory')

    # Responses.

    def requestDone(self, request: typing.Any) -> None:  # noqa: N802
        """Go on with the next request, unless this response is unread."""
        self._head_bytes = self._head_lines = 0
        self._body_bytes = self._trailer_bytes = 0
        typing.cast(typing.Any, self.transport).bufferSize = TRANSFER_BYTES
        if self._limits is not self.site.budget.limits:
            self._set_limits()
        self.site.finished(self, self._count_waiting())
        if self._waitingForTransport:
            self._enter_unread()
            BASE.requestDone(self, request)
            return
        self._unread_bytes = 0
        waits = self._wait_for_turn()
        BASE.requestDone(self, request)
        if waits:
            typing.cast(typing.Any, self.transport).pauseProducing()

    def _wait_for_turn(self) -> bool:
        """Parse no further requests if the turn is used up."""
        waiting = self._count_waiting()
        ended = self._refused or not self.persistent
        if not waiting or ended or not self.site.end_turn(self):
            return False
        self.site.budget.hold(self.account, waiting)
        self.paused = True
        return True

    def begin_turn(self) -> None:
        """Parse the requests that have waited for a turn."""
        self.paused = False
        typing.cast(typing.Any, self.transport).resumeProducing()
        self._replay()

    def _enter_unread(self) -> None:
        typing.cast(typing.Any, self.transport).pauseProducing()
        self.site.enter(self, caller_budget.Phase.UNREAD)
        self.site.budget.hold(
            self.account, self._count_waiting() + self._unread_bytes
        )

    def write(self, data: bytes) -> None:
        """Write a part of a response."""
        self._unread_bytes += len(data)
        BASE.write(self, data)

    def writeSequence(self, iovec: list[bytes]) -> None:  # noqa: N802
        """Write parts of a response."""
        self._unread_bytes += sum(map(len, iovec))
        BASE.writeSequence(self, iovec)

    def pauseProducing(self) -> None:  # noqa: N802
        """Parse no further requests while a response is unread."""
        BASE.pauseProducing(self)
        self.paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Parse the requests that have waited for the caller."""
        BASE.resumeProducing(self)
        self.paused = False
        self._unread_bytes = 0
        if self.account.phase is caller_budget.Phase.UNREAD:
            waiting = self._count_waiting()
            phase = caller_budget.Phase
            self.site.enter(self, phase.HEAD if waiting else phase.IDLE)
            self.site.budget.hold(self.account, waiting)
            if self._wait_for_turn():
                typing.cast(typing.Any, self.transport).pauseProducing()
            else:
                self._replay()

    def setLineMode(self, extra: bytes = b'') -> None:  # noqa: N802
        """Parse what was received while a request was handled."""
        self.line_mode = 1
        self._buffer = extra + self._buffer
        self._replay()

    def _replay(self) -> None:
        if self._replaying or not self._buffer:
            return
        self._replaying = True
        try:
            BASE.dataReceived(self, b'')
        finally:
            self._replaying = False
        self._settle()

    # Ends.

    def refuse(self, reason: str) -> None:
        """Send a refusal, and discard input until the caller closes."""
        if self._refused:
            return
        self._refused = True
        self._clear()
        self.site.refused(self, reason)
        status, text = REFUSALS[reason]
        body = json.dumps({'Error': text}).encode()
        head = [
            f'HTTP/1.1 {status}',
            'Content-Type: application/json',
            f'Content-Length: {len(body)}',
            'Connection: close',
        ]
        if status == UNAVAILABLE:
            head.append('Retry-After: 1')
        transport = typing.cast(typing.Any, self.transport)
        transport.write('\r\n'.join(head).encode() + b'\r\n\r\n' + body)
        transport.unregisterProducer()
        transport.resumeProducing()
        transport.loseWriteConnection()

    def evict(self, reason: str) -> None:
        """Close the connection; a caller with a complete head is told why."""
        if self.account.phase is caller_budget.Phase.BODY:
            self.refuse(reason)
            typing.cast(typing.Any, self.transport).loseConnection()
            return
        if self.account.phase is not caller_budget.Phase.REFUSED:
            self.site.count_closed(reason)
        self._refused = True
        self._clear()
        self.abort()
        self.site.closed(self)

    def expire(self) -> None:
        """Close the connection, whose time is up."""
        phase = self.account.phase
        if phase is caller_budget.Phase.HEAD:
            self.refuse('head_timeout')
        elif phase is caller_budget.Phase.BODY:
            self.refuse('body_timeout')
        else:
            if phase is not caller_budget.Phase.REFUSED:
                self.site.count_closed(phase.name.lower())
            self.abort()

    def abort(self) -> None:
        """Close the connection at once."""
        typing.cast(typing.Any, self.transport).abortConnection()

    def _clear(self) -> None:
        """Release what was received of a request."""
        basic.LineReceiver.clearLineBuffer(self)
        self._dataBuffer = []
        self._transferDecoder = _Discard()
        self._head_bytes = self._head_lines = 0
        self._body_bytes = self._trailer_bytes = 0
        if self.requests:
            self.requests[-1].content = io.BytesIO()


class _Discard:
    """Replace the decoder of a body that was refused."""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Ignore the rest of the body."""

"""Run one WebSocket connection as a Twisted protocol.

The protocol converts between bytes and messages, and limits the size of
received frames and the number of queued messages. It reports events to the
session that created it by callbacks, and leaves all decisions to it.
"""

import collections
from collections import abc
import typing

from twisted.internet import error
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.python import failure
from websockets import client
from websockets import exceptions
from websockets import frames
from websockets import http11
from websockets import server
from websockets import uri
import zope.interface

from kcr_core import message_base
from kcr_runtime.wire import codec

# Maximum number of messages queued while the transport is paused.
MAX_QUEUED_MESSAGES = 256


@zope.interface.implementer(interfaces.IPushProducer)
class Connection(protocol.Protocol):
    """Exchange messages over one TCP connection."""

    def __init__(
        self,
        dialed: str | None,
        on_open: abc.Callable[['Connection'], None],
        on_message: abc.Callable[[message_base.Message], None],
        on_close: abc.Callable[[str], None],
    ) -> None:
        # Address that was dialed; None for an accepted connection.
        self.dialed = dialed
        # Bytes received and sent, for the dump.
        self.bytes_in = 0
        self.bytes_out = 0
        self._on_open = on_open
        self._on_message = on_message
        self._on_close = on_close
        self._paused = False
        self._open = False
        self._waiting: collections.deque[bytes] = collections.deque()
        self._ws: client.ClientProtocol | server.ServerProtocol
        if dialed is None:
            self._ws = server.ServerProtocol(
                max_size=message_base.MAX_FRAME_BYTES
            )
        else:
            self._ws = client.ClientProtocol(
                uri.parse_uri(f'ws://{dialed}/'),
                max_size=message_base.MAX_FRAME_BYTES,
            )

    def connectionMade(self) -> None:  # noqa: N802
        """Start the WebSocket handshake if this side has dialed."""
        transport = typing.cast(typing.Any, self.transport)
        transport.setTcpNoDelay(True)
        transport.registerProducer(self, True)
        if isinstance(self._ws, client.ClientProtocol):
            self._ws.send_request(self._ws.connect())
            self._flush()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Process received bytes and deliver complete messages."""
        self.bytes_in += len(data)
        self._ws.receive_data(data)
        for event in self._ws.events_received():
            self._handle(event)
        self._flush()

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Report that the connection has ended."""
        self._open = False
        self._waiting.clear()
        clean = reason.check(error.ConnectionDone) is not None
        self._on_close('closed' if clean else reason.getErrorMessage())

    def send(self, msg: message_base.Message) -> bool:
        """Send or queue a message; return False if closed or queue full."""
        if not self._open:
            return False
        if self._paused and len(self._waiting) >= MAX_QUEUED_MESSAGES:
            return False
        self._waiting.append(codec.encode(msg))
        if not self._paused:
            self._flush_waiting()
        return True

    def close(self, reason: str) -> None:
        """Send a goodbye with the reason and close the connection."""
        if self._open:
            self.send(message_base.Goodbye(reason[:500]))
            self._open = False
            self._ws.send_close()
            self._flush()
        if self.transport is not None:
            self.transport.loseConnection()

    def abort(self) -> None:
        """Abort the connection without a closing handshake."""
        if self.transport is not None:
            typing.cast(typing.Any, self.transport).abortConnection()

    def pauseProducing(self) -> None:  # noqa: N802
        """Queue messages, because the peer reads too slowly."""
        self._paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Send the queued messages."""
        self._paused = False
        self._flush_waiting()

    def stopProducing(self) -> None:  # noqa: N802
        """Discard the queued messages."""
        self._waiting.clear()

    def _handle(self, event: typing.Any) -> None:
        if isinstance(event, http11.Request):
            self._accept(event)
        elif isinstance(event, http11.Response):
            if self._ws.handshake_exc is None:
                self._opened()
        elif isinstance(event, frames.Frame):
            if event.opcode is frames.Opcode.BINARY:
                self._receive(bytes(event.data))
            elif event.opcode is frames.Opcode.TEXT:
                self.close('text frames are not accepted; send CBOR')

    def _accept(self, req: http11.Request) -> None:
        assert isinstance(self._ws, server.ServerProtocol)
        self._ws.send_response(self._ws.accept(req))
        if self._ws.handshake_exc is None:
            self._flush()
            self._opened()

    def _opened(self) -> None:
        self._open = True
        self._on_open(self)

    def _receive(self, frame: bytes) -> None:
        try:
            msg = codec.decode(frame)
        except codec.BadFrame as exc:
            self.close(str(exc))
            return
        self._on_message(msg)

    def _flush_waiting(self) -> None:
        while self._waiting and not self._paused:
            try:
                self._ws.send_binary(self._waiting.popleft())
            except exceptions.InvalidState:
                return
            self._flush()

    def _flush(self) -> None:
        transport = self.transport
        if transport is None:
            return
        for data in self._ws.data_to_send():
            if data:
                self.bytes_out += len(data)
                transport.write(data)
            else:
                transport.loseConnection()


class ConnectionFactory(protocol.Factory):
    """Create connections for a listening port or a dialed address."""

    def __init__(self, build: abc.Callable[[], Connection]) -> None:
        self._build = build

    def buildProtocol(self, addr: typing.Any) -> Connection:  # noqa: N802
        """Return a new connection."""
        return self._build()

"""Run one websocket connection as a Twisted protocol.

The protocol turns bytes into messages and back, bounds both directions, and
reports to its owner by callbacks; it takes no decision.
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

# Messages that wait while the transport is paused.
SEND_LIMIT = 256


@zope.interface.implementer(interfaces.IPushProducer)
class Connection(protocol.Protocol):
    """Speak the wire protocol over one TCP connection."""

    def __init__(
        self,
        dialed: str | None,
        on_open: abc.Callable[['Connection'], None],
        on_message: abc.Callable[[message_base.Message], None],
        on_close: abc.Callable[[str], None],
    ) -> None:
        # Address that was dialed; none on the accepting side.
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
        """Start the websocket handshake."""
        transport = typing.cast(typing.Any, self.transport)
        transport.setTcpNoDelay(True)
        transport.registerProducer(self, True)
        if isinstance(self._ws, client.ClientProtocol):
            self._ws.send_request(self._ws.connect())
            self._flush()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Feed the websocket layer and deliver whole messages."""
        self.bytes_in += len(data)
        self._ws.receive_data(data)
        for event in self._ws.events_received():
            self._handle(event)
        self._flush()

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Report the end of the connection."""
        self._open = False
        self._waiting.clear()
        clean = reason.check(error.ConnectionDone) is not None
        self._on_close('closed' if clean else reason.getErrorMessage())

    def send(self, msg: message_base.Message) -> bool:
        """Send a message; return False if closed or over the bound."""
        if not self._open:
            return False
        if self._paused and len(self._waiting) >= SEND_LIMIT:
            return False
        self._waiting.append(codec.encode(msg))
        if not self._paused:
            self._flush_waiting()
        return True

    def close(self, reason: str) -> None:
        """Say goodbye and close the connection."""
        if self._open:
            self.send(message_base.Goodbye(reason[:500]))
            self._open = False
            self._ws.send_close()
            self._flush()
        if self.transport is not None:
            self.transport.loseConnection()

    def abort(self) -> None:
        """Drop the connection at once."""
        if self.transport is not None:
            typing.cast(typing.Any, self.transport).abortConnection()

    def pauseProducing(self) -> None:  # noqa: N802
        """Hold messages back while the peer reads too slowly."""
        self._paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Send the messages that were held back."""
        self._paused = False
        self._flush_waiting()

    def stopProducing(self) -> None:  # noqa: N802
        """Drop the messages that were held back."""
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
    """Build connections for a listening port or a dialed address."""

    def __init__(self, build: abc.Callable[[], Connection]) -> None:
        self._build = build

    def buildProtocol(self, addr: typing.Any) -> Connection:  # noqa: N802
        """Return a new connection."""
        return self._build()

"""Run one WebSocket connection as a Twisted protocol.

The protocol converts between bytes and messages, and limits the size of
received frames and the number of queued messages. It reports events to the
session that created it by callbacks, and leaves all decisions to it.
"""

import collections
from collections import abc
import socket
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
# Maximum size of the messages queued, in bytes, if there is more than one.
MAX_QUEUED_BYTES = 8 * 1024 * 1024
# Bytes that a peer may send without a hello: the handshake and one message.
MAX_GREETING_BYTES = 16 * 1024
# Time without bytes after which the kernel probes a connection, time between
# its probes, and number of unanswered ones that end it, in seconds. Who only
# receives finds a silent connection in no other way. A cut path of 30 s ends
# no connection.
KEEPALIVE_IDLE_S = 10
KEEPALIVE_INTERVAL_S = 5
KEEPALIVE_PROBES = 5
# Bytes of pongs that may wait for a peer that does not read.
MAX_UNREAD_BYTES = 64 * 1024


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
        # Whether the peer has sent a hello.
        self.greeted = False
        self._lost = False
        self._paused = False
        self._open = False
        self._waiting: collections.deque[bytes] = collections.deque()
        self._waiting_bytes = 0
        # Bytes written since the transport was paused.
        self._unread_bytes = 0
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
        _enable_keepalive(transport)
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
        too_long = not self.greeted and self.bytes_in > MAX_GREETING_BYTES
        if too_long or self._unread_bytes > MAX_UNREAD_BYTES:
            self.abort()

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Report that the connection has ended."""
        self._open = False
        self._lost = True
        self._clear_waiting()
        clean = reason.check(error.ConnectionDone) is not None
        self._on_close('closed' if clean else reason.getErrorMessage())

    @property
    def done_greeting(self) -> bool:
        """Return whether the peer has sent a hello or is gone."""
        return self.greeted or self._lost

    def send(self, msg: message_base.Message) -> bool:
        """Send or queue a message; return False if closed or queue full."""
        if not self._open:
            return False
        if self._paused and len(self._waiting) >= MAX_QUEUED_MESSAGES:
            return False
        frame = codec.encode(msg)
        if self._waiting and (
            self._waiting_bytes + len(frame) > MAX_QUEUED_BYTES
        ):
            return False
        self._waiting.append(frame)
        self._waiting_bytes += len(frame)
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
        self._unread_bytes = 0
        self._flush_waiting()

    def stopProducing(self) -> None:  # noqa: N802
        """Discard the queued messages."""
        self._clear_waiting()

    def _clear_waiting(self) -> None:
        self._waiting.clear()
        self._waiting_bytes = 0

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
        self.greeted = self.greeted or isinstance(msg, message_base.Hello)
        self._on_message(msg)

    def _flush_waiting(self) -> None:
        while self._waiting and not self._paused:
            frame = self._waiting.popleft()
            self._waiting_bytes -= len(frame)
            try:
                self._ws.send_binary(frame)
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
                if self._paused:
                    self._unread_bytes += len(data)
                transport.write(data)
            else:
                transport.loseConnection()


def _enable_keepalive(transport: typing.Any) -> None:
    transport.setTcpKeepAlive(True)
    sock = transport.getHandle()
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


class ConnectionFactory(protocol.Factory):
    """Create connections for a listening port or a dialed address."""

    def __init__(self, build: abc.Callable[[], Connection]) -> None:
        self._build = build

    def buildProtocol(self, addr: typing.Any) -> Connection:  # noqa: N802
        """Return a new connection."""
        return self._build()

"""Connect several roles in one interpreter on a fake clock.

`capacity_harness` uses it. Each role runs on a `Host`: a reactor whose clock
the measurement advances and whose sockets are byte queues. A host counts its
CPU time, so that the cost of each role is known separately.
"""

from collections import abc
import heapq
import itertools
import time
import typing

from twisted.internet import address
from twisted.internet import base
from twisted.internet import error
from twisted.internet import interfaces
from twisted.python import failure
import zope.interface

# Address of every host.
LOOPBACK = '127.0.0.1'
# Step of the fake clock, in seconds.
STEP_S = 0.005


class Network:
    """Own the hosts, the listening ports and the bytes in transit."""

    def __init__(self) -> None:
        # Fake time in seconds.
        self.now = 0.0
        # Hosts in the order in which they run.
        self.hosts: list[Host] = []
        # Listening factory and host by port.
        self.ports: dict[int, tuple[typing.Any, Host]] = {}
        # Transports with bytes to deliver.
        self.pending: list[Transport] = []

    def add(self, name: str) -> 'Host':
        """Add a host and return it."""
        self.hosts.append(Host(self, name))
        return self.hosts[-1]

    def run(self, seconds: float) -> None:
        """Advance the time of all hosts and deliver their bytes."""
        for _ in range(max(1, round(seconds / STEP_S))):
            self.now += STEP_S
            for host in self.hosts:
                host.measure(host.run_due_calls)
            while self.pending:
                pending, self.pending = self.pending, []
                for transport in pending:
                    transport.host.measure(transport.deliver)
                for host in self.hosts:
                    host.measure(host.run_due_calls)


@zope.interface.implementer(interfaces.IHostResolution)
class Resolver:
    """Resolve every name to the loopback address."""

    # Resolved name, an attribute that Twisted requires.
    name = LOOPBACK

    def resolveHostName(  # noqa: N802
        self,
        receiver: typing.Any,
        name: str,
        portNumber: int = 0,  # noqa: N803
        *args: typing.Any,
        **kwargs: typing.Any,
    ) -> 'Resolver':
        """Report the address immediately."""
        receiver.resolutionBegan(self)
        receiver.addressResolved(make_address(portNumber))
        receiver.resolutionComplete()
        return self

    def cancel(self) -> None:
        """Do nothing; the resolution is already complete."""


@zope.interface.implementer(interfaces.IReactorPluggableNameResolver)
class Host:
    """Implement the reactor of one process."""

    def __init__(self, net: Network, name: str) -> None:
        # Network of the host.
        self.net = net
        # Name of the process.
        self.name = name
        # CPU time of the process, in seconds.
        self.cpu_s = 0.0
        # Bytes and write calls of all connections.
        self.sent_bytes = 0
        self.writes = 0
        self.nameResolver = Resolver()  # noqa: N815
        self._calls: list[tuple[float, int, base.DelayedCall]] = []
        self._sequence = itertools.count()

    def measure(self, function: abc.Callable[[], None]) -> None:
        """Call a function of the process and count its CPU time."""
        started_at = time.thread_time()
        function()
        self.cpu_s += time.thread_time() - started_at

    def seconds(self) -> float:
        """Return the fake time in seconds."""
        return self.net.now

    def callLater(  # noqa: N802
        self,
        delay: float,
        func: abc.Callable[..., object],
        *args: typing.Any,
        **kwargs: typing.Any,
    ) -> base.DelayedCall:
        """Call a function after a delay."""
        call = base.DelayedCall(
            self.net.now + delay,
            func,
            args,
            kwargs,
            lambda cancelled: None,
            self._put,
            self.seconds,
        )
        self._put(call)
        return call

    def _put(self, call: base.DelayedCall) -> None:
        heapq.heappush(
            self._calls, (call.getTime(), next(self._sequence), call)
        )

    def run_due_calls(self) -> None:
        """Run the calls that are due."""
        while self._calls and self._calls[0][0] <= self.net.now:
            call = heapq.heappop(self._calls)[2]
            if call.cancelled or call.called:
                continue
            if call.getTime() > self.net.now:
                self._put(call)
                continue
            call.called = 1
            call.func(*call.args, **call.kw)

    def installNameResolver(  # noqa: N802
        self, resolver: typing.Any
    ) -> typing.Any:
        """Keep the current resolver."""
        return resolver

    def listenTCP(  # noqa: N802
        self,
        port: int,
        factory: typing.Any,
        backlog: int = 50,
        interface: str = '',
    ) -> 'Port':
        """Accept connections."""
        self.net.ports[port] = (factory, self)
        return Port(self.net, port)

    def connectTCP(  # noqa: N802
        self,
        host: str,
        port: int,
        factory: typing.Any,
        timeout: float = 30,
        bindAddress: typing.Any = None,  # noqa: N803
    ) -> 'Connector':
        """Open a connection; both ends are connected immediately."""
        connector = Connector()
        factory.doStart()
        factory.startedConnecting(connector)
        listening = self.net.ports.get(port)
        if listening is None:
            failed = failure.Failure(error.ConnectionRefusedError())
            factory.clientConnectionFailed(connector, failed)
            return connector
        listener, peer = listening
        server_protocol = listener.buildProtocol(make_address(0))
        client_protocol = factory.buildProtocol(make_address(port))
        client = Transport(self, client_protocol, port)
        server = Transport(peer, server_protocol, port)
        client.peer, server.peer = server, client
        server_protocol.makeConnection(server)
        client_protocol.makeConnection(client)
        return connector


class Connector:
    """Represent a connection attempt."""

    def stopConnecting(self) -> None:  # noqa: N802
        """Do nothing; connections are made immediately."""

    def disconnect(self) -> None:
        """Do nothing; the protocol closes its transport."""


class Port:
    """Represent a listening port."""

    def __init__(self, net: Network, port: int) -> None:
        self._net = net
        self._port = port

    def getHost(self) -> address.IPv4Address:  # noqa: N802
        """Return the address."""
        return make_address(self._port)

    def stopListening(self) -> None:  # noqa: N802
        """Refuse further connections."""
        self._net.ports.pop(self._port, None)


class Socket:
    """Stand for the socket of a transport."""

    def setsockopt(self, level: int, option: int, value: int) -> None:
        """Do nothing; a transport in memory is never silent."""


@zope.interface.implementer(interfaces.ITransport, interfaces.IPushProducer)
class Transport:
    """Implement one end of a connection."""

    def __init__(self, host: Host, protocol: typing.Any, port: int) -> None:
        # Host of this end.
        self.host = host
        # Protocol of this end.
        self.protocol = protocol
        # Other end.
        self.peer: Transport | None = None
        # Whether the connection is closing or closed.
        self.disconnecting = False
        self._port = port
        self._waiting: list[bytes] = []
        self._closed = False

    def write(self, data: bytes) -> None:
        """Send bytes to the other end."""
        if self.disconnecting or self.peer is None or not data:
            return
        self.host.sent_bytes += len(data)
        self.host.writes += 1
        self.peer._receive(data)

    def writeSequence(  # noqa: N802
        self, parts: abc.Iterable[bytes]
    ) -> None:
        """Send bytes to the other end in one write."""
        self.write(b''.join(parts))

    def _receive(self, data: bytes) -> None:
        if not self._waiting:
            self.host.net.pending.append(self)
        self._waiting.append(data)

    def deliver(self) -> None:
        """Pass the received bytes to the protocol."""
        waiting, self._waiting = self._waiting, []
        if waiting and not self._closed:
            self.protocol.dataReceived(b''.join(waiting))

    def loseConnection(self) -> None:  # noqa: N802
        """Close both ends after delivery of the written bytes."""
        if not self.disconnecting:
            self.disconnecting = True
            self.host.callLater(0, self._close)
            if self.peer is not None:
                self.peer.host.callLater(0, self.peer._close)

    def abortConnection(self) -> None:  # noqa: N802
        """Close both ends."""
        self.loseConnection()

    def _close(self) -> None:
        if self._closed:
            return
        self.deliver()
        self.disconnecting = self._closed = True
        reason = failure.Failure(error.ConnectionDone())
        self.protocol.connectionLost(reason)

    def getPeer(self) -> address.IPv4Address:  # noqa: N802
        """Return the address of the other end."""
        return make_address(self._port)

    def getHost(self) -> address.IPv4Address:  # noqa: N802
        """Return the address of this end."""
        return make_address(self._port)

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        """Do nothing; writes are not coalesced."""

    def setTcpKeepAlive(self, enabled: bool) -> None:  # noqa: N802
        """Do nothing."""

    def getHandle(self) -> Socket:  # noqa: N802
        """Return the socket, for its options."""
        return Socket()

    def registerProducer(  # noqa: N802
        self, producer: typing.Any, streaming: bool
    ) -> None:
        """Do nothing; the queue is unbounded."""

    def unregisterProducer(self) -> None:  # noqa: N802
        """Do nothing."""

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing; the measured loads are small."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing."""

    def stopProducing(self) -> None:  # noqa: N802
        """Close the connection."""
        self.loseConnection()


def make_address(port: int) -> address.IPv4Address:
    """Return an address on the loopback interface."""
    return address.IPv4Address('TCP', LOOPBACK, port)

"""Probe whether a new connection to a peer can be made.

A session can stop to carry bytes without being closed. If its peer is silent
while a new connection works, the session is at fault, not the path or the
peer; the mesh then replaces it.
"""

import dataclasses
import typing

from twisted.internet import endpoints
from twisted.internet import protocol

from kcr_core import net_address
from kcr_runtime import task
from kcr_scheduler import addresses

# Timeout of a probe, in seconds; a round trip between regions takes 0.06 s.
PROBE_TIMEOUT_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """Request a probe of the peer of a session."""

    # Address of the session task.
    session: str
    # Address on which the peer listens.
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeEnded:
    """Report the result of a probe."""

    # Address of the session task.
    session: str
    connected: bool


class Prober(task.Task):
    """Own the connections of the probes, which are closed at once."""

    @task.handles(Probe)
    def _on_probe(self, msg: Probe) -> None:
        target = net_address.parse(msg.address)
        point = endpoints.TCP4ClientEndpoint(
            self.ctx.reactor, target.host, target.port, PROBE_TIMEOUT_S
        )
        fut = point.connect(protocol.Factory.forProtocol(protocol.Protocol))
        fut.addCallbacks(
            lambda conn: self._end(msg, conn), lambda fail: self._end(msg)
        )

    def _end(self, msg: Probe, conn: typing.Any = None) -> None:
        if conn is not None:
            conn.transport.abortConnection()
        self.send(addresses.MESH, ProbeEnded(msg.session, conn is not None))

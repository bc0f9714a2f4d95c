"""Attach many fake sidecars to one entry from a single process.

`capacity_process` starts it. Each connection sends a hello, the state of its
endpoint and heartbeats, as an idle sidecar does; it has no runner and no
worker.
"""

import random
import typing

import defopt
from twisted.internet import endpoints
from twisted.internet import reactor as default_reactor

from kcr_core import message_base
from kcr_core import messages
from kcr_core import types
from kcr_runtime.wire import connection

# Delay between the opening of two connections, in seconds.
DIAL_INTERVAL_S = 0.01


class FakeSidecar:
    """Simulate one idle sidecar."""

    def __init__(self, reactor: typing.Any, port: int, number: int) -> None:
        self._reactor = reactor
        self._address = f'127.0.0.1:{port}'
        self._number = number
        self._seq = 0
        self._rng = random.Random(number)
        self._conn: connection.Connection | None = None

    def dial(self) -> None:
        """Open the connection."""
        host, port = self._address.split(':')
        point = endpoints.TCP4ClientEndpoint(self._reactor, host, int(port))
        point.connect(connection.ConnectionFactory(self._make_connection))

    def _make_connection(self) -> connection.Connection:
        self._conn = connection.Connection(
            self._address, self._on_open, lambda msg: None, lambda reason: None
        )
        return self._conn

    def _on_open(self, conn: connection.Connection) -> None:
        name = f'instance-{self._number:05d}'
        place = types.Place(
            'region-0', f'zone-{self._number % 4}', 'rack-0', name
        )
        conn.send(
            message_base.Hello(
                message_base.PROTOCOL_VERSION,
                'sidecar',
                f'sidecar-{name}',
                f'{self._rng.getrandbits(64):016x}',
                place,
            )
        )
        free = types.Demand(16.0, 60_000.0, 1)
        capacity = types.Capacity(8, 64, free)
        conn.send(messages.EndpointState('web', capacity, 1))
        self._send_heartbeat()

    def _send_heartbeat(self) -> None:
        assert self._conn is not None, (
            'heartbeat before the connection is open'
        )
        self._seq += 1
        free = types.Demand(16.0, 60_000.0, 1)
        self._conn.send(messages.Heartbeat(self._seq, 0, 0, 0, free))
        self._reactor.callLater(
            self._rng.uniform(0.9, 1.1), self._send_heartbeat
        )


def run(*, port: int, count: int) -> None:
    """Attach sidecars to an entry until the process is terminated.

    :param port: port of the entry for sidecars, on the loopback address
    :param count: number of sidecars
    """
    reactor: typing.Any = default_reactor
    for number in range(count):
        fake = FakeSidecar(reactor, port, number)
        reactor.callLater(number * DIAL_INTERVAL_S, fake.dial)
    reactor.run()


def main() -> None:
    """Run the command line."""
    defopt.run(run)


if __name__ == '__main__':
    main()

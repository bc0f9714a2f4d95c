"""Start one emulated service as a process of its own."""

import typing

import defopt
from twisted.internet import reactor as default_reactor

from kcr_emulator import runner as runner_emulator


def runner(
    *, port: int, slots: int = 8, service_ms: float = 5.0, seed: int = 1
) -> None:
    """Serve an emulated runner.

    :param port: port on the loopback address
    :param slots: calls served at the same time
    :param service_ms: mean service time in milliseconds
    :param seed: seed of the service times
    """
    reactor: typing.Any = default_reactor
    emulator = runner_emulator.RunnerEmulator(reactor, slots, service_ms, seed)
    reactor.listenTCP(port, emulator.site(), interface='127.0.0.1')
    reactor.run()


def main() -> None:
    """Run the command line."""
    defopt.run([runner])


if __name__ == '__main__':
    main()

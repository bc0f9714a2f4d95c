"""Run calls of clients in the thread of Twisted's reactor."""

import threading
import typing

from twisted.internet import defer
from twisted.internet import reactor as twisted_reactor

# Time to wait for an outcome, in seconds.
WAIT_S = 30.0


def start() -> None:
    """Run the reactor in a thread, if it does not run yet."""
    reactor: typing.Any = twisted_reactor
    if reactor.running:
        return
    began = threading.Event()
    reactor.callWhenRunning(began.set)
    threading.Thread(
        target=reactor.run, kwargs={'installSignalHandlers': False},
        daemon=True,
    ).start()  # fmt: skip
    assert began.wait(WAIT_S)


def run(call: typing.Callable[[], defer.Deferred[typing.Any]]) -> typing.Any:
    """Run a call in the thread of the reactor; return its outcome."""
    done = threading.Event()
    found: list[typing.Any] = []

    def begin() -> None:
        call().addBoth(found.append).addBoth(lambda _: done.set())

    reactor: typing.Any = twisted_reactor
    reactor.callFromThread(begin)
    assert done.wait(WAIT_S)
    return found[0]

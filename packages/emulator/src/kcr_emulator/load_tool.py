"""Send a load of requests for a given time and write the outcomes as JSON.

The demo and the capacity measurements run this module as a process of its
own, so that sending does not compete with them.
"""

import dataclasses
import json
import pathlib
import typing

import defopt
from twisted.internet import defer
from twisted.internet import reactor as default_reactor
from twisted.internet import task

from kcr_emulator import load


def run(
    *,
    entries: list[str],
    out: pathlib.Path,
    seconds: float = 10.0,
    idempotent_per_s: float = 50.0,
    single_per_s: float = 10.0,
    deadline_ms: int = 2000,
    twin_share: float = 0.1,
    seed: int = 1,
) -> None:
    """Send requests to the entries and write the outcomes to a file.

    :param entries: base URLs of the entries
    :param out: file for the results, JSON
    :param seconds: time for which requests are sent
    :param idempotent_per_s: idempotent requests a second
    :param single_per_s: non-idempotent requests a second
    :param deadline_ms: deadline of each request in milliseconds
    :param twin_share: share of non-idempotent requests sent to two entries
    :param seed: seed of the arrivals
    """
    reactor: typing.Any = default_reactor
    profile = load.Profile(
        idempotent_per_s, single_per_s, deadline_ms, twin_share, seed
    )
    sender = load.Load(reactor, entries, profile)
    send_for(reactor, sender, seconds)
    write(sender, out)


def send_for(reactor: typing.Any, sender: load.Load, seconds: float) -> None:
    """Send for a time; re-raise the exception of a load that failed."""
    failures: list[BaseException] = []

    async def send() -> None:
        sender.start()
        await task.deferLater(reactor, seconds, lambda: None)
        await sender.finish()

    def stop(result: typing.Any) -> None:
        if result is not None:
            failures.append(result.value)
        reactor.stop()

    reactor.callWhenRunning(lambda: defer.ensureDeferred(send()).addBoth(stop))
    reactor.run()
    if failures:
        raise failures[0]


def write(sender: load.Load, out: pathlib.Path) -> None:
    """Write the results and the percentiles to a file."""
    value = {
        'results': [dataclasses.asdict(r) for r in sender.results],
        'percentiles_ms': sender.percentiles(),
    }
    out.write_text(json.dumps(value))


def read(
    path: pathlib.Path,
) -> tuple[list[load.Result], dict[str, float]]:
    """Return the results and the percentiles that `write` stored."""
    value = json.loads(path.read_text())
    return (
        [load.Result(**item) for item in value['results']],
        value['percentiles_ms'],
    )


def main() -> None:
    """Run the command line."""
    defopt.run(run)


if __name__ == '__main__':
    main()

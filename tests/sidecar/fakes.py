"""Run one task of the sidecar with a clock and recorded messages."""

import random
import typing

from twisted.internet import defer
from twisted.internet import task as twisted_task

from kcr_core import types
from kcr_runtime import metrics
from kcr_runtime import task


class Config:
    """Hold the options that the tasks read."""

    service = 'svc'
    slots = 4
    connections = 64
    entries = ('127.0.0.1:1', '127.0.0.1:2')
    region = zone = rack = instance = process = 'x'

    def capacity(self) -> types.Capacity:
        """Return what the instance offers."""
        return types.Capacity(8, 64, types.Demand(8.0, 8000.0))


class Recorder:
    """Keep what is posted to an address."""

    def __init__(self) -> None:
        self.got: list[typing.Any] = []

    def begin(self) -> None:
        """Do nothing."""

    def end(self) -> defer.Deferred[None]:
        """Do nothing."""
        return defer.succeed(None)

    def post(self, msg: typing.Any) -> bool:
        """Record a message."""
        self.got.append(msg)
        return True

    def dump(self) -> dict[str, typing.Any]:
        """Return nothing."""
        return {}

    def take(self, cls: type[typing.Any]) -> list[typing.Any]:
        """Return and drop the messages of one class."""
        found = [msg for msg in self.got if isinstance(msg, cls)]
        self.got = [msg for msg in self.got if not isinstance(msg, cls)]
        return found


class Bench:
    """Join a clock, a directory and recorders."""

    def __init__(self, *recorded: str) -> None:
        self.clock = twisted_task.Clock()
        self.ctx = task.Context(
            reactor=self.clock,
            directory=task.Directory(),
            rng=random.Random(1),
            cfg=Config(),
            metrics=metrics.Metrics('test'),
            incarnation='me',
        )
        self.nodes = {address: Recorder() for address in recorded}
        for address, node in self.nodes.items():
            self.ctx.directory.add(address, node)

    def post(self, address: str, msg: typing.Any) -> None:
        """Post a message and let it be handled."""
        assert self.ctx.directory.send(address, msg)
        self.clock.advance(0)
        self.clock.advance(0)

    def advance(self, seconds: float) -> None:
        """Let time pass in small steps."""
        for _ in range(round(seconds / 0.1)):
            self.clock.advance(0.1)

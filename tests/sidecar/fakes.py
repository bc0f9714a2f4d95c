"""Run tasks of the sidecar on a fake clock and record their messages."""

import random
import typing

import recorder
from twisted.internet import task as twisted_task

from kcr_core import types
from kcr_runtime import metrics
from kcr_runtime import task


class Config:
    """Define the options that the tasks read."""

    service = 'svc'
    slots = 4
    connections = 64
    entries = ('127.0.0.1:1', '127.0.0.1:2')
    region = zone = rack = instance = process = 'x'

    def capacity(self) -> types.Capacity:
        """Return the capacity of the instance."""
        return types.Capacity(8, 64, types.Demand(8.0, 8000.0))


class TaskHarness:
    """Provide a fake clock, and recorders at the given addresses."""

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
        self.recorders = {address: recorder.Recorder() for address in recorded}
        for address, fake in self.recorders.items():
            self.ctx.directory.add(address, fake)

    def post(self, address: str, msg: typing.Any) -> None:
        """Post a message and let it be handled."""
        assert self.ctx.directory.send(address, msg)
        self.clock.advance(0)
        self.clock.advance(0)

    def advance(self, seconds: float) -> None:
        """Advance the clock in steps of 0.1 s."""
        for _ in range(round(seconds / 0.1)):
            self.clock.advance(0.1)

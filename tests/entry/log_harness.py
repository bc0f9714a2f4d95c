"""Harness: tasks of an entry and the emulated log on one fake clock."""

import random
import types
import typing

from treq import testing
from twisted.internet import task as twisted_task

from kcr_emulator import log as log_emulator
from kcr_runtime import log_client
from kcr_runtime import metrics
from kcr_runtime import task


class Probe(task.Task):
    """Collect every message that is sent to an address."""

    def __init__(self, ctx: task.Context, address: str) -> None:
        super().__init__(ctx, address)
        # Messages, in the order of arrival.
        self.received: list[typing.Any] = []

    def post(self, msg: typing.Any) -> bool:
        """Record a message."""
        self.received.append(msg)
        return True

    def of(self, cls: type[typing.Any]) -> list[typing.Any]:
        """Return the messages of one class."""
        return [msg for msg in self.received if isinstance(msg, cls)]


class Harness:
    """Store the clock, the emulated log and the tasks of several entries."""

    def __init__(self, **options: typing.Any) -> None:
        # Clock of all tasks and of the log.
        self.clock = twisted_task.Clock()
        # Emulated log.
        self.log = log_emulator.LogEmulator(self.clock, **options)
        self._agents: list[typing.Any] = []

    def make_context(self, incarnation: str) -> task.Context:
        """Return the context of one entry process."""
        cfg = types.SimpleNamespace(
            log='127.0.0.1:1', region='r1', log_retention_s=3600.0
        )
        return task.Context(
            reactor=self.clock,
            directory=task.Directory(),
            rng=random.Random(incarnation),
            cfg=cfg,
            metrics=metrics.Metrics(incarnation),
            incarnation=incarnation,
        )

    def start(self, component: typing.Any) -> None:
        """Start a task; connect its log client, if any, to the emulator."""
        client = getattr(component, '_client', None)
        if isinstance(client, log_client.LogClient):
            make_agent: typing.Any = testing.RequestTraversalAgent
            agent = make_agent(self.log.site().resource)
            http = typing.cast(typing.Any, client)._http
            http._make_agent = lambda pool: agent
            self._agents.append(agent)
        component.begin()

    def run(self, seconds: float) -> None:
        """Advance the clock in steps of 5 ms."""
        for _ in range(max(1, round(seconds / 0.005))):
            for agent in self._agents:
                agent.flush()
            self.clock.advance(0.005)

    def unix_time(self) -> float:
        """Return the Unix time."""
        return 1_700_000_000.0 + float(self.clock.seconds())

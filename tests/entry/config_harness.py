"""Harness: the configuration tasks of several entries on one fake clock."""

import pathlib
import typing

from kcr_core import message_base
from kcr_core import messages
from kcr_core import types
from kcr_document import document
from kcr_entry import addresses
from kcr_entry.configuration import in_force
from kcr_entry.configuration import processes
from kcr_entry.configuration import queries
from kcr_entry import events
from kcr_entry.log import appender
from kcr_entry.log import reader
from kcr_runtime import query
from kcr_runtime.wire import session
import log_harness

EXAMPLE = pathlib.Path(__file__).parents[2] / 'examples' / 'latency.yaml'
TEXT = EXAMPLE.read_text()


def read_file(budget: float = 0.1) -> document.File:
    """Return the example document file with another retry budget."""
    changed = TEXT.replace('budget: 0.1', f'budget: {budget}')
    return document.parse(changed.encode())


class Entry:
    """Store the configuration tasks of one entry."""

    def __init__(
        self,
        harness: log_harness.Harness,
        incarnation: str,
        environment: str = 'production',
        peers: tuple[str, ...] = (),
        retention_s: float = 3600.0,
    ) -> None:
        # Context of the entry.
        self.ctx = harness.make_context(incarnation)
        cfg = self.ctx.cfg
        cfg.environment, cfg.process = environment, incarnation
        cfg.log_retention_s = retention_s
        cfg.peers, cfg.listen = list(peers), f'listen-{incarnation}'
        self._probes: dict[str, log_harness.Probe] = {}
        for address in ('requester', addresses.MEMBERSHIP, addresses.HTTP):
            self.probe(address)
        self._owner = in_force.InForce(self.ctx, addresses.IN_FORCE)
        for component in (
            appender.Appender(self.ctx, addresses.APPENDER),
            processes.Processes(self.ctx, addresses.PROCESSES),
            self._owner,
            reader.Reader(
                self.ctx,
                addresses.READERS['config'],
                'config',
                (addresses.IN_FORCE,),
            ),
        ):
            harness.start(component)

    def restart(self) -> None:
        """Replace the owner of the document, as after a failure."""
        self._owner.end()
        self._owner = in_force.InForce(self.ctx, addresses.IN_FORCE)
        self._owner.begin()

    def probe(self, address: str) -> log_harness.Probe:
        """Return the probe at an address; create it if there is none."""
        if address not in self._probes:
            self._probes[address] = log_harness.Probe(self.ctx, address)
            self.ctx.directory.add(address, self._probes[address])
        return self._probes[address]

    def send(self, address: str, msg: typing.Any) -> None:
        """Send a message to a task."""
        assert self.ctx.directory.send(address, msg)

    def open(
        self, name: str, role: str, revision: int = 0, address: str = ''
    ) -> log_harness.Probe:
        """Open a session of a fake peer; return the probe of the session."""
        probe = self.probe(f'fleet/sessions/{name}')
        event = session.Opened(probe.address, make_hello(name, role, revision))
        self.send(addresses.IN_FORCE, event)
        self.send(addresses.PROCESSES, event)
        return probe

    def deliver(self, name: str, role: str, msg: typing.Any) -> None:
        """Deliver a message from a fake peer."""
        owner = addresses.IN_FORCE
        if isinstance(msg, messages.DumpReply):
            owner = addresses.PROCESSES
        hello = make_hello(name, role, 0)
        self.send(
            owner, session.Received(f'fleet/sessions/{name}', hello, msg)
        )

    def query(self, token: str, address: str, body: typing.Any) -> None:
        """Send a query to a task."""
        self.send(address, query.Query(token, 'requester', body))

    def publish(
        self,
        token: str,
        file: document.File,
        kind: typing.Literal['trial', 'production'] = 'trial',
        base: int | None = None,
    ) -> None:
        """Request a trial or a promotion."""
        text = file.text if kind == 'trial' else ''
        body = queries.Publish(kind, kind, text, file.digest, base, token)
        self.query(token, addresses.IN_FORCE, body)

    def find_reply(self, token: str) -> typing.Any:
        """Return the reply to a query; None before it arrives."""
        found = [
            item.value
            for item in self.probe('requester').of(query.Reply)
            if item.token == token
        ]
        assert len(found) <= 1, 'a query gets at most one reply'
        return found[0] if found else None

    def settings(self) -> list[events.SettingsInForce]:
        """Return the settings that membership received."""
        return self.probe(addresses.MEMBERSHIP).of(events.SettingsInForce)

    def ready(self) -> bool:
        """Return whether the entry reported that it is ready."""
        found = self.probe(addresses.HTTP).of(queries.ReadyChanged)
        return bool(found) and found[-1].ready

    def dump(self) -> dict[str, typing.Any]:
        """Return the dump of the owner of the document."""
        return typing.cast(
            dict[str, typing.Any],
            self.ctx.directory.dump()[addresses.IN_FORCE],
        )


def make_hello(name: str, role: str, revision: int) -> message_base.Hello:
    """Return the hello of a fake peer."""
    place = types.Place('r1', 'z1', 'k1', name)
    return message_base.Hello(
        1, role, name, f'{name}-incarnation', place, f'listen-{name}', revision
    )


def sent(probe: log_harness.Probe, cls: type[typing.Any]) -> list[typing.Any]:
    """Return the messages of one class that were sent on a session."""
    return [
        item.msg
        for item in probe.of(session.Send)
        if isinstance(item.msg, cls)
    ]

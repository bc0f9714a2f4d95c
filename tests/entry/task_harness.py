"""Harness: entries with durable tasks, fake sidecars and the emulated log."""

import dataclasses
import types as std_types
import typing

import log_harness

from kcr_core import message_base
from kcr_core import messages
from kcr_core import types
from kcr_entry import addresses
from kcr_entry.fleet import membership
from kcr_entry.fleet import peers
from kcr_entry.log import appender
from kcr_entry.log import reader
from kcr_entry.work import fences
from kcr_entry.work import submissions
from kcr_entry.work import tasks
from kcr_runtime import query
from kcr_runtime.wire import session

STREAM = 'tasks.r1'


def make_spec(name: str, **fields: typing.Any) -> types.TaskSpec:
    """Return a task that needs one processor."""
    demand = fields.pop('demand', types.Demand(1.0, 10.0, 0))
    return types.TaskSpec(name, 'c', 'x', 'kind', demand, **fields)


def make_hello(role: str, name: str, incarnation: str) -> message_base.Hello:
    """Return the hello message of a process."""
    place = types.Place('r1', 'z1', f'rack-{name}', name)
    return message_base.Hello(1, role, name, incarnation, place)


class Entry:
    """Store the tasks of one entry that durable tasks need."""

    def __init__(
        self,
        harness: log_harness.Harness,
        incarnation: str,
        retention_s: float = 3600.0,
    ) -> None:
        # Harness of the entry.
        self.harness = harness
        ctx = harness.make_context(incarnation)
        cfg = std_types.SimpleNamespace(
            log='127.0.0.1:1',
            region='r1',
            log_retention_s=retention_s,
            listen=f'127.0.0.1:{incarnation}',
            peers=[],
        )
        # Context of the entry.
        self.ctx = dataclasses.replace(ctx, cfg=cfg)
        # Fake front end that sends the queries.
        self.http = log_harness.Probe(self.ctx, 'http')
        # The owner of the ledger.
        self.tasks = tasks.Tasks(self.ctx, addresses.TASKS)
        self.ctx.directory.add('http', self.http)
        for component in (
            appender.Appender(self.ctx, addresses.APPENDER),
            reader.Reader(
                self.ctx,
                addresses.READERS['tasks'],
                STREAM,
                (addresses.TASKS, addresses.MEMBERSHIP),
            ),
            self.tasks,
            fences.Fences(self.ctx, addresses.FENCES),
            membership.Membership(self.ctx, addresses.MEMBERSHIP),
            peers.Peers(self.ctx, addresses.PEERS),
        ):
            harness.start(component)

    def send_query(self, token: str, body: typing.Any) -> None:
        """Send a query of a caller."""
        caller_query = query.Query(token, 'http', body)
        assert self.ctx.directory.send(addresses.TASKS, caller_query)

    def submit(self, token: str, spec: types.TaskSpec) -> None:
        """Submit a task."""
        self.send_query(token, submissions.SubmitTask(spec))

    def get_state(self, key: str) -> typing.Any:
        """Return the state of a task."""
        token = f'state-{len(self.http.received)}'
        self.send_query(token, submissions.GetTask(key))
        self.harness.run(0.1)
        return self.answer(token)

    def answer(self, token: str) -> typing.Any:
        """Return the reply to a query; none if there is none yet."""
        found = [
            a.value for a in self.http.of(query.Reply) if a.token == token
        ]
        assert len(found) <= 1, 'a query is answered once'
        return found[0] if found else None


class Sidecar:
    """Fake the session of one sidecar with one entry."""

    def __init__(
        self,
        entry: Entry,
        name: str,
        incarnation: int = 1,
        running: tuple[types.RunningTask, ...] = (),
        is_list_read: bool = True,
    ) -> None:
        # Entry that it is connected to.
        self.entry = entry
        # Hello message of the sidecar.
        self.hello = make_hello('sidecar', name, f'{name}-{incarnation}')
        # Address of the session.
        self.address = f'fleet/sessions/{name}-{incarnation}'
        # Messages that the entry sent.
        self.probe = log_harness.Probe(entry.ctx, self.address)
        entry.ctx.directory.add(self.address, self.probe)
        self._seq = 0
        for target in (addresses.MEMBERSHIP, addresses.TASKS):
            entry.ctx.directory.send(
                target, session.Opened(self.address, self.hello)
            )
        self.send_state(incarnation if is_list_read else 0, running)
        self.send_heartbeat()
        # The owner of the ledger gets the state from membership.
        entry.harness.run(0.05)

    def report(self, target: str, msg: message_base.Message) -> None:
        """Deliver a message of the sidecar to a task of the entry."""
        event = session.Received(self.address, self.hello, msg)
        assert self.entry.ctx.directory.send(target, event)

    def send_state(
        self, epoch: int, running: tuple[types.RunningTask, ...]
    ) -> None:
        """Send the full state; epoch 0 if the worker's list was not read."""
        free = types.Demand(4.0, 100.0, 0)
        capacity = types.Capacity(8, 64, free)
        state = messages.EndpointState('svc', capacity, epoch, running)
        self.report(addresses.MEMBERSHIP, state)

    def send_heartbeat(self, free: types.Demand | None = None) -> None:
        """Send a heartbeat."""
        self._seq += 1
        reported = free or types.Demand(4.0, 100.0, 0)
        heartbeat = messages.Heartbeat(self._seq, 0, 0, 0, reported)
        self.report(addresses.MEMBERSHIP, heartbeat)

    def close(self) -> None:
        """Close the session."""
        event = session.Closed(self.address, self.hello, 'test')
        self.entry.ctx.directory.send(addresses.MEMBERSHIP, event)

    def received(self, cls: type[typing.Any]) -> list[typing.Any]:
        """Return the messages of one class that the entry sent."""
        sent = self.probe.of(session.Send)
        return [s.msg for s in sent if isinstance(s.msg, cls)]


def run_with_heartbeats(
    harness: log_harness.Harness, seconds: int, *sidecars: Sidecar
) -> None:
    """Advance the time while some sidecars send heartbeats."""
    for _ in range(seconds):
        for sidecar in sidecars:
            sidecar.send_heartbeat()
        harness.run(1.0)


def connect_entries(first: Entry, second: Entry) -> None:
    """Connect two entries, so that each can query the other."""
    for me, other in ((first, second), (second, first)):
        name = f'fleet/sessions/{other.ctx.incarnation}'
        hello = make_hello(
            'entry', other.ctx.incarnation, other.ctx.incarnation
        )
        me.ctx.directory.add(name, Link(me, other))
        me.ctx.directory.send(addresses.PEERS, session.Opened(name, hello))


class Link(log_harness.Probe):
    """Fake the session from one entry to another."""

    # Task that handles each message.
    targets: typing.ClassVar[dict[type[typing.Any], str]] = {
        messages.PeerHeartbeat: addresses.PEERS,
        messages.LastMessageQuery: addresses.MEMBERSHIP,
        messages.LastMessageReply: addresses.FENCES,
    }

    def __init__(self, me: Entry, other: Entry) -> None:
        super().__init__(me.ctx, 'link')
        # Entry that receives the messages.
        self.other = other

    def post(self, event: typing.Any) -> bool:
        """Deliver a message to the other entry."""
        assert isinstance(event, session.Send)
        mine = self.ctx.incarnation
        hello = make_hello('entry', mine, mine)
        back = f'fleet/sessions/{mine}'
        received = session.Received(back, hello, event.msg)
        target = self.targets[type(event.msg)]
        return self.other.ctx.directory.send(target, received)


def list_epochs(entry: Entry) -> dict[str, int]:
    """Return the epochs of the live tasks."""
    live = entry.tasks.state.live
    return {key: task.epoch for key, task in live.items()}

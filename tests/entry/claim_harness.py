"""Harness: entries with claims, a fake endpoint and the emulated log.

Each entry runs the appender, the reader of the claim stream and the owners of
the claims and of the requests.
"""

import collections
import typing

from kcr_core import message_base
from kcr_core import messages
from kcr_core import types
from kcr_entry import addresses
from kcr_entry.fleet import membership
from kcr_entry.log import appender
from kcr_entry.log import reader
from kcr_entry.work import claims
from kcr_entry.work import requests
from kcr_entry.work import submitted_request
from kcr_runtime import query
from kcr_runtime import task
from kcr_runtime.wire import session
import log_harness

STREAM = 'claims'
BODY = b'body'


def make_hello(role: str, name: str) -> message_base.Hello:
    """Return the hello message of a process."""
    place = types.Place('r1', 'z1', 'k1', name)
    return message_base.Hello(1, role, name, name, place)


class Endpoint(log_harness.Probe):
    """Fake membership with one endpoint; count the requests that ran."""

    # Response to each attempt: `run`, `refuse`, `lose` (run it, but lose the
    # answer) or `ignore` (run it, but do not answer).
    response = 'run'
    # Number of times that each request ran at any endpoint.
    runs: collections.Counter[str] = collections.Counter()

    def post(self, msg: typing.Any) -> bool:
        """Respond to an attempt."""
        super().post(msg)
        if not isinstance(msg, membership.Dispatch):
            return True
        attempt = msg.msg.attempt
        self.send(
            addresses.REQUESTS,
            membership.Dispatched(attempt, 'i1', 'fleet/s1'),
        )
        reply: typing.Any = messages.Refused(attempt, 'full')
        if self.response != 'refuse':
            self.runs[msg.msg.request] += 1
            reply = messages.Executed(attempt, 200, len(BODY), BODY)
        if self.response == 'lose':
            reply = messages.Failed(attempt, 'connection closed')
        if self.response != 'ignore':
            hello = make_hello('sidecar', 'i1')
            event = session.Received('fleet/s1', hello, reply)
            self.send(addresses.REQUESTS, event)
        return True


class Link(log_harness.Probe):
    """Fake a session to another entry."""

    def __init__(self, here: 'Entry', there: 'Entry') -> None:
        super().__init__(here.ctx, f'fleet/to_{there.name}')
        # The entries at both ends.
        self.here = here
        self.there = there

    def post(self, msg: typing.Any) -> bool:
        """Deliver a message to the other entry."""
        assert isinstance(msg, session.Send)
        event = session.Received(
            f'fleet/to_{self.here.name}',
            make_hello('entry', self.here.name),
            msg.msg,
        )
        return self.there.ctx.directory.send(addresses.CLAIMS, event)


class Entry:
    """Store the tasks of one entry."""

    def __init__(self, harness: log_harness.Harness, name: str) -> None:
        # Harness and name of the entry.
        self.harness = harness
        self.name = name
        # Context of its tasks.
        self.ctx = harness.make_context(name)
        # Fake caller and fake endpoint.
        self.caller = log_harness.Probe(self.ctx, 'caller')
        self.endpoint = Endpoint(self.ctx, addresses.MEMBERSHIP)
        # Tasks of the entry, including the fakes.
        self.tasks: list[task.Task] = [
            self.caller,
            self.endpoint,
            appender.Appender(self.ctx, addresses.APPENDER),
            reader.Reader(
                self.ctx,
                addresses.READERS['claims'],
                STREAM,
                (addresses.CLAIMS,),
            ),
            claims.Claims(self.ctx, addresses.CLAIMS, harness.unix_time),
            requests.Requests(self.ctx, addresses.REQUESTS),
        ]
        for component in self.tasks:
            harness.start(component)

    def submit(
        self,
        key: str,
        budget_s: float = 2.0,
        body: bytes = b'in',
        resubmitted: bool = False,
        idempotent: bool = False,
    ) -> str:
        """Submit a request; return the token of the answer."""
        token = f'{key}:{len(self.caller.received)}:{self.ctx.rng.random()}'
        now_ms = int(self.harness.unix_time() * 1000)
        submit = submitted_request.Submit(
            key, 'c', 'web', budget_s, idempotent, now_ms, body, resubmitted
        )
        caller_query = query.Query(token, 'caller', submit)
        assert self.ctx.directory.send(addresses.REQUESTS, caller_query)
        return token

    def answer(self, token: str) -> typing.Any:
        """Return the answer to a submission; none if there is none yet."""
        values = [a.value for a in self.caller.of(query.Reply)]
        tokens = [a.token for a in self.caller.of(query.Reply)]
        assert tokens.count(token) <= 1, 'a caller is answered once'
        return values[tokens.index(token)] if token in tokens else None

    def kill(self) -> None:
        """End all tasks of the entry at once."""
        for component in self.tasks:
            component.end()


def connect(one: Entry, two: Entry) -> None:
    """Open a session between two entries."""
    for here, there in ((one, two), (two, one)):
        link = Link(here, there)
        here.ctx.directory.add(link.address, link)
        opened = session.Opened(link.address, make_hello('entry', there.name))
        here.ctx.directory.send(addresses.CLAIMS, opened)

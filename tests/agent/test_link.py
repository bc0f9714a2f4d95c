"""Check how an agent finds the owner over connections that fail."""

import random

import recorder
from twisted.internet import defer
from twisted.internet import task as twisted_task

from kcr_agent import addresses
from kcr_agent.links import link
from kcr_core import message_base
from kcr_core import types as core_types
from kcr_jobs import messages
from kcr_runtime import metrics
from kcr_runtime import store
from kcr_runtime import supervisor
from kcr_runtime import task
from kcr_runtime.wire import session

PLACE = core_types.Place('x', 'x', 'x', 'n')
HELLO = message_base.Hello(1, 'scheduler', 's', 'i', PLACE)


class EmptyStore:
    """Store no addresses."""

    def newest(self, topic: str) -> defer.Deferred[store.Items]:
        """Return nothing."""
        return defer.succeed(store.Items((), 0))


@store.STORES.register('empty of test_link')
def make_store(ctx: task.Context) -> EmptyStore:
    """Return a store without addresses."""
    return EmptyStore()


class Config:
    """Store the options that the task reads."""

    process = 'n'
    seeds = ('h:1', 'h:2', 'h:3', 'h:4')
    store = 'empty of test_link'


class Harness:
    """Run the link task with recorders of its sessions."""

    def __init__(self) -> None:
        self.clock = twisted_task.Clock()
        self.ctx = task.Context(
            self.clock, task.Directory(), random.Random(1), Config(),
            metrics.Metrics('t'), 'me',
        )  # fmt: skip
        self.sessions = recorder.Recorder()
        self.ctx.directory.add(addresses.SESSIONS, self.sessions)
        self.control = recorder.Recorder()
        self.ctx.directory.add(addresses.CONTROL, self.control)
        self.link = link.Link(self.ctx, addresses.LINK)
        self.link.begin()

    def advance(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(round(seconds / 0.05)):
            self.clock.advance(0.05)
            self.clock.advance(0.0)

    def take_dialed(self) -> list[str]:
        """Return the schedulers that were dialed since the last call."""
        found = self.sessions.pop_all(supervisor.StartChild)
        return [msg.spec.name for msg in found]

    def open(self, target: str) -> None:
        """Connect the session of a scheduler."""
        name = f'{addresses.SESSIONS}/{target}'
        self.ctx.directory.add(name, recorder.Recorder())
        self.link.post(session.Opened(name, HELLO))
        self.clock.advance(0.0)

    def reply(self, target: str, msg: messages.OwnerReply) -> None:
        """Deliver the reply of a scheduler."""
        name = f'{addresses.SESSIONS}/{target}'
        self.link.post(session.Received(name, HELLO, msg))
        self.clock.advance(0.0)


def test_silent_sessions_do_not_keep_an_agent_from_the_owner() -> None:
    """Guard against an agent that queries silent sessions for ever.

    Its runs went on until their lease had expired, also those of cancelled
    jobs.
    """
    harness = Harness()
    harness.advance(0.3)
    first = harness.take_dialed()
    assert len(first) == link.MAX_QUERIED
    for target in first:
        harness.open(target)
    harness.advance(link.QUERY_TIMEOUT_S + 0.5)
    stopped = harness.sessions.pop_all(supervisor.StopChild)
    assert {msg.name for msg in stopped} == set(first)
    assert 'h:4' in harness.take_dialed()


def test_scheduler_that_replies_without_an_owner_is_kept() -> None:
    """Guard against new connections to each scheduler during an election."""
    harness = Harness()
    harness.advance(0.3)
    first = harness.take_dialed()
    for target in first:
        harness.open(target)
    for _ in range(10):
        harness.advance(0.5)
        for target in first:
            harness.reply(target, messages.OwnerReply(0, ''))
    assert harness.sessions.pop_all(supervisor.StopChild) == []
    assert harness.take_dialed() == []


def test_addresses_without_a_hello_do_not_keep_an_agent_from_the_owner() -> (
    None
):
    """Guard against seeds at which others accept connections."""
    harness = Harness()
    harness.advance(0.3)
    first = harness.take_dialed()
    for target in first:
        harness.link.post(session.DialFailed(target, False))
    harness.advance(0.3)
    assert 'h:4' in harness.take_dialed()
